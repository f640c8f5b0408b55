//! A complete system on loopback: a store, endpoints in two availability zones, and gateways.

use std::fs;
use std::net;
use std::ops;
use std::thread;
use std::time;

use crate::support::{caller, fake_store, fakes, router};

/// Longest wait for a condition in [`System::wait_for`].
const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(15);

/// A store, endpoints in two availability zones, and gateways.
#[derive(Debug)]
pub struct System {
    pub net: [u8; 3],
    pub folder: tempfile::TempDir,
    pub store: fake_store::FakeStore,
    pub first: fakes::FakeEndpoint,
    pub second: fakes::FakeEndpoint,
    pub gateways: Vec<router::GatewayProcess>,
    /// Grace period of the gateways.
    pub grace: time::Duration,
    /// Retries that all gateways together may send in each window.
    pub retry_slack: u32,
    /// Whether the settings of the gateways have the contract for roll-outs.
    pub follows_rollouts: bool,
}

const CONFIG: &str = r#"{"version":VERSION,"routes":[
    {"name":"stream","host":"h","prefix":"/stream/","kind":"stream","timeout_ms":20000,"goal_ms":4500,
     "service":"m","attempts":5,"can_resume":true,"gap_goal_ms":700},
    {"name":"once","host":"h","prefix":"/once/","kind":"unsafe","timeout_ms":3000,"service":"m","attempts":1},
    {"name":"safe","host":"h","prefix":"/safe/","kind":"safe","timeout_ms":3000,"service":"m","attempts":2},
    {"name":"open","host":"h","prefix":"/open/","kind":"safe","timeout_ms":3000,"service":"m","attempts":2,
     "public":true}],
    "services":[{"name":"m","health_path":"/health","engine":{"backups":true,"moves":true}}],
    "limits":{"max_header_bytes":4096,"max_body_bytes":10000,"header_timeout_ms":1000,"idle_timeout_ms":5000},
    "tenants":[{"name":"w","api_keys":[KEYS]}]}"#;

impl System {
    pub fn start(gateways: u8) -> Self {
        Self::start_with_grace(gateways, router::USUAL_GRACE)
    }

    pub fn start_with_grace(gateways: u8, grace: time::Duration) -> Self {
        let start = router::GatewayStart {
            grace,
            ..router::GatewayStart::new(router::StartKind::First)
        };
        Self::start_system(gateways, start, &Self::config(1, r#""k""#))
    }

    /// Starts gateways that together may send so few retries in each window.
    pub fn start_with_retry_slack(gateways: u8, slack: u32) -> Self {
        let start = router::GatewayStart {
            retry_slack: slack,
            ..router::GatewayStart::new(router::StartKind::First)
        };
        Self::start_system(gateways, start, &Self::config(1, r#""k""#))
    }

    /// Starts gateways with this configuration.
    pub fn start_configured(gateways: u8, config: &str) -> Self {
        let start = router::GatewayStart::new(router::StartKind::First);
        Self::start_system(gateways, start, config)
    }

    /// Starts gateways whose settings have the contract for roll-outs.
    pub fn start_with_rollouts(gateways: u8) -> Self {
        let start = router::GatewayStart {
            follows_rollouts: true,
            ..router::GatewayStart::new(router::StartKind::First)
        };
        Self::start_system(gateways, start, &Self::config(1, r#""k""#))
    }

    fn start_system(gateways: u8, start: router::GatewayStart, config: &str) -> Self {
        let net = router::loopback_net();
        let ip = |last| net::IpAddr::from([net[0], net[1], net[2], last]);
        let store = fake_store::FakeStore::new(ip(250));
        let mut system = Self {
            net,
            folder: tempfile::tempdir().expect("a folder"),
            store,
            first: fakes::FakeEndpoint::start(ip(240), "e1"),
            second: fakes::FakeEndpoint::start(ip(241), "e2"),
            gateways: Vec::new(),
            grace: start.grace,
            retry_slack: start.retry_slack,
            follows_rollouts: start.follows_rollouts,
        };
        system.store.put("op", "config", config.as_bytes());
        system
            .store
            .put("servers", "e1", &system.first.entry("m", "z1", "ready"));
        system
            .store
            .put("servers", "e2", &system.second.entry("m", "z2", "ready"));
        for number in 1..=gateways {
            let store_address = system.store.open_listener();
            let folder = system.folder.path();
            let gateway = router::spawn(folder, system.net, number, store_address, start);
            system.gateways.push(gateway);
        }
        for gateway in &system.gateways {
            system.wait_for("a gateway is ready", || {
                System::get(gateway.ip, 8220, "/ready") == 200
            });
        }
        system
    }

    /// Kills the gateway with this index; returns its address and that of its store.
    pub fn kill(&mut self, index: usize) -> (net::IpAddr, net::SocketAddr) {
        let gateway = self.gateways.remove(index);
        (gateway.ip, gateway.store_address)
    }

    /// Starts a gateway that was killed, again with this index.
    pub fn start_again(&mut self, index: usize, killed: (net::IpAddr, net::SocketAddr)) {
        let (ip, store_address) = killed;
        let number = match ip {
            net::IpAddr::V4(ip) => ip.octets()[3],
            net::IpAddr::V6(_) => unreachable!("the tests use IPv4"),
        };
        let start = router::GatewayStart {
            kind: router::StartKind::Later,
            grace: self.grace,
            retry_slack: self.retry_slack,
            follows_rollouts: self.follows_rollouts,
        };
        let gateway = router::spawn(self.folder.path(), self.net, number, store_address, start);
        self.gateways.insert(index, gateway);
    }

    /// Kills the gateways with these indices, then starts them again; returns when each was started.
    pub fn restart(&mut self, indices: ops::Range<usize>) -> Vec<(net::IpAddr, time::Instant)> {
        let first = indices.start;
        let killed: Vec<_> = indices.clone().map(|_index| self.kill(first)).collect();
        let started = indices.zip(killed).map(|(index, killed)| {
            self.start_again(index, killed);
            let (ip, _store_address) = killed;
            (ip, time::Instant::now())
        });
        started.collect()
    }

    pub fn put_config(&self, version: u64, keys: &str) {
        let text = Self::config(version, keys);
        self.store.put("op", "config", text.as_bytes());
    }

    /// Writes the text of a configuration and waits until its version is in force.
    pub fn put_in_force(&self, version: u64, text: &str) {
        self.store.put("op", "config", text.as_bytes());
        let number = format!(r#""version":{version}}}"#);
        self.wait_for_line(&["version in force", &number]);
    }

    /// Waits until a log line has all `parts`. A line may be written after its request was answered.
    pub fn wait_for_line(&self, parts: &[&str]) {
        self.wait_for(&format!("a log line with {parts:?}"), || {
            let logs = self.logs();
            let mut lines = logs.lines();
            lines.any(|line| parts.iter().all(|part| line.contains(part)))
        });
    }

    /// Waits until the newest list of endpoints has `count`.
    pub fn wait_for_known(&self, count: usize) {
        let known = format!(r#""known":{count},"#);
        self.wait_for(&format!("{count} endpoints are known"), || {
            let logs = self.logs();
            let mut lines = logs.lines();
            let newest = lines.rfind(|line| line.contains("endpoints changed"));
            newest.is_some_and(|line| line.contains(&known))
        });
    }

    /// The text of a configuration with these keys, each in quotes.
    pub fn config(version: u64, keys: &str) -> String {
        CONFIG
            .replace("VERSION", &version.to_string())
            .replace("KEYS", keys)
    }

    pub fn wait_for(&self, what: &str, is_true: impl Fn() -> bool) {
        let until = time::Instant::now() + WAIT_TIMEOUT;
        while !is_true() {
            assert!(
                time::Instant::now() < until,
                "{what}: not within {WAIT_TIMEOUT:?}; {}",
                self.logs()
            );
            thread::sleep(time::Duration::from_millis(20));
        }
    }

    pub fn logs(&self) -> String {
        let files = fs::read_dir(self.folder.path()).expect("a folder");
        let files = files.filter_map(|file| fs::read_to_string(file.ok()?.path()).ok());
        files.collect::<Vec<String>>().join("\n")
    }

    pub const fn endpoints(&self) -> [&fakes::FakeEndpoint; 2] {
        [&self.first, &self.second]
    }

    pub fn gateway_ips(&self) -> Vec<net::IpAddr> {
        self.gateways.iter().map(|gateway| gateway.ip).collect()
    }

    pub fn ip(&self) -> net::IpAddr {
        self.gateways[0].ip
    }

    pub fn get(ip: net::IpAddr, port: u16, path: &str) -> u16 {
        let text = format!("GET {path} HTTP/1.1\r\nHost: h\r\n\r\n");
        caller::exchange((ip, port).into(), text.as_bytes()).map_or(0, |answer| answer.head.status)
    }

    pub fn send(ip: net::IpAddr, path: &str, id: &str) -> Option<caller::Answer> {
        caller::exchange((ip, 8227).into(), caller::request(path, id, "k").as_bytes())
    }

    /// Requests with this id that reached endpoints, in order of arrival.
    pub fn arrivals(&self, id: &str) -> Vec<fakes::ReceivedRequest> {
        let mut arrivals = self.first.received();
        arrivals.extend(self.second.received());
        arrivals.retain(|request| request.field("Kumquatpulley-Request-Id").as_deref() == Some(id));
        arrivals.sort_by_key(|request| request.at);
        arrivals
    }

    pub fn set_modes(&self, mode: fakes::EndpointMode) {
        self.first.set_mode(mode);
        self.second.set_mode(mode);
    }

    /// Sets the mode of the first endpoint; the second one refuses all requests as full.
    pub fn set_first_mode(&self, mode: fakes::EndpointMode) {
        self.first.set_mode(mode);
        self.second.set_mode(fakes::EndpointMode::Full);
    }

    /// A system of one gateway whose streams cannot be resumed, so that they may run once only.
    pub fn start_unresumable() -> Self {
        let system = Self::start(1);
        let config = Self::config(2, r#""k""#).replace(r#""can_resume":true,"#, "");
        system.put_in_force(2, &config);
        system
    }
}
