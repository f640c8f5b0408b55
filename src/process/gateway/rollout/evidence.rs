//! Counts by which the versions of a service are compared.

use std::fmt;
use std::time;

use crate::process::gateway::rollout::plan;

/// Number of buckets of a latency histogram.
pub const BUCKET_COUNT: usize = 12;

/// Upper bound of the first bucket, in microseconds; each further bound is twice the one before, and
/// the last bucket has none. They span calls of a few milliseconds and first events after 5 s.
const FIRST_BOUND_MICROS: u64 = 5_000;

/// Maximum number of routes that are counted by themselves; the others count as one.
pub const MAX_ROUTES: usize = 16;

/// Name under which the routes beyond [`MAX_ROUTES`] are counted.
pub const OTHER_ROUTES: &str = "";

/// Latencies in fixed buckets, so that those of all routers can be added.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LatencyHistogram {
    /// Number of answers in each bucket.
    pub buckets: [u64; BUCKET_COUNT],
    /// Sum of all latencies, in microseconds. The buckets alone cannot tell a latency just under a bound
    /// from one just above it, which differ by a factor of two in the median.
    pub sum_micros: u64,
}

impl LatencyHistogram {
    /// Counts an answer.
    pub fn record(&mut self, latency: time::Duration) {
        let bucket = bucket_of(latency);
        if let Some(count) = self.buckets.get_mut(bucket) {
            *count = count.saturating_add(1);
            let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
            self.sum_micros = self.sum_micros.saturating_add(micros);
        }
    }

    /// Mean; `None` without answers.
    #[must_use]
    pub fn mean(&self) -> Option<time::Duration> {
        let mean = self.sum_micros.checked_div(self.total())?;
        Some(time::Duration::from_micros(mean))
    }

    /// Number of answers.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.buckets.iter().sum()
    }

    /// Median, interpolated within its bucket; `None` without answers.
    #[must_use]
    pub fn median(&self) -> Option<time::Duration> {
        let half = self.total().div_ceil(2);
        if half == 0 {
            return None;
        }
        let mut below = 0;
        for (index, count) in self.buckets.iter().enumerate() {
            if below + count >= half {
                let lower = if index == 0 { 0 } else { bound(index - 1) };
                let width = bound(index) - lower;
                // The last bucket is taken to be as wide as the others of the row.
                let within = width.saturating_mul(half - below) / (*count).max(1);
                return Some(time::Duration::from_micros(lower + within));
            }
            below += count;
        }
        None
    }

    /// Number of answers that took about `latency` or longer: those of all buckets from the one with the
    /// lower bound next to it, which is off by a factor of at most the square root of two.
    #[must_use]
    pub fn at_least(&self, latency: time::Duration) -> u64 {
        let near = latency.mul_f64(std::f64::consts::SQRT_2);
        self.buckets.iter().skip(bucket_of(near)).sum()
    }

    /// Adds the counts of another histogram.
    pub fn add(&mut self, other: &Self) {
        for (count, added) in self.buckets.iter_mut().zip(other.buckets) {
            *count = count.saturating_add(added);
        }
        self.sum_micros = self.sum_micros.saturating_add(other.sum_micros);
    }

    /// The counts since `earlier`.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        let mut rest = *self;
        for (count, before) in rest.buckets.iter_mut().zip(earlier.buckets) {
            *count = count.saturating_sub(before);
        }
        rest.sum_micros = rest.sum_micros.saturating_sub(earlier.sum_micros);
        rest
    }
}

/// Upper bound of a bucket, in microseconds.
const fn bound(index: usize) -> u64 {
    FIRST_BOUND_MICROS << index
}

/// Index of the bucket that holds `latency`.
fn bucket_of(latency: time::Duration) -> usize {
    let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
    let bounded = 0..BUCKET_COUNT - 1;
    bounded
        .into_iter()
        .find(|index| micros < bound(*index))
        .unwrap_or(BUCKET_COUNT - 1)
}

/// What became of the requests that were sent to one version on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerCounts {
    /// Requests sent.
    pub sent: u64,
    /// Answers with status 500 or above, and lost requests.
    pub bad: u64,
    /// Latencies of the other answers: first event of streams, whole answer of calls.
    pub latencies: LatencyHistogram,
}

impl AnswerCounts {
    /// Number of answers and lost requests.
    #[must_use]
    pub fn answers(&self) -> u64 {
        self.bad.saturating_add(self.latencies.total())
    }

    /// Adds other counts.
    pub fn add(&mut self, other: &Self) {
        self.sent = self.sent.saturating_add(other.sent);
        self.bad = self.bad.saturating_add(other.bad);
        self.latencies.add(&other.latencies);
    }

    /// The counts since `earlier`.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            sent: self.sent.saturating_sub(earlier.sent),
            bad: self.bad.saturating_sub(earlier.bad),
            latencies: self.latencies.since(&earlier.latencies),
        }
    }
}

/// Counts of one route.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteEvidence {
    /// Route name; [`OTHER_ROUTES`] for those that are not counted by themselves.
    pub route: String,
    /// Counts of all versions but the new one.
    pub old: AnswerCounts,
    /// Counts of the new version.
    pub new: AnswerCounts,
}

/// What one router has counted since it learned of an order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouterReport {
    /// Router name.
    pub router: String,
    /// Service name.
    pub service: String,
    /// Version of the store's row with the order.
    pub order_version: u64,
    /// Counts by route, at most [`MAX_ROUTES`] and one for the others.
    pub routes: Vec<RouteEvidence>,
    /// Requests in flight at other versions than the new one.
    pub in_flight_old: u64,
    /// Requests sent to the service, of all versions.
    pub requests_total: u64,
}

/// The counts of this router.
pub trait EvidenceSource: fmt::Debug + Send + Sync {
    /// Counts since the order of `plan` was first seen; the first call with an order starts them.
    fn report(&self, router: &str, plan: &plan::RolloutPlan) -> RouterReport;
}
