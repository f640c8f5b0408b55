//! Wire format of the platform store's rows, and decoding of their values.

use std::fmt;

use base64::Engine as _;
use base64::engine::general_purpose;

use crate::platform::{block_wire, config_rows, config_wire, entry_wire, rollout_wire};
use crate::process::gateway::rollout::{order, record};
use crate::process::gateway::{block_list, endpoint_registry, parted_rows, rows};
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
struct PageWire<'a> {
    /// Rows as received; each is decoded by itself, as other writers may have written odd ones.
    #[serde(borrow, default)]
    rows: Vec<&'a serde_json::value::RawValue>,
    #[serde(default)]
    has_more: bool,
    /// Version of the whole store at the time of the response, not of a single row.
    ver: u64,
    /// Monotonic clock of the store.
    #[serde(default)]
    now_ms: Option<serde_json::Value>,
}

#[derive(Debug)]
#[derive(serde::Deserialize)]
struct RowKeyWire {
    key: String,
    /// Version of the row; read leniently, as only the rows of roll-outs need it.
    #[serde(default)]
    ver: Option<serde_json::Value>,
}

#[derive(Debug, Default)]
#[derive(serde::Deserialize)]
struct RowValueWire {
    /// Base64-encoded value.
    value: Option<String>,
    /// Whether the row was deleted; only set in responses that list changes.
    #[serde(default)]
    removed: bool,
}

/// One page of rows.
#[derive(Debug)]
pub(super) struct RowPage {
    /// Rows of the page that have a key.
    pub(super) rows: Vec<rows::RowChange>,
    /// Version of the whole store.
    pub(super) version: u64,
    /// Monotonic clock of the store, in milliseconds; 0 if the response does not name it.
    pub(super) now_ms: u64,
    has_more: bool,
}

impl RowPage {
    /// Decodes a response of the store. Rows without a readable key are left out, and those without
    /// a readable value have none.
    ///
    /// # Errors
    /// [`WireError`] if the response is not a page of rows.
    pub(super) fn decode(body: &[u8]) -> Result<Self> {
        let text = String::from_utf8_lossy(body);
        let wire: PageWire<'_> =
            serde_json::from_str(&text).map_err(|error| WireError(error.to_string()))?;
        Ok(Self {
            rows: wire.rows.into_iter().filter_map(decode_row).collect(),
            version: wire.ver,
            now_ms: whole_number(wire.now_ms.as_ref()),
            has_more: wire.has_more,
        })
    }

    /// Key after which the next page starts; `None` on the last page.
    ///
    /// # Errors
    /// [`WireError`] if the page has no row with a key.
    pub(super) fn next_after(&self) -> Result<Option<&str>> {
        if !self.has_more {
            return Ok(None);
        }
        let last = self.rows.last();
        let last =
            last.ok_or_else(|| WireError("a page that is not the last has no key".into()))?;
        Ok(Some(&last.key))
    }
}

fn decode_row(row: &serde_json::value::RawValue) -> Option<rows::RowChange> {
    let named: serde_json::Result<RowKeyWire> = serde_json::from_str(row.get());
    let (key, version) = match named {
        Ok(named) => (named.key, whole_number(named.ver.as_ref())),
        Err(error) => {
            log::warn!(cause = error.to_string().as_str(); "row without a key left out");
            return None;
        }
    };
    let value = decode_value(row).unwrap_or_else(|error| {
        let cause = error.to_string();
        log::warn!(key = key.as_str(), cause = cause.as_str(); "row without a readable value");
        None
    });
    Some(rows::RowChange {
        key,
        value,
        version,
    })
}

fn whole_number(value: Option<&serde_json::Value>) -> u64 {
    let number = value.and_then(serde_json::Value::as_u64);
    number.unwrap_or_default()
}

fn decode_value(row: &serde_json::value::RawValue) -> Result<Option<Vec<u8>>> {
    let wire: RowValueWire =
        serde_json::from_str(row.get()).map_err(|error| WireError(error.to_string()))?;
    let text = wire.value.filter(|_text| !wire.removed);
    let value = text.map(|text| general_purpose::STANDARD.decode(text));
    value
        .transpose()
        .map_err(|error| WireError(error.to_string()))
}

/// Returns the name of the table that holds the rows of a topic.
pub(super) const fn table_name(topic: rows::RowTopic) -> &'static str {
    match topic {
        rows::RowTopic::Config => "op",
        rows::RowTopic::Endpoints => "servers",
        rows::RowTopic::Routers => "routers",
        rows::RowTopic::BlockedRequests => "blocked_prompts",
        rows::RowTopic::Rollouts => "rollouts",
        rows::RowTopic::RolloutStatus => "status",
        rows::RowTopic::StreamVersions => "stream_versions",
    }
}

/// Builds the transaction that writes a row unconditionally.
pub(super) fn put_row(topic: rows::RowTopic, key: &str, value: &[u8]) -> serde_json::Value {
    write_rows(topic, std::iter::once((key, value)), &[])
}

/// Builds the transaction that writes and removes rows unconditionally.
pub(super) fn write_rows<'a>(
    topic: rows::RowTopic,
    puts: impl Iterator<Item = (&'a str, &'a [u8])>,
    removed: &[String],
) -> serde_json::Value {
    let table = table_name(topic);
    let named = |key: &str| serde_json::json!({"table": table, "part": "", "key": key});
    let puts = puts.map(|(key, value)| {
        let mut put = named(key);
        put["value"] = general_purpose::STANDARD.encode(value).into();
        put
    });
    serde_json::json!({
        "precondition": [],
        "puts": puts.collect::<Vec<_>>(),
        "delete": removed.iter().map(|key| named(key)).collect::<Vec<_>>(),
    })
}

/// Builds the transaction that writes rows if they still have the versions that they must have.
pub(super) fn put_matching_rows(writes: &[rows::RowWrite<'_>]) -> serde_json::Value {
    let named = |write: &rows::RowWrite<'_>| {
        serde_json::json!({
            "table": table_name(write.topic),
            "part": "",
            "key": write.key,
        })
    };
    let conditions = writes.iter().map(|write| {
        let mut condition = named(write);
        condition["ver"] = write.expected.into();
        condition
    });
    let puts = writes.iter().map(|write| {
        let mut put = named(write);
        put["value"] = general_purpose::STANDARD.encode(write.value).into();
        put
    });
    serde_json::json!({
        "precondition": conditions.collect::<Vec<_>>(),
        "puts": puts.collect::<Vec<_>>(),
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

    fn split_config(&self, value: &[u8]) -> Option<parted_rows::PartedRows> {
        let split = config_rows::split(value);
        if let Err(error) = &split {
            log::error!(cause = error.to_string().as_str(); "cannot split the configuration");
        }
        Some(parted_rows::PartedRows::from_iter(split.ok()?))
    }

    fn join_config(&self, rows: &parted_rows::PartedRows) -> (String, Vec<u8>) {
        (CONFIG_KEY.to_owned(), config_rows::join(rows.iter()))
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

    fn blocked_request(&self, value: &[u8]) -> Option<block_list::BlockedRequest> {
        let decoded = block_wire::decode(value);
        if let Err(error) = &decoded {
            log::warn!(cause = error.to_string().as_str(); "cannot decode a blocked request");
        }
        decoded.ok()
    }

    fn encode_blocked_request(&self, entry: &block_list::BlockedRequest) -> Vec<u8> {
        block_wire::encode(entry)
    }

    fn order_service<'a>(&self, key: &'a str) -> Option<&'a str> {
        rollout_wire::service(key)
    }

    fn order(&self, key: &str, value: &[u8]) -> Option<order::OrderContent> {
        let decoded = rollout_wire::decode_order(key, value);
        if let Err(error) = &decoded {
            let cause = error.to_string();
            log::error!(key, cause = cause.as_str(); "cannot decode a roll-out order; it is taken as absent");
        }
        decoded.ok()
    }

    fn rollout_record(&self, value: &[u8]) -> Option<record::RolloutRecord> {
        let decoded = rollout_wire::decode_record(value);
        if let Err(error) = &decoded {
            log::warn!(cause = error.to_string().as_str(); "cannot decode the row of a roll-out");
        }
        decoded.ok()
    }

    fn encode_rollout_record(&self, record: &record::RolloutRecord) -> Vec<u8> {
        rollout_wire::encode_record(record)
    }

    fn rollout_status_key(&self, service: &str) -> String {
        rollout_wire::key(service)
    }

    fn encode_rollout_status(&self, record: &record::RolloutRecord) -> Vec<u8> {
        rollout_wire::encode_status(record)
    }
}
