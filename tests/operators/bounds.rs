//! Requests over a bound and connections without use get a clear end, and others go on.

use std::fs;
use std::io;
use std::io::{Read as _, Write as _};
use std::net;
use std::time;

use crate::common;
use crate::daemon;
use crate::stand_in;

const MAX_BODY_BYTES: usize = 1024;
const MAX_CONNECTIONS: usize = 8;
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Time for a refusal to come or a connection to be closed.
const END_LIMIT: time::Duration = time::Duration::from_secs(5);

/// SHA-256 of the bearer key `demo-key`.
const KEY_HASH: &str = "c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c";

#[derive(Debug)]
struct BoundBench {
    router: daemon::RouterDaemon,
    _platform: stand_in::StandIn,
}

impl BoundBench {
    fn start() -> Self {
        let platform = stand_in::platform();
        let lines = format!(
            "max_body_bytes: {MAX_BODY_BYTES}\nmax_connections: {MAX_CONNECTIONS}\n\
             idle_timeout_ms: {}\n",
            IDLE_TIMEOUT.as_millis()
        );
        let router = daemon::RouterDaemon::start_with("r1", platform.listen, &lines);
        let folder = tempfile::tempdir().expect("temporary folder");
        let file = folder.path().join("declarations.yaml");
        let yaml = format!(
            "services:\n  - name: booking\nworkspaces:\n  - name: demo\n    \
             key_hashes: [{KEY_HASH}]\n    max_in_flight: 10\nroutes:\n  \
             - {{path: /stock, service: booking}}\n"
        );
        fs::write(&file, yaml).expect("declarations");
        let file = file.to_str().expect("UTF-8");
        let output = router.run(&["apply", file, "--platform", &platform.listen.to_string()]);
        assert_eq!(output.code, 0, "{output:?}");
        router.wait_for_state("ready");
        Self {
            router,
            _platform: platform,
        }
    }

    fn connect(&self) -> net::TcpStream {
        let stream = net::TcpStream::connect(self.router.listen).expect("connection");
        stream
            .set_read_timeout(Some(END_LIMIT))
            .expect("time limit");
        stream
    }

    /// Sends `request` and reads until the router closes the connection.
    fn exchange(&self, request: &str) -> String {
        let mut stream = self.connect();
        stream.write_all(request.as_bytes()).expect("request");
        read_to_close(&mut stream).expect("answer and end of the connection")
    }
}

fn read_to_close(stream: &mut net::TcpStream) -> io::Result<String> {
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    // A reset after the answer ends the connection as well.
    if read
        .as_ref()
        .is_err_and(|error| error.kind() != io::ErrorKind::ConnectionReset)
    {
        read?;
    }
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

fn post(path: &str, key: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: r\r\nauthorization: Bearer {key}\r\n\
         content-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    )
}

fn is_refused(request: &str, status: &str, code: &str) {
    let bench = BoundBench::start();
    let answer = bench.exchange(request);
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status} ")),
        "{answer}"
    );
    assert!(
        answer.contains("x-kumquatpulley-verdict: not-run"),
        "{answer}"
    );
    assert!(answer.contains(&format!("\"code\":\"{code}\"")), "{answer}");
}

fn large_head() -> String {
    let value = "a".repeat(9000);
    format!("GET /v1/addresses HTTP/1.1\r\nhost: r\r\nx-large: {value}\r\n\r\n")
}

fn an_idle_connection_is_closed() {
    let bench = BoundBench::start();
    let mut stream = bench.connect();
    let started = time::Instant::now();
    read_to_close(&mut stream).expect("end of the connection");
    assert!(
        started.elapsed() >= IDLE_TIMEOUT / 2,
        "{:?}",
        started.elapsed()
    );
}

fn a_head_that_trickles_in_is_cut_off() {
    let bench = BoundBench::start();
    let mut stream = bench.connect();
    let started = time::Instant::now();
    let mut is_open = true;
    while is_open && started.elapsed() < END_LIMIT {
        is_open = stream.write_all(b"a").is_ok();
        std::thread::sleep(time::Duration::from_millis(50));
    }
    assert!(!is_open, "the connection is still open after {END_LIMIT:?}");
}

fn one_connection_too_many_is_refused() {
    let bench = BoundBench::start();
    let held: Vec<_> = (0..MAX_CONNECTIONS).map(|_index| bench.connect()).collect();
    std::thread::sleep(time::Duration::from_millis(100));
    let answer = read_to_close(&mut bench.connect()).expect("refusal");
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert!(answer.contains("retry-after: 1"), "{answer}");
    drop(held);
    std::thread::sleep(time::Duration::from_millis(300));
    let request = "GET /v1/addresses HTTP/1.1\r\nhost: r\r\nconnection: close\r\n\r\n";
    assert!(bench.exchange(request).starts_with("HTTP/1.1 200 "));
}

common::cases! {
    large_head_is_refused: is_refused(&large_head(), "431", "bad-request");
    garbage_is_refused: is_refused("GARBAGE\r\n\r\n", "400", "bad-request");
    large_body_is_refused:
        is_refused(&post("/s/booking/stock", "demo-key", &"b".repeat(1025)), "413", "body-too-large");
    missing_key_is_refused: is_refused(&post("/s/booking/stock", "", "b"), "401", "unauthorized");
    unknown_path_is_refused: is_refused(&post("/v2/x", "demo-key", "b"), "404", "no-route");
    idle_connection: an_idle_connection_is_closed();
    trickling_head: a_head_that_trickles_in_is_cut_off();
    too_many_connections: one_connection_too_many_is_refused();
}
