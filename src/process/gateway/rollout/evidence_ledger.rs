//! Reports of all routers about one roll-out, added up.

use std::collections;
use std::time;

use crate::process::gateway::boot_clock;
use crate::process::gateway::rollout::evidence;

/// Age from which a report no longer shows that its router is in touch: three missed reports.
const MAX_REPORT_AGE: time::Duration = time::Duration::from_millis(1_750);

/// Maximum number of routers whose reports are kept.
const MAX_ROUTERS: usize = 4_096;

/// Maximum number of routes that are compared by themselves, as routers may name different ones.
const MAX_COMPARED_ROUTES: usize = 64;

/// Periods over which the versions are compared, besides the whole time. A version that turns bad shows
/// in the shorter ones, and one with few requests in the longer ones.
const PERIODS: [time::Duration; 3] = [
    time::Duration::from_secs(1),
    time::Duration::from_secs(3),
    time::Duration::from_secs(10),
];

/// Interval between two snapshots of the sums.
const SNAPSHOT_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Maximum number of snapshots; they cover the longest period.
const MAX_SNAPSHOTS: usize = 44;

/// Counts of both versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionCounts {
    /// Counts of all versions but the new one.
    pub old: evidence::AnswerCounts,
    /// Counts of the new version.
    pub new: evidence::AnswerCounts,
}

impl VersionCounts {
    fn add(&mut self, old: &evidence::AnswerCounts, new: &evidence::AnswerCounts) {
        self.old.add(old);
        self.new.add(new);
    }
}

/// Sums over routers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvidenceTotals {
    /// Counts by route.
    pub routes: collections::BTreeMap<String, VersionCounts>,
    /// Requests sent, of all versions.
    pub requests: u64,
}

impl EvidenceTotals {
    /// Counts of all routes together.
    #[must_use]
    pub fn all_routes(&self) -> VersionCounts {
        let mut sum = VersionCounts::default();
        for counts in self.routes.values() {
            sum.add(&counts.old, &counts.new);
        }
        sum
    }

    /// The counts since `earlier`.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        let routes = self.routes.iter().map(|(route, counts)| {
            let before = earlier.routes.get(route).copied().unwrap_or_default();
            let rest = VersionCounts {
                old: counts.old.since(&before.old),
                new: counts.new.since(&before.new),
            };
            (route.clone(), rest)
        });
        Self {
            routes: routes.collect(),
            requests: self.requests.saturating_sub(earlier.requests),
        }
    }

    fn add(&mut self, report: &evidence::RouterReport) {
        self.requests = self.requests.saturating_add(report.requests_total);
        for route in report.routes.iter().take(evidence::MAX_ROUTES + 1) {
            let is_known = self.routes.contains_key(&route.route);
            let has_room = self.routes.len() < MAX_COMPARED_ROUTES;
            let name = if is_known || has_room {
                route.route.as_str()
            } else {
                evidence::OTHER_ROUTES
            };
            let counts = self.routes.entry(name.to_owned()).or_default();
            counts.add(&route.old, &route.new);
        }
    }
}

#[derive(Clone, Debug)]
struct KnownReport {
    report: evidence::RouterReport,
    received_at: boot_clock::BootInstant,
    /// Reports received since the router was first told that the old version drains.
    drain_reports: u32,
}

/// The newest report of each router since the order.
#[derive(Clone, Debug, Default)]
pub struct EvidenceLedger {
    reports: collections::BTreeMap<String, KnownReport>,
    /// Counts of routers that started again and count from zero.
    retired: EvidenceTotals,
    snapshots: collections::VecDeque<(boot_clock::BootInstant, EvidenceTotals)>,
}

impl EvidenceLedger {
    /// Takes a report. `is_draining` tells whether the reply says that the old version drains.
    pub fn take(
        &mut self,
        report: evidence::RouterReport,
        is_draining: bool,
        now: boot_clock::BootInstant,
    ) {
        let known = self.reports.get(&report.router);
        if known.is_none() && self.reports.len() >= MAX_ROUTERS {
            return;
        }
        let drain_reports = known.map_or(0, |known| known.drain_reports);
        if let Some(known) = known
            && report.requests_total < known.report.requests_total
        {
            self.retired.add(&known.report);
        }
        let known = KnownReport {
            received_at: now,
            drain_reports: if is_draining {
                drain_reports.saturating_add(1)
            } else {
                0
            },
            report,
        };
        self.reports.insert(known.report.router.clone(), known);
    }

    /// Sums over all routers, those that were lost included.
    #[must_use]
    pub fn totals(&self) -> EvidenceTotals {
        let mut totals = self.retired.clone();
        for known in self.reports.values() {
            totals.add(&known.report);
        }
        totals
    }

    /// Keeps `totals` for later comparisons; call it at each decision.
    pub fn keep_snapshot(&mut self, totals: &EvidenceTotals, now: boot_clock::BootInstant) {
        let last = self.snapshots.back();
        if last.is_some_and(|(at, _totals)| now.since(*at) < SNAPSHOT_INTERVAL) {
            return;
        }
        if self.snapshots.len() >= MAX_SNAPSHOTS {
            self.snapshots.pop_front();
        }
        self.snapshots.push_back((now, totals.clone()));
    }

    /// Counts of the last [`PERIODS`], the shortest first, and of the whole time.
    #[must_use]
    pub fn periods(
        &self,
        totals: &EvidenceTotals,
        now: boot_clock::BootInstant,
    ) -> Vec<EvidenceTotals> {
        let snapshots = |period| {
            let mut older = self.snapshots.iter().rev();
            older.find(move |(at, _totals)| now.since(*at) >= period)
        };
        let periods = PERIODS.into_iter().filter_map(snapshots);
        let periods = periods.map(|(_at, earlier)| totals.since(earlier));
        periods.chain([totals.clone()]).collect()
    }

    /// Number of routers whose last report is recent.
    #[must_use]
    pub fn fresh_count(&self, now: boot_clock::BootInstant) -> usize {
        self.reports
            .values()
            .filter(|known| is_fresh(known, now))
            .count()
    }

    /// Whether all of `routers` reported, after they were told that the old version drains, that they
    /// have no requests in flight there.
    #[must_use]
    pub fn is_drained(&self, routers: &[String], now: boot_clock::BootInstant) -> bool {
        routers.iter().all(|router| {
            self.reports.get(router).is_some_and(|known| {
                is_fresh(known, now) && known.drain_reports > 1 && known.report.in_flight_old == 0
            })
        })
    }
}

fn is_fresh(known: &KnownReport, now: boot_clock::BootInstant) -> bool {
    now.since(known.received_at) < MAX_REPORT_AGE
}
