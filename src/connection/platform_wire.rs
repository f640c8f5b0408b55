//! JSON messages between a process and the platform.
//!
//! | call | body | answer |
//! | --- | --- | --- |
//! | `POST /table/read` | [`ReadQuery`] | [`ReadReply`] |
//! | `POST /table/write` | [`WriteQuery`] | 200 and [`WriteReply`], or 409 and [`ConflictReply`] |
//! | `GET /vms` | | list of [`VmEntry`], may be stale |
//! | `GET /objects/<name>`, `PUT /objects/<name>` | bytes | bytes |
//! | `GET /weights/<model>/<version>` | | 200, or 429 over the rate |

/// Rows to read from one consistent snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ReadQuery {
    /// Row keys.
    pub keys: Vec<String>,
}

/// Rows in the order of the requested keys; `None` where there is no such row.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ReadReply {
    /// One entry per requested key.
    pub rows: Vec<Option<TableRow>>,
}

/// One row of the table service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct TableRow {
    /// Row key.
    pub key: String,
    /// Starts at 1 and increases by one with each write of the row.
    pub version: u64,
    /// Content of the row.
    pub value: String,
}

/// Writes that are applied atomically.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct WriteQuery {
    /// Writes of the transaction.
    pub writes: Vec<RowWrite>,
}

/// One conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RowWrite {
    /// Row key.
    pub key: String,
    /// Required version of the row: 0 for no row, `None` for any.
    pub if_version: Option<u64>,
    /// New value; `None` deletes the row.
    pub value: Option<String>,
}

/// Answer to a transaction that took effect.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct WriteReply {
    /// New versions, in the order of the writes.
    pub versions: Vec<u64>,
}

/// Answer to a transaction whose conditions did not hold; it had no effect.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ConflictReply {
    /// Current rows of the failed conditions; `None` where there is no such row.
    pub rows: Vec<Option<TableRow>>,
}

/// A VM as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct VmEntry {
    /// VM name; for endpoint VMs the endpoint's name.
    pub name: String,
    /// Host and port: the service address of an endpoint VM, the peer address of a router VM.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// `router` or `endpoint`.
    pub role: String,
    /// Whether the VM is leaving.
    pub leaving: bool,
}
