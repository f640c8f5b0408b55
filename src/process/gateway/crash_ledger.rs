//! Finds the features of requests that crash endpoints, from the crashes that all routers report.
//!
//! A crash also ends requests that are innocent, and an endpoint may crash for other reasons. A
//! feature is suspected only after several crashes of endpoints that ran a request with it, and not
//! while other requests with it are answered. The module does no I/O and takes the time as an
//! argument.

use std::collections;
use std::time;

use crate::process::gateway::{boot_clock, crash_record, feature_success};
use crate::request::relay::request_feature;

/// Time for which a crash counts.
const CRASH_RETENTION: time::Duration = time::Duration::from_secs(10 * 60);

/// Maximum number of crashes that are kept; the oldest is dropped first.
const MAX_CRASHES: usize = 1_024;

/// Endpoints that must have crashed before a feature is suspected, as a single one may be broken.
const MIN_ENDPOINTS: usize = 2;

/// Crashes after which a feature is suspected if no request with it was ever answered. They must
/// come from at least [`MIN_REQUESTS`] requests, as one request can meet several failing endpoints by
/// chance.
const MIN_CRASHES: usize = 3;
const MIN_REQUESTS: usize = 2;

/// Crashes apart from those of the endpoint that crashed most often, before a whole request is
/// suspected. That endpoint may crash whatever it runs.
const MIN_OTHER_CRASHES: usize = 2;

/// Consecutive attempts, each sent after the crash before it, after which a part of a prompt is
/// suspected in any case. Many engines that crash at once for another reason count as one.
const MIN_CONSECUTIVE: usize = 3;

/// Consecutive attempts after which a whole request that was once answered is suspected. Sound
/// requests that come often are in flight at many crashes.
const MIN_CONSECUTIVE_WORKED: usize = 5;

/// Part of all crashes in the meantime that a whole request that was once answered must have been
/// in flight at.
const MIN_SHARE_WORKED: f64 = 0.8;

/// Crashes after which a whole request that was never answered is suspected although another one
/// was in flight at all of them.
const MAX_TIED_CRASHES: usize = 5;

/// Crashes after which a part is suspected although likelier parts explain some of them. Crashes
/// with the same likelier part count as one.
const MIN_SEPARATE: usize = 4;

/// Age up to which crashes are told to peers whatever requests were lost in them.
const RECENT_TIME: time::Duration = time::Duration::from_secs(30);

/// Maximum number of crashes in one reply to a peer.
const MAX_TOLD_CRASHES: usize = 256;

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
    successes: feature_success::SuccessTable,
}

impl CrashLedger {
    /// Records a crash unless it is known already.
    pub fn record_crash(&mut self, crash: crash_record::CrashRecord, now: boot_clock::BootInstant) {
        let is_old =
            |known: &crash_record::CrashRecord| now.since(known.crashed_at) > CRASH_RETENTION;
        while self.crashes.front().is_some_and(is_old) || self.crashes.len() >= MAX_CRASHES {
            self.crashes.pop_front();
        }
        let is_same = |known: &crash_record::CrashRecord| {
            known.request == crash.request && crash_record::is_same_crash(known, &crash)
        };
        if !self.crashes.iter().any(is_same) {
            self.crashes.push_back(crash);
        }
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
    ) -> Vec<crash_record::CrashRecord> {
        let has_one = |crash: &&crash_record::CrashRecord| has_any(crash, features);
        self.crashes.iter().filter(has_one).cloned().collect()
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
        let own: Vec<&crash_record::CrashRecord> = self
            .crashes
            .iter()
            .filter(|crash| has_any(crash, features))
            .collect();
        let beside = self.crashes.iter().filter(|lost| {
            own.iter()
                .any(|crash| crash_record::is_same_crash(crash, lost))
        });
        let lost = beside.flat_map(|crash| crash.features.iter());
        let related: collections::HashSet<_> = features.iter().chain(lost).copied().collect();
        let bears = |crash: &&crash_record::CrashRecord| {
            now.since(crash.crashed_at) <= RECENT_TIME
                || crash
                    .features
                    .iter()
                    .any(|feature| related.contains(feature))
        };
        let newest = self.crashes.iter().rev().filter(bears);
        let crashes: Vec<crash_record::CrashRecord> =
            newest.take(MAX_TOLD_CRASHES).cloned().collect();
        let told = crashes.iter().flat_map(|crash| crash.features.iter());
        let told: collections::BTreeSet<_> = features.iter().chain(told).copied().collect();
        let successes = told.into_iter().filter_map(|feature| {
            let at = self.successes.last(feature)?;
            Some(feature_success::FeatureSuccess { feature, at })
        });
        CrashEvidence {
            successes: successes.collect(),
            crashes,
        }
    }

    /// Returns the suspects among `features`, those of a request that has just crashed an endpoint.
    #[must_use]
    pub fn suspects(&self, features: &[request_feature::RequestFeature]) -> Vec<SuspectFeatures> {
        let mut suspects: Vec<SuspectFeatures> = features
            .iter()
            .filter_map(|feature| self.suspect(*feature))
            .collect();
        suspects.sort_unstable();
        suspects.dedup();
        suspects
    }

    /// Returns `feature` and those that it cannot be told apart from, if it is suspected.
    fn suspect(&self, feature: request_feature::RequestFeature) -> Option<SuspectFeatures> {
        let success = self.successes.last(feature);
        let is_counted = |crash: &&crash_record::CrashRecord| {
            crash.features.contains(&feature) && Some(crash.crashed_at) > success
        };
        let crashes = crash_record::in_order(self.crashes.iter().filter(is_counted));
        if crash_record::count(&crashes, |crash| crash.endpoint) < MIN_ENDPOINTS {
            return None;
        }
        let is_suspect = if feature.is_whole() {
            self.is_whole_suspect(feature, &crashes)
        } else {
            self.is_part_suspect(&crashes, success)
        };
        if !is_suspect {
            return None;
        }
        let mut common = crashes.first()?.features.clone();
        common.retain(|other| {
            let is_common = crashes.iter().all(|crash| crash.features.contains(other));
            *other == feature || (is_common && self.successes.last(*other) == success)
        });
        common.sort_unstable();
        common.dedup();
        Some(common)
    }

    /// Whether a part of prompts that last worked at `success` is suspected after `crashes`.
    fn is_part_suspect(
        &self,
        crashes: &[&crash_record::CrashRecord],
        success: Option<boot_clock::BootInstant>,
    ) -> bool {
        let distinct = crash_record::distinct_crashes(crashes);
        let has_enough = crash_record::consecutive(&distinct) >= MIN_CONSECUTIVE
            || is_enough_for_new(crashes, success);
        has_enough
            && !self.is_repeated_request(crashes, success)
            && !self.is_explained(&distinct, success)
    }

    /// Whether a whole request is suspected after `crashes`, those since it last worked.
    fn is_whole_suspect(
        &self,
        whole: request_feature::RequestFeature,
        crashes: &[&crash_record::CrashRecord],
    ) -> bool {
        let success = self.successes.last(whole);
        let distinct = crash_record::distinct_crashes(crashes);
        if crash_record::count(crashes, |crash| crash.request) < MIN_REQUESTS
            || crash_record::other_crashes(&distinct) < MIN_OTHER_CRASHES
        {
            return false;
        }
        if success.is_none() {
            return distinct.len() >= MIN_CRASHES
                && (distinct.len() >= MAX_TIED_CRASHES || !self.is_overshadowed(whole, &distinct));
        }
        crash_record::consecutive(&distinct) >= MIN_CONSECUTIVE_WORKED
            && self.share_since(&distinct) >= MIN_SHARE_WORKED
            && !self.is_overshadowed(whole, &distinct)
    }

    /// Whether all `crashes` are of one repeated request, which is likelier at fault than a part that
    /// last worked at `success`.
    fn is_repeated_request(
        &self,
        crashes: &[&crash_record::CrashRecord],
        success: Option<boot_clock::BootInstant>,
    ) -> bool {
        let features = crashes.iter().flat_map(|crash| &crash.features);
        let mut wholes = features.filter(|feature| feature.is_whole());
        wholes.any(|whole| {
            self.successes.last(*whole) < success
                && crashes.iter().all(|crash| crash.features.contains(whole))
        })
    }

    /// Whether another whole request, which worked no more recently than `whole`, was lost in all of
    /// `crashes` and in as many altogether.
    fn is_overshadowed(
        &self,
        whole: request_feature::RequestFeature,
        crashes: &[&crash_record::CrashRecord],
    ) -> bool {
        let success = self.successes.last(whole);
        let Some(first) = crashes.first() else {
            return false;
        };
        let rivals = self.lost_in(first).flat_map(|lost| &lost.features);
        let rivals: collections::HashSet<_> = rivals
            .filter(|rival| {
                **rival != whole && rival.is_whole() && self.successes.last(**rival) <= success
            })
            .collect();
        rivals.into_iter().any(|rival| {
            let mut lost = crashes.iter().map(|crash| self.lost_in(crash));
            lost.all(|mut lost| lost.any(|lost| lost.features.contains(rival)))
                && self.crash_count(*rival) >= crashes.len()
        })
    }

    /// Number of all known crashes in which requests with `feature` were lost.
    fn crash_count(&self, feature: request_feature::RequestFeature) -> usize {
        let crashes = self.crashes.iter();
        let lost = crashes.filter(|crash| crash.features.contains(&feature));
        crash_record::distinct_crashes(&crash_record::in_order(lost)).len()
    }

    /// Part that `crashes`, distinct and in order of time, are of all since the first of them.
    fn share_since(&self, crashes: &[&crash_record::CrashRecord]) -> f64 {
        let Some(first) = crashes.first() else {
            return 0.0;
        };
        let crashes_since = self.crashes.iter();
        let crashes_since = crashes_since.filter(|crash| first.crashed_at <= crash.crashed_at);
        let total = crash_record::distinct_crashes(&crash_record::in_order(crashes_since))
            .len()
            .max(1);
        #[expect(
            clippy::cast_precision_loss,
            reason = "there are at most 1,024 crashes"
        )]
        let share = crashes.len() as f64 / total as f64;
        share
    }

    /// Records of all requests that were lost in `crash`.
    fn lost_in<'a>(
        &'a self,
        crash: &'a crash_record::CrashRecord,
    ) -> impl Iterator<Item = &'a crash_record::CrashRecord> {
        let records = self.crashes.iter();
        records.filter(move |lost| crash_record::is_same_crash(lost, crash))
    }

    /// Whether `crashes` are too few to suspect a part that last worked at `success`, as likelier parts
    /// explain them.
    fn is_explained(
        &self,
        crashes: &[&crash_record::CrashRecord],
        success: Option<boot_clock::BootInstant>,
    ) -> bool {
        let mut known = collections::HashSet::new();
        let mut separate = 0;
        for crash in crashes {
            let likelier = self.likelier_parts(crash, success);
            separate += usize::from(likelier.is_disjoint(&known));
            known.extend(likelier);
        }
        !known.is_empty() && separate < MIN_SEPARATE
    }

    /// Parts that worked less recently than `success`, of all prompts that were lost in `crash`.
    fn likelier_parts(
        &self,
        crash: &crash_record::CrashRecord,
        success: Option<boot_clock::BootInstant>,
    ) -> collections::HashSet<request_feature::RequestFeature> {
        let parts = self
            .lost_in(crash)
            .flat_map(|lost| lost.features.iter().copied())
            .filter(|feature| !feature.is_whole());
        parts
            .filter(|part| self.successes.last(*part) < success)
            .collect()
    }
}

fn has_any(
    crash: &crash_record::CrashRecord,
    features: &[request_feature::RequestFeature],
) -> bool {
    let mut own = crash.features.iter();
    own.any(|feature| features.contains(feature))
}

/// Whether `crashes` are enough to suspect a feature that was never answered.
fn is_enough_for_new(
    crashes: &[&crash_record::CrashRecord],
    success: Option<boot_clock::BootInstant>,
) -> bool {
    success.is_none()
        && crash_record::distinct_crashes(crashes).len() >= MIN_CRASHES
        && crash_record::count(crashes, |crash| crash.request) >= MIN_REQUESTS
}
