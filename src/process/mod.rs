//! What lives as long as the process.

pub mod gossip;
pub mod gossip_exchange;
pub mod gossip_load;
pub mod gossip_round;
pub mod gossip_target;
pub mod gossip_view;
pub mod leaving;
pub mod member_delta;
pub mod member_digest;
pub mod member_expiry;
pub mod member_load;
pub mod member_rank;
pub mod member_ring;
pub mod membership;
pub mod pause;
pub mod settings;
pub mod timeline;
pub mod view;
