//! Subsetting: each router uses a part of a service's endpoints, which limits connections.
//!
//! Uses rendezvous hashing, so adding or removing one endpoint changes a router's subset by at most
//! one, and routers need no coordination.

use std::cmp;

use xxhash_rust::xxh3;

/// Subset size in tests and benchmarks; routers use `endpoint_table::SUBSET_SIZE`.
pub const SUBSET_SIZE: usize = 64;

/// Part of the subset taken from the router's own availability zone, if it has enough endpoints.
const SAME_ZONE_PERCENT: usize = 75;

/// An endpoint to choose from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubsetEndpoint<'a> {
    /// Endpoint name, unique within the service.
    pub name: &'a str,
    /// Whether the endpoint is in the router's own availability zone.
    pub is_same_zone: bool,
}

/// Chooses at most `size` endpoints for `router` and returns their indices in ascending order.
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

/// Indices of the endpoints in the own zone or outside it, by descending weight for `router`.
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
