//! The platform's store as a gateway reads it, and what its rows say.

use std::fmt;
use std::time;

use futures::future;

use crate::process::gateway::endpoint_registry;
use crate::version::traffic;

/// Outcome of a call to the store.
pub type Result<T> = std::result::Result<T, RowError>;

/// Why the store gave nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RowError {
    /// The changes asked for are not kept any more; read everything.
    HistoryGone,
    /// The store gave no answer, or refused.
    Unavailable(String),
}

impl fmt::Display for RowError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::HistoryGone => f.write_str("the store has dropped its history; read everything"),
            Self::Unavailable(cause) => write!(f, "the store is unavailable: {cause}"),
        }
    }
}

impl std::error::Error for RowError {}

/// What is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RowTopic {
    /// The configuration.
    Config,
    /// Entries of endpoints.
    Endpoints,
    /// Peer addresses of routers.
    Routers,
}

/// A row, or the news that it was removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowChange {
    /// Key.
    pub key: String,
    /// Content; `None` when the row was removed.
    pub value: Option<Vec<u8>>,
}

/// Rows as of one version of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowBatch {
    /// Rows in any order.
    pub rows: Vec<RowChange>,
    /// The store's version, from which changes can be asked for.
    pub version: u64,
}

/// Reads and writes rows.
pub trait RowStore: fmt::Debug + Send + Sync {
    /// All rows of a topic.
    fn read_all(&self, topic: RowTopic) -> future::BoxFuture<'_, Result<RowBatch>>;

    /// Changes after a version; waits up to `wait` until there is one.
    fn read_changes(
        &self,
        topic: RowTopic,
        after: u64,
        wait: time::Duration,
    ) -> future::BoxFuture<'_, Result<RowBatch>>;

    /// Writes this router's peer address.
    fn announce<'a>(
        &'a self,
        router: &'a str,
        peer_address: &'a str,
    ) -> future::BoxFuture<'a, Result<()>>;
}

/// Reads what rows say.
pub trait RowCodec: fmt::Debug + Send + Sync {
    /// The configuration version in a row; `None` for a row that is not one.
    fn traffic(&self, key: &str, value: &[u8]) -> Option<traffic::TrafficVersion>;

    /// The endpoint in a row; a row that cannot be read names no endpoint.
    fn endpoint(&self, key: &str, value: &[u8]) -> endpoint_registry::EntryChange;

    /// The peer address in a row.
    fn peer_address(&self, value: &[u8]) -> Option<String>;
}
