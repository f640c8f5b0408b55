//! How many log lines of one kind a second may hold: a pure decision.
//!
//! The load it answers: a storm of requests, each of which would write a handful of lines. Lines about
//! refused and failed requests get more room than those about served ones, and each kind has its own,
//! so that one kind never crowds out another.

use std::collections;

/// Lines of one kind in a second: twenty times what a router of the long-run target writes (ten
/// requests a second each), so that only storms are cut.
const USUAL_LINES: u32 = 200;

/// Lines of one kind in a second that warn or tell of a failure.
const URGENT_LINES: u32 = 2 * USUAL_LINES;

/// Kinds that are told apart in a second; a process has fewer places that log.
const MAX_KINDS: usize = 512;

/// The place in the source that a line comes from.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LineKind {
    /// Module.
    pub module: String,
    /// Line in its file.
    pub line: u32,
}

/// Lines of one kind that were left out.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeftOut {
    /// The kind.
    pub kind: LineKind,
    /// How many.
    pub count: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct KindUse {
    written: u32,
    left_out: u64,
}

/// What is left of the present second's budget.
#[derive(Debug, Default)]
pub struct LineBudget {
    second: u64,
    kinds: collections::BTreeMap<LineKind, KindUse>,
}

impl LineBudget {
    /// Whether a line may be written in the present second.
    pub fn admit(&mut self, kind: LineKind, is_urgent: bool) -> bool {
        if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(&kind) {
            return is_urgent;
        }
        let limit = if is_urgent { URGENT_LINES } else { USUAL_LINES };
        let held = self.kinds.entry(kind).or_default();
        if held.written >= limit {
            held.left_out += 1;
            return false;
        }
        held.written += 1;
        true
    }

    /// Begins a new second; returns what was left out in the one before, to be told.
    pub fn turn(&mut self, second: u64) -> Vec<LeftOut> {
        if second <= self.second {
            return Vec::new();
        }
        self.second = second;
        let kinds = std::mem::take(&mut self.kinds).into_iter();
        let left_out = kinds.filter(|(_kind, held)| held.left_out > 0);
        let left_out = left_out.map(|(kind, held)| LeftOut {
            kind,
            count: held.left_out,
        });
        left_out.collect()
    }
}
