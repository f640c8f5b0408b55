//! Waits until all ready routers report a configuration version.

use std::collections;
use std::fmt;
use std::time;

use async_std::task;
use futures::future;
use kumquatpulley::process::telemetry::status;

use crate::admin;
use crate::source;

const POLL_INTERVAL: time::Duration = time::Duration::from_millis(100);
const READY: &str = "ready";
const JOINING: &str = "joining";

/// Rollout state of a configuration version.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
pub struct WaitReport {
    /// Routers that run this version or a newer one.
    pub in_force: Vec<String>,
    /// Routers that still reported an older version at the timeout.
    pub behind: Vec<String>,
    /// Operator addresses that could not be queried.
    pub silent: Vec<String>,
    /// Elapsed time, in milliseconds.
    pub waited_ms: u64,
}

impl WaitReport {
    /// Returns whether any router is behind or not answering, or none has the version.
    pub const fn is_behind(&self) -> bool {
        !self.behind.is_empty() || !self.silent.is_empty() || self.in_force.is_empty()
    }
}

impl fmt::Display for WaitReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = self.in_force.len();
        let noun = if count == 1 { "router" } else { "routers" };
        write!(f, "in force at {count} {noun} after {} ms", self.waited_ms)?;
        if !self.behind.is_empty() {
            write!(f, "; behind: {}", self.behind.join(", "))?;
        }
        if !self.silent.is_empty() {
            write!(f, "; no answer from {}", self.silent.join(", "))?;
        }
        Ok(())
    }
}

/// Polls the given routers and all members they report until all have the version or the timeout
/// expires.
pub async fn until_in_force(matches: &clap::ArgMatches, version: u64) -> WaitReport {
    let limit = time::Duration::from_millis(*source::required::<u64>(matches, "wait-ms"));
    let given = source::routers(matches);
    let started = time::Instant::now();
    loop {
        let mut report = poll_once(&given, version).await;
        report.waited_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
        if !report.is_behind() || started.elapsed() + POLL_INTERVAL > limit {
            return report;
        }
        task::sleep(POLL_INTERVAL).await;
    }
}

async fn poll_once(given: &[String], version: u64) -> WaitReport {
    let mut report = WaitReport {
        in_force: Vec::new(),
        behind: Vec::new(),
        silent: Vec::new(),
        waited_ms: 0,
    };
    let mut seen = collections::BTreeSet::new();
    let mut next: collections::BTreeSet<String> = given.iter().cloned().collect();
    // Also queries members reported by members, so that a stale response hides no router.
    while !next.is_empty() {
        seen.extend(next.iter().cloned());
        let asked = next.iter().map(|address| admin::status(address));
        let answers = future::join_all(asked).await;
        let mut named = collections::BTreeSet::new();
        for (address, answer) in next.iter().zip(answers) {
            let Ok(status) = answer else {
                report.silent.push(address.clone());
                continue;
            };
            let ready = status.members.iter().filter(|member| member.state == READY);
            named.extend(ready.map(|member| member.admin_address.clone()));
            if status.config >= version {
                report.in_force.push(status.router);
            } else if status.state == READY || is_joining(&status, given.contains(address)) {
                report.behind.push(status.router);
            }
        }
        next = named.difference(&seen).cloned().collect();
    }
    report
}

/// Returns whether a router named by the operator is still joining; it counts as behind.
fn is_joining(status: &status::RouterStatus, is_given: bool) -> bool {
    is_given && status.state == JOINING
}
