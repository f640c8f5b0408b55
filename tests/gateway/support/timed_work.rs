//! Work of a duration that the caller chooses in the query of its request.

use std::io::Write as _;
use std::net;
use std::thread;
use std::time;

use kumquatpulley::connection::h1::head;

use crate::support::{fakes, run_log, stop_judge};

/// Pause between events of a timed stream.
pub const EVENT_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Interval between checks whether the gateway has closed the connection.
const CLOSE_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// How an endpoint spends its time on a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkTiming {
    /// Time in the queue, before any work.
    pub queued: time::Duration,
    /// Time at work before the head of the answer.
    pub silent: time::Duration,
    /// Time from the first to the last event of a stream.
    pub streamed: time::Duration,
    /// Bytes of padding in a plain answer.
    pub padding: usize,
}

impl WorkTiming {
    /// The target of a request below `path` with this timing.
    pub fn target(&self, path: &str) -> String {
        format!(
            "{path}?queued_ms={}&silent_ms={}&streamed_ms={}&padding={}",
            self.queued.as_millis(),
            self.silent.as_millis(),
            self.streamed.as_millis(),
            self.padding
        )
    }

    /// Reads the timing of a request; `None` if it names none.
    pub fn parse(request: &fakes::ReceivedRequest) -> Option<Self> {
        let number = |name| request.query(name)?.parse::<u64>().ok();
        let duration = |name| number(name).map(time::Duration::from_millis);
        Some(Self {
            queued: duration("queued_ms")?,
            silent: duration("silent_ms")?,
            streamed: duration("streamed_ms")?,
            padding: usize::try_from(number("padding")?).ok()?,
        })
    }

    /// Id of the last event of a stream.
    pub fn last_event(&self) -> u64 {
        let intervals = self.streamed.as_millis() / EVENT_INTERVAL.as_millis();
        u64::try_from(intervals).expect("a short stream") + 1
    }

    /// The whole body of a stream that goes on after the event `last`.
    pub fn stream_body(&self, last: u64) -> String {
        (last + 1..=self.last_event()).map(event_text).collect()
    }

    /// The whole body of a plain answer.
    pub fn plain_body(&self, id: &str) -> String {
        fakes::plain_answer(id) + &"x".repeat(self.padding)
    }
}

fn event_text(event: u64) -> String {
    format!("id: {event}\ndata: piece {event}\n\n")
}

/// Answers a request with this timing and these additional header fields, and records when the work
/// on it begins; returns how it ended.
pub fn answer(
    stream: &mut net::TcpStream,
    request: &fakes::ReceivedRequest,
    (timing, notices): (WorkTiming, &str),
    (log, index): (&run_log::RunLog, usize),
) -> stop_judge::RunEnd {
    if !wait(stream, timing.queued) {
        return stop_judge::RunEnd::GatewayGone;
    }
    log.begin(index);
    let is_written = wait(stream, timing.silent)
        && if request.head.target.starts_with("/stream/") {
            write_stream(stream, request, timing, notices)
        } else {
            write_plain(stream, request, timing, notices)
        };
    if is_written {
        stop_judge::RunEnd::Finished
    } else {
        stop_judge::RunEnd::GatewayGone
    }
}

/// Waits for `duration`; returns whether the gateway kept the connection open.
fn wait(stream: &mut net::TcpStream, duration: time::Duration) -> bool {
    let until = time::Instant::now() + duration;
    loop {
        if fakes::is_closed(stream) {
            return false;
        }
        let left = until.saturating_duration_since(time::Instant::now());
        if left.is_zero() {
            return true;
        }
        thread::sleep(left.min(CLOSE_CHECK_INTERVAL));
    }
}

fn head_text(request: &fakes::ReceivedRequest, notices: &str, framing: &str) -> String {
    let id = request.field("Kumquatpulley-Request-Id");
    let id = id.unwrap_or_default();
    format!(
        "HTTP/1.1 200 OK\r\nKumquatpulley-Request-Id: {id}\r\nKumquatpulley-Runner-Seal: s\r\n\
         {notices}{framing}\r\n\r\n"
    )
}

fn write_plain(
    stream: &mut net::TcpStream,
    request: &fakes::ReceivedRequest,
    timing: WorkTiming,
    notices: &str,
) -> bool {
    let id = request.field("Kumquatpulley-Request-Id");
    let body = timing.plain_body(&id.unwrap_or_default());
    let head = head_text(request, notices, &format!("Content-Length: {}", body.len()));
    stream.write_all((head + &body).as_bytes()).is_ok()
}

fn write_stream(
    stream: &mut net::TcpStream,
    request: &fakes::ReceivedRequest,
    timing: WorkTiming,
    notices: &str,
) -> bool {
    let last = request.field("Last-Event-Id");
    let last = last
        .and_then(|text| text.parse::<u64>().ok())
        .unwrap_or_default();
    let head = head_text(request, notices, "Transfer-Encoding: chunked");
    if stream.write_all(head.as_bytes()).is_err() {
        return false;
    }
    for event in last + 1..=timing.last_event() {
        let mut chunk = Vec::new();
        head::write_chunk(&mut chunk, event_text(event).as_bytes());
        let pause = if event < timing.last_event() {
            EVENT_INTERVAL
        } else {
            time::Duration::ZERO
        };
        if stream.write_all(&chunk).is_err() || !wait(stream, pause) {
            return false;
        }
    }
    stream.write_all(head::LAST_CHUNK).is_ok()
}
