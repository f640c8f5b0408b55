//! One run of a driver against real engines, with a fault in the middle of the answer.

use std::sync;
use std::sync::atomic;
use std::time;

use async_std::future;
use async_std::task;
use kumquatpulley::process::telemetry::timeline;
use kumquatpulley::request::cursor;
use kumquatpulley::request::driver;
use kumquatpulley::request::generation;
use kumquatpulley::request::reader;
use kumquatpulley::version::declaration;

use crate::bench;
use crate::cell;
use crate::engine_lane;
use crate::engine_view;
use crate::figures;
use crate::numbers;
use crate::oracle;

/// Outcome of a run.
pub type Result<T> = eyre::Result<T>;

/// Tokens of each answer.
pub const MAX_TOKENS: u32 = 60;

/// Tokens after which the fault comes.
pub const FAULT_POSITIONS: std::ops::RangeInclusive<usize> = 10..=30;

/// Time for a whole answer, the longest silence included.
const ANSWER_LIMIT: time::Duration = time::Duration::from_secs(30);

/// Time in which cancels reach engines that run again.
const SETTLE_TIME: time::Duration = time::Duration::from_millis(150);

/// A prompt that no cache holds.
pub fn prompt() -> String {
    format!("{} {}", "venue notes ".repeat(32), fastrand::u64(..))
}

/// What a run needs besides the engines.
struct DriverRun {
    view: sync::Arc<engine_view::LaneView>,
    counts: sync::Arc<engine_view::RunCounts>,
    record: sync::Arc<generation::GenerationRecord>,
}

/// The answer as its reader sees it.
#[derive(Debug, Default)]
struct AnswerWatch {
    tokens: Vec<String>,
    /// Most tokens held at any time.
    held: usize,
    /// When the answer last went on past the tokens held.
    last_new: Option<time::Instant>,
    fault_at: Option<time::Instant>,
    resume: time::Duration,
    restarts: u64,
}

impl AnswerWatch {
    fn take(&mut self, text: String) {
        self.tokens.push(text);
        if self.tokens.len() <= self.held {
            return;
        }
        self.held = self.tokens.len();
        let now = time::Instant::now();
        if let (Some(fault_at), Some(last)) = (self.fault_at, self.last_new) {
            self.resume = self.resume.max(now - last.max(fault_at));
        }
        self.last_new = Some(now);
    }

    fn restart(&mut self) {
        self.restarts += 1;
        self.tokens.clear();
    }
}

/// Generates once without a fault from each engine, so that their gaps are known.
pub async fn warm_up(lane: &mut engine_lane::EngineLane) -> Result<()> {
    for _engine in 0..lane.engines.len() {
        for _answer in 0..2 {
            let run = start(lane, cell::RunPolicy::Frugal);
            future::timeout(ANSWER_LIMIT, read(&run, None)).await??;
        }
        lane.engines.rotate_left(1);
    }
    Ok(())
}

/// Runs one answer with `fault` under `policy`.
pub async fn run(
    lane: &mut engine_lane::EngineLane,
    fault: cell::RunFault,
    policy: cell::RunPolicy,
) -> Result<figures::RunFigures> {
    lane.reset()?;
    let bytes = lane.bytes().await?;
    let run = start(lane, policy);
    let position = fastrand::usize(FAULT_POSITIONS);
    let plan = FaultPlan {
        fault,
        position,
        before: Vec::new(),
    };
    let mut trial = (lane, plan);
    let watch = future::timeout(ANSWER_LIMIT, read(&run, Some(&mut trial))).await??;
    let (lane, plan) = trial;
    finish(lane, &run, &plan, &watch, bytes).await
}

/// A fault to come, and the engines' work when it came.
struct FaultPlan {
    fault: cell::RunFault,
    position: usize,
    before: Vec<engine_lane::EngineWork>,
}

fn start(lane: &engine_lane::EngineLane, policy: cell::RunPolicy) -> DriverRun {
    let places = lane.engines.iter();
    let view = sync::Arc::new(engine_view::LaneView {
        places: places
            .map(|engine| sync::Arc::clone(&engine.place))
            .collect(),
        fixed_silence: policy.fixed_silence(),
        probes: atomic::AtomicU64::new(0),
    });
    let counts = sync::Arc::new(engine_view::RunCounts::default());
    let context = driver::DriverContext {
        engines: sync::Arc::clone(&view) as _,
        ring: sync::Arc::new(timeline::EventRing::new("bench")),
        counters: sync::Arc::clone(&counts) as _,
    };
    let spec = generation::GenerationSpec {
        key: "bench".to_owned(),
        workspace: "planners".to_owned(),
        service: "quotes".to_owned(),
        model: bench::MODEL.to_owned(),
        adapter: None,
        prompt: prompt().into(),
        max_tokens: MAX_TOKENS,
        recovery: declaration::RecoveryKind::Fast,
    };
    let id = cursor::GenerationId(fastrand::u64(..));
    let (record, receiver) =
        generation::GenerationRecord::new(spec, id, "v1".to_owned(), Vec::new());
    let driver = driver::GenerationDriver::new(
        context,
        sync::Arc::clone(&record),
        policy.recovery(),
        receiver,
    );
    task::spawn(driver.run(driver::GenerationStart::Fresh));
    DriverRun {
        view,
        counts,
        record,
    }
}

/// Reads the answer to its end and brings about the fault on the way.
async fn read(
    run: &DriverRun,
    mut trial: Option<&mut (&mut engine_lane::EngineLane, FaultPlan)>,
) -> Result<AnswerWatch> {
    let mut reader = reader::GenerationReader::new(&run.record, None);
    let mut watch = AnswerWatch::default();
    loop {
        match reader.next().await {
            reader::ReaderItem::Token { text, .. } => watch.take(text),
            reader::ReaderItem::Restart { .. } => watch.restart(),
            reader::ReaderItem::Ended { phase, count } => {
                let is_finished = matches!(phase, generation::GenerationPhase::Finished { .. });
                eyre::ensure!(is_finished, "ended as {phase:?} after {count} tokens");
                eyre::ensure!(count == MAX_TOKENS, "only {count} tokens");
                oracle::TokenOracle::check(&run.record.spec.prompt, &watch.tokens)?;
                return Ok(watch);
            }
        }
        if let Some((lane, plan)) = trial.as_deref_mut()
            && watch.fault_at.is_none()
            && watch.tokens.len() >= plan.position
        {
            plan.before = lane.work().await?;
            watch.fault_at = Some(bring_about(lane, plan.fault).await?);
        }
    }
}

/// Brings about a fault of the first engine, and says when.
async fn bring_about(
    lane: &mut engine_lane::EngineLane,
    fault: cell::RunFault,
) -> Result<time::Instant> {
    let engine = &mut lane.engines[0];
    let started = time::Instant::now();
    match fault {
        cell::RunFault::EngineKilled => engine.engine.process.kill(),
        cell::RunFault::EngineFrozen => engine.engine.process.signal("STOP")?,
        cell::RunFault::ConnectionSilent => {
            let silence = serde_json::json!({ "fault": "silence" });
            engine.relay.fault(silence).await?;
        }
        cell::RunFault::RouterKilled | cell::RunFault::BothKilled => {
            eyre::bail!("a lane of engines has no router");
        }
    }
    Ok(started)
}

/// Lets the engines settle and adds up their work.
async fn finish(
    lane: &engine_lane::EngineLane,
    run: &DriverRun,
    plan: &FaultPlan,
    watch: &AnswerWatch,
    bytes_before: u64,
) -> Result<figures::RunFigures> {
    if plan.fault == cell::RunFault::EngineFrozen {
        lane.engines[0].engine.process.signal("CONT")?;
    }
    task::sleep(SETTLE_TIME).await;
    let bytes = lane.bytes().await? - bytes_before;
    let mut tokens = 0;
    let mut prefill = 0;
    for (index, engine) in lane.engines.iter().enumerate() {
        let before = plan.before[index];
        let is_dead = index == 0 && plan.fault == cell::RunFault::EngineKilled;
        let after = if is_dead {
            before
        } else {
            engine_lane::engine_work(&engine.engine).await?
        };
        tokens += after.tokens;
        prefill += after.prefill - before.prefill;
    }
    Ok(figures::RunFigures {
        resume: watch.resume,
        extra_tokens: tokens.saturating_sub(u64::from(MAX_TOKENS)),
        extra_prefill: prefill,
        restarts: watch.restarts,
        driver: Some(figures::DriverFigures {
            probes: run.view.probes.load(atomic::Ordering::Relaxed),
            attempts: run.counts.get("generation.attempt"),
            cancels: run.counts.get("generation.cancel"),
            bytes_per_token: numbers::float(bytes) / f64::from(MAX_TOKENS),
        }),
    })
}
