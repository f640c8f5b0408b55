//! Configuration versions: declarations, validation, builders, storage and lookups.

pub mod check;
pub mod declaration;
pub mod declare;
pub mod delta;
pub mod diff;
pub mod lines;
pub mod route;
pub mod row;
pub mod rules;
pub mod store;
pub mod syntax;
pub mod traffic;
