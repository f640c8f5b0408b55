//! Which addresses callers are told to use.

use crate::connection::peer_wire;
use crate::request::key;

/// Addresses named in one answer.
pub const MAX_ADDRESSES: usize = 4;

/// Answer to `GET /v1/addresses`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct AddressAnswer {
    /// Addresses in order of preference.
    pub addresses: Vec<AddressEntry>,
    /// Time for which the answer may be kept, in milliseconds.
    pub keep_ms: u64,
}

/// One router to connect to.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct AddressEntry {
    /// Host and port.
    pub address: String,
    /// Home name for the keys of requests sent there.
    pub home: String,
    /// Availability zone.
    pub zone: String,
}

/// Orders ready routers for a caller.
///
/// The first is the less loaded of two random ones, in `zone` when one is there; then come
/// routers of other availability zones, one of each, then the rest.
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

/// Moves members of not yet named availability zones to the front, the first member kept.
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
