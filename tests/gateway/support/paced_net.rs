//! Gateways in one process, over links and to a store of limited bandwidth.

use std::collections;
use std::fmt::Write as _;
use std::sync;
use std::sync::atomic;
use std::time;

use async_std::{future as timer, task};
use futures::FutureExt as _;
use futures::future;
use kumquatpulley::connection::{peer, peer_stream, peer_wire};
use kumquatpulley::platform;
use kumquatpulley::process::gateway::{assembly, boot_clock, node, rows, settings, start};
use kumquatpulley::process::members::peering;
use kumquatpulley::process::telemetry::{metrics, timeline};

/// Bytes that a link passes on before another transfer has its turn.
const FRAME_BYTES: u32 = 16 * 1024;

/// Interval at which a waiting read of the store looks for a change.
const STORE_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// The link of one VM in one direction. Transfers share it frame by frame; one that is given up takes
/// no further frames.
#[derive(Debug)]
struct PacedLink {
    bytes_per_second: u32,
    free_at: parking_lot::Mutex<time::Instant>,
    carried: atomic::AtomicU64,
}

impl PacedLink {
    fn new(bytes_per_second: u32) -> Self {
        Self {
            bytes_per_second,
            free_at: parking_lot::Mutex::new(time::Instant::now()),
            carried: atomic::AtomicU64::default(),
        }
    }

    async fn carry(&self, bytes: usize) {
        let mut left = u32::try_from(bytes).expect("a legal message");
        while left > 0 {
            let frame = left.min(FRAME_BYTES);
            left -= frame;
            let now = time::Instant::now();
            let ready_at = {
                let mut free_at = self.free_at.lock();
                let took = time::Duration::from_secs(1) * frame / self.bytes_per_second;
                *free_at = now.max(*free_at) + took;
                *free_at
            };
            self.carried
                .fetch_add(u64::from(frame), atomic::Ordering::SeqCst);
            task::sleep(ready_at.saturating_duration_since(now)).await;
        }
    }
}

/// A gateway and the link of its VM to all others.
type LinkedNode = (sync::Arc<node::GatewayNode>, sync::Arc<PacedLink>);

/// All VMs by peer address.
#[derive(Debug, Default)]
struct PacedNet {
    vms: parking_lot::Mutex<collections::HashMap<String, LinkedNode>>,
}

/// One VM's view of the net.
#[derive(Debug)]
struct NetView {
    net: sync::Arc<PacedNet>,
    outgoing: sync::Arc<PacedLink>,
    ring: sync::Arc<timeline::EventRing>,
}

impl NetView {
    async fn exchange(
        &self,
        address: &str,
        query: peer_wire::QueryBody,
    ) -> peer::Result<peer_wire::ReplyBody> {
        let vm = self.net.vms.lock().get(address).cloned();
        let (node, link) =
            vm.ok_or_else(|| peer::PeerError::NotSent("nobody listens".to_owned()))?;
        let stamp = self.ring.stamp();
        let query = peer_wire::PeerQuery { stamp, body: query };
        self.outgoing.carry(encoded_size(&query)).await;
        let body = peer::PeerHandler::handle(node.as_ref(), query.body).await;
        let reply = peer_wire::PeerReply { stamp, body };
        link.carry(encoded_size(&reply)).await;
        Ok(reply.body)
    }
}

fn encoded_size<T: serde::Serialize>(message: &T) -> usize {
    peer_stream::encode(message).expect("a legal message").len()
}

impl peer::PeerLink for NetView {
    fn ask<'a>(
        &'a self,
        address: &'a str,
        query: peer_wire::QueryBody,
        limit: time::Duration,
    ) -> future::BoxFuture<'a, peer::Result<peer_wire::ReplyBody>> {
        async move {
            let reply = timer::timeout(limit, self.exchange(address, query)).await;
            reply.unwrap_or_else(|_late| Err(peer::PeerError::NoReply("too late".to_owned())))
        }
        .boxed()
    }
}

/// The operators' configuration, as all VMs can read it.
#[derive(Debug, Default)]
pub struct SharedStore {
    config: parking_lot::Mutex<Option<(Vec<u8>, u64)>>,
    /// Whether it turns away all VMs but the first.
    pub serves_first_only: atomic::AtomicBool,
}

impl SharedStore {
    pub fn put_config(&self, config: &str) {
        let mut stored = self.config.lock();
        let version = stored.as_ref().map_or(0, |(_value, version)| *version) + 1;
        *stored = Some((config.as_bytes().to_vec(), version));
    }

    fn changes(&self, topic: rows::RowTopic, after: u64) -> rows::RowBatch {
        let stored = self.config.lock().clone();
        let version = stored.as_ref().map_or(0, |(_value, version)| *version);
        let row =
            stored.filter(|(_value, version)| topic == rows::RowTopic::Config && *version > after);
        let row = row.map(|(value, version)| rows::RowChange {
            key: "config".to_owned(),
            value: Some(value),
            version,
        });
        rows::RowBatch {
            rows: row.into_iter().collect(),
            version,
            era: 0,
            now_ms: u64::try_from(boot_clock::BootInstant::now().0.as_millis()).expect("a time"),
        }
    }
}

/// One VM's access to the store.
#[derive(Debug)]
struct StoreView {
    store: sync::Arc<SharedStore>,
    link: sync::Arc<PacedLink>,
    is_first: bool,
}

impl StoreView {
    async fn read(
        &self,
        topic: rows::RowTopic,
        after: u64,
        wait: time::Duration,
    ) -> rows::Result<rows::RowBatch> {
        let until = time::Instant::now() + wait;
        loop {
            if !self.is_first && self.store.serves_first_only.load(atomic::Ordering::SeqCst) {
                return Err(rows::RowError::Unavailable("turned away".to_owned()));
            }
            let batch = self.store.changes(topic, after);
            if !batch.rows.is_empty() || time::Instant::now() >= until {
                let values = batch.rows.iter().filter_map(|row| row.value.as_ref());
                let bytes: usize = values.map(Vec::len).sum();
                // The store encodes values in base64.
                self.link.carry(bytes * 4 / 3).await;
                return Ok(batch);
            }
            task::sleep(STORE_CHECK_INTERVAL).await;
        }
    }
}

impl rows::RowStore for StoreView {
    fn read_all(
        &self,
        topic: rows::RowTopic,
    ) -> future::BoxFuture<'_, rows::Result<rows::RowBatch>> {
        self.read(topic, 0, time::Duration::ZERO).boxed()
    }

    fn read_changes(
        &self,
        topic: rows::RowTopic,
        after: u64,
        wait: time::Duration,
    ) -> future::BoxFuture<'_, rows::Result<rows::RowBatch>> {
        self.read(topic, after, wait).boxed()
    }

    fn read_range<'a>(
        &'a self,
        _topic: rows::RowTopic,
        _from: &'a str,
        _to: &'a str,
    ) -> future::BoxFuture<'a, rows::Result<rows::RowBatch>> {
        future::ready(Ok(rows::RowBatch::default())).boxed()
    }

    fn write_rows<'a>(
        &'a self,
        _topic: rows::RowTopic,
        _puts: &'a [(String, Vec<u8>)],
        _removed: &'a [String],
    ) -> future::BoxFuture<'a, rows::Result<()>> {
        future::ready(Ok(())).boxed()
    }

    fn put<'a>(
        &'a self,
        _topic: rows::RowTopic,
        _key: &'a str,
        _value: &'a [u8],
    ) -> future::BoxFuture<'a, rows::Result<()>> {
        future::ready(Ok(())).boxed()
    }

    fn put_matching<'a>(
        &'a self,
        _writes: &'a [rows::RowWrite<'a>],
    ) -> future::BoxFuture<'a, rows::Result<()>> {
        future::ready(Ok(())).boxed()
    }
}

/// Running gateways of one availability zone and their store. They stop when this is dropped.
#[derive(Debug)]
pub struct PacedZone {
    pub store: sync::Arc<SharedStore>,
    pub nodes: Vec<sync::Arc<node::GatewayNode>>,
    net: sync::Arc<PacedNet>,
    _stop: stop_token::StopSource,
}

impl PacedZone {
    /// Bytes sent by all gateways to each other, those of transfers that were given up included.
    pub fn sent_bytes(&self) -> u64 {
        let vms = self.net.vms.lock();
        let links = vms.values().map(|(_node, link)| link);
        links
            .map(|link| link.carried.load(atomic::Ordering::SeqCst))
            .sum()
    }

    /// Starts `count` gateways with links of `bytes_per_second` each.
    pub fn start(count: usize, bytes_per_second: u32) -> Self {
        let store = sync::Arc::<SharedStore>::default();
        let net = sync::Arc::<PacedNet>::default();
        let stop = stop_token::StopSource::new();
        let nodes = (0..count)
            .map(|index| start_vm(index, bytes_per_second, &net, &store, &stop))
            .collect();
        Self {
            store,
            nodes,
            net,
            _stop: stop,
        }
    }
}

fn start_vm(
    index: usize,
    bytes_per_second: u32,
    net: &sync::Arc<PacedNet>,
    store: &sync::Arc<SharedStore>,
    stop: &stop_token::StopSource,
) -> sync::Arc<node::GatewayNode> {
    let settings = vm_settings(index);
    let address = settings.peer_listen.to_string();
    let outgoing = sync::Arc::new(PacedLink::new(bytes_per_second));
    let from_store = sync::Arc::new(PacedLink::new(bytes_per_second));
    let identity = assembly::identity(&settings);
    let ring = sync::Arc::new(timeline::EventRing::new(settings.router.clone()));
    let link = sync::Arc::new(NetView {
        net: sync::Arc::clone(net),
        outgoing: sync::Arc::clone(&outgoing),
        ring: sync::Arc::clone(&ring),
    });
    let peers = peering::PeerComponents::with_link(identity, settings.seeds.clone(), ring, link);
    let adapters = start::PlatformAdapters {
        store: sync::Arc::new(StoreView {
            store: sync::Arc::clone(store),
            link: sync::Arc::clone(&from_store),
            is_first: index == 0,
        }),
        ..platform::adapters(&settings)
    };
    let metrics = metrics::RouterMetrics::new(None).expect("no socket is needed");
    let node = assembly::assemble(
        settings,
        &adapters,
        sync::Arc::new(metrics),
        peers,
        stop.token(),
    );
    let vm = (sync::Arc::clone(&node), outgoing);
    net.vms.lock().insert(address, vm);
    start::spawn_control(&node, stop);
    node
}

fn vm_settings(index: usize) -> settings::GatewaySettings {
    let address = |index: usize, port: u16| {
        let text = format!("10.0.{}.{}:{port}", index / 250, index % 250 + 1);
        text.parse().expect("an address")
    };
    settings::GatewaySettings {
        router: format!("g{index:03}"),
        zone: "z1".to_owned(),
        caller_listen: address(index, 8227),
        ready_listen: None,
        address_listen: None,
        peer_listen: address(index, 8229),
        metrics_listen: None,
        seeds: vec![address(0, 8229).to_string()],
        store: address(0, 8223),
        memory_bytes: 96 * 1024 * 1024,
        max_descriptors: 1_024,
        is_first_start: true,
        follows_rollouts: false,
        bounds: settings::GatewayBounds {
            max_key_age: Some(time::Duration::from_secs(5)),
            propagation_limit: PROPAGATION_LIMIT,
            stop_grace: time::Duration::from_secs(8),
            max_address_ttl: time::Duration::from_secs(5),
            reregistration_grace: time::Duration::from_secs(2),
            retry_ratio: 0.8,
            retry_slack: 150.0,
            retry_window: time::Duration::from_secs(10),
            expose_share: 0.1,
            expose_slack: 50.0,
            rollback_limit: time::Duration::from_secs(5),
        },
    }
}

/// Time within which each VM must have a version that the store has acknowledged.
pub const PROPAGATION_LIMIT: time::Duration = time::Duration::from_secs(3);

/// A configuration whose last route depends on its number.
pub fn config(number: u64, routes: usize) -> String {
    let mut text = format!(r#"{{"version":{number},"routes":["#);
    for index in 0..routes {
        let timeout = if index + 1 == routes {
            1_000 + number
        } else {
            1_000
        };
        // Names and paths are as hard to compress as random ones.
        let name = fastrand::Rng::with_seed(index as u64).u64(..);
        let _infallible = write!(
            text,
            r#"{{"name":"r{name:016x}","host":"h{}.example","prefix":"/{:08x}/","kind":"safe","timeout_ms":{timeout},"goal_ms":200,"priority":2,"attempts":2,"public":false,"service":"desk"}},"#,
            index % 7,
            name >> 24,
        );
    }
    text.pop();
    text.push_str(r#"],"services":[{"name":"desk","health_path":"/health"}],"limits":{}}"#);
    text
}
