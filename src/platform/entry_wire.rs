//! The entries with which endpoints announce themselves in the store.

use std::net;

use crate::process::gateway::endpoint_registry;

/// Outcome of decoding.
pub type Result<T> = std::result::Result<T, serde_json::Error>;

#[derive(Debug)]
#[derive(serde::Deserialize)]
struct EntryWire {
    service: String,
    addr: net::SocketAddr,
    zone: String,
    slots: u32,
    state: StateWire,
    /// Start of this life of the endpoint, in milliseconds since the Unix epoch; a name may be used
    /// again by a later life.
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
/// The decoder's error for bytes that are no entry.
pub fn decode(name: &str, value: &[u8]) -> Result<endpoint_registry::EndpointRecord> {
    let wire: EntryWire = serde_json::from_slice(value)?;
    Ok(endpoint_registry::EndpointRecord {
        name: name.to_owned(),
        incarnation: wire.born,
        service: wire.service,
        address: wire.addr,
        zone: wire.zone,
        slots: wire.slots,
        is_leaving: wire.state == StateWire::Draining,
    })
}
