//! Parts of the model engine stand-in.

pub mod cache;
pub mod options;
pub mod records;
pub mod slots;
pub mod state;
pub mod stream;
