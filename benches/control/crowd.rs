//! One router among as many as the target size; the others are a fake link that answers for all.

use std::sync;
use std::sync::atomic;
use std::time;

use async_std::task;
use futures::future;
use kumquatpulley::connection::{peer, peer_stream, peer_wire};
use kumquatpulley::process::members::{gossip, gossip_exchange, member_rank, member_table};
use kumquatpulley::process::telemetry::timeline;

use crate::{core_seconds, float, resident_bytes};

const ZONES: usize = 15;
/// Workspaces with demand at one router at a time.
const ACTIVE_WORKSPACES: usize = 20;
const SECONDS_PER_DAY: f64 = 86_400.0;
/// Facts a day: 88 failures make a suspect and a dead fact, 670 replacements leave, join and get ready.
const FACTS_PER_DAY: f64 = 88.0 * 2.0 + 670.0 * 4.0;
const VERSIONS_PER_DAY: f64 = 6_300.0;
const MEMBER_LOAD_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Time in which a version is pushed to all usual peers.
const PUSH_TIME: time::Duration = time::Duration::from_millis(400);
const STEP: time::Duration = time::Duration::from_millis(100);

/// Everybody but the measured router, as one table that all share.
#[derive(Debug)]
struct CrowdLink {
    world: parking_lot::Mutex<gossip_exchange::ExchangeState>,
    bytes: atomic::AtomicU64,
    exchanges: atomic::AtomicU64,
}

fn at() -> gossip_exchange::ExchangeTime {
    gossip_exchange::ExchangeTime {
        now: time::Instant::now(),
        micros: timeline::wall_micros(),
    }
}

impl CrowdLink {
    fn note(&self, query: &peer_wire::GossipWire, reply: &peer_wire::GossipWire) {
        let sizes =
            [query, reply].map(|wire| peer_stream::encode(wire).map_or(0, |encoded| encoded.len()));
        peer_stream::PeerMeter::add(&self.bytes, sizes.iter().sum());
        peer_stream::PeerMeter::add(&self.exchanges, 1);
    }
}

impl peer::PeerLink for CrowdLink {
    fn ask<'a>(
        &'a self,
        address: &'a str,
        query: peer_wire::QueryBody,
        _limit: time::Duration,
    ) -> future::BoxFuture<'a, peer::Result<peer_wire::ReplyBody>> {
        Box::pin(async move {
            let peer_wire::QueryBody::Gossip(query) = query else {
                return Ok(peer_wire::ReplyBody::Alive(true));
            };
            let (mut reply, _) = self.world.lock().answer(query.clone(), at());
            // Addresses are the names of the routers.
            address.clone_into(&mut reply.from);
            self.note(&query, &reply);
            Ok(peer_wire::ReplyBody::Gossip(reply))
        })
    }
}

fn member(index: usize, version: u64) -> peer_wire::MemberWire {
    let rank = member_rank::MemberRank::alive(member_rank::LifecycleStage::Ready);
    let router = format!("router-{index}");
    peer_wire::MemberWire {
        peer_address: router.clone(),
        router,
        incarnation: 1_900_000_000_000_000,
        rank: rank.into(),
        version,
        zone: format!("region-{}-zone-{}", index % 5, index % ZONES),
        caller_address: format!("10.{}.{}.1:8080", index / 250, index % 250),
        admin_address: format!("10.{}.{}.1:8082", index / 250, index % 250),
        config: 0,
        demand: Vec::new(),
    }
}

fn load(index: usize, sequence: u64) -> peer_wire::LoadWire {
    let workspaces = 0..ACTIVE_WORKSPACES;
    let demand = workspaces.map(|workspace| peer_wire::DemandWire {
        workspace: format!("workspace-{workspace}"),
        requests: fastrand::u32(1..40),
    });
    peer_wire::LoadWire {
        router: format!("router-{index}"),
        incarnation: 1_900_000_000_000_000,
        sequence,
        part: 0,
        parts: 1,
        config: 1,
        demand: demand.collect(),
    }
}

fn table(own: usize, count: usize) -> member_table::MemberTable {
    let now = time::Instant::now();
    let mut table = member_table::MemberTable::new(member(own, 1), now);
    for index in (0..count).filter(|index| *index != own) {
        table.merge(member(index, 1), "bench", now);
    }
    for index in 0..count {
        table.merge_load(load(index, 1), "bench");
    }
    table
}

/// Cost of one router among `count`.
pub async fn measure(count: usize, window: time::Duration) -> serde_json::Value {
    let link = sync::Arc::new(CrowdLink {
        world: parking_lot::Mutex::new(gossip_exchange::ExchangeState::new(table(1, count))),
        bytes: atomic::AtomicU64::new(0),
        exchanges: atomic::AtomicU64::new(0),
    });
    let memory = resident_bytes();
    let node = measured_node(&link, count).await;
    let memory = resident_bytes() - memory;
    let stop = stop_token::StopSource::new();
    task::spawn(sync::Arc::clone(&node).run(stop.token()));
    task::sleep(window / 4).await;
    let (bytes, exchanges) = (read(&link.bytes), read(&link.exchanges));
    let (core, began) = (core_seconds(), time::Instant::now());
    play_world(&link, &node, count, window).await;
    let seconds = began.elapsed().as_secs_f64();
    let used = core_seconds() - core;
    let payload = float(read(&link.bytes) - bytes) / seconds;
    let rate = float(read(&link.exchanges) - exchanges) / seconds;
    let (bytes, exchanges) = (read(&link.bytes), read(&link.exchanges));
    let pushed = time::Instant::now();
    let number = {
        let mut world = link.world.lock();
        world.config += 1;
        world.config
    };
    node.set_config(number);
    task::sleep(PUSH_TIME).await;
    drop(stop);
    // Only rounds that the node itself begins go on meanwhile.
    let rounds = pushed.elapsed().as_secs_f64()
        / gossip::GossipSettings::default()
            .round_interval
            .as_secs_f64();
    serde_json::json!({
        "name": format!("one router among {count}, the others a fake link"),
        "core": used / seconds,
        "payload_bytes_per_second": payload,
        "exchanges_per_second": rate,
        "push_exchanges": float(read(&link.exchanges) - exchanges) - rounds,
        "push_payload_bytes": float(read(&link.bytes) - bytes) - rounds * payload / rate,
        "table_memory_bytes": memory,
    })
}

fn read(counter: &atomic::AtomicU64) -> u64 {
    peer_stream::PeerMeter::read(counter)
}

async fn measured_node(link: &sync::Arc<CrowdLink>, count: usize) -> sync::Arc<gossip::GossipNode> {
    let own = member(0, 1);
    let identity = gossip::MemberIdentity {
        router: own.router,
        incarnation: own.incarnation + 1,
        zone: own.zone,
        caller_address: own.caller_address,
        peer_address: own.peer_address,
        admin_address: own.admin_address,
    };
    let ring = sync::Arc::new(timeline::EventRing::new("router-0"));
    let settings = gossip::GossipSettings::default();
    let node = sync::Arc::new(gossip::GossipNode::new(
        identity,
        settings,
        sync::Arc::new(vec!["router-1".to_owned()]),
        sync::Arc::clone(link) as _,
        ring,
    ));
    node.set_ready();
    let facts = (1..count).map(|index| member(index, 1)).collect();
    let loads = (1..count).map(|index| load(index, 1)).collect();
    node.handle(peer_wire::GossipWire {
        from: "router-1".to_owned(),
        members: facts,
        loads,
        ..peer_wire::GossipWire::default()
    });
    task::sleep(STEP).await;
    node
}

/// Changes facts, loads and versions at the rates of the target, and asks the node as its
/// predecessors would.
async fn play_world(
    link: &sync::Arc<CrowdLink>,
    node: &sync::Arc<gossip::GossipNode>,
    count: usize,
    window: time::Duration,
) {
    let settings = gossip::GossipSettings::default();
    let size = float(count as u64);
    let load_rate = 1.0 / MEMBER_LOAD_INTERVAL.as_secs_f64();
    let share = size / float(2_800);
    let rates = [
        load_rate,
        FACTS_PER_DAY * share / SECONDS_PER_DAY,
        VERSIONS_PER_DAY / SECONDS_PER_DAY,
        1.0 / settings.round_interval.as_secs_f64(),
    ];
    let mut due = [0.0; 4];
    let mut sequence = 2;
    let end = time::Instant::now() + window;
    while time::Instant::now() < end {
        for (due, rate) in due.iter_mut().zip(rates) {
            *due += rate * STEP.as_secs_f64();
        }
        sequence += 1;
        change_world(link, count, &mut due, sequence);
        node.set_config(link.world.lock().config);
        while due[3] >= 1.0 {
            due[3] -= 1.0;
            ask_as_predecessor(link, node, count);
        }
        task::sleep(STEP).await;
    }
}

fn change_world(link: &CrowdLink, count: usize, due: &mut [f64; 4], sequence: u64) {
    let mut world = link.world.lock();
    while due[0] >= 1.0 {
        due[0] -= 1.0;
        let load = load(fastrand::usize(2..count), sequence);
        world.table.merge_load(load, "bench");
    }
    while due[1] >= 1.0 {
        due[1] -= 1.0;
        let fact = member(fastrand::usize(2..count), sequence);
        world.table.merge(fact, "bench", time::Instant::now());
    }
    while due[2] >= 1.0 {
        due[2] -= 1.0;
        world.config += 1;
    }
}

fn ask_as_predecessor(link: &CrowdLink, node: &gossip::GossipNode, count: usize) {
    let mut query = link
        .world
        .lock()
        .query(Some("router-0"), gossip_exchange::ExchangeKind::Round);
    query.from = format!("router-{}", fastrand::usize(2..count));
    let sent = gossip_exchange::SentSequences::from(&query);
    let reply = node.handle(query.clone());
    link.note(&query, &reply);
    link.world.lock().apply_reply(sent, reply, at());
}
