//! Gateway processes, each on its own loopback address.

use std::fs;
use std::net;
use std::path;
use std::process;
use std::sync::atomic;
use std::time;

/// Grace period of gateways in tests that do not set one.
pub const USUAL_GRACE: time::Duration = time::Duration::from_secs(4);

/// Retries that gateways may send in tests that do not set their number.
pub const USUAL_RETRY_SLACK: u32 = 300;

static NEXT_NET: atomic::AtomicU16 = atomic::AtomicU16::new(0);

/// Returns a loopback prefix of one test, so that concurrent tests can use the same ports.
pub fn loopback_net() -> [u8; 3] {
    let number = NEXT_NET.fetch_add(1, atomic::Ordering::SeqCst);
    let [high, low] = number.to_be_bytes();
    let process = process::id().to_le_bytes();
    let third = process[1]
        .wrapping_add(high)
        .wrapping_mul(31)
        .wrapping_add(low);
    [127, process[0].max(1), third]
}

/// One gateway process; it is killed when this is dropped.
#[derive(Debug)]
pub struct GatewayProcess {
    pub child: process::Child,
    pub ip: net::IpAddr,
    /// Address at which it reaches the store.
    pub store_address: net::SocketAddr,
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ended = self.child.kill();
        let _reaped = self.child.wait();
    }
}

/// Whether a gateway starts together with all others for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartKind {
    First,
    Later,
}

/// How a gateway is started.
#[derive(Clone, Copy, Debug)]
pub struct GatewayStart {
    pub kind: StartKind,
    /// Time from SIGTERM to SIGKILL.
    pub grace: time::Duration,
    /// Retries that all gateways together may send in each window, beyond those in proportion to
    /// requests.
    pub retry_slack: u32,
    /// Whether the settings have the contract for roll-outs.
    pub follows_rollouts: bool,
}

impl GatewayStart {
    /// A start with the usual grace period.
    pub const fn new(kind: StartKind) -> Self {
        Self {
            kind,
            grace: USUAL_GRACE,
            retry_slack: USUAL_RETRY_SLACK,
            follows_rollouts: false,
        }
    }
}

/// Starts gateway `number` of a network, with its settings and its log in `folder`.
pub fn spawn(
    folder: &path::Path,
    net: [u8; 3],
    number: u8,
    store_address: net::SocketAddr,
    start: GatewayStart,
) -> GatewayProcess {
    let ip = net::IpAddr::from([net[0], net[1], net[2], number]);
    let seed = net::IpAddr::from([net[0], net[1], net[2], 1]);
    let is_first = start.kind == StartKind::First;
    let grace_s = start.grace.as_secs_f64();
    let retry_slack = start.retry_slack;
    let contracts = if start.follows_rollouts {
        "contracts: [rollout]\n"
    } else {
        ""
    };
    let settings = format!(
        "node: g{number}\nip: {ip}\nzone: z1\nbootstrap: {is_first}\n\
         listen: {{front: '{ip}:8227', ready: '{ip}:8220', \
         control: '{ip}:8229', directory: '{ip}:8224'}}\nseeds: ['{seed}:8229']\n\
         limits: {{memory_mb: 96, max_fds: 2870}}\nbounds: {{strict_revoke: true, \
         revoke_ms: 4000, grace_s: {grace_s}, ttl_max_s: 5, budget_ratio: 0.8, \
         budget_slack: {retry_slack}, budget_window_s: 10}}\nplatform: {{addr: '{store_address}'}}\n{contracts}"
    );
    let file = folder.join(format!("g{number}.yaml"));
    fs::write(&file, settings).expect("a file");
    let log = fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(folder.join(format!("g{number}.log")));
    let child = process::Command::new(env!("CARGO_BIN_EXE_kumquatpulleyd"))
        .arg("--platform")
        .env("KUMQUATPULLEY_NODE_FILE", &file)
        .stdout(log.expect("a log"))
        .spawn()
        .expect("the daemon starts");
    GatewayProcess {
        child,
        ip,
        store_address,
    }
}

/// Sends a signal to a gateway that was not reaped yet.
pub fn signal(gateway: &GatewayProcess, signal: rustix::process::Signal) {
    let pid = i32::try_from(gateway.child.id()).expect("a process id");
    let pid = rustix::process::Pid::from_raw(pid).expect("a process id");
    rustix::process::kill_process(pid, signal).expect("it was not waited for");
}
