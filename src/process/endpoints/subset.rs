//! The endpoints of a service that one router uses, so that not every router connects to every one.
//!
//! Rendezvous hashing: a change of one endpoint changes the subset of a router by one at most, and
//! needs no agreement between routers.

use std::cmp;

use xxhash_rust::xxh3;

/// Endpoints of one service that a router uses at most.
pub const SUBSET_SIZE: usize = 64;

/// Part of the subset that comes from the router's own availability zone, if it has as many.
const NEAR_PERCENT: usize = 75;

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
    let mut near = ranked(router, endpoints, true);
    let mut far = ranked(router, endpoints, false);
    let near_part = near.len().min(size * NEAR_PERCENT / 100);
    let far_part = far.len().min(size - near_part);
    near.truncate(size - far_part);
    far.truncate(far_part);
    near.append(&mut far);
    near.sort_unstable();
    near
}

/// Indices of the near or far endpoints, those with the largest weight for `router` first.
fn ranked(router: &str, endpoints: &[SubsetEndpoint<'_>], is_same_zone: bool) -> Vec<usize> {
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
