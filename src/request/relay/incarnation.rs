//! Recognizes engines that restarted at their address before this router has read the new entry.
//!
//! Load addressed: a quarter of the engines crash for about a second every few seconds. An engine
//! that is back has a new start time, and refuses requests for its former incarnation with 421. Each
//! refused request would use up a retry.

use std::time;

use crate::process::view;
use crate::request::relay::{fleet, report};

/// A probed engine with its report; `None` when the probe failed.
pub type ProbedEngine = (fleet::ChosenEndpoint, Option<report::EngineReport>);

/// Returns the engines of `probed` that are still the ones of their entries, and records the others
/// as replaced.
pub fn drop_replaced(
    fleet: &dyn fleet::EndpointFleet,
    counters: &dyn view::CounterSink,
    request: &str,
    mut probed: Vec<ProbedEngine>,
) -> Vec<ProbedEngine> {
    probed.retain(|(endpoint, report)| {
        let other = report
            .as_ref()
            .filter(|report| report.is_of_other(endpoint.incarnation));
        let Some(report) = other else {
            return true;
        };
        counters.count("relay.probe_replaced");
        log::info!(
            request,
            endpoint = endpoint.name.as_str(),
            entry_born = endpoint.incarnation,
            report_born = report.incarnation;
            "engine restarted after its entry was written; not chosen"
        );
        fleet.observe(
            endpoint.key,
            fleet::EndpointObservation::Replaced,
            time::Instant::now(),
        );
        false
    });
    probed
}
