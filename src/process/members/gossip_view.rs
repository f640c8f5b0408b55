//! Queries of the rest of the process about the cluster members.

use std::time;

use crate::connection::peer_wire;
use crate::process::members::{gossip, member_rank, member_ring, member_table};
use crate::process::view;
use crate::request::key;

/// Time for which a lost router counts as possibly running behind a network partition.
const LOST_MEMBER_TIME: time::Duration = time::Duration::from_secs(5 * 60);

impl gossip::GossipNode {
    /// Whether this router is one of those that poll the table service for its availability zone.
    #[must_use]
    pub fn is_poller(&self) -> bool {
        let state = self.state.lock();
        let may_poll = |record: &&member_table::MemberRecord| {
            record.member.zone == self.zone
                && record.rank.stage <= member_rank::LifecycleStage::Ready
                && record.rank.liveness == member_rank::PeerLiveness::Alive
        };
        let zone = state.table.records().filter(may_poll);
        let zone: Vec<&str> = zone.map(|record| record.member.router.as_str()).collect();
        member_ring::is_poller(&self.router, &zone)
    }

    /// Live peer with the highest configuration number above `above`; ties are broken at random.
    #[must_use]
    pub fn newest_config_peer(&self, above: u64) -> Option<peer_wire::MemberWire> {
        let state = self.state.lock();
        let has_newer = |record: &&member_table::MemberRecord| {
            record.rank.is_live() && record.config > above && record.member.router != self.router
        };
        let newer = state.table.records().filter(has_newer);
        let newest = newer.max_by_key(|record| (record.config, fastrand::u32(..)));
        newest.map(|record| with_load(&state.table, record))
    }

    /// Position of this router in name order among the ready routers of its availability zone,
    /// that is, the number of ready routers there whose names sort before its own.
    #[must_use]
    pub fn ready_index_in_zone(&self) -> usize {
        let state = self.state.lock();
        let is_before = |record: &&member_table::MemberRecord| {
            let member = &record.member;
            record.rank.is_serving() && member.zone == self.zone && member.router < self.router
        };
        state.table.records().filter(is_before).count()
    }

    /// Ready routers that satisfy `keeps`, without their loads.
    pub fn ready_members_matching(
        &self,
        keeps: impl Fn(&peer_wire::MemberWire) -> bool,
    ) -> Vec<peer_wire::MemberWire> {
        let state = self.state.lock();
        let ready = state.table.records();
        let ready = ready.filter(|record| record.rank.is_serving() && keeps(&record.member));
        ready.map(|record| record.member.clone()).collect()
    }

    /// Newest entries of all routers with their loads, dead and left ones included.
    #[must_use]
    pub fn members(&self) -> Vec<peer_wire::MemberWire> {
        let state = self.state.lock();
        let records = state.table.records();
        records
            .map(|record| with_load(&state.table, record))
            .collect()
    }
}

impl view::MemberView for gossip::GossipNode {
    fn home(&self) -> key::HomeName {
        let state = self.state.lock();
        let own = state.table.own();
        key::HomeName {
            router: own.router.clone(),
            incarnation: own.incarnation,
        }
    }

    fn is_own_home(&self, home: &key::HomeName) -> bool {
        home.router == self.router && self.incarnations.lock().contains(&home.incarnation)
    }

    fn find(&self, router: &str) -> Option<peer_wire::MemberWire> {
        let state = self.state.lock();
        let record = state.table.get(router)?;
        record
            .rank
            .is_live()
            .then(|| with_load(&state.table, record))
    }

    fn ready_members(&self) -> Vec<peer_wire::MemberWire> {
        let is_open = self.pause_gate.is_open();
        let state = self.state.lock();
        let is_ready = |record: &&member_table::MemberRecord| {
            record.rank.is_serving() && (is_open || record.member.router != self.router)
        };
        let ready = state.table.records().filter(is_ready);
        ready
            .map(|record| with_load(&state.table, record))
            .collect()
    }

    fn sharing_routers(&self, now: time::Instant) -> usize {
        let state = self.state.lock();
        state.table.live_count() + lost_count(&state.table, now)
    }
}

/// Number of routers that were lost recently and may run behind a network partition.
fn lost_count(table: &member_table::MemberTable, now: time::Instant) -> usize {
    let is_recently_lost = |record: &&member_table::MemberRecord| {
        record.rank.liveness == member_rank::PeerLiveness::Dead
            && record.rank.stage < member_rank::LifecycleStage::Left
            && now.duration_since(record.changed_at) < LOST_MEMBER_TIME
    };
    table.records().filter(is_recently_lost).count()
}

impl view::OwnerView for gossip::GossipNode {
    fn owner_of(&self, seed: u64) -> Option<view::SharedOwner> {
        let now = time::Instant::now();
        let state = self.state.lock();
        let serving = state.table.records();
        let serving = serving.filter(|record| record.rank.is_serving());
        let owner = serving.max_by_key(|record| {
            let router = record.member.router.as_str();
            (member_ring::owner_score(router, seed), router)
        })?;
        let live = state.table.live_count();
        let lost = lost_count(&state.table, now);
        Some(view::SharedOwner {
            peer_address: owner.member.peer_address.clone(),
            is_own: owner.member.router == self.router,
            reachable_share: share(live, live + lost),
        })
    }
}

/// `part` divided by `whole`; 1 if there is no whole.
fn share(part: usize, whole: usize) -> f64 {
    let number = |count: usize| u32::try_from(count).map_or(f64::from(u32::MAX), f64::from);
    if whole == 0 {
        return 1.0;
    }
    number(part) / number(whole)
}

fn with_load(
    table: &member_table::MemberTable,
    record: &member_table::MemberRecord,
) -> peer_wire::MemberWire {
    let mut member = record.member.clone();
    member.config = record.config;
    let demand = table.loads().demand(&member.router, member.incarnation);
    member.demand = demand.cloned().collect();
    member
}

impl view::LeavingView for gossip::GossipNode {
    fn is_leaving(&self, endpoint: &str, incarnation: u64) -> bool {
        Self::is_leaving(self, endpoint, incarnation)
    }

    fn mark_leaving(&self, endpoint: &str, incarnation: u64) {
        Self::mark_leaving(self, endpoint, incarnation);
    }
}
