//! HTTP/1.1 for a proxy: strict heads, exact framing, bytes forwarded unchanged.
//!
//! `tide` and `async-h1` cannot tell a truncated answer from a complete one, and do not detect
//! extra bytes after an answer. This module parses heads with `httparse` and decodes bodies itself.

pub mod body;
pub mod head;
pub mod segments;
pub mod sink;
pub mod wire;
