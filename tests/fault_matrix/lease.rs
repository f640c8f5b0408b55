//! Cells of orders under leases: each fault before and after the effect of an order.

use std::sync;
use std::time;

use async_std::task;
use kumquatpulley::process::orders::lease;

use crate::bench;
use crate::caller;
use crate::cell;
use crate::fault;
use crate::generation;
use crate::operator;
use crate::process;

/// Outcome of a step of a cell.
type Result<T> = eyre::Result<T>;

/// Faults that strike orders.
pub const FAULTS: [fault::SystemFault; 18] = [
    fault::SystemFault::EndpointKilled,
    fault::SystemFault::EndpointFrozen,
    fault::SystemFault::EndpointRestarted,
    fault::SystemFault::EndpointSilent,
    fault::SystemFault::EndpointCut,
    fault::SystemFault::EndpointPartition("both"),
    fault::SystemFault::EndpointPartition("forward"),
    fault::SystemFault::EndpointPartition("backward"),
    fault::SystemFault::RouterKilled,
    fault::SystemFault::RouterFrozen,
    fault::SystemFault::RouterRestarted,
    fault::SystemFault::RouterStopped,
    fault::SystemFault::TableDown,
    fault::SystemFault::TableSlow,
    fault::SystemFault::TableAnswerLost,
    fault::SystemFault::TablePartition("both"),
    fault::SystemFault::TablePartition("forward"),
    fault::SystemFault::TablePartition("backward"),
];

/// Time for the engines to hold the declared model: a lease that lapses, its takeover, an order.
const HOLD_BOUND: time::Duration =
    lease::LEASE_DURATION.saturating_add(time::Duration::from_secs(10));

const TICK: time::Duration = time::Duration::from_millis(10);

/// Time for which orders could still arrive late.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(1);

/// Runs one cell.
pub async fn run(
    strikes: fault::SystemFault,
    step: operator::EffectStep,
    checks_fencing: bool,
) -> Result<cell::CellFigures> {
    let mut plan = bench::BenchPlan {
        checks_fencing,
        ..bench::BenchPlan::default()
    };
    strikes.extend(&mut plan);
    let mut target = fault::FaultTarget {
        bench: bench::TestBench::start(plan).await?,
        endpoint: fault::EndpointChoice::Engine(0),
        router: 0,
        caller_drops: sync::Arc::default(),
    };
    let outcome = strike_and_judge(&mut target, strikes, step).await;
    outcome.map_err(|error| {
        let logs = (1..=plan.routers).map(|index| target.bench.read_log(&format!("r{index}")));
        let logs: Vec<String> = logs.collect();
        eyre::eyre!("{error}\n{}", logs.join("\n"))
    })
}

async fn strike_and_judge(
    target: &mut fault::FaultTarget,
    strikes: fault::SystemFault,
    step: operator::EffectStep,
) -> Result<cell::CellFigures> {
    target.router = find_holder(&target.bench).await?;
    let file = target.bench.write_declarations("v2", 100)?;
    let output = target.bench.apply_file(&file, &[]).await?;
    eyre::ensure!(output.status.success(), "apply failed");
    if step == operator::EffectStep::After {
        wait_order(&target.bench).await?;
    }
    let struck = time::Instant::now();
    strikes.strike(target).await?;
    if strikes.lasts() {
        task::sleep(generation::HEAL_AFTER.saturating_sub(struck.elapsed())).await;
        strikes.heal(target).await?;
    }
    let healed = time::Instant::now();
    let is_gone = strikes == fault::SystemFault::EndpointKilled;
    let engines = target.bench.engines.iter().skip(usize::from(is_gone));
    let engines: Vec<&bench::EndpointUnit> = engines.collect();
    for engine in &engines {
        while !holds(engine, "v2").await {
            eyre::ensure!(
                healed.elapsed() < HOLD_BOUND,
                "{} does not hold the declared version",
                engine.name
            );
            task::sleep(TICK).await;
        }
    }
    task::sleep(SETTLE_TIME).await;
    for engine in &engines {
        check_orders(engine).await?;
    }
    caller::StreamCaller::prepare(&target.bench)
        .await?
        .run()
        .await?;
    Ok(cell::CellFigures::default())
}

/// The router that holds the lease for orders to the engines.
async fn find_holder(bench: &bench::TestBench) -> Result<usize> {
    let started = time::Instant::now();
    loop {
        for (index, router) in bench.routers.iter().enumerate() {
            let events = process::get_json(router.admin, "/admin/timeline").await?;
            let events = events.as_array().cloned().unwrap_or_default();
            let last = events
                .iter()
                .rfind(|event| event["event"] == "lease-changed");
            if last.is_some_and(|event| event["held"] == true) {
                return Ok(index);
            }
        }
        eyre::ensure!(started.elapsed() < HOLD_BOUND, "no router holds the lease");
        task::sleep(TICK).await;
    }
}

async fn wait_order(bench: &bench::TestBench) -> Result<()> {
    let started = time::Instant::now();
    loop {
        for engine in &bench.engines {
            let stats = engine.stand_in.stats().await?;
            if wants(&stats, "v2") {
                return Ok(());
            }
        }
        eyre::ensure!(started.elapsed() < HOLD_BOUND, "no engine got an order");
        task::sleep(TICK).await;
    }
}

/// Whether the engine was ordered to hold `version`.
fn wants(stats: &serde_json::Value, version: &str) -> bool {
    let orders = stats["orders"].as_array().cloned().unwrap_or_default();
    orders.iter().any(|record| {
        let loaded = record["order"]["wanted"]["loaded"].as_array().cloned();
        loaded
            .unwrap_or_default()
            .iter()
            .any(|model| model["version"] == version)
    })
}

async fn holds(engine: &bench::EndpointUnit, version: &str) -> bool {
    let Ok(stats) = engine.stand_in.stats().await else {
        return false;
    };
    let loaded = stats["report"]["loaded"].as_array().cloned();
    let loaded = loaded.unwrap_or_default();
    loaded.iter().any(|model| model["version"] == version)
}

/// No order that an engine took carries an older number than one before it.
async fn check_orders(engine: &bench::EndpointUnit) -> Result<()> {
    let stats = engine.stand_in.stats().await?;
    let orders = stats["orders"].as_array().cloned().unwrap_or_default();
    let taken = orders.iter().filter(|record| record["accepted"] == true);
    let fences: Vec<u64> = taken
        .filter_map(|record| record["order"]["fence"].as_u64())
        .collect();
    eyre::ensure!(
        fences.is_sorted(),
        "{} took orders with the numbers {fences:?}",
        engine.name
    );
    Ok(())
}
