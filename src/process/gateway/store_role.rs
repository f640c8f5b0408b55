//! Whether this router reads the platform's store, and how long ago the store last answered.

use std::time;

use crate::process::gateway::{boot_clock, first_read, node, readers, rows};

impl node::GatewayNode {
    /// Whether this router watches the store itself instead of relying on another reader.
    #[must_use]
    pub fn is_watching_store(&self) -> bool {
        if self.version_number().is_none() {
            let contact = self.peer_contact();
            if !self.first_read.is_due(contact, time::Instant::now()) {
                return false;
            }
        }
        let now = boot_clock::BootInstant::now();
        self.is_reader() || !self.reader_watch.lock().has_recent_answer(self.pace, now)
    }

    /// What this router knows of the configurations of others.
    pub(super) fn peer_contact(&self) -> first_read::PeerContact {
        if self.gossip.newest_config_peer(0).is_some() {
            return first_read::PeerContact::Configured;
        }
        if self.gossip.members().len() > 1 {
            return first_read::PeerContact::Unconfigured;
        }
        first_read::PeerContact::None
    }

    /// Whether this router is the one that reads the store for its zone.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        readers::ZonePosition(self.gossip.ready_index_in_zone()).is_reader()
    }

    /// Time since the store last answered this router or, if it does not watch the store, a reader
    /// that peers reported; `None` if they reported none.
    #[must_use]
    pub fn store_answer_age(&self) -> Option<time::Duration> {
        if self.is_watching_store() {
            return Some(self.own_answer_age());
        }
        self.reader_watch.lock().age(boot_clock::BootInstant::now())
    }

    /// Time since the store last answered this router: the longer of the times for the
    /// configuration and for the endpoints.
    fn own_answer_age(&self) -> time::Duration {
        let now = boot_clock::BootInstant::now();
        let answers = *self.store_answered_at.lock();
        let ages = answers.into_iter().map(|answer| now.since(answer));
        ages.max().unwrap_or_default()
    }

    /// Records that the store has just answered a call for `topic`.
    pub(super) fn record_store_answer(&self, topic: rows::RowTopic) {
        let index = match topic {
            rows::RowTopic::Config => 0,
            rows::RowTopic::Endpoints => 1,
            rows::RowTopic::Routers
            | rows::RowTopic::BlockedRequests
            | rows::RowTopic::Rollouts
            | rows::RowTopic::RolloutStatus
            | rows::RowTopic::StreamVersions => return,
        };
        self.store_answered_at.lock()[index] = boot_clock::BootInstant::now();
    }
}
