//! Starts routers of this build and ends them with the test.

use std::fs;
use std::net;
use std::process;
use std::thread;
use std::time;

use crate::port_claim;
use crate::program;

/// Time within which a router has to do what it is asked.
const LIMIT: time::Duration = time::Duration::from_secs(15);
const LOG_FILE: &str = "router.log";
const STEP: time::Duration = time::Duration::from_millis(20);

/// A running router.
#[derive(Debug)]
pub struct RouterDaemon {
    /// Address for callers.
    pub listen: net::SocketAddr,
    /// Address for operators.
    pub admin: net::SocketAddr,
    process: process::Child,
    folder: tempfile::TempDir,
    _claims: [port_claim::PortClaim; 3],
}

impl RouterDaemon {
    /// Starts the router `name` with the table service at `platform`.
    pub fn start(name: &str, platform: net::SocketAddr) -> Self {
        Self::start_with(name, platform, "")
    }

    /// Starts a router with further lines in its settings.
    pub fn start_with(name: &str, platform: net::SocketAddr, lines: &str) -> Self {
        let folder = tempfile::tempdir().expect("temporary folder");
        let file = folder.path().join("router.yaml");
        let claims = [(); 3].map(|()| port_claim::PortClaim::take().expect("a free port"));
        let [listen, peer, admin] = [0, 1, 2].map(|index: usize| claims[index].address);
        let settings = format!(
            "router: {name}\nzone: zone-a\nlisten: {listen}\npeer_listen: {peer}\n\
             admin_listen: {admin}\nplatform: {platform}\naddress_keep_ms: 100\n{lines}"
        );
        fs::write(&file, settings).expect("settings file");
        let process = process::Command::new(env!("CARGO_BIN_EXE_kumquatpulleyd"))
            .arg("--config")
            .arg(&file)
            .stderr(fs::File::create(folder.path().join(LOG_FILE)).expect("log file"))
            .spawn()
            .expect("daemon");
        Self {
            listen,
            admin,
            process,
            folder,
            _claims: claims,
        }
    }

    /// Runs the command line.
    pub fn run(&self, arguments: &[&str]) -> program::ProgramOutput {
        program::run(self.folder.path(), arguments)
    }

    /// What the router has logged so far.
    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.path().join(LOG_FILE)).expect("log file")
    }

    /// Sends a signal by its name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let status = process::Command::new("kill")
            .args([format!("-{name}"), self.process.id().to_string()])
            .status();
        assert!(status.is_ok_and(|status| status.success()));
    }

    /// Waits for the end of the process; its exit code.
    pub fn wait(&mut self) -> Option<i32> {
        let started = time::Instant::now();
        while started.elapsed() < LIMIT {
            if let Some(status) = self.process.try_wait().expect("child") {
                return status.code();
            }
            thread::sleep(STEP);
        }
        panic!("the router still runs after {LIMIT:?}");
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        self.process.try_wait().expect("child").is_none()
    }

    /// Status of the router; waits until it answers.
    pub fn status(&self) -> serde_json::Value {
        let admin = self.admin.to_string();
        let started = time::Instant::now();
        loop {
            let output = self.run(&["--output", "json", "status", "--router", &admin]);
            if output.code == 0 {
                let report: serde_json::Value = serde_json::from_str(&output.stdout).expect("JSON");
                return report["routers"][0].clone();
            }
            assert!(started.elapsed() < LIMIT, "{output:?}");
            thread::sleep(STEP);
        }
    }

    /// Waits until the router is in the given state.
    pub fn wait_for_state(&self, state: &str) -> serde_json::Value {
        let started = time::Instant::now();
        loop {
            let status = self.status();
            if status["state"] == state {
                return status;
            }
            assert!(started.elapsed() < LIMIT, "{status}");
            thread::sleep(STEP);
        }
    }
}

impl Drop for RouterDaemon {
    fn drop(&mut self) {
        // A process that has ended already needs no signal.
        let _ended = self.process.kill();
        let _status = self.process.wait();
    }
}
