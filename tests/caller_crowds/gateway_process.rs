//! One gateway with lowered limits, between a store, two endpoints and its callers.

use std::fs;
use std::net;
use std::process;
use std::sync;
use std::thread;
use std::time;

use crate::crowd;
use crate::support::system::System;
use crate::support::{caller, fake_store, fakes, router};

/// Memory of the VM according to the settings.
pub const MEMORY_MB: u64 = 96;

/// Descriptors of the VM according to the settings: few, so that a small crowd reaches the limit.
pub const MAX_DESCRIPTORS: usize = 600;

/// Largest legal body according to the configuration.
pub const MAX_BODY_BYTES: usize = 4_194_304;

/// Longest wait for a condition.
const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Port of the metrics address, as the deployment file sets it.
const METRICS_PORT: u16 = 9464;

/// Held by each test, so that it runs alone: its load would disturb others.
static TURN: sync::Mutex<()> = sync::Mutex::new(());

#[derive(Debug)]
pub struct CrowdedGateway {
    pub endpoints: [fakes::FakeEndpoint; 2],
    pub ip: net::IpAddr,
    pub watch: crowd::ProcessWatch,
    gateway: router::GatewayProcess,
    folder: tempfile::TempDir,
    _store: fake_store::FakeStore,
    _turn: sync::MutexGuard<'static, ()>,
}

impl CrowdedGateway {
    pub fn start() -> Self {
        let turn = TURN.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let net = router::loopback_net();
        let ip = |last| net::IpAddr::from([net[0], net[1], net[2], last]);
        let store = fake_store::FakeStore::new(ip(250));
        let endpoints = [(240, "e1"), (241, "e2")];
        let endpoints = endpoints.map(|(last, name)| fakes::FakeEndpoint::start(ip(last), name));
        let config = System::config(1, r#""k""#)
            .replace(r#""max_header_bytes":4096"#, r#""max_header_bytes":16384"#)
            .replace(r#""max_body_bytes":10000"#, r#""max_body_bytes":4194304"#)
            .replace(r#""header_timeout_ms":1000"#, r#""header_timeout_ms":3000"#)
            .replace(r#""idle_timeout_ms":5000"#, r#""idle_timeout_ms":15000"#)
            .replace(r#""timeout_ms":3000"#, r#""timeout_ms":8000"#);
        store.put("op", "config", config.as_bytes());
        for endpoint in &endpoints {
            store.put(
                "servers",
                &endpoint.name,
                &endpoint.entry("m", "z1", "ready"),
            );
        }
        let folder = tempfile::tempdir().expect("a folder");
        let store_address = store.open_listener();
        let gateway = spawn(folder.path(), ip(1), store_address);
        let started = Self {
            endpoints,
            ip: ip(1),
            watch: crowd::ProcessWatch::start(gateway.child.id()),
            gateway,
            folder,
            _store: store,
            _turn: turn,
        };
        wait_for("the gateway is ready", || {
            System::get(started.ip, 8220, "/ready") == 200
        });
        started
    }

    /// Address for callers.
    pub fn address(&self) -> net::SocketAddr {
        (self.ip, 8227).into()
    }

    pub fn logs(&self) -> String {
        fs::read_to_string(self.folder.path().join("g1.log")).unwrap_or_default()
    }

    /// Whether the process runs.
    pub fn is_alive(&mut self) -> bool {
        self.gateway.child.try_wait().expect("a process").is_none()
    }

    /// A counter or gauge of the metrics page.
    pub fn metric(&self, name: &str) -> Option<f64> {
        let text = "GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        let page = caller::exchange((self.ip, METRICS_PORT).into(), text.as_bytes())?.text();
        let name = format!("kumquatpulley_{name} ");
        let value = |line: &str| line.strip_prefix(&name)?.trim().parse().ok();
        page.lines().find_map(value)
    }

    /// Whether a request with this id reached an endpoint.
    pub fn has_reached_endpoint(&self, id: &str) -> bool {
        let received = self
            .endpoints
            .iter()
            .flat_map(fakes::FakeEndpoint::received);
        let mut ids = received.filter_map(|request| request.field("Kumquatpulley-Request-Id"));
        ids.any(|received| received == id)
    }
}

pub fn wait_for(what: &str, is_true: impl Fn() -> bool) {
    let until = time::Instant::now() + WAIT_TIMEOUT;
    while !is_true() {
        assert!(time::Instant::now() < until, "{what}: not in time");
        thread::sleep(time::Duration::from_millis(20));
    }
}

fn spawn(
    folder: &std::path::Path,
    ip: net::IpAddr,
    store_address: net::SocketAddr,
) -> router::GatewayProcess {
    let settings = format!(
        "node: g1\nip: {ip}\nzone: z1\nbootstrap: true\n\
         listen: {{front: '{ip}:8227', ready: '{ip}:8220', \
         control: '{ip}:8229', directory: '{ip}:8224'}}\nseeds: ['{ip}:8229']\n\
         limits: {{memory_mb: {MEMORY_MB}, max_fds: {MAX_DESCRIPTORS}}}\n\
         bounds: {{strict_revoke: true, revoke_ms: 4000, grace_s: 4, ttl_max_s: 5, \
         budget_ratio: 0.8, budget_slack: 300, budget_window_s: 10}}\n\
         platform: {{addr: '{store_address}'}}\n"
    );
    let file = folder.join("g1.yaml");
    fs::write(&file, settings).expect("a file");
    let log = fs::File::create(folder.join("g1.log")).expect("a log");
    let child = process::Command::new(env!("CARGO_BIN_EXE_kumquatpulleyd"))
        .arg("--platform")
        .env("KUMQUATPULLEY_NODE_FILE", &file)
        .stdout(log)
        .spawn()
        .expect("the daemon starts");
    router::GatewayProcess {
        child,
        ip,
        store_address,
    }
}
