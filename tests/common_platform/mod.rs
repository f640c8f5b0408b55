//! Table service in memory, with faults that a test plans write by write.

use std::collections;
use std::fmt;
use std::sync;

use futures::future;
use futures::future::FutureExt as _;
use kumquatpulley::connection::platform;
use kumquatpulley::connection::platform_wire;
use parking_lot::Mutex;

/// Rows by key.
pub type RowMap = collections::BTreeMap<String, platform_wire::TableRow>;

/// What happens to one write.
pub enum WriteFault {
    /// It never arrives, and the sender can't know.
    RequestLost,
    /// It takes effect, then the closure runs, and the answer is lost.
    AnswerLost(Box<dyn FnOnce(&mut RowMap) + Send>),
    /// It arrives only after the next write has been answered.
    Late,
    /// The closure runs first, then the write goes on as usual.
    Overtaken(Box<dyn FnOnce(&mut RowMap) + Send>),
}

/// Table service of one test.
#[derive(Default)]
pub struct FakePlatform {
    state: Mutex<FakeState>,
}

#[derive(Default)]
struct FakeState {
    rows: RowMap,
    down: bool,
    faults: collections::VecDeque<WriteFault>,
    late: Vec<Vec<platform_wire::RowWrite>>,
    reads: u64,
    writes: u64,
}

impl fmt::Debug for FakePlatform {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FakePlatform").finish_non_exhaustive()
    }
}

#[expect(dead_code, reason = "each test file uses a part of the fake")]
impl FakePlatform {
    /// An empty table service without faults.
    pub fn shared() -> sync::Arc<Self> {
        sync::Arc::new(Self::default())
    }

    /// Plans the fault of the next write that has none yet.
    pub fn plan(&self, fault: WriteFault) {
        self.state.lock().faults.push_back(fault);
    }

    /// Begins or ends an outage.
    pub fn set_down(&self, down: bool) {
        self.state.lock().down = down;
    }

    /// Value of a row.
    pub fn value(&self, key: &str) -> Option<String> {
        let state = self.state.lock();
        state.rows.get(key).map(|row| row.value.clone())
    }

    /// Puts a value into a row, without conditions.
    pub fn put(&self, key: &str, value: &str) {
        put(&mut self.state.lock().rows, key, value);
    }

    /// Keys of all rows.
    pub fn keys(&self) -> Vec<String> {
        self.state.lock().rows.keys().cloned().collect()
    }

    /// Reads and writes that arrived, failed ones included.
    pub fn counts(&self) -> (u64, u64) {
        let state = self.state.lock();
        (state.reads, state.writes)
    }

    fn write_now(
        &self,
        writes: &[platform_wire::RowWrite],
    ) -> platform::Result<platform::WriteOutcome> {
        let mut state = self.state.lock();
        state.writes += 1;
        if state.down {
            return Err(unreachable_error());
        }
        let unknown = Err(platform::PlatformError::Unknown("no answer".to_owned()));
        match state.faults.pop_front() {
            Some(WriteFault::RequestLost) => return unknown,
            Some(WriteFault::Late) => {
                state.late.push(writes.to_vec());
                return unknown;
            }
            Some(WriteFault::AnswerLost(then)) => {
                transact(&mut state.rows, writes);
                then(&mut state.rows);
                return unknown;
            }
            Some(WriteFault::Overtaken(first)) => first(&mut state.rows),
            None => {}
        }
        let outcome = transact(&mut state.rows, writes);
        for late in std::mem::take(&mut state.late) {
            transact(&mut state.rows, &late);
        }
        Ok(outcome)
    }
}

fn unreachable_error() -> platform::PlatformError {
    platform::PlatformError::Unreachable("the platform is down".to_owned())
}

/// Puts a value into a row, without conditions.
pub fn put(rows: &mut RowMap, key: &str, value: &str) {
    let version = rows.get(key).map_or(0, |row| row.version) + 1;
    let row = platform_wire::TableRow {
        key: key.to_owned(),
        version,
        value: value.to_owned(),
    };
    rows.insert(key.to_owned(), row);
}

/// Applies all writes or none.
pub fn transact(rows: &mut RowMap, writes: &[platform_wire::RowWrite]) -> platform::WriteOutcome {
    let fails = |write: &&platform_wire::RowWrite| {
        let present = rows.get(&write.key).map_or(0, |row| row.version);
        write.if_version.is_some_and(|version| version != present)
    };
    let failed: Vec<_> = writes.iter().filter(fails).collect();
    if !failed.is_empty() {
        let present = failed.iter().map(|write| rows.get(&write.key).cloned());
        return platform::WriteOutcome::Conflict(present.collect());
    }
    let mut versions = Vec::new();
    for write in writes {
        let Some(value) = &write.value else {
            rows.remove(&write.key);
            versions.push(0);
            continue;
        };
        put(rows, &write.key, value);
        versions.push(rows[&write.key].version);
    }
    platform::WriteOutcome::Applied(versions)
}

impl platform::PlatformService for FakePlatform {
    fn read(
        &self,
        keys: Vec<String>,
    ) -> future::BoxFuture<'_, platform::Result<Vec<Option<platform_wire::TableRow>>>> {
        let mut state = self.state.lock();
        state.reads += 1;
        if state.down {
            return future::ready(Err(unreachable_error())).boxed();
        }
        let rows = keys.iter().map(|key| state.rows.get(key).cloned());
        future::ready(Ok(rows.collect())).boxed()
    }

    fn write(
        &self,
        writes: Vec<platform_wire::RowWrite>,
    ) -> future::BoxFuture<'_, platform::Result<platform::WriteOutcome>> {
        future::ready(self.write_now(&writes)).boxed()
    }

    fn vms(&self) -> future::BoxFuture<'_, platform::Result<Vec<platform_wire::VmEntry>>> {
        future::ready(Ok(Vec::new())).boxed()
    }
}
