//! Rate limit for log lines, per second and call site. Performs no I/O and reads no clock.
//!
//! Protects the process during request bursts, in which every request would log several lines.
//! Lines about refused and failed requests (warnings and errors) have a higher limit than those
//! about served requests. Each call site has its own limit, so that none uses up that of another.

use std::collections;

/// Maximum lines per call site and second below warning level. Twenty times the rate of a router
/// in the long-run target (10 requests per second per router), so that only bursts are limited.
const MAX_ROUTINE_LINES: u32 = 200;

/// Maximum lines per call site and second at warning or error level.
const MAX_URGENT_LINES: u32 = 2 * MAX_ROUTINE_LINES;

/// Call sites tracked per second; a process has fewer call sites that log.
const MAX_KINDS: usize = 512;

/// Call site of a log line.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LineKind {
    /// Log target, by default the module path.
    pub module: String,
    /// Line number in the source file; 0 when unknown.
    pub line: u32,
}

/// Number of lines suppressed for one call site.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeftOut {
    /// Call site of the suppressed lines.
    pub kind: LineKind,
    /// Lines suppressed within one second.
    pub count: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct SiteUsage {
    written: u32,
    suppressed: u64,
}

/// Lines written and suppressed per call site in the current second.
#[derive(Debug, Default)]
pub struct LineBudget {
    second: u64,
    kinds: collections::BTreeMap<LineKind, SiteUsage>,
}

impl LineBudget {
    /// Returns whether a line may be written in the current second, and counts it.
    pub fn admit(&mut self, kind: LineKind, is_urgent: bool) -> bool {
        if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(&kind) {
            return is_urgent;
        }
        let limit = if is_urgent {
            MAX_URGENT_LINES
        } else {
            MAX_ROUTINE_LINES
        };
        let usage = self.kinds.entry(kind).or_default();
        if usage.written >= limit {
            usage.suppressed += 1;
            return false;
        }
        usage.written += 1;
        true
    }

    /// Resets the limits when `second` is new and returns the lines suppressed before it.
    pub fn turn(&mut self, second: u64) -> Vec<LeftOut> {
        if second <= self.second {
            return Vec::new();
        }
        self.second = second;
        let kinds = std::mem::take(&mut self.kinds).into_iter();
        let left_out = kinds.filter(|(_kind, usage)| usage.suppressed > 0);
        let left_out = left_out.map(|(kind, usage)| LeftOut {
            kind,
            count: usage.suppressed,
        });
        left_out.collect()
    }
}
