//! JSON decoding of the entries that endpoints register in the platform store.

use std::fmt;
use std::net;

use crate::process::gateway::endpoint_registry;

/// Result of decoding an endpoint entry.
pub type Result<T> = std::result::Result<T, EntryError>;

/// Why an entry names no endpoint to use.
#[derive(Debug)]
pub enum EntryError {
    /// The value is not a JSON entry.
    Malformed(serde_json::Error),
    /// The name cannot be sent as a header value.
    InvalidName,
    /// No connection can be made to the address.
    InvalidAddress(net::SocketAddr),
    /// The endpoint processes no requests.
    NoSlots,
}

impl fmt::Display for EntryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(error) => write!(f, "the entry is not valid: {error}"),
            Self::InvalidName => f.write_str(
                "the name is not of visible ASCII characters; register under another one",
            ),
            Self::InvalidAddress(address) => write!(
                f,
                "nothing can listen at {address}; register the address of the endpoint"
            ),
            Self::NoSlots => f.write_str("the endpoint has no slots; register it with one or more"),
        }
    }
}

impl std::error::Error for EntryError {}

/// An entry; one without any of these fields comes from another writer.
#[derive(Debug)]
#[derive(serde::Deserialize)]
struct EntryWire {
    service: String,
    addr: net::SocketAddr,
    zone: String,
    version: String,
    slots: u32,
    state: StateWire,
    #[serde(rename = "cold_left_ms")]
    _cold_left_ms: f64,
    #[serde(rename = "seq")]
    _seq: u64,
    /// Start time of this incarnation of the endpoint, in milliseconds since the Unix epoch. A
    /// restarted endpoint may reuse its name.
    #[serde(default)]
    born: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize)]
#[serde(rename_all = "lowercase")]
enum StateWire {
    Ready,
    Draining,
}

/// Decodes the entry of the endpoint `name`.
///
/// # Errors
/// [`EntryError`] if the entry names no endpoint that requests can be sent to.
pub fn decode(name: &str, value: &[u8]) -> Result<endpoint_registry::EndpointRecord> {
    // Requests name their endpoint in a header, which a line break would end.
    if name.is_empty() || !name.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(EntryError::InvalidName);
    }
    let wire: EntryWire = serde_json::from_slice(value).map_err(EntryError::Malformed)?;
    if wire.addr.port() == 0 || wire.addr.ip().is_unspecified() {
        return Err(EntryError::InvalidAddress(wire.addr));
    }
    if wire.slots == 0 {
        return Err(EntryError::NoSlots);
    }
    Ok(endpoint_registry::EndpointRecord {
        name: name.to_owned(),
        incarnation: wire.born,
        service: wire.service,
        address: wire.addr,
        zone: wire.zone,
        version: wire.version,
        slots: wire.slots,
        is_leaving: wire.state == StateWire::Draining,
    })
}
