//! Deterministic choice of gossip peers and of pollers; routers with the same member list agree.

use xxhash_rust::xxh3;

/// Number of routers in an availability zone that poll the table service.
pub const POLLERS_PER_ZONE: usize = 2;

const POLLER_SEED: u64 = 1;

/// Gossip peers of `own`: its successors at distances 1, 2, 4, … on the ring of hashed names, as
/// in the finger table of Chord.
///
/// Each router is then a finger of as many others, so about log2(n) of n routers probe it, and an
/// entry reaches all routers in about log2(n) hops. `own` itself is not included.
#[must_use]
pub fn fingers(own: &str, routers: &[&str]) -> Vec<String> {
    let own_hash = xxh3::xxh3_64(own.as_bytes());
    let others = routers.iter().filter(|router| **router != own);
    let mut others: Vec<(u64, &str)> = others
        .map(|router| (xxh3::xxh3_64(router.as_bytes()), *router))
        .collect();
    others.sort_unstable();
    let start = others.partition_point(|(hash, _)| *hash <= own_hash);
    let distances = (0..usize::BITS).map(|power| 1 << power);
    let distances = distances.take_while(|distance| *distance <= others.len());
    distances
        .map(|distance: usize| others[(start + distance - 1) % others.len()].1.to_owned())
        .collect()
}

/// Whether `own` is one of the pollers of its availability zone, by rendezvous hashing.
#[must_use]
pub fn is_poller(own: &str, zone_routers: &[&str]) -> bool {
    let own_score = poller_score(own);
    let ahead = zone_routers
        .iter()
        .filter(|router| **router != own && poller_score(router) > own_score);
    ahead.count() < POLLERS_PER_ZONE
}

/// Rendezvous weight of a router; the router with the greatest one owns what `seed` stands for.
#[must_use]
pub fn owner_score(router: &str, seed: u64) -> u64 {
    xxh3::xxh3_64_with_seed(router.as_bytes(), seed)
}

fn poller_score(router: &str) -> u64 {
    owner_score(router, POLLER_SEED)
}
