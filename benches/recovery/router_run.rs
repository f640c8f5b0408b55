//! One run of a caller against real routers, with a router's death in the middle of the answer.

use std::fs;
use std::sync;
use std::time;

use async_std::future;
use async_std::task;
use kumquatpulley::connection::caller_client;

use crate::bench;
use crate::cell;
use crate::engine_lane;
use crate::engine_run;
use crate::figures;
use crate::oracle;
use crate::process;

/// Outcome of a run.
pub type Result<T> = eyre::Result<T>;

const ROUTERS: usize = 3;
const ENGINES: usize = 3;
const ANSWER_LIMIT: time::Duration = time::Duration::from_secs(30);
const WATCH_TICK: time::Duration = time::Duration::from_millis(1);
const APPLY_LIMIT: time::Duration = time::Duration::from_secs(10);
const APPLY_TICK: time::Duration = time::Duration::from_millis(50);

/// Time in which a started router, or an engine, is known to all.
const SETTLE_TIME: time::Duration = time::Duration::from_millis(1_500);

/// What the caller has seen so far.
#[derive(Debug, Default)]
struct CallerWatch {
    router: String,
    tokens: usize,
    held: usize,
    last_new: Option<time::Instant>,
    fault_at: Option<time::Instant>,
    resume: time::Duration,
}

impl CallerWatch {
    fn take(&mut self, event: caller_client::CallerEvent) {
        match event.kind {
            caller_client::CallerEventKind::Connected { address, .. } => self.router = address,
            caller_client::CallerEventKind::Token { index, .. } => self.take_token(index, event.at),
            caller_client::CallerEventKind::Restarted { .. } => self.tokens = 0,
            caller_client::CallerEventKind::Lost { .. } => {}
        }
    }

    fn take_token(&mut self, index: usize, at: time::Instant) {
        self.tokens = index + 1;
        if self.tokens <= self.held {
            return;
        }
        self.held = self.tokens;
        if let (Some(fault_at), Some(last)) = (self.fault_at, self.last_new) {
            let from = last.max(fault_at);
            self.resume = self.resume.max(at.saturating_duration_since(from));
        }
        self.last_new = Some(at);
    }
}

/// Starts a system whose service declares `policy`.
pub async fn start(policy: cell::RunPolicy) -> Result<bench::TestBench> {
    let plan = bench::BenchPlan {
        routers: ROUTERS,
        engines: ENGINES,
        ..bench::BenchPlan::default()
    };
    let system = bench::TestBench::start(plan).await?;
    let declared = system.write_declarations("v1", bench::FIRST_LIMIT)?;
    let yaml = fs::read_to_string(&declared)?.replace(
        "  - name: quotes\n",
        &format!("  - name: quotes\n    recovery: {}\n", policy.name()),
    );
    let file = declared.with_file_name("policy.yaml");
    fs::write(&file, yaml)?;
    let output = system.apply_file(&file, &[]).await?;
    let errors = String::from_utf8_lossy(&output.stderr);
    eyre::ensure!(output.status.success(), "apply failed: {errors}");
    let started = time::Instant::now();
    for router in &system.routers {
        while process::get_json(router.admin, "/admin/status").await?["config"] != 2 {
            eyre::ensure!(
                started.elapsed() < APPLY_LIMIT,
                "the policy is not in force"
            );
            task::sleep(APPLY_TICK).await;
        }
    }
    task::sleep(SETTLE_TIME).await;
    Ok(system)
}

/// Runs one answer with `fault`, and starts again what it took.
pub async fn run(
    system: &mut bench::TestBench,
    fault: cell::RunFault,
) -> Result<figures::RunFigures> {
    let start = work(system).await?;
    let prompt = engine_run::prompt();
    let watch = sync::Arc::new(parking_lot::Mutex::new(CallerWatch::default()));
    let answer = task::spawn(generate(system, prompt.clone(), sync::Arc::clone(&watch)));
    wait_tokens(&watch, fastrand::usize(engine_run::FAULT_POSITIONS)).await?;
    let before = work(system).await?;
    let engine = serving_engine(system).await?;
    let router = system.router_at(&watch.lock().router);
    let router = router.ok_or_else(|| eyre::eyre!("the caller is at no router"))?;
    watch.lock().fault_at = Some(time::Instant::now());
    let is_engine_dead = fault == cell::RunFault::BothKilled;
    if is_engine_dead {
        system.engines[engine].stand_in.process.kill();
    }
    system.routers[router].process.kill();
    let answer = future::timeout(ANSWER_LIMIT, answer).await??;
    oracle::TokenOracle::check(&prompt, &answer.tokens)?;
    let max_tokens = engine_run::MAX_TOKENS;
    eyre::ensure!(answer.tokens.len() == max_tokens as usize, "cut short");
    let (mut tokens, mut prefill) = (0, 0);
    for (index, unit) in system.engines.iter().enumerate() {
        let is_dead = is_engine_dead && index == engine;
        let after = if is_dead {
            before[index]
        } else {
            engine_lane::engine_work(&unit.stand_in).await?
        };
        tokens += after.tokens - start[index].tokens;
        prefill += after.prefill - before[index].prefill;
    }
    let resume = watch.lock().resume;
    system.routers[router].process.restart()?;
    if is_engine_dead {
        system.engines[engine].stand_in.restart()?;
    }
    task::sleep(SETTLE_TIME).await;
    if let Err(error) = system.wait_ready().await {
        let log = system.read_log(&format!("r{}", router + 1));
        eyre::bail!("{error} after the answer was whole; its log: {log}");
    }
    Ok(figures::RunFigures {
        resume,
        extra_tokens: tokens.saturating_sub(u64::from(max_tokens)),
        extra_prefill: prefill,
        restarts: u64::from(answer.restarts),
        driver: None,
    })
}

fn generate(
    system: &bench::TestBench,
    prompt: String,
    watch: sync::Arc<parking_lot::Mutex<CallerWatch>>,
) -> impl Future<Output = Result<caller_client::CallerAnswer>> + Send + use<> {
    let routers = system.routers.iter();
    let client = caller_client::CallerClient::new(caller_client::CallerSettings {
        routers: routers.map(|router| router.listen.to_string()).collect(),
        zone: None,
        bearer: bench::BEARER.to_owned(),
        deadline: caller_client::DEFAULT_DEADLINE,
        idle_timeout: caller_client::DEFAULT_IDLE_TIMEOUT,
    });
    let request = caller_client::GenerationRequest {
        model: bench::MODEL.to_owned(),
        prompt,
        max_tokens: engine_run::MAX_TOKENS,
    };
    async move {
        let mut observe = |event| watch.lock().take(event);
        let answer = Box::pin(client.generate(&request, &mut observe)).await?;
        Ok(answer)
    }
}

async fn wait_tokens(watch: &parking_lot::Mutex<CallerWatch>, count: usize) -> Result<()> {
    let started = time::Instant::now();
    while watch.lock().tokens < count {
        eyre::ensure!(started.elapsed() < ANSWER_LIMIT, "no tokens came");
        task::sleep(WATCH_TICK).await;
    }
    Ok(())
}

async fn work(system: &bench::TestBench) -> Result<Vec<engine_lane::EngineWork>> {
    let mut all = Vec::new();
    for unit in &system.engines {
        all.push(engine_lane::engine_work(&unit.stand_in).await?);
    }
    Ok(all)
}

/// The engine that computes the only answer in progress.
async fn serving_engine(system: &bench::TestBench) -> Result<usize> {
    for (index, unit) in system.engines.iter().enumerate() {
        let stats = unit.stand_in.stats().await?;
        let attempts = stats["attempts"].as_array().cloned().unwrap_or_default();
        if attempts.iter().any(|attempt| attempt["state"] == "running") {
            return Ok(index);
        }
    }
    Err(eyre::eyre!("no engine computes the answer"))
}
