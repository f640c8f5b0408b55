//! Cells of refusals: a request that cannot be served is refused at once, truthfully.

use std::time;

use async_std::task;
use kumquatpulley::connection::caller_wire;
use kumquatpulley::connection::http;
use kumquatpulley::request::verdict;

use crate::bench;
use crate::caller;
use crate::cell;

/// Outcome of a step of a cell.
type Result<T> = eyre::Result<T>;

/// Why a generation cannot be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// No engine lives, and the routers know.
    EnginesKnownDead,
    /// No engine lives, and the routers do not know yet.
    EnginesJustDied,
    /// The workspace uses its whole limit for longer than the caller waits.
    WorkspaceFull,
}

/// All causes.
pub const CAUSES: [RefusalCause; 3] = [
    RefusalCause::EnginesKnownDead,
    RefusalCause::EnginesJustDied,
    RefusalCause::WorkspaceFull,
];

impl RefusalCause {
    /// Name in the table.
    pub const fn name(self) -> &'static str {
        match self {
            Self::EnginesKnownDead => "all engines known dead",
            Self::EnginesJustDied => "all engines just died",
            Self::WorkspaceFull => "workspace full",
        }
    }
}

/// A refusal is there within this time.
const REFUSAL_BOUND: time::Duration = time::Duration::from_secs(4);

/// Time in which all routers know of dead engines.
const KNOWN_AFTER: time::Duration = time::Duration::from_secs(4);

/// Time that the caller gives the router.
const DEADLINE_MS: &str = "1000";

const MAX_BODY_BYTES: usize = 64 * 1024;

/// Runs one cell.
pub async fn run(cause: RefusalCause) -> Result<cell::CellFigures> {
    let plan = bench::BenchPlan {
        routers: 1,
        ..bench::BenchPlan::default()
    };
    let mut bench = bench::TestBench::start(plan).await?;
    if cause == RefusalCause::WorkspaceFull {
        return refuse_when_full(&bench).await;
    }
    for engine in &mut bench.engines {
        engine.stand_in.process.kill();
    }
    if cause == RefusalCause::EnginesKnownDead {
        task::sleep(KNOWN_AFTER).await;
    }
    let refused = expect_refusal(&bench).await?;
    for engine in &mut bench.engines {
        engine.stand_in.restart()?;
    }
    caller::StreamCaller::prepare(&bench).await?.run().await?;
    Ok(refused)
}

/// Holds the only place that the workspace has while another request asks for it.
async fn refuse_when_full(bench: &bench::TestBench) -> Result<cell::CellFigures> {
    let file = bench.write_declarations("v1", 1)?;
    let output = bench
        .apply_file(&file, &["--wait", &bench.admin_argument()])
        .await?;
    eyre::ensure!(output.status.success(), "apply failed");
    let holder = caller::StreamCaller::prepare(bench).await?;
    let progress = holder.progress();
    let answer = task::spawn(holder.run());
    while progress.lock().tokens.is_empty() {
        task::sleep(time::Duration::from_millis(5)).await;
    }
    let refused = expect_refusal(bench).await?;
    answer.await?;
    caller::StreamCaller::prepare(bench).await?.run().await?;
    Ok(refused)
}

async fn expect_refusal(bench: &bench::TestBench) -> Result<cell::CellFigures> {
    let router = bench.routers[0].listen.to_string();
    let body = serde_json::json!({
        "model": bench::MODEL,
        "prompt": "refused",
        // Longer than the deadline, so that waiting for its end cannot help.
        "max_tokens": 600,
        "stream": true,
    });
    let mut request = http::request(http_types::Method::Post, &router, "/v1/completions");
    request.insert_header("authorization", format!("Bearer {}", bench::BEARER));
    request.insert_header("x-kumquatpulley-deadline-ms", DEADLINE_MS);
    request.set_body(body.to_string());
    let limits = http::ExchangeLimits {
        head: REFUSAL_BOUND,
        ..http::ExchangeLimits::default()
    };
    let mut response = Box::pin(http::send(&router, request, limits)).await?;
    let status = u16::from(response.status());
    let is_dated = response.header("retry-after").is_some();
    let mut body = response.take_body();
    let bytes = http::read_body(&mut body, REFUSAL_BOUND, MAX_BODY_BYTES).await?;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    eyre::ensure!(matches!(status, 429 | 503), "answered {status}: {text}");
    eyre::ensure!(is_dated, "{status} without Retry-After: {text}");
    let refusal: caller_wire::RefusalBody = serde_json::from_slice(&bytes)?;
    eyre::ensure!(
        refusal.error.verdict == verdict::RunVerdict::NotRun,
        "{status}: {text}"
    );
    let ran = count_attempts(bench).await;
    eyre::ensure!(ran == 0, "refused as not run, but an engine got it");
    Ok(cell::CellFigures {
        ending: cell::CellEnding::NotRun,
        ..cell::CellFigures::default()
    })
}

/// Attempts of the refused prompt at engines that live.
async fn count_attempts(bench: &bench::TestBench) -> usize {
    let mut count = 0;
    for engine in &bench.engines {
        let Ok(stats) = engine.stand_in.stats().await else {
            continue;
        };
        let attempts = stats["attempts"].as_array().cloned().unwrap_or_default();
        let refused = attempts
            .iter()
            .filter(|attempt| attempt["prompt"] == "refused");
        count += refused.count();
    }
    count
}
