//! A group of routers' control parts in one process, linked over h2 on loopback.

use std::fmt::Write as _;
use std::sync;
use std::sync::atomic;
use std::time;

use async_std::{future as timer, net, task};
use futures::future;
use kumquatpulley::connection::peer::PeerLink as _;
use kumquatpulley::connection::{peer, peer_client, peer_server, peer_stream, peer_wire};
use kumquatpulley::process::members::{gossip, member_rank};
use kumquatpulley::process::telemetry::timeline;
use kumquatpulley::process::versions::config;
use kumquatpulley::process::view::MemberView as _;

const ZONES: usize = 4;
const MODELS: usize = 20;
const SEEDS: usize = 3;
const MEET_LIMIT: time::Duration = time::Duration::from_secs(60);
const SPREAD_LIMIT: time::Duration = time::Duration::from_secs(30);
const FETCH_LIMIT: time::Duration = time::Duration::from_secs(5);
const DEMAND_PERIOD: time::Duration = time::Duration::from_secs(1);
const LOOK_PERIOD: time::Duration = time::Duration::from_millis(5);
const MAX_DEMAND: u32 = 40;

#[derive(Debug)]
struct GroupRouter {
    node: sync::Arc<gossip::GossipNode>,
    client: sync::Arc<peer_client::PeerClient>,
    server_meter: sync::Arc<peer_stream::PeerMeter>,
    config: config::ConfigCell,
    workspaces: usize,
    is_silent: atomic::AtomicBool,
}

impl peer::PeerHandler for GroupRouter {
    fn handle(&self, query: peer_wire::QueryBody) -> future::BoxFuture<'_, peer_wire::ReplyBody> {
        Box::pin(async move {
            if self.is_silent.load(atomic::Ordering::Relaxed) {
                return future::pending().await;
            }
            if let peer_wire::QueryBody::NewerVersion { number } = query {
                return peer_wire::ReplyBody::NewerVersion(self.config.update_since(number));
            }
            let reply = self.node.handle_query(&query).await;
            reply.unwrap_or_else(|| peer_wire::ReplyBody::Refused("not asked here".to_owned()))
        })
    }
}

impl GroupRouter {
    fn bytes(&self) -> u64 {
        let meters = [self.client.meter(), &self.server_meter];
        let counters = meters
            .iter()
            .flat_map(|meter| [&meter.sent, &meter.received]);
        counters.map(peer_stream::PeerMeter::read).sum()
    }

    /// Takes newer versions from peers, as the daemon does.
    async fn follow(self: sync::Arc<Self>) {
        loop {
            self.node.wait_for_newer_config().await;
            let Some(peer) = self.node.newest_config_peer(self.config.number()) else {
                continue;
            };
            let number = self.config.update_base_number();
            let query = peer_wire::QueryBody::NewerVersion { number };
            let reply = self.client.ask(&peer.peer_address, query, FETCH_LIMIT);
            if let Ok(peer_wire::ReplyBody::NewerVersion(Some(version))) = reply.await {
                self.config.offer_update(&version);
                self.node.set_config(self.config.number());
            }
        }
    }

    fn draw_demand(&self) {
        let demand = (0..self.workspaces).map(|index| peer_wire::DemandWire {
            workspace: format!("workspace-{index}"),
            requests: fastrand::u32(..MAX_DEMAND),
        });
        self.node.set_demand(demand.collect());
    }
}

/// Routers that run until the group is dropped.
pub struct RouterGroup {
    routers: Vec<sync::Arc<GroupRouter>>,
    _stop: stop_token::StopSource,
    stop_last: parking_lot::Mutex<Option<stop_token::StopSource>>,
}

/// Starts routers and waits until all know all.
pub async fn start(count: usize, workspaces: usize) -> RouterGroup {
    let stop = stop_token::StopSource::new();
    let stop_last = stop_token::StopSource::new();
    let mut routers = Vec::new();
    let mut seeds = Vec::new();
    for index in 0..count {
        let is_last = index + 1 == count;
        let rounds = if is_last { &stop_last } else { &stop };
        let tokens = (stop.token(), rounds.token());
        let router = start_router(index, workspaces, &seeds, tokens).await;
        if seeds.len() < SEEDS {
            seeds.push(router.node.members()[0].peer_address.clone());
        }
        routers.push(router);
    }
    let group = RouterGroup {
        routers,
        _stop: stop,
        stop_last: parking_lot::Mutex::new(Some(stop_last)),
    };
    let is_whole = || {
        let mut routers = group.routers.iter();
        routers.all(|router| router.node.ready_members().len() == count)
    };
    assert!(reached(MEET_LIMIT, is_whole).await, "routers never met");
    group
}

async fn start_router(
    index: usize,
    workspaces: usize,
    seeds: &[String],
    (token, rounds): (stop_token::StopToken, stop_token::StopToken),
) -> sync::Arc<GroupRouter> {
    let listener = net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("no free port");
    let address = listener.local_addr().expect("no address").to_string();
    let name = format!("router-{index}");
    let ring = sync::Arc::new(timeline::EventRing::new(name.clone()));
    let client = sync::Arc::new(peer_client::PeerClient::new(sync::Arc::clone(&ring)));
    let identity = gossip::MemberIdentity {
        router: name,
        incarnation: timeline::wall_micros(),
        zone: format!("zone-{}", index % ZONES),
        caller_address: address.clone(),
        peer_address: address.clone(),
        admin_address: address,
    };
    let node = sync::Arc::new(gossip::GossipNode::new(
        identity,
        gossip::GossipSettings::default(),
        sync::Arc::new(seeds.to_vec()),
        sync::Arc::clone(&client) as _,
        sync::Arc::clone(&ring),
    ));
    node.set_ready();
    let router = sync::Arc::new(GroupRouter {
        node,
        client,
        server_meter: sync::Arc::default(),
        config: config::ConfigCell::new(),
        workspaces,
        is_silent: atomic::AtomicBool::new(false),
    });
    let service = sync::Arc::clone(&router) as _;
    let meter = sync::Arc::clone(&router.server_meter);
    let serving = peer_server::serve_metered(listener, service, ring, token.clone(), meter);
    task::spawn(serving);
    task::spawn(sync::Arc::clone(&router.node).run(rounds));
    task::spawn(stop_token::future::FutureExt::timeout_at(
        sync::Arc::clone(&router).follow(),
        token,
    ));
    router
}

impl RouterGroup {
    /// Number of routers.
    pub fn len(&self) -> u64 {
        self.routers.len() as u64
    }

    /// Bytes that all routers have sent and received.
    pub fn bytes(&self) -> u64 {
        self.routers.iter().map(|router| router.bytes()).sum()
    }

    /// Exchanges that all routers have begun.
    pub fn exchanges(&self) -> u64 {
        let counters = self.routers.iter().map(|router| router.node.counters());
        let exchanges = counters.map(|counters| peer_stream::PeerMeter::read(&counters.exchanges));
        exchanges.sum()
    }

    /// Draws a new demand for every router each second.
    pub async fn vary_demand(&self, window: time::Duration) {
        let end = time::Instant::now() + window;
        while time::Instant::now() < end {
            self.routers.iter().for_each(|router| router.draw_demand());
            task::sleep(DEMAND_PERIOD).await;
        }
    }

    /// Marks endpoints as leaving and waits until all routers know.
    pub async fn mark_leaving(&self, count: usize) {
        for index in 0..count {
            self.routers[0]
                .node
                .mark_leaving(&format!("runner-{index}"), 1);
        }
        let last = format!("runner-{}", count.saturating_sub(1));
        let knows =
            |router: &sync::Arc<GroupRouter>| count == 0 || router.node.is_leaving(&last, 1);
        let is_known = || self.routers.iter().all(knows);
        assert!(
            reached(MEET_LIMIT, is_known).await,
            "leaving endpoints were lost"
        );
    }

    /// Puts a version in force at the first router; gives the time until it is everywhere.
    pub async fn spread_version(&self, number: u64, yaml: &str) -> time::Duration {
        let began = time::Instant::now();
        let first = &self.routers[0];
        let outcome = first.config.offer(number, yaml);
        assert_eq!(outcome, config::OfferOutcome::Activated);
        first.node.set_config(number);
        let has_it = |router: &sync::Arc<GroupRouter>| router.config.number() == number;
        reached(SPREAD_LIMIT, || self.routers.iter().all(has_it)).await;
        began.elapsed()
    }

    /// Silences the last router; gives the time until all others hold it dead.
    pub async fn kill_one(&self) -> time::Duration {
        let (last, others) = self.routers.split_last().expect("group is empty");
        let name = last.node.home().router;
        let began = time::Instant::now();
        last.is_silent.store(true, atomic::Ordering::Relaxed);
        let holds_dead = |router: &sync::Arc<GroupRouter>| {
            let members = router.node.members();
            let mut ranks = members.iter().filter(|member| member.router == name);
            ranks.any(|member| {
                let rank = member_rank::MemberRank::try_from(member.rank);
                rank.is_ok_and(|rank| rank.liveness == member_rank::PeerLiveness::Dead)
            })
        };
        // A silent process begins no exchange either; its listener stays open.
        self.stop_last.lock().take();
        reached(SPREAD_LIMIT, || others.iter().all(holds_dead)).await;
        began.elapsed()
    }
}

async fn reached(limit: time::Duration, mut is_true: impl FnMut() -> bool) -> bool {
    let looking = async {
        while !is_true() {
            task::sleep(LOOK_PERIOD).await;
        }
    };
    timer::timeout(limit, looking).await.is_ok()
}

/// Declarations of model runners, with the workspaces of the target size.
pub fn declarations(endpoints: usize) -> String {
    const WORKSPACES: usize = 200;
    let mut yaml = String::from("services:\n");
    for model in 0..MODELS {
        write!(
            yaml,
            "  - name: service-{model}\n    model: {{name: model-{model}, version: v1}}\n    endpoints:\n"
        )
        .expect("no memory");
        for index in (model..endpoints).step_by(MODELS) {
            let (high, low) = (index / 250, index % 250);
            writeln!(
                yaml,
                "      - {{name: runner-{index}, address: \"10.0.{high}.{low}:9000\", zone: zone-{}}}",
                index % ZONES
            )
            .expect("no memory");
        }
    }
    yaml.push_str("workspaces:\n");
    for index in 0..WORKSPACES {
        writeln!(
            yaml,
            "  - {{name: workspace-{index}, key_hashes: [{index:064x}], max_in_flight: 1000}}"
        )
        .expect("no memory");
    }
    yaml.push_str("routes:\n");
    for model in 0..MODELS {
        writeln!(
            yaml,
            "  - {{model: model-{model}, service: service-{model}}}"
        )
        .expect("no memory");
    }
    yaml
}
