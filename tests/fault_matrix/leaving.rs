//! Cells of leaving: an endpoint that says so, in each way, gets no new work after a few seconds.

use std::fs;
use std::sync;
use std::time;

use async_std::task;
use futures::future;
use kumquatpulley::process::telemetry::timeline;
use serde_json::json;

use crate::bench;
use crate::caller;
use crate::cell;
use crate::fault;
use crate::generation;
use crate::process;

/// Outcome of a step of a cell.
type Result<T> = eyre::Result<T>;

/// Who says that the endpoint is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeavingSource {
    /// The endpoint itself.
    Endpoint,
    /// The VM list.
    VmList,
    /// The VM list, seconds late.
    LateVmList,
    /// A declaration.
    Declaration,
}

/// All sources.
pub const SOURCES: [LeavingSource; 4] = [
    LeavingSource::Endpoint,
    LeavingSource::VmList,
    LeavingSource::LateVmList,
    LeavingSource::Declaration,
];

impl LeavingSource {
    /// Name in the table.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Endpoint => "said by endpoint",
            Self::VmList => "said by VM list",
            Self::LateVmList => "said late by VM list",
            Self::Declaration => "said by declaration",
        }
    }

    const fn lag(self) -> time::Duration {
        match self {
            Self::Endpoint | Self::Declaration => time::Duration::ZERO,
            Self::VmList => time::Duration::from_millis(500),
            Self::LateVmList => time::Duration::from_secs(3),
        }
    }
}

/// Faults that strike while an endpoint leaves.
pub const FAULTS: [Option<fault::SystemFault>; 5] = [
    None,
    Some(fault::SystemFault::RouterKilled),
    Some(fault::SystemFault::RouterFrozen),
    Some(fault::SystemFault::RouterRestarted),
    Some(fault::SystemFault::TableDown),
];

/// Work that arrives later than this after the fact is visible is new work to a leaving endpoint.
const LEAVING_BOUND: time::Duration = time::Duration::from_secs(4);

const ANSWERS: usize = 6;

/// Runs one cell.
pub async fn run(
    source: LeavingSource,
    strikes: Option<fault::SystemFault>,
) -> Result<cell::CellFigures> {
    let plan = bench::BenchPlan::default();
    let mut target = fault::FaultTarget {
        bench: bench::TestBench::start(plan).await?,
        endpoint: fault::EndpointChoice::Engine(1),
        router: 0,
        caller_drops: sync::Arc::default(),
    };
    let outcome = leave_and_judge(&mut target, source, strikes).await;
    outcome.map_err(|error| {
        let logs = (1..=plan.routers).map(|index| target.bench.read_log(&format!("r{index}")));
        let logs: Vec<String> = logs.collect();
        eyre::eyre!("{error}\n{}", logs.join("\n"))
    })
}

async fn leave_and_judge(
    target: &mut fault::FaultTarget,
    source: LeavingSource,
    strikes: Option<fault::SystemFault>,
) -> Result<cell::CellFigures> {
    leave(&target.bench, source).await?;
    let left = time::Instant::now();
    if let Some(strikes) = strikes {
        strikes.strike(target).await?;
        if strikes.lasts() {
            task::sleep(generation::HEAL_AFTER).await;
            strikes.heal(target).await?;
        }
    }
    let healed = left.elapsed();
    // What only the platform says cannot be seen before its outage ends.
    let is_hidden =
        source != LeavingSource::Endpoint && strikes == Some(fault::SystemFault::TableDown);
    let visible = if is_hidden {
        source.lag().max(healed)
    } else {
        source.lag()
    };
    task::sleep((visible + LEAVING_BOUND).saturating_sub(left.elapsed())).await;
    let deadline = timeline::wall_micros();
    let mut answers = Vec::new();
    for _answer in 0..ANSWERS {
        let caller = caller::StreamCaller::prepare(&target.bench).await?;
        answers.push(caller.run());
    }
    future::try_join_all(answers).await?;
    let stats = target.bench.engines[0].stand_in.stats().await?;
    let attempts = stats["attempts"].as_array().cloned().unwrap_or_default();
    let late = attempts
        .iter()
        .filter_map(|attempt| attempt["arrived_micros"].as_u64())
        .filter(|&arrived| arrived > deadline)
        .count();
    eyre::ensure!(late == 0, "{late} new attempts at a leaving endpoint");
    Ok(cell::CellFigures::default())
}

/// Says that the first engine is leaving.
async fn leave(bench: &bench::TestBench, source: LeavingSource) -> Result<()> {
    if source == LeavingSource::Endpoint {
        let leaving = json!({"leaving": true});
        return bench.engines[0].stand_in.fault(leaving).await;
    }
    if source == LeavingSource::Declaration {
        return declare_leaving(bench).await;
    }
    let lag = u64::try_from(source.lag().as_millis())?;
    bench.platform.fault(json!({ "vm_lag_ms": lag })).await?;
    // The first list is visible at once, so that an unchanged one goes ahead.
    for is_leaving in [false, true] {
        let list = vm_list(bench, is_leaving);
        let method = http_types::Method::Put;
        process::send_json(method, bench.platform.admin, "/vms", Some(&list)).await?;
    }
    Ok(())
}

/// Declares that the first engine is leaving.
async fn declare_leaving(bench: &bench::TestBench) -> Result<()> {
    let file = bench.write_declarations("v1", 100)?;
    let yaml = fs::read_to_string(&file)?;
    let name = format!("name: {},", bench.engines[0].name);
    let leaving = yaml.replace(&name, &format!("{name} leaving: true,"));
    eyre::ensure!(leaving != yaml, "the declarations do not name the engine");
    fs::write(&file, leaving)?;
    let output = bench.apply_file(&file, &[]).await?;
    eyre::ensure!(output.status.success(), "apply failed");
    Ok(())
}

fn vm_list(bench: &bench::TestBench, is_leaving: bool) -> serde_json::Value {
    let entries = bench.engines.iter().enumerate().map(|(index, engine)| {
        json!({
            "name": engine.name,
            "address": engine.address().to_string(),
            "zone": "zone-a",
            "role": "endpoint",
            "leaving": is_leaving && index == 0,
        })
    });
    entries.collect()
}
