//! Cells of the matrix: names, results and the table.

use std::collections;
use std::fmt::Write as _;
use std::sync::atomic;
use std::thread;
use std::time;

use async_std::future as async_future;
use async_std::task;
use futures::future;

/// Cells that run at the same time.
const CELLS_AT_ONCE: usize = 10;

/// Time for one cell, its start included.
const CELL_LIMIT: time::Duration = time::Duration::from_secs(60);

/// Figures of a cell that passed.
#[derive(Clone, Copy, Debug, Default)]
pub struct CellFigures {
    /// Longest wait for a token after the fault.
    pub resume: Option<time::Duration>,
    /// What the caller got in the end.
    pub ending: CellEnding,
}

/// What the caller got in the end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CellEnding {
    /// The whole answer, or what was asked for.
    #[default]
    Answered,
    /// A refusal of a request that did not run.
    NotRun,
    /// A refusal of a request that may have run.
    MayHaveRun,
}

/// Runs a cell.
pub type CellRun =
    Box<dyn Fn() -> future::BoxFuture<'static, eyre::Result<CellFigures>> + Send + Sync>;

/// One fault at one step.
pub struct MatrixCell {
    /// Row of the table.
    pub fault: String,
    /// Column of the table.
    pub step: String,
    /// What to do.
    pub run: CellRun,
}

/// A cell that cannot be made.
#[derive(Clone, Copy, Debug)]
pub struct MissingCell {
    /// Row of the table.
    pub fault: &'static str,
    /// Why.
    pub reason: &'static str,
}

/// What became of a cell.
#[derive(Debug)]
pub struct CellReport {
    /// `fault at step`.
    pub name: String,
    fault: String,
    outcome: Result<CellFigures, String>,
}

impl CellReport {
    /// Why the cell failed.
    pub fn failure(&self) -> Option<&str> {
        self.outcome.as_ref().err().map(String::as_str)
    }
}

/// Runs all cells, some at the same time, and returns their reports in the given order.
pub fn run_all(cells: &[MatrixCell]) -> Vec<CellReport> {
    let next = atomic::AtomicUsize::new(0);
    let reports = parking_lot::Mutex::new(collections::BTreeMap::new());
    thread::scope(|scope| {
        for _worker in 0..CELLS_AT_ONCE {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, atomic::Ordering::Relaxed);
                    let Some(cell) = cells.get(index) else { return };
                    let report = run_one(cell);
                    reports.lock().insert(index, report);
                }
            });
        }
    });
    reports.into_inner().into_values().collect()
}

fn run_one(cell: &MatrixCell) -> CellReport {
    let outcome = task::block_on(async_future::timeout(CELL_LIMIT, (cell.run)()));
    let outcome = match outcome {
        Ok(ended) => ended.map_err(|error| error.to_string()),
        Err(_elapsed) => Err(format!("no end within {CELL_LIMIT:?}")),
    };
    CellReport {
        name: format!("{} at {}", cell.fault, cell.step),
        fault: cell.fault.clone(),
        outcome,
    }
}

/// The table: for each fault the cells run, passed and failed, and the worst resume latency.
pub fn table(reports: &[CellReport], missing: &[MissingCell]) -> String {
    let mut text = format!(
        "{:<56} {:>4} {:>6} {:>6} {:>8} {:>7} {:>12} {:>12}\n",
        "fault", "run", "passed", "failed", "answered", "not-run", "may-have-run", "worst resume"
    );
    let mut faults: Vec<&str> = Vec::new();
    for report in reports {
        if !faults.contains(&report.fault.as_str()) {
            faults.push(&report.fault);
        }
    }
    for fault in faults {
        let rows: Vec<_> = reports.iter().filter(|row| row.fault == fault).collect();
        write_row(&mut text, fault, &rows);
    }
    write_row(&mut text, "all", &reports.iter().collect::<Vec<_>>());
    for cell in missing {
        let _ = writeln!(text, "not run: {}: {}", cell.fault, cell.reason);
    }
    text
}

fn write_row(text: &mut String, name: &str, reports: &[&CellReport]) {
    let failed = reports.iter().filter(|row| row.outcome.is_err()).count();
    let resumes = reports.iter().filter_map(|row| row.outcome.as_ref().ok());
    let ended = |ending: CellEnding| {
        let passed = reports.iter().filter_map(|row| row.outcome.as_ref().ok());
        passed.filter(|figures| figures.ending == ending).count()
    };
    let worst = resumes.filter_map(|figures| figures.resume).max();
    let worst = worst.map_or_else(
        || "-".to_owned(),
        |worst| format!("{} ms", worst.as_millis()),
    );
    let _ = writeln!(
        text,
        "{name:<56} {:>4} {:>6} {failed:>6} {:>8} {:>7} {:>12} {worst:>12}",
        reports.len(),
        reports.len() - failed,
        ended(CellEnding::Answered),
        ended(CellEnding::NotRun),
        ended(CellEnding::MayHaveRun),
    );
}
