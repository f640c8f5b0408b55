//! `diff`: compares a declaration file with the newest version.

use std::fmt;

use kumquatpulley::version::check;
use kumquatpulley::version::declaration;
use kumquatpulley::version::diff;

use crate::exit_code;
use crate::failure;
use crate::output;
use crate::source;

/// Changes that applying the file would make.
#[derive(Debug)]
#[derive(serde::Serialize)]
struct DiffReport {
    version: u64,
    changes: Vec<String>,
}

impl fmt::Display for DiffReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.changes.is_empty() {
            return write!(f, "no difference from version {}", self.version);
        }
        write!(f, "{}", self.changes.join("\n"))
    }
}

/// Runs the `diff` command.
pub async fn run(
    matches: &clap::ArgMatches,
    format: output::OutputFormat,
) -> failure::Result<exit_code::ExitCode> {
    let file = source::read_declarations(matches)?;
    let wanted = check::parse(&file.name, &file.yaml).map_err(failure::CommandFailure::from)?;
    let newest = source::version_store(matches).newest().await;
    let newest = newest.map_err(failure::CommandFailure::from)?;
    let (version, present) = match newest {
        Some((version, yaml)) => (version, parse_version(version, &yaml)?),
        None => (0, declaration::DeclaredSet::default()),
    };
    let changes = lines(&present, &wanted);
    let code = if changes.is_empty() {
        exit_code::ExitCode::Success
    } else {
        exit_code::ExitCode::Differs
    };
    format.print(&DiffReport { version, changes })?;
    Ok(code)
}

/// Describes the changes between two declaration texts, one per line.
pub fn describe(before: &str, after: &str) -> String {
    let before = check::parse("before", before).unwrap_or_default();
    let after = check::parse("after", after).unwrap_or_default();
    lines(&before, &after).join("\n")
}

fn parse_version(number: u64, yaml: &str) -> failure::Result<declaration::DeclaredSet> {
    let name = format!("version {number}");
    let set = check::parse(&name, yaml).map_err(failure::CommandFailure::from)?;
    Ok(set)
}

fn lines(before: &declaration::DeclaredSet, after: &declaration::DeclaredSet) -> Vec<String> {
    let changes = diff::compare(before, after);
    changes.iter().map(ToString::to_string).collect()
}
