//! The endpoints of a service that one router uses, so that not every router connects to every one.
//!
//! Rendezvous hashing: a change of one endpoint changes the subset of a router by one at most, and
//! needs no agreement between routers.

use std::cmp;

use xxhash_rust::xxh3;

/// Endpoints of one service that a router uses at most.
pub const SUBSET_SIZE: usize = 64;

/// Part of the subset that comes from the router's own availability zone, if it has as many.
const SAME_ZONE_PERCENT: usize = 75;

/// What the choice needs to know of one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubsetEndpoint<'a> {
    /// Endpoint name, unique.
    pub name: &'a str,
    /// Whether it is in the router's own availability zone.
    pub is_same_zone: bool,
}

/// Indices of the at most `size` endpoints that `router` uses, in ascending order.
#[must_use]
pub fn choose_subset(router: &str, endpoints: &[SubsetEndpoint<'_>], size: usize) -> Vec<usize> {
    if endpoints.len() <= size {
        return (0..endpoints.len()).collect();
    }
    let mut same_zone = rank_by_weight(router, endpoints, true);
    let mut other_zones = rank_by_weight(router, endpoints, false);
    let same_zone_count = same_zone.len().min(size * SAME_ZONE_PERCENT / 100);
    let other_zone_count = other_zones.len().min(size - same_zone_count);
    same_zone.truncate(size - other_zone_count);
    other_zones.truncate(other_zone_count);
    same_zone.append(&mut other_zones);
    same_zone.sort_unstable();
    same_zone
}

/// Indices of the same_zone or other_zones endpoints, those with the largest weight for `router` first.
fn rank_by_weight(
    router: &str,
    endpoints: &[SubsetEndpoint<'_>],
    is_same_zone: bool,
) -> Vec<usize> {
    let seed = xxh3::xxh3_64(router.as_bytes());
    let mut weights: Vec<(u64, usize)> = endpoints
        .iter()
        .enumerate()
        .filter(|(_index, endpoint)| endpoint.is_same_zone == is_same_zone)
        .map(|(index, endpoint)| {
            let weight = xxh3::xxh3_64_with_seed(endpoint.name.as_bytes(), seed);
            (weight, index)
        })
        .collect();
    weights.sort_unstable_by_key(|(weight, index)| (cmp::Reverse(*weight), endpoints[*index].name));
    weights.into_iter().map(|(_weight, index)| index).collect()
}
