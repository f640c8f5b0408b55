//! Batches of entries of a member table to send to a peer.

use crate::connection::peer_wire;
use crate::process::members::{member_digest, member_table};

/// Member entries and leaving records to send to a peer.
#[derive(Clone, Debug, Default)]
pub struct StateBatch {
    /// Member entries.
    pub members: Vec<peer_wire::MemberWire>,
    /// Leaving records.
    pub leaving: Vec<peer_wire::LeavingWire>,
    /// Change number up to which the peer is up to date once it has applied the batch.
    pub last_sequence: u64,
}

impl member_table::MemberTable {
    /// Entries that changed after change number `since`, oldest first and at most `limit`.
    ///
    /// Member entries that `peer` itself sent are left out.
    #[must_use]
    pub fn delta(&self, since: u64, peer: &str, limit: usize) -> StateBatch {
        let mut batch = StateBatch {
            last_sequence: since.min(self.sequence()),
            ..StateBatch::default()
        };
        for (sequence, change) in self.changes.after(since) {
            if batch.members.len() + batch.leaving.len() >= limit {
                return batch;
            }
            batch.last_sequence = sequence;
            self.add_change(&mut batch, change, peer);
        }
        batch.last_sequence = self.sequence();
        batch
    }

    /// All entries in the buckets of the bit set `mask`.
    #[must_use]
    pub fn bucket_entries(&self, mask: u64) -> StateBatch {
        let wanted = |name: &str| member_digest::is_in_buckets(mask, name);
        let members = self.records.values().map(|record| &record.member);
        let members = members
            .filter(|member| wanted(&member.router))
            .cloned()
            .collect();
        let instances = self
            .leaving
            .instances()
            .filter(|instance| wanted(&instance.endpoint));
        let leaving = instances
            .filter_map(|instance| self.leaving.get(instance))
            .collect();
        StateBatch {
            members,
            leaving,
            last_sequence: self.sequence(),
        }
    }

    fn add_change(&self, batch: &mut StateBatch, change: &member_digest::ChangeKey, peer: &str) {
        match change {
            member_digest::ChangeKey::Member(key) => {
                let record = self.records.get(*key);
                let record = record.filter(|record| record.source.as_deref() != Some(peer));
                batch
                    .members
                    .extend(record.map(|record| record.member.clone()));
            }
            member_digest::ChangeKey::Leaving(key) => batch.leaving.extend(self.leaving.get(key)),
        }
    }
}
