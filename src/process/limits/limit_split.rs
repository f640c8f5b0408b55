//! Splits a workspace's limit among the live routers by demand.
//!
//! Each router computes its own share from the demand that gossip distributes. Routers with the
//! same data never exceed the limit together. While their data differs, each router stays within
//! [`largest_share`], so the sum stays within `routers * largest_share`; the data differs no longer
//! than gossip takes to converge.

use xxhash_rust::xxh3;

/// The limit divided by this is reserved and split evenly, so that an idle router can admit a
/// request immediately.
const RESERVE_DIVISOR: u32 = 10;

/// Demand of one router for one workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouterDemand<'a> {
    /// Router name.
    pub router: &'a str,
    /// Running, queued and recently refused requests at the router.
    pub requests: u32,
}

/// Share of the router `own` in the `limit` of `workspace`.
///
/// Router names must be unique; an entry of `others` with the name of `own` is ignored. Makes one
/// pass over `others`.
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

/// Largest share that one of `routers` routers can get, whatever the demand.
#[must_use]
pub fn largest_share(limit: u32, routers: u32) -> u32 {
    if routers == 0 || limit < routers {
        return limit.min(1);
    }
    limit - (routers - 1) * reserve(limit, routers)
}

/// Sums over all routers, and over the routers whose names sort before the own name.
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

/// Share when the limit is below the number of routers: one request each for the highest-ranked
/// routers, none for the others.
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

/// Sort key that puts routers with demand first, then orders by rendezvous weight and name.
fn rank_key(entry: RouterDemand<'_>, seed: u64) -> (bool, u64, &str) {
    let weight = xxh3::xxh3_64_with_seed(entry.router.as_bytes(), seed);
    (entry.requests > 0, weight, entry.router)
}

/// Reserve plus a part of the remainder in proportion to demand.
///
/// Each part is the difference of two scaled prefix sums of demand, in order of router names. So
/// the parts add up to the remainder, and each is within one of its exact value.
fn proportional_share(limit: u32, own: RouterDemand<'_>, sums: &DemandSums) -> u32 {
    let routers = u32::try_from(sums.routers).unwrap_or(u32::MAX);
    let reserve = reserve(limit, routers);
    let remainder = u128::from(limit - reserve * routers);
    // Without any demand, the remainder is split evenly.
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
