//! Routers that answer by a script, to see what a caller does.

use std::collections;
use std::io;
use std::io::BufRead as _;
use std::io::Read as _;
use std::io::Write as _;
use std::net;
use std::sync;
use std::thread;
use std::time;

use kumquatpulley::request::cursor;

/// Generation that scripted tokens belong to.
pub const GENERATION: u64 = 7;

/// Time for which callers keep the address answer, in milliseconds.
const KEEP_MS: u64 = 60_000;

/// One step of an answer.
#[derive(Clone, Debug)]
pub enum AnswerStep {
    /// The head of an event stream.
    Head,
    /// Tokens of these positions, with cursors of [`GENERATION`].
    Tokens(std::ops::Range<u32>),
    /// One token with the cursor of another generation.
    ForeignToken(u32),
    /// Text of an event, sent as it is.
    Event(String),
    /// The last event with its count, and the end mark.
    Finish(u32),
    /// A refusal: status, `Retry-After` in seconds, code, verdict.
    Refuse(u16, Option<u64>, &'static str, &'static str),
    /// A `moved` event that names this router.
    MovedTo(usize),
    /// Nothing for this time, in milliseconds.
    Pause(u64),
    /// Nothing until the caller goes away.
    Silence,
    /// The connection ends in the middle.
    Break,
}

/// What a caller sent.
#[derive(Clone, Debug)]
pub struct SeenRequest {
    /// Number of the router, from 0.
    pub router: usize,
    /// Headers with lower-case names.
    pub headers: collections::BTreeMap<String, String>,
    /// JSON body.
    pub body: serde_json::Value,
    /// When it came.
    pub at: time::Instant,
}

/// The answer of router number `router` to its request number `request`, both from 0.
pub type AnswerScript = fn(router: usize, request: usize) -> Vec<AnswerStep>;

/// Scripted routers that name each other.
#[derive(Debug)]
pub struct FakeCluster {
    /// Their addresses, host and port.
    pub addresses: Vec<String>,
    state: sync::Arc<ClusterState>,
}

#[derive(Debug)]
struct ClusterState {
    addresses: Vec<String>,
    script: AnswerScript,
    requests: parking_lot::Mutex<Vec<SeenRequest>>,
    address_asks: parking_lot::Mutex<Vec<String>>,
}

impl FakeCluster {
    /// Starts `count` routers; their threads end with the test process.
    pub fn start(count: usize, script: AnswerScript) -> Self {
        let bind = |_router| net::TcpListener::bind("127.0.0.1:0").expect("free port");
        let listeners: Vec<net::TcpListener> = (0..count).map(bind).collect();
        let address = |listener: &net::TcpListener| {
            let address = listener.local_addr().expect("bound");
            address.to_string()
        };
        let addresses: Vec<String> = listeners.iter().map(address).collect();
        let state = sync::Arc::new(ClusterState {
            addresses: addresses.clone(),
            script,
            requests: parking_lot::Mutex::default(),
            address_asks: parking_lot::Mutex::default(),
        });
        for (router, listener) in listeners.into_iter().enumerate() {
            let state = sync::Arc::clone(&state);
            thread::spawn(move || accept(router, &listener, &state));
        }
        Self { addresses, state }
    }

    /// Completion requests in the order of their arrival.
    pub fn requests(&self) -> Vec<SeenRequest> {
        self.state.requests.lock().clone()
    }

    /// Paths with which callers asked for addresses.
    pub fn address_asks(&self) -> Vec<String> {
        self.state.address_asks.lock().clone()
    }
}

fn accept(router: usize, listener: &net::TcpListener, state: &sync::Arc<ClusterState>) {
    for stream in listener.incoming().flatten() {
        let state = sync::Arc::clone(state);
        // A caller that has gone ends its connection's thread only.
        thread::spawn(move || serve(router, stream, &state).ok());
    }
}

fn serve(router: usize, mut stream: net::TcpStream, state: &ClusterState) -> io::Result<()> {
    let Some((path, request)) = read_request(router, &stream)? else {
        return Ok(());
    };
    if path.starts_with("/v1/addresses") {
        state.address_asks.lock().push(path);
        return write_json(&mut stream, 200, "", &address_answer(state));
    }
    let number = {
        let mut requests = state.requests.lock();
        let earlier = requests.iter().filter(|seen| seen.router == router).count();
        requests.push(request);
        earlier
    };
    for step in (state.script)(router, number) {
        if !play(&mut stream, &step, state)? {
            return Ok(());
        }
    }
    stream.write_all(b"0\r\n\r\n")
}

fn read_request(
    router: usize,
    stream: &net::TcpStream,
) -> io::Result<Option<(String, SeenRequest)>> {
    let mut reader = io::BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let Some(path) = line.split(' ').nth(1).map(str::to_owned) else {
        return Ok(None);
    };
    let mut headers = collections::BTreeMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let Some((name, value)) = line.trim_end().split_once(": ") else {
            break;
        };
        headers.insert(name.to_ascii_lowercase(), value.to_owned());
    }
    let length = headers
        .get("content-length")
        .and_then(|text| text.parse().ok());
    let mut bytes = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut bytes)?;
    let body = serde_json::from_slice(&bytes).unwrap_or_default();
    let request = SeenRequest {
        router,
        headers,
        body,
        at: time::Instant::now(),
    };
    Ok(Some((path, request)))
}

fn address_answer(state: &ClusterState) -> serde_json::Value {
    let entry = |(router, address): (usize, &String)| serde_json::json!({ "address": address, "home": format!("r{router}-1f"), "zone": "z1" });
    let entries = state.addresses.iter().enumerate().map(entry);
    let entries: Vec<serde_json::Value> = entries.collect();
    serde_json::json!({ "addresses": entries, "keep_ms": KEEP_MS })
}

/// Plays one step; `false` when the connection has ended.
fn play(stream: &mut net::TcpStream, step: &AnswerStep, state: &ClusterState) -> io::Result<bool> {
    match step {
        AnswerStep::Head => stream.write_all(
            b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
              transfer-encoding: chunked\r\n\r\n",
        )?,
        AnswerStep::Tokens(positions) => {
            for position in positions.clone() {
                write_chunk(stream, &token_event(position, GENERATION))?;
            }
        }
        AnswerStep::ForeignToken(position) => {
            write_chunk(stream, &token_event(*position, GENERATION + 1))?;
        }
        AnswerStep::Event(text) => write_chunk(stream, text)?,
        AnswerStep::Finish(count) => write_chunk(stream, &last_event(*count))?,
        AnswerStep::Refuse(status, retry_after, code, verdict) => {
            refuse(stream, *status, *retry_after, code, verdict)?;
            return Ok(false);
        }
        AnswerStep::MovedTo(router) => {
            let data = serde_json::json!({ "addresses": [state.addresses[*router]] });
            write_chunk(stream, &format!("event: moved\ndata: {data}\n\n"))?;
        }
        AnswerStep::Pause(millis) => thread::sleep(time::Duration::from_millis(*millis)),
        AnswerStep::Silence => {
            // Ends when the caller closes its side.
            stream.read_exact(&mut [0])?;
        }
        AnswerStep::Break => return Ok(false),
    }
    Ok(true)
}

/// Text of the token at `position`.
pub fn token(position: u32) -> String {
    format!("t{position} ")
}

fn token_event(position: u32, generation: u64) -> String {
    let cursor = cursor::StreamCursor {
        generation: cursor::GenerationId(generation),
        position: position + 1,
        attempt: cursor::AttemptId(1),
        hash: cursor::PrefixHash(2),
        endpoint: "engine-1".to_owned(),
        model_version: "v1".to_owned(),
    };
    let choice = serde_json::json!({ "text": token(position), "finish_reason": null });
    let data = serde_json::json!({ "choices": [choice] });
    format!("id: {cursor}\ndata: {data}\n\n")
}

fn last_event(count: u32) -> String {
    let data = serde_json::json!({
        "choices": [{ "text": "", "finish_reason": "length" }],
        "usage": { "completion_tokens": count },
    });
    format!("data: {data}\n\ndata: [DONE]\n\n")
}

fn refuse(
    stream: &mut net::TcpStream,
    status: u16,
    retry_after: Option<u64>,
    code: &str,
    verdict: &str,
) -> io::Result<()> {
    let headers = retry_after.map(|seconds| format!("retry-after: {seconds}\r\n"));
    let body = serde_json::json!({ "error": {
        "code": code,
        "message": "refused by script",
        "verdict": verdict,
        "retry_after_s": retry_after,
        "home": null,
    } });
    write_json(stream, status, &headers.unwrap_or_default(), &body)
}

fn write_json(
    stream: &mut net::TcpStream,
    status: u16,
    headers: &str,
    body: &serde_json::Value,
) -> io::Result<()> {
    let body = body.to_string();
    let length = body.len();
    write!(
        stream,
        "HTTP/1.1 {status} X\r\n{headers}content-type: application/json\r\n\
         content-length: {length}\r\n\r\n{body}"
    )
}

fn write_chunk(stream: &mut net::TcpStream, text: &str) -> io::Result<()> {
    write!(stream, "{:x}\r\n{text}\r\n", text.len())
}
