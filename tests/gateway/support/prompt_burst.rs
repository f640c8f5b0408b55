//! A burst of prompts of three priorities at engines with old reports, in simulated time.

use std::collections;
use std::time;

use kumquatpulley::request::relay::{report, selection};

const ENGINES: usize = 18;

/// Engines that work at [`SLOW_SPEED`].
const SLOW_ENGINES: usize = 4;
const SLOW_SPEED: f64 = 0.55;

/// KV cache of each engine, the tokens of a prompt, and those of its run at the end.
const ENGINE_TOKENS: u64 = 88_000;
const PROMPT_TOKENS: u64 = 8_000;
const RUN_TOKENS: u64 = 9_000;

/// Prefill of a prompt, and the generation after it, at full speed.
const PREFILL_MS: f64 = 1_000.0;
const GENERATION_MS: f64 = 7_000.0;

/// Age of the reports.
const REPORT_AGE_MS: u64 = 100;

/// Part of the prompts that an engine answers with 503.
const REFUSED_SHARE: f64 = 0.05;

/// Time between arrivals, outside and inside the burst.
const USUAL_GAP_MS: f64 = 212.0;
const BURST_GAP_MS: f64 = 53.0;
const BURST_MS: (u64, u64) = (5_000, 10_000);
const END_MS: u64 = 20_000;

/// Length of a step.
const STEP_MS: u64 = 10;

/// Goals of the priorities to the first event, in milliseconds.
pub const GOALS_MS: [u64; 3] = [4_000, 5_000, 10_000];

/// Seeds of the replays whose results are added.
const SEEDS: std::ops::Range<u64> = 1..33;

/// Prompts of one priority.
#[derive(Clone, Copy, Debug, Default)]
pub struct PromptCounts {
    pub arrived: u32,
    pub in_goal: u32,
    pub served: u32,
}

impl PromptCounts {
    pub fn share(&self) -> f64 {
        f64::from(self.in_goal) / f64::from(self.arrived)
    }
}

/// Makes the rule for a prompt of this rank, which may wait for `left` more of `limit`.
pub type RuleSource =
    fn(rank: u32, left: time::Duration, limit: time::Duration) -> Box<dyn selection::SelectionRule>;

#[derive(Clone, Debug)]
struct Prompt {
    priority: usize,
    arrived: u64,
    /// When it is searched for next.
    next: u64,
    probed: Vec<usize>,
    rounds: u32,
    excluded: Vec<usize>,
}

#[derive(Clone, Debug, Default)]
struct Engine {
    speed: f64,
    /// Prompts that wait or are in prefill, the first one in prefill.
    queue: collections::VecDeque<(usize, u64)>,
    /// Work left of the first one, in milliseconds at full speed; `None` if it has no room yet.
    left: Option<f64>,
    /// Ends of the runs that generate.
    runs: Vec<u64>,
    reports: collections::VecDeque<report::EngineReport>,
}

fn whole_ms(time: f64) -> u64 {
    let time = time::Duration::from_secs_f64(time / 1_000.0);
    u64::try_from(time.as_millis()).expect("short")
}

impl Engine {
    /// Advances by one step; returns the prompt whose first event is generated.
    fn advance(&mut self, now: u64) -> Option<(usize, u64)> {
        self.runs.retain(|end| *end > now);
        let used = RUN_TOKENS * u64::try_from(self.runs.len()).expect("few");
        if self.left.is_none() && !self.queue.is_empty() && used + RUN_TOKENS <= ENGINE_TOKENS {
            self.left = Some(PREFILL_MS);
        }
        let done = self.left.as_mut().is_some_and(|left| {
            *left -= self.speed * 10.0;
            *left <= 0.0
        });
        let first = if done { self.queue.pop_front() } else { None };
        if first.is_some() {
            self.left = None;
            self.runs.push(now + whole_ms(GENERATION_MS / self.speed));
        }
        self.report();
        first
    }

    fn report(&mut self) {
        let prefilling = u32::from(self.left.is_some());
        let waiting = u32::try_from(self.queue.len()).expect("few") - prefilling;
        let run = report::EngineRun {
            request: "other".to_owned(),
            tokens: RUN_TOKENS,
            events: 1,
        };
        let generating = u32::try_from(self.runs.len()).expect("few");
        let read = PROMPT_TOKENS / 2 * u64::from(prefilling);
        self.reports.push_back(report::EngineReport {
            incarnation: 0,
            is_leaving: false,
            waiting,
            running: generating + prefilling,
            memory_used: RUN_TOKENS * u64::from(generating) + read,
            memory_total: ENGINE_TOKENS,
            runs: Some(vec![run; self.runs.len()]),
        });
        if self.reports.len() > usize::try_from(REPORT_AGE_MS / STEP_MS).expect("few") {
            self.reports.pop_front();
        }
    }

    fn candidate(&self) -> selection::EngineCandidate {
        selection::EngineCandidate {
            report: self.reports.front().cloned(),
            recent_requests: 0,
        }
    }
}

/// Takes the steps of one search at `now`; returns the engine that the prompt is sent to.
fn search(
    prompt: &mut Prompt,
    engines: &[Engine],
    now: u64,
    source: RuleSource,
    random: &mut fastrand::Rng,
) -> Option<usize> {
    let goal = time::Duration::from_millis(GOALS_MS[prompt.priority]);
    let limit = goal.mul_f64(selection::MAX_WAIT_FRACTION);
    let waited = time::Duration::from_millis(now - prompt.arrived);
    let is_retry = !prompt.excluded.is_empty();
    let left = if is_retry {
        time::Duration::ZERO
    } else {
        limit.saturating_sub(waited)
    };
    let rank = u32::try_from(prompt.priority).expect("few");
    let rule = source(rank, left, limit);
    loop {
        let is_left =
            |engine: &usize| !prompt.probed.contains(engine) && !prompt.excluded.contains(engine);
        let others: Vec<usize> = (0..ENGINES).filter(is_left).collect();
        let probed = random.choose_multiple(others, selection::PROBED_ENGINES);
        let candidates: Vec<_> = probed.iter().map(|at| engines[*at].candidate()).collect();
        let params = selection::SelectionParams {
            tokens: RUN_TOKENS,
            may_wait: !left.is_zero(),
            is_first: prompt.probed.is_empty(),
        };
        let step = selection::choose_engine_by(rule.as_ref(), &candidates, params);
        if let selection::SelectionStep::Send(best) = step {
            return Some(probed[best]);
        }
        prompt.rounds += 1;
        prompt.probed.extend(&probed);
        if prompt.rounds >= selection::MAX_PROBE_ROUNDS || probed.is_empty() {
            prompt.probed.clear();
            prompt.rounds = 0;
            let pause = selection::REPROBE_INTERVAL.mul_f64(1.0 + random.f64());
            prompt.next = now + u64::try_from(pause.as_millis()).expect("short");
            return None;
        }
    }
}

fn arrivals(random: &mut fastrand::Rng) -> Vec<Prompt> {
    let (mut at, mut prompts) = (0.0, Vec::new());
    while whole_ms(at) < END_MS {
        let now = whole_ms(at);
        let is_burst = (BURST_MS.0..BURST_MS.1).contains(&now);
        let gap = if is_burst { BURST_GAP_MS } else { USUAL_GAP_MS };
        prompts.push(Prompt {
            priority: random.usize(..GOALS_MS.len()),
            arrived: now,
            next: now,
            probed: Vec::new(),
            rounds: 0,
            excluded: Vec::new(),
        });
        at += -(1.0 - random.f64()).ln() * gap;
    }
    prompts
}

fn replayed(source: RuleSource, seed: u64, counts: &mut [PromptCounts; 3]) {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut prompts = arrivals(&mut random);
    let mut engines = vec![Engine::default(); ENGINES];
    for (number, engine) in engines.iter_mut().enumerate() {
        engine.speed = if number < SLOW_ENGINES {
            SLOW_SPEED
        } else {
            1.0
        };
    }
    let mut waiting: Vec<usize> = (0..prompts.len()).collect();
    for prompt in &prompts {
        counts[prompt.priority].arrived += 1;
    }
    for now in (0..3 * END_MS).step_by(usize::try_from(STEP_MS).expect("small")) {
        for engine in &mut engines {
            if let Some((id, _sent)) = engine.advance(now) {
                let prompt = &prompts[id];
                let count = &mut counts[prompt.priority];
                count.served += 1;
                count.in_goal += u32::from(now - prompt.arrived <= GOALS_MS[prompt.priority]);
            }
        }
        waiting.retain(|id| {
            let prompt = &mut prompts[*id];
            while prompt.next <= now {
                let Some(engine) = search(prompt, &engines, now, source, &mut random) else {
                    return true;
                };
                if random.f64() >= REFUSED_SHARE {
                    engines[engine].queue.push_back((*id, now));
                    return false;
                }
                prompt.excluded.push(engine);
            }
            true
        });
    }
}

/// Adds the results of one rule over all seeds, by priority.
pub fn replayed_all(source: RuleSource) -> [PromptCounts; 3] {
    let mut counts = [PromptCounts::default(); 3];
    for seed in SEEDS {
        replayed(source, seed, &mut counts);
    }
    counts
}
