//! JSON decoding of the entries that endpoints register in the platform store.

use std::net;

use crate::process::gateway::endpoint_registry;

/// Result of decoding an endpoint entry.
pub type Result<T> = std::result::Result<T, serde_json::Error>;

#[derive(Debug)]
#[derive(serde::Deserialize)]
struct EntryWire {
    service: String,
    addr: net::SocketAddr,
    zone: String,
    slots: u32,
    state: StateWire,
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
/// The JSON error if `value` is not a valid entry.
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
