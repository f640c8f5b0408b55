//! What to do when the stream of a generation breaks off or goes silent.

use std::fmt;

use crate::version::declaration;

/// One measure against a lost stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveryStep {
    /// Attach to the same stream again over a new connection.
    Probe,
    /// Attach again and start a replacement elsewhere; the first to bring a token is kept.
    ProbeAndReplace,
    /// Start a replacement elsewhere from the tokens held.
    Replace,
    /// Start again elsewhere from the first token.
    RestartFromZero,
}

/// Chooses measures against a lost stream.
pub trait RecoveryPolicy: fmt::Debug + Send + Sync {
    /// The measure number `round` (from 0) since the last token arrived.
    fn step(&self, round: u32) -> RecoveryStep;
}

/// Least resume latency: replaces while it probes.
#[derive(Clone, Copy, Debug, Default)]
pub struct FastRecovery;

impl RecoveryPolicy for FastRecovery {
    fn step(&self, round: u32) -> RecoveryStep {
        match round {
            0 => RecoveryStep::ProbeAndReplace,
            _ => RecoveryStep::Replace,
        }
    }
}

/// Least extra work: replaces only when the probe failed.
#[derive(Clone, Copy, Debug, Default)]
pub struct FrugalRecovery;

impl RecoveryPolicy for FrugalRecovery {
    fn step(&self, round: u32) -> RecoveryStep {
        match round {
            0 => RecoveryStep::Probe,
            _ => RecoveryStep::Replace,
        }
    }
}

/// Baseline for comparison: each loss starts the answer again.
#[derive(Clone, Copy, Debug, Default)]
pub struct RestartRecovery;

impl RecoveryPolicy for RestartRecovery {
    fn step(&self, _round: u32) -> RecoveryStep {
        RecoveryStep::RestartFromZero
    }
}

/// The policy of a declared kind.
#[must_use]
pub fn policy(kind: declaration::RecoveryKind) -> &'static dyn RecoveryPolicy {
    match kind {
        declaration::RecoveryKind::Fast => &FastRecovery,
        declaration::RecoveryKind::Frugal => &FrugalRecovery,
    }
}
