//! Byte streams and message codec under the links between routers.

use std::io;
use std::pin;
use std::sync::Arc;
use std::sync::atomic;
use std::task;

use async_std::net;
use futures::io::{AsyncRead, AsyncWrite};

/// Outcome of reading or writing a message; the text says what is wrong with it.
pub type Result<T> = std::result::Result<T, String>;

/// Longest message between routers, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// Flow-control window of one stream and of one connection, in bytes.
pub const WINDOW_BYTES: u32 = 1024 * 1024;

/// What one side of the peer links has carried.
#[derive(Debug, Default)]
pub struct PeerMeter {
    /// Bytes written to peers, h2 frames included.
    pub sent: atomic::AtomicU64,
    /// Bytes read from peers, h2 frames included.
    pub received: atomic::AtomicU64,
    /// Connections opened or accepted.
    pub connections: atomic::AtomicU64,
    /// Queries that were answered.
    pub served: atomic::AtomicU64,
    /// Queries that were refused as malformed or too long.
    pub refused: atomic::AtomicU64,
}

impl PeerMeter {
    /// Adds `amount` to one of the counters.
    pub fn add(counter: &atomic::AtomicU64, amount: usize) {
        let amount = u64::try_from(amount).unwrap_or(u64::MAX);
        counter.fetch_add(amount, atomic::Ordering::Relaxed);
    }

    /// Present value of one of the counters.
    pub fn read(counter: &atomic::AtomicU64) -> u64 {
        counter.load(atomic::Ordering::Relaxed)
    }
}

/// A TCP stream that counts its bytes.
#[derive(Debug)]
pub struct MeteredStream {
    stream: net::TcpStream,
    meter: Arc<PeerMeter>,
}

impl MeteredStream {
    /// Counts the bytes of `stream` in `meter`.
    pub fn new(stream: net::TcpStream, meter: Arc<PeerMeter>) -> Self {
        PeerMeter::add(&meter.connections, 1);
        Self { stream, meter }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut [u8],
    ) -> task::Poll<io::Result<usize>> {
        let poll = pin::Pin::new(&mut self.stream).poll_read(cx, buf);
        if let task::Poll::Ready(Ok(count)) = poll {
            PeerMeter::add(&self.meter.received, count);
        }
        poll
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let poll = pin::Pin::new(&mut self.stream).poll_write(cx, buf);
        if let task::Poll::Ready(Ok(count)) = poll {
            PeerMeter::add(&self.meter.sent, count);
        }
        poll
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_close(cx)
    }
}

/// The bytes of a message.
///
/// # Errors
///
/// When the message exceeds [`MAX_MESSAGE_BYTES`].
pub fn encode<T: serde::Serialize>(message: &T) -> Result<bytes::Bytes> {
    let encoded = bincode::serde::encode_to_vec(message, bincode::config::standard())
        .map_err(|error| format!("message cannot be encoded: {error}"))?;
    if encoded.len() > MAX_MESSAGE_BYTES {
        return Err(format!(
            "message has {} bytes, more than {MAX_MESSAGE_BYTES}; send less at a time",
            encoded.len()
        ));
    }
    Ok(bytes::Bytes::from(encoded))
}

/// The message in `encoded`.
///
/// # Errors
///
/// When the bytes are not exactly one message of this type.
pub fn decode<T: serde::de::DeserializeOwned>(encoded: &[u8]) -> Result<T> {
    let limits = bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>();
    let (message, used) = bincode::serde::decode_from_slice(encoded, limits)
        .map_err(|error| format!("message is malformed: {error}; check that versions match"))?;
    if used != encoded.len() {
        return Err("message has bytes after its end; check that versions match".to_owned());
    }
    Ok(message)
}

/// Reads a whole h2 body.
///
/// # Errors
///
/// When the stream breaks off, or the body exceeds [`MAX_MESSAGE_BYTES`].
pub async fn read_body(body: &mut h2::RecvStream) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk.map_err(|error| format!("stream broke off: {error}"))?;
        if bytes.len() + chunk.len() > MAX_MESSAGE_BYTES {
            return Err(format!("message exceeds {MAX_MESSAGE_BYTES} bytes"));
        }
        bytes.extend_from_slice(&chunk);
        body.flow_control()
            .release_capacity(chunk.len())
            .map_err(|error| format!("stream broke off: {error}"))?;
    }
    Ok(bytes)
}
