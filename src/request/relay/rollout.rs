//! Chooses between software versions of a service while it is rolled out, behind a trait.

use std::fmt;
use std::time;

/// Versions that an attempt may be sent to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum VersionDraw {
    /// Any version, as no roll-out is known for the service.
    #[default]
    Any,
    /// Only endpoints of this version.
    Only(String),
    /// Endpoints of all versions but this one.
    AllBut(String),
    /// No endpoint.
    Nothing,
}

impl VersionDraw {
    /// Whether an endpoint of `version` may be used.
    #[must_use]
    pub fn allows(&self, version: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => version == only,
            Self::AllBut(excluded) => version != excluded,
            Self::Nothing => false,
        }
    }
}

/// How an attempt at an endpoint ended, as far as it tells about the endpoint's version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionOutcome {
    /// The endpoint answered with this HTTP status.
    Status(u16),
    /// The endpoint was unreachable, closed the connection early or stalled.
    Lost,
}

impl VersionOutcome {
    /// Whether the answer counts against the version, whatever time it took.
    #[must_use]
    pub const fn is_bad(self) -> bool {
        match self {
            Self::Status(status) => status >= 500,
            Self::Lost => true,
        }
    }
}

/// Decides on the version of each attempt and counts how the versions do.
///
/// `record_end` follows each `record_sent` once, whatever became of the attempt.
pub trait VersionPolicy: fmt::Debug + Send + Sync {
    /// Draws the versions that an attempt at `service` may use. `random` is at least 0 and under 1.
    fn draw(&self, service: &str, random: f64) -> VersionDraw;

    /// Records that an attempt was sent to an endpoint of `version`.
    fn record_sent(&self, service: &str, version: &str, route: &str);

    /// Records the answer to an attempt. `latency` is the time to the first event of a stream, or to the
    /// end of the answer to a call; for a lost attempt it is the time until the loss.
    fn record_answer(
        &self,
        service: &str,
        version: &str,
        route: &str,
        outcome: VersionOutcome,
        latency: time::Duration,
    );

    /// Records that an attempt is no longer in flight.
    fn record_end(&self, service: &str, version: &str, route: &str);
}

/// Policy of deployments without roll-outs; allows all versions and counts nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnyVersion;

impl VersionPolicy for AnyVersion {
    fn draw(&self, _service: &str, _random: f64) -> VersionDraw {
        VersionDraw::Any
    }

    fn record_sent(&self, _service: &str, _version: &str, _route: &str) {}

    fn record_answer(
        &self,
        _service: &str,
        _version: &str,
        _route: &str,
        _outcome: VersionOutcome,
        _latency: time::Duration,
    ) {
    }

    fn record_end(&self, _service: &str, _version: &str, _route: &str) {}
}
