//! Byte streams and the message codec of connections between routers.

use std::sync;
use std::sync::atomic;

use async_std::net;

use crate::connection::observed;

/// Result of encoding, decoding or reading a message; the error describes what is wrong.
pub type Result<T> = std::result::Result<T, String>;

/// Maximum size of a message between routers, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// Flow-control window of one stream and of one connection, in bytes.
pub const WINDOW_BYTES: u32 = 1024 * 1024;

/// Traffic counters of one side of the peer connections.
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

    /// Current value of one of the counters.
    pub fn read(counter: &atomic::AtomicU64) -> u64 {
        counter.load(atomic::Ordering::Relaxed)
    }
}

/// Counts the bytes of a connection in a meter.
#[derive(Clone, Debug)]
pub struct MeterObserver {
    meter: sync::Arc<PeerMeter>,
}

impl observed::StreamObserver for MeterObserver {
    fn wrote(&self, count: usize) {
        PeerMeter::add(&self.meter.sent, count);
    }

    fn read(&self, count: usize) {
        PeerMeter::add(&self.meter.received, count);
    }
}

/// A TCP stream that counts its bytes.
pub type MeteredStream = observed::ObservedStream<MeterObserver>;

/// Counts the connection and the bytes of `stream` in `meter`.
#[must_use]
pub fn metered(stream: net::TcpStream, meter: sync::Arc<PeerMeter>) -> MeteredStream {
    PeerMeter::add(&meter.connections, 1);
    observed::ObservedStream::new(stream, MeterObserver { meter })
}

/// Encodes a message.
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

/// Decodes the message in `encoded`.
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
/// When the stream fails, or the body exceeds [`MAX_MESSAGE_BYTES`].
pub async fn read_body(body: &mut h2::RecvStream) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk.map_err(|error| format!("stream failed: {error}"))?;
        if bytes.len() + chunk.len() > MAX_MESSAGE_BYTES {
            return Err(format!("message exceeds {MAX_MESSAGE_BYTES} bytes"));
        }
        bytes.extend_from_slice(&chunk);
        body.flow_control()
            .release_capacity(chunk.len())
            .map_err(|error| format!("stream failed: {error}"))?;
    }
    Ok(bytes)
}
