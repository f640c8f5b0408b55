//! A request that was lost in a crash, and counts of crashes in a series of such records.

use std::collections;
use std::time;

use crate::process::gateway::boot_clock;
use crate::request::relay::request_feature;

/// Time in which an endpoint does not crash twice, as its restart takes longer. Reports of one crash
/// may differ by the time that they take between routers.
const RESTART_TIME: time::Duration = time::Duration::from_millis(300);

/// An endpoint that crashed while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashRecord {
    /// Hash of the request identifier.
    pub request: u64,
    /// Hash of the endpoint's name.
    pub endpoint: u64,
    /// Features of the request that may have caused the crash, in ascending order once the ledger holds
    /// the record.
    pub features: Vec<request_feature::RequestFeature>,
    /// When the request was sent to the endpoint.
    pub sent_at: boot_clock::BootInstant,
    /// When the endpoint crashed.
    pub crashed_at: boot_clock::BootInstant,
}

impl CrashRecord {
    /// Sorts the features, so that they can be looked up, and drops repeated ones.
    pub(super) fn normalize(&mut self) {
        self.features.sort_unstable();
        self.features.dedup();
    }

    /// Whether the request has `feature`; the record must be normalized.
    pub(super) fn has(&self, feature: request_feature::RequestFeature) -> bool {
        self.features.binary_search(&feature).is_ok()
    }
}

/// Whether two records are of the same crash of an endpoint.
pub(super) fn is_same_crash(one: &CrashRecord, other: &CrashRecord) -> bool {
    let (earlier, later) = (
        one.crashed_at.min(other.crashed_at),
        one.crashed_at.max(other.crashed_at),
    );
    one.endpoint == other.endpoint && later.since(earlier) < RESTART_TIME
}

/// Records in order of the time of their crash.
pub(super) fn in_order<'a>(crashes: impl Iterator<Item = &'a CrashRecord>) -> Vec<&'a CrashRecord> {
    let mut crashes: Vec<&CrashRecord> = crashes.collect();
    crashes.sort_unstable_by_key(|crash| crash.crashed_at);
    crashes
}

/// Number of different values of `field`.
pub(super) fn count(crashes: &[&CrashRecord], field: impl Fn(&CrashRecord) -> u64) -> usize {
    let values: collections::HashSet<u64> = crashes.iter().map(|crash| field(crash)).collect();
    values.len()
}

/// Number of `crashes` without those of the endpoint that has most of them.
pub(super) fn other_crashes(crashes: &[&CrashRecord]) -> usize {
    let mut counts: collections::HashMap<u64, usize> = collections::HashMap::new();
    for crash in crashes {
        *counts.entry(crash.endpoint).or_default() += 1;
    }
    crashes.len() - counts.into_values().max().unwrap_or_default()
}

/// Length of the chain of crashes, in order of time, in which each request was sent after the crash
/// before it.
pub(super) fn consecutive(crashes: &[&CrashRecord]) -> usize {
    let mut last: Option<boot_clock::BootInstant> = None;
    let mut count = 0;
    for crash in crashes {
        if last.is_none_or(|last| last <= crash.sent_at) {
            last = Some(crash.crashed_at);
            count += 1;
        }
    }
    count
}

/// Number of moments at which the `crashes`, in order of time, happened. A moment lasts for `time`.
pub(super) fn moments(crashes: &[&CrashRecord], time: time::Duration) -> usize {
    let mut began: Option<boot_clock::BootInstant> = None;
    let mut count = 0;
    for crash in crashes {
        if began.is_none_or(|began| crash.crashed_at.since(began) >= time) {
            began = Some(crash.crashed_at);
            count += 1;
        }
    }
    count
}
