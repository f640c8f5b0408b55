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
use crate::process::gateway::{
    assembly, caller_server, config_pull, info_server, node, peers, reload, rows, settings, stop,
    store_watch,
};
use crate::process::members::peering;
use crate::process::start;
use crate::process::telemetry::{metrics, timeline};
use crate::request::relay::dialect;

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
    let identity = assembly::identity(&settings);
    let peers = peering::PeerComponents::new(identity, settings.seeds.clone());
    let aborting = requests.aborting.token();
    let node = assembly::assemble(settings, &adapters, metrics, peers, aborting);
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
    spawn_control(node, stop_source);
}

/// Starts the tasks that exchange state with the store and with peers, until `stop_source` is
/// dropped.
pub fn spawn_control(node: &sync::Arc<node::GatewayNode>, stop_source: &stop_token::StopSource) {
    let token = || stop_source.token();
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
    task::spawn(sync::Arc::clone(&node.origins).run(token()));
    task::spawn(config_pull::pull_versions(sync::Arc::clone(node), token()));
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
