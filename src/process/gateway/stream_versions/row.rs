//! Rows of the store that tell which version began a stream, and which versions a service had.

use std::time;

use xxhash_rust::xxh3;

/// Prefix of the keys of streams, and the first key after them.
pub const STREAM_KEYS: [&str; 2] = ["i/", "i0"];

/// Prefix of the keys of versions, and the first key after them.
pub const VERSION_KEYS: [&str; 2] = ["s/", "s0"];

/// A version of a service, and when it began a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionRow {
    /// Service name.
    pub service: String,
    /// Software version of the endpoint that sent the first event.
    pub version: String,
    /// Time of that event since the Unix epoch, by the clock of the router.
    pub began: time::Duration,
}

/// Content of a row.
#[derive(serde::Serialize, serde::Deserialize)]
struct RowWire {
    service: String,
    version: String,
    began_ms: u64,
}

impl From<&VersionRow> for RowWire {
    fn from(row: &VersionRow) -> Self {
        Self {
            service: row.service.clone(),
            version: row.version.clone(),
            began_ms: u64::try_from(row.began.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

impl From<RowWire> for VersionRow {
    fn from(wire: RowWire) -> Self {
        Self {
            service: wire.service,
            version: wire.version,
            began: time::Duration::from_millis(wire.began_ms),
        }
    }
}

impl VersionRow {
    /// Key of the row for the stream that `request` began. Request ids may be as long as keys.
    #[must_use]
    pub fn stream_key(request: &str) -> String {
        let [prefix, _end] = STREAM_KEYS;
        format!("{prefix}{:032x}", xxh3::xxh3_128(request.as_bytes()))
    }

    /// Key of the row for this version of the service.
    #[must_use]
    pub fn version_key(&self) -> String {
        let [prefix, _end] = VERSION_KEYS;
        let service = xxh3::xxh3_64(self.service.as_bytes());
        let version = xxh3::xxh3_64(self.version.as_bytes());
        format!("{prefix}{service:016x}/{version:016x}")
    }

    /// Content of the row.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        // A structure of texts and numbers can always be serialized.
        serde_json::to_vec(&RowWire::from(self)).unwrap_or_default()
    }

    /// Decodes the content of a row; `None`, after a log line, if it is not valid.
    #[must_use]
    pub fn decode(value: &[u8]) -> Option<Self> {
        let decoded: serde_json::Result<RowWire> = serde_json::from_slice(value);
        if let Err(error) = &decoded {
            log::warn!(cause = error.to_string().as_str(); "cannot decode the version of a stream");
        }
        decoded.ok().map(Self::from)
    }
}
