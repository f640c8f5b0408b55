//! What the coordinator of a roll-out tells the routers to do.

use crate::request::relay::rollout;

/// Share of new requests that stands for all of them, in thousandths.
pub const FULL_SHARE: u16 = 1_000;

/// Phase of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RolloutPhase {
    /// The new version gets no requests yet, or none for the time being.
    Waiting,
    /// The new version gets a share of the new requests.
    Ramping,
    /// All new requests go to the new version; the old one still runs earlier ones.
    Draining,
    /// The store says that the new version has taken over. Final.
    Complete,
    /// The new version gets no requests any more. Final, unless the store says that it is complete.
    Reverted,
}

impl RolloutPhase {
    /// Name for logs, metrics and the status page.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Waiting => "waiting",
            Self::Ramping => "ramping",
            Self::Draining => "draining",
            Self::Complete => "complete",
            Self::Reverted => "reverted",
        }
    }

    /// Whether the roll-out has ended, so that nothing more is reported or decided.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Complete | Self::Reverted)
    }
}

/// What routers do with the new requests of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutPlan {
    /// Service name.
    pub service: String,
    /// Version that the traffic moves to.
    pub to: String,
    /// Version of the store's row with the order; a greater one replaces the roll-out.
    pub order_version: u64,
    /// Phase of the roll-out.
    pub phase: RolloutPhase,
    /// Share of new requests for `to`, in thousandths.
    pub share_millis: u16,
}

impl RolloutPlan {
    /// Whether new requests may be sent to endpoints of `to`.
    #[must_use]
    pub const fn allows_new(&self) -> bool {
        match self.phase {
            RolloutPhase::Waiting | RolloutPhase::Reverted => false,
            RolloutPhase::Ramping => self.share_millis > 0,
            RolloutPhase::Draining | RolloutPhase::Complete => true,
        }
    }

    /// Whether new requests may be sent to endpoints of other versions than `to`.
    #[must_use]
    pub const fn allows_old(&self) -> bool {
        !matches!(self.phase, RolloutPhase::Draining | RolloutPhase::Complete)
    }

    /// Draws the versions for one attempt. `random` is at least 0 and under 1.
    #[must_use]
    pub fn draw(&self, random: f64) -> rollout::VersionDraw {
        let is_drawn = random * f64::from(FULL_SHARE) < f64::from(self.share_millis);
        if !self.allows_old() || (self.allows_new() && is_drawn) {
            return rollout::VersionDraw::Only(self.to.clone());
        }
        rollout::VersionDraw::AllBut(self.to.clone())
    }

    /// The plan while the coordinator does not answer: nothing new for the new version, unless it has
    /// taken over.
    #[must_use]
    pub fn without_coordinator(self) -> Self {
        if self.phase.is_final() {
            return self;
        }
        Self {
            phase: RolloutPhase::Waiting,
            share_millis: 0,
            ..self
        }
    }
}
