//! Configuration versions in the table service: written once, in order, by one operator at a time.

use std::fmt;
use std::sync;
use std::time;

use async_std::task;

use crate::connection::platform;
use crate::connection::platform_wire;
use crate::version::check;
use crate::version::delta;
use crate::version::row;

/// Outcome of a call to the version store.
pub type Result<T> = std::result::Result<T, StoreError>;

/// Versions that are followed by their changes at most.
const MAX_DELTAS: u64 = 32;

/// Tries to settle a write whose answer was lost.
pub const MAX_WRITE_ATTEMPTS: u32 = 8;

/// Pause before the second try; doubles with each further one.
pub const WRITE_RETRY_DELAY: time::Duration = time::Duration::from_millis(100);

/// Longest pause between two tries.
pub const MAX_WRITE_RETRY_DELAY: time::Duration = time::Duration::from_secs(2);

/// Why the version store gave no result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The platform cannot be reached; nothing was changed.
    Unreachable(String),
    /// The version may come into force or not: the platform took the write and answers no more.
    Unsettled {
        /// Number that the version has if it was taken.
        number: u64,
        /// What the platform last reported.
        message: String,
    },
    /// The declarations are at fault; nothing was changed.
    Refused(Vec<check::DeclarationFault>),
    /// There is no such version.
    NoVersion(u64),
    /// A row is not readable.
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
                    "there is no version {number}; use a number up to the present one"
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

/// What became of a version that an operator applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// It is the newest version, or was until another one followed it.
    Applied {
        /// Its number.
        number: u64,
    },
    /// Another operator was first; nothing was changed.
    Lost {
        /// Number of the present version.
        number: u64,
        /// The present declarations.
        yaml: String,
    },
    /// The present version says the same; nothing was changed.
    Unchanged {
        /// Number of the present version.
        number: u64,
    },
}

/// The newest version, as its row names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionHead {
    /// Number of the newest version.
    pub number: u64,
    /// Nonce of the operator that wrote it.
    pub nonce: String,
    /// Version of the row itself, for conditional writes.
    row_version: u64,
}

/// Versions in the table service.
#[derive(Clone, Debug)]
pub struct VersionStore {
    platform: sync::Arc<dyn platform::PlatformService>,
}

impl VersionStore {
    /// A store in the tables of `platform`.
    #[must_use]
    pub fn new(platform: sync::Arc<dyn platform::PlatformService>) -> Self {
        Self { platform }
    }

    /// Reads which version is the newest; `None` before the first one.
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

    /// Reads the declarations of version `number`; `None` when there is no such version.
    ///
    /// # Errors
    /// [`StoreError::Unreachable`] or [`StoreError::Malformed`].
    pub async fn read(&self, number: u64) -> Result<Option<String>> {
        let wire = self.version(number).await?;
        Ok(wire.map(|wire| wire.yaml))
    }

    /// Reads the newest version; `None` before the first one.
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

    /// Makes the text of version `to` out of the text of version `from` by the changes between
    /// them; `None` when that is not possible and the whole text has to be read.
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

    /// Makes `yaml` the next version, provided that the newest one is still `base`.
    ///
    /// Without `base` the newest version at the time of the call is meant; 0 is the state before
    /// the first version.
    ///
    /// # Errors
    /// Any [`StoreError`]; only [`StoreError::Unsettled`] leaves open whether it took effect.
    pub async fn apply(&self, yaml: &str, base: Option<u64>) -> Result<ApplyOutcome> {
        check::parse("declarations", yaml).map_err(StoreError::Refused)?;
        let head = self.head().await?;
        let present = head.as_ref().map_or(0, |head| head.number);
        let previous = match present {
            0 => None,
            number => Some(self.existing(number).await?),
        };
        if let Some(outcome) = compare_present(present, previous.as_deref(), base, yaml)? {
            return Ok(outcome);
        }
        let row_version = head.map_or(0, |head| head.row_version);
        let previous = previous.as_deref();
        let pending = row::PendingVersion::new(present + 1, row_version, previous, yaml)?;
        self.commit(&pending).await
    }

    /// Makes the declarations of version `to` the next version.
    ///
    /// # Errors
    /// As [`VersionStore::apply`], and [`StoreError::NoVersion`].
    pub async fn rollback(&self, to: u64) -> Result<ApplyOutcome> {
        let present = self.head().await?.map_or(0, |head| head.number);
        let yaml = self.read(to).await?.ok_or(StoreError::NoVersion(to))?;
        self.apply(&yaml, Some(present)).await
    }

    /// Sends the write until it is known to have taken effect or to be refused.
    async fn commit(&self, pending: &row::PendingVersion) -> Result<ApplyOutcome> {
        let mut sent = false;
        let mut message = String::new();
        let mut pause = WRITE_RETRY_DELAY;
        for _try in 0..MAX_WRITE_ATTEMPTS {
            match self.platform.write(pending.writes.clone()).await {
                Ok(platform::WriteOutcome::Applied(_versions)) => {
                    return Ok(ApplyOutcome::Applied {
                        number: pending.number,
                    });
                }
                // An earlier send of this very write may be what it conflicts with.
                Ok(platform::WriteOutcome::Conflict(_rows)) => match self.settle(pending).await {
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
                    if let Ok(Some(outcome)) = self.settle(pending).await {
                        return Ok(outcome);
                    }
                }
            }
            sent = true;
            task::sleep(pause).await;
            pause = MAX_WRITE_RETRY_DELAY.min(pause * 2);
        }
        Err(StoreError::Unsettled {
            number: pending.number,
            message,
        })
    }

    /// Reads back whose write became version `pending.number`; `None` when there is none yet.
    async fn settle(&self, pending: &row::PendingVersion) -> Result<Option<ApplyOutcome>> {
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
            message: "the head names it, but there is no such row".to_owned(),
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

/// What is to be told before anything is written; `None` when the write may be tried.
fn compare_present(
    present: u64,
    present_yaml: Option<&str>,
    base: Option<u64>,
    yaml: &str,
) -> Result<Option<ApplyOutcome>> {
    let moved_on = base.is_some_and(|base| base != present);
    let Some(present_yaml) = present_yaml else {
        if moved_on {
            return Err(StoreError::NoVersion(base.unwrap_or_default()));
        }
        return Ok(None);
    };
    if present_yaml == yaml {
        return Ok(Some(ApplyOutcome::Unchanged { number: present }));
    }
    Ok(moved_on.then(|| ApplyOutcome::Lost {
        number: present,
        yaml: present_yaml.to_owned(),
    }))
}
