//! What endpoints announced about the rate of requests that they accept from all routers together.
//!
//! Answers of one endpoint overtake each other on different connections, and routers exchange what
//! they observed, so observations are ordered by the time at which the endpoint said it. The module
//! does no I/O.

use crate::process::gateway::boot_clock;
use crate::request::relay::request_rate;

/// The limit of one endpoint as one of its answers showed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitObservation {
    /// The limit; `None` for an answer that named none.
    pub rate: Option<request_rate::RequestRate>,
    /// When a limit was read, or when the request was sent whose answer named none. So an answer
    /// that was written before the limit was set does not end the limit.
    pub at: boot_clock::BootInstant,
}

/// What is known of one endpoint's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointLimit {
    newest: Option<LimitObservation>,
}

impl EndpointLimit {
    /// The limit in force; `None` when there is none or none is known.
    #[must_use]
    pub fn rate(&self) -> Option<request_rate::RequestRate> {
        self.newest?.rate
    }

    /// The newest observation; `None` if no limit was ever named.
    #[must_use]
    pub const fn newest(&self) -> Option<LimitObservation> {
        self.newest
    }

    /// Takes an observation unless a newer one is known; returns whether the limit changed.
    pub fn observe(&mut self, observation: LimitObservation) -> bool {
        let is_newer = match self.newest {
            Some(known) => observation.at > known.at,
            None => observation.rate.is_some(),
        };
        if !is_newer {
            return false;
        }
        let old = self.rate();
        self.newest = Some(observation);
        old != observation.rate
    }
}
