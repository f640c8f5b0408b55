//! Parts of the platform stand-in.

pub mod rate;
pub mod table;
pub mod vms;
