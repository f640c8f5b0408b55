//! The loads that a gossip node tells and reads.

use std::time;

use crate::connection::peer_wire;
use crate::process::members::{gossip, gossip_exchange, member_load, member_table};

/// Part of the load interval that each live member adds, so that all loads together stay bounded.
const LOAD_INTERVAL_PER_MEMBER: time::Duration = time::Duration::from_millis(100);

#[derive(Debug, Default)]
pub(super) struct LoadDraft {
    pub(super) demand: Vec<peer_wire::DemandWire>,
    pub(super) sequence: u64,
    pub(super) told: Option<time::Instant>,
}

impl gossip::GossipNode {
    /// Sets the demand that other routers learn of, by workspace.
    pub fn set_demand(&self, mut demand: Vec<peer_wire::DemandWire>) {
        for item in &mut demand {
            item.requests = member_load::quantise(item.requests);
        }
        demand.retain(|item| item.requests > 0);
        demand.sort_by(|left, right| left.workspace.cmp(&right.workspace));
        self.draft.lock().demand = demand;
    }

    /// Demand of a workspace at each live router that tells any, this one included.
    ///
    /// Walks all members: ask once a second or so, not once a request.
    #[must_use]
    pub fn demand(&self, workspace: &str) -> Vec<(String, u32)> {
        let state = self.state.lock();
        let live = state.table.records().filter(|record| record.rank.is_live());
        let demand_at = |record: &member_table::MemberRecord| {
            let fact = &record.fact;
            let mut demand = state.table.loads().demand(&fact.router, fact.incarnation);
            let item = demand.find(|item| item.workspace == workspace)?;
            Some((fact.router.clone(), item.requests))
        };
        live.filter_map(demand_at).collect()
    }

    /// Demand of a workspace over all live routers.
    #[must_use]
    pub fn total_demand(&self, workspace: &str) -> u64 {
        let demand = self.demand(workspace);
        demand
            .iter()
            .map(|(_, requests)| u64::from(*requests))
            .sum()
    }

    /// Tells the parts of the own load that have changed, when the last ones are old enough.
    pub(super) fn tell_load(&self) {
        let now = time::Instant::now();
        let mut draft = self.draft.lock();
        let mut state = self.state.lock();
        let members = u32::try_from(state.table.live_count()).unwrap_or(u32::MAX);
        let interval = LOAD_INTERVAL_PER_MEMBER.saturating_mul(members);
        let interval = interval.max(self.settings.load_interval);
        if draft
            .told
            .is_some_and(|told| now.duration_since(told) < interval)
        {
            return;
        }
        draft.told = Some(now);
        let divided = member_load::divide(&draft.demand);
        let parts = u16::try_from(divided.len()).unwrap_or(u16::MAX);
        for (part, demand) in (0..parts).zip(divided) {
            tell_part(&mut state, &mut draft.sequence, (part, parts), demand);
        }
    }
}

fn tell_part(
    state: &mut gossip_exchange::ExchangeState,
    sequence: &mut u64,
    (part, parts): (u16, u16),
    demand: Vec<peer_wire::DemandWire>,
) {
    let own = state.table.own();
    let (router, incarnation, config) = (own.router.clone(), own.incarnation, state.config);
    let loads = state.table.loads();
    let is_told = match loads.part(&router, incarnation, (part, parts)) {
        // The first part alone tells the configuration number.
        Some(told) => told.demand == demand && (part > 0 || told.config == config),
        None => demand.is_empty() && part > 0,
    };
    if is_told {
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
