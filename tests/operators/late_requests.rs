//! A planned stop cuts no call: neither one whose body is still on its way, nor a long answer.

use std::fs;
use std::io;
use std::io::{Read as _, Write as _};
use std::net;
use std::thread;
use std::time;

use crate::common;
use crate::daemon;
use crate::stand_in;

/// SHA-256 of the bearer key `demo-key`.
const KEY_HASH: &str = "c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c";

/// Declared address of an engine that does not run.
const NO_ENGINE: &str = "127.0.0.1:9";

/// Path of calls to the service.
pub const CALL_PATH: &str = "/s/s/orders";

/// Lists what the service ran.
const JOURNAL_FILE: &str = "runs.jsonl";

/// Time after which a caller gives up.
const READ_LIMIT: time::Duration = time::Duration::from_secs(10);

/// Receive buffer of a slow caller, in bytes.
const SMALL_BUFFER: usize = 16 * 1024;

/// Pause of a slow caller after each read.
const READ_PAUSE: time::Duration = time::Duration::from_millis(15);

#[derive(Debug)]
pub struct CallBench {
    router: daemon::RouterDaemon,
    _service: stand_in::StandIn,
    _platform: stand_in::StandIn,
    folder: tempfile::TempDir,
}

impl CallBench {
    pub fn start(work_ms: u64) -> Self {
        let platform = stand_in::platform();
        let folder = tempfile::tempdir().expect("temporary folder");
        let work = work_ms.to_string();
        let journal = folder.path().join(JOURNAL_FILE);
        let journal = journal.to_string_lossy();
        let arguments = ["--work-ms", &work, "--journal", &journal];
        let service = stand_in::start("plain_service", &arguments);
        let router = daemon::RouterDaemon::start("r1", platform.listen);
        apply(&router, &platform, &service);
        router.wait_for_state("ready");
        Self {
            router,
            _service: service,
            _platform: platform,
            folder,
        }
    }

    /// How many calls the service ran.
    pub fn runs(&self) -> usize {
        let journal = fs::read_to_string(self.folder.path().join(JOURNAL_FILE));
        journal.unwrap_or_default().lines().count()
    }

    /// Waits until the service has run a call; the router has read all of it by then.
    fn wait_for_run(&self) {
        let started = time::Instant::now();
        while self.runs() == 0 {
            assert!(started.elapsed() < READ_LIMIT, "the call does not run");
            thread::sleep(time::Duration::from_millis(10));
        }
    }

    pub fn connect(&self) -> net::TcpStream {
        let connection = net::TcpStream::connect(self.router.listen).expect("a connection");
        let timeout = connection.set_read_timeout(Some(READ_LIMIT));
        timeout.expect("a time-out");
        connection
    }
}

fn apply(router: &daemon::RouterDaemon, platform: &stand_in::StandIn, service: &stand_in::StandIn) {
    let folder = tempfile::tempdir().expect("temporary folder");
    let file = folder.path().join("declarations.yaml");
    let yaml = format!(
        "services:\n  - name: s\n    endpoints:\n      \
         - {{name: e1, address: \"{}\", zone: zone-a}}\n  \
  - name: m\n    model: {{name: m, version: v1}}\n    endpoints:\n      \
         - {{name: e2, address: \"{NO_ENGINE}\", zone: zone-a}}\n\
         workspaces:\n  - {{name: w, key_hashes: [{KEY_HASH}], max_in_flight: 8}}\n\
         routes:\n  - {{path: /, service: s}}\n  - {{model: m, service: m}}\n",
        service.listen
    );
    fs::write(&file, yaml).expect("declaration file");
    let output = router.run(&[
        "apply",
        &file.to_string_lossy(),
        "--wait",
        "--platform",
        &platform.listen.to_string(),
        "--router",
        &router.admin.to_string(),
    ]);
    assert_eq!(output.code, 0, "{}{}", output.stdout, output.stderr);
}

pub fn head(path: &str, length: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer demo-key\r\n\
         Connection: close\r\nContent-Length: {length}\r\n\r\n"
    )
}

/// Body of a whole answer.
fn whole_body(answer: &str) -> &str {
    let (head, body) = answer.split_once("\r\n\r\n").expect("an answer");
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(": ")?;
        (name.eq_ignore_ascii_case("content-length")).then(|| value.parse::<usize>().ok())?
    });
    assert_eq!(Some(body.len()), length, "{head}");
    body
}

/// Guards against requests that run and are closed without an answer, as a router that leaves does
/// not look again once their body has arrived and they were admitted.
fn body_that_ends_after(delay: time::Duration, path: &str, body: &str) {
    let bench = CallBench::start(1_000);
    let mut connection = bench.connect();
    let (first, last) = body.split_at(body.len() / 2);
    let text = head(path, body.len()) + first;
    connection.write_all(text.as_bytes()).expect("a connection");
    thread::sleep(time::Duration::from_millis(100));
    bench.router.signal("TERM");
    thread::sleep(delay);
    // The router may have refused the request by now; reading reports that.
    let _closed = connection.write_all(last.as_bytes());
    let mut answer = Vec::new();
    let end = connection.read_to_end(&mut answer);
    let answer = String::from_utf8_lossy(&answer);
    let runs = bench.runs();
    assert!(
        answer.starts_with("HTTP/1.1 "),
        "{runs} run, {end:?}: {answer:?}"
    );
    whole_body(&answer);
    let is_refused = answer.contains("not-run");
    assert_eq!(runs, usize::from(!is_refused), "{answer}");
}

/// Guards against answers that are cut although the service had finished them, as a call no longer
/// counts as running once its answer begins to be written.
fn answer_to_a_slow_caller(bytes: usize) {
    let bench = CallBench::start(300);
    let mut connection = bench.connect();
    let buffer = socket2::SockRef::from(&connection).set_recv_buffer_size(SMALL_BUFFER);
    buffer.expect("a socket option");
    let text = head(CALL_PATH, bytes) + &"x".repeat(bytes);
    connection.write_all(text.as_bytes()).expect("a connection");
    bench.wait_for_run();
    bench.router.signal("TERM");
    let mut answer = Vec::new();
    let mut chunk = [0; SMALL_BUFFER];
    let end = loop {
        match connection.read(&mut chunk) {
            Ok(count @ 1..) => answer.extend_from_slice(&chunk[..count]),
            // The exit of the router, a child process, interrupts reads.
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            end => break end,
        }
        thread::sleep(READ_PAUSE);
    };
    assert!(end.is_ok(), "{end:?}");
    let answer = String::from_utf8_lossy(&answer);
    let body = whole_body(&answer);
    assert!(body.len() >= bytes, "{answer}");
}

common::cases! {
    body_that_ends_while_the_router_leaves:
        body_that_ends_after(time::Duration::from_millis(350), CALL_PATH, "abcd");
    body_that_ends_after_the_router_left:
        body_that_ends_after(time::Duration::from_millis(900), CALL_PATH, "abcd");
    prompt_that_ends_while_the_router_leaves: body_that_ends_after(
        time::Duration::from_millis(350),
        "/v1/completions",
        "{\"model\": \"m\", \"prompt\": \"a\", \"stream\": true}"
    );
    long_answer_to_a_slow_caller: answer_to_a_slow_caller(900 * 1024);
}
