//! Gateways that get SIGTERM one after another and start again as soon as they have ended.

use std::thread;
use std::time;

use rustix::process as unix;

use crate::support::system::System;
use crate::support::{router, stop_judge};

/// Interval between checks for what is due.
const STEP: time::Duration = time::Duration::from_millis(10);

/// Time from the start of a gateway to its next SIGTERM at the earliest.
const SHORTEST_RUN: time::Duration = time::Duration::from_secs(2);

/// Stops of gateways, each at a time after the start.
#[derive(Clone, Debug, Default)]
pub struct StopPlan {
    /// Times and indices of gateways.
    pub due: Vec<(time::Duration, usize)>,
}

impl StopPlan {
    /// Adds a series that stops `gateways` from `from` on, with a pause from `pauses` in between, in
    /// milliseconds.
    pub fn add_series(
        &mut self,
        from: time::Duration,
        gateways: impl Iterator<Item = usize>,
        pauses: std::ops::Range<u64>,
        random: &mut fastrand::Rng,
    ) {
        let mut at = from;
        for gateway in gateways {
            self.due.push((at, gateway));
            at += time::Duration::from_millis(random.u64(pauses.clone()));
        }
    }
}

/// A gateway that got SIGTERM and has not ended.
#[derive(Clone, Copy, Debug)]
struct OpenStop {
    gateway: usize,
    kill_at: time::Instant,
}

/// Runs all stops of `plan`, the last ones to their end; returns the signals that were sent, oldest
/// first. A gateway that is not back for long enough is stopped later than planned.
pub fn run(system: &mut System, plan: StopPlan) -> Vec<stop_judge::StopSignal> {
    let started = time::Instant::now();
    let mut due = plan.due;
    due.sort_unstable();
    let mut restarted: Vec<Option<time::Instant>> = vec![None; system.gateways.len()];
    let mut open: Vec<OpenStop> = Vec::new();
    let mut signals = Vec::new();
    while !due.is_empty() || !open.is_empty() {
        open.retain(|stop| {
            let is_open = !has_ended(&mut system.gateways[stop.gateway], stop.kill_at);
            if !is_open {
                let killed = system.kill(stop.gateway);
                system.start_again(stop.gateway, killed);
                restarted[stop.gateway] = Some(time::Instant::now());
            }
            is_open
        });
        due.retain(|(at, gateway)| {
            let is_running = open.iter().all(|stop| stop.gateway != *gateway);
            let is_new = restarted[*gateway].is_some_and(|at| at.elapsed() < SHORTEST_RUN);
            if started.elapsed() < *at || !is_running || is_new {
                return true;
            }
            let at = time::Instant::now();
            let process = &system.gateways[*gateway];
            router::signal(process, unix::Signal::TERM);
            signals.push(stop_judge::StopSignal {
                gateway: process.ip,
                at,
            });
            open.push(OpenStop {
                gateway: *gateway,
                kill_at: at + system.grace,
            });
            false
        });
        thread::sleep(STEP);
    }
    signals
}

/// Whether a gateway has ended, by itself or because its grace period is over.
fn has_ended(gateway: &mut router::GatewayProcess, kill_at: time::Instant) -> bool {
    if gateway.child.try_wait().expect("a process").is_some() {
        return true;
    }
    kill_at <= time::Instant::now()
}
