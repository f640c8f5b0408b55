//! First rounds of a router, over a link in memory.

use std::collections;
use std::sync;
use std::time;

use async_std::task;
use futures::future;
use kumquatpulley::connection::{peer, peer_wire};
use kumquatpulley::process::members::gossip;
use kumquatpulley::process::telemetry::timeline;
use kumquatpulley::process::view::MemberView as _;

/// Routers by their peer address; others do not answer.
#[derive(Debug, Default)]
struct MemoryLink {
    nodes: parking_lot::Mutex<collections::HashMap<String, sync::Arc<gossip::GossipNode>>>,
    asked: parking_lot::Mutex<Vec<String>>,
}

impl peer::PeerLink for MemoryLink {
    fn ask<'a>(
        &'a self,
        address: &'a str,
        query: peer_wire::QueryBody,
        _limit: time::Duration,
    ) -> future::BoxFuture<'a, peer::Result<peer_wire::ReplyBody>> {
        Box::pin(async move {
            self.asked.lock().push(address.to_owned());
            let node = self.nodes.lock().get(address).cloned();
            let silent = || peer::PeerError::NoReply("nobody listens".to_owned());
            let reply = node.ok_or_else(silent)?.handle_query(&query).await;
            reply.ok_or_else(silent)
        })
    }
}

impl MemoryLink {
    fn start(self: &sync::Arc<Self>, router: &str, seed: &str) -> sync::Arc<gossip::GossipNode> {
        let identity = gossip::MemberIdentity {
            router: router.to_owned(),
            incarnation: 1,
            zone: "zone-1".to_owned(),
            caller_address: router.to_owned(),
            peer_address: router.to_owned(),
            admin_address: router.to_owned(),
        };
        let ring = sync::Arc::new(timeline::EventRing::new(router));
        let seeds = sync::Arc::new(vec![seed.to_owned()]);
        let settings = gossip::GossipSettings::default();
        let link: sync::Arc<dyn peer::PeerLink> = sync::Arc::clone(self) as _;
        let node = sync::Arc::new(gossip::GossipNode::new(
            identity, settings, seeds, link, ring,
        ));
        let mut nodes = self.nodes.lock();
        nodes.insert(router.to_owned(), sync::Arc::clone(&node));
        node
    }
}

/// Guards against groups that stay apart: a router that another one found first has a peer, and asked
/// seeds in healing rounds only.
#[test]
fn a_router_that_was_found_first_asks_a_seed() {
    let link = sync::Arc::new(MemoryLink::default());
    let _seed = link.start("seed", "seed");
    let found = link.start("found", "seed");
    let finder = link.start("finder", "found");
    task::block_on(async {
        finder.run_round().await;
        assert!(found.find("finder").is_some());
        for _round in 0..2 {
            found.run_round().await;
        }
    });
    assert!(found.find("seed").is_some());
}

/// Guards against seeds that are away and take the rounds of those that are there.
#[test]
fn seeds_that_do_not_answer_leave_every_second_round_to_peers() {
    let link = sync::Arc::new(MemoryLink::default());
    let found = link.start("found", "seed");
    let finder = link.start("finder", "found");
    task::block_on(finder.run_round());
    link.asked.lock().clear();
    task::block_on(async {
        for _round in 0..4 {
            found.run_round().await;
        }
    });
    let asked = link.asked.lock();
    let rounds = |address: &str| asked.iter().filter(|asked| **asked == address).count();
    assert_eq!(rounds("seed"), 2);
    assert!(rounds("finder") >= 2, "{asked:?}");
}
