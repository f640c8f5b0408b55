//! Distributes runs over lanes that work at the same time.

use std::sync;

use async_std::task;
use futures::future;

use crate::cell;
use crate::engine_lane;
use crate::engine_run;
use crate::figures;
use crate::router_run;

/// Outcome of measuring.
pub type Result<T> = eyre::Result<T>;

type Cell = (cell::RunFault, cell::RunPolicy);
type CellResult = (Cell, eyre::Result<figures::RunFigures>);
type Queue = sync::Arc<parking_lot::Mutex<Vec<Cell>>>;

/// Every engine fault under every policy.
pub async fn run_engine_cells(runs: usize, lanes: usize) -> Result<Vec<figures::CellFigures>> {
    let cells = product(&cell::RunFault::ENGINE, &cell::RunPolicy::ALL);
    let queue = queue(&cells, runs);
    let folder = tempfile::tempdir()?;
    let mut workers = Vec::new();
    for lane in 0..lanes {
        let started = engine_lane::EngineLane::start(folder.path(), lane)?;
        let queue = sync::Arc::clone(&queue);
        workers.push(task::spawn(work_engines(started, queue)));
    }
    let results = future::try_join_all(workers).await?;
    Ok(summarize(&cells, results.into_iter().flatten().collect()))
}

/// Every router fault under every policy that can be declared.
pub async fn run_router_cells(runs: usize, lanes: usize) -> Result<Vec<figures::CellFigures>> {
    let cells = product(&cell::RunFault::ROUTER, &cell::RunPolicy::DECLARED);
    let mut workers = Vec::new();
    for policy in cell::RunPolicy::DECLARED {
        let own: Vec<Cell> = cells
            .iter()
            .copied()
            .filter(|cell| cell.1 == policy)
            .collect();
        let queue = queue(&own, runs);
        for _lane in 0..lanes {
            workers.push(task::spawn(work_routers(policy, sync::Arc::clone(&queue))));
        }
    }
    let results = future::try_join_all(workers).await?;
    Ok(summarize(&cells, results.into_iter().flatten().collect()))
}

async fn work_engines(mut lane: engine_lane::EngineLane, queue: Queue) -> Result<Vec<CellResult>> {
    engine_run::warm_up(&mut lane).await?;
    let mut results = Vec::new();
    while let Some(cell) = next(&queue) {
        results.push((cell, engine_run::run(&mut lane, cell.0, cell.1).await));
    }
    Ok(results)
}

async fn work_routers(policy: cell::RunPolicy, queue: Queue) -> Result<Vec<CellResult>> {
    let mut system = router_run::start(policy).await?;
    let mut results = Vec::new();
    while let Some(cell) = next(&queue) {
        let result = router_run::run(&mut system, cell.0).await;
        if result.is_err() {
            // A run that failed may have left a process down.
            system = router_run::start(policy).await?;
        }
        results.push((cell, result));
    }
    Ok(results)
}

fn next(queue: &Queue) -> Option<Cell> {
    queue.lock().pop()
}

/// The runs of all cells in random order, so that a busy moment touches all cells alike.
fn queue(cells: &[Cell], runs: usize) -> Queue {
    let mut all = cells.repeat(runs);
    fastrand::shuffle(&mut all);
    sync::Arc::new(parking_lot::Mutex::new(all))
}

fn product(faults: &[cell::RunFault], policies: &[cell::RunPolicy]) -> Vec<Cell> {
    let mut cells = Vec::new();
    for &fault in faults {
        for &policy in policies {
            cells.push((fault, policy));
        }
    }
    cells
}

fn summarize(cells: &[Cell], mut results: Vec<CellResult>) -> Vec<figures::CellFigures> {
    let mut summary = Vec::new();
    for &cell in cells {
        let (own, others): (Vec<_>, Vec<_>) = results
            .into_iter()
            .partition(|(measured, _result)| *measured == cell);
        results = others;
        let own = own.into_iter().map(|(_cell, result)| result).collect();
        summary.push(figures::CellFigures::new(cell.0, cell.1, own));
    }
    summary
}
