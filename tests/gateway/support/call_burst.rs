//! A burst of calls at three endpoints, from many routers, in simulated time.
//!
//! A call that no endpoint takes comes back once, if it is told a delay that fits into the time
//! that it has left.

use std::cmp;
use std::collections;
use std::time;

use kumquatpulley::process::limits::budget;
use kumquatpulley::request::relay::retry;

pub const ROUTERS: u32 = 134;
const ENDPOINTS: usize = 3;

/// Calls that one endpoint executes at a time, and that it queues.
const SLOTS: usize = 6;
const QUEUE: usize = 24;

/// Mean and standard deviation of the time for which a call occupies a slot, in milliseconds.
const WORK_MS: f64 = 60.0;
const WORK_SPREAD_MS: f64 = 30.0;

/// Goal and deadline of a call, from its first arrival at a router.
pub const GOAL_MS: u64 = 300;
pub const DEADLINE_MS: u64 = 3_000;

/// One way between a router and an endpoint.
const HOP_MS: u64 = 1;

/// Calls a second, outside and inside the burst.
const USUAL_RATE: f64 = 120.0;
const BURST_RATE: f64 = 480.0;

/// Start and end of the burst, and end of the arrivals.
const BURST_MS: (u64, u64) = (5_000, 10_000);
const END_MS: u64 = 20_000;

/// Retries that a router earns with each call, and that all routers earn together each second: the
/// gateway's share of 0.8 a call and 300 in ten seconds, less the half for broken streams.
const RETRY_RATIO: f64 = 0.24;
const RETRIES_PER_SECOND: f64 = 4.5;

/// Seeds of the replays whose results are added.
const SEEDS: std::ops::Range<u64> = 1..65;

/// How the calls of a replay ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallCounts {
    pub arrived: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
    /// Attempts that endpoints refused.
    pub full: u32,
    pub waits: u32,
    pub max_held_ms: u64,
}

/// What a router does with a call that endpoints refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallStep {
    /// Holds it for so many milliseconds and tries again.
    Wait(u64),
    /// Refuses it and names this delay.
    Refuse(u64),
}

/// A call as its router sees it after an attempt was refused and no other endpoint is left.
pub struct RefusedCall {
    pub router: usize,
    pub now: u64,
    pub arrived: u64,
    /// When the caller first sent it.
    pub first: u64,
    pub waits: u32,
    /// Whether the limits on attempts allow another one.
    pub may_wait: bool,
}

/// Rule of the routers.
pub trait CallRule {
    fn step(&mut self, call: &RefusedCall, random: f64) -> CallStep;
    fn record_answer(&mut self, _router: usize, _now: u64, _duration: u64) {}
}

#[derive(Clone, Debug)]
struct Call {
    router: usize,
    first: u64,
    arrived: u64,
    /// Attempts since the last arrival at a router.
    attempts: u32,
    tried: Vec<usize>,
    waits: u32,
    has_come_back: bool,
    sent: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A router chooses an endpoint for the call.
    Choose(usize),
    /// The call reaches the endpoint.
    Reach(usize, usize),
    /// The endpoint has executed the call.
    Done(usize, usize),
}

#[derive(Default)]
struct Endpoint {
    running: usize,
    queue: collections::VecDeque<usize>,
}

struct Replay<'a> {
    rule: &'a mut dyn CallRule,
    random: fastrand::Rng,
    start: time::Instant,
    budgets: Vec<budget::RetryBudget>,
    endpoints: [Endpoint; ENDPOINTS],
    calls: Vec<Call>,
    events: collections::BinaryHeap<cmp::Reverse<(u64, u64, Event)>>,
    number: u64,
    counts: CallCounts,
}

impl Replay<'_> {
    fn push(&mut self, at: u64, event: Event) {
        self.number += 1;
        self.events.push(cmp::Reverse((at, self.number, event)));
    }

    fn instant(&self, now: u64) -> time::Instant {
        self.start + time::Duration::from_millis(now)
    }

    fn work_ms(&mut self) -> u64 {
        // The sum of twelve uniform numbers is close to a normal distribution.
        let sum: f64 = (0..12).map(|_number| self.random.f64()).sum();
        let work = WORK_MS + WORK_SPREAD_MS * (sum - 6.0);
        whole_ms(work.max(1.0))
    }

    fn arrive(&mut self) {
        let (mut at, mut now) = (0.0, 0);
        while now < END_MS {
            let is_burst = (BURST_MS.0..BURST_MS.1).contains(&now);
            let rate = if is_burst { BURST_RATE } else { USUAL_RATE };
            at += -(1.0 - self.random.f64()).ln() * 1_000.0 / rate;
            now = whole_ms(at);
            self.calls.push(Call {
                router: self.random.usize(..ROUTERS as usize),
                first: now,
                arrived: now,
                attempts: 0,
                tried: Vec::new(),
                waits: 0,
                has_come_back: false,
                sent: 0,
            });
            self.push(now, Event::Choose(self.calls.len() - 1));
        }
        self.counts.arrived = u32::try_from(self.calls.len()).expect("few");
    }

    fn choose(&mut self, id: usize, now: u64) {
        let (router, attempts) = (self.calls[id].router, self.calls[id].attempts);
        let at = self.instant(now);
        if attempts == 0 {
            self.budgets[router].deposit(at);
        } else if !self.budgets[router].withdraw(at) {
            return self.refuse(id, now);
        }
        let call = &mut self.calls[id];
        let left: Vec<usize> = (0..ENDPOINTS)
            .filter(|endpoint| !call.tried.contains(endpoint))
            .collect();
        let endpoint = left[self.random.usize(..left.len())];
        call.tried.push(endpoint);
        call.attempts += 1;
        call.sent = now;
        self.push(now + HOP_MS, Event::Reach(id, endpoint));
    }

    fn reach(&mut self, id: usize, endpoint: usize, now: u64) {
        if self.endpoints[endpoint].running < SLOTS {
            self.endpoints[endpoint].running += 1;
            let work = self.work_ms();
            self.push(now + work, Event::Done(id, endpoint));
        } else if self.endpoints[endpoint].queue.len() < QUEUE {
            self.endpoints[endpoint].queue.push_back(id);
        } else {
            self.counts.full += 1;
            let call = &self.calls[id];
            let now = now + HOP_MS;
            if call.tried.len() < ENDPOINTS && call.attempts < retry::MAX_ATTEMPTS {
                self.choose(id, now);
            } else {
                self.refuse(id, now);
            }
        }
    }

    fn done(&mut self, id: usize, endpoint: usize, now: u64) {
        let work = self.work_ms();
        let state = &mut self.endpoints[endpoint];
        if let Some(next) = state.queue.pop_front() {
            self.push(now + work, Event::Done(next, endpoint));
        } else {
            state.running -= 1;
        }
        let now = now + HOP_MS;
        let call = &self.calls[id];
        self.rule.record_answer(call.router, now, now - call.sent);
        match now - call.first {
            elapsed if elapsed <= GOAL_MS => self.counts.in_time += 1,
            elapsed if elapsed <= DEADLINE_MS => self.counts.late += 1,
            _ => self.counts.refused += 1,
        }
    }

    fn refuse(&mut self, id: usize, now: u64) {
        let call = &self.calls[id];
        let may_wait = call.tried.len() == ENDPOINTS && call.attempts < retry::MAX_ATTEMPTS;
        let refused = RefusedCall {
            may_wait,
            router: call.router,
            now,
            arrived: call.arrived,
            first: call.first,
            waits: call.waits,
        };
        let step = self.rule.step(&refused, self.random.f64());
        let call = &mut self.calls[id];
        let delay = match step {
            CallStep::Refuse(delay) => delay,
            CallStep::Wait(wait) => {
                call.waits += 1;
                call.tried.clear();
                self.counts.waits += 1;
                return self.push(now + wait, Event::Choose(id));
            }
        };
        self.counts.max_held_ms = self.counts.max_held_ms.max(now - call.arrived);
        let left = (call.first + DEADLINE_MS).saturating_sub(now);
        if call.has_come_back || delay > left / 3 {
            self.counts.refused += 1;
            return;
        }
        call.has_come_back = true;
        call.arrived = now + delay;
        (call.attempts, call.waits) = (0, 0);
        call.tried.clear();
        call.router = self.random.usize(..ROUTERS as usize);
        self.push(now + delay, Event::Choose(id));
    }
}

fn whole_ms(time: f64) -> u64 {
    let time = time::Duration::from_secs_f64(time / 1_000.0);
    u64::try_from(time.as_millis()).expect("short")
}

/// Replays the burst with `rule` at all routers.
fn replayed(rule: &mut dyn CallRule, seed: u64) -> CallCounts {
    let share = 1.0 / f64::from(ROUTERS);
    let limits = budget::BudgetLimits {
        retries_per_success: RETRY_RATIO,
        reserve_per_second: RETRIES_PER_SECOND * share,
        max_tokens: 2.0,
    };
    let mut replay = Replay {
        rule,
        random: fastrand::Rng::with_seed(seed),
        start: time::Instant::now(),
        budgets: (0..ROUTERS)
            .map(|_router| budget::RetryBudget::new(limits))
            .collect(),
        endpoints: Default::default(),
        calls: Vec::new(),
        events: collections::BinaryHeap::new(),
        number: 0,
        counts: CallCounts::default(),
    };
    replay.arrive();
    while let Some(cmp::Reverse((now, _number, event))) = replay.events.pop() {
        match event {
            Event::Choose(id) => replay.choose(id, now),
            Event::Reach(id, endpoint) => replay.reach(id, endpoint, now),
            Event::Done(id, endpoint) => replay.done(id, endpoint, now),
        }
    }
    replay.counts
}

/// Adds the results of one rule over all seeds; `create` makes the rule of one replay.
pub fn replayed_all<R: CallRule>(create: impl Fn() -> R) -> CallCounts {
    SEEDS.fold(CallCounts::default(), |sum, seed| {
        let counts = replayed(&mut create(), seed);
        CallCounts {
            arrived: sum.arrived + counts.arrived,
            in_time: sum.in_time + counts.in_time,
            late: sum.late + counts.late,
            refused: sum.refused + counts.refused,
            full: sum.full + counts.full,
            waits: sum.waits + counts.waits,
            max_held_ms: sum.max_held_ms.max(counts.max_held_ms),
        }
    })
}
