//! `drain`: graceful shutdown of one router.

use std::fmt;

use crate::admin;
use crate::exit_code;
use crate::failure;
use crate::output;
use crate::source;

#[derive(Debug)]
#[derive(serde::Serialize)]
struct DrainReport {
    router: String,
    draining: bool,
}

impl fmt::Display for DrainReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} is draining and will stop", self.router)
    }
}

/// Runs the `drain` command.
pub async fn run(
    matches: &clap::ArgMatches,
    format: output::OutputFormat,
) -> failure::Result<exit_code::ExitCode> {
    let address = source::required::<String>(matches, "address");
    admin::drain(address).await?;
    format.print(&DrainReport {
        router: address.clone(),
        draining: true,
    })?;
    Ok(exit_code::ExitCode::Success)
}
