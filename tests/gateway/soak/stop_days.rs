//! Random times at which the gateways of a run get SIGTERM, in two series.

use std::collections;
use std::time;

use crate::soak::bed;
use crate::support::stop_judge;

/// Pause between two stops of a series, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 1_000..2_000;

/// Gateways that one series stops, at most.
const LONGEST_SERIES: usize = 6;

/// Latest begin of the second series after the last fault is excused, in milliseconds.
const LATEST_BEGIN_MS: u64 = 1_000;

/// Time for which a gateway runs before it is stopped again.
const SHORTEST_RUN: time::Duration = time::Duration::from_secs(2);

/// A gateway that got SIGTERM and has not ended.
#[derive(Clone, Copy, Debug)]
pub struct OpenStop {
    pub gateway: usize,
    pub kill_at: time::Instant,
}

/// The stops of one run.
#[derive(Debug)]
pub struct StopDay {
    /// Stops that are still to come.
    due: Vec<(time::Duration, usize)>,
    pub open: Vec<OpenStop>,
    pub signals: Vec<stop_judge::StopSignal>,
    restarted: collections::HashMap<usize, time::Instant>,
}

impl StopDay {
    /// Draws a series that begins among the faults, which last until `calm`, and one that begins once
    /// they are no excuse any more.
    pub fn draw(seed: u64, calm: time::Duration, gateways: u8) -> Self {
        let mut random = fastrand::Rng::with_seed(seed.rotate_left(16));
        let calm_ms = u64::try_from(calm.as_millis()).expect("a short run");
        let contact_ms = u64::try_from(bed::CONTACT_TIME.as_millis()).expect("a short time");
        let second = calm_ms + contact_ms + random.u64(..LATEST_BEGIN_MS);
        let mut due = Vec::new();
        for mut at in [random.u64(..calm_ms), second] {
            let mut order: Vec<usize> = (0..usize::from(gateways)).collect();
            random.shuffle(&mut order);
            order.truncate(LONGEST_SERIES);
            for gateway in order {
                due.push((time::Duration::from_millis(at), gateway));
                at += random.u64(PAUSE_MS);
            }
        }
        Self {
            due,
            open: Vec::new(),
            signals: Vec::new(),
            restarted: collections::HashMap::new(),
        }
    }

    /// Removes and returns the gateways that are to be stopped by now. One that `is_running` denies, or
    /// that has just started, is stopped later.
    pub fn take_due(
        &mut self,
        elapsed: time::Duration,
        is_running: impl Fn(usize) -> bool,
    ) -> Vec<usize> {
        let mut taken = Vec::new();
        let (open, restarted) = (&self.open, &self.restarted);
        self.due.retain(|(at, gateway)| {
            let is_new = restarted
                .get(gateway)
                .is_some_and(|at| at.elapsed() < SHORTEST_RUN);
            let is_open = open.iter().any(|stop| stop.gateway == *gateway);
            let is_due = *at <= elapsed && is_running(*gateway);
            let is_taken = is_due && !is_new && !is_open && !taken.contains(gateway);
            if is_taken {
                taken.push(*gateway);
            }
            !is_taken
        });
        taken
    }

    /// Records that a gateway was started again now.
    pub fn record_start(&mut self, gateway: usize) {
        self.restarted.insert(gateway, time::Instant::now());
    }

    /// Whether all stops have ended and no restart is recent.
    pub fn is_over(&self) -> bool {
        let mut restarts = self.restarted.values();
        let is_calm = restarts.all(|at| at.elapsed() >= bed::CONTACT_TIME);
        self.due.is_empty() && self.open.is_empty() && is_calm
    }
}
