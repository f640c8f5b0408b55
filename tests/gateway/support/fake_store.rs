//! Fake of the platform's store.

use std::collections;
use std::io::Write as _;
use std::net;
use std::sync;
use std::thread;
use std::time;

use base64::Engine as _;
use base64::engine::general_purpose;

use crate::support::fakes;

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
    /// Tables whose reads are answered with 503.
    unreadable: collections::HashSet<String>,
}

/// Fake of the platform's store.
#[derive(Clone, Debug)]
pub struct FakeStore {
    ip: net::IpAddr,
    state: sync::Arc<sync::Mutex<StoreState>>,
}

/// Clock that the store's answers name, in milliseconds.
fn now_ms() -> u64 {
    static STARTED: sync::OnceLock<time::Instant> = sync::OnceLock::new();
    let elapsed = STARTED.get_or_init(time::Instant::now).elapsed();
    u64::try_from(elapsed.as_millis()).expect("a short time") + 1
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
        fakes::serve(listener, move |stream| {
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

    /// Makes all reads of a table answer with 503, or serves them again.
    pub fn set_unreadable(&self, table: &str, is_unreadable: bool) {
        let mut state = self.state.lock().expect("not poisoned");
        if is_unreadable {
            state.unreadable.insert(table.to_owned());
        } else {
            state.unreadable.remove(table);
        }
    }

    /// Content of a row; `None` if there is none.
    pub fn value(&self, table: &str, key: &str) -> Option<Vec<u8>> {
        let state = self.state.lock().expect("not poisoned");
        let row = state.rows.get(&(table.to_owned(), key.to_owned()))?;
        row.0.clone()
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

    /// Whether all rows of a precondition have the versions that it names; 0 stands for no row.
    fn meets(&self, precondition: &serde_json::Value) -> bool {
        let conditions = precondition.as_array().expect("preconditions");
        conditions.iter().all(|condition| {
            let text = |name: &str| condition[name].as_str().expect("text").to_owned();
            let row = self.rows.get(&(text("table"), text("key")));
            let present = row.filter(|(value, _version)| value.is_some());
            let version = present.map_or(0, |(_value, version)| *version);
            condition["ver"].as_u64() == Some(version)
        })
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
    let Some(request) = fakes::read_request(stream) else {
        return;
    };
    let is_unavailable = || {
        let table = request.query("table").unwrap_or_default();
        let state = state.lock().expect("not poisoned");
        state.unavailable.contains(&address) || state.unreadable.contains(table)
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
            if !held.meets(&value["precondition"]) {
                let era = held.era;
                drop(held);
                return write_store_json(stream, era, 412, &serde_json::json!({}));
            }
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
            for removed in value["delete"].as_array().expect("a list") {
                let text = |name: &str| removed[name].as_str().expect("text").to_owned();
                held.rows
                    .insert((text("table"), text("key")), (None, version));
            }
            let era = held.era;
            drop(held);
            let answer = serde_json::json!({"ver": version, "now_ms": now_ms()});
            write_store_json(stream, era, 200, &answer);
        }
        _ => fakes::write_json(stream, 404, &serde_json::json!({})),
    }
}

/// Counts a call that waits for changes until it is dropped.
struct WaitingCall<'a> {
    table: String,
    state: &'a sync::Mutex<StoreState>,
}

impl<'a> WaitingCall<'a> {
    fn begin(request: &fakes::ReceivedRequest, state: &'a sync::Mutex<StoreState>) -> Self {
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

/// A value of a query in which each byte is percent-encoded.
fn unescaped(request: &fakes::ReceivedRequest, name: &str) -> Option<String> {
    let bytes = request.query(name)?.split('%').skip(1);
    let bytes = bytes.map(|byte| u8::from_str_radix(byte, 16).expect("a byte"));
    Some(String::from_utf8(bytes.collect()).expect("text"))
}

fn rows_after(
    request: &fakes::ReceivedRequest,
    state: &sync::Mutex<StoreState>,
    after: Option<u64>,
) -> (serde_json::Value, u64) {
    let wanted = request.query("table").unwrap_or_default();
    let (from, to) = (unescaped(request, "from"), unescaped(request, "to"));
    let is_in_range = |key: &str| {
        from.as_deref().is_none_or(|from| from <= key) && to.as_deref().is_none_or(|to| key < to)
    };
    let state = state.lock().expect("not poisoned");
    let rows = state
        .rows
        .iter()
        .filter(|((table, key), (value, version))| {
            table == wanted
                && is_in_range(key)
                && after.map_or(value.is_some(), |after| *version > after)
        });
    let rows = rows.map(|((table, key), (value, version))| match value {
        Some(value) => serde_json::json!({"table": table, "part": "", "key": key,
            "value": general_purpose::STANDARD.encode(value), "ver": version}),
        None => serde_json::json!({"table": table, "part": "", "key": key, "removed": true,
            "ver": version}),
    });
    let rows: Vec<serde_json::Value> = rows.collect();
    let answer = serde_json::json!({"rows": rows, "has_more": false, "ver": state.version,
            "now_ms": now_ms()});
    (answer, state.era)
}
