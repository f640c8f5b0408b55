//! Finds the parts of prompts that crash engines, from the crashes that all routers report.
//!
//! A crash also ends streams that are innocent, and an engine may crash for other reasons. A part is
//! suspected only after several crashes of engines that had just begun to answer a prompt with it,
//! and not while other prompts with the part are answered. The module does no I/O and takes the time
//! as an argument.

use std::collections;
use std::time;

use crate::process::gateway::boot_clock;
use crate::request::relay::prompt_part;

/// Time for which a crash counts.
const CRASH_RETENTION: time::Duration = time::Duration::from_secs(10 * 60);

/// Maximum number of crashes that are kept; the oldest is dropped first.
const MAX_CRASHES: usize = 1_024;

/// Time in which an engine does not crash twice, as its restart takes longer. Reports of one crash
/// may differ by the time that they take between routers.
const RESTART_TIME: time::Duration = time::Duration::from_millis(300);

/// Half of the maximum number of parts whose successes are kept.
const SUCCESS_GENERATION: usize = 4_096;

/// Engines that must have crashed before a part is suspected, as a single one may be broken.
const MIN_ENDPOINTS: usize = 2;

/// Crashes of engines after which a part is suspected if no prompt with it was ever
/// answered. They must come from at least [`MIN_REQUESTS`] requests, as one request can meet several
/// failing engines by chance.
const MIN_CRASHES: usize = 3;
const MIN_REQUESTS: usize = 2;

/// Consecutive attempts, each sent after the crash before it, after which a part is suspected in any
/// case. Many engines that crash at once for another reason count as one.
const MIN_CONSECUTIVE: usize = 3;

/// Crashes after which a part is suspected although likelier parts explain some of them. Crashes
/// with the same likelier part count as one.
const MIN_SEPARATE: usize = 4;

/// An engine that crashed when it began to answer a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashRecord {
    /// Hash of the request identifier.
    pub request: u64,
    /// Hash of the engine's name.
    pub endpoint: u64,
    /// Shared parts of the prompt.
    pub parts: Vec<prompt_part::PromptPart>,
    /// When the request was sent to the engine.
    pub sent_at: boot_clock::BootInstant,
    /// When the engine crashed.
    pub crashed_at: boot_clock::BootInstant,
}

/// When a prompt with a part was last answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartSuccess {
    /// The part.
    pub part: prompt_part::PromptPart,
    /// When an engine had answered a prompt with it.
    pub at: boot_clock::BootInstant,
}

/// What a router knows about some parts of prompts.
#[derive(Clone, Debug)]
pub struct CrashEvidence {
    /// Crashes of prompts that have one of the parts.
    pub crashes: Vec<CrashRecord>,
    /// Last successes of the parts of these prompts.
    pub successes: Vec<PartSuccess>,
}

/// Parts that crash engines when a prompt has all of them, in ascending order.
///
/// Parts that always occur together cannot be told apart, so they are suspected together. Prompts
/// that have only some of them are still sent, which shows which part it is.
pub type SuspectParts = Vec<prompt_part::PromptPart>;

/// Crashes that routers reported, and prompts that engines answered.
#[derive(Debug, Default)]
pub struct CrashLedger {
    crashes: collections::VecDeque<CrashRecord>,
    successes: SuccessTable,
}

impl CrashLedger {
    /// Records a crash unless it is known already.
    pub fn record_crash(&mut self, crash: CrashRecord, now: boot_clock::BootInstant) {
        let is_old = |known: &CrashRecord| now.since(known.crashed_at) > CRASH_RETENTION;
        while self.crashes.front().is_some_and(is_old) || self.crashes.len() >= MAX_CRASHES {
            self.crashes.pop_front();
        }
        let is_same =
            |known: &CrashRecord| known.request == crash.request && is_same_crash(known, &crash);
        if !self.crashes.iter().any(is_same) {
            self.crashes.push_back(crash);
        }
    }

    /// Records that an engine answered a prompt with this part.
    pub fn record_success(&mut self, success: PartSuccess) {
        self.successes.record(success);
    }

    /// Crashes of prompts that have one of `parts`.
    #[must_use]
    pub fn crashes_of(&self, parts: &[prompt_part::PromptPart]) -> Vec<CrashRecord> {
        let has_one = |crash: &&CrashRecord| crash.parts.iter().any(|part| parts.contains(part));
        self.crashes.iter().filter(has_one).cloned().collect()
    }

    /// Crashes of prompts that have one of `parts`, and the successes of all parts of these prompts.
    #[must_use]
    pub fn evidence_about(&self, parts: &[prompt_part::PromptPart]) -> CrashEvidence {
        let crashes = self.crashes_of(parts);
        let lost = crashes.iter().flat_map(|crash| crash.parts.iter());
        let parts: collections::BTreeSet<_> = parts.iter().chain(lost).copied().collect();
        let successes = parts.into_iter().filter_map(|part| {
            let at = self.successes.last(part)?;
            Some(PartSuccess { part, at })
        });
        CrashEvidence {
            successes: successes.collect(),
            crashes,
        }
    }

    /// Returns the suspects among `parts`, the shared parts of a prompt that has just crashed an
    /// engine.
    #[must_use]
    pub fn suspects(&self, parts: &[prompt_part::PromptPart]) -> Vec<SuspectParts> {
        let mut suspects: Vec<SuspectParts> = parts
            .iter()
            .filter_map(|part| self.suspect(*part))
            .collect();
        suspects.sort_unstable();
        suspects.dedup();
        suspects
    }

    /// Returns `part` and the parts that it cannot be told apart from, if it is suspected.
    fn suspect(&self, part: prompt_part::PromptPart) -> Option<SuspectParts> {
        let success = self.successes.last(part);
        let is_counted =
            |crash: &&CrashRecord| crash.parts.contains(&part) && Some(crash.crashed_at) > success;
        let mut crashes: Vec<&CrashRecord> = self.crashes.iter().filter(is_counted).collect();
        crashes.sort_unstable_by_key(|crash| crash.crashed_at);
        let is_new = success.is_none();
        let distinct = distinct_crashes(&crashes);
        let has_enough = consecutive(&distinct) >= MIN_CONSECUTIVE
            || (is_new
                && distinct.len() >= MIN_CRASHES
                && count(&crashes, |crash| crash.request) >= MIN_REQUESTS);
        if !has_enough
            || count(&crashes, |crash| crash.endpoint) < MIN_ENDPOINTS
            || self.is_explained(&distinct, success)
        {
            return None;
        }
        let mut common = crashes.first()?.parts.clone();
        common.retain(|other| {
            let is_common = crashes.iter().all(|crash| crash.parts.contains(other));
            *other == part || (is_common && self.successes.last(*other) == success)
        });
        common.sort_unstable();
        common.dedup();
        Some(common)
    }

    /// Whether `crashes` are too few to suspect a part that last worked at `success`, as likelier parts
    /// explain them.
    fn is_explained(
        &self,
        crashes: &[&CrashRecord],
        success: Option<boot_clock::BootInstant>,
    ) -> bool {
        let mut known = collections::HashSet::new();
        let mut separate = 0;
        for crash in crashes {
            let likelier = self.likelier_parts(crash, success);
            separate += usize::from(likelier.is_disjoint(&known));
            known.extend(likelier);
        }
        !known.is_empty() && separate < MIN_SEPARATE
    }

    /// Parts that worked less recently than `success`, of all prompts that were lost in `crash`.
    fn likelier_parts(
        &self,
        crash: &CrashRecord,
        success: Option<boot_clock::BootInstant>,
    ) -> collections::HashSet<prompt_part::PromptPart> {
        let lost = self
            .crashes
            .iter()
            .filter(|lost| is_same_crash(lost, crash));
        let parts = lost.flat_map(|lost| lost.parts.iter().copied());
        parts
            .filter(|part| self.successes.last(*part) < success)
            .collect()
    }
}

fn is_same_crash(one: &CrashRecord, other: &CrashRecord) -> bool {
    let (earlier, later) = (
        one.crashed_at.min(other.crashed_at),
        one.crashed_at.max(other.crashed_at),
    );
    one.endpoint == other.endpoint && later.since(earlier) < RESTART_TIME
}

/// The first record of each crash, given the requests that were lost in them.
fn distinct_crashes<'a>(lost: &[&'a CrashRecord]) -> Vec<&'a CrashRecord> {
    let mut crashes: Vec<&CrashRecord> = Vec::new();
    for crash in lost {
        if !crashes.iter().any(|known| is_same_crash(known, crash)) {
            crashes.push(crash);
        }
    }
    crashes
}

fn count(crashes: &[&CrashRecord], field: impl Fn(&CrashRecord) -> u64) -> usize {
    let values: collections::HashSet<u64> = crashes.iter().map(|crash| field(crash)).collect();
    values.len()
}

/// Length of the chain of crashes, in order of time, in which each request was sent after the crash
/// before it.
fn consecutive(crashes: &[&CrashRecord]) -> usize {
    let mut last: Option<boot_clock::BootInstant> = None;
    let mut count = 0;
    for crash in crashes {
        if last.is_none_or(|last| last <= crash.sent_at) {
            last = Some(crash.crashed_at);
            count += 1;
        }
    }
    count
}

/// Last successes of the parts seen most recently, in two generations: when the newer one is full,
/// it replaces the older one.
#[derive(Debug, Default)]
struct SuccessTable {
    newer: collections::HashMap<prompt_part::PromptPart, boot_clock::BootInstant>,
    older: collections::HashMap<prompt_part::PromptPart, boot_clock::BootInstant>,
}

impl SuccessTable {
    fn record(&mut self, success: PartSuccess) {
        if self.newer.len() >= SUCCESS_GENERATION {
            self.older = std::mem::take(&mut self.newer);
        }
        let last = self.newer.entry(success.part).or_insert(success.at);
        *last = success.at.max(*last);
    }

    fn last(&self, part: prompt_part::PromptPart) -> Option<boot_clock::BootInstant> {
        let newer = self.newer.get(&part).copied();
        newer.max(self.older.get(&part).copied())
    }
}
