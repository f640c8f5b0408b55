//! How single requests ended, and sums over a kind of workspace.

use std::time;

use kumquatpulley::connection::caller_stream;

use crate::numbers;
use crate::request;

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OutcomeEnd {
    /// The whole answer came.
    Whole,
    /// The system refused it.
    Refused,
    /// Anything else.
    Failed(String),
}

/// One request.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Workspace name.
    pub workspace: String,
    /// When it was sent.
    pub asked: time::Instant,
    /// When each token came.
    pub arrivals: Vec<time::Instant>,
    /// How it ended.
    pub end: OutcomeEnd,
}

impl Outcome {
    /// A request that is sent now.
    pub fn new(workspace: String) -> Self {
        Self {
            workspace,
            asked: time::Instant::now(),
            arrivals: Vec::new(),
            end: OutcomeEnd::Whole,
        }
    }

    /// Takes note of a token that comes now.
    pub fn take_token(&mut self) {
        self.arrivals.push(time::Instant::now());
    }

    /// Takes note of the end.
    pub fn finish(&mut self, end: caller_stream::Result<()>) {
        self.end = match end {
            Ok(()) => OutcomeEnd::Whole,
            Err(caller_stream::StreamEnd::Refused(_refusal)) => OutcomeEnd::Refused,
            Err(other) => OutcomeEnd::Failed(other.to_string()),
        };
    }

    fn wait(&self) -> Option<time::Duration> {
        self.arrivals.first().map(|first| *first - self.asked)
    }

    /// Longest time between two tokens.
    pub fn longest_gap(&self) -> time::Duration {
        let gaps = self.arrivals.windows(2).map(|pair| pair[1] - pair[0]);
        gaps.max().unwrap_or_default()
    }
}

/// Sums over the workspaces of one kind.
#[derive(Clone, Copy, Debug)]
#[derive(serde::Serialize)]
pub struct KindFigures {
    /// Requests sent.
    pub offered: usize,
    /// Whole answers.
    pub whole: usize,
    /// Requests refused.
    pub refused: usize,
    /// Requests that ended in any other way.
    pub failed: usize,
    /// Time to the first token, in milliseconds.
    pub wait_p50_ms: f64,
    /// The same for 95 in 100.
    pub wait_p95_ms: f64,
}

impl KindFigures {
    /// Sums over the large workspace or over the small ones.
    pub fn new(outcomes: &[Outcome], is_large: bool) -> Self {
        let own = || {
            let all = outcomes.iter();
            all.filter(move |outcome| (outcome.workspace == request::LARGE) == is_large)
        };
        let count = |end: &OutcomeEnd| own().filter(|outcome| outcome.end == *end).count();
        let whole = count(&OutcomeEnd::Whole);
        let refused = count(&OutcomeEnd::Refused);
        let mut waits: Vec<_> = own().filter_map(Outcome::wait).collect();
        waits.sort_unstable();
        let at = |percent: usize| {
            let wait = waits.get(waits.len() * percent / 100);
            wait.map_or(0.0, |wait| wait.as_secs_f64() * 1_000.0)
        };
        Self {
            offered: own().count(),
            whole,
            refused,
            failed: own().count() - whole - refused,
            wait_p50_ms: at(50),
            wait_p95_ms: at(95),
        }
    }
}

/// Tokens of whole answers in each second since `started`.
pub fn goodput(outcomes: &[Outcome], started: time::Instant, seconds: usize) -> Vec<f64> {
    let mut counts = vec![0_usize; seconds];
    let whole = outcomes
        .iter()
        .filter(|outcome| outcome.end == OutcomeEnd::Whole);
    for arrival in whole.flat_map(|outcome| &outcome.arrivals) {
        let second = arrival.saturating_duration_since(started).as_secs();
        if let Some(count) = usize::try_from(second)
            .ok()
            .and_then(|at| counts.get_mut(at))
        {
            *count += 1;
        }
    }
    counts.into_iter().map(numbers::float).collect()
}
