//! In-memory table service that simulates outages and lost responses.

use std::collections;

use futures::FutureExt as _;
use futures::future;
use kumquatpulley::connection::platform;
use kumquatpulley::connection::platform_wire;

/// Fault of one write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteFault {
    /// No fault.
    None,
    /// The write takes effect, but its response is lost.
    LoseAnswer,
    /// The request is lost: no effect and no response.
    LoseQuery,
    /// The service is down: the write fails without effect.
    Down,
    /// A conflict response omits the rows that caused it.
    HideRows,
}

/// Rows, and a queue of faults for the next writes; the last fault persists.
#[derive(Debug, Default)]
pub struct FakePlatform {
    state: parking_lot::Mutex<PlatformState>,
}

#[derive(Debug, Default)]
struct PlatformState {
    rows: collections::HashMap<String, platform_wire::TableRow>,
    faults: collections::VecDeque<WriteFault>,
    transactions: u32,
}

impl FakePlatform {
    /// Sets the faults of the next writes; the last one persists.
    pub fn set_faults(&self, faults: &[WriteFault]) {
        self.state.lock().faults = faults.iter().copied().collect();
    }

    /// Number of write transactions received.
    pub fn transactions(&self) -> u32 {
        self.state.lock().transactions
    }

    /// Number of rows in the table.
    pub fn row_count(&self) -> usize {
        self.state.lock().rows.len()
    }
}

impl PlatformState {
    fn next_fault(&mut self) -> WriteFault {
        let fault = self.faults.front().copied();
        if self.faults.len() > 1 {
            self.faults.pop_front();
        }
        fault.unwrap_or(WriteFault::None)
    }

    fn version(&self, key: &str) -> u64 {
        self.rows.get(key).map_or(0, |row| row.version)
    }

    fn apply(&mut self, writes: &[platform_wire::RowWrite]) -> platform::WriteOutcome {
        let failed: Vec<_> = writes
            .iter()
            .filter(|write| {
                write
                    .if_version
                    .is_some_and(|version| version != self.version(&write.key))
            })
            .map(|write| self.rows.get(&write.key).cloned())
            .collect();
        if !failed.is_empty() {
            return platform::WriteOutcome::Conflict(failed);
        }
        let mut versions = Vec::new();
        for write in writes {
            let version = self.version(&write.key) + 1;
            let row = platform_wire::TableRow {
                key: write.key.clone(),
                version,
                value: write.value.clone().unwrap_or_default(),
            };
            self.rows.insert(write.key.clone(), row);
            versions.push(version);
        }
        platform::WriteOutcome::Applied(versions)
    }
}

impl platform::PlatformService for FakePlatform {
    fn read(
        &self,
        keys: Vec<String>,
    ) -> future::BoxFuture<'_, platform::Result<Vec<Option<platform_wire::TableRow>>>> {
        let state = self.state.lock();
        let down = state.faults.front() == Some(&WriteFault::Down);
        let rows = keys.iter().map(|key| state.rows.get(key).cloned());
        let reply = if down {
            Err(platform::PlatformError::Unreachable("down".to_owned()))
        } else {
            Ok(rows.collect())
        };
        future::ready(reply).boxed()
    }

    fn write(
        &self,
        writes: Vec<platform_wire::RowWrite>,
    ) -> future::BoxFuture<'_, platform::Result<platform::WriteOutcome>> {
        let mut state = self.state.lock();
        state.transactions += 1;
        let unknown = || Err(platform::PlatformError::Unknown("answer lost".to_owned()));
        let reply = match state.next_fault() {
            WriteFault::None => Ok(state.apply(&writes)),
            WriteFault::Down => Err(platform::PlatformError::Unreachable("down".to_owned())),
            WriteFault::LoseQuery => unknown(),
            WriteFault::LoseAnswer => {
                state.apply(&writes);
                unknown()
            }
            WriteFault::HideRows => match state.apply(&writes) {
                platform::WriteOutcome::Conflict(_rows) => {
                    Ok(platform::WriteOutcome::Conflict(Vec::new()))
                }
                applied @ platform::WriteOutcome::Applied(_) => Ok(applied),
            },
        };
        future::ready(reply).boxed()
    }

    fn vms(&self) -> future::BoxFuture<'_, platform::Result<Vec<platform_wire::VmEntry>>> {
        future::ready(Ok(Vec::new())).boxed()
    }
}
