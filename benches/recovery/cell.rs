//! What is measured: each fault under each policy.

use std::time;

use kumquatpulley::request::recovery;

/// Silence after which the fixed timeout replaces an engine.
const FIXED_SILENCE: time::Duration = time::Duration::from_secs(10);

/// A fault in the middle of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunFault {
    /// The engine's process ends.
    EngineKilled,
    /// The engine's process stops and keeps its connections.
    EngineFrozen,
    /// The open connection passes nothing more; new ones work.
    ConnectionSilent,
    /// The router's process ends.
    RouterKilled,
    /// The processes of engine and router end together.
    BothKilled,
}

impl RunFault {
    /// Faults that a single driver sees.
    pub const ENGINE: [Self; 3] = [
        Self::EngineKilled,
        Self::EngineFrozen,
        Self::ConnectionSilent,
    ];

    /// Faults that take routers.
    pub const ROUTER: [Self; 2] = [Self::RouterKilled, Self::BothKilled];

    /// Name in the results.
    pub fn name(self) -> &'static str {
        match self {
            Self::EngineKilled => "engine killed",
            Self::EngineFrozen => "engine frozen",
            Self::ConnectionSilent => "connection silent",
            Self::RouterKilled => "router killed",
            Self::BothKilled => "engine and router killed",
        }
    }
}

/// A way to recover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPolicy {
    /// Declared as `recovery: fast`.
    Fast,
    /// Declared as `recovery: frugal`.
    Frugal,
    /// Each loss starts the answer again.
    FromZero,
    /// A fixed silence, then a replacement that goes on from the tokens held.
    FixedTimeout,
}

impl RunPolicy {
    /// Policies that one driver is run with.
    pub const ALL: [Self; 4] = [Self::Fast, Self::Frugal, Self::FromZero, Self::FixedTimeout];

    /// Policies that operators can declare.
    pub const DECLARED: [Self; 2] = [Self::Fast, Self::Frugal];

    /// Name in the results.
    pub fn name(self) -> &'static str {
        match self {
            Self::Fast => "fast",
            Self::Frugal => "frugal",
            Self::FromZero => "from zero",
            Self::FixedTimeout => "fixed timeout",
        }
    }

    /// Whether operators can declare it, so that the bound holds for it.
    pub fn is_declared(self) -> bool {
        Self::DECLARED.contains(&self)
    }

    /// The policy of the driver.
    pub fn recovery(self) -> &'static dyn recovery::RecoveryPolicy {
        match self {
            Self::Fast => &recovery::FastRecovery,
            Self::Frugal => &recovery::FrugalRecovery,
            Self::FromZero => &recovery::RestartRecovery,
            Self::FixedTimeout => &ReplaceRecovery,
        }
    }

    /// Silence that raises suspicion, where it does not follow the engine's own gaps.
    pub fn fixed_silence(self) -> Option<time::Duration> {
        (self == Self::FixedTimeout).then_some(FIXED_SILENCE)
    }
}

/// Replaces at every loss and attaches to nothing.
#[derive(Clone, Copy, Debug)]
struct ReplaceRecovery;

impl recovery::RecoveryPolicy for ReplaceRecovery {
    fn step(&self, _round: u32) -> recovery::RecoveryStep {
        recovery::RecoveryStep::Replace
    }
}
