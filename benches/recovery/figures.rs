//! What a run measured, and the summary of a cell.

use std::fmt::Write as _;
use std::time;

use crate::cell;
use crate::numbers;

const LONGEST_MICROS: u64 = 120_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// What one run measured.
#[derive(Clone, Copy, Debug)]
pub struct RunFigures {
    /// Time from the fault until the answer went on past the tokens that the caller held.
    pub resume: time::Duration,
    /// Tokens computed beyond those of the answer.
    pub extra_tokens: u64,
    /// Prompt and prefix tokens read after the fault.
    pub extra_prefill: u64,
    /// Times that the answer began again.
    pub restarts: u64,
    /// What only runs with one driver show.
    pub driver: Option<DriverFigures>,
}

/// What one driver did.
#[derive(Clone, Copy, Debug)]
pub struct DriverFigures {
    /// Tries to attach again.
    pub probes: u64,
    /// Attempts started.
    pub attempts: u64,
    /// Attempts cancelled.
    pub cancels: u64,
    /// Bytes between router and engines, both ways, for each token of the answer.
    pub bytes_per_token: f64,
}

/// All runs of one fault under one policy.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
pub struct CellFigures {
    fault: &'static str,
    policy: &'static str,
    runs: usize,
    whole: usize,
    resume_p50_ms: f64,
    resume_p95_ms: f64,
    resume_p99_ms: f64,
    resume_worst_ms: f64,
    extra_tokens: f64,
    extra_prefill: f64,
    restarts: f64,
    #[serde(flatten)]
    driver: Option<MeanDriverFigures>,
    #[serde(skip)]
    is_declared: bool,
    #[serde(skip)]
    errors: Vec<String>,
}

/// Means of [`DriverFigures`].
#[derive(Clone, Copy, Debug)]
#[derive(serde::Serialize)]
struct MeanDriverFigures {
    probes: f64,
    attempts: f64,
    cancels: f64,
    bytes_per_token: f64,
}

impl CellFigures {
    /// The summary of a cell's runs.
    pub fn new(
        fault: cell::RunFault,
        policy: cell::RunPolicy,
        results: Vec<eyre::Result<RunFigures>>,
    ) -> Self {
        let runs = results.len();
        let mut figures = Vec::new();
        let mut errors = Vec::new();
        for result in results {
            match result {
                Ok(run) => figures.push(run),
                Err(error) => errors.push(error.to_string()),
            }
        }
        let resume = resume_histogram(&figures);
        let at = |quantile| millis(resume.value_at_quantile(quantile));
        Self {
            fault: fault.name(),
            policy: policy.name(),
            runs,
            whole: figures.len(),
            resume_p50_ms: at(0.5),
            resume_p95_ms: at(0.95),
            resume_p99_ms: at(0.99),
            resume_worst_ms: millis(resume.max()),
            extra_tokens: mean(figures.iter().map(|run| numbers::float(run.extra_tokens))),
            extra_prefill: mean(figures.iter().map(|run| numbers::float(run.extra_prefill))),
            restarts: mean(figures.iter().map(|run| numbers::float(run.restarts))),
            driver: MeanDriverFigures::new(&figures),
            is_declared: policy.is_declared(),
            errors,
        }
    }

    /// Answers that are not whole, and bounds that are missed.
    pub fn failures(&self, bound: time::Duration) -> Vec<String> {
        let name = format!("{}, {}", self.fault, self.policy);
        let mut failures: Vec<String> = self
            .errors
            .iter()
            .map(|error| format!("{name}: {error}"))
            .collect();
        let bound_ms = bound.as_secs_f64() * 1_000.0;
        if self.is_declared && self.resume_worst_ms > bound_ms {
            let worst = self.resume_worst_ms;
            failures.push(format!("{name}: went on after {worst:.0} ms"));
        }
        failures
    }
}

impl MeanDriverFigures {
    fn new(runs: &[RunFigures]) -> Option<Self> {
        let drivers: Vec<_> = runs.iter().filter_map(|run| run.driver).collect();
        (!drivers.is_empty()).then(|| Self {
            probes: mean(drivers.iter().map(|driver| numbers::float(driver.probes))),
            attempts: mean(drivers.iter().map(|driver| numbers::float(driver.attempts))),
            cancels: mean(drivers.iter().map(|driver| numbers::float(driver.cancels))),
            bytes_per_token: mean(drivers.iter().map(|driver| driver.bytes_per_token)),
        })
    }
}

fn resume_histogram(runs: &[RunFigures]) -> hdrhistogram::Histogram<u64> {
    let mut histogram =
        hdrhistogram::Histogram::new_with_bounds(1, LONGEST_MICROS, SIGNIFICANT_DIGITS)
            .expect("the constant bounds are valid");
    for run in runs {
        let micros = u64::try_from(run.resume.as_micros()).unwrap_or(LONGEST_MICROS);
        histogram.saturating_record(micros.max(1));
    }
    histogram
}

fn millis(micros: u64) -> f64 {
    numbers::float(micros) / 1_000.0
}

fn mean(values: impl ExactSizeIterator<Item = f64>) -> f64 {
    let count = values.len();
    if count == 0 {
        return 0.0;
    }
    values.sum::<f64>() / numbers::float(count)
}

/// The cells as a table for people.
pub fn table(cells: &[CellFigures]) -> String {
    let mut text = String::from(
        "| fault | policy | whole | p50 ms | p95 ms | p99 ms | worst ms | extra tokens | \
         extra prefill | probes | attempts | cancels | restarts | bytes a token |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for cell in cells {
        let _ = write!(
            text,
            "| {} | {} | {}/{} | {:.0} | {:.0} | {:.0} | {:.0} | {:.1} | {:.1} |",
            cell.fault,
            cell.policy,
            cell.whole,
            cell.runs,
            cell.resume_p50_ms,
            cell.resume_p95_ms,
            cell.resume_p99_ms,
            cell.resume_worst_ms,
            cell.extra_tokens,
            cell.extra_prefill,
        );
        let _ = match cell.driver {
            Some(driver) => writeln!(
                text,
                " {:.1} | {:.1} | {:.1} | {:.2} | {:.0} |",
                driver.probes,
                driver.attempts,
                driver.cancels,
                cell.restarts,
                driver.bytes_per_token
            ),
            None => writeln!(text, " – | – | – | {:.2} | – |", cell.restarts),
        };
    }
    text
}
