//! Parts of the demo driver.

pub mod children;
pub mod cluster;
pub mod console;
pub mod outcome;
