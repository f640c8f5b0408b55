//! Traits through which a gateway reads the platform's store and decodes its rows.

use std::fmt;
use std::time;

use futures::future;

use crate::process::gateway::rollout::{order, record};
use crate::process::gateway::{block_list, endpoint_registry, parted_rows};
use crate::version::traffic;

/// Result of a call to the store.
pub type Result<T> = std::result::Result<T, RowError>;

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RowError {
    /// The store no longer keeps the requested changes; a full read is needed.
    HistoryGone,
    /// A row did not have the version that the write required, so that nothing was written.
    Conflict,
    /// The store did not answer, or answered with an error; holds the cause.
    Unavailable(String),
}

impl fmt::Display for RowError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::HistoryGone => f.write_str(
                "the store no longer keeps the requested changes; a full read is needed",
            ),
            Self::Conflict => f.write_str(
                "a row has another version than the write requires; read it again first",
            ),
            Self::Unavailable(cause) => write!(f, "the store is unavailable: {cause}"),
        }
    }
}

impl std::error::Error for RowError {}

/// A set of rows in the store that a gateway reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RowTopic {
    /// The configuration.
    Config,
    /// Endpoint entries, keyed by endpoint name.
    Endpoints,
    /// Peer addresses of the routers.
    Routers,
    /// Requests that are blocked because they crash endpoints.
    BlockedRequests,
    /// Starts and states of roll-outs, keyed by service.
    Rollouts,
    /// States of roll-outs for the operators.
    RolloutStatus,
    /// Software versions that began streams.
    StreamVersions,
}

/// A row that was added or changed, or the removal of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowChange {
    /// Key, unique within its topic.
    pub key: String,
    /// Content; `None` when the row was removed or its content cannot be read.
    pub value: Option<Vec<u8>>,
    /// Version of the row, or of its removal; 0 if the store did not name it.
    pub version: u64,
}

/// A row to be written if it still has a certain version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RowWrite<'a> {
    /// Set of rows that it belongs to. Only the system's own topics can be written.
    pub topic: RowTopic,
    /// Key, unique within its topic.
    pub key: &'a str,
    /// New content.
    pub value: &'a [u8],
    /// Version that the row must have; 0 if it must not exist.
    pub expected: u64,
}

/// Rows as of one version of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowBatch {
    /// The rows, in no particular order.
    pub rows: Vec<RowChange>,
    /// Version of the store; later changes are read from here with [`RowStore::read_changes`].
    pub version: u64,
    /// Number of times that the store was restored from a copy. Versions of different eras cannot be
    /// compared, as a copy gives the same versions out again.
    pub era: u64,
    /// Monotonic clock of the store when it answered, in milliseconds.
    pub now_ms: u64,
}

/// A client of the platform's store.
pub trait RowStore: fmt::Debug + Send + Sync {
    /// Reads all rows of a topic.
    fn read_all(&self, topic: RowTopic) -> future::BoxFuture<'_, Result<RowBatch>>;

    /// Reads the changes after version `after`; if there are none, waits up to `wait` for one.
    fn read_changes(
        &self,
        topic: RowTopic,
        after: u64,
        wait: time::Duration,
    ) -> future::BoxFuture<'_, Result<RowBatch>>;

    /// Reads the rows of a topic with keys from `from` on and before `to`.
    fn read_range<'a>(
        &'a self,
        topic: RowTopic,
        from: &'a str,
        to: &'a str,
    ) -> future::BoxFuture<'a, Result<RowBatch>>;

    /// Writes rows, whatever they held before, and removes those with the keys `removed`: 100 at most in
    /// all. Only the system's own topics can be written.
    fn write_rows<'a>(
        &'a self,
        topic: RowTopic,
        puts: &'a [(String, Vec<u8>)],
        removed: &'a [String],
    ) -> future::BoxFuture<'a, Result<()>>;

    /// Writes a row, whatever it held before. Only the system's own topics can be written.
    fn put<'a>(
        &'a self,
        topic: RowTopic,
        key: &'a str,
        value: &'a [u8],
    ) -> future::BoxFuture<'a, Result<()>>;

    /// Writes all rows, or none and fails with [`RowError::Conflict`] if one of them does not have the
    /// version that it must have. After [`RowError::Unavailable`] they may have been written.
    fn put_matching<'a>(&'a self, writes: &'a [RowWrite<'a>]) -> future::BoxFuture<'a, Result<()>>;
}

/// Decodes the contents of rows.
pub trait RowCodec: fmt::Debug + Send + Sync {
    /// Decodes a configuration version; `None` if the row is not a valid one.
    fn traffic(&self, key: &str, value: &[u8]) -> Option<traffic::TrafficVersion>;

    /// Splits a configuration into rows that routers compare; `None` if it is not valid.
    fn split_config(&self, value: &[u8]) -> Option<parted_rows::PartedRows>;

    /// Key and content of the store's row with the configuration that was split into `rows`.
    fn join_config(&self, rows: &parted_rows::PartedRows) -> (String, Vec<u8>);

    /// Decodes an endpoint entry. One that cannot be decoded counts as absent.
    fn endpoint(&self, key: &str, value: &[u8]) -> endpoint_registry::EntryChange;

    /// Decodes a router's peer address; `None` if the content is not valid.
    fn peer_address(&self, value: &[u8]) -> Option<String>;

    /// Decodes a blocked request; `None` if the content is not valid.
    fn blocked_request(&self, value: &[u8]) -> Option<block_list::BlockedRequest>;

    /// Encodes a blocked request.
    fn encode_blocked_request(&self, entry: &block_list::BlockedRequest) -> Vec<u8>;

    /// Service whose order a row of [`RowTopic::Config`] holds; `None` for other rows.
    fn order_service<'a>(&self, key: &'a str) -> Option<&'a str>;

    /// Decodes the order of a row; `None`, after a log line, if the content is not valid.
    fn order(&self, key: &str, value: &[u8]) -> Option<order::OrderContent>;

    /// Decodes the row of a roll-out; `None` if the content is not valid.
    fn rollout_record(&self, value: &[u8]) -> Option<record::RolloutRecord>;

    /// Encodes the row of a roll-out.
    fn encode_rollout_record(&self, record: &record::RolloutRecord) -> Vec<u8>;

    /// Key of the row that tells operators of the state of a service's roll-out.
    fn rollout_status_key(&self, service: &str) -> String;

    /// Encodes the row that tells operators of a roll-out's state.
    fn encode_rollout_status(&self, record: &record::RolloutRecord) -> Vec<u8>;
}
