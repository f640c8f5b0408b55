//! Store of configuration versions in the table service. Versions are immutable and numbered in
//! order; conditional writes ensure that each number is written by one operator only.

use std::fmt;
use std::sync;
use std::time;

use async_std::task;

use crate::connection::platform;
use crate::connection::platform_wire;
use crate::version::check;
use crate::version::delta;
use crate::version::row;

/// Result of a version store operation.
pub type Result<T> = std::result::Result<T, StoreError>;

/// Maximum number of deltas applied in a row; further behind, the whole text is read.
const MAX_DELTAS: u64 = 32;

/// Maximum number of attempts at a write whose outcome is unknown.
pub const MAX_WRITE_ATTEMPTS: u32 = 8;

/// Backoff before the second attempt; doubles with each further attempt.
pub const WRITE_RETRY_DELAY: time::Duration = time::Duration::from_millis(100);

/// Maximum backoff between two attempts.
pub const MAX_WRITE_RETRY_DELAY: time::Duration = time::Duration::from_secs(2);

/// Error of a version store operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The platform is unreachable; nothing was changed.
    Unreachable(String),
    /// The outcome of the write is unknown: it was sent, but no attempt confirmed its result.
    Unsettled {
        /// Number of the version if the write succeeded.
        number: u64,
        /// The last error from the platform.
        message: String,
    },
    /// The declarations are invalid; nothing was changed.
    Refused(Vec<check::DeclarationFault>),
    /// The version does not exist.
    NoVersion(u64),
    /// A row cannot be encoded or decoded.
    Malformed {
        /// Row key.
        row: String,
        /// What is wrong with it.
        message: String,
    },
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(message) => {
                write!(f, "nothing was changed, try again later: {message}")
            }
            Self::Unsettled { number, message } => write!(
                f,
                "version {number} may be in force or not, look with `show` before trying again: \
                 {message}"
            ),
            Self::Refused(faults) => {
                let lines = faults.iter().map(ToString::to_string);
                f.write_str(&lines.collect::<Vec<_>>().join("\n"))
            }
            Self::NoVersion(number) => {
                write!(
                    f,
                    "there is no version {number}; use a number up to the current one"
                )
            }
            Self::Malformed { row, message } => {
                write!(
                    f,
                    "row `{row}` is not readable, apply the declarations again: {message}"
                )
            }
        }
    }
}

impl std::error::Error for StoreError {}

/// Outcome of applying a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The version was written; later versions may have followed.
    Applied {
        /// Number of the new version.
        number: u64,
    },
    /// Another operator wrote a version first; nothing was changed.
    Lost {
        /// Number of the current version.
        number: u64,
        /// Declarations of the current version.
        yaml: String,
    },
    /// The current version has the same declarations; nothing was changed.
    Unchanged {
        /// Number of the current version.
        number: u64,
    },
}

/// Content of the head row, which identifies the newest version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionHead {
    /// Number of the newest version.
    pub number: u64,
    /// Nonce of the write that created it.
    pub nonce: String,
    /// Version of the head row, for conditional writes.
    row_version: u64,
}

/// Reads and writes configuration versions in the table service.
#[derive(Clone, Debug)]
pub struct VersionStore {
    platform: sync::Arc<dyn platform::PlatformService>,
}

impl VersionStore {
    /// Creates a store on the table service of `platform`.
    #[must_use]
    pub fn new(platform: sync::Arc<dyn platform::PlatformService>) -> Self {
        Self { platform }
    }

    /// Reads the head row; `None` if there is no version yet.
    ///
    /// # Errors
    /// [`StoreError::Unreachable`] or [`StoreError::Malformed`].
    pub async fn head(&self) -> Result<Option<VersionHead>> {
        let Some(row) = self.row(row::HEAD_ROW.to_owned()).await? else {
            return Ok(None);
        };
        let wire: row::HeadWire = row::decode(&row)?;
        Ok(Some(VersionHead {
            number: wire.number,
            nonce: wire.nonce,
            row_version: row.version,
        }))
    }

    /// Reads the declarations of version `number`; `None` if it does not exist.
    ///
    /// # Errors
    /// [`StoreError::Unreachable`] or [`StoreError::Malformed`].
    pub async fn read(&self, number: u64) -> Result<Option<String>> {
        let wire = self.version(number).await?;
        Ok(wire.map(|wire| wire.yaml))
    }

    /// Reads number and declarations of the newest version; `None` if there is no version yet.
    ///
    /// # Errors
    /// [`StoreError::Unreachable`] or [`StoreError::Malformed`].
    pub async fn newest(&self) -> Result<Option<(u64, String)>> {
        let Some(head) = self.head().await? else {
            return Ok(None);
        };
        let yaml = self.existing(head.number).await?;
        Ok(Some((head.number, yaml)))
    }

    /// Builds the text of version `to` by applying the stored deltas to `yaml`, the text of version
    /// `from`; `None` if that is not possible and the whole text has to be read.
    ///
    /// # Errors
    /// [`StoreError::Unreachable`].
    pub async fn apply_deltas(&self, from: u64, yaml: &str, to: u64) -> Result<Option<String>> {
        if to.saturating_sub(from) > MAX_DELTAS {
            return Ok(None);
        }
        let keys = (from + 1..=to).map(row::delta_row).collect();
        let rows = self.platform.read(keys).await;
        let rows = rows.map_err(|error| StoreError::Unreachable(error.to_string()))?;
        let mut text = yaml.to_owned();
        for row in rows {
            let delta = row.and_then(|row| row::decode::<delta::TextDelta>(&row).ok());
            let Some(next) = delta.and_then(|delta| delta.apply(&text).ok()) else {
                return Ok(None);
            };
            text = next;
        }
        Ok(Some(text))
    }

    /// Writes `yaml` as the next version, if the newest version is still `base`.
    ///
    /// A `base` of `None` stands for the newest version at the time of the call, 0 for the state
    /// before the first version.
    ///
    /// # Errors
    /// Any [`StoreError`]. Nothing was changed, except that the outcome is unknown with
    /// [`StoreError::Unsettled`].
    pub async fn apply(&self, yaml: &str, base: Option<u64>) -> Result<ApplyOutcome> {
        check::parse("declarations", yaml).map_err(StoreError::Refused)?;
        let head = self.head().await?;
        let current = head.as_ref().map_or(0, |head| head.number);
        let previous = match current {
            0 => None,
            number => Some(self.existing(number).await?),
        };
        if let Some(outcome) = outcome_before_write(current, previous.as_deref(), base, yaml)? {
            return Ok(outcome);
        }
        let row_version = head.map_or(0, |head| head.row_version);
        let previous = previous.as_deref();
        let pending = row::PendingVersion::new(current + 1, row_version, previous, yaml)?;
        self.commit(&pending).await
    }

    /// Writes the declarations of version `to` as the next version.
    ///
    /// # Errors
    /// [`StoreError::NoVersion`] if `to` does not exist, and the errors of
    /// [`VersionStore::apply`].
    pub async fn rollback(&self, to: u64) -> Result<ApplyOutcome> {
        let current = self.head().await?.map_or(0, |head| head.number);
        let yaml = self.read(to).await?.ok_or(StoreError::NoVersion(to))?;
        self.apply(&yaml, Some(current)).await
    }

    /// Sends the write until it is known to have succeeded or to have lost to another one.
    async fn commit(&self, pending: &row::PendingVersion) -> Result<ApplyOutcome> {
        let mut sent = false;
        let mut message = String::new();
        let mut retry_delay = WRITE_RETRY_DELAY;
        for _attempt in 0..MAX_WRITE_ATTEMPTS {
            match self.platform.write(pending.writes.clone()).await {
                Ok(platform::WriteOutcome::Applied(_versions)) => {
                    return Ok(ApplyOutcome::Applied {
                        number: pending.number,
                    });
                }
                // The conflict may be with an earlier attempt of this write.
                Ok(platform::WriteOutcome::Conflict(_rows)) => match self.confirm(pending).await {
                    Ok(Some(outcome)) => return Ok(outcome),
                    Ok(None) => {}
                    Err(error) => message = error.to_string(),
                },
                Err(platform::PlatformError::Unreachable(error)) if !sent => {
                    return Err(StoreError::Unreachable(error));
                }
                Err(platform::PlatformError::Unreachable(error)) => message = error,
                Err(platform::PlatformError::Unknown(error)) => {
                    message = error;
                    if let Ok(Some(outcome)) = self.confirm(pending).await {
                        return Ok(outcome);
                    }
                }
            }
            sent = true;
            task::sleep(retry_delay).await;
            retry_delay = MAX_WRITE_RETRY_DELAY.min(retry_delay * 2);
        }
        Err(StoreError::Unsettled {
            number: pending.number,
            message,
        })
    }

    /// Reads back which write created version `pending.number`; `None` if it does not exist yet.
    async fn confirm(&self, pending: &row::PendingVersion) -> Result<Option<ApplyOutcome>> {
        let Some(head) = self.head().await? else {
            return Ok(None);
        };
        if head.number < pending.number {
            return Ok(None);
        }
        let written = self.version(pending.number).await?;
        if written.is_some_and(|wire| wire.nonce == pending.nonce) {
            return Ok(Some(ApplyOutcome::Applied {
                number: pending.number,
            }));
        }
        let yaml = self.existing(head.number).await?;
        Ok(Some(ApplyOutcome::Lost {
            number: head.number,
            yaml,
        }))
    }

    async fn existing(&self, number: u64) -> Result<String> {
        let yaml = self.read(number).await?;
        yaml.ok_or_else(|| StoreError::Malformed {
            row: row::version_row(number),
            message: "the head row refers to this row, but it does not exist".to_owned(),
        })
    }

    async fn version(&self, number: u64) -> Result<Option<row::VersionWire>> {
        let row = self.row(row::version_row(number)).await?;
        row.as_ref().map(row::decode).transpose()
    }

    async fn row(&self, key: String) -> Result<Option<platform_wire::TableRow>> {
        let rows = self.platform.read(vec![key]).await;
        let rows = rows.map_err(|error| StoreError::Unreachable(error.to_string()))?;
        Ok(rows.into_iter().next().flatten())
    }
}

/// Returns the outcome if it is known without a write; `None` if the write should be attempted.
fn outcome_before_write(
    current: u64,
    current_yaml: Option<&str>,
    base: Option<u64>,
    yaml: &str,
) -> Result<Option<ApplyOutcome>> {
    let is_outdated = base.is_some_and(|base| base != current);
    let Some(current_yaml) = current_yaml else {
        if is_outdated {
            return Err(StoreError::NoVersion(base.unwrap_or_default()));
        }
        return Ok(None);
    };
    if current_yaml == yaml {
        return Ok(Some(ApplyOutcome::Unchanged { number: current }));
    }
    Ok(is_outdated.then(|| ApplyOutcome::Lost {
        number: current,
        yaml: current_yaml.to_owned(),
    }))
}
