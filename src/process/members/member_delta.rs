//! The facts of a member table that a peer lacks.

use crate::connection::peer_wire;
use crate::process::members::{member_digest, member_table};

/// State facts for a peer.
#[derive(Clone, Debug, Default)]
pub struct FactBatch {
    /// Member facts.
    pub members: Vec<peer_wire::MemberWire>,
    /// Leaving endpoints.
    pub leaving: Vec<peer_wire::LeavingWire>,
    /// Number of the last change that the batch completes.
    pub upto: u64,
}

impl member_table::MemberTable {
    /// Facts that changed after number `since`, oldest first, without those that `peer` sent; at most
    /// `limit`.
    #[must_use]
    pub fn delta(&self, since: u64, peer: &str, limit: usize) -> FactBatch {
        let mut batch = FactBatch {
            upto: since.min(self.sequence()),
            ..FactBatch::default()
        };
        for (sequence, change) in self.changes.after(since) {
            if batch.members.len() + batch.leaving.len() >= limit {
                return batch;
            }
            batch.upto = sequence;
            self.add_change(&mut batch, change, peer);
        }
        batch.upto = self.sequence();
        batch
    }

    /// All facts in the buckets of a bit set.
    #[must_use]
    pub fn facts_in(&self, mask: u64) -> FactBatch {
        let wanted = |name: &str| member_digest::is_in(mask, name);
        let facts = self.records.values().map(|record| &record.fact);
        let members = facts.filter(|fact| wanted(&fact.router)).cloned().collect();
        let lives = self
            .leaving
            .instances()
            .filter(|life| wanted(&life.endpoint));
        let leaving = lives.filter_map(|life| self.leaving.get(life)).collect();
        FactBatch {
            members,
            leaving,
            upto: self.sequence(),
        }
    }

    fn add_change(&self, batch: &mut FactBatch, change: &member_digest::ChangeKey, peer: &str) {
        match change {
            member_digest::ChangeKey::Member(key) => {
                let record = self.records.get(*key);
                let record = record.filter(|record| record.source.as_deref() != Some(peer));
                batch
                    .members
                    .extend(record.map(|record| record.fact.clone()));
            }
            member_digest::ChangeKey::Leaving(life) => batch.leaving.extend(self.leaving.get(life)),
        }
    }
}
