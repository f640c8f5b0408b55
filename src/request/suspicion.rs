//! Adaptive timeout after which an endpoint with a silent stream is suspected to have failed.
//!
//! The timeout is a multiple of a high quantile of the endpoint's gaps between tokens, clamped
//! between a floor and a cap.

use std::time;

/// Lower bound of the timeout between tokens.
pub const SILENCE_FLOOR: time::Duration = time::Duration::from_millis(300);

/// Upper bound of the timeout between tokens, and its value until enough gaps are recorded.
pub const SILENCE_CAP: time::Duration = time::Duration::from_millis(1_200);

/// Timeout before the first token; engines send a comment every second until then.
pub const FIRST_TOKEN_SILENCE: time::Duration = time::Duration::from_secs(2);

const QUANTILE: f64 = 0.999;
const QUANTILE_FACTOR: u32 = 3;
const MAX_GAP_MS: u64 = 60_000;
const SIGNIFICANT_DIGITS: u8 = 2;
const SAMPLES_PER_UPDATE: u32 = 64;
const SAMPLES_PER_WINDOW: u64 = 16_384;

/// Estimates the timeout of one endpoint from its gaps between tokens.
#[derive(Clone, Debug)]
pub struct GapEstimator {
    histogram: hdrhistogram::Histogram<u32>,
    pending: u32,
    limit: time::Duration,
}

impl Default for GapEstimator {
    fn default() -> Self {
        let histogram = hdrhistogram::Histogram::new_with_bounds(1, MAX_GAP_MS, SIGNIFICANT_DIGITS)
            .expect("the constant bounds are valid");
        Self {
            histogram,
            pending: 0,
            limit: SILENCE_CAP,
        }
    }
}

impl GapEstimator {
    /// Records the gap between two tokens.
    pub fn record(&mut self, gap: time::Duration) {
        let millis = u64::try_from(gap.as_millis()).unwrap_or(MAX_GAP_MS);
        self.histogram
            .saturating_record(millis.clamp(1, MAX_GAP_MS));
        self.pending += 1;
        if self.pending < SAMPLES_PER_UPDATE {
            return;
        }
        self.pending = 0;
        self.limit = self.quantile_limit();
        if self.histogram.len() >= SAMPLES_PER_WINDOW {
            // An empty window lets the limit adapt when the token rate of the endpoint changes.
            self.histogram.reset();
        }
    }

    /// Time without a token after which the endpoint is suspected to have failed.
    #[must_use]
    pub fn limit(&self) -> time::Duration {
        self.limit
    }

    fn quantile_limit(&self) -> time::Duration {
        let quantile = self.histogram.value_at_quantile(QUANTILE);
        let limit = time::Duration::from_millis(quantile) * QUANTILE_FACTOR;
        limit.clamp(SILENCE_FLOOR, SILENCE_CAP)
    }
}
