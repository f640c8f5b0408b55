//! A caller on a kept connection that tells apart how each request ended.

use std::io;
use std::io::{Read as _, Write as _};
use std::net;
use std::thread;
use std::time;

use kumquatpulley::connection::h1::{body, head};

use crate::support::{stop_judge, timed_work};

/// Time for a connection.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Timeout of calls in the tests' configuration.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Timeout of streams in the tests' configuration.
const STREAM_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Time that a caller waits for an answer after its time limit.
const PATIENCE: time::Duration = time::Duration::from_secs(1);

/// A request and the time that its endpoint takes for it.
#[derive(Clone, Debug)]
pub struct TimedRequest {
    pub id: String,
    /// Path below a route.
    pub path: &'static str,
    pub timing: timed_work::WorkTiming,
    /// Event of the stream after which it goes on.
    pub last_event: Option<u64>,
    /// Deadline that its caller sets instead of the timeout of its route.
    pub deadline: Option<time::Duration>,
}

impl TimedRequest {
    /// A request that does not go on after an event.
    pub const fn new(id: String, path: &'static str, timing: timed_work::WorkTiming) -> Self {
        Self {
            id,
            path,
            timing,
            last_event: None,
            deadline: None,
        }
    }

    pub fn is_stream(&self) -> bool {
        self.path.starts_with("/stream/")
    }

    /// Time within which the request has to be answered.
    pub fn time_limit(&self) -> time::Duration {
        let timeout = if self.is_stream() {
            STREAM_TIMEOUT
        } else {
            CALL_TIMEOUT
        };
        self.deadline.unwrap_or(timeout)
    }

    /// The head and the body of two bytes.
    pub fn text(&self) -> (String, &'static str) {
        let resumed = self
            .last_event
            .map_or_else(String::new, |event| format!("Last-Event-Id: {event}\r\n"));
        let head = format!(
            "POST {} HTTP/1.1\r\nHost: h\r\nKumquatpulley-Request-Id: {}\r\n{resumed}\
             Kumquatpulley-Deadline-Ms: {}\r\nAuthorization: Bearer k\r\nContent-Length: 2\r\n\r\n",
            self.timing.target(self.path),
            self.id,
            self.time_limit().as_millis()
        );
        (head, "hi")
    }

    fn expected_body(&self) -> String {
        if self.is_stream() {
            self.timing.stream_body(self.last_event.unwrap_or_default())
        } else {
            self.timing.plain_body(&self.id)
        }
    }
}

/// How fast a caller reads.
#[derive(Clone, Copy, Debug)]
pub struct ReadPace {
    /// Most bytes of one read.
    pub bytes: usize,
    /// Pause after each read.
    pub pause: time::Duration,
}

impl ReadPace {
    pub const FULL: Self = Self {
        bytes: 16 * 1024,
        pause: time::Duration::ZERO,
    };
}

/// What a caller saw of one request.
#[derive(Clone, Debug)]
pub struct CallResult {
    pub view: stop_judge::CallerView,
    pub path: &'static str,
    /// Whether the answer is a complete success.
    pub is_served: bool,
    /// What was wrong with the answer.
    pub fault: Option<String>,
    /// Delay that a refusal asked for.
    pub retry_after: Option<time::Duration>,
    /// Whether the connection can be used again.
    pub is_kept: bool,
}

/// Opens a connection to a gateway.
pub fn connect(gateway: net::IpAddr) -> Option<net::TcpStream> {
    let address = net::SocketAddr::from((gateway, 8227));
    let stream = net::TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
    stream.set_nodelay(true).ok()?;
    Some(stream)
}

/// Sends a request on a connection and reads the answer.
pub fn call(
    stream: &mut net::TcpStream,
    gateway: net::IpAddr,
    request: &TimedRequest,
) -> CallResult {
    let sent = time::Instant::now();
    let (head, body) = request.text();
    let written = stream.write_all((head + body).as_bytes());
    let last_byte = time::Instant::now();
    let mut result = CallResult::new(gateway, request, (sent, last_byte));
    match written {
        Ok(()) => result.read(stream, request, ReadPace::FULL),
        Err(error) => result.end_with(&error),
    }
    result
}

impl CallResult {
    /// A request that was sent and has no answer yet.
    pub fn new(
        gateway: net::IpAddr,
        request: &TimedRequest,
        (sent, last_byte): (time::Instant, time::Instant),
    ) -> Self {
        Self {
            view: stop_judge::CallerView {
                id: request.id.clone(),
                gateway,
                sent,
                last_byte,
                ended: last_byte,
                status: None,
                end: stop_judge::CallEnd::GivenUp,
                time_limit: request.time_limit(),
                has_successor: false,
            },
            path: request.path,
            is_served: false,
            fault: None,
            retry_after: None,
            is_kept: false,
        }
    }

    /// Reads the answer.
    pub fn read(&mut self, stream: &mut net::TcpStream, request: &TimedRequest, pace: ReadPace) {
        if let Err(error) = self.read_whole(stream, request, pace) {
            self.end_with(&error);
        }
    }

    fn read_whole(
        &mut self,
        stream: &mut net::TcpStream,
        request: &TimedRequest,
        pace: ReadPace,
    ) -> io::Result<()> {
        let until = self.view.sent + request.time_limit() + PATIENCE;
        let mut pending = Vec::new();
        let (head, length) = loop {
            let parsed = head::parse_response(&pending);
            if let Some(parsed) = parsed.map_err(io::Error::other)? {
                break parsed;
            }
            fill(stream, &mut pending, pace, until)?;
        };
        pending.drain(..length);
        self.view.status = Some(head.status);
        let framing = head.framing("POST").map_err(io::Error::other)?;
        let mut decoder = body::BodyDecoder::new(framing);
        let mut body = Vec::new();
        loop {
            let used = decoder.decode(&pending, &mut body);
            let used = used.map_err(|_malformed| io::Error::other("a malformed body"))?;
            pending.drain(..used);
            if decoder.is_complete() {
                break;
            }
            fill(stream, &mut pending, pace, until)?;
        }
        self.view.ended = time::Instant::now();
        self.view.end = stop_judge::CallEnd::Answered;
        self.check(&head, &String::from_utf8_lossy(&body), request);
        Ok(())
    }

    fn check(&mut self, head: &head::ResponseHead, body: &str, request: &TimedRequest) {
        self.is_kept = !head.headers.has_token("connection", "close");
        let retry_after = head.headers.get("Retry-After");
        let retry_after = retry_after.and_then(|text| text.parse::<f64>().ok());
        self.retry_after = retry_after.map(time::Duration::from_secs_f64);
        if head.status != 200 {
            return;
        }
        if head.headers.get("Kumquatpulley-Request-Id") != Some(request.id.as_str()) {
            self.fault = Some(format!("{}: answer of another request", request.id));
        } else if body != request.expected_body() {
            self.fault = Some(format!("{}: a whole answer is wrong: {body:?}", request.id));
        }
        self.is_served = self.fault.is_none();
    }

    fn end_with(&mut self, error: &io::Error) {
        self.view.ended = time::Instant::now();
        self.view.end = stop_judge::CallEnd::of_error(error);
        if error.kind() == io::ErrorKind::Other {
            self.fault = Some(format!("{}: {error}", self.view.id));
        }
    }
}

fn fill(
    stream: &mut net::TcpStream,
    pending: &mut Vec<u8>,
    pace: ReadPace,
    until: time::Instant,
) -> io::Result<()> {
    let left = until.saturating_duration_since(time::Instant::now());
    if left.is_zero() {
        return Err(io::ErrorKind::TimedOut.into());
    }
    stream.set_read_timeout(Some(left))?;
    let mut chunk = vec![0_u8; pace.bytes];
    let count = stream.read(&mut chunk)?;
    if count == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    pending.extend_from_slice(&chunk[..count]);
    thread::sleep(pace.pause);
    Ok(())
}
