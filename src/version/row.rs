//! Rows of the table service that hold configuration versions.

use serde::de;

use crate::connection::platform_wire;
use crate::version::delta;
use crate::version::store;

/// Row that names the newest version.
pub const HEAD_ROW: &str = "config/head";

/// Changes are kept beside the text while they take at most one byte in this many of it.
const WORTHWHILE_PART: usize = 2;

/// Row of version `number`.
#[must_use]
pub fn version_row(number: u64) -> String {
    format!("config/versions/{number}")
}

/// Row of the change from the version before to version `number`; absent for large changes.
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
    /// Nonce of the operator that wrote it.
    pub nonce: String,
}

/// Value of a version row.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct VersionWire {
    /// Nonce of the operator that wrote it.
    pub nonce: String,
    /// The declarations.
    pub yaml: String,
}

/// A write that takes effect at most once, however often it is sent.
#[derive(Clone, Debug)]
pub struct PendingVersion {
    /// Number that the version will have.
    pub number: u64,
    /// Names this write.
    pub nonce: String,
    /// Head, version and change, in one transaction.
    pub writes: Vec<platform_wire::RowWrite>,
}

impl PendingVersion {
    /// The write of version `number`, whose head row has to have `head_row_version`.
    ///
    /// # Errors
    /// [`store::StoreError::Malformed`] when a value cannot be encoded.
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
            |delta: &delta::TextDelta| delta.size_bytes() <= yaml.len() / WORTHWHILE_PART;
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

/// Reads the value of a row.
///
/// # Errors
/// [`store::StoreError::Malformed`].
pub fn decode<T: de::DeserializeOwned>(row: &platform_wire::TableRow) -> store::Result<T> {
    serde_json::from_str(&row.value).map_err(|error| malformed(&row.key, &error))
}

fn malformed(row: &str, error: &serde_json::Error) -> store::StoreError {
    store::StoreError::Malformed {
        row: row.to_owned(),
        message: error.to_string(),
    }
}
