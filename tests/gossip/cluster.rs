//! Cluster of gossip nodes in one process, with faults on the links between them.

use std::collections;
use std::net as std_net;
use std::process;
use std::sync;
use std::sync::atomic;
use std::time;

use async_std::{net, task};
use futures::future;
use kumquatpulley::connection::{peer, peer_client, peer_server, peer_wire};
use kumquatpulley::process::members::{gossip, member_rank};
use kumquatpulley::process::telemetry::timeline;
use kumquatpulley::process::view::MemberView as _;

/// Availability zones that the routers are spread over.
pub const ZONES: usize = 4;
/// Time within which all routers must agree on the members.
pub const CONVERGENCE_LIMIT: time::Duration = time::Duration::from_secs(8);
/// Time within which a failed router must be declared dead.
pub const DETECTION_LIMIT: time::Duration = time::Duration::from_secs(3);
/// Incarnations of started routers count up from here.
pub const BASE_INCARNATION: u64 = 1_000_000;

/// Clusters of this process so far.
static CLUSTERS: atomic::AtomicU32 = atomic::AtomicU32::new(0);

/// Directed links, as pairs of source and destination address, whose packets are dropped.
#[derive(Debug, Default)]
pub struct BlockedLinks(parking_lot::Mutex<collections::HashSet<(String, String)>>);

impl BlockedLinks {
    pub fn block(&self, from: &str, to: &str) {
        self.0.lock().insert((from.to_owned(), to.to_owned()));
    }

    pub fn heal(&self) {
        self.0.lock().clear();
    }

    fn is_blocked(&self, from: &str, to: &str) -> bool {
        self.0.lock().contains(&(from.to_owned(), to.to_owned()))
    }
}

/// Peer client that times out on queries and replies over blocked links.
#[derive(Debug)]
struct FaultyLink {
    own: String,
    blocked: sync::Arc<BlockedLinks>,
    client: peer_client::PeerClient,
}

impl peer::PeerLink for FaultyLink {
    fn ask<'a>(
        &'a self,
        address: &'a str,
        query: peer_wire::QueryBody,
        limit: time::Duration,
    ) -> future::BoxFuture<'a, peer::Result<peer_wire::ReplyBody>> {
        Box::pin(async move {
            let silent = || peer::PeerError::NoReply("link is blocked".to_owned());
            if self.blocked.is_blocked(&self.own, address) {
                task::sleep(limit).await;
                return Err(silent());
            }
            let reply = self.client.ask(address, query, limit).await;
            if self.blocked.is_blocked(address, &self.own) {
                task::sleep(limit).await;
                return Err(silent());
            }
            reply
        })
    }
}

/// Peer handler that delays all answers while it is paused.
#[derive(Debug)]
struct PausableHandler {
    node: sync::Arc<gossip::GossipNode>,
    is_paused: atomic::AtomicBool,
}

impl peer::PeerHandler for PausableHandler {
    fn handle(&self, query: peer_wire::QueryBody) -> future::BoxFuture<'_, peer_wire::ReplyBody> {
        Box::pin(async move {
            while self.is_paused.load(atomic::Ordering::Relaxed) {
                task::sleep(time::Duration::from_millis(10)).await;
            }
            let reply = self.node.handle_query(&query).await;
            reply.unwrap_or_else(|| {
                peer_wire::ReplyBody::Refused("query is not supported in this test".to_owned())
            })
        })
    }
}

/// Router under test; stops when dropped.
pub struct TestRouter {
    pub node: sync::Arc<gossip::GossipNode>,
    handler: sync::Arc<PausableHandler>,
    pub address: String,
    rounds: Option<stop_token::StopSource>,
    server: Option<stop_token::StopSource>,
}

impl TestRouter {
    fn start_rounds(&mut self) {
        let stop = stop_token::StopSource::new();
        task::spawn(sync::Arc::clone(&self.node).run(stop.token()));
        self.rounds = Some(stop);
    }

    /// Stops answering and starting exchanges while the listener stays open, like a stopped
    /// process on a running VM.
    pub fn pause(&mut self) {
        self.handler
            .is_paused
            .store(true, atomic::Ordering::Relaxed);
        self.rounds = None;
    }

    /// Undoes [`Self::pause`].
    pub fn resume(&mut self) {
        self.handler
            .is_paused
            .store(false, atomic::Ordering::Relaxed);
        self.start_rounds();
    }

    /// Stops the router and returns its address.
    pub fn kill(mut self) -> String {
        self.rounds = None;
        self.server = None;
        self.address.clone()
    }

    /// Rank of another router, as known to this one.
    pub fn rank_of(&self, router: &str) -> Option<member_rank::MemberRank> {
        let members = self.node.members();
        let member = members.iter().find(|member| member.router == router)?;
        member_rank::MemberRank::try_from(member.rank).ok()
    }

    pub fn has_liveness(&self, router: &str, liveness: member_rank::PeerLiveness) -> bool {
        let rank = self.rank_of(router);
        rank.is_some_and(|rank| rank.liveness == liveness)
    }

    pub fn has_ready_count(&self, count: usize) -> bool {
        self.node.ready_members().len() == count
    }
}

/// State shared by the routers of one test. The first two routers are the seeds of later ones.
pub struct TestCluster {
    pub blocked: sync::Arc<BlockedLinks>,
    /// Loopback address of this cluster alone. A router at a port that a router of another cluster had
    /// would be found by that cluster, and the two would merge.
    host: std_net::Ipv4Addr,
    seeds: Vec<String>,
    started: usize,
}

impl Default for TestCluster {
    fn default() -> Self {
        let number = CLUSTERS.fetch_add(1, atomic::Ordering::Relaxed);
        let [.., high, low] = process::id().to_be_bytes();
        let host = u8::try_from(number + 2).expect("too many clusters in one process");
        Self {
            blocked: sync::Arc::default(),
            host: std_net::Ipv4Addr::new(127, high, low, host),
            seeds: Vec::new(),
            started: 0,
        }
    }
}

impl TestCluster {
    pub async fn start(&mut self, router: &str) -> TestRouter {
        let listener = net::TcpListener::bind((self.host, 0))
            .await
            .expect("no free port");
        self.started += 1;
        let incarnation = BASE_INCARNATION + self.started as u64;
        self.start_at(router, listener, incarnation)
    }

    pub fn start_at(
        &mut self,
        router: &str,
        listener: net::TcpListener,
        incarnation: u64,
    ) -> TestRouter {
        let address = listener.local_addr().expect("no address").to_string();
        let ring = sync::Arc::new(timeline::EventRing::new(router));
        let link = sync::Arc::new(FaultyLink {
            own: address.clone(),
            blocked: sync::Arc::clone(&self.blocked),
            client: peer_client::PeerClient::new(sync::Arc::clone(&ring)),
        });
        let zone = self.started % ZONES;
        let identity = gossip::MemberIdentity {
            router: router.to_owned(),
            incarnation,
            zone: format!("zone-{zone}"),
            caller_address: address.clone(),
            peer_address: address.clone(),
            admin_address: address.clone(),
        };
        let seeds = sync::Arc::new(self.seeds.clone());
        let settings = gossip::GossipSettings::default();
        let node =
            gossip::GossipNode::new(identity, settings, seeds, link, sync::Arc::clone(&ring));
        let node = sync::Arc::new(node);
        node.set_ready();
        let handler = sync::Arc::new(PausableHandler {
            node: sync::Arc::clone(&node),
            is_paused: atomic::AtomicBool::new(false),
        });
        let stop = stop_token::StopSource::new();
        let service = sync::Arc::clone(&handler);
        task::spawn(peer_server::serve(listener, service, ring, stop.token()));
        if self.seeds.len() < 2 {
            self.seeds.push(address.clone());
        }
        let mut router = TestRouter {
            node,
            handler,
            address,
            rounds: None,
            server: Some(stop),
        };
        router.start_rounds();
        router
    }

    /// Starts `count` routers and waits until each one knows all of them as ready.
    pub async fn start_many(&mut self, count: usize) -> Vec<TestRouter> {
        let mut routers = Vec::new();
        for index in 0..count {
            routers.push(self.start(&format!("router-{index}")).await);
        }
        let is_whole = || routers.iter().all(|router| router.has_ready_count(count));
        if !wait_until(CONVERGENCE_LIMIT, is_whole).await {
            let views = routers.iter().map(|router| router.node.members());
            panic!("routers did not converge: {:#?}", views.collect::<Vec<_>>());
        }
        routers
    }
}

/// Polls the condition until it holds; returns `false` if it does not hold within `limit`.
pub async fn wait_until(limit: time::Duration, mut is_reached: impl FnMut() -> bool) -> bool {
    let deadline = time::Instant::now() + limit;
    while time::Instant::now() < deadline {
        if is_reached() {
            return true;
        }
        task::sleep(time::Duration::from_millis(20)).await;
    }
    is_reached()
}

pub fn run<F: Future<Output = ()>>(test: F) {
    task::block_on(test);
}
