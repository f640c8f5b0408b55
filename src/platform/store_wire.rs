//! Wire format of the platform store's rows, and decoding of their values.

use std::fmt;

use base64::Engine as _;
use base64::engine::general_purpose;

use crate::platform::{block_wire, config_wire, entry_wire};
use crate::process::gateway::{block_list, endpoint_registry, rows};
use crate::version::traffic;

/// Result of decoding a store response.
pub type Result<T> = std::result::Result<T, WireError>;

/// Key of the row that holds the configuration.
const CONFIG_KEY: &str = "config";

/// A response of the store that does not match its documented format.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireError(pub String);

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "cannot decode the response of the store: {}", self.0)
    }
}

impl std::error::Error for WireError {}

/// Response that contains rows.
#[derive(Debug)]
#[derive(serde::Deserialize)]
pub(super) struct RowsWire {
    #[serde(default)]
    rows: Vec<RowWire>,
    #[serde(default)]
    pub(super) has_more: bool,
    /// Version of the whole store at the time of the response, not of a single row.
    ver: u64,
}

#[derive(Debug)]
#[derive(serde::Deserialize)]
struct RowWire {
    key: String,
    /// Base64-encoded value.
    value: Option<String>,
    /// Whether the row was deleted; only set in responses that list changes.
    #[serde(default)]
    removed: bool,
}

impl RowsWire {
    /// Key of the last row, after which the next page of a truncated list starts.
    pub(super) fn last_key(&self) -> Option<&str> {
        self.rows.last().map(|row| row.key.as_str())
    }
}

impl TryFrom<RowsWire> for rows::RowBatch {
    type Error = WireError;

    fn try_from(wire: RowsWire) -> Result<Self> {
        let rows: Result<Vec<rows::RowChange>> = wire
            .rows
            .into_iter()
            .map(rows::RowChange::try_from)
            .collect();
        Ok(Self {
            rows: rows?,
            version: wire.ver,
            era: 0,
        })
    }
}

impl TryFrom<RowWire> for rows::RowChange {
    type Error = WireError;

    fn try_from(wire: RowWire) -> Result<Self> {
        let text = wire.value.filter(|_text| !wire.removed);
        let decode = |text: String| general_purpose::STANDARD.decode(text);
        let value = text.map(decode).transpose();
        Ok(Self {
            key: wire.key,
            value: value.map_err(|error| WireError(error.to_string()))?,
        })
    }
}

/// Returns the name of the table that holds the rows of a topic.
pub(super) const fn table_name(topic: rows::RowTopic) -> &'static str {
    match topic {
        rows::RowTopic::Config => "op",
        rows::RowTopic::Endpoints => "servers",
        rows::RowTopic::Routers => "routers",
        rows::RowTopic::BlockedPrompts => "blocked_prompts",
    }
}

/// Builds the transaction that writes a row unconditionally.
pub(super) fn put_row(topic: rows::RowTopic, key: &str, value: &[u8]) -> serde_json::Value {
    serde_json::json!({
        "precondition": [],
        "puts": [{
            "table": table_name(topic),
            "part": "",
            "key": key,
            "value": general_purpose::STANDARD.encode(value),
        }],
        "delete": [],
    })
}

/// Decodes the values of the platform store's rows.
#[derive(Clone, Copy, Debug)]
pub struct StoreCodec;

impl rows::RowCodec for StoreCodec {
    fn traffic(&self, key: &str, value: &[u8]) -> Option<traffic::TrafficVersion> {
        if key != CONFIG_KEY {
            return None;
        }
        let decoded = config_wire::decode(value);
        if let Err(error) = &decoded {
            log::error!(cause = error.to_string().as_str(); "cannot decode the configuration");
        }
        decoded.ok()
    }

    fn endpoint(&self, key: &str, value: &[u8]) -> endpoint_registry::EntryChange {
        match entry_wire::decode(key, value) {
            Ok(record) => endpoint_registry::EntryChange::Present(record),
            Err(error) => {
                let cause = error.to_string();
                log::warn!(endpoint = key, cause = cause.as_str(); "cannot decode endpoint entry");
                endpoint_registry::EntryChange::Absent(key.to_owned())
            }
        }
    }

    fn peer_address(&self, value: &[u8]) -> Option<String> {
        std::str::from_utf8(value).ok().map(str::to_owned)
    }

    fn blocked_prompt(&self, value: &[u8]) -> Option<block_list::BlockedPrompt> {
        let decoded = block_wire::decode(value);
        if let Err(error) = &decoded {
            log::warn!(cause = error.to_string().as_str(); "cannot decode a blocked prompt");
        }
        decoded.ok()
    }

    fn encode_blocked_prompt(&self, entry: &block_list::BlockedPrompt) -> Vec<u8> {
        block_wire::encode(entry)
    }
}
