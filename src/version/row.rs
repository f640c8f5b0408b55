//! Format of the table service rows that store configuration versions.

use serde::de;

use crate::connection::platform_wire;
use crate::version::delta;
use crate::version::store;

/// Key of the row that identifies the newest version.
pub const HEAD_ROW: &str = "config/head";

/// A delta is stored only if its size is at most the size of the text divided by this.
const MIN_TEXT_TO_DELTA_RATIO: usize = 2;

/// Key of the row that holds version `number`.
#[must_use]
pub fn version_row(number: u64) -> String {
    format!("config/versions/{number}")
}

/// Key of the row that holds the delta from the previous version to version `number`. There is no
/// such row if the delta would be large.
#[must_use]
pub fn delta_row(number: u64) -> String {
    format!("config/deltas/{number}")
}

/// Value of the head row.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct HeadWire {
    /// Number of the newest version.
    pub number: u64,
    /// Nonce of the write that created the version.
    pub nonce: String,
}

/// Value of a version row.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct VersionWire {
    /// Nonce of the write that created the version.
    pub nonce: String,
    /// The declarations as YAML.
    pub yaml: String,
}

/// An idempotent write of a version: it takes effect at most once, however often it is sent.
#[derive(Clone, Debug)]
pub struct PendingVersion {
    /// Number of the version to write.
    pub number: u64,
    /// Random identifier of this write, which tells it apart from writes of other operators.
    pub nonce: String,
    /// Writes of the head, version and delta rows, sent as one transaction.
    pub writes: Vec<platform_wire::RowWrite>,
}

impl PendingVersion {
    /// Prepares the write of version `number`, conditional on `head_row_version` of the head row.
    ///
    /// # Errors
    /// [`store::StoreError::Malformed`] if a value cannot be encoded.
    pub fn new(
        number: u64,
        head_row_version: u64,
        previous: Option<&str>,
        yaml: &str,
    ) -> store::Result<Self> {
        let nonce = uuid::Uuid::new_v4().simple().to_string();
        let head = HeadWire {
            number,
            nonce: nonce.clone(),
        };
        let version = VersionWire {
            nonce: nonce.clone(),
            yaml: yaml.to_owned(),
        };
        let mut writes = vec![
            write(HEAD_ROW.to_owned(), head_row_version, &head)?,
            write(version_row(number), 0, &version)?,
        ];
        let delta = previous.map(|previous| delta::TextDelta::between(previous, yaml));
        let is_small =
            |delta: &delta::TextDelta| delta.size_bytes() <= yaml.len() / MIN_TEXT_TO_DELTA_RATIO;
        if let Some(delta) = delta.filter(is_small) {
            writes.push(write(delta_row(number), 0, &delta)?);
        }
        Ok(Self {
            number,
            nonce,
            writes,
        })
    }
}

fn write<T: serde::Serialize>(
    key: String,
    if_version: u64,
    value: &T,
) -> store::Result<platform_wire::RowWrite> {
    let text = serde_json::to_string(value).map_err(|error| malformed(&key, &error))?;
    Ok(platform_wire::RowWrite {
        key,
        if_version: Some(if_version),
        value: Some(text),
    })
}

/// Decodes the value of a row.
///
/// # Errors
/// [`store::StoreError::Malformed`] if the value is not valid JSON of the expected form.
pub fn decode<T: de::DeserializeOwned>(row: &platform_wire::TableRow) -> store::Result<T> {
    serde_json::from_str(&row.value).map_err(|error| malformed(&row.key, &error))
}

fn malformed(row: &str, error: &serde_json::Error) -> store::StoreError {
    store::StoreError::Malformed {
        row: row.to_owned(),
        message: error.to_string(),
    }
}
