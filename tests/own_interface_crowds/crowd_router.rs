//! A router of this build with a plain service and a platform, all ended with the test.

use std::fs;
use std::io::{Read as _, Write as _};
use std::net;
use std::process;
use std::thread;
use std::time;

use crate::port_claim;
use crate::program;
use crate::stand_in;

/// `max_in_flight` of the workspace.
pub const MAX_IN_FLIGHT: usize = 8;

/// Time within which a router has to do what it is asked.
const LIMIT: time::Duration = time::Duration::from_secs(30);

/// Time within which a connection ends after a refusal.
const REFUSAL_LIMIT: time::Duration = time::Duration::from_secs(5);

const LOG_FILE: &str = "router.log";
const STEP: time::Duration = time::Duration::from_millis(20);

/// Answers come late, so that the bodies that are relayed are held together.
const SLOW_ANSWERS: &str = "{\"late_ms\": 300}";

/// SHA-256 of the bearer key `demo-key`.
const KEY_HASH: &str = "c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c";

const ORDINARY_REQUEST: &str = "POST /s/s/orders HTTP/1.1\r\nHost: h\r\n\
     Authorization: Bearer demo-key\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello";

/// A running router that serves calls.
#[derive(Debug)]
pub struct CrowdRouter {
    /// Address for callers.
    pub listen: net::SocketAddr,
    admin: net::SocketAddr,
    process: process::Child,
    folder: tempfile::TempDir,
    _claims: [port_claim::PortClaim; 3],
    service: stand_in::StandIn,
    platform: stand_in::StandIn,
}

impl CrowdRouter {
    /// Starts a router with these limits and waits until it is ready.
    pub fn start(max_body_bytes: usize, max_connections: usize) -> Self {
        Self::start_with(&format!(
            "max_body_bytes: {max_body_bytes}\nmax_connections: {max_connections}\n"
        ))
    }

    /// Starts a router with these lines in its settings and waits until it is ready.
    pub fn start_with(lines: &str) -> Self {
        let platform = stand_in::platform();
        let service = stand_in::start("plain_service", &[]);
        service.fault(SLOW_ANSWERS);
        let folder = tempfile::tempdir().expect("temporary folder");
        let file = folder.path().join("router.yaml");
        let claims = [(); 3].map(|()| port_claim::PortClaim::take().expect("a free port"));
        let [listen, peer, admin] = [0, 1, 2].map(|index: usize| claims[index].address);
        let settings = format!(
            "router: r1\nzone: zone-a\nlisten: {listen}\npeer_listen: {peer}\n\
             admin_listen: {admin}\nplatform: {}\naddress_keep_ms: 100\n{lines}",
            platform.listen
        );
        fs::write(&file, settings).expect("settings file");
        let log = fs::File::create(folder.path().join(LOG_FILE)).expect("log file");
        let process = process::Command::new(env!("CARGO_BIN_EXE_kumquatpulleyd"))
            .arg("--config")
            .arg(&file)
            .stderr(log)
            .spawn()
            .expect("daemon");
        let router = Self {
            listen,
            admin,
            process,
            folder,
            _claims: claims,
            service,
            platform,
        };
        router.apply();
        router
    }

    fn apply(&self) {
        let file = self.folder.path().join("declarations.yaml");
        let yaml = format!(
            "services:\n  - name: s\n    endpoints:\n      \
             - {{name: e1, address: \"{}\", zone: zone-a}}\n\
             workspaces:\n  - {{name: w, key_hashes: [{KEY_HASH}], max_in_flight: {MAX_IN_FLIGHT}}}\n\
             routes:\n  - {{path: /, service: s}}\n",
            self.service.listen
        );
        fs::write(&file, yaml).expect("declaration file");
        let started = time::Instant::now();
        loop {
            let output = program::run(
                self.folder.path(),
                &[
                    "apply",
                    &file.to_string_lossy(),
                    "--wait",
                    "--platform",
                    &self.platform.listen.to_string(),
                    "--router",
                    &self.admin.to_string(),
                ],
            );
            if output.code == 0 {
                return;
            }
            assert!(
                started.elapsed() < LIMIT,
                "{}{}",
                output.stdout,
                output.stderr
            );
            thread::sleep(STEP);
        }
    }

    /// Waits until the router holds nothing of its callers any more.
    pub fn holds_nothing(&self) {
        let admin = self.admin.to_string();
        let started = time::Instant::now();
        loop {
            let arguments = ["--output", "json", "status", "--router", &admin];
            let output = program::run(self.folder.path(), &arguments);
            let report: serde_json::Value = serde_json::from_str(&output.stdout).expect("JSON");
            let held = &report["routers"][0]["caller_bytes"];
            if *held == 0 {
                return;
            }
            assert!(started.elapsed() < LIMIT, "{held} bytes are held");
            thread::sleep(STEP);
        }
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.process.id()
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        self.process.try_wait().expect("child").is_none()
    }

    /// What the router has logged so far.
    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.path().join(LOG_FILE)).expect("log file")
    }

    /// Sends `request` and reads until the router closes the connection.
    pub fn exchange(&self, request: &[u8]) -> String {
        let mut stream = net::TcpStream::connect(self.listen).expect("a connection");
        stream.set_read_timeout(Some(LIMIT)).expect("a time-out");
        let written = stream.write_all(request);
        let mut answer = Vec::new();
        let read = stream.read_to_end(&mut answer);
        let answer = String::from_utf8_lossy(&answer).into_owned();
        assert!(!answer.is_empty(), "{written:?}, then {read:?}");
        answer
    }

    /// Sends `bytes` on a connection that stays open.
    pub fn send(&self, bytes: &[u8]) -> net::TcpStream {
        let mut stream = net::TcpStream::connect(self.listen).expect("a connection");
        stream.write_all(bytes).expect("room in the sockets");
        stream
    }

    /// Sends a small call again until it is served, as ordinary callers do when they are refused.
    pub fn answers_an_ordinary_request(&self) {
        let started = time::Instant::now();
        loop {
            let answer = self.exchange(ORDINARY_REQUEST.as_bytes());
            if answer.starts_with("HTTP/1.1 200 ") {
                assert!(answer.contains("hello"), "{answer}");
                return;
            }
            assert!(started.elapsed() < LIMIT, "{answer}");
            thread::sleep(STEP);
        }
    }
}

/// What the router sent on a connection before it closed it; empty if it is still open.
pub fn read_refusal(mut stream: net::TcpStream) -> String {
    let limit = stream.set_read_timeout(Some(REFUSAL_LIMIT));
    limit.expect("a time-out");
    let mut answer = Vec::new();
    let mut part = [0; 1024];
    loop {
        match stream.read(&mut part) {
            Ok(0) => return String::from_utf8_lossy(&answer).into_owned(),
            Ok(count) => answer.extend_from_slice(&part[..count]),
            Err(_open) if answer.is_empty() => return String::new(),
            Err(error) => panic!("the connection stays open after a refusal: {error}"),
        }
    }
}

impl Drop for CrowdRouter {
    fn drop(&mut self) {
        // A process that has ended already needs no signal.
        let _ended = self.process.kill();
        let _status = self.process.wait();
    }
}
