//! Publishing of this router's load and queries for the load of all routers.

use std::time;

use crate::connection::peer_wire;
use crate::process::members::{gossip, gossip_exchange, member_load, member_table};

/// Publishing interval per live member; the interval grows with the cluster so that the total load
/// traffic stays bounded.
const LOAD_INTERVAL_PER_MEMBER: time::Duration = time::Duration::from_millis(100);

/// Load of this router that is waiting for the next publication.
#[derive(Debug, Default)]
pub(super) struct PendingLoad {
    pub(super) demand: Vec<peer_wire::DemandWire>,
    pub(super) sequence: u64,
    pub(super) last_published: Option<time::Instant>,
}

impl gossip::GossipNode {
    /// Sets the demand by workspace that is published to other routers, in quantised numbers.
    pub fn set_demand(&self, mut demand: Vec<peer_wire::DemandWire>) {
        for item in &mut demand {
            item.requests = member_load::quantise(item.requests);
        }
        demand.retain(|item| item.requests > 0);
        demand.sort_by(|left, right| left.workspace.cmp(&right.workspace));
        self.pending_load.lock().demand = demand;
    }

    /// Demand of a workspace at each live router that reports any, this one included.
    ///
    /// Iterates over all members, so call it about once a second rather than for each request.
    #[must_use]
    pub fn demand(&self, workspace: &str) -> Vec<(String, u32)> {
        let state = self.state.lock();
        let live = state.table.records().filter(|record| record.rank.is_live());
        let demand_at = |record: &member_table::MemberRecord| {
            let member = &record.member;
            let mut demand = state
                .table
                .loads()
                .demand(&member.router, member.incarnation);
            let item = demand.find(|item| item.workspace == workspace)?;
            Some((member.router.clone(), item.requests))
        };
        live.filter_map(demand_at).collect()
    }

    /// Sum of the demand of a workspace over all live routers.
    #[must_use]
    pub fn total_demand(&self, workspace: &str) -> u64 {
        let demand = self.demand(workspace);
        demand
            .iter()
            .map(|(_, requests)| u64::from(*requests))
            .sum()
    }

    /// Publishes the changed parts of the own load unless the last publication is too recent.
    pub(super) fn publish_load(&self) {
        let now = time::Instant::now();
        let mut pending = self.pending_load.lock();
        let mut state = self.state.lock();
        let members = u32::try_from(state.table.live_count()).unwrap_or(u32::MAX);
        let interval = LOAD_INTERVAL_PER_MEMBER.saturating_mul(members);
        let interval = interval.max(self.settings.load_interval);
        if pending
            .last_published
            .is_some_and(|published| now.duration_since(published) < interval)
        {
            return;
        }
        pending.last_published = Some(now);
        let partitions = member_load::partition_demand(&pending.demand);
        let parts = u16::try_from(partitions.len()).unwrap_or(u16::MAX);
        for (part, demand) in (0..parts).zip(partitions) {
            publish_part(&mut state, &mut pending.sequence, (part, parts), demand);
        }
    }
}

fn publish_part(
    state: &mut gossip_exchange::ExchangeState,
    sequence: &mut u64,
    (part, parts): (u16, u16),
    demand: Vec<peer_wire::DemandWire>,
) {
    let own = state.table.own();
    let (router, incarnation, config) = (own.router.clone(), own.incarnation, state.config);
    let loads = state.table.loads();
    let is_published = match loads.part(&router, incarnation, (part, parts)) {
        // Only the first part reports the configuration number.
        Some(load) => load.demand == demand && (part > 0 || load.config == config),
        None => demand.is_empty() && part > 0,
    };
    if is_published {
        return;
    }
    *sequence += 1;
    let load = peer_wire::LoadWire {
        incarnation,
        sequence: *sequence,
        part,
        parts,
        config,
        demand,
        router: router.clone(),
    };
    state.table.merge_load(load, &router);
}
