//! Cells of configuration: each fault before and after the effect of an `apply`.

use std::process as std_process;
use std::sync;
use std::sync::atomic;
use std::time;

use async_std::task;
use futures::future;

use crate::bench;
use crate::cell;
use crate::fault;
use crate::generation;
use crate::process;

/// Outcome of a step of a cell.
type Result<T> = eyre::Result<T>;

/// Whether a fault strikes before or after the write takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EffectStep {
    /// Before.
    Before,
    /// After.
    After,
}

/// Both steps.
pub const STEPS: [EffectStep; 2] = [EffectStep::Before, EffectStep::After];

impl EffectStep {
    /// Name in the table.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Before => "before effect",
            Self::After => "after effect",
        }
    }
}

/// Faults that strike an `apply`.
pub const FAULTS: [fault::SystemFault; 10] = [
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

/// An accepted configuration is in force everywhere within this time.
const FORCE_BOUND: time::Duration = time::Duration::from_secs(5);

const TICK: time::Duration = time::Duration::from_millis(20);

/// Number of the configuration that the bench starts with.
const FIRST_NUMBER: u64 = 1;

/// Runs one cell: one operator, or two that race.
pub async fn run(
    strikes: Option<fault::SystemFault>,
    step: EffectStep,
    operators: usize,
) -> Result<cell::CellFigures> {
    let mut plan = bench::BenchPlan {
        routers: 3,
        engines: 1,
        ..bench::BenchPlan::default()
    };
    if let Some(strikes) = strikes {
        strikes.extend(&mut plan);
    }
    let mut target = fault::FaultTarget {
        bench: bench::TestBench::start(plan).await?,
        endpoint: fault::EndpointChoice::Engine(0),
        router: 0,
        caller_drops: sync::Arc::default(),
    };
    let watch = NumberWatch::start(&target.bench);
    let ended = strike_and_judge(&mut target, strikes, step, operators).await;
    let reverted = watch.stop().await;
    let outcome = ended.and_then(|figures| reverted.map(|()| figures));
    outcome.map_err(|error| {
        let logs = (1..=plan.routers).map(|index| target.bench.read_log(&format!("r{index}")));
        let logs: Vec<String> = logs.collect();
        eyre::eyre!("{error}\n{}", logs.join("\n"))
    })
}

async fn strike_and_judge(
    target: &mut fault::FaultTarget,
    strikes: Option<fault::SystemFault>,
    step: EffectStep,
    operators: usize,
) -> Result<cell::CellFigures> {
    let mut struck = time::Instant::now();
    // A lost answer is prepared before the write whose answer it is.
    let is_early =
        step == EffectStep::Before || strikes == Some(fault::SystemFault::TableAnswerLost);
    if is_early && let Some(strikes) = strikes {
        strikes.strike(target).await?;
    }
    let applies = start_applies(&target.bench, operators)?;
    if !is_early && let Some(strikes) = strikes {
        wait_effect(&target.bench).await?;
        struck = time::Instant::now();
        strikes.strike(target).await?;
    }
    if let Some(strikes) = strikes
        && strikes.lasts()
    {
        task::sleep(generation::HEAL_AFTER.saturating_sub(struck.elapsed())).await;
        strikes.heal(target).await?;
    }
    let outputs = future::join_all(applies).await;
    judge(target, strikes, &outputs).await
}

/// Starts the operators; each applies a file of its own on top of the first configuration.
fn start_applies(
    bench: &bench::TestBench,
    operators: usize,
) -> Result<Vec<task::JoinHandle<std::io::Result<std_process::Output>>>> {
    let mut applies = Vec::new();
    for operator in 0..operators {
        let file = bench.write_declarations("v1", 101 + operator)?;
        let base = format!("--base={FIRST_NUMBER}");
        applies.push(bench.apply_file(&file, &[&base]));
    }
    Ok(applies)
}

/// Waits until the write is in the table, or there was time enough for it.
async fn wait_effect(bench: &bench::TestBench) -> Result<()> {
    let started = time::Instant::now();
    while table_number(bench).await? <= FIRST_NUMBER {
        eyre::ensure!(started.elapsed() < FORCE_BOUND, "apply had no effect");
        task::sleep(time::Duration::from_millis(2)).await;
    }
    Ok(())
}

/// Newest configuration number in the table, read beside the faults.
async fn table_number(bench: &bench::TestBench) -> Result<u64> {
    let rows = process::get_json(bench.platform.admin, "/rows").await?;
    let rows = rows.as_array().cloned().unwrap_or_default();
    let head = rows.iter().find(|row| row["key"] == "config/head");
    let value = head.and_then(|row| row["value"].as_str());
    let value: serde_json::Value = serde_json::from_str(value.unwrap_or("0"))?;
    let number = value.as_u64().or_else(|| value["number"].as_u64());
    number.ok_or_else(|| eyre::eyre!("the head row holds {value}"))
}

async fn judge(
    target: &mut fault::FaultTarget,
    strikes: Option<fault::SystemFault>,
    outputs: &[std::io::Result<std_process::Output>],
) -> Result<cell::CellFigures> {
    let ended = time::Instant::now();
    let seen: Vec<String> = outputs.iter().map(describe).collect();
    let outputs = outputs.iter().flatten();
    let accepted = outputs.filter(|output| output.status.success()).count() as u64;
    let number = table_number(&target.bench).await?;
    eyre::ensure!(accepted <= 1, "two operators won: {seen:?}");
    eyre::ensure!(
        number == FIRST_NUMBER + accepted || may_be_unknown(strikes),
        "version {number} after {accepted} accepted changes: {seen:?}"
    );
    eyre::ensure!(
        number <= FIRST_NUMBER + 1,
        "two changes took effect: {seen:?}"
    );
    if strikes.is_none() {
        eyre::ensure!(accepted == 1, "nobody won: {seen:?}");
    }
    while !in_force(&target.bench, number, strikes).await {
        eyre::ensure!(
            ended.elapsed() < FORCE_BOUND,
            "version {number} is not in force"
        );
        task::sleep(TICK).await;
    }
    let ending = match accepted {
        0 => cell::CellEnding::NotRun,
        _ => cell::CellEnding::Answered,
    };
    Ok(cell::CellFigures {
        ending,
        ..cell::CellFigures::default()
    })
}

/// Whether the operator may be told that the outcome is unknown, since the platform gave no answer.
fn may_be_unknown(strikes: Option<fault::SystemFault>) -> bool {
    matches!(
        strikes,
        Some(
            fault::SystemFault::TableDown
                | fault::SystemFault::TableSlow
                | fault::SystemFault::TablePartition(_)
        )
    )
}

fn describe(output: &std::io::Result<std_process::Output>) -> String {
    match output {
        Ok(output) => {
            let text = String::from_utf8_lossy(&output.stderr);
            format!("{}: {}", output.status, text.trim())
        }
        Err(error) => error.to_string(),
    }
}

/// Whether every router that lives has the configuration in force.
async fn in_force(
    bench: &bench::TestBench,
    number: u64,
    strikes: Option<fault::SystemFault>,
) -> bool {
    let is_gone = matches!(
        strikes,
        Some(fault::SystemFault::RouterKilled | fault::SystemFault::RouterStopped)
    );
    for router in bench.routers.iter().skip(usize::from(is_gone)) {
        let status = process::get_json(router.admin, "/admin/status").await;
        if status.ok().and_then(|status| status["config"].as_u64()) != Some(number) {
            return false;
        }
    }
    true
}

/// Watches that the number in force at each router in each of its lives never goes back.
struct NumberWatch {
    is_stopped: sync::Arc<atomic::AtomicBool>,
    task: task::JoinHandle<Result<()>>,
}

impl NumberWatch {
    fn start(bench: &bench::TestBench) -> Self {
        let admins: Vec<_> = bench.routers.iter().map(|router| router.admin).collect();
        let is_stopped = sync::Arc::new(atomic::AtomicBool::new(false));
        let stopped = sync::Arc::clone(&is_stopped);
        let task = task::spawn(async move {
            let watches = admins.into_iter().map(|admin| watch_one(admin, &stopped));
            future::try_join_all(watches).await.map(|_ended| ())
        });
        Self { is_stopped, task }
    }

    async fn stop(self) -> Result<()> {
        self.is_stopped.store(true, atomic::Ordering::SeqCst);
        self.task.await
    }
}

async fn watch_one(admin: std::net::SocketAddr, stopped: &atomic::AtomicBool) -> Result<()> {
    let mut highest = 0;
    while !stopped.load(atomic::Ordering::SeqCst) {
        task::sleep(TICK).await;
        let Ok(status) = process::get_json(admin, "/admin/status").await else {
            continue;
        };
        // A router that has started again serves nothing before it is ready.
        if status["state"] != "ready" {
            continue;
        }
        let number = status["config"].as_u64().unwrap_or_default();
        eyre::ensure!(
            number >= highest,
            "{admin} went back from {highest} to {number}"
        );
        highest = number;
    }
    Ok(())
}
