//! Recovery policies for generation streams that fail or go silent.

use std::fmt;

use crate::version::declaration;

/// Action taken to recover a lost stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveryStep {
    /// Reattach to the same stream over a new connection.
    Probe,
    /// Reattach and start a replacement on another engine; the first to deliver a token is kept.
    ProbeAndReplace,
    /// Start a replacement on another engine that continues after the tokens received so far.
    Replace,
    /// Restart on another engine from the first token.
    RestartFromZero,
}

/// Chooses the recovery steps for a lost stream.
pub trait RecoveryPolicy: fmt::Debug + Send + Sync {
    /// Returns the step for `round`, counted from 0 since the last token arrived.
    fn step(&self, round: u32) -> RecoveryStep;
}

/// Minimizes resume latency: starts a replacement while it probes.
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

/// Minimizes extra work: starts a replacement only after the probe has failed.
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

/// Baseline for comparison: restarts the answer after each loss.
#[derive(Clone, Copy, Debug, Default)]
pub struct RestartRecovery;

impl RecoveryPolicy for RestartRecovery {
    fn step(&self, _round: u32) -> RecoveryStep {
        RecoveryStep::RestartFromZero
    }
}

/// Returns the policy for a declared kind.
#[must_use]
pub fn policy(kind: declaration::RecoveryKind) -> &'static dyn RecoveryPolicy {
    match kind {
        declaration::RecoveryKind::Fast => &FastRecovery,
        declaration::RecoveryKind::Frugal => &FrugalRecovery,
    }
}
