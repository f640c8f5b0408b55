//! `show`: prints a configuration version as it was applied.

use std::fmt;

use kumquatpulley::version::store;

use crate::exit_code;
use crate::failure;
use crate::output;
use crate::source;

/// A configuration version and its YAML text.
#[derive(Debug)]
#[derive(serde::Serialize)]
struct VersionReport {
    version: u64,
    yaml: String,
}

impl fmt::Display for VersionReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.yaml)
    }
}

/// Runs the `show` command.
pub async fn run(
    matches: &clap::ArgMatches,
    format: output::OutputFormat,
) -> failure::Result<exit_code::ExitCode> {
    let store = source::version_store(matches);
    let report = match matches.get_one::<u64>("version") {
        Some(number) => read(&store, *number).await?,
        None => newest(&store).await?,
    };
    format.print(&report)?;
    Ok(exit_code::ExitCode::Success)
}

async fn read(store: &store::VersionStore, number: u64) -> failure::Result<VersionReport> {
    let found = store.read(number).await;
    let found = found.map_err(failure::CommandFailure::from)?;
    let yaml = found.ok_or(store::StoreError::NoVersion(number));
    Ok(VersionReport {
        version: number,
        yaml: yaml.map_err(failure::CommandFailure::from)?,
    })
}

async fn newest(store: &store::VersionStore) -> failure::Result<VersionReport> {
    let found = store.newest().await;
    let found = found.map_err(failure::CommandFailure::from)?;
    let (version, yaml) = found.ok_or_else(|| {
        let message = "nothing has been applied yet; use `kumquatpulley apply FILE`";
        failure::CommandFailure::new(exit_code::ExitCode::NoInput, message)
    })?;
    Ok(VersionReport { version, yaml })
}
