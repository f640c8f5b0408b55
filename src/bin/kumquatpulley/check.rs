//! `check`: validates a declaration file without contacting the platform.

use std::fmt;

use kumquatpulley::version::check;
use kumquatpulley::version::declaration;

use crate::exit_code;
use crate::failure;
use crate::output;
use crate::source;

/// Numbers of objects declared in a valid file.
#[derive(Debug)]
#[derive(serde::Serialize)]
struct CheckReport {
    file: String,
    services: usize,
    endpoints: usize,
    workspaces: usize,
    routes: usize,
}

impl fmt::Display for CheckReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: sound; services: {}, endpoints: {}, workspaces: {}, routes: {}",
            self.file, self.services, self.endpoints, self.workspaces, self.routes
        )
    }
}

/// Runs the `check` command.
pub fn run(
    matches: &clap::ArgMatches,
    format: output::OutputFormat,
) -> failure::Result<exit_code::ExitCode> {
    let file = source::read_declarations(matches)?;
    let set = check::parse(&file.name, &file.yaml).map_err(failure::CommandFailure::from)?;
    format.print(&report(file.name, &set))?;
    Ok(exit_code::ExitCode::Success)
}

fn report(file: String, set: &declaration::DeclaredSet) -> CheckReport {
    let endpoints = set.services.iter().map(|service| service.endpoints.len());
    CheckReport {
        file,
        services: set.services.len(),
        endpoints: endpoints.sum(),
        workspaces: set.workspaces.len(),
        routes: set.routes.len(),
    }
}
