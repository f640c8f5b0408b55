//! The routers: who they are, how they hear of one another, and which of them callers are told.

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
