//! Active configuration version of this router; its number only increases.

use std::fmt;
use std::sync;
use std::sync::atomic;

use async_std::task;

use crate::connection::peer_wire;
use crate::process::versions::delta_log;
use crate::version::delta;
use crate::version::route;

/// Result of offering a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The version is now active.
    Activated,
    /// The version was already active.
    AlreadyActive,
    /// A version with a higher number is active.
    Older,
    /// The version cannot be parsed; the previous version stays active.
    Unparsable,
    /// The deltas do not apply to the active version; the next query requests the full text.
    BaseMismatch,
}

type Subscriber = Box<dyn Fn(&sync::Arc<route::ActiveVersion>) + Send + Sync>;

/// Holds the active version and notifies subscribers of new ones.
#[derive(Default)]
pub struct ConfigCell {
    current: parking_lot::Mutex<Option<sync::Arc<route::ActiveVersion>>>,
    /// Locked for the whole duration of an offer, so that subscribers see versions in order.
    subscribers: parking_lot::Mutex<Vec<Subscriber>>,
    deltas: parking_lot::Mutex<delta_log::DeltaLog>,
    needs_full_text: atomic::AtomicBool,
    refused: atomic::AtomicU64,
    highest_refused: atomic::AtomicU64,
}

impl fmt::Debug for ConfigCell {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ConfigCell")
            .field("number", &self.number())
            .field("refused", &self.refused_count())
            .finish_non_exhaustive()
    }
}

impl ConfigCell {
    /// Creates a cell without an active version.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The active version; `None` before the first one.
    #[must_use]
    pub fn current(&self) -> Option<sync::Arc<route::ActiveVersion>> {
        self.current.lock().clone()
    }

    /// Number of the active version; 0 if there is none.
    #[must_use]
    pub fn number(&self) -> u64 {
        let current = self.current.lock();
        current.as_ref().map_or(0, |version| version.number())
    }

    /// Activates the version if its number is higher than the active one and it can be parsed.
    ///
    /// Subscribers are called before this returns. They must not offer versions themselves, which
    /// would deadlock.
    pub fn offer(&self, number: u64, yaml: &str) -> OfferOutcome {
        let subscribers = self.subscribers.lock();
        let active_number = self.number();
        if number == active_number {
            return OfferOutcome::AlreadyActive;
        }
        if number < active_number {
            return OfferOutcome::Older;
        }
        let Ok(version) = route::ActiveVersion::build(number, yaml) else {
            self.refused.fetch_add(1, atomic::Ordering::Relaxed);
            self.highest_refused
                .fetch_max(number, atomic::Ordering::Relaxed);
            return OfferOutcome::Unparsable;
        };
        let version = sync::Arc::new(version);
        self.activate(&version);
        self.needs_full_text.store(false, atomic::Ordering::Relaxed);
        for subscriber in subscribers.iter() {
            subscriber(&version);
        }
        OfferOutcome::Activated
    }

    fn activate(&self, version: &sync::Arc<route::ActiveVersion>) {
        let previous = self.current();
        let last_delta = previous.map(|previous| {
            let delta = delta::TextDelta::between(previous.yaml(), version.yaml());
            (previous.number(), delta)
        });
        // Keep the lock for both updates, so that the log always ends at the active version.
        let mut deltas = self.deltas.lock();
        if let Some((from, delta)) = last_delta {
            deltas.add(from, delta);
        }
        *self.current.lock() = Some(sync::Arc::clone(version));
    }

    /// Activates a version sent by a peer, as full text or as deltas, like [`Self::offer`].
    pub fn offer_update(&self, wire: &peer_wire::VersionWire) -> OfferOutcome {
        let (from, deltas) = match &wire.text {
            peer_wire::VersionText::Whole(yaml) => return self.offer(wire.number, yaml),
            peer_wire::VersionText::Deltas { from, deltas } => (*from, deltas),
        };
        if wire.number <= self.number() {
            return OfferOutcome::Older;
        }
        let base = self.current().filter(|version| version.number() == from);
        let text = base.and_then(|base| delta_log::apply_all(base.yaml(), deltas).ok());
        let Some(text) = text else {
            self.needs_full_text.store(true, atomic::Ordering::Relaxed);
            return OfferOutcome::BaseMismatch;
        };
        self.offer(wire.number, &text)
    }

    /// Update from version `number` to the active version, for a peer; `None` if the active version
    /// is not newer.
    #[must_use]
    pub fn update_since(&self, number: u64) -> Option<peer_wire::VersionWire> {
        let deltas = self.deltas.lock();
        let current = self.current()?;
        if current.number() <= number {
            return None;
        }
        Some(peer_wire::VersionWire {
            number: current.number(),
            text: deltas.text_since(number, &current),
        })
    }

    /// Version number to send in a query for a newer version; 0 requests the full text.
    #[must_use]
    pub fn update_base_number(&self) -> u64 {
        if self.needs_full_text.load(atomic::Ordering::Relaxed) {
            return 0;
        }
        self.number()
    }

    /// Calls `subscriber` with each version activated from now on, in order.
    pub fn subscribe(
        &self,
        subscriber: impl Fn(&sync::Arc<route::ActiveVersion>) + Send + Sync + 'static,
    ) {
        self.subscribers.lock().push(Box::new(subscriber));
    }

    /// Number of offered versions that could not be parsed.
    #[must_use]
    pub fn refused_count(&self) -> u64 {
        self.refused.load(atomic::Ordering::Relaxed)
    }

    /// Whether `number` is at most the active or highest refused version, so that it need not be
    /// read.
    #[must_use]
    pub fn has_seen(&self, number: u64) -> bool {
        let refused = self.highest_refused.load(atomic::Ordering::Relaxed);
        number <= self.number().max(refused)
    }
}

/// Calls [`ConfigCell::offer`] on a blocking thread, so that it does not delay requests: checking
/// and compiling a large version takes a substantial part of a second.
pub async fn offer_off_thread(
    cell: &sync::Arc<ConfigCell>,
    number: u64,
    yaml: String,
) -> OfferOutcome {
    let cell = sync::Arc::clone(cell);
    task::spawn_blocking(move || cell.offer(number, &yaml)).await
}

/// Calls [`ConfigCell::offer_update`] on a blocking thread, so that it does not delay requests.
pub async fn offer_update_off_thread(
    cell: &sync::Arc<ConfigCell>,
    wire: peer_wire::VersionWire,
) -> OfferOutcome {
    let cell = sync::Arc::clone(cell);
    task::spawn_blocking(move || cell.offer_update(&wire)).await
}
