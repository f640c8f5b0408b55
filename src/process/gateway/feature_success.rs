//! When requests with certain features were last answered.

use std::collections;

use crate::process::gateway::boot_clock;
use crate::request::relay::request_feature;

/// Half of the maximum number of features of one kind whose successes are kept, of some 25 bytes each. A
/// prompt may have many parts, and a sound part whose success is forgotten is suspected sooner.
const SUCCESS_GENERATION: usize = 16_384;

/// When a request with a feature was last answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FeatureSuccess {
    /// The feature.
    pub feature: request_feature::RequestFeature,
    /// When an endpoint had answered a request with it.
    pub at: boot_clock::BootInstant,
}

/// Last successes of the features seen most recently. Each request has a fingerprint, so these are
/// kept apart, lest they displace the parts of prompts.
#[derive(Debug, Default)]
pub struct SuccessTable {
    parts: SuccessGenerations,
    wholes: SuccessGenerations,
}

impl SuccessTable {
    /// Records that a request with this feature was answered.
    pub fn record(&mut self, success: FeatureSuccess) {
        if success.feature.is_whole() {
            return self.wholes.record(success);
        }
        self.parts.record(success);
    }

    /// When a request with `feature` was last answered; `None` if it is not known to have been.
    #[must_use]
    pub fn last(
        &self,
        feature: request_feature::RequestFeature,
    ) -> Option<boot_clock::BootInstant> {
        if feature.is_whole() {
            return self.wholes.last(feature);
        }
        self.parts.last(feature)
    }
}

/// Successes in two generations: when the newer one is full, it replaces the older one.
#[derive(Debug, Default)]
struct SuccessGenerations {
    newer: collections::HashMap<request_feature::RequestFeature, boot_clock::BootInstant>,
    older: collections::HashMap<request_feature::RequestFeature, boot_clock::BootInstant>,
}

impl SuccessGenerations {
    fn record(&mut self, success: FeatureSuccess) {
        if self.newer.len() >= SUCCESS_GENERATION {
            self.older = std::mem::take(&mut self.newer);
        }
        let last = self.newer.entry(success.feature).or_insert(success.at);
        *last = success.at.max(*last);
    }

    fn last(&self, feature: request_feature::RequestFeature) -> Option<boot_clock::BootInstant> {
        let newer = self.newer.get(&feature).copied();
        newer.max(self.older.get(&feature).copied())
    }
}
