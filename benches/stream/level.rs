//! A number of streams at the same time, straight from the engines and through the router.

use std::net;
use std::time;

use async_std::task;
use futures::future;

use crate::numbers;
use crate::router_cpu;
use crate::streams;
use crate::system;

/// Outcome of measuring.
pub type Result<T> = eyre::Result<T>;

/// Time to the first token for 95 in 100.
const FIRST_BOUND_MS: f64 = 390.0;

/// Time between tokens for 95 in 100, with engines that give a token each 20 ms.
const GAP_BOUND_MS: f64 = 27.0;

/// Time over which streams begin.
const RAMP: time::Duration = time::Duration::from_secs(1);

const LONGEST_MICROS: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Quantiles of one kind of time, in milliseconds.
#[derive(Clone, Copy, Debug)]
#[derive(serde::Serialize)]
pub struct TimeFigures {
    p50: f64,
    p95: f64,
    p99: f64,
}

/// Times of all streams of one way.
#[derive(Clone, Copy, Debug)]
#[derive(serde::Serialize)]
pub struct WayFigures {
    first_token_ms: TimeFigures,
    gap_ms: TimeFigures,
}

/// One number of streams.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
pub struct LevelFigures {
    /// Streams at the same time.
    pub streams: usize,
    engine: WayFigures,
    router: WayFigures,
    added_first_p50_ms: f64,
    added_first_p95_ms: f64,
    added_gap_p95_ms: f64,
    router_cpu_us_per_token: f64,
    router_cores: f64,
    router_memory_mib: f64,
    #[serde(skip)]
    errors: Vec<String>,
}

impl LevelFigures {
    /// Bounds that are missed.
    pub fn misses(&self) -> Vec<String> {
        let mut misses = Vec::new();
        let (first, gap) = (self.router.first_token_ms.p95, self.router.gap_ms.p95);
        if first > FIRST_BOUND_MS {
            misses.push(format!(
                "{} streams: first token {first:.0} ms",
                self.streams
            ));
        }
        if gap > GAP_BOUND_MS {
            misses.push(format!("{} streams: gap {gap:.1} ms", self.streams));
        }
        misses
    }

    /// Answers that are not whole.
    pub fn errors(&self) -> Vec<String> {
        self.errors.clone()
    }
}

/// Measures `streams` streams at the same time.
pub async fn measure(system: &system::BenchSystem, streams: usize) -> Result<LevelFigures> {
    let engines: Vec<net::SocketAddr> = system.engines.iter().map(|unit| unit.listen).collect();
    let direct = run(streams, |index| {
        Box::pin(streams::read_engine(engines[index % engines.len()]))
    });
    let (engine, mut errors) = summarize(direct.await);
    let home = streams::home(system).await?;
    let address = system.base.routers[0].listen;
    let router_process = router_cpu::RouterProcess::find()?;
    let cpu = router_process.cpu_seconds()?;
    let started = time::Instant::now();
    let through = run(streams, |_index| {
        Box::pin(streams::read_router(address, home.clone()))
    });
    let (router, router_errors) = summarize(through.await);
    let elapsed = started.elapsed();
    let cpu = router_process.cpu_seconds()? - cpu;
    errors.extend(router_errors);
    let tokens = numbers::float(streams) * f64::from(streams::MAX_TOKENS);
    Ok(LevelFigures {
        streams,
        engine,
        router,
        added_first_p50_ms: router.first_token_ms.p50 - engine.first_token_ms.p50,
        added_first_p95_ms: router.first_token_ms.p95 - engine.first_token_ms.p95,
        added_gap_p95_ms: router.gap_ms.p95 - engine.gap_ms.p95,
        router_cpu_us_per_token: cpu * 1e6 / tokens,
        router_cores: cpu / elapsed.as_secs_f64(),
        router_memory_mib: numbers::float(router_process.memory()? / 1_024) / 1_024.0,
        errors,
    })
}

type StreamFuture = future::BoxFuture<'static, streams::Result<streams::StreamTimes>>;

/// Begins the streams evenly over the ramp and waits for all.
async fn run(
    streams: usize,
    read: impl Fn(usize) -> StreamFuture,
) -> Vec<streams::Result<streams::StreamTimes>> {
    let step = RAMP.div_f64(numbers::float(streams));
    let mut running = Vec::new();
    for index in 0..streams {
        let delay = step.mul_f64(numbers::float(index));
        let stream = read(index);
        running.push(task::spawn(async move {
            task::sleep(delay).await;
            stream.await
        }));
    }
    future::join_all(running).await
}

fn summarize(results: Vec<streams::Result<streams::StreamTimes>>) -> (WayFigures, Vec<String>) {
    let mut first = histogram();
    let mut gaps = histogram();
    let mut errors = Vec::new();
    for result in results {
        match result {
            Ok(times) => {
                record(&mut first, times.first);
                times.gaps.iter().for_each(|gap| record(&mut gaps, *gap));
            }
            Err(error) => errors.push(error.to_string()),
        }
    }
    let figures = WayFigures {
        first_token_ms: quantiles(&first),
        gap_ms: quantiles(&gaps),
    };
    (figures, errors)
}

fn histogram() -> hdrhistogram::Histogram<u64> {
    hdrhistogram::Histogram::new_with_bounds(1, LONGEST_MICROS, SIGNIFICANT_DIGITS)
        .expect("the constant bounds are valid")
}

fn record(histogram: &mut hdrhistogram::Histogram<u64>, time: time::Duration) {
    let micros = u64::try_from(time.as_micros()).unwrap_or(LONGEST_MICROS);
    histogram.saturating_record(micros.max(1));
}

fn quantiles(histogram: &hdrhistogram::Histogram<u64>) -> TimeFigures {
    let at = |quantile| numbers::float(histogram.value_at_quantile(quantile)) / 1_000.0;
    TimeFigures {
        p50: at(0.5),
        p95: at(0.95),
        p99: at(0.99),
    }
}
