//! The platform as the routers see it: a trait, so that tests put a fake in its place.

use std::fmt;

use futures::future;

use crate::connection::platform_wire;

/// Outcome of a call to the platform.
pub type Result<T> = std::result::Result<T, PlatformError>;

/// Why the platform gave no answer.
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

/// What became of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect; new row versions in the order of the writes.
    Applied(Vec<u64>),
    /// A condition did not hold; present rows of the failed conditions.
    Conflict(Vec<Option<platform_wire::TableRow>>),
}

/// Table service and VM list of the platform.
pub trait PlatformService: fmt::Debug + Send + Sync {
    /// Reads rows in one consistent view.
    fn read(
        &self,
        keys: Vec<String>,
    ) -> future::BoxFuture<'_, Result<Vec<Option<platform_wire::TableRow>>>>;

    /// Writes rows in one transaction.
    fn write(
        &self,
        writes: Vec<platform_wire::RowWrite>,
    ) -> future::BoxFuture<'_, Result<WriteOutcome>>;

    /// Lists VMs, behind the truth.
    fn vms(&self) -> future::BoxFuture<'_, Result<Vec<platform_wire::VmEntry>>>;
}
