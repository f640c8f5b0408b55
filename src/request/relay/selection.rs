//! Which of several asked engines gets a prompt: a pure decision.
//!
//! The load it answers: few prompts at a time, each of which keeps its engine busy for a second,
//! and many routers that know nothing of each other's requests. One engine then often gets two
//! prompts while its neighbours idle, and the second waits for the first. In a burst the engines'
//! memory runs out as well: a prompt that does not fit pushes another run out, and both are read again.
//! Memory is therefore looked at first, and copies of runs give way before runs do.

use std::time;

use crate::request::relay::report;

/// Engines that are asked before a prompt is sent; more would cost more than they save.
pub const PROBED_ENGINES: usize = 3;

/// Weight of a prompt that waits or is being read, against one running request: reading keeps the
/// engine for a second, a running request slows it by a few parts in a thousand.
const PREFILL_WEIGHT: u64 = 1_000;

/// Weight of memory in use, in thousandths of all memory; decides between engines that read nothing.
const MEMORY_SCALE: u64 = 500;

/// Runs that fit beside a copy, at least. A copy grows for as long as its prompt is read, and reports do
/// not tell of it before.
const MIN_RUNS_BESIDE_COPY: u64 = 3;

/// Rounds of questions before the same engines are asked again.
pub const MAX_PROBE_ROUNDS: u32 = 3;

/// Part of the time to the first event that a route wants, for which a prompt that fits nowhere waits.
pub const MAX_WAIT_FRACTION: f64 = 0.33;

/// Time between two looks for room, to which as much is added by chance at most: less than the age of
/// reports would show the same memory again.
pub const REPROBE_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// What is known of one engine.
#[derive(Clone, Debug, Default)]
pub struct EngineCandidate {
    /// Its report; `None` when none came in time.
    pub report: Option<report::EngineReport>,
    /// Requests that this router sent there since the report was made.
    pub recent_requests: u32,
}

impl EngineCandidate {
    /// Tokens of memory that are left once all that is known to come there has been read, where each
    /// prompt that is not read yet takes `tokens`; `None` when it gave no report.
    #[must_use]
    pub fn free_tokens(&self, tokens: u64) -> Option<u64> {
        let report = self.report.as_ref()?;
        let unread = u64::from(report.waiting)
            + u64::from(report.prefilling())
            + u64::from(self.recent_requests);
        let used = report
            .memory_used
            .saturating_add(unread.saturating_mul(tokens));
        Some(report.memory_total.saturating_sub(used))
    }

    /// Whether a run of `tokens` fits, as far as is known.
    #[must_use]
    pub fn has_room_for(&self, tokens: u64) -> bool {
        let Some(report) = &self.report else {
            return false;
        };
        // An engine that does not tell its memory is not held back for it.
        report.memory_total == 0 || self.free_tokens(tokens).is_some_and(|room| room >= tokens)
    }

    /// Whether waiting can bring room for a run of `tokens`.
    fn can_ever_fit(&self, tokens: u64) -> bool {
        let report = self.report.as_ref();
        report.is_some_and(|report| report.memory_total >= tokens)
    }

    fn class(&self, tokens: u64) -> EngineClass {
        match &self.report {
            None => EngineClass::NoReport,
            Some(report) if report.is_leaving => EngineClass::Leaving,
            Some(_) if self.has_room_for(tokens) => EngineClass::Available,
            Some(_) => EngineClass::Full,
        }
    }

    /// Whether a copy of a run of `tokens` fits and leaves room for [`MIN_RUNS_BESIDE_COPY`] runs.
    #[must_use]
    pub fn has_room_for_copy(&self, tokens: u64) -> bool {
        let Some(report) = &self.report else {
            return false;
        };
        let wanted = tokens.saturating_mul(MIN_RUNS_BESIDE_COPY + 1);
        report.memory_total == 0 || self.free_tokens(tokens).is_some_and(|room| room >= wanted)
    }

    /// Load of the engine; `None` when it gave no report.
    #[must_use]
    pub fn load(&self) -> Option<u64> {
        let report = self.report.as_ref()?;
        let reading = report.prefilling();
        let listed = report.running.saturating_sub(reading);
        let prompts =
            u64::from(report.waiting) + u64::from(reading) + u64::from(self.recent_requests);
        let memory = (report.memory_used * MEMORY_SCALE).checked_div(report.memory_total);
        Some(prompts * PREFILL_WEIGHT + u64::from(listed) + memory.unwrap_or_default())
    }
}

/// How good an engine is for a prompt, the best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EngineClass {
    Available,
    Full,
    NoReport,
    Leaving,
}

/// What to do with a prompt once some engines were asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SelectionStep {
    /// Send it to the engine with this index.
    Send(usize),
    /// None of them will do yet; ask others, and wait before the same ones are asked again.
    ProbeOthers,
    /// There is no engine to send it to.
    NoEngine,
}

/// What is known of the prompt that is placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SelectionParams {
    /// Tokens that its run holds at the end.
    pub tokens: u64,
    /// Whether there is time to wait for room.
    pub may_wait: bool,
    /// Whether no other engines were asked before these.
    pub is_first: bool,
}

/// The step for a prompt once `engines` were asked.
#[must_use]
pub fn choose_engine(engines: &[EngineCandidate], terms: SelectionParams) -> SelectionStep {
    let Some(best) = order_by_load(engines, terms.tokens).first().copied() else {
        return if terms.is_first {
            SelectionStep::NoEngine
        } else {
            SelectionStep::ProbeOthers
        };
    };
    let engine = &engines[best];
    let is_better_elsewhere = match engine.class(terms.tokens) {
        EngineClass::Full => terms.may_wait && engine.can_ever_fit(terms.tokens),
        // Those asked before gave a sign of life at least.
        EngineClass::NoReport => !terms.is_first,
        EngineClass::Available | EngineClass::Leaving => false,
    };
    if is_better_elsewhere {
        return SelectionStep::ProbeOthers;
    }
    SelectionStep::Send(best)
}

/// Indices of the engines that stay, the one with the least load first; those without room for a run of
/// `tokens` come after all that have it, and engines without a report last.
#[must_use]
pub fn order_by_load(engines: &[EngineCandidate], tokens: u64) -> Vec<usize> {
    let stays = |index: &usize| engines[*index].class(tokens) != EngineClass::Leaving;
    let mut order: Vec<usize> = (0..engines.len()).filter(stays).collect();
    order.sort_by_key(|&index| {
        let engine = &engines[index];
        (engine.class(tokens), engine.load().unwrap_or(u64::MAX))
    });
    order
}
