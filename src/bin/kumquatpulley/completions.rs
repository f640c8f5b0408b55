//! `completions`: shell completion scripts.

use crate::cli;
use crate::exit_code;
use crate::failure;
use crate::output;
use crate::source;

/// Runs the `completions` command.
pub fn run(matches: &clap::ArgMatches) -> failure::Result<exit_code::ExitCode> {
    let shell = *source::required::<clap_complete::Shell>(matches, "shell");
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut cli::command(), "kumquatpulley", &mut script);
    output::write_part(&String::from_utf8_lossy(&script))?;
    Ok(exit_code::ExitCode::Success)
}
