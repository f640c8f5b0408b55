//! Calls a second to a plain service through the router, with a fixed number of callers.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use async_std::task;
use futures::future;
use kumquatpulley::connection::http;

use crate::WORKSPACE;
use crate::numbers;
use crate::router_cpu;
use crate::system;

/// Outcome of measuring.
pub type Result<T> = eyre::Result<T>;

/// Callers that each send the next call when the last is answered.
const CALLERS: [usize; 3] = [8, 32, 128];

const MEASURE_TIME: time::Duration = time::Duration::from_secs(3);
const MAX_ANSWER_BYTES: usize = 64 * 1024;
const STATUS_OK: u16 = 200;

/// One number of callers.
#[derive(Clone, Copy, Debug)]
#[derive(serde::Serialize)]
pub struct CallFigures {
    callers: usize,
    calls_per_second: f64,
    p95_ms: f64,
    router_cpu_us_per_call: f64,
    failed: usize,
}

/// Measures each number of callers.
pub async fn measure(system: &system::BenchSystem) -> Result<Vec<CallFigures>> {
    let mut figures = Vec::new();
    for callers in CALLERS {
        figures.push(measure_callers(system, callers).await?);
    }
    Ok(figures)
}

async fn measure_callers(system: &system::BenchSystem, callers: usize) -> Result<CallFigures> {
    let address = system.base.routers[0].listen;
    let router = router_cpu::RouterProcess::find()?;
    let cpu = router.cpu_seconds()?;
    let started = time::Instant::now();
    let failed = sync::Arc::new(atomic::AtomicUsize::new(0));
    let workers = (0..callers).map(|_caller| {
        task::spawn(call_until(
            address,
            started + MEASURE_TIME,
            sync::Arc::clone(&failed),
        ))
    });
    let mut times: Vec<_> = future::join_all(workers).await.concat();
    let elapsed = started.elapsed().as_secs_f64();
    let cpu = router.cpu_seconds()? - cpu;
    times.sort_unstable();
    let count = times.len();
    eyre::ensure!(count > 0, "no call was answered");
    Ok(CallFigures {
        callers,
        calls_per_second: numbers::float(count) / elapsed,
        p95_ms: times[count * 95 / 100].as_secs_f64() * 1_000.0,
        router_cpu_us_per_call: cpu * 1e6 / numbers::float(count),
        failed: failed.load(atomic::Ordering::Relaxed),
    })
}

async fn call_until(
    address: net::SocketAddr,
    end: time::Instant,
    failed: sync::Arc<atomic::AtomicUsize>,
) -> Vec<time::Duration> {
    let mut times = Vec::new();
    while time::Instant::now() < end {
        let started = time::Instant::now();
        match Box::pin(call(address)).await {
            Ok(()) => times.push(started.elapsed()),
            Err(_error) => {
                failed.fetch_add(1, atomic::Ordering::Relaxed);
            }
        }
    }
    times
}

async fn call(address: net::SocketAddr) -> Result<()> {
    let address = address.to_string();
    let mut request = http::request(http_types::Method::Get, &address, "/s/stock/chairs");
    request.insert_header("authorization", format!("Bearer {WORKSPACE}"));
    let limits = http::ExchangeLimits::default();
    let mut response = http::send(&address, request, limits).await?;
    let status = u16::from(response.status());
    http::read_body(&mut response.take_body(), MEASURE_TIME, MAX_ANSWER_BYTES).await?;
    eyre::ensure!(status == STATUS_OK, "answered {status}");
    Ok(())
}
