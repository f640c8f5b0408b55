//! Runs a gateway: listens, joins the other routers, watches the store, serves requests and drains
//! on a signal.

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
use crate::process::gateway::rollout::{control, coordinator, plan_book, ramp, version_policy};
use crate::process::gateway::{
    budgets, caller_server, endpoint_fleet, endpoint_registry, first_read, info_server, node,
    peers, permits, readers, reload, request_guard, rows, settings, stop, store_watch,
    token_exchange,
};
use crate::process::limits::byte_budget;
use crate::process::members::{gossip, peering};
use crate::process::start;
use crate::process::telemetry::{metrics, timeline};
use crate::request::relay::{context, dialect, rollout};

/// The process's memory divided by this is the limit for what is held of callers: heads, bodies and
/// buffered responses. The rest is for all else that the process holds, and for the kernel.
const CALLER_MEMORY_DIVISOR: usize = 4;

/// Interval between checks of readiness.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Adapters for the formats and protocols of one platform.
#[derive(Clone, Debug)]
pub struct PlatformAdapters {
    /// Headers of requests and responses.
    pub requests: sync::Arc<dyn dialect::RequestDialect>,
    /// Paths and answers of the info server.
    pub info: sync::Arc<dyn info_server::InfoDialect>,
    /// Client of the platform's store.
    pub store: sync::Arc<dyn rows::RowStore>,
    /// Decodes rows of the store.
    pub codec: sync::Arc<dyn rows::RowCodec>,
    /// Reads the settings file.
    pub settings: sync::Arc<dyn reload::SettingsSource>,
}

/// Signals of the operating system, with one channel for each purpose.
struct SignalChannels {
    /// When the signal to stop came.
    drain: channel::Receiver<time::Instant>,
    reload: channel::Receiver<()>,
}

struct GatewayListeners {
    caller: net::TcpListener,
    peer: net::TcpListener,
    info: Vec<(net::TcpListener, info_server::InfoAudience)>,
}

/// Runs a gateway until a signal stops it.
///
/// # Errors
/// [`start::NodeError`] when an address cannot be listened on or signals cannot be handled.
pub fn run(settings: settings::GatewaySettings, adapters: &PlatformAdapters) -> start::Result<()> {
    let listeners = open_listeners(&settings)?;
    let (drain_sender, drain_receiver) = channel::bounded(1);
    let (reload_sender, reload_receiver) = channel::bounded(1);
    let signals = [consts::SIGTERM, consts::SIGINT, consts::SIGHUP];
    start::watch_signals(&signals, move |signal| {
        // A full channel means that the same request is pending already.
        if signal == consts::SIGHUP {
            let _already_pending = reload_sender.try_send(());
            return;
        }
        let _already_pending = drain_sender.try_send(time::Instant::now());
    })
    .map_err(start::NodeError::Setup)?;
    let metrics = metrics::RouterMetrics::new(None);
    let metrics = metrics.map_err(start::NodeError::Setup)?;
    task::block_on(serve(
        settings,
        adapters.clone(),
        sync::Arc::new(metrics),
        listeners,
        SignalChannels {
            drain: drain_receiver,
            reload: reload_receiver,
        },
    ));
    Ok(())
}

fn open_listeners(settings: &settings::GatewaySettings) -> start::Result<GatewayListeners> {
    let mut info = Vec::new();
    let (callers, operators) = (
        info_server::InfoAudience::Callers,
        info_server::InfoAudience::Operators,
    );
    let fields = [
        ("ready address", settings.ready_listen, callers),
        ("lookup address", settings.address_listen, callers),
        ("metrics address", settings.metrics_listen, operators),
    ];
    for (field, address, audience) in fields {
        if let Some(address) = address {
            info.push((listen(field, address)?, audience));
        }
    }
    Ok(GatewayListeners {
        caller: listen("caller address", settings.caller_listen)?,
        peer: listen("peer address", settings.peer_listen)?,
        info,
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
    adapters: PlatformAdapters,
    metrics: sync::Arc<metrics::RouterMetrics>,
    listeners: GatewayListeners,
    signals: SignalChannels,
) {
    let stop_source = stop_token::StopSource::new();
    let requests = stop::RequestSources::default();
    let node = assemble(settings, &adapters, metrics, requests.aborting.token());
    log::info!(
        router = node.settings.router.as_str(),
        zone = node.settings.zone.as_str(),
        listen = node.settings.caller_listen.to_string().as_str();
        "started"
    );
    node.ring.record(None, timeline::EventKind::ProcessStarted);
    spawn_all(&node, &adapters, listeners, &stop_source, &requests);
    task::spawn(reload::watch_settings(
        sync::Arc::clone(&node),
        sync::Arc::clone(&adapters.settings),
        signals.reload,
        stop_source.token(),
    ));
    // The signal thread keeps the sender, so the channel never closes and only a signal ends the
    // wait.
    let signalled_at = signals.drain.recv().await;
    let signalled_at = signalled_at.unwrap_or_else(|_closed| time::Instant::now());
    stop::stop(&node, signalled_at, requests).await;
    let in_flight = node.in_flight.load(atomic::Ordering::SeqCst);
    drop(stop_source);
    log::info!(in_flight; "stopped");
    log::logger().flush();
}

/// When a router with these settings begins to read the store.
fn first_read_of(settings: &settings::GatewaySettings) -> first_read::FirstRead {
    let own_address = settings.peer_listen.to_string();
    let is_seed = settings.seeds.contains(&own_address);
    let delay = first_read::read_delay(is_seed, settings.is_first_start, &mut fastrand::Rng::new());
    first_read::FirstRead::new(delay, settings.is_first_start, time::Instant::now())
}

fn assemble(
    settings: settings::GatewaySettings,
    adapters: &PlatformAdapters,
    metrics: sync::Arc<metrics::RouterMetrics>,
    aborting: stop_token::StopToken,
) -> sync::Arc<node::GatewayNode> {
    let peering::PeerComponents {
        ring,
        link,
        seeds,
        gossip,
        members,
    } = peering::PeerComponents::new(identity(&settings), settings.seeds.clone());
    let plans = sync::Arc::<plan_book::PlanBook>::default();
    let (fleet, versions) = versioned_fleet(&settings, &plans);
    let budget = budgets::ServiceBudgets::new(settings.bounds, sync::Arc::clone(&members));
    let tokens = sync::Arc::new(token_exchange::TokenExchange::new(
        sync::Arc::new(budget),
        sync::Arc::clone(&members),
        sync::Arc::clone(&link),
        sync::Arc::clone(&metrics) as _,
    ));
    let pace = readers::ReadTiming::new(settings.bounds.propagation_limit);
    let first_read = first_read_of(&settings);
    let memory = usize::try_from(settings.memory_bytes).unwrap_or(usize::MAX);
    let permits = sync::Arc::new(permits::RouterPermits::new(
        sync::Arc::clone(&fleet),
        sync::Arc::clone(&gossip) as _,
        sync::Arc::clone(&link),
        sync::Arc::clone(&metrics) as _,
    ));
    let guard = sync::Arc::new(request_guard::RouterRequestGuard::new(
        sync::Arc::clone(&gossip),
        sync::Arc::clone(&link),
        sync::Arc::clone(&adapters.store),
        sync::Arc::clone(&adapters.codec),
        sync::Arc::clone(&metrics) as _,
    ));
    let relay = context::RelayContext {
        memory: sync::Arc::new(byte_budget::ByteBudget::new(memory / CALLER_MEMORY_DIVISOR)),
        fleet: sync::Arc::clone(&fleet) as _,
        dialect: sync::Arc::clone(&adapters.requests),
        versions: versions.clone().map_or_else(
            || sync::Arc::new(rollout::AnyVersion) as _,
            |versions| versions as _,
        ),
        budget: sync::Arc::clone(&tokens) as _,
        loads: sync::Arc::default(),
        permits: sync::Arc::clone(&permits) as _,
        guard: sync::Arc::clone(&guard) as _,
        counters: sync::Arc::clone(&metrics) as _,
        aborting,
    };
    let rollouts = settings.follows_rollouts.then(|| {
        control::RolloutControl::new(coordinator::CoordinatorParts {
            owners: sync::Arc::clone(&gossip) as _,
            members: sync::Arc::clone(&members),
            link: sync::Arc::clone(&link),
            store: sync::Arc::clone(&adapters.store),
            codec: sync::Arc::clone(&adapters.codec),
            counters: sync::Arc::clone(&metrics) as _,
            plans: sync::Arc::clone(&plans),
            orders: sync::Arc::default(),
            bounds: exposure_bounds(&settings.bounds),
        })
    });
    let registry = endpoint_registry::EndpointRegistry::new(settings.bounds.reregistration_grace);
    let stop_grace = parking_lot::Mutex::new(settings.bounds.stop_grace);
    sync::Arc::new(node::GatewayNode {
        settings,
        ring,
        metrics,
        gossip,
        members,
        link,
        seeds,
        fleet,
        registry: parking_lot::Mutex::new(registry),
        pace,
        first_read,
        endpoint_rows: parking_lot::Mutex::default(),
        endpoint_era: parking_lot::Mutex::default(),
        endpoint_clock: parking_lot::Mutex::default(),
        store_answered_at: parking_lot::Mutex::default(),
        reader_watch: parking_lot::Mutex::default(),
        zone_watch: parking_lot::Mutex::default(),
        poll_failures: parking_lot::Mutex::default(),
        config_state: parking_lot::Mutex::default(),
        store: sync::Arc::clone(&adapters.store),
        codec: sync::Arc::clone(&adapters.codec),
        permits,
        tokens,
        guard,
        plans,
        versions,
        rollouts,
        relay,
        is_draining: atomic::AtomicBool::default(),
        is_closing: atomic::AtomicBool::default(),
        stop_grace,
        stop_schedule: parking_lot::Mutex::default(),
        stream_duration: parking_lot::Mutex::default(),
        in_flight: atomic::AtomicU64::default(),
    })
}

const fn exposure_bounds(bounds: &settings::GatewayBounds) -> ramp::ExposureBounds {
    ramp::ExposureBounds {
        share: bounds.expose_share,
        slack: bounds.expose_slack,
    }
}

/// The fleet, and the policy by which it is used where roll-outs are followed.
fn versioned_fleet(
    settings: &settings::GatewaySettings,
    plans: &sync::Arc<plan_book::PlanBook>,
) -> (
    sync::Arc<endpoint_fleet::RouterFleet>,
    Option<sync::Arc<version_policy::RolloutPolicy>>,
) {
    let policy = Box::new(placement::PrefixPlacement::default());
    let fleet = endpoint_fleet::RouterFleet::new(settings.zone.clone(), policy);
    if !settings.follows_rollouts {
        return (sync::Arc::new(fleet), None);
    }
    let fleet = sync::Arc::new(fleet.with_orders(sync::Arc::clone(plans)));
    let versions =
        version_policy::RolloutPolicy::new(sync::Arc::clone(plans), sync::Arc::clone(&fleet));
    (fleet, Some(sync::Arc::new(versions)))
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
    adapters: &PlatformAdapters,
    listeners: GatewayListeners,
    stop_source: &stop_token::StopSource,
    requests: &stop::RequestSources,
) {
    let token = || stop_source.token();
    task::spawn(caller_server::serve(
        listeners.caller,
        sync::Arc::clone(node),
        requests.closing.token(),
    ));
    for listener in listeners.info {
        let dialect = sync::Arc::clone(&adapters.info);
        task::spawn(info_server::serve(
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
    task::spawn(store_watch::watch_config(sync::Arc::clone(node), token()));
    task::spawn(store_watch::watch_endpoints(
        sync::Arc::clone(node),
        token(),
    ));
    task::spawn(store_watch::watch_blocked_requests(
        sync::Arc::clone(node),
        token(),
    ));
    task::spawn(store_watch::watch_routers(sync::Arc::clone(node), token()));
    task::spawn(peers::poll_peers(sync::Arc::clone(node), token()));
    if let (Some(rollouts), Some(versions)) = (&node.rollouts, &node.versions) {
        let router = node.settings.router.clone();
        let reporter = rollouts.reporter(router, sync::Arc::clone(versions) as _);
        task::spawn(sync::Arc::clone(rollouts.coordinator()).run(token()));
        task::spawn(reporter.run(token()));
    }
    task::spawn(announce_ready(sync::Arc::clone(node)));
}

/// Tells the other routers once this one is ready for callers.
async fn announce_ready(node: sync::Arc<node::GatewayNode>) {
    while !node.is_ready() {
        if node.is_draining.load(atomic::Ordering::SeqCst) {
            return;
        }
        task::sleep(POLL_INTERVAL).await;
    }
    log::info!("ready");
    node.ring.record(None, timeline::EventKind::Ready);
    node.gossip.set_ready();
}
