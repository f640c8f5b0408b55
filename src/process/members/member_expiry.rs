//! Time-based changes of a member table: suspicion timeouts and removal of expired entries.

use std::time;

use crate::connection::peer_wire;
use crate::process::members::{member_digest, member_rank, member_table};

/// How long entries of dead and left members are kept; longer than a region is expected to be
/// disconnected.
pub const DEAD_RETENTION: time::Duration = time::Duration::from_secs(2 * 60 * 60);

impl member_table::MemberTable {
    /// Declares members dead that have been suspect for at least `suspicion`, and returns their
    /// entries.
    pub fn expire_suspects(
        &mut self,
        suspicion: time::Duration,
        now: time::Instant,
    ) -> Vec<peer_wire::MemberWire> {
        let records = &self.records;
        let is_due = |key: &&member_digest::MemberKey| {
            let record = records.get(**key);
            record.is_some_and(|record| now.duration_since(record.changed_at) >= suspicion)
        };
        let due: Vec<member_digest::MemberKey> =
            self.suspects.iter().filter(is_due).copied().collect();
        for key in &due {
            let member = self.records[*key].member.clone();
            self.set_liveness(&member, member_rank::PeerLiveness::Dead, now);
        }
        due.iter()
            .map(|key| self.records[*key].member.clone())
            .collect()
    }

    /// Restarts the timeout of all suspicions, for use after a period in which this router could
    /// not receive refutations.
    pub fn reset_suspicion_timers(&mut self, now: time::Instant) {
        for key in &self.suspects {
            if let Some(record) = self.records.get_mut(*key) {
                record.changed_at = now;
            }
        }
    }

    /// Removes dead and left members after [`DEAD_RETENTION`], and leaving records that have
    /// expired.
    pub fn remove_expired(&mut self, now: time::Instant, now_micros: u64) {
        let is_old = |record: &member_table::MemberRecord| {
            !record.rank.is_live() && now.duration_since(record.changed_at) >= DEAD_RETENTION
        };
        let own = self.own;
        let old = self
            .records
            .iter()
            .filter(|(key, record)| *key != own && is_old(record));
        let old: Vec<member_digest::MemberKey> = old.map(|(key, _)| key).collect();
        for key in old {
            let Some(record) = self.records.remove(key) else {
                continue;
            };
            self.index.remove(&record.member.router);
            self.loads.remove(&record.member.router);
            self.changes.remove(record.sequence);
        }
        for instance in self.leaving.expire(now_micros) {
            self.toggle_leaving(&instance);
        }
        let leaving = &self.leaving;
        self.changes.retain(|change| match change {
            member_digest::ChangeKey::Member(_) => true,
            member_digest::ChangeKey::Leaving(instance) => leaving.get(instance).is_some(),
        });
    }
}
