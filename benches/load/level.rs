//! One offered load for a fixed time, with or without the death of a third of the engines.

use std::net;
use std::time;

use async_std::task;
use futures::future;

use crate::numbers;
use crate::outcome;
use crate::process;
use crate::request;
use crate::system;

/// Outcome of measuring.
pub type Result<T> = eyre::Result<T>;

/// Part of the capacity that the small workspaces ask for at every level.
const SMALL_SHARE: f64 = 0.4;

/// Time for which requests are sent.
const SEND_TIME: time::Duration = time::Duration::from_secs(12);

/// Second at which engines die.
const DEATH_SECOND: usize = 5;

/// First second at which the load has settled.
const SETTLED_SECOND: usize = 2;

/// Part of the goodput before the deaths that counts as normal.
const NORMAL_SHARE: f64 = 0.9;

/// Time to the first token for 95 in 100.
const WAIT_BOUND_MS: f64 = 390.0;

/// Output goes on within this time after a loss.
const RESUME_BOUND_MS: f64 = 4_000.0;

/// What to offer.
#[derive(Clone, Copy, Debug)]
pub struct LevelPlan {
    percent: usize,
    large_per_second: f64,
    small_per_second: f64,
    engines_die: bool,
}

impl LevelPlan {
    /// Offers `percent` of `capacity`, in requests a second.
    pub fn new(capacity: f64, percent: usize, engines_die: bool) -> Self {
        let total = capacity * numbers::float(percent) / 100.0;
        let small = capacity * SMALL_SHARE;
        Self {
            percent,
            large_per_second: total - small,
            small_per_second: small,
            engines_die,
        }
    }
}

/// What one level measured.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
pub struct LevelFigures {
    percent: usize,
    engines_died: usize,
    goodput_per_second: f64,
    large: outcome::KindFigures,
    small: outcome::KindFigures,
    longest_gap_ms: f64,
    /// Seconds after the deaths until the goodput was normal again; absent when none died.
    back_to_normal_s: Option<usize>,
    #[serde(skip)]
    errors: Vec<String>,
}

impl LevelFigures {
    /// Lost answers and bounds that are missed.
    pub fn failures(&self) -> Vec<String> {
        let name = format!("{} %, {} engines died", self.percent, self.engines_died);
        let mut failures: Vec<String> = self
            .errors
            .iter()
            .map(|error| format!("{name}: {error}"))
            .collect();
        let wait = self.small.wait_p95_ms;
        if self.engines_died == 0 && wait > WAIT_BOUND_MS {
            failures.push(format!("{name}: small workspaces wait {wait:.0} ms"));
        }
        if self.longest_gap_ms > RESUME_BOUND_MS {
            failures.push(format!(
                "{name}: output stopped for {:.0} ms",
                self.longest_gap_ms
            ));
        }
        failures
    }
}

/// Offers the planned load and waits for all answers.
pub async fn measure(system: &mut system::BenchSystem, plan: LevelPlan) -> Result<LevelFigures> {
    let routers = routers(system).await?;
    let started = time::Instant::now();
    let large = send_all(&routers, plan.large_per_second, started, large_name);
    let small = send_all(&routers, plan.small_per_second, started, random_small_name);
    let sending = future::join(large, small);
    let dying = kill_third(system, plan.engines_die);
    let ((large, small), died) = future::join(sending, dying).await;
    let outcomes = [large, small].concat();
    for index in 0..died {
        system.engines[index].restart()?;
    }
    if died > 0 {
        system.wait_ready().await?;
    }
    Ok(summarize(plan, &outcomes, started, died))
}

fn summarize(
    plan: LevelPlan,
    outcomes: &[outcome::Outcome],
    started: time::Instant,
    died: usize,
) -> LevelFigures {
    let seconds = usize::try_from(SEND_TIME.as_secs()).unwrap_or(usize::MAX);
    let goodput = outcome::goodput(outcomes, started, seconds);
    let errors = outcomes.iter().filter_map(|outcome| match &outcome.end {
        outcome::OutcomeEnd::Failed(cause) => Some(cause.clone()),
        _ => None,
    });
    let longest = outcomes.iter().map(outcome::Outcome::longest_gap).max();
    LevelFigures {
        percent: plan.percent,
        engines_died: died,
        goodput_per_second: mean(&goodput[SETTLED_SECOND..]),
        large: outcome::KindFigures::new(outcomes, true),
        small: outcome::KindFigures::new(outcomes, false),
        longest_gap_ms: longest.unwrap_or_default().as_secs_f64() * 1_000.0,
        back_to_normal_s: (died > 0).then(|| back_to_normal(&goodput)).flatten(),
        errors: errors.collect(),
    }
}

/// Seconds after the deaths until a whole second had normal goodput again.
fn back_to_normal(goodput: &[f64]) -> Option<usize> {
    let normal = mean(&goodput[SETTLED_SECOND..DEATH_SECOND]) * NORMAL_SHARE;
    let after = goodput[DEATH_SECOND..].iter();
    let lowest = after.clone().position(|tokens| *tokens < normal);
    let Some(lowest) = lowest else { return Some(0) };
    let back = after.skip(lowest).position(|tokens| *tokens >= normal);
    back.map(|back| lowest + back)
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / numbers::float(values.len().max(1))
}

type Router = (net::SocketAddr, String);

async fn routers(system: &system::BenchSystem) -> Result<Vec<Router>> {
    let mut routers = Vec::new();
    for unit in &system.base.routers {
        let status = process::get_json(unit.admin, "/admin/status").await?;
        let home = status["home"].as_str().unwrap_or_default().to_owned();
        routers.push((unit.listen, home));
    }
    Ok(routers)
}

fn large_name() -> String {
    request::LARGE.to_owned()
}

fn random_small_name() -> String {
    request::small_name(fastrand::usize(..request::SMALL_COUNT))
}

/// Sends requests with random pauses and waits for the answers.
async fn send_all(
    routers: &[Router],
    per_second: f64,
    started: time::Instant,
    workspace: fn() -> String,
) -> Vec<outcome::Outcome> {
    let mut running = Vec::new();
    let mut due = time::Duration::ZERO;
    while due < SEND_TIME {
        task::sleep((started + due).saturating_duration_since(time::Instant::now())).await;
        let (router, home) = routers[fastrand::usize(..routers.len())].clone();
        running.push(task::spawn(request::run(router, home, workspace())));
        // Exponential pauses, as of many callers that know nothing of each other.
        due += time::Duration::from_secs_f64(-(1.0 - fastrand::f64()).ln() / per_second);
    }
    future::join_all(running).await
}

async fn kill_third(system: &mut system::BenchSystem, engines_die: bool) -> usize {
    if !engines_die {
        return 0;
    }
    task::sleep(time::Duration::from_secs(DEATH_SECOND as u64)).await;
    let count = system.engines.len() / 3;
    for engine in &mut system.engines[..count] {
        engine.process.kill();
    }
    count
}
