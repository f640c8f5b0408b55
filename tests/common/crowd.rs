//! Crowds of clients outside the operators' control, on loopback, and what a process holds meanwhile.

use std::fs;
use std::io::{Read as _, Write as _};
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

/// Longest wait for a socket of a client: several times the time limits of the processes.
const SOCKET_TIMEOUT: time::Duration = time::Duration::from_secs(15);

/// Bytes of a body that a client sends at once.
const PIECE_BYTES: usize = 64 * 1024;

/// Pause between the pieces of a body that is sent piece by piece: short enough for the whole body to
/// arrive within some seconds, and long enough for the bodies of a crowd to be interleaved.
const PIECE_PAUSE: time::Duration = time::Duration::from_millis(20);

/// Bytes of a body that a client that stops short leaves out.
const BYTES_SHORT: usize = 64;

/// One of so many clients that stop short continues to send single bytes.
const TRICKLE_DIVISOR: usize = 4;

/// Pause between single bytes, and how many are sent: fewer than are missing.
const TRICKLE_PAUSE: time::Duration = time::Duration::from_millis(100);
const TRICKLED_BYTES: usize = 15;

/// Bytes of an answer that a client reads: a head.
const MAX_HEAD_BYTES: usize = 4096;

/// Interval at which descriptors are counted.
const WATCH_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// How a body is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// With a length.
    Length,
    /// In chunks of this size.
    Chunks(usize),
}

/// How fast a body is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendPace {
    Whole,
    Pieces,
}

/// What a client does at the end of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendEnd {
    /// Sends all of it and reads the head of the answer.
    Complete,
    /// Leaves out the last bytes and stays open; some clients continue to send single bytes.
    StopsShort,
}

/// Where clients connect from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceCount {
    One,
    /// An address for each client.
    Many,
}

/// Clients that all do the same at the same time.
#[derive(Clone, Copy, Debug)]
pub struct CrowdShape {
    pub clients: usize,
    /// Size of each body, without its framing.
    pub body_bytes: usize,
    pub framing: BodyFraming,
    pub pace: SendPace,
    pub end: SendEnd,
    pub sources: SourceCount,
}

/// What became of one client.
#[derive(Debug)]
pub struct ClientEnd {
    pub number: usize,
    /// Status of the answer; `None` if there was none or it was not read.
    pub status: Option<u16>,
    /// Head of the answer, in lower case.
    pub head: String,
    /// Its connection, which is open until this is dropped.
    pub stream: Option<net::TcpStream>,
}

/// Runs the crowd; `head` makes the request head of a client, without the field that states the framing
/// and without the empty line. Returns once all have sent what they send.
pub fn run(
    target: net::SocketAddr,
    shape: CrowdShape,
    head: impl Fn(usize) -> String + Send + Sync + 'static,
) -> Vec<ClientEnd> {
    let head = sync::Arc::new(head);
    let clients: Vec<_> = (0..shape.clients)
        .map(|number| {
            let head = sync::Arc::clone(&head);
            thread::spawn(move || run_client(target, shape, number, &head(number)))
        })
        .collect();
    let ends = clients.into_iter().map(thread::JoinHandle::join);
    ends.map(|end| end.expect("no panic")).collect()
}

/// Connects from an address of this client or, for [`SourceCount::One`], of the crowd.
pub fn connect(
    target: net::SocketAddr,
    sources: SourceCount,
    number: usize,
) -> Option<net::TcpStream> {
    let last = match sources {
        SourceCount::One => 1,
        SourceCount::Many => 2 + u8::try_from(number % 250).expect("below 250"),
    };
    let kind = socket2::Type::STREAM;
    let socket = socket2::Socket::new(socket2::Domain::IPV4, kind, None).ok()?;
    let source = net::SocketAddr::from(([127, 254, 254, last], 0));
    socket.bind(&source.into()).ok()?;
    socket
        .connect_timeout(&target.into(), SOCKET_TIMEOUT)
        .ok()?;
    socket.set_write_timeout(Some(SOCKET_TIMEOUT)).ok()?;
    socket.set_read_timeout(Some(SOCKET_TIMEOUT)).ok()?;
    Some(socket.into())
}

fn run_client(target: net::SocketAddr, shape: CrowdShape, number: usize, head: &str) -> ClientEnd {
    let mut end = ClientEnd {
        number,
        status: None,
        head: String::new(),
        stream: None,
    };
    let Some(mut stream) = connect(target, shape.sources, number) else {
        return end;
    };
    let framing = match shape.framing {
        BodyFraming::Length => format!("Content-Length: {}", shape.body_bytes),
        BodyFraming::Chunks(_) => "Transfer-Encoding: chunked".to_owned(),
    };
    let head = format!("{head}\r\n{framing}\r\n\r\n");
    let is_sent = stream.write_all(head.as_bytes()).is_ok() && send_body(&mut stream, shape);
    match shape.end {
        SendEnd::StopsShort if is_sent && number.is_multiple_of(TRICKLE_DIVISOR) => {
            trickle(&mut stream);
        }
        SendEnd::StopsShort if is_sent => {}
        // A client that cannot send any more reads why.
        _ => {
            end.head = read_head(&mut stream);
            let status = end.head.split(' ').nth(1);
            end.status = status.and_then(|status| status.parse().ok());
        }
    }
    end.stream = Some(stream);
    end
}

/// Whether all that the client means to send was sent.
fn send_body(stream: &mut net::TcpStream, shape: CrowdShape) -> bool {
    let missing = match shape.end {
        SendEnd::Complete => 0,
        SendEnd::StopsShort => BYTES_SHORT,
    };
    let mut left = shape.body_bytes - missing;
    while left > 0 {
        let bytes = left.min(PIECE_BYTES);
        if stream.write_all(&piece(shape.framing, bytes)).is_err() {
            return false;
        }
        left -= bytes;
        if shape.pace == SendPace::Pieces {
            thread::sleep(PIECE_PAUSE);
        }
    }
    match (shape.framing, shape.end) {
        (BodyFraming::Chunks(_), SendEnd::Complete) => stream.write_all(b"0\r\n\r\n").is_ok(),
        // The rest arrives byte by byte, if at all.
        (BodyFraming::Chunks(_), SendEnd::StopsShort) => stream
            .write_all(format!("{BYTES_SHORT:x}\r\n").as_bytes())
            .is_ok(),
        (BodyFraming::Length, _) => true,
    }
}

/// The bytes on the wire for `bytes` of a body.
fn piece(framing: BodyFraming, bytes: usize) -> Vec<u8> {
    let BodyFraming::Chunks(size) = framing else {
        return vec![b'x'; bytes];
    };
    let mut wire = Vec::new();
    let mut left = bytes;
    while left > 0 {
        let chunk = left.min(size);
        wire.extend_from_slice(format!("{chunk:x}\r\n").as_bytes());
        wire.resize(wire.len() + chunk, b'x');
        wire.extend_from_slice(b"\r\n");
        left -= chunk;
    }
    wire
}

fn trickle(stream: &mut net::TcpStream) {
    for _byte in 0..TRICKLED_BYTES {
        if stream.write_all(b"x").is_err() {
            return;
        }
        thread::sleep(TRICKLE_PAUSE);
    }
}

fn read_head(stream: &mut net::TcpStream) -> String {
    let mut head = vec![0; MAX_HEAD_BYTES];
    // A reset, a timeout or a closed connection: there is no answer.
    let count = stream.read(&mut head).unwrap_or_default();
    head.truncate(count);
    String::from_utf8_lossy(&head).to_ascii_lowercase()
}

/// Samples the descriptors of a process until it is dropped.
#[derive(Debug)]
pub struct ProcessWatch {
    pid: u32,
    is_over: sync::Arc<atomic::AtomicBool>,
    max_descriptors: sync::Arc<atomic::AtomicUsize>,
}

impl ProcessWatch {
    pub fn start(pid: u32) -> Self {
        let watch = Self {
            pid,
            is_over: sync::Arc::default(),
            max_descriptors: sync::Arc::default(),
        };
        let is_over = sync::Arc::clone(&watch.is_over);
        let max_descriptors = sync::Arc::clone(&watch.max_descriptors);
        thread::spawn(move || {
            while !is_over.load(atomic::Ordering::SeqCst) {
                max_descriptors.fetch_max(descriptors(pid), atomic::Ordering::SeqCst);
                thread::sleep(WATCH_INTERVAL);
            }
        });
        watch
    }

    /// Most descriptors that were open at a time.
    pub fn max_descriptors(&self) -> usize {
        self.max_descriptors.load(atomic::Ordering::SeqCst)
    }

    /// Most resident memory since the process started, in KB; `None` if it has ended.
    pub fn peak_kb(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid)).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }
}

impl Drop for ProcessWatch {
    fn drop(&mut self) {
        self.is_over.store(true, atomic::Ordering::SeqCst);
    }
}

fn descriptors(pid: u32) -> usize {
    fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count)
}
