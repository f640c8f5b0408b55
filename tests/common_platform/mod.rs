//! Table service in memory, with faults that a test plans write by write.

pub mod rows;

use std::collections;
use std::fmt;
use std::sync;

use futures::future;
use futures::future::FutureExt as _;
use kumquatpulley::connection::platform;
use kumquatpulley::connection::platform_wire;

/// What happens to one write.
pub enum WriteFault {
    /// It never arrives, and the sender can't know.
    RequestLost,
    /// It takes effect, then the closure runs, and the answer is lost.
    AnswerLost(Box<dyn FnOnce(&mut rows::RowMap) + Send>),
    /// It arrives only after the next write has been answered.
    Late,
    /// The closure runs first, then the write goes on as usual.
    Overtaken(Box<dyn FnOnce(&mut rows::RowMap) + Send>),
}

/// Table service of one test.
#[derive(Default)]
pub struct FakePlatform {
    state: parking_lot::Mutex<FakeState>,
}

#[derive(Default)]
struct FakeState {
    rows: rows::RowMap,
    down: bool,
    faults: collections::VecDeque<WriteFault>,
    late: Vec<Vec<platform_wire::RowWrite>>,
    reads: u64,
    writes: u64,
    bytes_read: usize,
}

impl fmt::Debug for FakePlatform {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FakePlatform").finish_non_exhaustive()
    }
}

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

    /// Bytes of the values that were read.
    pub fn bytes_read(&self) -> usize {
        self.state.lock().bytes_read
    }

    /// Puts a value into a row, or deletes the row.
    pub fn replace(&self, key: &str, value: Option<&str>) {
        let write = platform_wire::RowWrite {
            key: key.to_owned(),
            if_version: None,
            value: value.map(str::to_owned),
        };
        rows::transact(&mut self.state.lock().rows, &[write]);
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
                rows::transact(&mut state.rows, writes);
                then(&mut state.rows);
                return unknown;
            }
            Some(WriteFault::Overtaken(first)) => first(&mut state.rows),
            None => {}
        }
        let outcome = rows::transact(&mut state.rows, writes);
        for late in std::mem::take(&mut state.late) {
            rows::transact(&mut state.rows, &late);
        }
        Ok(outcome)
    }
}

fn unreachable_error() -> platform::PlatformError {
    platform::PlatformError::Unreachable("the platform is down".to_owned())
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
        let rows: Vec<_> = rows.collect();
        state.bytes_read += rows
            .iter()
            .flatten()
            .map(|row| row.value.len())
            .sum::<usize>();
        future::ready(Ok(rows)).boxed()
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
