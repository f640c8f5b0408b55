//! An endpoint that sends nothing for a while, on no connection, and then goes on.

use std::io::{Read as _, Write as _};
use std::net;
use std::sync;
use std::thread;
use std::time;

use crate::support::fakes;

/// How long the endpoint is silent.
pub const SILENCE: time::Duration = time::Duration::from_millis(1_500);

/// Pause between the events of a stream.
const EVENT_PAUSE: time::Duration = time::Duration::from_millis(20);

/// Interval between checks whether the silence has ended.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// The part of its first answer before which the endpoint falls silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerPart {
    Head,
    /// The second half of the head.
    RestOfHead,
    Body,
    /// The second half of the body; of a stream, in the midst of an event.
    RestOfBody,
    /// The fifth event of a stream.
    LaterEvent,
    /// Every part: the answer is lost, and reports list no request.
    Whole,
}

#[derive(Debug, Default)]
struct SilenceState {
    until: Option<time::Instant>,
    received: Vec<fakes::ReceivedRequest>,
}

/// Fake of an endpoint that falls silent once.
#[derive(Clone, Debug)]
pub struct SilentEndpoint {
    pub address: net::SocketAddr,
    state: sync::Arc<sync::Mutex<SilenceState>>,
}

impl SilentEndpoint {
    pub fn start(ip: net::IpAddr, part: AnswerPart) -> Self {
        let listener = net::TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("bound");
        let endpoint = Self {
            address,
            state: sync::Arc::default(),
        };
        let served = endpoint.clone();
        fakes::serve(listener, move |stream| {
            // The gateway may have gone.
            let _gone = served.answer(stream, part);
        });
        endpoint
    }

    /// This endpoint's entry in the store.
    pub fn entry(&self, service: &str, zone: &str) -> Vec<u8> {
        fakes::FakeEndpoint::entry_at(self.address, service, zone, "ready")
    }

    /// Requests received, except for reports and probes.
    pub fn received(&self) -> Vec<fakes::ReceivedRequest> {
        self.state.lock().expect("not poisoned").received.clone()
    }

    /// Whether the silence has begun.
    pub fn is_silent(&self) -> bool {
        self.state.lock().expect("not poisoned").until.is_some()
    }

    fn fall_silent(&self) {
        let mut state = self.state.lock().expect("not poisoned");
        let until = time::Instant::now() + SILENCE;
        state.until.get_or_insert(until);
        drop(state);
        self.wait();
    }

    fn wait(&self) {
        loop {
            let until = self.state.lock().expect("not poisoned").until;
            if until.is_none_or(|until| time::Instant::now() >= until) {
                return;
            }
            thread::sleep(CHECK_INTERVAL);
        }
    }

    fn answer(&self, stream: &mut net::TcpStream, part: AnswerPart) -> std::io::Result<()> {
        self.wait();
        let Some(request) = fakes::read_request(stream) else {
            return Ok(());
        };
        self.wait();
        if request.head.target == "/report" {
            let active = u8::from(part != AnswerPart::Whole);
            let report = serde_json::json!({"queued": 0, "active": active, "kv_used": 0,
                "kv_total": 88_000, "runs": []});
            fakes::write_json(stream, 200, &report);
            return Ok(());
        }
        if !request.head.target.contains("/1") {
            fakes::write_json(stream, 200, &serde_json::json!({}));
            return Ok(());
        }
        let mut state = self.state.lock().expect("not poisoned");
        state.received.push(request.clone());
        let is_first = state.received.len() == 1;
        drop(state);
        if part == AnswerPart::Whole {
            // Until the gateway closes the connection.
            return stream.read(&mut [0_u8; 1]).map(drop);
        }
        let pause_before = |reached: AnswerPart| {
            if is_first && reached == part {
                self.fall_silent();
            }
            self.wait();
        };
        if request.head.target.starts_with("/stream/") {
            return write_stream(stream, &request, pause_before);
        }
        let id = request.field("Kumquatpulley-Request-Id");
        let id = id.unwrap_or_default();
        let body = fakes::plain_answer(&id);
        let head = head_text(&id, &format!("Content-Length: {}", body.len()));
        write_halves(
            stream,
            &head,
            AnswerPart::Head,
            AnswerPart::RestOfHead,
            &pause_before,
        )?;
        write_halves(
            stream,
            &body,
            AnswerPart::Body,
            AnswerPart::RestOfBody,
            &pause_before,
        )
    }
}

fn head_text(id: &str, framing: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nKumquatpulley-Request-Id: {id}\r\nKumquatpulley-Runner-Seal: s\r\n\
         Content-Type: text/event-stream\r\n{framing}\r\n\r\n"
    )
}

fn write_halves(
    stream: &mut net::TcpStream,
    text: &str,
    whole: AnswerPart,
    rest: AnswerPart,
    pause_before: &impl Fn(AnswerPart),
) -> std::io::Result<()> {
    let (first, second) = text.split_at(text.len() / 2);
    pause_before(whole);
    stream.write_all(first.as_bytes())?;
    pause_before(rest);
    stream.write_all(second.as_bytes())
}

fn write_stream(
    stream: &mut net::TcpStream,
    request: &fakes::ReceivedRequest,
    pause_before: impl Fn(AnswerPart),
) -> std::io::Result<()> {
    let id = request.field("Kumquatpulley-Request-Id");
    let head = head_text(&id.unwrap_or_default(), "Transfer-Encoding: chunked");
    write_halves(
        stream,
        &head,
        AnswerPart::Head,
        AnswerPart::RestOfHead,
        &pause_before,
    )?;
    pause_before(AnswerPart::Body);
    let last = request.field("Last-Event-Id");
    let last = last.and_then(|text| text.parse::<u64>().ok());
    for event in last.unwrap_or_default() + 1..=fakes::EVENT_COUNT {
        let text = format!("id: {event}\ndata: piece {event}\n\n");
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        if event == 5 {
            let (whole, rest) = (AnswerPart::LaterEvent, AnswerPart::RestOfBody);
            write_halves(stream, &chunk, whole, rest, &pause_before)?;
        } else {
            stream.write_all(chunk.as_bytes())?;
        }
        thread::sleep(EVENT_PAUSE);
    }
    stream.write_all(b"0\r\n\r\n")
}
