//! Fakes of endpoints that speak the published protocol, and what all fakes share.

use std::io::{Read as _, Write as _};
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use kumquatpulley::connection::h1::{body, head};

use crate::support::{deadly_calls, run_log, stop_judge, timed_work};

/// A request that a fake has read.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub head: head::RequestHead,
    pub body: Vec<u8>,
    pub at: time::Instant,
    /// Whether the fake began to execute it instead of refusing it.
    pub is_started: bool,
}

impl ReceivedRequest {
    pub fn field(&self, name: &str) -> Option<String> {
        self.head.headers.get(name).map(str::to_owned)
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.head.target.split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .into_iter()
            .find(|(key, _value)| *key == name)
            .map(|(_key, value)| value)
    }
}

/// Reads one request; `None` when the peer closes the connection or sends an invalid request.
pub fn read_request(stream: &mut net::TcpStream) -> Option<ReceivedRequest> {
    let mut bytes = Vec::new();
    let mut chunk = [0_u8; 4096];
    let (head, length) = loop {
        if let Some(parsed) = head::parse_request(&bytes).ok()? {
            break parsed;
        }
        let count = stream.read(&mut chunk).ok().filter(|count| *count > 0)?;
        bytes.extend_from_slice(&chunk[..count]);
    };
    let mut rest = bytes.split_off(length);
    let mut decoder = body::BodyDecoder::new(head.framing().ok()?);
    let mut body = Vec::new();
    loop {
        let used = decoder.decode(&rest, &mut body).ok()?;
        rest.drain(..used);
        if decoder.is_complete() {
            let at = time::Instant::now();
            return Some(ReceivedRequest {
                head,
                body,
                at,
                is_started: false,
            });
        }
        let count = stream.read(&mut chunk).ok().filter(|count| *count > 0)?;
        rest.extend_from_slice(&chunk[..count]);
    }
}

/// Serves each connection in a separate thread for as long as the test runs.
pub fn serve(
    listener: net::TcpListener,
    handle: impl Fn(&mut net::TcpStream) + Send + Sync + 'static,
) {
    let handle = sync::Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            let handle = sync::Arc::clone(&handle);
            thread::spawn(move || handle(&mut stream));
        }
    });
}

pub fn write_json(stream: &mut net::TcpStream, status: u16, value: &serde_json::Value) {
    let text = value.to_string();
    let head = format!(
        "HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n",
        text.len()
    );
    // The caller may have gone.
    let _gone = stream.write_all(format!("{head}{text}").as_bytes());
}

/// How an endpoint treats requests from now on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointMode {
    Healthy,
    /// Refuses requests and states that it did not run them.
    Full,
    /// Refuses requests because it is another endpoint than the expected one.
    Replaced,
    /// Runs the request and closes the connection without an answer.
    DropsAnswer,
    /// Aborts a stream in the middle of the event after this one and stops answering.
    DiesAfter(u64),
    /// Waits [`SLOW_EVENT_PAUSE`] between events, and stops as `DiesAfter` after this one.
    SlowThenDiesAfter(u64),
    /// Sends streams with neither a length nor chunks, which end with their connection.
    Unframed,
    /// As `Unframed`, and closes the connection after this event: inside the next one, or before
    /// any byte of an event if this is 0.
    UnframedEndsAfter(u64),
    /// Sends nothing after this event of a stream, not even reports.
    SilentAfter(u64),
    /// Sends a body that is shorter than its `Content-Length`.
    Truncates,
    /// Sends the answer of another request.
    AnswersWrongRequest,
    /// Waits [`SLOW_ANSWER`] before each answer.
    Slow,
    /// Works, and says in each answer that it is leaving.
    Draining,
    /// Refuses requests with a `Retry-After` of [`RETRY_AFTER`].
    RetryAfter,
    /// Works, and reports that all its memory is in use.
    MemoryInUse,
    /// Sends a response head with an endless header field.
    EndlessHead,
    /// Sends an endless response head at one byte per [`EVENT_PAUSE`].
    TrickledHead,
    /// Sends interim responses without end.
    EndlessInterim,
    /// Sends an endless body that contains no event.
    EndlessBody,
    /// Announces a body larger than any memory and sends bytes without end.
    HugeBody,
    /// Sends comments without end after this event of a stream; its reports say that it works.
    EndlessComments(u64),
    /// As `EndlessComments`, with [`EVENT_PAUSE`] between the comments.
    TrickledComments(u64),
    /// Sends events without an id, as of another stream, after this event.
    ForeignEvents(u64),
    /// Runs the request and answers with this text, in which `{id}` stands for its id.
    AnswersWith(&'static str),
    /// As `AnswersWith`, and resets the connection [`RESET_DELAY`] after the text.
    AnswersAndResets(&'static str),
    /// Works, and after this event of a stream sends nothing for [`PREEMPTION_TIME`].
    PausesAfter(u64),
    /// As `PausesAfter`, and its reports take [`LATE_REPORT`].
    PausesWithLateReports(u64),
}

/// Bytes that are kept of the body of each received request.
const MAX_KEPT_BODY_BYTES: usize = 16 * 1024;

/// Number of events in each stream.
pub const EVENT_COUNT: u64 = 12;

/// Delay of each answer in the mode `Slow`.
const SLOW_ANSWER: time::Duration = time::Duration::from_millis(200);

/// Start time in the entries of endpoints.
const ENTRY_BORN: u64 = 1;

/// Memory of each engine, in tokens.
const ENGINE_MEMORY_TOKENS: u64 = 88_000;

/// Delay that endpoints ask for in the mode `RetryAfter`.
pub const RETRY_AFTER: time::Duration = time::Duration::from_secs(2);

/// Time until an endpoint that crashed because of a request is back.
const RESTART_TIME: time::Duration = time::Duration::from_millis(400);

/// Time from the start of a run to the crash that its request causes.
const PREFILL_TIME: time::Duration = time::Duration::from_millis(60);

/// Time from the head of a response to the crash that its prompt causes.
const CRASH_DELAY: time::Duration = time::Duration::from_millis(10);

/// Time for which a stream that ends early stays open after its last byte.
const CLOSE_DELAY: time::Duration = time::Duration::from_millis(100);

/// Time in which the text of an answer arrives before its connection is reset.
const RESET_DELAY: time::Duration = time::Duration::from_millis(10);

/// Silence of an engine that has preempted a stream.
const PREEMPTION_TIME: time::Duration = time::Duration::from_millis(1_500);

/// Delay of the reports of a busy engine, or on the way to it.
const LATE_REPORT: time::Duration = time::Duration::from_millis(300);

/// Pause between events.
const EVENT_PAUSE: time::Duration = time::Duration::from_millis(15);

/// Pause between events of a slow stream: too short for a router to take it for a silent one.
const SLOW_EVENT_PAUSE: time::Duration = time::Duration::from_millis(150);

#[derive(Debug)]
struct EndpointState {
    /// Name of the current process; a new one may have another.
    name: sync::Mutex<String>,
    /// Start time in its reports.
    born: atomic::AtomicU64,
    mode: sync::Mutex<EndpointMode>,
    received: sync::Mutex<Vec<ReceivedRequest>>,
    is_dead: atomic::AtomicBool,
    aborted_streams: atomic::AtomicU64,
    copy_requests: sync::Mutex<Vec<ReceivedRequest>>,
    /// Changes of the request limit that the endpoint names, oldest first.
    limits: sync::Mutex<Vec<LimitChange>>,
    /// Ids of the requests whose answers named a limit.
    named_to: sync::Mutex<Vec<String>>,
    crashes: sync::Mutex<CrashState>,
    calls: deadly_calls::CallState,
    runs: run_log::RunLog,
}

/// Crashes of an endpoint that were caused by a request.
#[derive(Debug, Default)]
struct CrashState {
    /// Part that crashes the endpoint when it begins to answer a prompt with it.
    deadly_part: Option<String>,
    /// Whether it crashes before it has sent the response head.
    is_before_head: bool,
    crashed_at: Vec<time::Instant>,
}

/// A request limit that an endpoint names from some time on.
#[derive(Clone, Copy, Debug)]
pub struct LimitChange {
    pub at: time::Instant,
    /// Requests a second from all gateways together; `None` for no limit.
    pub rate: Option<f64>,
}

/// Fake of an endpoint of a service.
#[derive(Clone, Debug)]
pub struct FakeEndpoint {
    pub name: String,
    pub address: net::SocketAddr,
    state: sync::Arc<EndpointState>,
}

impl FakeEndpoint {
    pub fn start(ip: net::IpAddr, name: &str) -> Self {
        let listener = net::TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("bound");
        let state = sync::Arc::new(EndpointState {
            name: sync::Mutex::new(name.to_owned()),
            born: atomic::AtomicU64::new(ENTRY_BORN),
            mode: sync::Mutex::new(EndpointMode::Healthy),
            received: sync::Mutex::default(),
            is_dead: atomic::AtomicBool::default(),
            aborted_streams: atomic::AtomicU64::default(),
            copy_requests: sync::Mutex::default(),
            limits: sync::Mutex::default(),
            named_to: sync::Mutex::default(),
            crashes: sync::Mutex::default(),
            calls: deadly_calls::CallState::default(),
            runs: run_log::RunLog::default(),
        });
        let served = sync::Arc::clone(&state);
        serve(listener, move |stream| answer_endpoint(stream, &served));
        let name = name.to_owned();
        Self {
            name,
            address,
            state,
        }
    }

    pub fn set_mode(&self, mode: EndpointMode) {
        *self.state.mode.lock().expect("not poisoned") = mode;
    }

    /// Names this request limit in all answers from now on, or none.
    pub fn set_limit(&self, rate: Option<f64>) {
        let at = time::Instant::now();
        let mut limits = self.state.limits.lock().expect("not poisoned");
        limits.push(LimitChange { at, rate });
    }

    /// All changes of the request limit, oldest first.
    pub fn limits(&self) -> Vec<LimitChange> {
        self.state.limits.lock().expect("not poisoned").clone()
    }

    /// Ids of the requests whose answers named a limit.
    pub fn named_to(&self) -> Vec<String> {
        self.state.named_to.lock().expect("not poisoned").clone()
    }

    /// Requests received, except for reports and calls about copies.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.state.received.lock().expect("not poisoned").clone()
    }

    /// When the work on each received request began and ended.
    pub fn runs(&self) -> Vec<stop_judge::EndpointRun> {
        self.state.runs.runs()
    }

    /// Requests to move or drop backup copies.
    pub fn copy_requests(&self) -> Vec<ReceivedRequest> {
        self.state
            .copy_requests
            .lock()
            .expect("not poisoned")
            .clone()
    }

    /// Number of streams whose connection the router closed before their end.
    pub fn aborted_streams(&self) -> u64 {
        self.state.aborted_streams.load(atomic::Ordering::SeqCst)
    }

    /// Crashes from now on when it begins to answer a prompt with this part, unless it is the last
    /// part; `None` for no part. It is back after [`RESTART_TIME`].
    pub fn set_deadly_part(&self, part: Option<&str>) {
        let mut crashes = self.state.crashes.lock().expect("not poisoned");
        crashes.deadly_part = part.map(str::to_owned);
    }

    /// Makes a crash that a part causes come before the response head.
    pub fn set_crash_before_head(&self) {
        let mut crashes = self.state.crashes.lock().expect("not poisoned");
        crashes.is_before_head = true;
    }

    /// Requests under which the endpoint crashes without an answer, and how long others run.
    pub fn calls(&self) -> &deadly_calls::CallState {
        &self.state.calls
    }

    /// When the endpoint crashed because of a request, oldest first.
    pub fn crashes(&self) -> Vec<time::Instant> {
        let crashes = self.state.crashes.lock().expect("not poisoned");
        crashes.crashed_at.clone()
    }

    /// Names another start time in its reports from now on, as an engine that has restarted.
    pub fn restart(&self) {
        self.state.born.fetch_add(1, atomic::Ordering::SeqCst);
    }

    /// Refuses requests to any other name from now on.
    pub fn rename(&self, name: &str) {
        name.clone_into(&mut self.state.name.lock().expect("not poisoned"));
    }

    /// Resets all connections, and closes new ones without an answer until [`FakeEndpoint::revive`].
    pub fn stop_answering(&self) {
        self.state.is_dead.store(true, atomic::Ordering::SeqCst);
        self.state.calls.reset_all();
    }

    /// Makes an endpoint that stopped answering work again.
    pub fn revive(&self) {
        self.state.is_dead.store(false, atomic::Ordering::SeqCst);
    }

    /// This endpoint's entry in the store.
    pub fn entry(&self, service: &str, zone: &str, state: &str) -> Vec<u8> {
        Self::entry_at(self.address, service, zone, state)
    }

    /// This endpoint's entry in the store with another version than `v1`.
    pub fn versioned_entry(&self, service: &str, zone: &str, version: &str) -> Vec<u8> {
        let entry = self.entry(service, zone, "ready");
        let text = String::from_utf8(entry).expect("JSON");
        let entry = text.replace(r#""version":"v1""#, &format!(r#""version":"{version}""#));
        assert!(entry.contains(version), "{entry}");
        entry.into_bytes()
    }

    /// Entry in the store of an endpoint that is reached at `address`.
    pub fn entry_at(address: net::SocketAddr, service: &str, zone: &str, state: &str) -> Vec<u8> {
        let entry = serde_json::json!({"service": service, "addr": address.to_string(),
            "zone": zone, "version": "v1", "slots": 8, "state": state, "cold_left_ms": 0,
            "seq": 1, "born": ENTRY_BORN});
        entry.to_string().into_bytes()
    }
}

impl EndpointState {
    /// Whether the prompt of `request` has the deadly part, and not as its last one.
    fn is_deadly(&self, request: &ReceivedRequest) -> bool {
        let crashes = self.crashes.lock().expect("not poisoned");
        let parts = request.field("Kumquatpulley-Prompt-Prefix");
        let shared = parts.as_deref().and_then(|parts| parts.rsplit_once(','));
        shared.is_some_and(|(shared, _last)| {
            let mut ids = shared.split(',').filter_map(|part| part.split(':').next());
            ids.any(|id| Some(id) == crashes.deadly_part.as_deref())
        })
    }

    fn crashes_before_head(&self) -> bool {
        self.crashes.lock().expect("not poisoned").is_before_head
    }

    fn crash_count(&self) -> usize {
        self.crashes.lock().expect("not poisoned").crashed_at.len()
    }

    /// Resets connections and answers nothing for [`RESTART_TIME`].
    fn crash(&self, reset_connections: impl Fn()) {
        if self.is_dead.swap(true, atomic::Ordering::SeqCst) {
            return reset_connections();
        }
        let mut crashes = self.crashes.lock().expect("not poisoned");
        crashes.crashed_at.push(time::Instant::now());
        drop(crashes);
        reset_connections();
        thread::sleep(RESTART_TIME);
        self.is_dead.store(false, atomic::Ordering::SeqCst);
    }
}

/// Has the connection reset when the stream is dropped, without an orderly end before it.
pub fn reset_at_close(stream: &net::TcpStream) {
    let linger = socket2::SockRef::from(stream).set_linger(Some(time::Duration::ZERO));
    linger.expect("a socket option");
}

/// Resets the connection, as the end of a process does.
pub fn reset(stream: &net::TcpStream) {
    reset_at_close(stream);
    // The peer may have closed already.
    let _closed = stream.shutdown(net::Shutdown::Both);
}

fn answer_endpoint(stream: &mut net::TcpStream, state: &EndpointState) {
    let Some(mut request) = read_request(stream) else {
        return;
    };
    let mode = *state.mode.lock().expect("not poisoned");
    let is_dead = state.is_dead.load(atomic::Ordering::SeqCst);
    if request.head.target == "/report" {
        if is_dead {
            return;
        }
        if matches!(mode, EndpointMode::PausesWithLateReports(_)) {
            thread::sleep(LATE_REPORT);
        }
        let used = u64::from(mode == EndpointMode::MemoryInUse) * ENGINE_MEMORY_TOKENS;
        let report = serde_json::json!({"queued": 0, "active": 1, "kv_used": used,
            "kv_total": ENGINE_MEMORY_TOKENS, "runs": [],
            "born": state.born.load(atomic::Ordering::SeqCst)});
        return write_json(stream, 200, &report);
    }
    if is_dead {
        return;
    }
    if request.head.target.starts_with("/kv-") {
        return answer_copy_call(stream, state, request);
    }
    let expected = request.field("Kumquatpulley-Expect-Runner");
    let name = state.name.lock().expect("not poisoned").clone();
    let mode = if expected.as_deref() == Some(name.as_str()) {
        mode
    } else {
        EndpointMode::Replaced
    };
    request.is_started = !matches!(
        mode,
        EndpointMode::Full | EndpointMode::Replaced | EndpointMode::RetryAfter
    );
    let mut kept = request.clone();
    kept.body.truncate(MAX_KEPT_BODY_BYTES);
    state.received.lock().expect("not poisoned").push(kept);
    let id = request
        .field("Kumquatpulley-Request-Id")
        .unwrap_or_default();
    let run = state.runs.add(&id);
    let connection = state.calls.open(stream);
    let timing = timed_work::WorkTiming::parse(&request);
    let end = if let (EndpointMode::Healthy, Some(timing)) = (mode, timing) {
        let notices = notice_fields(state, mode, &id);
        timed_work::answer(stream, &request, (timing, &notices), (&state.runs, run))
    } else {
        if request.is_started {
            state.runs.begin(run);
        }
        answer_in_mode(stream, state, &request, mode, &id)
    };
    state.calls.close(connection);
    state.runs.end(run, end);
}

/// Answers a request as `mode` says; returns how the work on it ended.
fn answer_in_mode(
    stream: &mut net::TcpStream,
    state: &EndpointState,
    request: &ReceivedRequest,
    mode: EndpointMode,
    id: &str,
) -> stop_judge::RunEnd {
    let write = |stream: &mut net::TcpStream, text: &str| stream.write_all(text.as_bytes()).is_ok();
    let notices = notice_fields(state, mode, id);
    let sealed = |id: &str, length: usize| {
        format!(
            "HTTP/1.1 200 OK\r\nKumquatpulley-Request-Id: {id}\r\nKumquatpulley-Runner-Seal: s\r\n\
             {notices}Content-Length: {length}\r\n\r\n"
        )
    };
    if request.is_started && state.calls.is_deadly(request) {
        thread::sleep(PREFILL_TIME);
        state.crash(|| state.calls.reset_all());
        return stop_judge::RunEnd::BrokenOff;
    }
    match mode {
        EndpointMode::Full => {
            write(
                stream,
                &format!(
                    "HTTP/1.1 503 X\r\nKumquatpulley-Not-Run: 1\r\n{notices}\
                     Content-Length: 0\r\n\r\n"
                ),
            );
            stop_judge::RunEnd::Refused
        }
        EndpointMode::RetryAfter => {
            let pause = RETRY_AFTER.as_secs();
            write(
                stream,
                &format!(
                    "HTTP/1.1 503 X\r\nKumquatpulley-Not-Run: 1\r\nRetry-After: {pause}\r\n\
                     {notices}Content-Length: 0\r\n\r\n"
                ),
            );
            stop_judge::RunEnd::Refused
        }
        EndpointMode::EndlessHead
        | EndpointMode::TrickledHead
        | EndpointMode::EndlessInterim
        | EndpointMode::EndlessBody
        | EndpointMode::HugeBody => {
            send_without_end(stream, mode, id);
            stop_judge::RunEnd::GatewayGone
        }
        EndpointMode::Replaced => {
            write(stream, "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n");
            stop_judge::RunEnd::Refused
        }
        EndpointMode::AnswersWith(text) => {
            write(stream, &text.replace("{id}", id));
            stop_judge::RunEnd::Finished
        }
        EndpointMode::AnswersAndResets(text) => {
            write(stream, &text.replace("{id}", id));
            thread::sleep(RESET_DELAY);
            reset_at_close(stream);
            stop_judge::RunEnd::BrokenOff
        }
        EndpointMode::DropsAnswer => stop_judge::RunEnd::BrokenOff,
        EndpointMode::Truncates => {
            write(stream, &format!("{}hel", sealed(id, 5)));
            stop_judge::RunEnd::BrokenOff
        }
        EndpointMode::AnswersWrongRequest => {
            let text = plain_answer("another");
            write(stream, &format!("{}{text}", sealed("another", text.len())));
            stop_judge::RunEnd::BrokenOff
        }
        _ if request.head.target.starts_with("/stream/") => {
            answer_stream(stream, state, request, mode, (id, &notices))
        }
        _ => {
            if mode == EndpointMode::Slow {
                thread::sleep(SLOW_ANSWER);
            }
            thread::sleep(state.calls.run_time());
            let text = plain_answer(id);
            if write(stream, &format!("{}{text}", sealed(id, text.len()))) {
                stop_judge::RunEnd::Finished
            } else {
                stop_judge::RunEnd::GatewayGone
            }
        }
    }
}

/// Answers a request to move or drop a copy without doing so.
fn answer_copy_call(stream: &mut net::TcpStream, state: &EndpointState, request: ReceivedRequest) {
    let body: serde_json::Value = serde_json::from_slice(&request.body).unwrap_or_default();
    let id = body["id"].as_str().unwrap_or_default();
    let answer = serde_json::json!({"handle": format!("h-{id}"), "created_rev": 1});
    state
        .copy_requests
        .lock()
        .expect("not poisoned")
        .push(request);
    write_json(stream, 200, &answer);
}

/// Sends bytes that never form a complete answer until the caller closes.
fn send_without_end(stream: &mut net::TcpStream, mode: EndpointMode, id: &str) {
    let write = |stream: &mut net::TcpStream, text: &str| stream.write_all(text.as_bytes()).is_ok();
    let sealed = |length: usize| {
        format!(
            "HTTP/1.1 200 OK\r\nKumquatpulley-Request-Id: {id}\r\nKumquatpulley-Runner-Seal: s\r\n\
             Content-Length: {length}\r\n\r\n"
        )
    };
    match mode {
        EndpointMode::EndlessHead => {
            write(stream, "HTTP/1.1 200 OK\r\nX: ");
            while write(stream, &"x".repeat(4096)) {}
        }
        EndpointMode::TrickledHead => {
            write(stream, "HTTP/1.1 200 OK\r\nX: ");
            while write(stream, "x") {
                thread::sleep(EVENT_PAUSE);
            }
        }
        EndpointMode::EndlessInterim => while write(stream, "HTTP/1.1 103 X\r\n\r\n") {},
        EndpointMode::EndlessBody => {
            let head = sealed(0).replace("Content-Length: 0\r\n", "");
            write(stream, &head);
            while write(stream, &"x".repeat(4096)) {}
        }
        EndpointMode::HugeBody => {
            write(stream, &sealed(usize::MAX >> 1));
            while write(stream, &"x".repeat(4096)) {}
        }
        _ => {}
    }
}

/// Header fields that the endpoint adds to every answer: that it is leaving, and its request limit.
fn notice_fields(state: &EndpointState, mode: EndpointMode, id: &str) -> String {
    let mut fields = String::new();
    if mode == EndpointMode::Draining {
        fields.push_str("Server-Leaving: 1\r\n");
    }
    let limits = state.limits.lock().expect("not poisoned");
    if let Some(rate) = limits.last().and_then(|change| change.rate) {
        let mut named_to = state.named_to.lock().expect("not poisoned");
        named_to.push(id.to_owned());
        fields.extend(["Server-Limit: ", &rate.to_string(), "\r\n"]);
    }
    fields
}

/// The body of the answer to a plain request.
pub fn plain_answer(id: &str) -> String {
    format!("hello {id}")
}

/// Crashes as an endpoint does that begins to answer a prompt, before it has sent `head` or after.
fn crash_on_prompt(
    stream: &mut net::TcpStream,
    state: &EndpointState,
    head: &str,
) -> stop_judge::RunEnd {
    thread::sleep(PREFILL_TIME);
    if !state.crashes_before_head() {
        if stream.write_all(head.as_bytes()).is_err() {
            return stop_judge::RunEnd::GatewayGone;
        }
        thread::sleep(CRASH_DELAY);
    }
    state.crash(|| reset(stream));
    stop_judge::RunEnd::BrokenOff
}

fn answer_stream(
    stream: &mut net::TcpStream,
    state: &EndpointState,
    request: &ReceivedRequest,
    mode: EndpointMode,
    (id, notices): (&str, &str),
) -> stop_judge::RunEnd {
    let last = request
        .field("Last-Event-Id")
        .and_then(|text| text.parse::<u64>().ok());
    let first = last.map_or(1, |last| last + 1);
    let is_framed = !matches!(
        mode,
        EndpointMode::Unframed | EndpointMode::UnframedEndsAfter(_)
    );
    let framing = if is_framed {
        "Transfer-Encoding: chunked\r\n"
    } else {
        ""
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\nKumquatpulley-Request-Id: {id}\r\nKumquatpulley-Runner-Seal: s\r\n\
         {notices}Content-Type: text/event-stream\r\n{framing}\r\n"
    );
    let is_deadly = state.is_deadly(request);
    let crashes_before = state.crash_count();
    if is_deadly {
        return crash_on_prompt(stream, state, &head);
    }
    if stream.write_all(head.as_bytes()).is_err() {
        return stop_judge::RunEnd::GatewayGone;
    }
    let timing = timed_work::WorkTiming::parse(request);
    let last = timing.map_or(EVENT_COUNT, |timing| timing.last_event());
    for event in first..=last {
        if state.crash_count() > crashes_before {
            reset(stream);
            return stop_judge::RunEnd::BrokenOff;
        }
        match mode {
            EndpointMode::DiesAfter(last) | EndpointMode::SlowThenDiesAfter(last)
                if event > last =>
            {
                state.is_dead.store(true, atomic::Ordering::SeqCst);
                // Part of an event; the connection then closes.
                let _gone = stream.write_all(b"6\r\nid: 1\n\r\n");
                return stop_judge::RunEnd::BrokenOff;
            }
            EndpointMode::UnframedEndsAfter(last) if event > last => {
                state.is_dead.store(true, atomic::Ordering::SeqCst);
                if last > 0 {
                    let _gone = stream.write_all(b"id: 9");
                }
                thread::sleep(CLOSE_DELAY);
                return stop_judge::RunEnd::BrokenOff;
            }
            EndpointMode::SilentAfter(last) if event > last => {
                state.is_dead.store(true, atomic::Ordering::SeqCst);
                thread::sleep(time::Duration::from_secs(3));
                return stop_judge::RunEnd::BrokenOff;
            }
            EndpointMode::PausesAfter(last) | EndpointMode::PausesWithLateReports(last)
                if event == last + 1 =>
            {
                thread::sleep(PREEMPTION_TIME);
            }
            EndpointMode::EndlessComments(last) if event > last => {
                while write_chunk(stream, ": x\n\n") {}
                return stop_judge::RunEnd::GatewayGone;
            }
            EndpointMode::TrickledComments(last) if event > last => {
                while write_chunk(stream, ": x\n\n") {
                    thread::sleep(EVENT_PAUSE);
                }
                return stop_judge::RunEnd::GatewayGone;
            }
            EndpointMode::ForeignEvents(last) if event > last => {
                while write_chunk(stream, "data: of another stream\n\n") {}
                return stop_judge::RunEnd::GatewayGone;
            }
            _ => {}
        }
        let text = format!("id: {event}\ndata: piece {event}\n\n").into_bytes();
        let mut chunk = Vec::new();
        if is_framed {
            head::write_chunk(&mut chunk, &text);
        } else {
            chunk = text;
        }
        if stream.write_all(&chunk).is_err() || is_closed(stream) {
            state.aborted_streams.fetch_add(1, atomic::Ordering::SeqCst);
            return stop_judge::RunEnd::GatewayGone;
        }
        thread::sleep(match mode {
            EndpointMode::SlowThenDiesAfter(_) => SLOW_EVENT_PAUSE,
            _ if timing.is_some() => timed_work::EVENT_INTERVAL,
            _ => EVENT_PAUSE,
        });
    }
    if is_framed && stream.write_all(head::LAST_CHUNK).is_err() {
        return stop_judge::RunEnd::GatewayGone;
    }
    stop_judge::RunEnd::Finished
}

fn write_chunk(stream: &mut net::TcpStream, text: &str) -> bool {
    let mut chunk = Vec::new();
    head::write_chunk(&mut chunk, text.as_bytes());
    stream.write_all(&chunk).is_ok()
}

/// Whether the peer has closed the connection; reads a byte that it has sent.
pub fn is_closed(stream: &mut net::TcpStream) -> bool {
    stream.set_nonblocking(true).expect("a socket option");
    let read = stream.read(&mut [0_u8; 1]);
    stream.set_nonblocking(false).expect("a socket option");
    !read.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
}
