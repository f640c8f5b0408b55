//! What a router needs to know of and speak with the other ones, joined together.

use std::sync;

use crate::connection::{peer, peer_client};
use crate::process::members::{gossip, seed};
use crate::process::telemetry::timeline;
use crate::process::view;

/// The parts of a router that concern other routers.
#[derive(Clone, Debug)]
pub struct PeerComponents {
    /// Events for the time line.
    pub ring: sync::Arc<timeline::EventRing>,
    /// Links to peers.
    pub link: sync::Arc<dyn peer::PeerLink>,
    /// Peer addresses to try.
    pub seeds: sync::Arc<seed::SeedList>,
    /// Membership.
    pub gossip: sync::Arc<gossip::GossipNode>,
    /// The routers, as the membership knows them.
    pub members: sync::Arc<dyn view::MemberView>,
}

impl PeerComponents {
    /// The parts of the router `identity`, which tries the peer addresses `seeds` first.
    #[must_use]
    pub fn new(identity: gossip::MemberIdentity, seeds: Vec<String>) -> Self {
        let ring = sync::Arc::new(timeline::EventRing::new(identity.router.clone()));
        let link: sync::Arc<dyn peer::PeerLink> =
            sync::Arc::new(peer_client::PeerClient::new(sync::Arc::clone(&ring)));
        let seeds = sync::Arc::new(seed::SeedList::new(seeds));
        let gossip = sync::Arc::new(gossip::GossipNode::new(
            identity,
            gossip::GossipSettings::default(),
            sync::Arc::clone(&seeds) as _,
            sync::Arc::clone(&link),
            sync::Arc::clone(&ring),
        ));
        Self {
            ring,
            link,
            seeds,
            members: sync::Arc::clone(&gossip) as _,
            gossip,
        }
    }
}
