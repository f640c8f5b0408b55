//! Memory limit for responses that are buffered whole before they are relayed.
//!
//! Protects a VM with little memory from several faulty endpoints that send endless bodies at link
//! speed, and from callers that do not read their responses.

use std::net;
use std::sync;
use std::time;

use crate::process::limits::byte_budget;

/// Memory for the responses to one request, from the budget for all that is held of callers.
#[derive(Clone, Debug)]
pub struct ResponseMemory {
    budget: sync::Arc<byte_budget::ByteBudget>,
    caller: net::IpAddr,
}

impl ResponseMemory {
    /// Creates a budget of its own of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            budget: sync::Arc::new(byte_budget::ByteBudget::new(limit)),
            caller: net::IpAddr::V4(net::Ipv4Addr::UNSPECIFIED),
        }
    }

    /// Takes the memory from `budget`, on the account of `caller`.
    #[must_use]
    pub fn shared(budget: &sync::Arc<byte_budget::ByteBudget>, caller: net::IpAddr) -> Self {
        Self {
            budget: sync::Arc::clone(budget),
            caller,
        }
    }

    /// Starts an empty reservation for one response, which is not evicted while the response is
    /// read.
    ///
    /// # Errors
    /// Never: a reservation without bytes is not evicted.
    pub fn reserve(&self) -> byte_budget::Result<byte_budget::ByteReservation> {
        let reservation = self.budget.open(self.caller, time::Instant::now());
        reservation.keep()?;
        Ok(reservation)
    }
}
