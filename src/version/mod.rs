//! What lives as long as one configuration version: declarations, their checks and builders.

pub mod declaration;
