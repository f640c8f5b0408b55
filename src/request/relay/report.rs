//! What an engine's report says about one request: pure decisions.

/// A request that an engine holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineRun {
    /// Identifier of the request.
    pub request: String,
    /// Tokens in memory.
    pub tokens: u64,
    /// Events made.
    pub events: u64,
}

/// An engine's report, some hundred milliseconds old when it arrives.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// Whether the engine is about to go.
    pub is_leaving: bool,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that are computed.
    pub running: u32,
    /// Tokens of memory in use.
    pub memory_used: u64,
    /// Tokens of memory in all.
    pub memory_total: u64,
    /// Those of the running requests whose prompt was read; `None` when the engine does not list
    /// them.
    pub runs: Option<Vec<EngineRun>>,
}

impl EngineReport {
    /// Requests that are computed and whose prompt is not read yet, as far as the engine tells.
    #[must_use]
    pub fn prefilling(&self) -> u32 {
        let listed = self.runs.as_ref().map_or(self.running, |runs| {
            u32::try_from(runs.len()).unwrap_or(u32::MAX)
        });
        self.running.saturating_sub(listed)
    }
}

/// Follows one request through the reports of its engine.
///
/// An engine may lose an answer on its way and be sound otherwise; then it does not list the request
/// any more, and nothing else tells.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunTracker {
    was_listed: bool,
    misses: u32,
}

/// Reports in a row that have no room for the request before it is taken as lost; the first may be
/// older than the request.
const MAX_MISSES: u32 = 2;

impl RunTracker {
    /// Whether the engine still has the request, as far as its newest report tells.
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
            // It may be the one that waits or whose prompt is being read.
            self.misses = 0;
            return true;
        }
        self.misses += 1;
        self.misses < MAX_MISSES
    }
}
