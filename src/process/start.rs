//! Startup of a router: listens, joins the cluster, loads a version, serves, and drains on request.

use std::fmt;
use std::io as std_io;
use std::net as std_net;
use std::sync;
use std::thread;
use std::time;

use async_std::channel;
use async_std::net;
use async_std::task;
use signal_hook::consts;
use signal_hook::iterator;

use crate::connection::accept;
use crate::connection::admin;
use crate::connection::caller;
use crate::connection::http;
use crate::connection::order_client;
use crate::connection::peer;
use crate::connection::peer_server;
use crate::connection::platform;
use crate::connection::platform_client;
use crate::process::catch_up;
use crate::process::drain;
use crate::process::endpoints::endpoint_table;
use crate::process::endpoints::placement;
use crate::process::endpoints::watch;
use crate::process::limits::admission;
use crate::process::limits::caller_memory;
use crate::process::limits::share;
use crate::process::members::gossip;
use crate::process::members::peering;
use crate::process::node;
use crate::process::orders::engine_catalog;
use crate::process::orders::issuer;
use crate::process::orders::report_poller;
use crate::process::readiness;
use crate::process::registry;
use crate::process::setup::settings;
use crate::process::telemetry::metrics;
use crate::process::telemetry::timeline;
use crate::process::versions::config;
use crate::process::versions::poll;
use crate::process::versions::update_tasks;
use crate::process::view;
use crate::request::call;
use crate::request::driver;
use crate::request::intake;
use crate::version::store;

/// Outcome of running a router.
pub type Result<T> = std::result::Result<T, NodeError>;

/// Maximum number of concurrent connections to the admin address.
const ADMIN_CONNECTIONS: usize = 64;

/// Why a router could not run.
#[derive(Debug)]
pub enum NodeError {
    /// An address of the settings cannot be listened on.
    Listen {
        /// Settings field of the address.
        field: &'static str,
        /// The address.
        address: std_net::SocketAddr,
        /// Error of the socket.
        error: std_io::Error,
    },
    /// Any other setup failure.
    Setup(std_io::Error),
}

impl fmt::Display for NodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen {
                field,
                address,
                error,
            } => write!(
                f,
                "{field}: cannot listen on {address}: {error}; free the address or set another one"
            ),
            Self::Setup(error) => write!(f, "cannot start: {error}"),
        }
    }
}

impl std::error::Error for NodeError {}

/// The listeners of one router.
struct RouterListeners {
    caller: net::TcpListener,
    peer: net::TcpListener,
    admin: net::TcpListener,
}

/// Runs a router until it has drained.
///
/// # Errors
/// [`NodeError`] when an address cannot be listened on or signals cannot be handled.
pub fn run(settings: settings::RouterSettings) -> Result<()> {
    let listeners = RouterListeners {
        caller: listen("listen", settings.listen)?,
        peer: listen("peer_listen", settings.peer_listen)?,
        admin: listen("admin_listen", settings.admin_listen)?,
    };
    let (drain_sender, drain_receiver) = channel::bounded(1);
    forward_signals(drain_sender.clone()).map_err(NodeError::Setup)?;
    let metrics = metrics::RouterMetrics::new(settings.statsd).map_err(metrics_error)?;
    task::block_on(serve(
        settings,
        sync::Arc::new(metrics),
        listeners,
        drain_sender,
        drain_receiver,
    ));
    Ok(())
}

fn metrics_error(error: impl fmt::Display) -> NodeError {
    NodeError::Setup(std_io::Error::other(error.to_string()))
}

fn listen(field: &'static str, address: std_net::SocketAddr) -> Result<net::TcpListener> {
    http::listen(address).map_err(|error| NodeError::Listen {
        field,
        address,
        error,
    })
}

/// Converts SIGTERM and SIGINT into drain requests.
fn forward_signals(sender: channel::Sender<()>) -> std_io::Result<()> {
    watch_signals(&[consts::SIGTERM, consts::SIGINT], move |_signal| {
        // A full channel means that a drain has already been requested.
        let _asked_before = sender.try_send(());
    })
}

/// Spawns a thread that calls `handle` for each received signal of `signals`.
pub(crate) fn watch_signals(
    signals: &[i32],
    mut handle: impl FnMut(i32) + Send + 'static,
) -> std_io::Result<()> {
    let mut signals = iterator::Signals::new(signals)?;
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            for signal in signals.forever() {
                handle(signal);
            }
        })?;
    Ok(())
}

async fn serve(
    settings: settings::RouterSettings,
    metrics: sync::Arc<metrics::RouterMetrics>,
    listeners: RouterListeners,
    drain_sender: channel::Sender<()>,
    drain_receiver: channel::Receiver<()>,
) {
    let process = stop_token::StopSource::new();
    let accepting = stop_token::StopSource::new();
    let platform: sync::Arc<dyn platform::PlatformService> = sync::Arc::new(
        platform_client::PlatformClient::new(settings.platform.clone()),
    );
    let node = assemble(settings, metrics, sync::Arc::clone(&platform), drain_sender);
    node.ring.record(None, timeline::EventKind::ProcessStarted);
    update_tasks::subscribe_to_versions(&node);
    spawn_listeners(&node, listeners, &accepting, &process);
    spawn_background(&node, platform, &process);
    let stopped = drain_receiver.recv();
    task::spawn(update_tasks::announce_ready(
        sync::Arc::clone(&node),
        process.token(),
    ));
    // The node keeps the channel open, so only a message ends the wait.
    let _message = stopped.await;
    drain::drain(node, accepting).await;
}

fn assemble(
    settings: settings::RouterSettings,
    metrics: sync::Arc<metrics::RouterMetrics>,
    platform: sync::Arc<dyn platform::PlatformService>,
    drain_sender: channel::Sender<()>,
) -> sync::Arc<node::RouterNode> {
    let peering::PeerComponents {
        ring,
        link,
        seeds,
        gossip,
        members,
    } = peering::PeerComponents::new(identity(&settings), settings.seeds.clone());
    let leaving: sync::Arc<dyn view::LeavingView> = sync::Arc::clone(&gossip) as _;
    let endpoints = sync::Arc::new(endpoint_table::EndpointTable::new(
        settings.router.clone(),
        settings.zone.clone(),
        Box::new(placement::PrefixPlacement::default()),
        leaving,
    ));
    let registry = sync::Arc::new(registry::GenerationRegistry::default());
    let readiness = sync::Arc::new(readiness::RouterReadiness::default());
    let context = driver::DriverContext {
        engines: sync::Arc::clone(&endpoints) as _,
        ring: sync::Arc::clone(&ring),
        counters: sync::Arc::clone(&metrics) as _,
    };
    let intake = intake::GenerationIntake {
        context,
        registry: sync::Arc::clone(&registry),
        link: sync::Arc::clone(&link),
        members: sync::Arc::clone(&members),
    };
    let calls = call::CallRunner::with_gate(
        link,
        sync::Arc::clone(&members),
        sync::Arc::clone(&endpoints) as _,
        sync::Arc::clone(&platform),
        sync::Arc::clone(&ring),
        call::CallLimits::default(),
        sync::Arc::clone(&readiness) as _,
    );
    let watcher = watch::EndpointWatcher {
        endpoints: sync::Arc::clone(&endpoints),
        leaving: sync::Arc::clone(&gossip) as _,
        seeds,
        platform,
        ring: sync::Arc::clone(&ring),
    };
    let memory = caller_memory::CallerMemory::new(settings.caller_memory_bytes);
    sync::Arc::new(node::RouterNode {
        settings,
        ring,
        metrics,
        config: sync::Arc::new(config::ConfigCell::new()),
        gossip,
        members,
        endpoints,
        registry,
        intake,
        calls,
        gate: admission::AdmissionGate::new(),
        caller_memory: sync::Arc::new(memory),
        shares: share::WorkspaceShares::default(),
        requests: readiness::RequestCounter::default(),
        readiness,
        watcher,
        drain_sender,
    })
}

fn identity(settings: &settings::RouterSettings) -> gossip::MemberIdentity {
    gossip::MemberIdentity {
        router: settings.router.clone(),
        incarnation: timeline::wall_micros(),
        zone: settings.zone.clone(),
        caller_address: settings.listen.to_string(),
        peer_address: settings.peer_listen.to_string(),
        admin_address: settings.admin_listen.to_string(),
    }
}

fn spawn_listeners(
    node: &sync::Arc<node::RouterNode>,
    listeners: RouterListeners,
    accepting: &stop_token::StopSource,
    process: &stop_token::StopSource,
) {
    let limits = accept::AcceptLimits {
        max_connections: node.settings.max_connections,
        idle_timeout: time::Duration::from_millis(node.settings.idle_timeout_ms),
    };
    let counters: sync::Arc<dyn view::CounterSink> = sync::Arc::clone(&node.metrics) as _;
    let application = caller::application(sync::Arc::clone(node));
    task::spawn(accept::serve(
        listeners.caller,
        application,
        limits,
        sync::Arc::clone(&counters),
        accepting.token(),
    ));
    let limits = accept::AcceptLimits {
        max_connections: ADMIN_CONNECTIONS,
        ..limits
    };
    let application = admin::application(sync::Arc::clone(node));
    task::spawn(accept::serve(
        listeners.admin,
        application,
        limits,
        counters,
        process.token(),
    ));
    let handler: sync::Arc<dyn peer::PeerHandler> = sync::Arc::clone(node) as _;
    let ring = sync::Arc::clone(&node.ring);
    task::spawn(peer_server::serve(
        listeners.peer,
        handler,
        ring,
        process.token(),
    ));
}

fn spawn_background(
    node: &sync::Arc<node::RouterNode>,
    platform: sync::Arc<dyn platform::PlatformService>,
    process: &stop_token::StopSource,
) {
    let gossip = sync::Arc::clone(&node.gossip);
    let token = process.token();
    task::spawn(async move { gossip.run(token).await });
    let gossip = sync::Arc::clone(&node.gossip);
    let readiness = sync::Arc::clone(&node.readiness);
    let issuer = issuer(node, &platform);
    let orders = sync::Arc::clone(&issuer);
    // A router without a version polls the table service itself, whichever routers are pollers.
    // A lease holder does too, so that it never issues orders under a stale version for long.
    let is_poller = move || !readiness.may_serve() || gossip.is_poller() || issuer.holds_lease();
    let store = store::VersionStore::new(sync::Arc::clone(&platform));
    let cell = sync::Arc::clone(&node.config);
    task::spawn(poll::run(cell, store, Box::new(is_poller), process.token()));
    task::spawn(update_tasks::pull_newer_versions(
        sync::Arc::clone(node),
        process.token(),
    ));
    task::spawn(node.watcher.clone().watch_reports(process.token()));
    let gossip = sync::Arc::clone(&node.gossip);
    let is_reader = move || gossip.is_poller();
    task::spawn(node.watcher.clone().watch_vms(is_reader, process.token()));
    let endpoints = sync::Arc::clone(&node.endpoints);
    let watch = report_poller::EngineReportPoller::new(endpoints, sync::Arc::clone(&orders));
    task::spawn(watch.run(process.token()));
    let token = process.token();
    task::spawn(async move { orders.run(token).await });
    task::spawn(catch_up::watch(
        sync::Arc::clone(node),
        platform,
        process.token(),
    ));
    task::spawn(update_tasks::refresh_shares(
        sync::Arc::clone(node),
        process.token(),
    ));
    let memory = sync::Arc::clone(&node.caller_memory);
    task::spawn(memory.release_unused(process.token()));
}

fn issuer(
    node: &node::RouterNode,
    platform: &sync::Arc<dyn platform::PlatformService>,
) -> sync::Arc<issuer::OrderIssuer> {
    let catalog = engine_catalog::EngineCatalog {
        config: sync::Arc::clone(&node.config),
        endpoints: sync::Arc::clone(&node.endpoints),
        members: sync::Arc::clone(&node.members),
        readiness: sync::Arc::clone(&node.readiness),
    };
    sync::Arc::new(issuer::OrderIssuer::new(
        node.settings.router.clone(),
        sync::Arc::clone(platform),
        sync::Arc::new(order_client::OrderClient),
        sync::Arc::new(catalog),
        sync::Arc::clone(&node.ring),
    ))
}
