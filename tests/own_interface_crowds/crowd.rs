//! Many clients at once, driven by one thread: most stop just short of the end of their request.

use std::io;
use std::io::{Read as _, Write as _};
use std::net;
use std::sync;
use std::thread;
use std::time;

use crate::process_usage;

/// Time after which a crowd stops sending, whatever it has sent.
const SEND_LIMIT: time::Duration = time::Duration::from_secs(20);

/// Time without progress after which a crowd counts as stalled.
const STALL_LIMIT: time::Duration = time::Duration::from_secs(2);

/// Bytes that most clients never send.
const MISSING_BYTES: usize = 5;

/// One in so many clients sends the rest of its request.
const SEND_ON_EVERY: usize = 8;

/// Rounds between two counts of descriptors.
const SAMPLE_ROUNDS: usize = 16;

/// How the body is delimited.
#[derive(Clone, Copy, Debug)]
pub enum Framing {
    /// By `Content-Length`.
    Announced,
    /// In chunks of this many bytes.
    Chunked(usize),
}

/// What a crowd sends.
#[derive(Clone, Copy, Debug)]
pub struct CrowdPlan {
    /// Number of clients.
    pub size: usize,
    /// Number of source addresses.
    pub addresses: usize,
    /// How bodies are delimited.
    pub framing: Framing,
    /// Most bytes of one client in one round.
    pub piece_bytes: usize,
    /// Size of each body.
    pub body_bytes: usize,
}

/// A request whose body has `body_bytes`.
pub fn request(framing: Framing, body_bytes: usize) -> Vec<u8> {
    let head = "POST /s/s/orders HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer demo-key\r\n\
                Connection: close\r\n";
    let mut bytes = head.as_bytes().to_vec();
    match framing {
        Framing::Announced => {
            bytes.extend(format!("Content-Length: {body_bytes}\r\n\r\n").as_bytes());
            bytes.resize(bytes.len() + body_bytes, b'x');
        }
        Framing::Chunked(chunk_bytes) => {
            bytes.extend(b"Transfer-Encoding: chunked\r\n\r\n");
            let mut chunk = format!("{chunk_bytes:x}\r\n").into_bytes();
            chunk.resize(chunk.len() + chunk_bytes, b'x');
            chunk.extend(b"\r\n");
            for _chunk in 0..body_bytes / chunk_bytes {
                bytes.extend(&chunk);
            }
            bytes.extend(b"0\r\n\r\n");
        }
    }
    bytes
}

/// Clients that are connected.
#[derive(Debug)]
pub struct Crowd {
    clients: Vec<CrowdClient>,
    piece_bytes: usize,
}

#[derive(Debug)]
struct CrowdClient {
    /// `None` once the router has closed the connection.
    stream: Option<net::TcpStream>,
    request: sync::Arc<[u8]>,
    sent: usize,
}

impl Crowd {
    /// Connects all clients of the plan, each from one of its addresses.
    pub fn connect(router: net::SocketAddr, plan: &CrowdPlan) -> Self {
        let request: sync::Arc<[u8]> = request(plan.framing, plan.body_bytes).into();
        let clients = (0..plan.size).map(|index| CrowdClient {
            stream: connect_from(index % plan.addresses, router).ok(),
            request: sync::Arc::clone(&request),
            sent: 0,
        });
        Self {
            clients: clients.collect(),
            piece_bytes: plan.piece_bytes,
        }
    }

    /// Sends all requests up to their last bytes, then some of them to their end.
    pub fn send(&mut self, usage: &mut process_usage::UsageWatch) {
        let deadline = time::Instant::now() + SEND_LIMIT;
        self.send_until(deadline, usage, |_index| MISSING_BYTES);
        let missing = |index: usize| {
            if index.is_multiple_of(SEND_ON_EVERY) {
                return 0;
            }
            MISSING_BYTES
        };
        self.send_until(deadline + STALL_LIMIT, usage, missing);
    }

    fn send_until(
        &mut self,
        deadline: time::Instant,
        usage: &mut process_usage::UsageWatch,
        missing: impl Fn(usize) -> usize,
    ) {
        let mut progressed_at = time::Instant::now();
        for round in 0_usize.. {
            let now = time::Instant::now();
            if now >= deadline || now - progressed_at >= STALL_LIMIT {
                return;
            }
            let mut has_sent = false;
            let mut has_left = false;
            for (index, client) in self.clients.iter_mut().enumerate() {
                let end = client.request.len() - missing(index);
                has_sent |= client.send_piece(self.piece_bytes, end);
                has_left |= client.stream.is_some() && client.sent < end;
            }
            if round.is_multiple_of(SAMPLE_ROUNDS) {
                usage.sample();
            }
            if !has_left {
                return;
            }
            if has_sent {
                progressed_at = now;
            } else {
                thread::sleep(time::Duration::from_millis(1));
            }
        }
    }
}

impl CrowdClient {
    /// Sends the next piece without waiting; whether any byte of it went out.
    fn send_piece(&mut self, piece_bytes: usize, end: usize) -> bool {
        let Some(stream) = &mut self.stream else {
            return false;
        };
        let mut answer = [0; 4 * 1024];
        let mut is_closed = match stream.read(&mut answer) {
            Ok(count) => count == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        };
        let mut count = 0;
        if !is_closed && self.sent < end {
            let piece_end = self.sent.saturating_add(piece_bytes).min(end);
            match stream.write(&self.request[self.sent..piece_end]) {
                Ok(written) => count = written,
                Err(error) => is_closed = error.kind() != io::ErrorKind::WouldBlock,
            }
        }
        self.sent += count;
        if is_closed {
            self.stream = None;
        }
        count > 0
    }
}

/// Connects from an address of the loopback network that no ordinary caller uses.
fn connect_from(index: usize, router: net::SocketAddr) -> io::Result<net::TcpStream> {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
    let last = u8::try_from(index % 250).unwrap_or_default() + 1;
    socket.bind(&net::SocketAddr::from(([127, 0, 1, last], 0)).into())?;
    socket.connect(&router.into())?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}
