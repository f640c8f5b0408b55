//! Engine reports, and whether an engine still holds a request; does no I/O.

/// A running request in an engine's report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineRun {
    /// Request identifier.
    pub request: String,
    /// Tokens in the KV cache.
    pub tokens: u64,
    /// Events generated so far.
    pub events: u64,
}

/// State of an engine; a few hundred milliseconds old when it arrives.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// Start time of the engine, in milliseconds since the Unix epoch; 0 when it reports none.
    pub incarnation: u64,
    /// Whether the engine is shutting down.
    pub is_leaving: bool,
    /// Queued requests.
    pub waiting: u32,
    /// Requests in prefill or generation.
    pub running: u32,
    /// KV cache in use, in tokens.
    pub memory_used: u64,
    /// KV cache size in tokens; 0 when the engine does not report it.
    pub memory_total: u64,
    /// Running requests that have completed prefill; `None` when the engine does not list them.
    pub runs: Option<Vec<EngineRun>>,
}

impl EngineReport {
    /// Whether the report is of another incarnation than `expected`; an unknown one, 0, matches any.
    #[must_use]
    pub const fn is_of_other(&self, expected: u64) -> bool {
        self.incarnation != 0 && expected != 0 && self.incarnation != expected
    }

    /// Running requests still in prefill; all running requests when the engine does not list them.
    #[must_use]
    pub fn prefilling(&self) -> u32 {
        let listed = self.runs.as_ref().map_or(self.running, |runs| {
            u32::try_from(runs.len()).unwrap_or(u32::MAX)
        });
        self.running.saturating_sub(listed)
    }
}

/// Tracks one request through consecutive reports of its engine.
///
/// A response may be lost on its way from a healthy engine. The only sign is that the engine's
/// report no longer lists the request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunTracker {
    was_listed: bool,
    misses: u32,
}

/// Consecutive reports that cannot include the request before it counts as lost; the first report
/// may be older than the request.
const MAX_MISSES: u32 = 2;

impl RunTracker {
    /// Whether the engine may still hold `request` according to its newest `report`.
    pub fn is_held(&mut self, report: &EngineReport, request: &str) -> bool {
        let Some(runs) = &report.runs else {
            return true;
        };
        if runs.iter().any(|run| run.request == request) {
            self.was_listed = true;
            self.misses = 0;
            return true;
        }
        if self.was_listed {
            return false;
        }
        let listed = u32::try_from(runs.len()).unwrap_or(u32::MAX);
        if report.waiting > 0 || report.running > listed {
            // The request may be queued or in prefill, and is not listed then.
            self.misses = 0;
            return true;
        }
        self.misses += 1;
        self.misses < MAX_MISSES
    }
}
