//! `status`: prints the status that routers report.

use std::fmt;

use futures::future;
use kumquatpulley::process::endpoints::endpoint_entry;
use kumquatpulley::process::telemetry::status;

use crate::admin;
use crate::exit_code;
use crate::failure;
use crate::output;
use crate::source;

#[derive(Debug)]
#[derive(serde::Serialize)]
struct StatusReport {
    routers: Vec<status::RouterStatus>,
    silent: Vec<SilentRouter>,
}

/// A router whose status could not be read.
#[derive(Debug)]
#[derive(serde::Serialize)]
struct SilentRouter {
    address: String,
    message: String,
}

/// Runs the `status` command.
pub async fn run(
    matches: &clap::ArgMatches,
    format: output::OutputFormat,
) -> failure::Result<exit_code::ExitCode> {
    let addresses = source::routers(matches);
    let asked = addresses.iter().map(|address| admin::status(address));
    let answers = future::join_all(asked).await;
    let mut report = StatusReport {
        routers: Vec::new(),
        silent: Vec::new(),
    };
    for (address, answer) in addresses.into_iter().zip(answers) {
        match answer {
            Ok(status) => report.routers.push(status),
            Err(error) => report.silent.push(SilentRouter {
                address,
                message: error.to_string(),
            }),
        }
    }
    format.print(&report)?;
    if report.silent.is_empty() {
        return Ok(exit_code::ExitCode::Success);
    }
    Ok(exit_code::ExitCode::Unavailable)
}

impl fmt::Display for StatusReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for status in &self.routers {
            write_router(f, status)?;
        }
        for router in &self.silent {
            writeln!(f, "{}: no answer: {}", router.address, router.message)?;
        }
        Ok(())
    }
}

fn write_router(f: &mut fmt::Formatter<'_>, status: &status::RouterStatus) -> fmt::Result {
    writeln!(
        f,
        "{} ({}) {}, version {}, home {}",
        status.router, status.zone, status.state, status.config, status.home
    )?;
    for member in &status.members {
        writeln!(
            f,
            "  router {:<16} {:<10} {:<12} version {:<6} {}",
            member.router, member.state, member.zone, member.config, member.caller_address
        )?;
    }
    for endpoint in &status.endpoints {
        write_endpoint(f, endpoint)?;
    }
    for rollout in &status.rollouts {
        writeln!(
            f,
            "  roll-out {:<14} to {:<10} {:<10} share {} of 1000",
            rollout.service, rollout.to, rollout.phase, rollout.share_millis
        )?;
    }
    for workspace in &status.workspaces {
        writeln!(
            f,
            "  workspace {:<13} demand {} of share {}, limit {}",
            workspace.name, workspace.demand, workspace.share, workspace.max_in_flight
        )?;
    }
    Ok(())
}

fn write_endpoint(f: &mut fmt::Formatter<'_>, endpoint: &status::EndpointStatus) -> fmt::Result {
    writeln!(
        f,
        "  endpoint {:<14} {:<10} {:<12} {}: running {}/{}, waiting {}, from here {} [{}]",
        endpoint.name,
        state_name(endpoint.state),
        endpoint.zone,
        endpoint.service,
        endpoint.running,
        endpoint.slots,
        endpoint.waiting,
        endpoint.in_flight,
        endpoint.versions.join(", ")
    )
}

const fn state_name(state: endpoint_entry::EndpointState) -> &'static str {
    match state {
        endpoint_entry::EndpointState::Serving => "serving",
        endpoint_entry::EndpointState::Suspect => "suspect",
        endpoint_entry::EndpointState::Leaving => "leaving",
        endpoint_entry::EndpointState::Unknown => "unknown",
    }
}
