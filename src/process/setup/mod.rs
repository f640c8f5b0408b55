//! The settings file of one router process.

mod settings_tree;

pub mod settings;
pub mod settings_file;
