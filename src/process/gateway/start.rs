//! Starts a gateway: listens, joins the others, follows the store, serves, and stops as asked.

use std::net as std_net;
use std::sync;
use std::sync::atomic;
use std::time;

use async_std::channel;
use async_std::net;
use async_std::task;
use signal_hook::consts;

use crate::connection::{http, peer, peer_server};
use crate::process::endpoints::placement;
use crate::process::gateway::{
    budgets, endpoint_fleet, endpoint_registry, follow, front, node, peers, readers, reload, rows,
    settings, side,
};
use crate::process::members::{gossip, peering};
use crate::process::start;
use crate::process::telemetry::{metrics, timeline};
use crate::request::relay::{answer_room, context, dialect};

/// Part of the process's memory that answers may take which are read whole. A large one is held
/// twice while it is put together.
const ANSWER_MEMORY_SHARE: usize = 8;

/// Time between two looks at readiness and at what still runs.
const LOOK_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Shortest time from the signal to the end; callers that read their addresses just before still
/// find the router.
const SHORTEST_DRAIN: time::Duration = time::Duration::from_secs(3);

/// Part of the grace after which nothing new is passed on.
const CLOSE_SHARE: f64 = 0.86;

/// Part of the grace after which what still runs is cut, so that callers go on with it elsewhere.
const CUT_SHARE: f64 = 0.95;

/// Time for the last facts to reach other routers.
const FAREWELL_TIME: time::Duration = time::Duration::from_millis(200);

/// How one platform speaks.
#[derive(Clone, Debug)]
pub struct PlatformParts {
    /// Headers of requests and answers.
    pub requests: sync::Arc<dyn dialect::RequestDialect>,
    /// Questions beside requests.
    pub side: sync::Arc<dyn side::SideDialect>,
    /// The store.
    pub store: sync::Arc<dyn rows::RowStore>,
    /// What rows say.
    pub codec: sync::Arc<dyn rows::RowCodec>,
    /// The settings file.
    pub settings: sync::Arc<dyn reload::SettingsSource>,
}

/// Signals of the operating system, one channel a purpose.
struct SignalInbox {
    drain: channel::Receiver<()>,
    reload: channel::Receiver<()>,
}

struct GatewayListeners {
    caller: net::TcpListener,
    peer: net::TcpListener,
    side: Vec<(net::TcpListener, side::SideAudience)>,
}

/// Runs a gateway until it is asked to stop.
///
/// # Errors
/// [`start::NodeError`] when an address cannot be listened on or signals cannot be taken.
pub fn run(settings: settings::GatewaySettings, parts: &PlatformParts) -> start::Result<()> {
    let listeners = open_listeners(&settings)?;
    let (drain_sender, drain_receiver) = channel::bounded(1);
    let (reload_sender, reload_receiver) = channel::bounded(1);
    let signals = [consts::SIGTERM, consts::SIGINT, consts::SIGHUP];
    start::watch_signals(&signals, move |signal| {
        let sender = if signal == consts::SIGHUP {
            &reload_sender
        } else {
            &drain_sender
        };
        // A full channel means that the same is asked for already.
        let _asked_before = sender.try_send(());
    })
    .map_err(start::NodeError::Setup)?;
    let metrics = metrics::RouterMetrics::new(None);
    let metrics = metrics.map_err(start::NodeError::Setup)?;
    task::block_on(serve(
        settings,
        parts.clone(),
        sync::Arc::new(metrics),
        listeners,
        SignalInbox {
            drain: drain_receiver,
            reload: reload_receiver,
        },
    ));
    Ok(())
}

fn open_listeners(settings: &settings::GatewaySettings) -> start::Result<GatewayListeners> {
    let mut side = Vec::new();
    let (callers, operators) = (side::SideAudience::Callers, side::SideAudience::Operators);
    let fields = [
        ("ready address", settings.ready_listen, callers),
        ("address for questions", settings.address_listen, callers),
        ("metrics address", settings.metrics_listen, operators),
    ];
    for (field, address, audience) in fields {
        if let Some(address) = address {
            side.push((listen(field, address)?, audience));
        }
    }
    Ok(GatewayListeners {
        caller: listen("caller address", settings.caller_listen)?,
        peer: listen("peer address", settings.peer_listen)?,
        side,
    })
}

fn listen(field: &'static str, address: std_net::SocketAddr) -> start::Result<net::TcpListener> {
    http::listen(address).map_err(|error| start::NodeError::Listen {
        field,
        address,
        error,
    })
}

async fn serve(
    settings: settings::GatewaySettings,
    parts: PlatformParts,
    metrics: sync::Arc<metrics::RouterMetrics>,
    listeners: GatewayListeners,
    signals: SignalInbox,
) {
    let process = stop_token::StopSource::new();
    let node = assemble(settings, &parts, metrics);
    log::info!(
        router = node.settings.router.as_str(),
        zone = node.settings.zone.as_str(),
        listen = node.settings.caller_listen.to_string().as_str();
        "started"
    );
    node.ring.record(None, timeline::EventKind::ProcessStarted);
    spawn_all(&node, &parts, listeners, &process);
    task::spawn(reload::watch_settings(
        sync::Arc::clone(&node),
        sync::Arc::clone(&parts.settings),
        signals.reload,
        process.token(),
    ));
    // The sender lives in the signal thread, so that only a message ends the wait.
    let _message = signals.drain.recv().await;
    stop(&node).await;
    drop(process);
    task::sleep(LOOK_INTERVAL).await;
    log::info!("stopped");
    log::logger().flush();
}

fn assemble(
    settings: settings::GatewaySettings,
    parts: &PlatformParts,
    metrics: sync::Arc<metrics::RouterMetrics>,
) -> sync::Arc<node::GatewayNode> {
    let peering::PeeringParts {
        ring,
        link,
        seeds,
        gossip,
        members,
    } = peering::PeeringParts::new(identity(&settings), settings.seeds.clone());
    let fleet = sync::Arc::new(endpoint_fleet::RouterFleet::new(
        settings.zone.clone(),
        Box::new(placement::PrefixPlacement::default()),
    ));
    let budget = budgets::ServiceBudgets::new(settings.bounds, sync::Arc::clone(&members));
    let pace = readers::ReadTiming::new(settings.bounds.change);
    let own_address = settings.peer_listen.to_string();
    let is_seed = settings.seeds.contains(&own_address);
    let delay =
        readers::first_read_delay(is_seed, settings.is_first_start, &mut fastrand::Rng::new());
    let reads_from = time::Instant::now() + delay;
    let memory = usize::try_from(settings.memory_bytes).unwrap_or(usize::MAX);
    let relay = context::RelayContext {
        room: sync::Arc::new(answer_room::AnswerRoom::new(memory / ANSWER_MEMORY_SHARE)),
        fleet: sync::Arc::clone(&fleet) as _,
        dialect: sync::Arc::clone(&parts.requests),
        budget: sync::Arc::new(budget),
        counters: sync::Arc::clone(&metrics) as _,
    };
    let book = endpoint_registry::EndpointRegistry::new(settings.bounds.lapse_grace);
    sync::Arc::new(node::GatewayNode {
        settings,
        ring,
        metrics,
        gossip,
        members,
        link,
        seeds,
        fleet,
        book: parking_lot::Mutex::new(book),
        pace,
        reads_from,
        endpoint_rows: parking_lot::Mutex::default(),
        endpoint_clock: parking_lot::Mutex::default(),
        store_answers: parking_lot::Mutex::default(),
        reader_watch: parking_lot::Mutex::default(),
        zone_watch: parking_lot::Mutex::default(),
        belief: parking_lot::Mutex::default(),
        store: sync::Arc::clone(&parts.store),
        codec: sync::Arc::clone(&parts.codec),
        relay,
        is_draining: atomic::AtomicBool::default(),
        is_closing: atomic::AtomicBool::default(),
        cut_at: parking_lot::Mutex::default(),
        stream_pace: parking_lot::Mutex::default(),
        in_flight: atomic::AtomicU64::default(),
        body_bytes: atomic::AtomicU64::default(),
    })
}

fn identity(settings: &settings::GatewaySettings) -> gossip::MemberIdentity {
    gossip::MemberIdentity {
        router: settings.router.clone(),
        incarnation: timeline::wall_micros(),
        zone: settings.zone.clone(),
        caller_address: settings.caller_listen.to_string(),
        peer_address: settings.peer_listen.to_string(),
        admin_address: settings
            .metrics_listen
            .map_or_else(String::new, |address| address.to_string()),
    }
}

fn spawn_all(
    node: &sync::Arc<node::GatewayNode>,
    parts: &PlatformParts,
    listeners: GatewayListeners,
    process: &stop_token::StopSource,
) {
    let token = || process.token();
    task::spawn(front::serve(
        listeners.caller,
        sync::Arc::clone(node),
        token(),
    ));
    for listener in listeners.side {
        let dialect = sync::Arc::clone(&parts.side);
        task::spawn(side::serve(
            listener,
            sync::Arc::clone(node),
            dialect,
            token(),
        ));
    }
    let handler: sync::Arc<dyn peer::PeerHandler> = sync::Arc::clone(node) as _;
    let ring = sync::Arc::clone(&node.ring);
    task::spawn(peer_server::serve(listeners.peer, handler, ring, token()));
    let gossip = sync::Arc::clone(&node.gossip);
    let gossip_token = token();
    task::spawn(async move { gossip.run(gossip_token).await });
    task::spawn(follow::follow_config(sync::Arc::clone(node), token()));
    task::spawn(follow::follow_endpoints(sync::Arc::clone(node), token()));
    task::spawn(follow::follow_routers(sync::Arc::clone(node), token()));
    task::spawn(peers::poll_peers(sync::Arc::clone(node), token()));
    task::spawn(announce_ready(sync::Arc::clone(node)));
}

/// Tells the other routers once callers may come.
async fn announce_ready(node: sync::Arc<node::GatewayNode>) {
    while !node.is_ready() {
        if node.is_draining.load(atomic::Ordering::SeqCst) {
            return;
        }
        task::sleep(LOOK_INTERVAL).await;
    }
    log::info!("ready");
    node.ring.record(None, timeline::EventKind::Ready);
    node.gossip.set_ready();
}

/// Leaves the address answers, and waits until nothing runs or the grace is nearly over.
async fn stop(node: &node::GatewayNode) {
    let started = time::Instant::now();
    let in_flight = || node.in_flight.load(atomic::Ordering::SeqCst);
    let grace = node.settings.bounds.stop_grace;
    let (longest, cut) = (grace.mul_f64(CLOSE_SHARE), grace.mul_f64(CUT_SHARE));
    *node.cut_at.lock() = Some(started + longest);
    node.is_draining.store(true, atomic::Ordering::SeqCst);
    node.gossip.set_draining();
    node.ring.record(None, timeline::EventKind::Draining);
    log::info!(in_flight = in_flight(); "draining");
    let shortest = SHORTEST_DRAIN.min(longest);
    while started.elapsed() < longest && (in_flight() > 0 || started.elapsed() < shortest) {
        task::sleep(LOOK_INTERVAL).await;
    }
    log::info!(in_flight = in_flight(); "leaving");
    // A request that arrives from now on is refused, so that none is passed on and then cut.
    node.is_closing.store(true, atomic::Ordering::SeqCst);
    node.gossip.set_left();
    task::sleep(FAREWELL_TIME).await;
    while started.elapsed() < cut && in_flight() > 0 {
        task::sleep(LOOK_INTERVAL).await;
    }
}
