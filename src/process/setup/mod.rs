//! Router settings and the parser of the settings file.

mod settings_tree;

pub mod settings;
pub mod settings_file;
