//! Interface to the platform; a trait, so that tests can use a fake.

use std::fmt;

use futures::future;

use crate::connection::platform_wire;

/// Result of a call to the platform.
pub type Result<T> = std::result::Result<T, PlatformError>;

/// Why a call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformError {
    /// The call had no effect.
    Unreachable(String),
    /// The call may have taken effect; read back before writing again.
    Unknown(String),
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(message) => write!(f, "platform unreachable: {message}"),
            Self::Unknown(message) => write!(f, "platform gave no answer: {message}"),
        }
    }
}

impl std::error::Error for PlatformError {}

/// Outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The transaction took effect; holds the new row versions in the order of the writes.
    Applied(Vec<u64>),
    /// A condition did not hold; holds the current rows of the failed conditions.
    Conflict(Vec<Option<platform_wire::TableRow>>),
}

/// Table service and VM list of the platform.
pub trait PlatformService: fmt::Debug + Send + Sync {
    /// Reads rows from one consistent snapshot.
    fn read(
        &self,
        keys: Vec<String>,
    ) -> future::BoxFuture<'_, Result<Vec<Option<platform_wire::TableRow>>>>;

    /// Writes rows in one transaction.
    fn write(
        &self,
        writes: Vec<platform_wire::RowWrite>,
    ) -> future::BoxFuture<'_, Result<WriteOutcome>>;

    /// Lists VMs; the list may be stale.
    fn vms(&self) -> future::BoxFuture<'_, Result<Vec<platform_wire::VmEntry>>>;
}
