//! Chooses the engine for a prompt from a few probed candidates; does no I/O.
//!
//! Prefill keeps an engine busy for about a second, and the many routers do not know of each
//! other's requests. Without probes, one engine often gets two prompts while its neighbours are
//! idle, and the second prompt waits for the first. In a burst the engines also run out of KV
//! cache: a prompt that does not fit evicts another run, and both prompts are prefilled again.
//! Free memory is therefore checked before load, and KV copies are left out before runs are.

use std::fmt;
use std::time;

use crate::request::relay::report;

/// Engines probed before a prompt is sent; probing more costs more than it saves.
pub const PROBED_ENGINES: usize = 3;

/// Load of a queued prompt or one in prefill, in units of one generating request: prefill occupies
/// the engine for a second, while a generating request slows it by a few parts in a thousand.
const PREFILL_WEIGHT: u64 = 1_000;

/// Load of a full KV cache, in the same units; decides between engines without prompts.
const MEMORY_WEIGHT: u64 = 500;

/// Runs that must still fit beside a new copy. A copy grows during prefill, and reports do not
/// show it until then.
const MIN_RUNS_BESIDE_COPY: u64 = 3;

/// Prompts at an engine behind which another one is not queued while an engine has none; two take
/// about two seconds, half of the shortest goals.
const LONG_QUEUE: u32 = 2;

/// Probe rounds with new engines before the same engines are probed again.
pub const MAX_PROBE_ROUNDS: u32 = 3;

/// Fraction of the route's time-to-first-event goal that a prompt may wait for an engine with
/// room.
pub const MAX_WAIT_FRACTION: f64 = 0.33;

/// Interval between searches for an engine with room, plus up to as much random jitter. A shorter
/// one would see the same reports again, because of their age.
pub const REPROBE_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// A probed engine.
#[derive(Clone, Debug, Default)]
pub struct EngineCandidate {
    /// Its report; `None` when the probe failed or timed out.
    pub report: Option<report::EngineReport>,
    /// Requests that this router sent there recently, which the report may not include.
    pub recent_requests: u32,
}

impl EngineCandidate {
    /// KV cache left once all known prompts have been prefilled, in tokens, counting `tokens` for
    /// each prompt still to be prefilled; `None` without a report.
    #[must_use]
    pub fn free_tokens(&self, tokens: u64) -> Option<u64> {
        let report = self.report.as_ref()?;
        let pending = u64::from(report.waiting)
            + u64::from(report.prefilling())
            + u64::from(self.recent_requests);
        let used = report
            .memory_used
            .saturating_add(pending.saturating_mul(tokens));
        Some(report.memory_total.saturating_sub(used))
    }

    /// Whether a run of `tokens` fits according to the report.
    #[must_use]
    pub fn has_room_for(&self, tokens: u64) -> bool {
        let Some(report) = &self.report else {
            return false;
        };
        // An engine that does not report its memory counts as having room.
        report.memory_total == 0 || self.free_tokens(tokens).is_some_and(|room| room >= tokens)
    }

    /// Whether a run of `tokens` fits once other runs have ended.
    fn can_ever_fit(&self, tokens: u64) -> bool {
        let report = self.report.as_ref();
        report.is_some_and(|report| report.memory_total == 0 || report.memory_total >= tokens)
    }

    /// Prompts that wait or are in prefill, with those that this router just sent; `None` without a
    /// report.
    #[must_use]
    pub fn pending_prompts(&self) -> Option<u32> {
        let report = self.report.as_ref()?;
        let known = report.waiting.saturating_add(report.prefilling());
        Some(known.saturating_add(self.recent_requests))
    }

    fn class(&self, rule: &dyn SelectionRule, tokens: u64) -> EngineClass {
        match &self.report {
            None => EngineClass::NoReport,
            Some(report) if report.is_leaving => EngineClass::Leaving,
            Some(_) if rule.admits(self, tokens) => EngineClass::Available,
            Some(_) => EngineClass::Full,
        }
    }

    /// Whether a copy of a run of `tokens` fits with room left for [`MIN_RUNS_BESIDE_COPY`] runs.
    #[must_use]
    pub fn has_room_for_copy(&self, tokens: u64) -> bool {
        let Some(report) = &self.report else {
            return false;
        };
        let required = tokens.saturating_mul(MIN_RUNS_BESIDE_COPY + 1);
        report.memory_total == 0
            || self
                .free_tokens(tokens)
                .is_some_and(|room| room >= required)
    }

    /// Load score, lower is better; `None` without a report.
    #[must_use]
    pub fn load(&self) -> Option<u64> {
        let report = self.report.as_ref()?;
        let prefilling = report.prefilling();
        let generating = report.running.saturating_sub(prefilling);
        let prompts =
            u64::from(report.waiting) + u64::from(prefilling) + u64::from(self.recent_requests);
        let memory = u128::from(report.memory_used) * u128::from(MEMORY_WEIGHT);
        let memory = memory.checked_div(u128::from(report.memory_total));
        let memory = u64::try_from(memory.unwrap_or_default()).unwrap_or(u64::MAX);
        let load = prompts * PREFILL_WEIGHT + u64::from(generating);
        Some(load.saturating_add(memory))
    }
}

/// Which engines a prompt may be sent to before its wait limit is over.
pub trait SelectionRule: fmt::Debug + Send + Sync {
    /// Whether the prompt, whose run occupies `tokens`, may be sent to an engine with a report.
    fn admits(&self, engine: &EngineCandidate, tokens: u64) -> bool;
}

/// Admits a prompt wherever its run fits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoomRule;

impl SelectionRule for RoomRule {
    fn admits(&self, engine: &EngineCandidate, tokens: u64) -> bool {
        engine.has_room_for(tokens)
    }
}

/// Suitability of an engine for a prompt, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EngineClass {
    Available,
    Full,
    NoReport,
    Leaving,
}

/// Next step for a prompt after a probe round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SelectionStep {
    /// Send the prompt to the engine with this index.
    Send(usize),
    /// No suitable engine yet: probe others, and wait before probing the same ones again.
    ProbeOthers,
    /// There is no engine to send the prompt to.
    NoEngine,
}

/// The prompt to place, and the state of its search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SelectionParams {
    /// Tokens that its run occupies at the end; 0 when unknown.
    pub tokens: u64,
    /// Whether the prompt may still wait for room.
    pub may_wait: bool,
    /// Whether this is the first probe round of the search.
    pub is_first: bool,
}

/// Returns the next step by [`RoomRule`] for a prompt after `engines` were probed.
#[must_use]
pub fn choose_engine(engines: &[EngineCandidate], params: SelectionParams) -> SelectionStep {
    choose_engine_by(&RoomRule, engines, params)
}

/// Returns the next step by `rule` for a prompt after `engines` were probed.
#[must_use]
pub fn choose_engine_by(
    rule: &dyn SelectionRule,
    engines: &[EngineCandidate],
    params: SelectionParams,
) -> SelectionStep {
    let order = order_by(rule, engines, params.tokens);
    let Some(best) = order.first().copied() else {
        return if params.is_first {
            SelectionStep::NoEngine
        } else {
            SelectionStep::ProbeOthers
        };
    };
    let engine = &engines[best];
    let has_better_choice = match engine.class(rule, params.tokens) {
        EngineClass::Full => params.may_wait && engine.can_ever_fit(params.tokens),
        // An earlier round found engines that at least responded.
        EngineClass::NoReport => !params.is_first,
        EngineClass::Available => params.may_wait && is_behind_others(engine, &order, engines),
        EngineClass::Leaving => false,
    };
    if has_better_choice {
        return SelectionStep::ProbeOthers;
    }
    SelectionStep::Send(best)
}

/// Returns the indices of the engines that are not shutting down: those with room for a run of
/// `tokens` first, then full ones, then those without a report; by load within each group.
#[must_use]
pub fn order_by_load(engines: &[EngineCandidate], tokens: u64) -> Vec<usize> {
    order_by(&RoomRule, engines, tokens)
}

/// Whether a prompt would stand behind two others at `engine` while another one of `order` has
/// none. It has no room now, but gets some sooner than two prompts are prefilled.
fn is_behind_others(
    engine: &EngineCandidate,
    order: &[usize],
    engines: &[EngineCandidate],
) -> bool {
    let is_free = |index: &usize| engines[*index].pending_prompts() == Some(0);
    engine.pending_prompts() >= Some(LONG_QUEUE) && order.iter().any(is_free)
}

fn order_by(rule: &dyn SelectionRule, engines: &[EngineCandidate], tokens: u64) -> Vec<usize> {
    let is_staying = |index: &usize| engines[*index].class(rule, tokens) != EngineClass::Leaving;
    let mut order: Vec<usize> = (0..engines.len()).filter(is_staying).collect();
    order.sort_by_key(|&index| {
        let engine = &engines[index];
        (
            engine.class(rule, tokens),
            engine.load().unwrap_or(u64::MAX),
        )
    });
    order
}
