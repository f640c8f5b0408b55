//! Memory for what a process holds of its callers: request bodies, and answers until they are taken.

use std::net;
use std::sync;
use std::time;

use async_std::task;
use futures::lock;
use stop_token::future::FutureExt as _;

use crate::process::limits::{byte_budget, segment_pool};

/// Interval at which an answer asks again for memory. Meanwhile its bytes stay with the endpoint.
const ANSWER_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Interval at which memory that is no longer needed is freed.
const RELEASE_PERIOD: time::Duration = time::Duration::from_secs(30);

/// Budget of a process for request bodies and answers.
#[derive(Debug)]
pub struct CallerMemory {
    budget: sync::Arc<byte_budget::ByteBudget>,
    /// Held by the one answer that may exceed the budget, so that requests whose bodies fill the budget
    /// still complete one after the other.
    excess: sync::Arc<lock::Mutex<()>>,
    segments: sync::Arc<segment_pool::SegmentPool>,
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
        let budget = sync::Arc::new(byte_budget::ByteBudget::new(limit));
        let segments = segment_pool::SegmentPool::new(sync::Arc::clone(&budget));
        Self {
            budget,
            excess: sync::Arc::default(),
            segments: sync::Arc::new(segments),
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

    /// Frees memory of earlier bodies that later ones do not need, until `token` stops it.
    pub async fn release_unused(self: sync::Arc<Self>, token: stop_token::StopToken) {
        while task::sleep(RELEASE_PERIOD)
            .timeout_at(token.clone())
            .await
            .is_ok()
        {
            self.segments.release_unused();
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

    /// Starts a body without segments, whose memory this hold accounts for.
    #[must_use]
    pub fn open_segments(&self) -> segment_pool::BodySegments {
        self.memory.segments.open()
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
