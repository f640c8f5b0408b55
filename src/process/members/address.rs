//! Selection of the router addresses that callers receive.

use crate::connection::peer_wire;
use crate::request::key;

/// Maximum number of addresses in one answer.
pub const MAX_ADDRESSES: usize = 4;

/// Response body of `GET /v1/addresses`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct AddressAnswer {
    /// Addresses, most preferred first.
    pub addresses: Vec<AddressEntry>,
    /// How long the caller may cache the answer, in milliseconds.
    pub keep_ms: u64,
}

/// One router that a caller may connect to.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct AddressEntry {
    /// Host and port.
    pub address: String,
    /// Home name to use in the keys of requests sent to this router.
    pub home: String,
    /// Availability zone of the router.
    pub zone: String,
}

/// Orders ready routers by preference for a caller and returns at most [`MAX_ADDRESSES`].
///
/// The first is the less loaded of two random routers, taken from `zone` if that has any. One
/// router of each other availability zone follows, then the remaining routers.
#[must_use]
pub fn preferred(
    mut ready: Vec<peer_wire::MemberWire>,
    zone: Option<&str>,
    random: &mut fastrand::Rng,
) -> Vec<AddressEntry> {
    random.shuffle(&mut ready);
    let is_near = |member: &peer_wire::MemberWire| zone == Some(member.zone.as_str());
    ready.sort_by_key(|member| !is_near(member));
    if ready.len() > 1
        && is_near(&ready[0]) == is_near(&ready[1])
        && load(&ready[1]) < load(&ready[0])
    {
        ready.swap(0, 1);
    }
    spread_zones(&mut ready);
    ready.truncate(MAX_ADDRESSES);
    ready.into_iter().map(AddressEntry::from).collect()
}

/// Reorders members so that the first member of each availability zone precedes the rest.
///
/// The first member stays in place.
fn spread_zones(members: &mut Vec<peer_wire::MemberWire>) {
    let mut rest = std::mem::take(members);
    while !rest.is_empty() {
        let new_zone = rest
            .iter()
            .position(|member| members.iter().all(|named| named.zone != member.zone));
        members.push(rest.remove(new_zone.unwrap_or(0)));
    }
}

fn load(member: &peer_wire::MemberWire) -> u32 {
    member.demand.iter().map(|demand| demand.requests).sum()
}

impl From<peer_wire::MemberWire> for AddressEntry {
    fn from(member: peer_wire::MemberWire) -> Self {
        let home = key::HomeName {
            router: member.router,
            incarnation: member.incarnation,
        };
        Self {
            address: member.caller_address,
            home: home.to_string(),
            zone: member.zone,
        }
    }
}
