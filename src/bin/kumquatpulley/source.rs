//! Command inputs: declaration files, the version store and router addresses.

use std::fs;
use std::path;
use std::sync;

use kumquatpulley::connection::platform_client;
use kumquatpulley::version::store;

use crate::exit_code;
use crate::failure;

/// Contents of a declaration file.
#[derive(Clone, Debug)]
pub struct DeclarationFile {
    /// Path as given on the command line.
    pub name: String,
    /// Text of the file, not yet parsed.
    pub yaml: String,
}

/// Reads the file named by the `file` argument.
pub fn read_declarations(matches: &clap::ArgMatches) -> failure::Result<DeclarationFile> {
    let path = required::<path::PathBuf>(matches, "file");
    Ok(DeclarationFile {
        name: path.display().to_string(),
        yaml: read_text(path)?,
    })
}

/// Reads a UTF-8 text file.
pub fn read_text(path: &path::Path) -> failure::Result<String> {
    let text = fs::read_to_string(path).map_err(|error| {
        let message = format!("{}: cannot be read: {error}", path.display());
        failure::CommandFailure::new(exit_code::ExitCode::NoInput, message)
    })?;
    Ok(text)
}

/// Returns the version store at the address of the `platform` argument.
pub fn version_store(matches: &clap::ArgMatches) -> store::VersionStore {
    let address = required::<String>(matches, "platform").clone();
    store::VersionStore::new(sync::Arc::new(platform_client::PlatformClient::new(
        address,
    )))
}

/// Returns the values of the `router` argument.
pub fn routers(matches: &clap::ArgMatches) -> Vec<String> {
    let routers = matches.get_many::<String>("router").unwrap_or_default();
    routers.cloned().collect()
}

/// Returns the value of an argument that is required or has a default.
pub fn required<'a, T: Clone + Send + Sync + 'static>(
    matches: &'a clap::ArgMatches,
    name: &str,
) -> &'a T {
    matches
        .get_one::<T>(name)
        .expect("clap refuses a command line without it")
}
