//! Starts a stand-in of this build and ends it with the test.

use std::io;
use std::io::BufRead as _;
use std::net;
use std::path;
use std::process;

use async_std::task;
use kumquatpulley::connection::http;

/// A running stand-in.
#[derive(Debug)]
pub struct StandIn {
    /// Address for its users.
    pub listen: net::SocketAddr,
    admin: net::SocketAddr,
    process: process::Child,
}

/// The platform stand-in.
pub fn platform() -> StandIn {
    start("platform", &[])
}

/// Starts the stand-in `name` and waits until it serves.
pub fn start(name: &str, arguments: &[&str]) -> StandIn {
    let mut process = process::Command::new(example(name))
        .args(arguments)
        .stdout(process::Stdio::piped())
        .spawn()
        .expect("examples are built with the tests");
    let stdout = process.stdout.take().expect("piped output");
    let mut line = String::new();
    let read = io::BufReader::new(stdout).read_line(&mut line);
    assert!(read.is_ok(), "{read:?}");
    let words: Vec<&str> = line.split_whitespace().collect();
    let ["ready", listen, admin] = words[..] else {
        panic!("not ready: {line:?}");
    };
    StandIn {
        listen: listen.parse().expect("address"),
        admin: admin.parse().expect("address"),
        process,
    }
}

impl StandIn {
    /// Brings about faults, given as JSON.
    pub fn fault(&self, json: &str) {
        let body: serde_json::Value = serde_json::from_str(json).expect("JSON");
        let answer = task::block_on(http::send_json(
            http_types::Method::Post,
            &self.admin.to_string(),
            "/fault",
            Some(&body),
            http::ExchangeLimits::default(),
            64 * 1024,
        ));
        assert_eq!(answer.map(|(status, _bytes)| status).ok(), Some(200));
    }
}

impl Drop for StandIn {
    fn drop(&mut self) {
        // A process that has ended already needs no signal.
        let _ended = self.process.kill();
        let _status = self.process.wait();
    }
}

/// Examples lie beside the programs of this build.
fn example(name: &str) -> path::PathBuf {
    let program = path::Path::new(env!("CARGO_BIN_EXE_kumquatpulley"));
    program.with_file_name("examples").join(name)
}
