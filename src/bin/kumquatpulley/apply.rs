//! `apply` and `rollback`: create the next configuration version.

use std::fmt;

use kumquatpulley::version::check;
use kumquatpulley::version::store;

use crate::diff;
use crate::exit_code;
use crate::failure;
use crate::output;
use crate::source;
use crate::wait;

/// Result of `apply` or `rollback`.
#[derive(Debug)]
#[derive(serde::Serialize)]
struct ApplyReport {
    version: u64,
    changed: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    routers: Option<wait::WaitReport>,
}

impl fmt::Display for ApplyReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.changed {
            write!(f, "version {} is accepted", self.version)?;
        } else {
            write!(f, "version {} says the same already", self.version)?;
        }
        match &self.routers {
            Some(routers) => write!(f, "; {routers}"),
            None => Ok(()),
        }
    }
}

/// Runs the `apply` command.
pub async fn run(
    matches: &clap::ArgMatches,
    format: output::OutputFormat,
) -> failure::Result<exit_code::ExitCode> {
    let file = source::read_declarations(matches)?;
    check::parse(&file.name, &file.yaml).map_err(failure::CommandFailure::from)?;
    let base = matches.get_one::<u64>("base").copied();
    let store = source::version_store(matches);
    let outcome = store.apply(&file.yaml, base).await;
    let outcome = outcome.map_err(failure::CommandFailure::from)?;
    finish(matches, format, outcome, &file.yaml).await
}

/// Runs the `rollback` command.
pub async fn run_rollback(
    matches: &clap::ArgMatches,
    format: output::OutputFormat,
) -> failure::Result<exit_code::ExitCode> {
    let number = *source::required::<u64>(matches, "number");
    let store = source::version_store(matches);
    let outcome = store.rollback(number).await;
    let outcome = outcome.map_err(failure::CommandFailure::from)?;
    let wanted = store.read(number).await.ok().flatten();
    finish(matches, format, outcome, &wanted.unwrap_or_default()).await
}

async fn finish(
    matches: &clap::ArgMatches,
    format: output::OutputFormat,
    outcome: store::ApplyOutcome,
    wanted: &str,
) -> failure::Result<exit_code::ExitCode> {
    let (version, changed) = match outcome {
        store::ApplyOutcome::Applied { number } => (number, true),
        store::ApplyOutcome::Unchanged { number } => (number, false),
        store::ApplyOutcome::Lost { number, yaml } => {
            return Err(race_lost(number, &yaml, wanted).into());
        }
    };
    let routers = if matches.get_flag("wait") {
        Some(wait::until_in_force(matches, version).await)
    } else {
        None
    };
    let is_behind = routers.as_ref().is_some_and(wait::WaitReport::is_behind);
    format.print(&ApplyReport {
        version,
        changed,
        routers,
    })?;
    if is_behind {
        return Ok(exit_code::ExitCode::Behind);
    }
    Ok(exit_code::ExitCode::Success)
}

fn race_lost(number: u64, present: &str, wanted: &str) -> failure::CommandFailure {
    let difference = diff::describe(present, wanted);
    let message = format!(
        "version {number} came first and nothing was changed; look at the difference, then apply \
         again with --base {number}\n{difference}"
    );
    failure::CommandFailure::new(exit_code::ExitCode::RaceLost, message)
}
