//! Decides which features of requests crash endpoints.
//!
//! A feature is suspected if two things hold:
//!
//! - There are enough crashes of endpoints that ran a request with it, and no request with it was
//!   answered meanwhile. Endpoints that crash at one moment count as one crash, as they may have failed
//!   together for another reason.
//! - No rival is likelier to have caused these crashes. A rival is another feature that was lost in
//!   them, in the same requests or in others.

use std::cell;
use std::cmp;
use std::collections;
use std::time;

use crate::process::gateway::{boot_clock, crash_ledger, crash_record, feature_success};
use crate::request::relay::request_feature;

/// Endpoints that must have crashed before a feature is suspected, as a single one may be broken.
const MIN_ENDPOINTS: usize = 2;

/// Moments of crashes after which a feature is suspected if no request with it was ever answered. They
/// must come from at least [`MIN_REQUESTS`] requests, as one request can meet several failing endpoints
/// by chance.
const MIN_MOMENTS: usize = 3;
const MIN_REQUESTS: usize = 2;

/// Time within which crashes of several endpoints are taken for one failure that they share. Attempts of
/// a whole request that crashes endpoints at once follow each other faster.
const PART_MOMENT: time::Duration = time::Duration::from_millis(100);
const WHOLE_MOMENT: time::Duration = time::Duration::from_millis(50);

/// Crashes apart from those of the endpoint that crashed most often, before a whole request is
/// suspected. That endpoint may crash whatever it runs.
const MIN_OTHER_CRASHES: usize = 2;

/// Consecutive attempts, each sent after the crash before it, after which a part of a prompt is
/// suspected in any case.
const MIN_CONSECUTIVE: usize = 3;

/// Consecutive attempts after which a whole request that was once answered is suspected. Sound
/// requests that come often are in flight at many crashes.
const MIN_CONSECUTIVE_WORKED: usize = 5;

/// Part of all crashes in the meantime that a whole request that was once answered must have been
/// in flight at.
const MIN_SHARE_WORKED: f64 = 0.8;

/// Crashes after which a feature is suspected although a rival of other requests was lost in all of
/// them and is as likely.
const MAX_TIED_CRASHES: usize = 5;

/// Crashes after which a part that was answered is suspected although features that never were explain
/// some of them. Crashes with the same such feature count as one.
const MIN_SEPARATE: usize = 4;

/// Maximum number of features in one block, as all routers and the store keep each block.
const MAX_SUSPECTS: usize = 64;

type FeatureSet = collections::HashSet<request_feature::RequestFeature>;

/// A crash of an endpoint and the requests that were lost in it.
#[derive(Debug)]
struct EndpointCrash<'a> {
    lost: Vec<&'a crash_record::CrashRecord>,
}

impl EndpointCrash<'_> {
    fn features(&self) -> FeatureSet {
        let features = self.lost.iter().flat_map(|lost| &lost.features);
        features.copied().collect()
    }

    fn has(&self, feature: request_feature::RequestFeature) -> bool {
        let mut lost = self.lost.iter();
        lost.any(|lost| lost.has(feature))
    }
}

/// A feature and the crashes of requests with it since it last worked.
#[derive(Debug)]
struct SuspectCase<'a> {
    feature: request_feature::RequestFeature,
    /// When a request with the feature was last answered.
    success: Option<boot_clock::BootInstant>,
    /// The first lost request with the feature of each crash, in order of time.
    crashes: Vec<&'a crash_record::CrashRecord>,
    /// Indices of these crashes among all.
    indices: Vec<usize>,
    /// Requests with the feature that were lost.
    requests: collections::HashSet<u64>,
}

/// Features that cannot be told apart have equal profiles: the same kind, the same last success, and the
/// same lost requests.
type FeatureProfile = (bool, Option<boot_clock::BootInstant>, Vec<usize>);

/// All known crashes and successes.
#[derive(Debug)]
struct SuspectSearch<'a> {
    crashes: Vec<EndpointCrash<'a>>,
    successes: &'a feature_success::SuccessTable,
    /// Number of the profile of each lost feature. One feature of each profile is judged for all, as long
    /// prompts have many that only occur together.
    profiles: collections::HashMap<request_feature::RequestFeature, usize>,
    /// Features that several of the lost requests have.
    repeated: cell::OnceCell<FeatureSet>,
}

/// Returns the suspects among `features`, given the requests that were lost in crashes until `until`
/// and all successes.
pub(super) fn find(
    lost: &collections::VecDeque<crash_record::CrashRecord>,
    successes: &feature_success::SuccessTable,
    features: &[request_feature::RequestFeature],
    until: boot_clock::BootInstant,
) -> Vec<crash_ledger::SuspectFeatures> {
    let mut crashes = group_by_crash(lost.iter());
    crashes.retain(|crash| crash.lost[0].crashed_at <= until);
    let search = SuspectSearch {
        profiles: number_profiles(&crashes, successes),
        crashes,
        successes,
        repeated: cell::OnceCell::new(),
    };
    let mut suspects: Vec<crash_ledger::SuspectFeatures> = search
        .one_of_each_profile(features.iter().copied())
        .filter_map(|feature| search.suspect(feature))
        .collect();
    suspects.sort_unstable();
    suspects.dedup();
    suspects
}

/// Leaves at most [`MAX_SUSPECTS`] of features that cannot be told apart, in ascending order.
///
/// Fingerprints of whole requests stay, as a block without them would cover more requests. Of the parts,
/// the lowest IDs stay: a sample that is the same at all routers, and that few other prompts have whole.
fn bound_suspects(suspects: crash_ledger::SuspectFeatures) -> crash_ledger::SuspectFeatures {
    if suspects.len() <= MAX_SUSPECTS {
        return suspects;
    }
    let (mut bounded, parts): (Vec<_>, Vec<_>) =
        suspects.into_iter().partition(|feature| feature.is_whole());
    bounded.extend(parts);
    bounded.truncate(MAX_SUSPECTS);
    bounded.sort_unstable();
    bounded
}

/// Crashes in order of time; each holds the requests that were lost in it in the same order.
fn group_by_crash<'a>(
    records: impl Iterator<Item = &'a crash_record::CrashRecord>,
) -> Vec<EndpointCrash<'a>> {
    let mut crashes: Vec<EndpointCrash<'a>> = Vec::new();
    let mut newest: collections::HashMap<u64, usize> = collections::HashMap::new();
    for lost in crash_record::in_order(records) {
        let known = newest.get(&lost.endpoint).copied();
        let same = known.filter(|index| crash_record::is_same_crash(crashes[*index].lost[0], lost));
        if let Some(index) = same {
            crashes[index].lost.push(lost);
            continue;
        }
        newest.insert(lost.endpoint, crashes.len());
        crashes.push(EndpointCrash { lost: vec![lost] });
    }
    crashes
}

fn number_profiles(
    crashes: &[EndpointCrash<'_>],
    successes: &feature_success::SuccessTable,
) -> collections::HashMap<request_feature::RequestFeature, usize> {
    let mut occurrences: collections::HashMap<_, Vec<usize>> = collections::HashMap::new();
    let lost = crashes.iter().flat_map(|crash| &crash.lost);
    for (index, lost) in lost.enumerate() {
        for feature in &lost.features {
            occurrences.entry(*feature).or_default().push(index);
        }
    }
    let mut numbers: collections::HashMap<FeatureProfile, usize> = collections::HashMap::new();
    let numbered = occurrences.into_iter().map(|(feature, indices)| {
        let next = numbers.len();
        let profile = (feature.is_whole(), successes.last(feature), indices);
        (feature, *numbers.entry(profile).or_insert(next))
    });
    numbered.collect()
}

impl<'a> SuspectSearch<'a> {
    /// The first of `features` with each profile; features that were not lost are left out.
    fn one_of_each_profile(
        &self,
        features: impl Iterator<Item = request_feature::RequestFeature>,
    ) -> impl Iterator<Item = request_feature::RequestFeature> {
        let mut seen = collections::HashSet::new();
        features.filter(move |feature| {
            let number = self.profiles.get(feature);
            number.is_some_and(|number| seen.insert(*number))
        })
    }

    /// Returns `feature` and those that it cannot be told apart from, if it is suspected.
    fn suspect(
        &self,
        feature: request_feature::RequestFeature,
    ) -> Option<crash_ledger::SuspectFeatures> {
        let case = self.case(feature);
        if !self.has_enough_crashes(&case) || self.has_likelier_rival(&case) {
            return None;
        }
        let mut common = case.crashes.first()?.features.clone();
        common.retain(|other| {
            let mut lost = self.own_records(&case);
            let is_common = lost.all(|lost| lost.has(*other));
            *other == feature || (is_common && self.successes.last(*other) == case.success)
        });
        common.sort_unstable();
        common.dedup();
        Some(bound_suspects(common))
    }

    fn case(&self, feature: request_feature::RequestFeature) -> SuspectCase<'a> {
        let success = self.successes.last(feature);
        let mut case = SuspectCase {
            feature,
            success,
            crashes: Vec::new(),
            indices: Vec::new(),
            requests: collections::HashSet::new(),
        };
        for (index, crash) in self.crashes.iter().enumerate() {
            let mut own = crash.lost.iter().filter(|lost| case.counts(lost));
            let Some(first) = own.next() else {
                continue;
            };
            let requests: Vec<u64> = own.map(|lost| lost.request).collect();
            case.crashes.push(first);
            case.indices.push(index);
            case.requests.insert(first.request);
            case.requests.extend(requests);
        }
        case
    }

    /// Lost requests with the feature of `case`.
    fn own_records(
        &self,
        case: &SuspectCase<'_>,
    ) -> impl Iterator<Item = &'a crash_record::CrashRecord> {
        let crashes = case.indices.iter().map(|index| &self.crashes[*index]);
        let lost = crashes.flat_map(|crash| crash.lost.iter().copied());
        lost.filter(|lost| case.counts(lost))
    }

    fn has_enough_crashes(&self, case: &SuspectCase<'_>) -> bool {
        let crashes = case.crashes.as_slice();
        if crash_record::count(crashes, |crash| crash.endpoint) < MIN_ENDPOINTS {
            return false;
        }
        let moment = if case.feature.is_whole() {
            WHOLE_MOMENT
        } else {
            PART_MOMENT
        };
        let is_enough_for_new = case.success.is_none()
            && crash_record::moments(crashes, moment) >= MIN_MOMENTS
            && case.requests.len() >= MIN_REQUESTS;
        let consecutive = crash_record::consecutive(crashes);
        if !case.feature.is_whole() {
            return is_enough_for_new || consecutive >= MIN_CONSECUTIVE;
        }
        let is_enough_for_worked = case.success.is_some()
            && case.requests.len() >= MIN_REQUESTS
            && consecutive >= MIN_CONSECUTIVE_WORKED
            && self.share_since(case) >= MIN_SHARE_WORKED;
        crash_record::other_crashes(crashes) >= MIN_OTHER_CRASHES
            && (is_enough_for_new || is_enough_for_worked)
    }

    /// Part that the crashes of `case` are of all since the first of them.
    fn share_since(&self, case: &SuspectCase<'_>) -> f64 {
        let first = case.indices.first().copied().unwrap_or_default();
        #[expect(
            clippy::cast_precision_loss,
            reason = "there are at most 1,024 crashes"
        )]
        let share = case.indices.len() as f64 / (self.crashes.len() - first).max(1) as f64;
        share
    }

    /// Whether another feature is likelier to have caused the crashes of `case`.
    fn has_likelier_rival(&self, case: &SuspectCase<'_>) -> bool {
        let rivals = self.lost_in_all(case).into_iter();
        let mut rivals = self.one_of_each_profile(rivals);
        rivals.any(|rival| self.is_likelier(rival, case)) || self.is_explained_by_new(case)
    }

    /// Other features that were lost in all crashes of `case`.
    fn lost_in_all(&self, case: &SuspectCase<'_>) -> FeatureSet {
        let mut crashes = case.indices.iter().map(|index| &self.crashes[*index]);
        let mut features = crashes.next().map(EndpointCrash::features);
        for crash in crashes {
            let known = features.get_or_insert_default();
            known.retain(|feature| crash.has(*feature));
        }
        let mut rivals = features.unwrap_or_default();
        rivals.remove(&case.feature);
        rivals
    }

    /// Whether `rival`, lost in all crashes of `case`, is the likelier cause of them.
    ///
    /// That is the one that worked less recently. Of two that worked at the same time, or never:
    ///
    /// - If all requests with the rival have the feature of `case`, but not the other way round, it is the
    ///   rival: what more requests share is in flight at more crashes by chance.
    /// - If they come in different requests, it is the one that was lost in more crashes. With as many,
    ///   neither is suspected at first.
    fn is_likelier(&self, rival: request_feature::RequestFeature, case: &SuspectCase<'_>) -> bool {
        match self.successes.last(rival).cmp(&case.success) {
            cmp::Ordering::Less => return true,
            cmp::Ordering::Greater => return false,
            cmp::Ordering::Equal => {}
        }
        let rival = self.case(rival);
        if rival.requests.is_disjoint(&case.requests) {
            let (own, others) = (case.indices.len(), rival.indices.len());
            return own < others || (own == others && own < MAX_TIED_CRASHES);
        }
        rival.requests.len() < case.requests.len() && rival.requests.is_subset(&case.requests)
    }

    /// Whether few features that were never answered explain the crashes of a part that was.
    fn is_explained_by_new(&self, case: &SuspectCase<'_>) -> bool {
        if case.success.is_none() || case.feature.is_whole() {
            return false;
        }
        // Crashes that have none of these features in common each need one of their own. Those that
        // are not counted add nothing, as prompts that overlap in time would connect all crashes.
        let mut known = FeatureSet::new();
        let mut separate = 0;
        for index in &case.indices {
            let new = self.new_rivals(&self.crashes[*index], case);
            if new.is_disjoint(&known) {
                separate += 1;
                known.extend(new);
            }
        }
        !known.is_empty() && separate < MIN_SEPARATE
    }

    /// Features lost in `crash` that were never answered. What a single request has counts only if it is
    /// a part of a prompt with the feature of `case`.
    fn new_rivals(&self, crash: &EndpointCrash<'_>, case: &SuspectCase<'_>) -> FeatureSet {
        let mut rivals = crash.features();
        rivals.retain(|feature| {
            let mut own = crash.lost.iter().filter(|lost| case.counts(lost));
            self.successes.last(*feature).is_none()
                && ((!feature.is_whole() && own.any(|lost| lost.has(*feature)))
                    || self.repeated().contains(feature))
        });
        rivals
    }

    fn repeated(&self) -> &FeatureSet {
        self.repeated.get_or_init(|| {
            let mut first_requests = collections::HashMap::new();
            let mut repeated = FeatureSet::new();
            for lost in self.crashes.iter().flat_map(|crash| &crash.lost) {
                for feature in &lost.features {
                    let first = *first_requests.entry(*feature).or_insert(lost.request);
                    if first != lost.request {
                        repeated.insert(*feature);
                    }
                }
            }
            repeated
        })
    }
}

impl SuspectCase<'_> {
    /// Whether `lost` is a request with the feature that was lost after the feature last worked.
    fn counts(&self, lost: &crash_record::CrashRecord) -> bool {
        lost.has(self.feature) && Some(lost.crashed_at) > self.success
    }
}
