//! Fakes of the platform's store and of endpoints that speak the published protocol.

use std::collections;
use std::io::{Read as _, Write as _};
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use base64::Engine as _;
use base64::engine::general_purpose;
use kumquatpulley::connection::h1::{body, head};

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

    fn query(&self, name: &str) -> Option<&str> {
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
fn serve(listener: net::TcpListener, handle: impl Fn(&mut net::TcpStream) + Send + Sync + 'static) {
    let handle = sync::Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            let handle = sync::Arc::clone(&handle);
            thread::spawn(move || handle(&mut stream));
        }
    });
}

fn write_json(stream: &mut net::TcpStream, status: u16, value: &serde_json::Value) {
    let text = value.to_string();
    let head = format!(
        "HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n",
        text.len()
    );
    // The caller may have gone.
    let _gone = stream.write_all(format!("{head}{text}").as_bytes());
}

/// Content and version; the content is `None` for a removed row.
type StoredRow = (Option<Vec<u8>>, u64);

/// Rows by table and key.
type StoredRows = collections::BTreeMap<(String, String), StoredRow>;

/// A copy of the store at some time.
#[derive(Clone, Debug)]
pub struct StoreCopy {
    version: u64,
    rows: StoredRows,
}

#[derive(Debug, Default)]
struct StoreState {
    version: u64,
    /// Number of times that the store was restored from a copy.
    era: u64,
    rows: StoredRows,
    /// Calls for changes that are waiting, by table.
    waiting: collections::HashMap<String, u32>,
    /// Oldest version after which changes can still be read.
    oldest: u64,
    /// Listeners that answer with 503.
    unavailable: collections::HashSet<net::SocketAddr>,
    /// Listeners that leave requests unanswered and connections open.
    hung: collections::HashSet<net::SocketAddr>,
}

/// Fake of the platform's store.
#[derive(Clone, Debug)]
pub struct FakeStore {
    ip: net::IpAddr,
    state: sync::Arc<sync::Mutex<StoreState>>,
}

impl FakeStore {
    pub fn new(ip: net::IpAddr) -> Self {
        let state = sync::Arc::default();
        Self { ip, state }
    }

    /// Opens a listener for one VM and returns its address. The fake tells VMs apart by listener,
    /// since all processes of a test share their source address.
    pub fn open_listener(&self) -> net::SocketAddr {
        let listener = net::TcpListener::bind((self.ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("bound");
        let served = sync::Arc::clone(&self.state);
        serve(listener, move |stream| {
            answer_store(stream, address, &served);
        });
        address
    }

    pub fn put(&self, table: &str, key: &str, value: &[u8]) {
        self.set(table, key, Some(value.to_vec()));
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.set(table, key, None);
    }

    /// Copies all rows.
    pub fn copy(&self) -> StoreCopy {
        let state = self.state.lock().expect("not poisoned");
        StoreCopy {
            version: state.version,
            rows: state.rows.clone(),
        }
    }

    /// Replaces all rows by those of a copy, and writes `changes` (table, key and value) at the same
    /// moment. Waiting calls are cut off.
    pub fn restore(&self, copy: &StoreCopy, changes: &[(&str, &str, &[u8])]) {
        let mut state = self.state.lock().expect("not poisoned");
        state.restore(copy, changes);
    }

    /// As [`FakeStore::restore`], at a moment when no call waits for changes of `table`, so that its
    /// readers do not notice. Returns whether there was such a moment.
    pub fn restore_unnoticed(
        &self,
        table: &str,
        copy: &StoreCopy,
        changes: &[(&str, &str, &[u8])],
    ) -> bool {
        let until = time::Instant::now() + QUIET_MOMENT_TIMEOUT;
        loop {
            let mut state = self.state.lock().expect("not poisoned");
            let is_quiet = state.waiting.get(table).is_none_or(|count| *count == 0);
            if is_quiet || until < time::Instant::now() {
                state.restore(copy, changes);
                return is_quiet;
            }
            drop(state);
            thread::sleep(time::Duration::from_millis(1));
        }
    }

    /// Keys of the rows of a table.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let state = self.state.lock().expect("not poisoned");
        let rows = state.rows.iter();
        let rows =
            rows.filter(|((known, _key), (value, _version))| known == table && value.is_some());
        rows.map(|((_table, key), _row)| key.clone()).collect()
    }

    /// Drops the history, so that earlier changes can no longer be read.
    pub fn drop_history(&self) {
        let mut state = self.state.lock().expect("not poisoned");
        state.version += 1;
        state.oldest = state.version;
    }

    /// Makes the listener at `address` answer with 503, or serve requests again.
    pub fn set_unavailable(&self, address: net::SocketAddr, is_unavailable: bool) {
        let mut state = self.state.lock().expect("not poisoned");
        if is_unavailable {
            state.unavailable.insert(address);
        } else {
            state.unavailable.remove(&address);
        }
    }

    /// Makes the listener at `address` leave all requests unanswered from now on.
    pub fn hang(&self, address: net::SocketAddr) {
        self.state
            .lock()
            .expect("not poisoned")
            .hung
            .insert(address);
    }

    fn set(&self, table: &str, key: &str, value: Option<Vec<u8>>) {
        self.state
            .lock()
            .expect("not poisoned")
            .set(table, key, value);
    }
}

impl StoreState {
    fn set(&mut self, table: &str, key: &str, value: Option<Vec<u8>>) {
        self.version += 1;
        self.rows
            .insert((table.to_owned(), key.to_owned()), (value, self.version));
    }

    fn restore(&mut self, copy: &StoreCopy, changes: &[(&str, &str, &[u8])]) {
        self.era += 1;
        self.version = copy.version;
        self.rows.clone_from(&copy.rows);
        for (table, key, value) in changes {
            self.set(table, key, Some(value.to_vec()));
        }
    }
}

/// Longest wait for a moment when no call waits for changes.
const QUIET_MOMENT_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// How long a hung listener keeps a connection open: longer than any caller waits.
const HANG_TIME: time::Duration = time::Duration::from_secs(20);

fn answer_store(
    stream: &mut net::TcpStream,
    address: net::SocketAddr,
    state: &sync::Mutex<StoreState>,
) {
    let Some(request) = read_request(stream) else {
        return;
    };
    let is_unavailable = || {
        state
            .lock()
            .expect("not poisoned")
            .unavailable
            .contains(&address)
    };
    let is_hung = || state.lock().expect("not poisoned").hung.contains(&address);
    if is_hung() {
        thread::sleep(HANG_TIME);
        return;
    }
    if is_unavailable() {
        let era = state.lock().expect("not poisoned").era;
        return write_store_json(stream, era, 503, &serde_json::json!({}));
    }
    let path = request
        .head
        .target
        .split('?')
        .next()
        .unwrap_or_default()
        .to_owned();
    match path.as_str() {
        "/rows-get" => {
            let (answer, era) = rows_after(&request, state, None);
            write_store_json(stream, era, 200, &answer);
        }
        "/rows-feed" => {
            let number = |name| {
                request
                    .query(name)
                    .and_then(|text| text.parse().ok())
                    .unwrap_or(0)
            };
            let wait = time::Duration::from_millis(number("wait_ms"));
            let until = time::Instant::now() + wait;
            let _waiting = WaitingCall::begin(&request, state);
            let era = state.lock().expect("not poisoned").era;
            loop {
                let held = state.lock().expect("not poisoned");
                let (is_held, is_cut) = (
                    (held.oldest..=held.version).contains(&number("after")),
                    held.era != era,
                );
                drop(held);
                if is_cut {
                    return;
                }
                if !is_held {
                    return write_store_json(stream, era, 410, &serde_json::json!({}));
                }
                let (answer, era) = rows_after(&request, state, Some(number("after")));
                let is_empty = answer["rows"].as_array().is_none_or(Vec::is_empty);
                if is_unavailable() {
                    return;
                }
                if is_hung() {
                    thread::sleep(HANG_TIME);
                    return;
                }
                if !is_empty || time::Instant::now() >= until {
                    return write_store_json(stream, era, 200, &answer);
                }
                thread::sleep(time::Duration::from_millis(10));
            }
        }
        "/rows-tx" => {
            let value: serde_json::Value = serde_json::from_slice(&request.body).expect("JSON");
            let mut held = state.lock().expect("not poisoned");
            held.version += 1;
            let version = held.version;
            for put in value["puts"].as_array().expect("puts") {
                let text = |name: &str| put[name].as_str().expect("text").to_owned();
                let content = general_purpose::STANDARD
                    .decode(text("value"))
                    .expect("base64");
                held.rows
                    .insert((text("table"), text("key")), (Some(content), version));
            }
            let era = held.era;
            drop(held);
            let answer = serde_json::json!({"ver": version, "now_ms": 1});
            write_store_json(stream, era, 200, &answer);
        }
        _ => write_json(stream, 404, &serde_json::json!({})),
    }
}

/// Counts a call that waits for changes until it is dropped.
struct WaitingCall<'a> {
    table: String,
    state: &'a sync::Mutex<StoreState>,
}

impl<'a> WaitingCall<'a> {
    fn begin(request: &ReceivedRequest, state: &'a sync::Mutex<StoreState>) -> Self {
        let table = request.query("table").unwrap_or_default().to_owned();
        let mut held = state.lock().expect("not poisoned");
        *held.waiting.entry(table.clone()).or_default() += 1;
        drop(held);
        Self { table, state }
    }
}

impl Drop for WaitingCall<'_> {
    fn drop(&mut self) {
        let mut held = self.state.lock().expect("not poisoned");
        if let Some(count) = held.waiting.get_mut(&self.table) {
            *count -= 1;
        }
    }
}

/// Answers a call to the store; the head names the era.
fn write_store_json(stream: &mut net::TcpStream, era: u64, status: u16, value: &serde_json::Value) {
    let text = value.to_string();
    let head = format!(
        "HTTP/1.1 {status} X\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n",
        text.len()
    );
    // The caller may have gone.
    let _gone = stream.write_all(format!("{head}{text}").as_bytes());
}

fn rows_after(
    request: &ReceivedRequest,
    state: &sync::Mutex<StoreState>,
    after: Option<u64>,
) -> (serde_json::Value, u64) {
    let wanted = request.query("table").unwrap_or_default();
    let state = state.lock().expect("not poisoned");
    let rows = state
        .rows
        .iter()
        .filter(|((table, _key), (value, version))| {
            table == wanted && after.map_or(value.is_some(), |after| *version > after)
        });
    let rows = rows.map(|((table, key), (value, version))| match value {
        Some(value) => serde_json::json!({"table": table, "part": "", "key": key,
            "value": general_purpose::STANDARD.encode(value), "ver": version}),
        None => serde_json::json!({"table": table, "part": "", "key": key, "removed": true,
            "ver": version}),
    });
    let rows: Vec<serde_json::Value> = rows.collect();
    let answer =
        serde_json::json!({"rows": rows, "has_more": false, "ver": state.version, "now_ms": 1});
    (answer, state.era)
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
}

/// Number of events in each stream.
pub const EVENT_COUNT: u64 = 12;

/// Delay of each answer in the mode `Slow`.
const SLOW_ANSWER: time::Duration = time::Duration::from_millis(200);

/// Memory of each engine, in tokens.
const ENGINE_MEMORY_TOKENS: u64 = 88_000;

/// Delay that endpoints ask for in the mode `RetryAfter`.
pub const RETRY_AFTER: time::Duration = time::Duration::from_secs(2);

/// Time until an endpoint that crashed because of a prompt is back.
const RESTART_TIME: time::Duration = time::Duration::from_millis(400);

/// Time of the prefill of a prompt in which an endpoint looks for a deadly part.
const PREFILL_TIME: time::Duration = time::Duration::from_millis(60);

/// Time from the head of a response to the crash that its prompt causes.
const CRASH_DELAY: time::Duration = time::Duration::from_millis(10);

/// Time for which a stream that ends early stays open after its last byte.
const CLOSE_DELAY: time::Duration = time::Duration::from_millis(100);

/// Pause between events.
const EVENT_PAUSE: time::Duration = time::Duration::from_millis(15);

/// Pause between events of a slow stream: too short for a router to take it for a silent one.
const SLOW_EVENT_PAUSE: time::Duration = time::Duration::from_millis(150);

#[derive(Debug)]
struct EndpointState {
    name: String,
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
}

/// Crashes of an endpoint that were caused by a prompt.
#[derive(Debug, Default)]
struct CrashState {
    /// Part that crashes the endpoint when it begins to answer a prompt with it.
    deadly_part: Option<String>,
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
            name: name.to_owned(),
            mode: sync::Mutex::new(EndpointMode::Healthy),
            received: sync::Mutex::default(),
            is_dead: atomic::AtomicBool::default(),
            aborted_streams: atomic::AtomicU64::default(),
            copy_requests: sync::Mutex::default(),
            limits: sync::Mutex::default(),
            named_to: sync::Mutex::default(),
            crashes: sync::Mutex::default(),
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

    /// When the endpoint crashed because of a prompt, oldest first.
    pub fn crashes(&self) -> Vec<time::Instant> {
        let crashes = self.state.crashes.lock().expect("not poisoned");
        crashes.crashed_at.clone()
    }

    /// Makes an endpoint that stopped answering work again.
    pub fn revive(&self) {
        self.state.is_dead.store(false, atomic::Ordering::SeqCst);
    }

    /// This endpoint's entry in the store.
    pub fn entry(&self, service: &str, zone: &str, state: &str) -> Vec<u8> {
        Self::entry_at(self.address, service, zone, state)
    }

    /// Entry in the store of an endpoint that is reached at `address`.
    pub fn entry_at(address: net::SocketAddr, service: &str, zone: &str, state: &str) -> Vec<u8> {
        let entry = serde_json::json!({"service": service, "addr": address.to_string(),
            "zone": zone, "version": "v1", "slots": 8, "state": state, "cold_left_ms": 0,
            "seq": 1, "born": 1});
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

    fn crash_count(&self) -> usize {
        self.crashes.lock().expect("not poisoned").crashed_at.len()
    }

    /// Ends all streams and answers nothing for [`RESTART_TIME`].
    fn crash(&self, stream: &net::TcpStream) {
        if self.is_dead.swap(true, atomic::Ordering::SeqCst) {
            return reset(stream);
        }
        let mut crashes = self.crashes.lock().expect("not poisoned");
        crashes.crashed_at.push(time::Instant::now());
        drop(crashes);
        reset(stream);
        thread::sleep(RESTART_TIME);
        self.is_dead.store(false, atomic::Ordering::SeqCst);
    }
}

/// Resets the connection, as the end of a process does.
fn reset(stream: &net::TcpStream) {
    let linger = socket2::SockRef::from(stream).set_linger(Some(time::Duration::ZERO));
    linger.expect("a socket option");
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
        let used = u64::from(mode == EndpointMode::MemoryInUse) * ENGINE_MEMORY_TOKENS;
        let report = serde_json::json!({"queued": 0, "active": 1, "kv_used": used,
            "kv_total": ENGINE_MEMORY_TOKENS, "runs": []});
        return write_json(stream, 200, &report);
    }
    if is_dead {
        return;
    }
    if request.head.target.starts_with("/kv-") {
        return answer_copy_call(stream, state, request);
    }
    let expected = request.field("Kumquatpulley-Expect-Runner");
    let mode = if expected.as_deref() == Some(state.name.as_str()) {
        mode
    } else {
        EndpointMode::Replaced
    };
    request.is_started = !matches!(
        mode,
        EndpointMode::Full | EndpointMode::Replaced | EndpointMode::RetryAfter
    );
    state
        .received
        .lock()
        .expect("not poisoned")
        .push(request.clone());
    let id = request
        .field("Kumquatpulley-Request-Id")
        .unwrap_or_default();
    let write = |stream: &mut net::TcpStream, text: &str| stream.write_all(text.as_bytes()).is_ok();
    let notices = notice_fields(state, mode, &id);
    let sealed = |id: &str, length: usize| {
        format!(
            "HTTP/1.1 200 OK\r\nKumquatpulley-Request-Id: {id}\r\nKumquatpulley-Runner-Seal: s\r\n\
             {notices}Content-Length: {length}\r\n\r\n"
        )
    };
    match mode {
        EndpointMode::Full => {
            write(
                stream,
                &format!(
                    "HTTP/1.1 503 X\r\nKumquatpulley-Not-Run: 1\r\n{notices}\
                     Content-Length: 0\r\n\r\n"
                ),
            );
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
        }
        EndpointMode::EndlessHead
        | EndpointMode::TrickledHead
        | EndpointMode::EndlessInterim
        | EndpointMode::EndlessBody
        | EndpointMode::HugeBody => send_without_end(stream, mode, &id),
        EndpointMode::Replaced => {
            write(stream, "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n");
        }
        EndpointMode::DropsAnswer => {}
        EndpointMode::Truncates => {
            write(stream, &format!("{}hel", sealed(&id, 5)));
        }
        EndpointMode::AnswersWrongRequest => {
            let text = plain_answer("another");
            write(stream, &format!("{}{text}", sealed("another", text.len())));
        }
        _ if request.head.target.starts_with("/stream/") => {
            answer_stream(stream, state, &request, mode, (&id, &notices));
        }
        _ => {
            if mode == EndpointMode::Slow {
                thread::sleep(SLOW_ANSWER);
            }
            let text = plain_answer(&id);
            write(stream, &format!("{}{text}", sealed(&id, text.len())));
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

fn answer_stream(
    stream: &mut net::TcpStream,
    state: &EndpointState,
    request: &ReceivedRequest,
    mode: EndpointMode,
    (id, notices): (&str, &str),
) {
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
        thread::sleep(PREFILL_TIME);
    }
    if stream.write_all(head.as_bytes()).is_err() {
        return;
    }
    if is_deadly {
        thread::sleep(CRASH_DELAY);
        return state.crash(stream);
    }
    for event in first..=EVENT_COUNT {
        if state.crash_count() > crashes_before {
            return reset(stream);
        }
        match mode {
            EndpointMode::DiesAfter(last) | EndpointMode::SlowThenDiesAfter(last)
                if event > last =>
            {
                state.is_dead.store(true, atomic::Ordering::SeqCst);
                // Part of an event; the connection then closes.
                let _gone = stream.write_all(b"6\r\nid: 1\n\r\n");
                return;
            }
            EndpointMode::UnframedEndsAfter(last) if event > last => {
                state.is_dead.store(true, atomic::Ordering::SeqCst);
                if last > 0 {
                    let _gone = stream.write_all(b"id: 9");
                }
                thread::sleep(CLOSE_DELAY);
                return;
            }
            EndpointMode::SilentAfter(last) if event > last => {
                state.is_dead.store(true, atomic::Ordering::SeqCst);
                thread::sleep(time::Duration::from_secs(3));
                return;
            }
            EndpointMode::EndlessComments(last) if event > last => {
                while write_chunk(stream, ": x\n\n") {}
                return;
            }
            EndpointMode::TrickledComments(last) if event > last => {
                while write_chunk(stream, ": x\n\n") {
                    thread::sleep(EVENT_PAUSE);
                }
                return;
            }
            EndpointMode::ForeignEvents(last) if event > last => {
                while write_chunk(stream, "data: of another stream\n\n") {}
                return;
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
            return;
        }
        thread::sleep(match mode {
            EndpointMode::SlowThenDiesAfter(_) => SLOW_EVENT_PAUSE,
            _ => EVENT_PAUSE,
        });
    }
    if is_framed {
        // The router may have gone.
        let _gone = stream.write_all(head::LAST_CHUNK);
    }
}

fn write_chunk(stream: &mut net::TcpStream, text: &str) -> bool {
    let mut chunk = Vec::new();
    head::write_chunk(&mut chunk, text.as_bytes());
    stream.write_all(&chunk).is_ok()
}

fn is_closed(stream: &mut net::TcpStream) -> bool {
    stream.set_nonblocking(true).expect("a socket option");
    let read = stream.read(&mut [0_u8; 1]);
    stream.set_nonblocking(false).expect("a socket option");
    !read.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
}
