//! Which software versions of a service the attempts of one request may use; does no I/O.

use crate::request::relay::rollout;

/// Draw that falls into the share of the new version only if that is all requests.
const LAST_DRAW: f64 = 1.0 - f64::EPSILON;

/// Rules for the versions of a service, beyond those of single attempts.
pub trait VersionRules: rollout::VersionPolicy {
    /// Records that a caller's request reached `service`.
    fn record_request(&self, service: &str);

    /// Whether a stream that began on `version` may go on there.
    fn may_resume(&self, service: &str, version: &str) -> bool;
}

impl VersionRules for rollout::AnyVersion {
    fn record_request(&self, _service: &str) {}

    fn may_resume(&self, _service: &str, _version: &str) -> bool {
        true
    }
}

/// Versions that one choice of an endpoint may use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionFilter {
    /// Versions to choose from.
    pub drawn: rollout::VersionDraw,
    /// Versions to choose from if no working endpoint of the others is left.
    pub fallback: Option<rollout::VersionDraw>,
}

impl VersionFilter {
    /// Allows all versions.
    pub const ANY: Self = Self {
        drawn: rollout::VersionDraw::Any,
        fallback: None,
    };

    /// Filter without a fallback.
    const fn only(drawn: rollout::VersionDraw) -> Self {
        Self {
            drawn,
            fallback: None,
        }
    }

    /// Whether an endpoint of `version` may be used if no better one is left.
    #[must_use]
    pub fn allows(&self, version: &str) -> bool {
        let fallback = self.fallback.as_ref();
        self.drawn.allows(version) || fallback.is_some_and(|fallback| fallback.allows(version))
    }
}

/// Versions that the attempts of one request may use.
///
/// A request draws once, so that repeated attempts do not give the new version more than its share of
/// the requests. After a failed attempt there it is left to the old version.
#[derive(Clone, Debug)]
pub struct VersionChoice {
    /// At least 0 and under 1.
    random: f64,
    failed: Vec<String>,
    started_on: Option<String>,
}

impl VersionChoice {
    /// Choice for a request that drew `random`, which is at least 0 and under 1.
    #[must_use]
    pub const fn new(random: f64) -> Self {
        Self {
            random,
            failed: Vec::new(),
            started_on: None,
        }
    }

    /// Records that an attempt at an endpoint of `version` failed.
    pub fn record_failure(&mut self, version: &str) {
        if !self.failed.iter().any(|known| known == version) {
            self.failed.push(version.to_owned());
        }
    }

    /// Records that the caller has a part of a stream from an endpoint of `version`. It goes on with
    /// that version only.
    pub fn record_start(&mut self, version: &str) {
        if self.started_on.as_deref() != Some(version) {
            self.started_on = Some(version.to_owned());
        }
    }

    /// Versions for the KV copy of the run of this request at an engine of `version`.
    #[must_use]
    pub fn copy_filter(
        &self,
        rules: &dyn VersionRules,
        service: &str,
        version: &str,
    ) -> VersionFilter {
        resume_filter(rules, service, version)
    }

    /// Versions that the next attempt at `service` may use.
    #[must_use]
    pub fn filter(&self, rules: &dyn VersionRules, service: &str) -> VersionFilter {
        if let Some(version) = &self.started_on {
            return resume_filter(rules, service, version);
        }
        let drawn = rules.draw(service, self.random);
        let rollout::VersionDraw::Only(new) = &drawn else {
            return VersionFilter::only(drawn);
        };
        let last = rules.draw(service, LAST_DRAW);
        if self.failed.contains(new) {
            return VersionFilter::only(last);
        }
        let fallback = (last != drawn).then_some(last);
        VersionFilter { drawn, fallback }
    }
}

/// Versions for a stream that began on `version`, and for its KV copy: that one alone, as what two
/// versions write does not fit together.
fn resume_filter(rules: &dyn VersionRules, service: &str, version: &str) -> VersionFilter {
    if !rules.may_resume(service, version) {
        return VersionFilter::only(rollout::VersionDraw::Nothing);
    }
    VersionFilter::only(rollout::VersionDraw::Only(version.to_owned()))
}
