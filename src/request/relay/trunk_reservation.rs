//! Keeps room and short queues at engines for prompts of higher priority; does no I/O.
//!
//! In a burst of prompts of several priorities, each router sends one every few seconds, so no
//! router has a queue that it could order. A prompt of lower rank therefore leaves capacity at each
//! engine that one of higher rank may take, until its wait limit comes near.

use std::time;

use crate::request::relay::selection;

/// Prompts that may wait or be in prefill at an engine that gets a prompt without a reserve. Behind
/// two, a prompt at an engine of half the speed misses a goal of four seconds.
const MAX_PENDING: u32 = 1;

/// Prompts that wait at one router at a time because of a reserve. Each holds its body, and each
/// router gets one every few seconds; a further one is sent as if its wait limit were over.
pub const MAX_WAITING_PROMPTS: usize = 64;

/// Reserved runs above which the prompt goes only to engines where no prompt waits or is in
/// prefill. Rank 1 leaves that place for half of its wait, rank 2 for three quarters.
const FREE_ENGINE_RESERVE: f64 = 0.5;

/// Rule for a prompt at a service whose stream routes have different priorities.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrunkReservation {
    /// Number of higher priorities on the service.
    pub rank: u32,
    /// Part of the reserve that the prompt still leaves, in 0..=1.
    pub reserve: f64,
}

impl TrunkReservation {
    /// The rule for a prompt that may wait for `left` more of `limit` in all.
    #[must_use]
    pub fn new(rank: u32, left: time::Duration, limit: time::Duration) -> Self {
        let reserve = if limit.is_zero() {
            0.0
        } else {
            left.as_secs_f64() / limit.as_secs_f64()
        };
        Self {
            rank,
            reserve: reserve.clamp(0.0, 1.0),
        }
    }

    /// Further runs for which room stays free; falls to 0 with the reserve.
    fn reserved_runs(&self) -> u64 {
        let reserved = f64::from(self.rank) * self.reserve;
        let mut runs = 0;
        while runs < self.rank && f64::from(runs) < reserved {
            runs += 1;
        }
        u64::from(runs)
    }

    fn max_pending(&self) -> u32 {
        if f64::from(self.rank) * self.reserve > FREE_ENGINE_RESERVE {
            return 0;
        }
        MAX_PENDING
    }
}

impl selection::SelectionRule for TrunkReservation {
    fn admits(&self, engine: &selection::EngineCandidate, tokens: u64) -> bool {
        let is_short = engine
            .pending_prompts()
            .is_some_and(|pending| pending <= self.max_pending());
        is_short && engine.has_room_for(tokens.saturating_mul(self.reserved_runs() + 1))
    }
}
