//! Routers in one process that gossip over h2 on loopback, with faults between them.

use std::collections;
use std::sync::Arc;
use std::sync::atomic;
use std::time;

use async_std::{net, task};
use futures::future;
use kumquatpulley::connection::{peer, peer_client, peer_server, peer_wire};
use kumquatpulley::process::view::MemberView as _;
use kumquatpulley::process::{gossip, member_rank, timeline};
use parking_lot::Mutex;

const ZONES: usize = 4;
const AGREE_LIMIT: time::Duration = time::Duration::from_secs(8);
const DETECT_LIMIT: time::Duration = time::Duration::from_secs(3);
const BASE_INCARNATION: u64 = 1_000_000;

/// Packets from the first address to the second are lost.
#[derive(Debug, Default)]
struct CutSet(Mutex<collections::HashSet<(String, String)>>);

impl CutSet {
    fn cut(&self, from: &str, to: &str) {
        self.0.lock().insert((from.to_owned(), to.to_owned()));
    }

    fn heal(&self) {
        self.0.lock().clear();
    }

    fn is_cut(&self, from: &str, to: &str) -> bool {
        self.0.lock().contains(&(from.to_owned(), to.to_owned()))
    }
}

#[derive(Debug)]
struct FaultyLink {
    own: String,
    cuts: Arc<CutSet>,
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
            let silent = || peer::PeerError::NoReply("cut".to_owned());
            if self.cuts.is_cut(&self.own, address) {
                task::sleep(limit).await;
                return Err(silent());
            }
            let reply = self.client.ask(address, query, limit).await;
            if self.cuts.is_cut(address, &self.own) {
                task::sleep(limit).await;
                return Err(silent());
            }
            reply
        })
    }
}

#[derive(Debug)]
struct PausableHandler {
    node: Arc<gossip::GossipNode>,
    is_paused: atomic::AtomicBool,
}

impl peer::PeerHandler for PausableHandler {
    fn handle(&self, query: peer_wire::QueryBody) -> future::BoxFuture<'_, peer_wire::ReplyBody> {
        Box::pin(async move {
            while self.is_paused.load(atomic::Ordering::Relaxed) {
                task::sleep(time::Duration::from_millis(10)).await;
            }
            let reply = self.node.handle_query(&query).await;
            reply.unwrap_or_else(|| peer_wire::ReplyBody::Refused("not asked here".to_owned()))
        })
    }
}

/// One router; stops when dropped.
struct TestRouter {
    node: Arc<gossip::GossipNode>,
    handler: Arc<PausableHandler>,
    address: String,
    rounds: Option<stop_token::StopSource>,
    server: Option<stop_token::StopSource>,
}

impl TestRouter {
    fn start_rounds(&mut self) {
        let stop = stop_token::StopSource::new();
        task::spawn(Arc::clone(&self.node).run(stop.token()));
        self.rounds = Some(stop);
    }

    /// Answers nothing and begins nothing, as a stopped process on a live VM.
    fn pause(&mut self) {
        self.handler
            .is_paused
            .store(true, atomic::Ordering::Relaxed);
        self.rounds = None;
    }

    fn wake(&mut self) {
        self.handler
            .is_paused
            .store(false, atomic::Ordering::Relaxed);
        self.start_rounds();
    }

    fn kill(mut self) -> String {
        self.rounds = None;
        self.server = None;
        self.address.clone()
    }

    fn rank_of(&self, router: &str) -> Option<member_rank::MemberRank> {
        let members = self.node.members();
        let member = members.iter().find(|member| member.router == router)?;
        member_rank::MemberRank::try_from(member.rank).ok()
    }

    fn sees(&self, router: &str, verdict: member_rank::PeerVerdict) -> bool {
        let rank = self.rank_of(router);
        rank.is_some_and(|rank| rank.verdict == verdict)
    }

    fn counts_ready(&self, count: usize) -> bool {
        self.node.ready_members().len() == count
    }
}

/// What the routers of one test share.
#[derive(Default)]
struct TestBed {
    cuts: Arc<CutSet>,
    seeds: Vec<String>,
    started: usize,
}

impl TestBed {
    async fn start(&mut self, router: &str) -> TestRouter {
        let listener = net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("no free port");
        self.started += 1;
        let incarnation = BASE_INCARNATION + self.started as u64;
        self.start_at(router, listener, incarnation)
    }

    fn start_at(
        &mut self,
        router: &str,
        listener: net::TcpListener,
        incarnation: u64,
    ) -> TestRouter {
        let address = listener.local_addr().expect("no address").to_string();
        let ring = Arc::new(timeline::EventRing::new(router));
        let link = Arc::new(FaultyLink {
            own: address.clone(),
            cuts: Arc::clone(&self.cuts),
            client: peer_client::PeerClient::new(Arc::clone(&ring)),
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
        let seeds = Arc::new(self.seeds.clone());
        let settings = gossip::GossipSettings::default();
        let node = gossip::GossipNode::new(identity, settings, seeds, link, Arc::clone(&ring));
        let node = Arc::new(node);
        node.set_ready();
        let handler = Arc::new(PausableHandler {
            node: Arc::clone(&node),
            is_paused: atomic::AtomicBool::new(false),
        });
        let stop = stop_token::StopSource::new();
        let service = Arc::clone(&handler);
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

    async fn start_many(&mut self, count: usize) -> Vec<TestRouter> {
        let mut routers = Vec::new();
        for index in 0..count {
            routers.push(self.start(&format!("router-{index}")).await);
        }
        let is_whole = || routers.iter().all(|router| router.counts_ready(count));
        assert!(within(AGREE_LIMIT, is_whole).await, "routers never met");
        routers
    }
}

async fn within(limit: time::Duration, mut is_true: impl FnMut() -> bool) -> bool {
    let deadline = time::Instant::now() + limit;
    while time::Instant::now() < deadline {
        if is_true() {
            return true;
        }
        task::sleep(time::Duration::from_millis(20)).await;
    }
    is_true()
}

fn run<F: Future<Output = ()>>(test: F) {
    task::block_on(test);
}

#[test]
fn sixteen_routers_meet_through_two_seeds_and_agree() {
    run(async {
        let routers = TestBed::default().start_many(16).await;
        let digest = || routers[0].node.digest();
        let agree = || {
            routers
                .iter()
                .all(|router| router.node.digest() == digest())
        };
        assert!(within(AGREE_LIMIT, agree).await);
    });
}

#[test]
fn a_silent_router_is_dead_everywhere_within_three_seconds() {
    run(async {
        let mut routers = TestBed::default().start_many(16).await;
        routers[5].pause();
        let began = time::Instant::now();
        let others = || {
            routers
                .iter()
                .filter(|router| router.address != routers[5].address)
        };
        let is_dead =
            || others().all(|router| router.sees("router-5", member_rank::PeerVerdict::Dead));
        assert!(within(DETECT_LIMIT, is_dead).await, "dead not seen by all");
        println!("dead everywhere after {:?}", began.elapsed());
        assert!(others().all(|router| router.node.find("router-5").is_none()));
    });
}

#[test]
fn a_one_way_cut_kills_nobody() {
    run(async {
        let mut bed = TestBed::default();
        let routers = bed.start_many(8).await;
        bed.cuts.cut(&routers[0].address, &routers[1].address);
        let is_dead = || {
            let any = |name: &str| {
                routers
                    .iter()
                    .any(|router| router.sees(name, member_rank::PeerVerdict::Dead))
            };
            any("router-0") || any("router-1")
        };
        assert!(!within(time::Duration::from_secs(6), is_dead).await);
        let saves =
            |router: &TestRouter| router.node.counters().saves.load(atomic::Ordering::Relaxed);
        assert!(
            routers.iter().map(saves).sum::<u64>() > 0,
            "the cut was never met"
        );
    });
}

#[test]
fn a_paused_router_comes_back_from_the_dead_under_the_same_name() {
    run(async {
        let mut routers = TestBed::default().start_many(8).await;
        let home = routers[3].node.home();
        routers[3].pause();
        let seen_dead = || routers[0].sees("router-3", member_rank::PeerVerdict::Dead);
        assert!(within(DETECT_LIMIT, seen_dead).await);
        routers[3].wake();
        let is_back = || routers.iter().all(|router| router.counts_ready(8));
        assert!(within(AGREE_LIMIT, is_back).await);
        assert_eq!(routers[3].node.home(), home);
        assert!(routers[3].node.owns(&home));
    });
}

#[test]
fn a_router_replaced_under_the_same_address_is_not_taken_for_the_old_one() {
    run(async {
        let mut bed = TestBed::default();
        let mut routers = bed.start_many(6).await;
        let address = routers.pop().unwrap().kill();
        task::sleep(time::Duration::from_millis(50)).await;
        let listener = net::TcpListener::bind(&address).await.unwrap();
        let _new = bed.start_at("replacement", listener, BASE_INCARNATION + 100);
        let is_replaced = || {
            let has_replaced = |router: &TestRouter| {
                router.sees("router-5", member_rank::PeerVerdict::Dead)
                    && router.sees("replacement", member_rank::PeerVerdict::Alive)
            };
            routers.iter().all(has_replaced)
        };
        assert!(within(AGREE_LIMIT, is_replaced).await);
    });
}

#[test]
fn a_router_restarted_with_its_clock_behind_takes_a_later_incarnation() {
    run(async {
        let mut bed = TestBed::default();
        let mut routers = bed.start_many(6).await;
        let old_home = routers[5].node.home();
        let address = routers.pop().unwrap().kill();
        task::sleep(time::Duration::from_millis(50)).await;
        let listener = net::TcpListener::bind(&address).await.unwrap();
        let restarted = bed.start_at("router-5", listener, BASE_INCARNATION - 500);
        let first_home = restarted.node.home();
        let is_known = || {
            let incarnation = restarted.node.home().incarnation;
            let knows = |router: &TestRouter| {
                let found = router.node.find("router-5");
                found.is_some_and(|found| found.incarnation == incarnation)
            };
            incarnation > old_home.incarnation && routers.iter().all(knows)
        };
        assert!(within(AGREE_LIMIT, is_known).await);
        assert!(
            restarted.node.owns(&first_home),
            "name of this life was lost"
        );
        assert!(
            !restarted.node.owns(&old_home),
            "name of an earlier life was taken"
        );
    });
}

#[test]
fn halves_that_lost_each_other_meet_again() {
    run(async {
        let mut bed = TestBed::default();
        let routers = bed.start_many(6).await;
        for left in &routers[..3] {
            for right in &routers[3..] {
                bed.cuts.cut(&left.address, &right.address);
                bed.cuts.cut(&right.address, &left.address);
            }
        }
        let dead_to = |router: &TestRouter| {
            let members = router.node.members();
            let ranks = members.iter().map(|member| member.rank);
            let ranks = ranks.filter_map(|rank| member_rank::MemberRank::try_from(rank).ok());
            let dead = ranks.filter(|rank| rank.verdict == member_rank::PeerVerdict::Dead);
            dead.count()
        };
        let is_split = || routers.iter().all(|router| dead_to(router) == 3);
        assert!(within(time::Duration::from_secs(15), is_split).await);
        bed.cuts.heal();
        let is_whole = || routers.iter().all(|router| router.counts_ready(6));
        assert!(within(time::Duration::from_secs(15), is_whole).await);
    });
}

#[test]
fn a_leaving_endpoint_is_known_everywhere_within_a_second() {
    run(async {
        let routers = TestBed::default().start_many(16).await;
        routers[2].node.mark_leaving("runner-7", 3);
        let is_known = || {
            routers
                .iter()
                .all(|router| router.node.is_leaving("runner-7", 3))
        };
        assert!(within(time::Duration::from_secs(1), is_known).await);
        assert!(!routers[9].node.is_leaving("runner-7", 4));
    });
}

#[test]
fn a_draining_router_is_named_to_nobody_within_a_second() {
    run(async {
        let routers = TestBed::default().start_many(16).await;
        routers[4].node.set_draining();
        let is_left_out = || routers.iter().all(|router| router.counts_ready(15));
        assert!(within(time::Duration::from_secs(1), is_left_out).await);
        let draining = member_rank::MemberRank::alive(member_rank::LifeStage::Draining);
        assert_eq!(routers[0].rank_of("router-4"), Some(draining));
        routers[4].node.set_ready();
        task::sleep(time::Duration::from_millis(500)).await;
        assert!(routers.iter().all(|router| router.counts_ready(15)));
    });
}

#[test]
fn every_router_learns_who_has_a_newer_configuration() {
    run(async {
        let routers = TestBed::default().start_many(16).await;
        routers[0].node.set_config(7);
        for router in &routers[1..] {
            let node = Arc::clone(&router.node);
            task::spawn(async move {
                node.wait_for_config().await;
                let peer = node.newest_config_peer(0).unwrap();
                node.set_config(peer.config);
            });
        }
        let is_in_force = |router: &TestRouter| {
            let own = router.node.home().router;
            router.node.find(&own).is_some_and(|own| own.config == 7)
        };
        let everywhere = || routers.iter().all(is_in_force);
        assert!(within(time::Duration::from_secs(2), everywhere).await);
        assert!(routers[3].node.newest_config_peer(7).is_none());
    });
}

#[test]
fn demand_of_all_routers_adds_up() {
    run(async {
        let routers = TestBed::default().start_many(8).await;
        for router in &routers {
            router.node.set_demand(vec![peer_wire::DemandWire {
                workspace: "choir".to_owned(),
                requests: 5,
            }]);
        }
        let is_summed = || {
            routers
                .iter()
                .all(|router| router.node.total_demand("choir") == 40)
        };
        assert!(within(AGREE_LIMIT, is_summed).await);
        assert_eq!(routers[0].node.total_demand("other"), 0);
    });
}

#[test]
fn two_routers_an_availability_zone_poll() {
    run(async {
        let routers = TestBed::default().start_many(16).await;
        let pollers = routers.iter().filter(|router| router.node.is_poller());
        assert_eq!(pollers.count(), 2 * ZONES);
    });
}
