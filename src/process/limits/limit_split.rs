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
/// Router names occur once; an entry of `others` with the name of `own` is ignored. Takes one pass
/// over the others.
#[must_use]
pub fn split_limit(
    limit: u32,
    workspace: &str,
    own: RouterDemand<'_>,
    others: &[RouterDemand<'_>],
) -> u32 {
    let sums = DemandSums::new(own, others);
    if u64::from(limit) < sums.routers {
        return single_slot_share(limit, workspace, own, others);
    }
    proportional_share(limit, own, &sums)
}

/// Largest share that any demand facts can give one of `routers` routers.
#[must_use]
pub fn largest_share(limit: u32, routers: u32) -> u32 {
    if routers == 0 || limit < routers {
        return limit.min(1);
    }
    limit - (routers - 1) * reserve(limit, routers)
}

/// Sums over all routers and over those whose names come before the own one.
#[derive(Clone, Copy, Debug)]
struct DemandSums {
    routers: u64,
    requests: u64,
    routers_before: u64,
    requests_before: u64,
}

impl DemandSums {
    fn new(own: RouterDemand<'_>, others: &[RouterDemand<'_>]) -> Self {
        let mut sums = Self {
            routers: 1,
            requests: u64::from(own.requests),
            routers_before: 0,
            requests_before: 0,
        };
        for other in others {
            let order = other.router.cmp(own.router);
            if order.is_eq() {
                continue;
            }
            let requests = u64::from(other.requests);
            sums.routers += 1;
            sums.requests += requests;
            sums.routers_before += u64::from(order.is_lt());
            sums.requests_before += if order.is_lt() { requests } else { 0 };
        }
        sums
    }
}

/// One request each for as many routers as the limit allows, those with demand first.
fn single_slot_share(
    limit: u32,
    workspace: &str,
    own: RouterDemand<'_>,
    others: &[RouterDemand<'_>],
) -> u32 {
    let seed = xxh3::xxh3_64(workspace.as_bytes());
    let own_key = rank_key(own, seed);
    let ranks_higher =
        |other: &&RouterDemand<'_>| other.router != own.router && rank_key(**other, seed) > own_key;
    let rank = others.iter().filter(ranks_higher).count();
    u32::from((rank as u64) < u64::from(limit))
}

/// Demand first, then rendezvous weight; the name breaks ties.
fn rank_key(entry: RouterDemand<'_>, seed: u64) -> (bool, u64, &str) {
    let weight = xxh3::xxh3_64_with_seed(entry.router.as_bytes(), seed);
    (entry.requests > 0, weight, entry.router)
}

/// The reserve, plus a part of the rest in proportion to demand.
///
/// The rest is scaled along the running sum of demand in the order of names, so that the parts add up
/// to the whole and each is within one of its exact size.
fn proportional_share(limit: u32, own: RouterDemand<'_>, sums: &DemandSums) -> u32 {
    let routers = u32::try_from(sums.routers).unwrap_or(u32::MAX);
    let reserve = reserve(limit, routers);
    let remainder = u128::from(limit - reserve * routers);
    // Where nobody has any demand, all shares are even.
    let (before, own, total) = if sums.requests == 0 {
        (sums.routers_before, 1, sums.routers)
    } else {
        (sums.requests_before, u64::from(own.requests), sums.requests)
    };
    let scaled = |sum: u64| remainder * u128::from(sum) / u128::from(total);
    let part = scaled(before + own) - scaled(before);
    reserve + u32::try_from(part).unwrap_or_default()
}

fn reserve(limit: u32, routers: u32) -> u32 {
    (limit / RESERVE_DIVISOR / routers).max(1)
}
