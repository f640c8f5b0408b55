//! Cells of generations: each fault at each step of one answer.

use std::time;

use async_std::future;
use async_std::task;
use serde_json::json;

use crate::bench;
use crate::caller;
use crate::cell;

/// Outcome of a step of a cell.
type Result<T> = eyre::Result<T>;

/// Step of a generation at which a fault strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerStep {
    /// Before the caller asks for addresses.
    Address,
    /// Before the request is sent.
    Admission,
    /// After an engine took it, before the first token.
    Dispatch,
    /// After the first token.
    FirstToken,
    /// In the middle.
    MidStream,
    /// Before the last token.
    LastToken,
    /// After the last token, while the end is on its way.
    FinalAnswer,
}

/// All steps in their order.
pub const STEPS: [AnswerStep; 7] = [
    AnswerStep::Address,
    AnswerStep::Admission,
    AnswerStep::Dispatch,
    AnswerStep::FirstToken,
    AnswerStep::MidStream,
    AnswerStep::LastToken,
    AnswerStep::FinalAnswer,
];

impl AnswerStep {
    /// Name in the table.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Address => "address",
            Self::Admission => "admission",
            Self::Dispatch => "dispatch",
            Self::FirstToken => "first-token",
            Self::MidStream => "mid-stream",
            Self::LastToken => "last-token",
            Self::FinalAnswer => "final-answer",
        }
    }

    const fn tokens(self) -> usize {
        match self {
            Self::Address | Self::Admission | Self::Dispatch => 0,
            Self::FirstToken => 1,
            Self::MidStream => caller::MAX_TOKENS / 2,
            Self::LastToken => caller::MAX_TOKENS - 1,
            Self::FinalAnswer => caller::MAX_TOKENS,
        }
    }
}

/// A fault that strikes a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFault {
    /// The engine that computes is killed.
    EngineKilled,
    /// It is paused, and woken later.
    EngineFrozen,
    /// It is killed and started again.
    EngineRestarted,
    /// Its open connections go silent, new ones work.
    EngineSilent,
    /// Its connections are reset.
    EngineCut,
    /// Nothing passes between it and the routers, in the given direction.
    EnginePartition(&'static str),
    /// The router that answers is killed.
    RouterKilled,
    /// It is paused, and woken later.
    RouterFrozen,
    /// It is killed and started again.
    RouterRestarted,
    /// It is stopped as planned.
    RouterStopped,
    /// The caller goes away and comes back.
    CallerGone,
    /// Connections of callers to the router that answers are reset.
    CallerCut,
    /// Nothing passes between caller and that router, in the given direction.
    CallerPartition(&'static str),
    /// The table service is down.
    TableDown,
    /// The table service is slow.
    TableSlow,
    /// Nothing passes between routers and platform, in the given direction.
    TablePartition(&'static str),
    /// The engine leaves, which the VM list does not show yet, and dies.
    VmListBehind,
}

/// All single faults.
pub const FAULTS: [AnswerFault; 23] = [
    AnswerFault::EngineKilled,
    AnswerFault::EngineFrozen,
    AnswerFault::EngineRestarted,
    AnswerFault::EngineSilent,
    AnswerFault::EngineCut,
    AnswerFault::EnginePartition("both"),
    AnswerFault::EnginePartition("forward"),
    AnswerFault::EnginePartition("backward"),
    AnswerFault::RouterKilled,
    AnswerFault::RouterFrozen,
    AnswerFault::RouterRestarted,
    AnswerFault::RouterStopped,
    AnswerFault::CallerGone,
    AnswerFault::CallerCut,
    AnswerFault::CallerPartition("both"),
    AnswerFault::CallerPartition("forward"),
    AnswerFault::CallerPartition("backward"),
    AnswerFault::TableDown,
    AnswerFault::TableSlow,
    AnswerFault::TablePartition("both"),
    AnswerFault::TablePartition("forward"),
    AnswerFault::TablePartition("backward"),
    AnswerFault::VmListBehind,
];

impl AnswerFault {
    /// Name in the table.
    pub fn name(self) -> String {
        match self {
            Self::EngineKilled => "engine killed".to_owned(),
            Self::EngineFrozen => "engine frozen and woken".to_owned(),
            Self::EngineRestarted => "engine restarted".to_owned(),
            Self::EngineSilent => "engine connection silent".to_owned(),
            Self::EngineCut => "router-engine cut".to_owned(),
            Self::EnginePartition(direction) => format!("router-engine silent {direction}"),
            Self::RouterKilled => "router killed".to_owned(),
            Self::RouterFrozen => "router frozen and woken".to_owned(),
            Self::RouterRestarted => "router restarted".to_owned(),
            Self::RouterStopped => "router stopped as planned".to_owned(),
            Self::CallerGone => "caller gone and back".to_owned(),
            Self::CallerCut => "caller-router cut".to_owned(),
            Self::CallerPartition(direction) => format!("caller-router silent {direction}"),
            Self::TableDown => "table service down".to_owned(),
            Self::TableSlow => "table service slow".to_owned(),
            Self::TablePartition(direction) => format!("router-platform silent {direction}"),
            Self::VmListBehind => "VM list behind".to_owned(),
        }
    }

    /// Adds to `plan` what the fault needs.
    pub fn extend(self, plan: &mut bench::BenchPlan) {
        match self {
            Self::EngineCut | Self::EnginePartition(_) => plan.relays.endpoints = true,
            Self::CallerCut | Self::CallerPartition(_) => plan.relays.callers = true,
            Self::TablePartition(_) => plan.relays.platform = true,
            _ => {}
        }
    }

    /// Brings the fault about.
    async fn strike(self, cell: &mut AnswerCell) -> Result<()> {
        match self {
            Self::EngineKilled => cell.engine().stand_in.process.kill(),
            Self::EngineFrozen => cell.engine().stand_in.process.signal("STOP")?,
            Self::EngineRestarted => cell.engine().stand_in.restart()?,
            Self::EngineSilent => {
                let engine = cell.engine();
                engine.stand_in.fault(json!({"silent": true})).await?;
            }
            Self::EngineCut => cell.engine().relay_fault(json!({"fault": "cut"})).await?,
            Self::EnginePartition(direction) => {
                cell.engine().relay_fault(silence(direction)).await?;
            }
            Self::RouterKilled => cell.router().process.kill(),
            Self::RouterFrozen => cell.router().process.signal("STOP")?,
            Self::RouterRestarted => cell.router().process.restart()?,
            Self::RouterStopped => cell.router().process.signal("TERM")?,
            Self::CallerGone => cell.progress.lock().drops = true,
            Self::CallerCut => cell.caller_fault(json!({"fault": "cut"})).await?,
            Self::CallerPartition(direction) => cell.caller_fault(silence(direction)).await?,
            Self::TableDown => cell.table_fault(json!({"down": true})).await?,
            Self::TableSlow => cell.table_fault(json!({"slow_ms": 1_500})).await?,
            Self::TablePartition(direction) => {
                let relay = cell.bench.platform_relay.as_ref();
                let relay = relay.ok_or_else(|| eyre::eyre!("the plan has no platform relay"))?;
                relay.fault(silence(direction)).await?;
            }
            Self::VmListBehind => {
                cell.table_fault(json!({"vm_lag_ms": 10_000})).await?;
                cell.engine().stand_in.process.kill();
            }
        }
        Ok(())
    }

    /// Ends what the fault does not end by itself.
    async fn heal(self, cell: &mut AnswerCell) -> Result<()> {
        match self {
            Self::EngineFrozen => cell.engine().stand_in.process.signal("CONT"),
            Self::RouterFrozen => cell.router().process.signal("CONT"),
            Self::EnginePartition(_) => {
                let restore = json!({"fault": "restore"});
                cell.engine().relay_fault(restore).await
            }
            Self::CallerPartition(_) => cell.caller_fault(json!({"fault": "restore"})).await,
            Self::TableDown => cell.table_fault(json!({"down": false})).await,
            Self::TableSlow => cell.table_fault(json!({"slow_ms": 0})).await,
            _ => Ok(()),
        }
    }
}

fn silence(direction: &str) -> serde_json::Value {
    json!({"fault": "silence", "reach": "all", "direction": direction})
}

/// Time after which frozen processes wake and partitions end.
const HEAL_AFTER: time::Duration = time::Duration::from_secs(3);

/// Time between the two faults of a pair.
const PAIR_PAUSE: time::Duration = time::Duration::from_millis(300);

/// A router without requests stops within this time after its kept answers have expired.
const STOP_LIMIT: time::Duration = time::Duration::from_secs(10);

const STEP_LIMIT: time::Duration = time::Duration::from_secs(8);
const STEP_TICK: time::Duration = time::Duration::from_millis(2);

/// The system of one cell, and where its answer runs.
struct AnswerCell {
    bench: bench::TestBench,
    progress: caller::SharedProgress,
    engine: usize,
    router: usize,
}

impl AnswerCell {
    fn engine(&mut self) -> &mut bench::EndpointUnit {
        &mut self.bench.engines[self.engine]
    }

    fn router(&mut self) -> &mut bench::RouterUnit {
        &mut self.bench.routers[self.router]
    }

    async fn caller_fault(&mut self, fault: serde_json::Value) -> Result<()> {
        let relay = self.router().relay.as_ref();
        let relay = relay.ok_or_else(|| eyre::eyre!("the plan has no caller relays"))?;
        relay.fault(fault).await
    }

    async fn table_fault(&self, fault: serde_json::Value) -> Result<()> {
        self.bench.platform.fault(fault).await
    }

    /// Finds the engine and the router at which the answer runs now.
    async fn locate(&mut self) {
        if let Some(engine) = busy_engine(&self.bench).await {
            self.engine = engine;
        }
        let router = self.progress.lock().router.clone();
        if let Some(router) = self.bench.router_at(&router) {
            self.router = router;
        }
    }
}

/// The engine that computes or waits to compute.
async fn busy_engine(bench: &bench::TestBench) -> Option<usize> {
    for (index, engine) in bench.engines.iter().enumerate() {
        let Ok(stats) = engine.stand_in.stats().await else {
            continue;
        };
        let attempts = stats["attempts"].as_array().cloned().unwrap_or_default();
        if attempts
            .iter()
            .any(|attempt| attempt["state"] == "running" || attempt["state"] == "waiting")
        {
            return Some(index);
        }
    }
    None
}

/// Runs one cell: `faults` strike one after the other from `step` on.
pub async fn run(faults: &[AnswerFault], step: AnswerStep) -> Result<cell::CellFigures> {
    let mut plan = bench::BenchPlan::default();
    if faults.len() > 1 {
        plan.routers += 1;
        plan.engines += 1;
    }
    for fault in faults {
        fault.extend(&mut plan);
    }
    let bench = bench::TestBench::start(plan).await?;
    let mut cell = AnswerCell {
        bench,
        progress: caller::SharedProgress::default(),
        engine: 0,
        router: 0,
    };
    let outcome = strike_and_judge(&mut cell, faults, step).await;
    outcome.map_err(|error| {
        let logs = (1..=plan.routers).map(|index| cell.bench.read_log(&format!("r{index}")));
        let logs: Vec<String> = logs.collect();
        eyre::eyre!("{error}\n{}", logs.join("\n"))
    })
}

async fn strike_and_judge(
    cell: &mut AnswerCell,
    faults: &[AnswerFault],
    step: AnswerStep,
) -> Result<cell::CellFigures> {
    let mut struck = time::Instant::now();
    if step == AnswerStep::Address {
        strike_all(cell, faults).await?;
    }
    let caller = caller::StreamCaller::prepare(&cell.bench).await?;
    cell.progress = caller.progress();
    if step == AnswerStep::Admission {
        cell.router = cell.bench.router_at(caller.first_router()).unwrap_or(0);
        struck = time::Instant::now();
        strike_all(cell, faults).await?;
    }
    let answer = task::spawn(caller.run());
    if !matches!(step, AnswerStep::Address | AnswerStep::Admission) {
        future::timeout(STEP_LIMIT, reach(cell, step)).await??;
        struck = time::Instant::now();
        strike_all(cell, faults).await?;
    }
    heal_later(cell, faults, struck).await?;
    answer.await?;
    judge(cell, faults, struck).await
}

async fn reach(cell: &mut AnswerCell, step: AnswerStep) -> Result<()> {
    if step == AnswerStep::Dispatch {
        while busy_engine(&cell.bench).await.is_none() {
            task::sleep(STEP_TICK).await;
        }
    }
    // The engine is found before the answer can be at its end.
    let early = step.tokens().min(caller::MAX_TOKENS / 2);
    wait_tokens(cell, early).await;
    cell.locate().await;
    wait_tokens(cell, step.tokens()).await;
    Ok(())
}

async fn wait_tokens(cell: &AnswerCell, count: usize) {
    while cell.progress.lock().tokens.len() < count {
        task::sleep(STEP_TICK).await;
    }
}

async fn strike_all(cell: &mut AnswerCell, faults: &[AnswerFault]) -> Result<()> {
    for (index, fault) in faults.iter().enumerate() {
        if index > 0 {
            task::sleep(PAIR_PAUSE).await;
        }
        if faults[..index].contains(fault) {
            // The same fault again strikes where the answer runs by now.
            wait_moved(cell).await;
        }
        fault.strike(cell).await?;
    }
    Ok(())
}

async fn wait_moved(cell: &mut AnswerCell) {
    let moved = async {
        let held = cell.progress.lock().arrivals.len();
        while cell.progress.lock().arrivals.len() <= held && !cell.progress.lock().is_done {
            task::sleep(STEP_TICK).await;
        }
        cell.locate().await;
    };
    // Without progress the fault strikes the same process again.
    let _ = future::timeout(caller::RESUME_BOUND, moved).await;
}

async fn heal_later(
    cell: &mut AnswerCell,
    faults: &[AnswerFault],
    struck: time::Instant,
) -> Result<()> {
    task::sleep(HEAL_AFTER.saturating_sub(struck.elapsed())).await;
    for fault in faults {
        fault.heal(cell).await?;
    }
    Ok(())
}

async fn judge(
    cell: &mut AnswerCell,
    faults: &[AnswerFault],
    struck: time::Instant,
) -> Result<cell::CellFigures> {
    let progress = cell.progress.lock().clone();
    let resume = caller::resume_latency(&progress, struck);
    if faults.len() == 1 {
        eyre::ensure!(
            resume <= caller::RESUME_BOUND,
            "output went on after {resume:?}: {:?} {:?}",
            progress.losses,
            progress.refusals
        );
        eyre::ensure!(progress.restarts == 0, "the answer began again");
    }
    if faults.contains(&AnswerFault::RouterStopped) {
        wait_ended(cell.router()).await?;
    }
    for engine in &cell.bench.engines {
        let Ok(stats) = engine.stand_in.stats().await else {
            continue;
        };
        let attempts = stats["attempts"].as_array().cloned().unwrap_or_default();
        let wrong = attempts
            .iter()
            .find(|attempt| attempt["prefix_is_right"] != true);
        eyre::ensure!(wrong.is_none(), "{} got a mixed prefix", engine.name);
    }
    Ok(cell::CellFigures {
        resume: Some(resume),
    })
}

/// Waits until a router that was stopped as planned has ended by itself.
async fn wait_ended(router: &mut bench::RouterUnit) -> Result<()> {
    let started = time::Instant::now();
    while !router.process.has_ended() {
        eyre::ensure!(started.elapsed() < STOP_LIMIT, "the router does not stop");
        task::sleep(time::Duration::from_millis(50)).await;
    }
    Ok(())
}
