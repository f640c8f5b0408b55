//! Serving system for long model generations on engines that fail without warning.
