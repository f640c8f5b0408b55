//! Which of several asked engines gets a prompt: a pure decision.
//!
//! The load it answers: few prompts at a time, each of which keeps its engine busy for a second,
//! and many routers that know nothing of each other's requests. One engine then often gets two
//! prompts while its neighbours idle, and the second waits for the first.

use crate::request::relay::report;

/// Engines that are asked before a prompt is sent; more would cost more than they save.
pub const ASKED_ENGINES: usize = 3;

/// Weight of a prompt that waits or is being read, against one running request: reading keeps the
/// engine for a second, a running request slows it by a few parts in a thousand.
const PROMPT_WEIGHT: u64 = 1_000;

/// Weight of memory in use, in thousandths of all memory; decides between engines that read nothing.
const MEMORY_SCALE: u64 = 500;

/// What is known of one engine.
#[derive(Clone, Debug, Default)]
pub struct AskedEngine {
    /// Its report; `None` when none came in time.
    pub report: Option<report::EngineReport>,
    /// Requests that this router sent there since the report was made.
    pub recent: u32,
}

impl AskedEngine {
    /// Load of the engine; `None` when it gave no report.
    #[must_use]
    pub fn load(&self) -> Option<u64> {
        let report = self.report.as_ref()?;
        let listed = report.runs.as_ref().map_or(report.running, |runs| {
            u32::try_from(runs.len()).unwrap_or(u32::MAX)
        });
        let reading = report.running.saturating_sub(listed);
        let prompts = u64::from(report.waiting) + u64::from(reading) + u64::from(self.recent);
        let memory = (report.memory_used * MEMORY_SCALE).checked_div(report.memory_total);
        Some(prompts * PROMPT_WEIGHT + u64::from(listed) + memory.unwrap_or_default())
    }
}

/// Indices of the engines that stay, the one with the least load first; engines without a report come
/// last.
#[must_use]
pub fn by_load(engines: &[AskedEngine]) -> Vec<usize> {
    let stays = |index: &usize| {
        let report = engines[*index].report.as_ref();
        !report.is_some_and(|report| report.is_leaving)
    };
    let mut order: Vec<usize> = (0..engines.len()).filter(stays).collect();
    order.sort_by_key(|&index| engines[index].load().unwrap_or(u64::MAX));
    order
}
