//! Orders to move the traffic of services to other versions, as known to this router.
//!
//! They come from the store, or from peers on routers that do not read it. Of two, the one with the
//! greater version holds. A row that was removed or cannot be decoded is no order.

use std::collections;
use std::time;

use xxhash_rust::xxh3;

/// Bits of an order's version that hold the version of its row. The bits above hold the era of the
/// store, as a store that was restored from a copy gives the same versions out again.
const ROW_BITS: u32 = 44;

/// Maximum number of services whose orders are kept, withdrawn ones included.
pub const MAX_ORDERS: usize = 256;

/// What an order says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderContent {
    /// Version that the traffic moves to.
    pub to: String,
    /// Time that the ramp may take.
    pub ramp: time::Duration,
}

/// An order in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Service name.
    pub service: String,
    /// What it says.
    pub content: OrderContent,
    /// Version, by [`order_version`].
    pub version: u64,
}

/// The newest that is known of the order of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderEntry {
    /// Service name.
    pub service: String,
    /// What the order says; `None` if it was withdrawn or cannot be decoded.
    pub content: Option<OrderContent>,
    /// Version, by [`order_version`].
    pub version: u64,
}

impl OrderEntry {
    /// The order, if there is one.
    #[must_use]
    pub fn order(&self) -> Option<RolloutOrder> {
        Some(RolloutOrder {
            service: self.service.clone(),
            content: self.content.clone()?,
            version: self.version,
        })
    }
}

/// Version of an order from the era of the store and the version of its row.
#[must_use]
pub const fn order_version(era: u64, row_version: u64) -> u64 {
    (era << ROW_BITS) | row_of(row_version)
}

/// Version of the row of an order.
#[must_use]
pub const fn row_of(order_version: u64) -> u64 {
    order_version & ((1 << ROW_BITS) - 1)
}

/// The orders of all services.
#[derive(Clone, Debug, Default)]
pub struct OrderBook {
    entries: collections::BTreeMap<String, OrderEntry>,
}

impl OrderBook {
    /// Takes an entry of the store or of a peer; returns whether it changed the book.
    ///
    /// Of entries with the same version, the withdrawn one holds: a full read of the store shows that
    /// the row is gone, but not the version of its removal.
    pub fn merge(&mut self, entry: OrderEntry) -> bool {
        let Some(known) = self.entries.get_mut(&entry.service) else {
            let has_room = self.entries.len() < MAX_ORDERS;
            if has_room {
                self.entries.insert(entry.service.clone(), entry);
            }
            return has_room;
        };
        // The same row in a restored store is no new order.
        let is_same_row = row_of(known.version) == row_of(entry.version)
            && known.content.is_some()
            && known.content == entry.content;
        let is_withdrawn = known.content.is_some() && entry.content.is_none();
        let is_newer =
            entry.version > known.version || (entry.version == known.version && is_withdrawn);
        if is_same_row || !is_newer {
            return false;
        }
        *known = entry;
        true
    }

    /// Marks the orders that a full read of the store did not return as withdrawn; returns them.
    pub fn withdraw_missing(&mut self, era: u64, present: &[&str]) -> Vec<OrderEntry> {
        let entries = self.entries.values_mut();
        let missing = entries
            .filter(|entry| entry.content.is_some() && !present.contains(&entry.service.as_str()));
        let withdrawn = missing.map(|entry| {
            entry.content = None;
            entry.version = entry.version.max(order_version(era, 0));
            entry.clone()
        });
        withdrawn.collect()
    }

    /// All entries, withdrawn ones included.
    pub fn entries(&self) -> impl Iterator<Item = &OrderEntry> {
        self.entries.values()
    }

    /// The order of a service, if there is one.
    #[must_use]
    pub fn order(&self, service: &str) -> Option<RolloutOrder> {
        self.entries.get(service)?.order()
    }

    /// Digest that is the same at routers with the same entries; 0 without any.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let hashes = self.entries.values().map(|entry| {
            let is_order = u64::from(entry.content.is_some());
            let seed = entry.version.wrapping_mul(2).wrapping_add(is_order);
            xxh3::xxh3_64_with_seed(entry.service.as_bytes(), seed)
        });
        hashes.fold(0, |digest, hash| digest ^ hash)
    }
}
