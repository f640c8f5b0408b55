//! A caller that checks whether answers are complete.

use std::io;
use std::io::{Read as _, Write as _};
use std::net;
use std::time;

use kumquatpulley::connection::h1::{body, head};

use crate::support::fakes;

/// Longest wait for the next bytes of an answer.
const READ_TIMEOUT: time::Duration = time::Duration::from_secs(15);

/// Chunks of a body that is sent in chunks.
const CHUNK_COUNT: usize = 3;

/// The text of a request with a body of two bytes.
pub fn request(path: &str, id: &str, key: &str) -> String {
    prompt_request(path, id, key, None)
}

/// The text of a request that names the parts of its prompt, if it has any.
pub fn prompt_request(path: &str, id: &str, key: &str, parts: Option<&str>) -> String {
    let prompt = parts.map_or_else(String::new, |parts| {
        format!("Kumquatpulley-Prompt-Prefix: {parts}\r\n")
    });
    format!(
        "POST {path} HTTP/1.1\r\nHost: h\r\nKumquatpulley-Request-Id: {id}\r\n{prompt}\
         Kumquatpulley-Deadline-Ms: 8000\r\nAuthorization: Bearer {key}\r\nContent-Length: 2\r\n\r\nhi"
    )
}

/// A request with a body and a key of its own.
#[derive(Clone, Copy, Debug)]
pub struct CallText {
    pub path: &'static str,
    pub key: &'static str,
    pub body: &'static [u8],
    /// Whether the body is sent in chunks instead of with its length.
    pub is_chunked: bool,
}

impl CallText {
    /// A request as [`request`] makes it.
    pub const fn plain(path: &'static str) -> Self {
        Self {
            path,
            key: "k",
            body: b"hi",
            is_chunked: false,
        }
    }

    /// The bytes of the request, which names the parts of its prompt if it has any.
    pub fn bytes(&self, id: &str, parts: Option<&str>) -> Vec<u8> {
        let text = prompt_request(self.path, id, self.key, parts);
        let framing = if self.is_chunked {
            "Transfer-Encoding: chunked".to_owned()
        } else {
            format!("Content-Length: {}", self.body.len())
        };
        let text = text.replace("Content-Length: 2\r\n\r\nhi", &framing);
        let mut bytes = format!("{text}\r\n\r\n").into_bytes();
        if self.is_chunked {
            for chunk in self
                .body
                .chunks(self.body.len().div_ceil(CHUNK_COUNT).max(1))
            {
                head::write_chunk(&mut bytes, chunk);
            }
            bytes.extend_from_slice(head::LAST_CHUNK);
        } else {
            bytes.extend_from_slice(self.body);
        }
        bytes
    }
}

/// An answer as received.
#[derive(Debug)]
pub struct Answer {
    pub head: head::ResponseHead,
    pub body: Vec<u8>,
    /// Whether the body was received to its end.
    pub is_complete: bool,
    /// Longest time between two reads of the body.
    pub longest_pause: time::Duration,
}

impl Answer {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends bytes and reads one answer; `None` if there is no valid head.
pub fn exchange(address: net::SocketAddr, bytes: &[u8]) -> Option<Answer> {
    let mut stream = net::TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
    stream.write_all(bytes).ok()?;
    read_answer(&mut stream)
}

/// Reads one answer; if the connection ends early, it is not complete.
pub fn read_answer(stream: &mut net::TcpStream) -> Option<Answer> {
    read_to_end(stream).0
}

/// Reads one answer; returns why it is not complete, too.
pub fn read_to_end(stream: &mut net::TcpStream) -> (Option<Answer>, io::Result<()>) {
    let mut answer = None;
    let end = read_into(stream, &mut answer);
    (answer, end)
}

fn read_into(stream: &mut net::TcpStream, answer: &mut Option<Answer>) -> io::Result<()> {
    let mut pending = Vec::new();
    let (head, length) = loop {
        let parsed = head::parse_response(&pending).map_err(io::Error::other)?;
        if let Some(parsed) = parsed {
            break parsed;
        }
        fill(stream, &mut pending)?;
    };
    pending.drain(..length);
    let framing = head.framing("POST").map_err(io::Error::other)?;
    let mut decoder = body::BodyDecoder::new(framing);
    let begun = Answer {
        head,
        body: Vec::new(),
        is_complete: false,
        longest_pause: time::Duration::ZERO,
    };
    let mut last = time::Instant::now();
    let answered = answer.insert(begun);
    loop {
        let Ok(used) = decoder.decode(&pending, &mut answered.body) else {
            *answer = None;
            return Err(io::Error::other("a malformed body"));
        };
        pending.drain(..used);
        answered.is_complete = decoder.is_complete();
        if answered.is_complete {
            return Ok(());
        }
        fill(stream, &mut pending)?;
        answered.longest_pause = answered.longest_pause.max(last.elapsed());
        last = time::Instant::now();
    }
}

fn fill(stream: &mut net::TcpStream, pending: &mut Vec<u8>) -> io::Result<()> {
    let mut chunk = [0_u8; 4096];
    let count = stream.read(&mut chunk)?;
    if count == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    pending.extend_from_slice(&chunk[..count]);
    Ok(())
}

/// The body of a complete stream.
pub fn complete_stream() -> String {
    let events =
        (1..=fakes::EVENT_COUNT).map(|event| format!("id: {event}\ndata: piece {event}\n\n"));
    events.collect()
}
