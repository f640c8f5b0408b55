//! Membership of the router cluster.
//!
//! Routers share their state with a SWIM-style gossip protocol. A *member entry*
//! ([`peer_wire::MemberWire`]) describes one router, and a *leaving record*
//! ([`peer_wire::LeavingWire`]) an endpoint that takes no new work; both count as entries.
//! Periodic rounds exchange them with a few peers and detect failed routers. Loads travel in the
//! same messages but are numbered separately. [`address`] selects the router addresses that
//! callers receive.
//!
//! [`peer_wire::MemberWire`]: crate::connection::peer_wire::MemberWire
//! [`peer_wire::LeavingWire`]: crate::connection::peer_wire::LeavingWire

pub mod address;
pub mod gossip;
pub mod gossip_exchange;
pub mod gossip_load;
pub mod gossip_round;
pub mod gossip_target;
pub mod gossip_view;
pub mod member_delta;
pub mod member_digest;
pub mod member_expiry;
pub mod member_load;
pub mod member_rank;
pub mod member_ring;
pub mod member_table;
pub mod peering;
pub mod seed;
