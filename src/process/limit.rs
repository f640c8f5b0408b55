//! Division of a workspace's limit among the live routers by their demand.
//!
//! Every router computes all shares from the demand facts that gossip carries and keeps its own.
//! Routers with the same facts never exceed the limit together. While facts differ, each router
//! stays within [`largest_share`], so the sum stays within `routers * largest_share`; facts differ
//! for no longer than gossip takes to spread.

use xxhash_rust::xxh3;

/// Part of the limit that is divided evenly, so that a router without demand can begin at once.
const RESERVE_DIVISOR: u32 = 10;

/// Demand of one router for one workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouterDemand<'a> {
    /// Router name.
    pub router: &'a str,
    /// Requests running and waiting there.
    pub requests: u32,
}

/// Share of `own` in the `limit` of `workspace`, among itself and the `others`.
///
/// Router names occur once; an entry of `others` with the name of `own` is ignored. Takes time in
/// proportion to the number of routers.
#[must_use]
pub fn split_limit(
    limit: u32,
    workspace: &str,
    own: RouterDemand<'_>,
    others: &[RouterDemand<'_>],
) -> u32 {
    let others = || {
        others
            .iter()
            .copied()
            .filter(|other| other.router != own.router)
    };
    let count = u32::try_from(others().count() + 1).unwrap_or(u32::MAX);
    if limit < count {
        return scarce_share(limit, workspace, own, others());
    }
    ample_share(limit, workspace, own, others, count)
}

/// Largest share that any demand facts can give one of `routers` routers.
#[must_use]
pub fn largest_share(limit: u32, routers: u32) -> u32 {
    if routers == 0 || limit < routers {
        return limit.min(1);
    }
    limit - (routers - 1) * reserve(limit, routers)
}

/// One request each for as many routers as the limit allows, those with demand first.
fn scarce_share<'a>(
    limit: u32,
    workspace: &str,
    own: RouterDemand<'a>,
    others: impl Iterator<Item = RouterDemand<'a>>,
) -> u32 {
    let order = |entry: RouterDemand<'a>| (entry.requests > 0, weight(workspace, entry.router));
    let rank = others.filter(|other| order(*other) > order(own)).count();
    u32::from((rank as u64) < u64::from(limit))
}

/// The reserve, plus a part of the rest in proportion to demand.
fn ample_share<'a, I: Iterator<Item = RouterDemand<'a>>>(
    limit: u32,
    workspace: &str,
    own: RouterDemand<'a>,
    others: impl Fn() -> I,
    count: u32,
) -> u32 {
    let idle = own.requests == 0 && others().all(|other| other.requests == 0);
    // Where nobody has any demand, all shares are even.
    let demand = |entry: RouterDemand<'a>| u64::from(entry.requests) + u64::from(idle);
    let total = demand(own) + others().map(demand).sum::<u64>();
    let reserve = reserve(limit, count);
    let surplus = u64::from(limit - reserve * count);
    let whole = |entry| surplus * demand(entry) / total;
    let rest = surplus - whole(own) - others().map(whole).sum::<u64>();
    let remainder = |entry| surplus * demand(entry) % total;
    let ahead = |other: &RouterDemand<'a>| {
        if remainder(*other) != remainder(own) {
            return remainder(*other) > remainder(own);
        }
        weight(workspace, other.router) > weight(workspace, own.router)
    };
    let rank = others().filter(ahead).count() as u64;
    let share = u64::from(reserve) + whole(own) + u64::from(rank < rest);
    u32::try_from(share).unwrap_or(u32::MAX)
}

fn reserve(limit: u32, routers: u32) -> u32 {
    (limit / RESERVE_DIVISOR / routers).max(1)
}

/// Rendezvous weight; the name breaks ties.
fn weight<'a>(workspace: &str, router: &'a str) -> (u64, &'a str) {
    let seed = xxh3::xxh3_64(workspace.as_bytes());
    let hash = xxh3::xxh3_64_with_seed(router.as_bytes(), seed);
    (hash, router)
}
