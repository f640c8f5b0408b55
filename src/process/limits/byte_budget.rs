//! Bounds the memory that a process holds for its callers: heads, bodies and unread responses.
//!
//! Load: clients that send or announce more than the process has memory for, from few or many
//! addresses, most of them stopping short of the end. Bytes are reserved before they are kept. When
//! there is no room, a body of the caller that holds most gives way.

use std::net;
use std::sync;
use std::sync::atomic;
use std::task;
use std::time;

use futures::future;

use crate::process::limits::byte_ledger;

/// Result of reserving bytes.
pub type Result<T> = std::result::Result<T, ByteError>;

/// Largest reservation, in bytes, that may use the part of the budget that is reserved for small
/// requests.
pub const SMALL_BYTES: usize = 64 * 1024;

/// Why bytes cannot be reserved. The holder must drop what it holds and its reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ByteError {
    /// No room, and nothing that should give way to this reservation.
    Exhausted,
    /// The reservation was evicted in favour of another one.
    Evicted,
}

impl std::fmt::Display for ByteError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Exhausted => "the memory for callers is in use; retry later",
            Self::Evicted => "the memory was given to another caller; retry later",
        })
    }
}

impl std::error::Error for ByteError {}

/// Whether bytes were reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrowStep {
    /// The bytes are reserved.
    Granted,
    /// Evicted reservations will make room once their holders have dropped them.
    Waiting,
}

/// Memory budget of a process for what it holds of its callers.
#[derive(Debug)]
pub struct ByteBudget {
    limit: usize,
    /// Start of the times at which reservations made progress.
    epoch: time::Instant,
    state: parking_lot::Mutex<byte_ledger::ByteLedger>,
}

/// Bytes reserved for one request; dropping it returns them. It is used by one task at a time.
#[derive(Debug)]
pub struct ByteReservation {
    budget: sync::Arc<ByteBudget>,
    signal: sync::Arc<byte_ledger::HolderSignal>,
    key: slotmap::DefaultKey,
}

impl ByteBudget {
    /// Creates a budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            epoch: time::Instant::now(),
            state: parking_lot::Mutex::default(),
        }
    }

    /// Limit in bytes.
    #[must_use]
    pub const fn limit(&self) -> usize {
        self.limit
    }

    /// Bytes that are reserved.
    #[must_use]
    pub fn held(&self) -> usize {
        self.state.lock().held.all
    }

    /// Starts an empty reservation for a request of `caller`.
    #[must_use]
    pub fn open(
        self: &sync::Arc<Self>,
        caller: net::IpAddr,
        now: time::Instant,
    ) -> ByteReservation {
        let signal = sync::Arc::new(byte_ledger::HolderSignal::default());
        signal
            .progress_ms
            .store(self.millis(now), atomic::Ordering::Relaxed);
        let key = self.state.lock().entries.insert(byte_ledger::HeldEntry {
            caller,
            bytes: 0,
            is_evictable: true,
            is_evicted: false,
            signal: sync::Arc::clone(&signal),
        });
        ByteReservation {
            budget: sync::Arc::clone(self),
            signal,
            key,
        }
    }

    fn millis(&self, now: time::Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.epoch);
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    }
}

impl ByteReservation {
    /// Bytes reserved.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let state = self.budget.state.lock();
        state.entries.get(self.key).map_or(0, |entry| entry.bytes)
    }

    /// Whether the reservation was evicted; its holder must drop it.
    #[must_use]
    pub fn is_evicted(&self) -> bool {
        self.signal.is_evicted.load(atomic::Ordering::Acquire)
    }

    /// Completes when the reservation is evicted.
    pub async fn evicted(&self) {
        future::poll_fn(|context| {
            self.signal.waker.register(context.waker());
            if self.is_evicted() {
                return task::Poll::Ready(());
            }
            task::Poll::Pending
        })
        .await;
    }

    /// Records that bytes arrived, or that the caller took some, at `now`.
    pub fn record_progress(&self, now: time::Instant) {
        let now = self.budget.millis(now);
        self.signal
            .progress_ms
            .store(now, atomic::Ordering::Relaxed);
    }

    /// Reserves `additional` bytes at `now`, and evicts others if there is no room otherwise.
    ///
    /// # Errors
    /// [`ByteError`] when the reservation has to be dropped.
    pub fn try_grow(&self, additional: usize, now: time::Instant) -> Result<GrowStep> {
        self.step(additional, now, None)
    }

    /// Reserves `additional` bytes, and waits while evicted reservations are being dropped.
    ///
    /// # Errors
    /// [`ByteError`] when the reservation has to be dropped.
    pub async fn grow(&self, additional: usize) -> Result<()> {
        future::poll_fn(|context| {
            self.signal.waker.register(context.waker());
            match self.step(additional, time::Instant::now(), Some(context.waker())) {
                Ok(GrowStep::Granted) => task::Poll::Ready(Ok(())),
                Ok(GrowStep::Waiting) => task::Poll::Pending,
                Err(error) => task::Poll::Ready(Err(error)),
            }
        })
        .await
    }

    /// Returns `bytes` of the reservation, at most all of them.
    pub fn shrink(&self, bytes: usize) {
        let mut state = self.budget.state.lock();
        let Some(entry) = state.entries.get(self.key) else {
            return;
        };
        let (old, new) = (entry.bytes, entry.bytes.saturating_sub(bytes));
        state.resize(self.key, old, new);
        state.wake_waiting();
    }

    /// Keeps the reservation from being evicted, because its request is complete and may be sent to
    /// an endpoint.
    ///
    /// # Errors
    /// [`ByteError::Evicted`] when it was evicted before.
    pub fn keep(&self) -> Result<()> {
        self.set_evictable(false)
    }

    /// Allows the reservation to be evicted again; its holder has to watch [`Self::evicted`].
    ///
    /// # Errors
    /// [`ByteError::Evicted`] when it was evicted before.
    pub fn allow_eviction(&self) -> Result<()> {
        self.set_evictable(true)
    }

    fn set_evictable(&self, is_evictable: bool) -> Result<()> {
        let mut state = self.budget.state.lock();
        match state.entries.get_mut(self.key) {
            Some(entry) if !entry.is_evicted => {
                entry.is_evictable = is_evictable;
                Ok(())
            }
            _ => Err(ByteError::Evicted),
        }
    }

    fn step(
        &self,
        additional: usize,
        now: time::Instant,
        waker: Option<&task::Waker>,
    ) -> Result<GrowStep> {
        let now_ms = self.budget.millis(now);
        let mut state = self.budget.state.lock();
        let old_bytes = match state.entries.get(self.key) {
            Some(entry) if !entry.is_evicted => entry.bytes,
            _ => return Err(ByteError::Evicted),
        };
        let demand = byte_ledger::GrowthDemand {
            key: self.key,
            old_bytes,
            new_bytes: old_bytes.saturating_add(additional),
        };
        self.signal
            .progress_ms
            .store(now_ms, atomic::Ordering::Relaxed);
        if state.fits(
            demand,
            self.budget.limit,
            byte_ledger::ByteTotals::default(),
        ) {
            state.resize(self.key, old_bytes, demand.new_bytes);
            return Ok(GrowStep::Granted);
        }
        state.make_room(demand, self.budget.limit, now_ms)?;
        state.waiting.extend(waker.cloned());
        Ok(GrowStep::Waiting)
    }
}

impl Drop for ByteReservation {
    fn drop(&mut self) {
        let mut state = self.budget.state.lock();
        let Some(entry) = state.entries.get(self.key) else {
            return;
        };
        let bytes = entry.bytes;
        state.resize(self.key, bytes, 0);
        state.entries.remove(self.key);
        state.wake_waiting();
    }
}
