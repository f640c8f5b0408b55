//! Rate of requests that an endpoint accepts from all routers together.

use std::fmt;

/// Thousandths of a request in one request.
const MILLIREQUESTS: f64 = 1_000.0;

/// Rates above this are cut to it; no endpoint comes near.
const MAX_PER_SECOND: f64 = 1e9;

/// A rate in thousandths of a request a second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestRate(pub u64);

impl RequestRate {
    /// Converts from requests a second; `None` unless it is a number of at least zero.
    #[must_use]
    pub fn from_per_second(requests: f64) -> Option<Self> {
        if requests.is_nan() || requests < 0.0 {
            return None;
        }
        let rounded = (requests.min(MAX_PER_SECOND) * MILLIREQUESTS).round();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the value is a whole number from 0 to 1e12"
        )]
        Some(Self(rounded as u64))
    }

    /// Requests a second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        #[expect(
            clippy::cast_precision_loss,
            reason = "exact up to 2^53, far above any rate"
        )]
        let millirequests = self.0 as f64;
        millirequests / MILLIREQUESTS
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.per_second())
    }
}
