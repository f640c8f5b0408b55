//! The configuration version in force, and how newer ones come in.

pub mod config;
pub mod follow;
pub mod poll;
pub mod step;
