//! Bincode messages in which a router passes on what it knows of the platform's store.

use crate::connection::crash_wire;

/// A router's view of the platform's store.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct StoreViewWire {
    /// Number of the configuration version in force.
    pub number: u64,
    /// Time since `number` was confirmed to be the newest version, in microseconds.
    pub age_micros: u64,
    /// Key and content of the version's row, if it is newer than the number in the query. Asked for
    /// by routers of earlier releases only.
    pub row: Option<(String, Vec<u8>)>,
    /// Time since the store last answered the sender, or the routers that read on its behalf, in
    /// microseconds; `None` when no answer is known.
    pub answer_age_micros: Option<u64>,
    /// Time since the endpoint rows were known to be complete, in microseconds.
    pub endpoint_age_micros: u64,
    /// Era of the store that the sender's endpoint rows are of.
    pub endpoint_era: u64,
    /// Digests of the sender's endpoint rows by part; empty when both sides have the same rows.
    pub digests: Vec<u64>,
    /// All requests blocked at the sender; empty when both sides have the same.
    pub blocked: Vec<crash_wire::BlockedRequestWire>,
}

/// Rows of a configuration version that the receiver lacks, as many as fit into one message.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ConfigRowsWire {
    /// Number of the configuration version in force at the sender.
    pub number: u64,
    /// Time since `number` was confirmed to be the newest version, in microseconds.
    pub age_micros: u64,
    /// Digests of the version's rows by part; empty when the receiver knows them.
    pub digests: Vec<u64>,
    /// Packed list of [`PartDeltaWire`], one for each part in the query.
    pub parts: Vec<u8>,
}

/// Changes that bring some parts of the receiver's endpoint rows up to date.
#[derive(Clone, Debug, Default)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct EndpointDeltaWire {
    /// Changes by part.
    pub parts: Vec<PartDeltaWire>,
    /// Keys of rows in these parts that the store removed while its answers were disrupted; the
    /// endpoint may come back.
    pub lapsed: Vec<String>,
}

/// Changes that bring one part of the receiver's endpoint rows up to date.
#[derive(Clone, Debug, Default)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct PartDeltaWire {
    /// Number of the part.
    pub part: u8,
    /// Keys and contents of rows that the receiver lacks.
    pub rows: Vec<(String, Vec<u8>)>,
    /// Digests of rows that the receiver has and the sender does not.
    pub gone: Vec<u64>,
    /// Digest of the part's rows at the sender.
    pub digest: u64,
}
