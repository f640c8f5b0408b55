//! Decides when a router that has just started reads the platform's store.
//!
//! Other routers are asked first: it saves calls, and a store that was restored from a copy may hold an
//! older configuration than they do, with API keys that were taken away since.

use std::time;

/// Longest time for which a router leaves reading to others at the first start of the whole
/// system, when there are no callers yet.
const MAX_FIRST_START_DELAY: time::Duration = time::Duration::from_millis(1_600);

/// Longest time for which a router leaves reading to others at a later start, when callers may be
/// waiting.
const MAX_RESTART_DELAY: time::Duration = time::Duration::from_millis(500);

/// Time for which a seed leaves reading to others at a later start; shorter than that of the rest.
const SEED_RESTART_DELAY: time::Duration = time::Duration::from_millis(150);

/// Longest further time for which a router that starts again waits for a peer's configuration. Covers
/// a probe of a seed by the others, if this router is the only seed that they can reach.
const MAX_PEER_WAIT: time::Duration = time::Duration::from_secs(1);

/// Delay after its start from which a router reads the store itself, unless another router has
/// supplied the configuration by then.
///
/// It limits the calls when many routers start at once, as all do at the first start. Seeds, which
/// the others contact first, read before them, and at once if no router can know more than the
/// store. The rest wait for a random time, so that only few of them read before they can learn from
/// one that did.
#[must_use]
pub fn read_delay(
    is_seed: bool,
    is_first_start: bool,
    random: &mut fastrand::Rng,
) -> time::Duration {
    let longest = match (is_seed, is_first_start) {
        (true, true) => return time::Duration::ZERO,
        (true, false) => return SEED_RESTART_DELAY,
        (false, true) => MAX_FIRST_START_DELAY,
        (false, false) => MAX_RESTART_DELAY,
    };
    longest.mul_f64(0.5 + random.f64() / 2.0)
}

/// What a router that has just started knows of the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerContact {
    /// It has reached none.
    None,
    /// Those that it knows have no configuration either.
    Unconfigured,
    /// At least one has a configuration.
    Configured,
}

/// When a router that has just started reads the store, if no peer supplies the configuration.
#[derive(Clone, Copy, Debug)]
pub struct FirstRead {
    due: time::Instant,
    latest: time::Instant,
}

impl FirstRead {
    /// A read after `delay`, see [`read_delay`].
    #[must_use]
    pub fn new(delay: time::Duration, is_first_start: bool, now: time::Instant) -> Self {
        let due = now + delay;
        let latest = if is_first_start {
            due
        } else {
            due + MAX_PEER_WAIT
        };
        Self { due, latest }
    }

    /// Whether the store may be read at `now`.
    #[must_use]
    pub fn is_due(&self, contact: PeerContact, now: time::Instant) -> bool {
        match contact {
            PeerContact::Unconfigured => self.due <= now,
            PeerContact::None | PeerContact::Configured => self.latest <= now,
        }
    }
}
