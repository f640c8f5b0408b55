//! What a router adds to first token and to the gap between tokens, and what a token costs it.
//!
//! Prints one line for each step, then one JSON line; fails when a bound is missed at the number
//! of streams that the aim gives one router.

use std::process as std_process;

use async_std::task;

#[path = "../../tests/fault_matrix/bench.rs"]
#[expect(dead_code, reason = "the fault matrix uses more of it")]
mod bench;
mod calls;
#[path = "../../tests/fault_matrix/declarations.rs"]
mod declarations;
mod level;
#[path = "../support/numbers.rs"]
mod numbers;
#[path = "../../tests/fault_matrix/process.rs"]
#[expect(dead_code, reason = "the fault matrix uses more of it")]
mod process;
#[path = "../support/programs.rs"]
mod programs;
#[path = "../support/router_cpu.rs"]
mod router_cpu;
mod streams;
#[path = "../support/system.rs"]
mod system;

/// Streams at the same time; the aim gives one router 14 million tokens a second over 2,800
/// routers, which is 100 streams of 50 tokens a second.
const LEVELS: [usize; 5] = [1, 100, 500, 1_000, 2_000];

/// Level at which the bounds must hold.
const AIM_LEVEL: usize = 100;

const ENGINES: system::EnginePlan = system::EnginePlan {
    count: 8,
    slots: 512,
    prefill_us: 50,
    cache_blocks: 1_024,
};

const WORKSPACE: &str = "planners";

/// Everything that one run of the bench measured.
#[derive(Debug)]
#[derive(serde::Serialize)]
struct StreamSummary {
    bench: &'static str,
    levels: Vec<level::LevelFigures>,
    most_streams_within_bounds: usize,
    caller_bytes_per_token: f64,
    calls: Vec<calls::CallFigures>,
    failures: Vec<String>,
}

async fn measure() -> eyre::Result<StreamSummary> {
    let plan = bench::BenchPlan {
        routers: 1,
        engines: 1,
        service: true,
        relays: bench::RelayPlaces {
            callers: true,
            ..bench::RelayPlaces::default()
        },
        ..bench::BenchPlan::default()
    };
    let workspace = system::WorkspacePlan {
        name: WORKSPACE.to_owned(),
        max_in_flight: 10_000,
        max_queue: 256,
    };
    let system = system::BenchSystem::start(plan, ENGINES, &[workspace]).await?;
    let caller_bytes_per_token = streams::bytes_per_token(&system).await?;
    let mut levels = Vec::new();
    for streams in LEVELS {
        let figures = level::measure(&system, streams).await?;
        println!("{}", serde_json::to_string(&figures)?);
        let is_within = figures.misses().is_empty();
        levels.push(figures);
        if !is_within && streams > AIM_LEVEL {
            break;
        }
    }
    let calls = calls::measure(&system).await?;
    let within = levels.iter().filter(|level| level.misses().is_empty());
    let most_streams_within_bounds = within.map(|level| level.streams).max().unwrap_or(0);
    let bound = levels.iter().filter(|level| level.streams <= AIM_LEVEL);
    let mut failures: Vec<String> = bound.flat_map(level::LevelFigures::misses).collect();
    failures.extend(levels.iter().flat_map(level::LevelFigures::errors));
    Ok(StreamSummary {
        bench: "stream",
        levels,
        most_streams_within_bounds,
        caller_bytes_per_token,
        calls,
        failures,
    })
}

fn main() -> eyre::Result<std_process::ExitCode> {
    programs::build_stand_ins()?;
    let summary = task::block_on(measure())?;
    println!("{}", serde_json::to_string(&summary)?);
    if summary.failures.is_empty() {
        return Ok(std_process::ExitCode::SUCCESS);
    }
    Ok(std_process::ExitCode::FAILURE)
}
