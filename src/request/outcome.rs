//! Table of idempotency keys at their home: each key is sent at most once, its outcome is kept.
//!
//! Memory is bounded: answer bodies are dropped first, then whole entries whose keys are older
//! than the retention time. A key that could be sent a second time is never dropped, and new keys
//! are refused while the table is full.

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

/// Bounds of a [`KeyTable`].
#[derive(Clone, Copy, Debug)]
pub struct TableLimits {
    /// Age of a key after which its outcome may be forgotten.
    pub retention: time::Duration,
    /// Largest tolerated difference between the clocks of callers and of this router.
    pub clock_skew: time::Duration,
    /// Keys held at most.
    pub max_keys: usize,
    /// Bytes of kept answer bodies at most.
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

/// Outcome of a call, shared by all who asked for it.
pub type SharedOutcome = sync::Arc<peer_wire::CallOutcomeWire>;

/// Outcome that is still to come; cancelled when the runner of the call was lost.
pub type PendingOutcome = future::Shared<oneshot::Receiver<SharedOutcome>>;

/// What the table says about one arriving copy of a call.
#[derive(Debug)]
pub enum TableEntry {
    /// The key is new: the holder of the ticket may send the call, once.
    New(RunTicket, PendingOutcome),
    /// The call is running.
    Running(PendingOutcome),
    /// The outcome is kept.
    Kept(SharedOutcome),
    /// The call was answered with this status, the body is no longer kept.
    Trimmed(u16),
    /// The key was used for another request.
    Reused,
    /// The key is older than the retention time and unknown.
    Forgotten,
    /// The key was made later than the clock skew allows.
    Future,
    /// The table is full, and the key is refused for good.
    Full,
}

/// Who may run a key that the table does not hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyArrival {
    /// Digest of the key.
    pub key: digest::CallDigest,
    /// Digest of the request.
    pub request: digest::CallDigest,
    /// When the key was made, since the Unix epoch; `None` for a client's own key.
    pub made_at: Option<time::Duration>,
    /// No other copy of the call has ever been sent.
    pub first_send: bool,
}

/// Keys and outcomes of the calls whose home is this process.
///
/// All times given to one table are readings of one clock that never goes back.
#[derive(Debug)]
pub struct KeyTable {
    shards: Vec<parking_lot::Mutex<key_shard::KeyShard>>,
    limits: TableLimits,
    running: atomic::AtomicUsize,
}

/// Right to send one call once; losing it counts as a call that may have run.
#[derive(Debug)]
pub struct RunTicket {
    table: sync::Arc<KeyTable>,
    key: digest::CallDigest,
    sender: Option<oneshot::Sender<SharedOutcome>>,
}

impl RunTicket {
    /// Keeps the final outcome and gives it to all who wait.
    ///
    /// A refusal as not run is dropped when no other copy of the call can exist, so that the
    /// caller may use the key again.
    pub fn finish(mut self, outcome: peer_wire::CallOutcomeWire) {
        self.settle(sync::Arc::new(outcome), true);
    }

    /// Gives `outcome` to all who wait without keeping it: the call runs at another home, if at all.
    pub fn release(mut self, outcome: peer_wire::CallOutcomeWire) {
        self.settle(sync::Arc::new(outcome), false);
    }

    fn settle(&mut self, outcome: SharedOutcome, keep: bool) {
        let Some(sender) = self.sender.take() else {
            return;
        };
        self.table.settle(self.key, &outcome, keep);
        self.table.running.fetch_sub(1, atomic::Ordering::SeqCst);
        // Nobody waits any longer when this fails.
        drop(sender.send(outcome));
    }
}

impl Drop for RunTicket {
    fn drop(&mut self) {
        let refusal = verdict::RequestRefusal::may_have_run(
            502,
            verdict::RefusalCode::EndpointFailed,
            "the call was broken off; look up its effect before a new call",
        );
        let outcome = peer_wire::CallOutcomeWire::Refused(refusal.into());
        self.settle(sync::Arc::new(outcome), true);
    }
}

impl KeyTable {
    /// An empty table.
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

    /// Looks up or enters an arriving call; `now` is the time since the Unix epoch.
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

    /// What is known of a key that this router must not run; `None` when it is unknown.
    #[must_use]
    pub fn look_up(&self, arrival: KeyArrival) -> Option<TableEntry> {
        let mut shard = self.shard(arrival.key).lock();
        let entry = shard.entries.get_mut(&arrival.key)?;
        Some(entry.answer(arrival))
    }

    /// Tickets that are held.
    #[must_use]
    pub fn running_count(&self) -> usize {
        self.running.load(atomic::Ordering::SeqCst)
    }

    /// Keys held.
    #[must_use]
    pub fn key_count(&self) -> usize {
        self.shards
            .iter()
            .map(|shard| shard.lock().entries.len())
            .sum()
    }

    /// Bytes of kept answer bodies.
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
