//! Cells of generations: each fault at each step of one answer.

use std::sync;
use std::time;

use crate::bench;
use crate::caller;
use crate::cell;
use crate::fault;
use async_std::future;
use async_std::task;

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

/// Time after which frozen processes wake and partitions end.
pub const HEAL_AFTER: time::Duration = time::Duration::from_secs(3);

/// Time between the two faults of a pair.
const PAIR_PAUSE: time::Duration = time::Duration::from_millis(300);

/// A router without requests stops within this time after its kept answers have expired.
const STOP_LIMIT: time::Duration = time::Duration::from_secs(10);

const COUNTS_LIMIT: time::Duration = time::Duration::from_millis(300);

const STEP_LIMIT: time::Duration = time::Duration::from_secs(8);
const STEP_TICK: time::Duration = time::Duration::from_millis(2);

/// The system of one cell, and what its caller sees.
struct AnswerCell {
    target: fault::FaultTarget,
    progress: caller::SharedProgress,
    /// Endpoint and router that each fault struck.
    struck: Vec<(fault::EndpointChoice, usize)>,
}

impl AnswerCell {
    /// Turns to what the fault with this index struck.
    fn turn_to(&mut self, index: usize) {
        if let Some(&(endpoint, router)) = self.struck.get(index) {
            self.target.endpoint = endpoint;
            self.target.router = router;
        }
    }

    /// Finds the engine and the router at which the answer runs now.
    async fn locate(&mut self) {
        if let Some(engine) = busy_engine(&self.target.bench).await {
            self.target.endpoint = fault::EndpointChoice::Engine(engine);
        }
        let router = self.progress.lock().router.clone();
        if let Some(router) = self.target.bench.router_at(&router) {
            self.target.router = router;
        }
    }
}

/// The engine that computes or waits to compute.
async fn busy_engine(bench: &bench::TestBench) -> Option<usize> {
    for (index, engine) in bench.engines.iter().enumerate() {
        // A paused engine gives no counts.
        let stats = future::timeout(COUNTS_LIMIT, engine.stand_in.stats()).await;
        let Ok(Ok(stats)) = stats else {
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
pub async fn run(faults: &[fault::SystemFault], step: AnswerStep) -> Result<cell::CellFigures> {
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
        target: fault::FaultTarget {
            bench,
            endpoint: fault::EndpointChoice::Engine(0),
            router: 0,
            caller_drops: sync::Arc::default(),
        },
        progress: caller::SharedProgress::default(),
        struck: Vec::new(),
    };
    let outcome = strike_and_judge(&mut cell, faults, step).await;
    outcome.map_err(|error| {
        let logs = (1..=plan.routers).map(|index| cell.target.bench.read_log(&format!("r{index}")));
        let logs: Vec<String> = logs.collect();
        eyre::eyre!("{error}\n{}", logs.join("\n"))
    })
}

async fn strike_and_judge(
    cell: &mut AnswerCell,
    faults: &[fault::SystemFault],
    step: AnswerStep,
) -> Result<cell::CellFigures> {
    let mut struck = time::Instant::now();
    if step == AnswerStep::Address {
        strike_all(cell, faults).await?;
    }
    let caller = caller::StreamCaller::prepare(&cell.target.bench).await?;
    cell.progress = caller.progress();
    cell.target.caller_drops = caller.drops();
    if step == AnswerStep::Admission {
        cell.target.router = cell
            .target
            .bench
            .router_at(caller.first_router())
            .unwrap_or(0);
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
        while busy_engine(&cell.target.bench).await.is_none() {
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

async fn strike_all(cell: &mut AnswerCell, faults: &[fault::SystemFault]) -> Result<()> {
    for (index, fault) in faults.iter().enumerate() {
        if index > 0 {
            task::sleep(PAIR_PAUSE).await;
        }
        if faults[..index].contains(fault) {
            // The same fault again strikes where the answer runs by now.
            wait_moved(cell).await;
        }
        let place = (cell.target.endpoint, cell.target.router);
        cell.struck.push(place);
        fault.strike(&mut cell.target).await?;
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
    faults: &[fault::SystemFault],
    struck: time::Instant,
) -> Result<()> {
    if !faults.iter().any(|fault| fault.lasts()) {
        return Ok(());
    }
    task::sleep(HEAL_AFTER.saturating_sub(struck.elapsed())).await;
    for (index, fault) in faults.iter().enumerate() {
        cell.turn_to(index);
        fault.heal(&mut cell.target).await?;
    }
    Ok(())
}

async fn judge(
    cell: &mut AnswerCell,
    faults: &[fault::SystemFault],
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
    for (index, &fault) in faults.iter().enumerate() {
        if fault == fault::SystemFault::RouterStopped {
            cell.turn_to(index);
            wait_ended(cell.target.router()).await?;
        }
    }
    for engine in &cell.target.bench.engines {
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
        ..cell::CellFigures::default()
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
