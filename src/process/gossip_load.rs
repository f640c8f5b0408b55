//! The loads that a gossip node tells and reads.

use std::time;

use crate::connection::peer_wire;
use crate::process::{gossip, gossip_exchange, member_load, membership};

/// Times the load interval after which an unchanged load is told again, for routers that joined.
const LOAD_REFRESH: u32 = 10;

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
        let demand_at = |record: &membership::MemberRecord| {
            let fact = &record.fact;
            let load = state.table.loads().get(&fact.router, fact.incarnation)?;
            let mut items = load.demand.iter();
            let item = items.find(|item| item.workspace == workspace)?;
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

    /// Tells the own load when it has changed, or once in a while for routers that joined.
    pub(super) fn tell_load(&self) {
        let now = time::Instant::now();
        let mut draft = self.draft.lock();
        let mut state = self.state.lock();
        let members = u32::try_from(state.table.live_count()).unwrap_or(u32::MAX);
        let interval = LOAD_INTERVAL_PER_MEMBER.saturating_mul(members);
        let interval = interval.max(self.settings.load_interval);
        let age = draft.told.map(|told| now.duration_since(told));
        if age.is_some_and(|age| age < interval) {
            return;
        }
        let own = state.table.own();
        let (router, incarnation) = (own.router.clone(), own.incarnation);
        let told = state.table.loads().get(&router, incarnation);
        let is_same =
            told.is_some_and(|told| told.demand == draft.demand && told.config == state.version);
        if is_same && age.is_some_and(|age| age < interval * LOAD_REFRESH) {
            return;
        }
        draft.told = Some(now);
        draft.sequence += 1;
        let load = peer_wire::LoadWire {
            router,
            incarnation,
            sequence: draft.sequence,
            config: state.version,
            demand: draft.demand.clone(),
        };
        let forwards = gossip_exchange::load_forwards(state.table.live_count());
        state.table.merge_load(load, forwards);
    }
}
