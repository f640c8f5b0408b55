//! Routers that place conversations on engines with prefix caches, in steps of simulated time.

use std::collections;

use kumquatpulley::process::endpoints::placement;

const ENGINES: usize = 35;
const ROUTERS: usize = 16;
const SLOTS: u32 = 8;
const ZONES: usize = 4;
const STEPS: u32 = 20_000;

/// Steps between an engine's state and the reports and cache events that the routers see.
const REPORT_LAG: u32 = 20;

/// Steps to generate an answer after its prompt.
const DECODE_STEPS: u32 = 60;

/// Prompt blocks that an engine computes in one step.
const BLOCKS_PER_STEP: usize = 4;

/// Prompt blocks of a conversation.
const PROMPT_BLOCKS: usize = 160;

/// Conversations whose prompts an engine's cache holds.
const CACHED_PROMPTS: usize = 12;

/// Conversations that go on at the same time.
const CONVERSATIONS: usize = 300;

/// Requests that arrive in one step, over all routers.
const ARRIVALS_PER_STEP: f64 = 2.6;

/// What one policy achieved.
#[derive(Debug)]
#[derive(serde::Serialize)]
pub struct LoadSummary {
    pub policy: &'static str,
    /// Requests placed.
    pub requests: usize,
    /// Prompt blocks found in a cache, in percent.
    pub cached_percent: f64,
    /// Steps until the first token, median and 95th percentile.
    pub first_token_p50: u32,
    pub first_token_p95: u32,
    /// Largest load of an engine against the mean, averaged over time.
    pub peak_to_mean: f64,
}

#[derive(Clone, Debug, Default)]
struct EngineState {
    /// Steps at which running requests end.
    running: Vec<u32>,
    waiting: collections::VecDeque<WaitingRequest>,
    /// Conversations in the cache, newest last.
    cached: collections::VecDeque<usize>,
    /// Load in each of the last steps, newest last.
    loads: collections::VecDeque<u32>,
    /// The cache in each of the last steps, newest last.
    caches: collections::VecDeque<collections::VecDeque<usize>>,
}

#[derive(Clone, Copy, Debug)]
struct WaitingRequest {
    arrived: u32,
    conversation: usize,
    router: usize,
}

/// The policy and both baselines under the same load.
pub fn run_all() -> Vec<LoadSummary> {
    vec![
        run("prefix", &placement::PrefixPlacement::default()),
        run("round-robin", &placement::RoundRobin::default()),
        run("random", &placement::RandomChoice),
    ]
}

/// Bounds against the baselines.
pub fn failures(summaries: &[LoadSummary]) -> Vec<String> {
    let [prefix, baselines @ ..] = summaries else {
        return vec!["no summary".to_owned()];
    };
    let mut failures = Vec::new();
    for baseline in baselines {
        if prefix.first_token_p95 > baseline.first_token_p95 {
            failures.push(format!("first token later than with {}", baseline.policy));
        }
        if prefix.cached_percent < baseline.cached_percent {
            failures.push(format!("fewer blocks cached than with {}", baseline.policy));
        }
    }
    failures
}

fn run(name: &'static str, policy: &dyn placement::PlacementPolicy) -> LoadSummary {
    let mut load = PlacementLoad::new();
    for step in 0..STEPS {
        load.step(step, policy);
    }
    load.summary(name)
}

struct PlacementLoad {
    random: fastrand::Rng,
    engines: Vec<EngineState>,
    /// Own requests at each engine, by router, now and in each of the last steps.
    in_flight: Vec<[u32; ENGINES]>,
    in_flight_before: collections::VecDeque<Vec<[u32; ENGINES]>>,
    /// Router and engine of the requests that end at a step.
    ends: collections::HashMap<u32, Vec<(usize, usize)>>,
    first_token: Vec<u32>,
    cached_blocks: usize,
    peaks: f64,
}

impl PlacementLoad {
    fn new() -> Self {
        Self {
            random: fastrand::Rng::with_seed(11),
            engines: vec![EngineState::default(); ENGINES],
            in_flight: vec![[0; ENGINES]; ROUTERS],
            in_flight_before: collections::VecDeque::new(),
            ends: collections::HashMap::new(),
            first_token: Vec::new(),
            cached_blocks: 0,
            peaks: 0.0,
        }
    }

    fn step(&mut self, step: u32, policy: &dyn placement::PlacementPolicy) {
        for (router, engine) in self.ends.remove(&step).unwrap_or_default() {
            self.in_flight[router][engine] -= 1;
        }
        for engine in 0..ENGINES {
            self.run_engine(engine, step);
        }
        let mut arrivals = ARRIVALS_PER_STEP;
        while arrivals > 0.0 {
            if self.random.f64() < arrivals {
                self.place(step, policy);
            }
            arrivals -= 1.0;
        }
        self.record_loads();
    }

    fn place(&mut self, step: u32, policy: &dyn placement::PlacementPolicy) {
        let router = self.random.usize(..ROUTERS);
        let conversation = self.random.usize(..CONVERSATIONS);
        let candidates: Vec<_> = (0..ENGINES)
            .map(|engine| self.candidate(router, engine, conversation))
            .collect();
        let request = placement::PlacementRequest {
            prompt_blocks: PROMPT_BLOCKS,
        };
        let chosen = policy.choose(&request, &candidates, &mut self.random);
        let engine = chosen.expect("candidates");
        self.in_flight[router][engine] += 1;
        self.engines[engine].waiting.push_back(WaitingRequest {
            arrived: step,
            conversation,
            router,
        });
    }

    fn candidate(&self, router: usize, engine: usize, conversation: usize) -> placement::Candidate {
        let state = &self.engines[engine];
        let cache = state.caches.front();
        let is_cached = cache.is_some_and(|cache| cache.contains(&conversation));
        let before = self.in_flight_before.front();
        placement::Candidate {
            is_same_zone: router % ZONES == engine % ZONES,
            in_flight: self.in_flight[router][engine],
            in_flight_at_report: before.map_or(0, |before| before[router][engine]),
            reported_load: state.loads.front().copied().unwrap_or_default(),
            slots: SLOTS,
            cached_blocks: if is_cached { PROMPT_BLOCKS } else { 0 },
        }
    }

    fn run_engine(&mut self, engine: usize, step: u32) {
        let state = &mut self.engines[engine];
        state.running.retain(|end| *end > step);
        while state.running.len() < SLOTS as usize {
            let Some(request) = state.waiting.pop_front() else {
                return;
            };
            let cached = state
                .cached
                .iter()
                .position(|held| *held == request.conversation);
            if let Some(index) = cached {
                state.cached.remove(index);
                self.cached_blocks += PROMPT_BLOCKS;
            }
            state.cached.push_back(request.conversation);
            if state.cached.len() > CACHED_PROMPTS {
                state.cached.pop_front();
            }
            let blocks = if cached.is_some() { 0 } else { PROMPT_BLOCKS };
            let prefill = u32::try_from(blocks / BLOCKS_PER_STEP).expect("few blocks");
            let end = step + prefill + DECODE_STEPS;
            state.running.push(end);
            self.first_token.push(step + prefill - request.arrived);
            let ending = self.ends.entry(end).or_default();
            ending.push((request.router, engine));
        }
    }

    fn record_loads(&mut self) {
        let mut loads = [0; ENGINES];
        for (engine, state) in self.engines.iter_mut().enumerate() {
            let load = state.running.len() + state.waiting.len();
            loads[engine] = u32::try_from(load).unwrap_or(u32::MAX);
            state.loads.push_back(loads[engine]);
            if state.loads.len() > REPORT_LAG as usize {
                state.loads.pop_front();
            }
            state.caches.push_back(state.cached.clone());
            if state.caches.len() > REPORT_LAG as usize {
                state.caches.pop_front();
            }
        }
        self.in_flight_before.push_back(self.in_flight.clone());
        if self.in_flight_before.len() > REPORT_LAG as usize {
            self.in_flight_before.pop_front();
        }
        let most = f64::from(loads.iter().copied().max().unwrap_or_default());
        let mean = f64::from(loads.iter().sum::<u32>()) / real(ENGINES);
        self.peaks += if mean > 0.0 { most / mean } else { 1.0 };
    }

    fn summary(mut self, policy: &'static str) -> LoadSummary {
        self.first_token.sort_unstable();
        let requests = self.first_token.len();
        let quantile = |percent: usize| self.first_token[requests * percent / 100];
        LoadSummary {
            policy,
            requests,
            cached_percent: 100.0 * real(self.cached_blocks) / real(requests * PROMPT_BLOCKS),
            first_token_p50: quantile(50),
            first_token_p95: quantile(95),
            peak_to_mean: self.peaks / f64::from(STEPS),
        }
    }
}

fn real(count: usize) -> f64 {
    f64::from(u32::try_from(count).expect("count fits"))
}
