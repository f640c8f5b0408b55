//! Carries out the planned stops of a run and judges what was lost around them.

use std::thread;
use std::time;

use rustix::process as unix;

use crate::soak::{bed, clients, stop_days};
use crate::support::{fakes, planned_stop, router, stop_judge};

/// Interval between checks whether a gateway is to be stopped or has ended.
const STOP_STEP: time::Duration = time::Duration::from_millis(10);

impl bed::Bed {
    /// Waits for `duration` and carries out planned stops meanwhile.
    pub(super) fn rest(&mut self, duration: time::Duration) {
        let until = time::Instant::now() + duration;
        loop {
            if let Some(mut day) = self.stops.take() {
                self.end_stops(&mut day);
                self.begin_stops(&mut day);
                self.stops = Some(day);
            }
            let left = until.saturating_duration_since(time::Instant::now());
            if left.is_zero() {
                return;
            }
            thread::sleep(left.min(STOP_STEP));
        }
    }

    /// Starts gateways again that have ended after their SIGTERM, or whose grace period is over.
    fn end_stops(&mut self, day: &mut stop_days::StopDay) {
        let now = time::Instant::now();
        let open = std::mem::take(&mut day.open);
        for stop in open {
            let process = self.gateways[stop.gateway].as_mut();
            let ended = process.map(|process| process.child.try_wait().expect("a process"));
            if stop.kill_at > now && ended.is_none_or(|status| status.is_none()) {
                day.open.push(stop);
                continue;
            }
            self.gateways[stop.gateway] = None;
            let kind = router::StartKind::Later;
            self.gateways[stop.gateway] = Some(self.spawn(stop.gateway, kind));
            self.end_stopped(stop.gateway);
            day.record_start(stop.gateway);
            self.note(&format!("gateway {} starts again", stop.gateway));
        }
    }

    fn begin_stops(&mut self, day: &mut stop_days::StopDay) {
        let is_running = |gateway: usize| {
            let faults = [
                bed::OpenFault::Paused(gateway),
                bed::OpenFault::Killed(gateway),
            ];
            let mut open = self.open.iter();
            !open.any(|(_ends, fault)| faults.contains(fault))
        };
        for gateway in day.take_due(self.started.elapsed(), is_running) {
            let at = time::Instant::now();
            self.signal(gateway, unix::Signal::TERM);
            self.begin_stopped(gateway);
            day.signals.push(stop_judge::StopSignal {
                gateway: self.gateway_ip(gateway),
                at,
            });
            day.open.push(stop_days::OpenStop {
                gateway,
                kill_at: at + router::USUAL_GRACE,
            });
        }
    }

    /// Requests that were lost around planned stops.
    pub(super) fn find_lost(&self, records: &[clients::CallRecord]) -> Vec<String> {
        let Some(day) = &self.stops else {
            return Vec::new();
        };
        let views = records.iter().filter_map(clients::CallRecord::stop_view);
        let views: Vec<stop_judge::CallerView> = views.collect();
        let runs = self.endpoints.iter().flat_map(fakes::FakeEndpoint::runs);
        let runs: Vec<stop_judge::EndpointRun> = runs.collect();
        let mut unplanned = self.unplanned.clone();
        for crash in self.endpoints.iter().flat_map(fakes::FakeEndpoint::crashes) {
            unplanned.add_moment(crash);
        }
        let bounds = stop_judge::StopBounds {
            grace: router::USUAL_GRACE,
            loss_slack: planned_stop::LOSS_SLACK,
        };
        let lost = |is_excused: &dyn Fn(&stop_judge::CallerView) -> bool| {
            stop_judge::find_lost(&views, &runs, &day.signals, bounds, is_excused)
        };
        let all = lost(&|_view| false).len();
        let counted = lost(&|view| unplanned.excuses(view));
        println!(
            "{} planned stops, {all} requests lost, {} without an excuse",
            day.signals.len(),
            counted.len()
        );
        counted.into_iter().map(|request| request.text).collect()
    }
}
