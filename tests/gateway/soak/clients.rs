//! Callers that ask for addresses, keep connections as long as they can, and check every answer.

use std::io::Write as _;
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use crate::support::{caller, crash_judge, fakes, stop_judge, timed_work};

/// Longest wait of a caller for bytes of an answer.
const PATIENCE: time::Duration = time::Duration::from_secs(4);

/// Time for a connection.
const CONNECT_LIMIT: time::Duration = time::Duration::from_millis(500);

/// Pause between two requests of a caller.
const PAUSE: time::Duration = time::Duration::from_millis(30);

/// One in this many streams has the deadly part.
const STREAMS_A_DEADLY_PROMPT: u32 = 6;

/// Earlier of the routes' timeouts and the callers' deadlines.
const TIME_LIMIT: time::Duration = time::Duration::from_millis(3_500);

/// One in this many timed streams takes seconds.
const STREAMS_A_LONG_STREAM: u32 = 3;

/// What a caller was told about one request.
#[derive(Clone, Debug)]
pub struct CallRecord {
    pub id: String,
    pub path: &'static str,
    /// Time that the endpoint takes; `None` for its usual one.
    pub timing: Option<timed_work::WorkTiming>,
    /// Shared parts of its prompt.
    pub prompt: Option<&'static str>,
    pub key: String,
    pub sent: time::Instant,
    /// When its last byte was sent.
    pub last_byte: time::Instant,
    /// Gateway that it was sent to.
    pub gateway: Option<net::SocketAddr>,
    /// When the answer had arrived or the connection had ended.
    pub ended: time::Instant,
    /// Status of the answer; `None` when there was none.
    pub status: Option<u16>,
    pub end: stop_judge::CallEnd,
    /// What was wrong with the answer.
    pub fault: Option<String>,
    /// Whether the answer was a whole success.
    pub is_served: bool,
}

impl CallRecord {
    /// Whether its prompt crashes endpoints.
    pub fn is_deadly(&self) -> bool {
        self.prompt == Some(crash_judge::DEADLY_PROMPT)
    }

    /// The request for the judge of planned stops; `None` if it was never sent.
    pub fn stop_view(&self) -> Option<stop_judge::CallerView> {
        Some(stop_judge::CallerView {
            id: self.id.clone(),
            gateway: self.gateway?.ip(),
            sent: self.sent,
            last_byte: self.last_byte,
            ended: self.ended,
            status: self.status,
            end: self.end,
            time_limit: TIME_LIMIT,
            has_successor: false,
        })
    }

    fn target(&self) -> String {
        let timing = self.timing.as_ref();
        timing.map_or_else(|| self.path.to_owned(), |timing| timing.target(self.path))
    }

    fn expected_body(&self) -> String {
        match &self.timing {
            Some(timing) if self.path.starts_with("/stream/") => timing.stream_body(0),
            None if self.path.starts_with("/stream/") => caller::complete_stream(),
            _ => fakes::plain_answer(&self.id),
        }
    }
}

/// What callers share.
#[derive(Debug, Default)]
pub struct CallerDesk {
    pub records: sync::Mutex<Vec<CallRecord>>,
    pub key: sync::Mutex<String>,
    pub is_over: atomic::AtomicBool,
    /// Whether streams have prompts, some of which crash endpoints.
    pub sends_prompts: atomic::AtomicBool,
    /// Whether requests without prompts take up to some seconds.
    pub has_timing: atomic::AtomicBool,
}

/// Runs one caller until the desk says that it is over.
pub fn spawn(
    desk: &sync::Arc<CallerDesk>,
    gateways: Vec<net::IpAddr>,
    name: String,
    seed: u64,
) -> thread::JoinHandle<()> {
    let desk = sync::Arc::clone(desk);
    thread::spawn(move || {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut addresses: Vec<net::SocketAddr> = Vec::new();
        let mut kept: Option<net::TcpStream> = None;
        let mut number = 0;
        while !desk.is_over.load(atomic::Ordering::SeqCst) {
            number += 1;
            if addresses.is_empty() || number % 20 == 0 {
                addresses = resolve(gateways[random.usize(..gateways.len())]);
            }
            let Some(address) = random.choice(&addresses).copied() else {
                thread::sleep(PAUSE);
                continue;
            };
            let path = ["/once/1", "/safe/1", "/stream/1"][random.usize(..3)];
            let sends_prompt =
                path == "/stream/1" && desk.sends_prompts.load(atomic::Ordering::SeqCst);
            let prompt = sends_prompt.then(|| {
                let is_deadly = random.u32(..STREAMS_A_DEADLY_PROMPT) == 0;
                if is_deadly {
                    crash_judge::DEADLY_PROMPT
                } else {
                    crash_judge::SOUND_PROMPT
                }
            });
            let has_timing = !sends_prompt && desk.has_timing.load(atomic::Ordering::SeqCst);
            let timing = has_timing.then(|| draw_timing(path, &mut random));
            let key = desk.key.lock().expect("not poisoned").clone();
            let mut record = CallRecord {
                id: format!("{name}-{number}"),
                path,
                timing,
                prompt,
                key,
                sent: time::Instant::now(),
                last_byte: time::Instant::now(),
                ended: time::Instant::now(),
                gateway: None,
                status: None,
                end: stop_judge::CallEnd::GivenUp,
                fault: None,
                is_served: false,
            };
            let stream = kept.take().or_else(|| connect(address));
            kept = stream.and_then(|stream| call(stream, &mut record));
            record.ended = time::Instant::now();
            if record.status.is_none() {
                addresses.retain(|known| *known != address);
            }
            desk.records.lock().expect("not poisoned").push(record);
            thread::sleep(PAUSE);
        }
    })
}

/// Times of a request to `path`, all within its time limit.
fn draw_timing(path: &str, random: &mut fastrand::Rng) -> timed_work::WorkTiming {
    let is_long = random.u32(..STREAMS_A_LONG_STREAM) == 0;
    let (silent, streamed) = match (path.starts_with("/stream/"), is_long) {
        (true, true) => (0..100, 2_000..3_000),
        (true, false) => (0..100, 100..400),
        (false, _) => (0..1_500, 0..1),
    };
    timed_work::WorkTiming {
        silent: time::Duration::from_millis(random.u64(silent)),
        streamed: time::Duration::from_millis(random.u64(streamed)),
        ..Default::default()
    }
}

fn connect(address: net::SocketAddr) -> Option<net::TcpStream> {
    let stream = net::TcpStream::connect_timeout(&address, CONNECT_LIMIT).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    Some(stream)
}

/// Addresses that a gateway tells; none when it does not answer.
fn resolve(ip: net::IpAddr) -> Vec<net::SocketAddr> {
    let Some(mut stream) = connect((ip, 8224).into()) else {
        return Vec::new();
    };
    let question = b"GET /resolve?name=h&region=r&zone=z1 HTTP/1.1\r\nHost: h\r\n\r\n";
    let answer = stream
        .write_all(question)
        .ok()
        .and_then(|()| caller::read_answer(&mut stream));
    let Some(answer) = answer.filter(|answer| answer.head.status == 200) else {
        return Vec::new();
    };
    let value: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    let addresses = value["addrs"].as_array().cloned().unwrap_or_default();
    let addresses = addresses
        .iter()
        .filter_map(|text| text.as_str()?.parse().ok());
    addresses.collect()
}

/// Sends one request; returns the connection when it can be used again.
fn call(mut stream: net::TcpStream, record: &mut CallRecord) -> Option<net::TcpStream> {
    let prompt = record
        .prompt
        .map(|parts| format!("{parts},{:x}:9", fastrand::u64(..)));
    let target = record.target();
    let request = caller::prompt_request(&target, &record.id, &record.key, prompt.as_deref());
    record.gateway = stream.peer_addr().ok();
    record.sent = time::Instant::now();
    let written = stream.write_all(request.as_bytes());
    record.last_byte = time::Instant::now();
    let (answer, end) = match written {
        Ok(()) => caller::read_to_end(&mut stream),
        Err(error) => (None, Err(error)),
    };
    record.end = match end {
        Ok(()) => stop_judge::CallEnd::Answered,
        Err(error) => stop_judge::CallEnd::of_error(&error),
    };
    let answer = answer?;
    record.status = Some(answer.head.status);
    if answer.head.status != 200 {
        let keeps = answer.is_complete && !answer.head.headers.has_token("connection", "close");
        return keeps.then_some(stream);
    }
    let expected = record.expected_body();
    let text = answer.text();
    if answer.head.headers.get("Kumquatpulley-Request-Id") != Some(record.id.as_str()) {
        record.fault = Some("the answer belongs to another request".to_owned());
    } else if answer.is_complete && text != expected {
        record.fault = Some(format!("a whole answer is wrong: {text:?}"));
    } else if !expected.starts_with(&text) {
        record.fault = Some(format!("a part of an answer is wrong: {text:?}"));
    }
    record.is_served = answer.is_complete && record.fault.is_none();
    let keeps = answer.is_complete && !answer.head.headers.has_token("connection", "close");
    keeps.then_some(stream)
}
