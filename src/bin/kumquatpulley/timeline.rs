//! `timeline`: the events of all routers in causal order.

use std::collections;
use std::fmt;

use futures::future;
use kumquatpulley::process::telemetry::timeline;

use crate::admin;
use crate::exit_code;
use crate::failure;
use crate::output;
use crate::source;

#[derive(Debug)]
#[derive(serde::Serialize)]
#[serde(transparent)]
struct TimelineReport {
    events: Vec<timeline::TimelineEvent>,
    #[serde(skip)]
    names_request: bool,
}

impl fmt::Display for TimelineReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for event in &self.events {
            let mut event = event.clone();
            // Omits the long request key when the operator asked for a single request.
            event.request = event.request.filter(|_request| self.names_request);
            writeln!(f, "{event}")?;
        }
        Ok(())
    }
}

/// Runs the `timeline` command.
pub async fn run(
    matches: &clap::ArgMatches,
    format: output::OutputFormat,
) -> failure::Result<exit_code::ExitCode> {
    let request = matches.get_one::<String>("request").map(String::as_str);
    let addresses = known_routers(&source::routers(matches)).await?;
    let asked = addresses
        .iter()
        .map(|address| admin::events(address, request));
    let answers = future::join_all(asked).await;
    let mut lists = Vec::new();
    for (address, answer) in addresses.iter().zip(answers) {
        match answer {
            Ok(events) => lists.push(events),
            Err(error) => eprintln!("warning: events of {address} are left out: {error}"),
        }
    }
    let events = timeline::merge(lists);
    let names_request = request.is_none();
    format.print(&TimelineReport {
        events,
        names_request,
    })?;
    Ok(exit_code::ExitCode::Success)
}

/// Returns the given routers and the members they report; fails when no router responds.
async fn known_routers(given: &[String]) -> failure::Result<collections::BTreeSet<String>> {
    let answers = future::join_all(given.iter().map(|address| admin::status(address))).await;
    let mut known: collections::BTreeSet<String> = given.iter().cloned().collect();
    let mut last_error = None;
    let mut is_answered = false;
    for answer in answers {
        match answer {
            Ok(status) => {
                is_answered = true;
                let members = status.members.into_iter();
                known.extend(members.map(|member| member.admin_address));
            }
            Err(error) => last_error = Some(error),
        }
    }
    match last_error {
        Some(error) if !is_answered => Err(error),
        _ => Ok(known),
    }
}
