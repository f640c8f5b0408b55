//! Where commands take their input from: declaration files and the version store.

use std::fs;
use std::path;
use std::sync;

use kumquatpulley::connection::platform_client;
use kumquatpulley::version::store;

use crate::exit_code;
use crate::failure;

/// A declaration file.
#[derive(Clone, Debug)]
pub struct DeclarationFile {
    /// Name as the operator gave it.
    pub name: String,
    /// Its text.
    pub yaml: String,
}

/// Reads the file argument of a command.
pub fn read_declarations(matches: &clap::ArgMatches) -> failure::Result<DeclarationFile> {
    let path = required::<path::PathBuf>(matches, "file");
    Ok(DeclarationFile {
        name: path.display().to_string(),
        yaml: read_text(path)?,
    })
}

/// Reads a text file.
pub fn read_text(path: &path::Path) -> failure::Result<String> {
    let text = fs::read_to_string(path).map_err(|error| {
        let message = format!("{}: cannot be read: {error}", path.display());
        failure::CommandFailure::new(exit_code::ExitCode::NoInput, message)
    })?;
    Ok(text)
}

/// The version store at the platform argument of a command.
pub fn version_store(matches: &clap::ArgMatches) -> store::VersionStore {
    let address = required::<String>(matches, "platform").clone();
    store::VersionStore::new(sync::Arc::new(platform_client::PlatformClient::new(
        address,
    )))
}

/// The router arguments of a command.
pub fn routers(matches: &clap::ArgMatches) -> Vec<String> {
    let routers = matches.get_many::<String>("router").unwrap_or_default();
    routers.cloned().collect()
}

/// An argument that the definition marks as required or gives a default.
pub fn required<'a, T: Clone + Send + Sync + 'static>(
    matches: &'a clap::ArgMatches,
    name: &str,
) -> &'a T {
    matches
        .get_one::<T>(name)
        .expect("clap refuses a command line without it")
}
