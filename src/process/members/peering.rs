//! Constructs the components that a router uses to communicate with other routers.

use std::sync;

use crate::connection::{peer, peer_client};
use crate::process::members::{gossip, seed};
use crate::process::telemetry::timeline;
use crate::process::view;

/// Components of a router that concern its peers.
#[derive(Clone, Debug)]
pub struct PeerComponents {
    /// Ring buffer of timeline events.
    pub ring: sync::Arc<timeline::EventRing>,
    /// Client for requests to peers.
    pub link: sync::Arc<dyn peer::PeerLink>,
    /// Peer addresses to contact when no member answers.
    pub seeds: sync::Arc<seed::SeedList>,
    /// Gossip node of this router.
    pub gossip: sync::Arc<gossip::GossipNode>,
    /// View of the cluster members, backed by `gossip`.
    pub members: sync::Arc<dyn view::MemberView>,
}

impl PeerComponents {
    /// Creates the components of the router `identity` with `seeds` as its configured seed
    /// addresses.
    #[must_use]
    pub fn new(identity: gossip::MemberIdentity, seeds: Vec<String>) -> Self {
        let ring = sync::Arc::new(timeline::EventRing::new(identity.router.clone()));
        let link = sync::Arc::new(peer_client::PeerClient::new(sync::Arc::clone(&ring)));
        Self::with_link(identity, seeds, ring, link)
    }

    /// Like [`Self::new`], but reaches peers through `link` and records events in `ring`.
    #[must_use]
    pub fn with_link(
        identity: gossip::MemberIdentity,
        seeds: Vec<String>,
        ring: sync::Arc<timeline::EventRing>,
        link: sync::Arc<dyn peer::PeerLink>,
    ) -> Self {
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
