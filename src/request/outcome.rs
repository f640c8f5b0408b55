//! Table of idempotency keys at their home router: a call is sent at most once per key, and its
//! outcome is stored.
//!
//! Memory is bounded: response bodies are evicted first, then whole entries whose keys are older
//! than the retention time. A key whose call could be sent a second time is never evicted, and new
//! keys are refused while the table is full.

use std::sync;
use std::sync::atomic;
use std::time;

use futures::channel::oneshot;
use futures::future;

use crate::connection::peer_wire;
use crate::request::digest;
use crate::request::key_shard;
use crate::request::verdict;

const SHARD_COUNT: usize = 16;

/// Limits of a [`KeyTable`].
#[derive(Clone, Copy, Debug)]
pub struct TableLimits {
    /// Age of a key after which its outcome may be evicted.
    pub retention: time::Duration,
    /// Maximum tolerated difference between the clocks of callers and of this router.
    pub clock_skew: time::Duration,
    /// Maximum number of keys.
    pub max_keys: usize,
    /// Maximum total size of stored response bodies, in bytes.
    pub max_body_bytes: usize,
}

impl Default for TableLimits {
    fn default() -> Self {
        Self {
            retention: time::Duration::from_secs(3600),
            clock_skew: time::Duration::from_secs(60),
            max_keys: 65_536,
            max_body_bytes: 8 * 1024 * 1024,
        }
    }
}

/// Outcome of a call, shared by all callers waiting for it.
pub type SharedOutcome = sync::Arc<peer_wire::CallOutcomeWire>;

/// Future of an outcome; cancelled if the sender is dropped without a result.
pub type PendingOutcome = future::Shared<oneshot::Receiver<SharedOutcome>>;

/// Result of a table lookup for one arriving copy of a call.
#[derive(Debug)]
pub enum TableEntry {
    /// The key is new: the holder of the ticket may send the call, once.
    New(RunTicket, PendingOutcome),
    /// The call is in flight.
    Running(PendingOutcome),
    /// The call has ended and its outcome is stored.
    Kept(SharedOutcome),
    /// The call was answered with this status; the body has been evicted.
    Trimmed(u16),
    /// The key was used for another request.
    Reused,
    /// The key is unknown and older than the retention time.
    Forgotten,
    /// The creation time of the key is further in the future than the clock skew allows.
    Future,
    /// The table is full; a key that names a home is refused permanently unless this is its first
    /// send.
    Full,
}

/// One arriving copy of a call, as given to the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyArrival {
    /// Digest of the key.
    pub key: digest::CallDigest,
    /// Digest of the request.
    pub request: digest::CallDigest,
    /// Creation time of the key since the Unix epoch; `None` for a key chosen by the client.
    pub made_at: Option<time::Duration>,
    /// Whether no other copy of the call has ever been sent.
    pub first_send: bool,
}

/// Keys and outcomes of the calls whose home is this process.
///
/// All times passed to one table must come from the same monotonic clock.
#[derive(Debug)]
pub struct KeyTable {
    shards: Vec<parking_lot::Mutex<key_shard::KeyShard>>,
    limits: TableLimits,
    running: atomic::AtomicUsize,
}

/// Permission to send a call once; dropping it unused records that the call may have run.
#[derive(Debug)]
pub struct RunTicket {
    table: sync::Arc<KeyTable>,
    key: digest::CallDigest,
    sender: Option<oneshot::Sender<SharedOutcome>>,
}

impl RunTicket {
    /// Stores the final outcome and sends it to all waiters.
    ///
    /// A not-run refusal is not stored if no other copy of the call can exist, so that the caller
    /// may reuse the key.
    pub fn finish(mut self, outcome: peer_wire::CallOutcomeWire) {
        self.settle(sync::Arc::new(outcome), true);
    }

    /// Sends `outcome` to all waiters without storing it: this router did not send the call.
    pub fn release(mut self, outcome: peer_wire::CallOutcomeWire) {
        self.settle(sync::Arc::new(outcome), false);
    }

    fn settle(&mut self, outcome: SharedOutcome, keep: bool) {
        let Some(sender) = self.sender.take() else {
            return;
        };
        self.table.settle(self.key, &outcome, keep);
        self.table.running.fetch_sub(1, atomic::Ordering::SeqCst);
        // Sending fails if all waiters are gone.
        drop(sender.send(outcome));
    }
}

impl Drop for RunTicket {
    fn drop(&mut self) {
        let refusal = verdict::RequestRefusal::may_have_run(
            502,
            verdict::RefusalCode::EndpointFailed,
            "the call was interrupted; check whether it took effect before a new call",
        );
        let outcome = peer_wire::CallOutcomeWire::Refused(refusal.into());
        self.settle(sync::Arc::new(outcome), true);
    }
}

impl KeyTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(limits: TableLimits) -> sync::Arc<Self> {
        let shards = (0..SHARD_COUNT)
            .map(|_index| parking_lot::Mutex::default())
            .collect();
        sync::Arc::new(Self {
            shards,
            limits,
            running: atomic::AtomicUsize::new(0),
        })
    }

    /// Looks up an arriving call, or adds it if new; `now` is the time since the Unix epoch.
    #[must_use]
    pub fn enter(self: &sync::Arc<Self>, arrival: KeyArrival, now: time::Duration) -> TableEntry {
        let mut shard = self.shard(arrival.key).lock();
        shard.sweep(now);
        if let Some(entry) = shard.entries.get_mut(&arrival.key) {
            return entry.answer(arrival);
        }
        if let Some(refusal) = self.refuse_unknown(&mut shard, arrival, now) {
            return refusal;
        }
        let (sender, receiver) = oneshot::channel();
        let pending = future::FutureExt::shared(receiver);
        let expiry = arrival.made_at.unwrap_or(now).max(now) + self.entry_lifetime();
        shard.expiries.insert((expiry, arrival.key));
        shard.entries.insert(
            arrival.key,
            key_shard::KeyEntry {
                request: arrival.request,
                is_refusal_final: !arrival.first_send,
                expiry,
                state: key_shard::EntryState::Running(pending.clone()),
            },
        );
        self.running.fetch_add(1, atomic::Ordering::SeqCst);
        let ticket = RunTicket {
            table: sync::Arc::clone(self),
            key: arrival.key,
            sender: Some(sender),
        };
        TableEntry::New(ticket, pending)
    }

    /// Looks up a key that this router must not run; `None` if the key is unknown.
    #[must_use]
    pub fn look_up(&self, arrival: KeyArrival) -> Option<TableEntry> {
        let mut shard = self.shard(arrival.key).lock();
        let entry = shard.entries.get_mut(&arrival.key)?;
        Some(entry.answer(arrival))
    }

    /// Number of tickets that are currently held.
    #[must_use]
    pub fn running_count(&self) -> usize {
        self.running.load(atomic::Ordering::SeqCst)
    }

    /// Number of keys in the table.
    #[must_use]
    pub fn key_count(&self) -> usize {
        self.shards
            .iter()
            .map(|shard| shard.lock().entries.len())
            .sum()
    }

    /// Total size of stored response bodies, in bytes.
    #[must_use]
    pub fn body_bytes(&self) -> usize {
        self.shards
            .iter()
            .map(|shard| shard.lock().body_bytes)
            .sum()
    }

    fn shard(&self, key: digest::CallDigest) -> &parking_lot::Mutex<key_shard::KeyShard> {
        &self.shards[key.shard(SHARD_COUNT)]
    }

    fn entry_lifetime(&self) -> time::Duration {
        self.limits.retention + self.limits.clock_skew
    }

    fn refuse_unknown(
        &self,
        shard: &mut key_shard::KeyShard,
        arrival: KeyArrival,
        now: time::Duration,
    ) -> Option<TableEntry> {
        if let Some(made_at) = arrival.made_at {
            if made_at + self.limits.retention < now {
                return Some(TableEntry::Forgotten);
            }
            if made_at > now + self.limits.clock_skew {
                return Some(TableEntry::Future);
            }
        }
        if arrival.made_at.is_some() && arrival.made_at <= shard.floor {
            return Some(TableEntry::Full);
        }
        if shard.entries.len() < self.limits.max_keys / SHARD_COUNT {
            return None;
        }
        if !arrival.first_send {
            shard.floor = shard.floor.max(arrival.made_at);
        }
        Some(TableEntry::Full)
    }

    fn settle(&self, key: digest::CallDigest, outcome: &SharedOutcome, keep: bool) {
        let mut shard = self.shard(key).lock();
        shard.settle(key, outcome, keep, self.limits.max_body_bytes / SHARD_COUNT);
    }
}
