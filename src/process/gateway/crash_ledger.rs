//! Keeps the crashes that all routers report, and when requests with certain features were last
//! answered. The module does no I/O and takes the time as an argument.

use std::collections;
use std::time;

use crate::process::gateway::{boot_clock, crash_record, crash_suspects, feature_success};
use crate::request::relay::request_feature;

/// Time for which a crash counts.
const CRASH_RETENTION: time::Duration = time::Duration::from_secs(10 * 60);

/// Maximum number of crashes that are kept; the oldest is dropped first.
const MAX_CRASHES: usize = 1_024;

/// Maximum number of features of all crashes that are kept, 1 MiB; the oldest crash is dropped first. It
/// holds 30 prompts of as many parts as a request head of 16 KiB can name.
const MAX_FEATURES: usize = 131_072;

/// Age up to which crashes are told to peers whatever requests were lost in them.
const RECENT_TIME: time::Duration = time::Duration::from_secs(30);

/// Maximum number of crashes in one reply to a peer.
const MAX_TOLD_CRASHES: usize = 256;

/// Maximum number of features of all crashes in one reply to a peer, with 9 bytes each on the wire. A
/// reply has to arrive within 150 ms, and one prompt of as many parts as a request head can name must fit.
const MAX_TOLD_FEATURES: usize = 8_192;

/// Maximum number of successes in one reply to a peer, with at most 18 bytes each on the wire.
const MAX_TOLD_SUCCESSES: usize = 4_096;

/// What a router knows about some features of requests.
#[derive(Clone, Debug)]
pub struct CrashEvidence {
    /// Crashes of requests that have one of the features, and those that bear on these.
    pub crashes: Vec<crash_record::CrashRecord>,
    /// Last successes of the features of these requests.
    pub successes: Vec<feature_success::FeatureSuccess>,
}

/// Features that crash endpoints when a request has all of them, in ascending order.
///
/// Features that always occur together cannot be told apart, so they are suspected together. Requests
/// that have only some of them are still sent, which shows which feature it is.
pub type SuspectFeatures = Vec<request_feature::RequestFeature>;

/// Crashes that routers reported, and requests that endpoints answered.
#[derive(Debug, Default)]
pub struct CrashLedger {
    crashes: collections::VecDeque<crash_record::CrashRecord>,
    /// Features of all `crashes`.
    features: usize,
    successes: feature_success::SuccessTable,
}

impl CrashLedger {
    /// Records a crash unless it is known already.
    pub fn record_crash(
        &mut self,
        mut crash: crash_record::CrashRecord,
        now: boot_clock::BootInstant,
    ) {
        crash.normalize();
        let is_same = |known: &crash_record::CrashRecord| {
            known.request == crash.request && crash_record::is_same_crash(known, &crash)
        };
        if self.crashes.iter().any(is_same) {
            return;
        }
        let features = crash.features.len();
        let is_old =
            |known: &crash_record::CrashRecord| now.since(known.crashed_at) > CRASH_RETENTION;
        while self.crashes.front().is_some_and(is_old)
            || self.crashes.len() >= MAX_CRASHES
            || (self.features + features > MAX_FEATURES && !self.crashes.is_empty())
        {
            let dropped = self.crashes.pop_front();
            self.features -= dropped.map_or(0, |crash| crash.features.len());
        }
        self.features += features;
        self.crashes.push_back(crash);
    }

    /// Records that an endpoint answered a request with this feature.
    pub fn record_success(&mut self, success: feature_success::FeatureSuccess) {
        self.successes.record(success);
    }

    /// Crashes of requests that have one of `features`.
    #[must_use]
    pub fn crashes_of(
        &self,
        features: &[request_feature::RequestFeature],
    ) -> Vec<&crash_record::CrashRecord> {
        let features = features.iter().copied().collect();
        let has_one = |crash: &&crash_record::CrashRecord| has_any(crash, &features);
        self.crashes.iter().filter(has_one).collect()
    }

    /// What tells whether one of `features` crashes endpoints: crashes of requests with them, the other
    /// requests that were lost in these and their crashes, all recent crashes, and the successes of the
    /// features of all these requests.
    #[must_use]
    pub fn evidence_about(
        &self,
        features: &[request_feature::RequestFeature],
        now: boot_clock::BootInstant,
    ) -> CrashEvidence {
        let own = self.crashes_of(features);
        let beside = self.crashes.iter().filter(|lost| {
            own.iter()
                .any(|crash| crash_record::is_same_crash(crash, lost))
        });
        let lost = beside.flat_map(|crash| crash.features.iter());
        let related: collections::HashSet<_> = features.iter().chain(lost).copied().collect();
        let bears = |crash: &&crash_record::CrashRecord| {
            now.since(crash.crashed_at) <= RECENT_TIME || has_any(crash, &related)
        };
        let mut room = MAX_TOLD_FEATURES;
        let newest = self.crashes.iter().rev().filter(bears);
        let fits = newest.filter(|crash| {
            let left = room.checked_sub(crash.features.len());
            room = left.unwrap_or(room);
            left.is_some()
        });
        let crashes: Vec<crash_record::CrashRecord> =
            fits.take(MAX_TOLD_CRASHES).cloned().collect();
        let told = crashes.iter().flat_map(|crash| crash.features.iter());
        let told: collections::BTreeSet<_> = told.copied().collect();
        // Those of the request that is asked about come first.
        let others = told
            .difference(&features.iter().copied().collect())
            .copied()
            .collect::<Vec<_>>();
        let told = features.iter().copied().chain(others);
        let successes = told.filter_map(|feature| {
            let at = self.successes.last(feature)?;
            Some(feature_success::FeatureSuccess { feature, at })
        });
        let successes = successes.take(MAX_TOLD_SUCCESSES);
        CrashEvidence {
            successes: successes.collect(),
            crashes,
        }
    }

    /// Returns the suspects among `features`, those of a request that has just crashed an endpoint.
    #[must_use]
    pub fn suspects(&self, features: &[request_feature::RequestFeature]) -> Vec<SuspectFeatures> {
        let last = self.crashes.iter().map(|crash| crash.crashed_at).max();
        let Some(last) = last else {
            return Vec::new();
        };
        self.suspects_until(features, last)
    }

    /// As [`Self::suspects`], without crashes later than `until`: what was lost in these may not be known
    /// yet.
    #[must_use]
    pub fn suspects_until(
        &self,
        features: &[request_feature::RequestFeature],
        until: boot_clock::BootInstant,
    ) -> Vec<SuspectFeatures> {
        crash_suspects::find(&self.crashes, &self.successes, features, until)
    }
}

fn has_any(
    crash: &crash_record::CrashRecord,
    features: &collections::HashSet<request_feature::RequestFeature>,
) -> bool {
    let mut own = crash.features.iter();
    own.any(|feature| features.contains(feature))
}
