//! Resume latency and extra work by fault and recovery policy, beside two simpler policies.
//!
//! Prints a table, then one JSON line; fails when an answer is not whole or, under a policy that
//! can be declared, does not go on within the bound.

use std::env;
use std::process as std_process;
use std::time;

use async_std::task;

#[path = "../../tests/fault_matrix/bench.rs"]
#[expect(dead_code, reason = "the fault matrix uses more of it")]
mod bench;
mod cell;
#[path = "../../tests/fault_matrix/declarations.rs"]
mod declarations;
mod engine_lane;
mod engine_run;
mod engine_view;
mod figures;
#[path = "../support/numbers.rs"]
mod numbers;
#[path = "../../examples/support/oracle.rs"]
mod oracle;
#[path = "../../tests/fault_matrix/process.rs"]
#[expect(dead_code, reason = "the fault matrix uses more of it")]
mod process;
#[path = "../support/programs.rs"]
mod programs;
mod router_run;
mod schedule;

/// Output goes on within this time after a loss.
const RESUME_BOUND: time::Duration = time::Duration::from_secs(4);

/// Runs of each cell.
const DEFAULT_RUNS: usize = 30;

/// Engine pairs that work at the same time.
const DEFAULT_ENGINE_LANES: usize = 8;

/// Systems with routers that work at the same time, for each declared policy.
const DEFAULT_ROUTER_LANES: usize = 2;

/// Everything that one run of the bench measured.
#[derive(Debug)]
#[derive(serde::Serialize)]
struct RecoverySummary {
    bench: &'static str,
    resume_bound_ms: u128,
    cells: Vec<figures::CellFigures>,
    failures: Vec<String>,
}

/// A whole number from the environment, or `default`.
fn number(variable: &str, default: usize) -> usize {
    let value = env::var(variable).ok();
    value
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}

async fn measure() -> eyre::Result<RecoverySummary> {
    let runs = number("RECOVERY_RUNS", DEFAULT_RUNS);
    let lanes = number("RECOVERY_LANES", DEFAULT_ENGINE_LANES);
    let mut cells = schedule::run_engine_cells(runs, lanes).await?;
    cells.extend(schedule::run_router_cells(runs, DEFAULT_ROUTER_LANES).await?);
    let failures = cells
        .iter()
        .flat_map(|cell| cell.failures(RESUME_BOUND))
        .collect();
    Ok(RecoverySummary {
        bench: "recovery",
        resume_bound_ms: RESUME_BOUND.as_millis(),
        cells,
        failures,
    })
}

fn main() -> eyre::Result<std_process::ExitCode> {
    programs::build_stand_ins()?;
    let summary = task::block_on(measure())?;
    println!("{}", figures::table(&summary.cells));
    println!("{}", serde_json::to_string(&summary)?);
    if summary.failures.is_empty() {
        return Ok(std_process::ExitCode::SUCCESS);
    }
    Ok(std_process::ExitCode::FAILURE)
}
