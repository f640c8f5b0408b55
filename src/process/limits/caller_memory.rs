//! Memory for what a process holds of its callers: request bodies, and answers until they are taken.

use std::net;
use std::sync;
use std::time;

use async_std::task;
use futures::lock;

use crate::process::limits::byte_budget;

/// Interval at which an answer asks again for memory. Meanwhile its bytes stay with the endpoint.
const ANSWER_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Budget of a process for request bodies and answers.
#[derive(Debug)]
pub struct CallerMemory {
    budget: sync::Arc<byte_budget::ByteBudget>,
    /// Held by the one answer that may exceed the budget, so that requests whose bodies fill the budget
    /// still complete one after the other.
    excess: sync::Arc<lock::Mutex<()>>,
}

/// Memory that one body or answer holds; returned on drop.
#[derive(Debug)]
pub struct MemoryHold {
    memory: sync::Arc<CallerMemory>,
    caller: net::IpAddr,
    reservation: byte_budget::ByteReservation,
    excess: Option<lock::OwnedMutexGuard<()>>,
}

impl CallerMemory {
    /// Memory of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            budget: sync::Arc::new(byte_budget::ByteBudget::new(limit)),
            excess: sync::Arc::default(),
        }
    }

    /// Limit in bytes.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.budget.limit()
    }

    /// Bytes that are reserved.
    #[must_use]
    pub fn held(&self) -> usize {
        self.budget.held()
    }

    /// Starts an empty hold for a request of `caller`.
    #[must_use]
    pub fn open(self: &sync::Arc<Self>, caller: net::IpAddr) -> MemoryHold {
        MemoryHold {
            memory: sync::Arc::clone(self),
            caller,
            reservation: self.budget.open(caller, time::Instant::now()),
            excess: None,
        }
    }
}

impl MemoryHold {
    /// Reservation of the bytes.
    #[must_use]
    pub const fn reservation(&self) -> &byte_budget::ByteReservation {
        &self.reservation
    }

    /// Starts an empty hold for the answer to the same caller. It is never evicted: the request has run.
    #[must_use]
    pub fn open_answer(&self) -> Self {
        let answer = self.memory.open(self.caller);
        // A new reservation has not been evicted.
        let _kept = answer.reservation.keep();
        answer
    }

    /// Waits until `bytes` more of an answer may be held. One answer at a time does not wait.
    pub async fn grow_answer(&mut self, bytes: usize) {
        while self.excess.is_none() && self.reservation.grow(bytes).await.is_err() {
            self.excess = self.memory.excess.try_lock_owned();
            if self.excess.is_none() {
                task::sleep(ANSWER_INTERVAL).await;
            }
        }
    }
}
