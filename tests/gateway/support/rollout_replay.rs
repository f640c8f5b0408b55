//! Replays of roll-outs: routers that draw versions, send requests and report, and their coordinator.

use std::collections;
use std::time;

use kumquatpulley::process::gateway::boot_clock;
use kumquatpulley::process::gateway::rollout::{
    coordination, evidence, judge, order, plan, plan_book, ramp,
};
use kumquatpulley::request::relay::rollout;

use crate::support::rollout_conditions::{Conditions, Disturbance};

const SERVICE: &str = "huvo11a";

/// Bounds of the requirements.
pub const BOUNDS: ramp::ExposureBounds = ramp::ExposureBounds {
    share: 0.1,
    slack: 50.0,
};

/// Time after the 50th bad answer from which the new version gets nothing.
pub const ROLLBACK_MS: u64 = 5_000;

/// Bad answers from which [`ROLLBACK_MS`] counts.
const KNOWN_BAD: usize = 50;

/// Time that the order gives the ramp.
pub const RAMP_MS: u64 = 12_000;

/// Time that the old version's requests may take to end.
pub const DRAIN_MS: u64 = 10_000;

/// Interval of reports, of decisions, and the delay of a message.
const REPORT_MS: u64 = 500;
const DECISION_MS: u64 = 200;
const MESSAGE_MS: u64 = 10;

/// Time after a coordinator was lost until the routers agree on another one.
const TAKEOVER_MS: u64 = 1_500;

const ROUTES: [&str; 3] = ["one", "two", "three"];

/// What came of a replay.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub phase: plan::RolloutPhase,
    /// When the phase was reached.
    pub ended_ms: u64,
    /// Requests in the time that the order gives the ramp, the earliest deadline.
    pub requests: u64,
    pub sent_new: u64,
    /// When the last request was sent to the new version.
    pub last_new_ms: u64,
    /// When the answer came that makes the version known as bad.
    pub known_bad_ms: Option<u64>,
    /// Largest share that was decided.
    pub max_share: u16,
    /// Why it was reverted.
    pub fault: Option<judge::BadVersion>,
}

struct Router {
    book: plan_book::PlanBook,
    report: evidence::RouterReport,
    next_report_ms: u64,
    cut_off: (u64, u64),
    restart_ms: Option<u64>,
}

struct Answer {
    router: usize,
    route: usize,
    is_new: bool,
    outcome: rollout::VersionOutcome,
    latency: time::Duration,
}

struct Replay {
    conditions: Conditions,
    random: fastrand::Rng,
    now_ms: u64,
    routers: Vec<Router>,
    coordinator: coordination::Coordination,
    answers: collections::BTreeMap<(u64, u64), Answer>,
    numbers: u64,
    rows: coordination::StoredRows,
    lost_until_ms: u64,
    bad_ms: Vec<u64>,
    outcome: Outcome,
}

/// Runs a replay until the roll-out ended and its requests are done, or until the drain should be over.
pub fn run(conditions: Conditions, seed: u64) -> Outcome {
    let mut replay = Replay::new(conditions, seed);
    while replay.now_ms < RAMP_MS + DRAIN_MS {
        replay.step();
        replay.now_ms += 1;
    }
    replay.outcome.fault = replay.coordinator.fault().cloned();
    replay.outcome.known_bad_ms = replay.bad_ms.get(KNOWN_BAD - 1).copied();
    replay.outcome
}

fn at(millis: u64) -> boot_clock::BootInstant {
    boot_clock::BootInstant(time::Duration::from_secs(1_000) + time::Duration::from_millis(millis))
}

fn new_order() -> order::RolloutOrder {
    order::RolloutOrder {
        service: SERVICE.to_owned(),
        content: order::OrderContent {
            to: "v2".to_owned(),
            ramp: time::Duration::from_millis(RAMP_MS),
        },
        version: 7,
    }
}

impl Replay {
    fn new(conditions: Conditions, seed: u64) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let routers = (0..conditions.routers).map(|index| {
            let is_cut = conditions.disturbance == Disturbance::CutOff && index % 3 == 0;
            let restarts = conditions.disturbance == Disturbance::Restarts && index % 10 == 0;
            let router = Router {
                book: plan_book::PlanBook::default(),
                report: new_report(index as usize),
                next_report_ms: random.u64(0..REPORT_MS),
                cut_off: if is_cut { (5_000, 9_000) } else { (0, 0) },
                restart_ms: restarts.then(|| random.u64(1_000..10_000)),
            };
            let order = coordination::Coordination::new(new_order(), at(0));
            router.book.take_plan(order.plan().clone(), at(0));
            router
        });
        Self {
            conditions,
            now_ms: 0,
            routers: routers.collect(),
            coordinator: coordination::Coordination::new(new_order(), at(0)),
            answers: collections::BTreeMap::new(),
            numbers: 0,
            rows: coordination::StoredRows::default(),
            lost_until_ms: 0,
            bad_ms: Vec::new(),
            outcome: Outcome {
                phase: plan::RolloutPhase::Waiting,
                ended_ms: 0,
                requests: 0,
                sent_new: 0,
                last_new_ms: 0,
                known_bad_ms: None,
                max_share: 0,
                fault: None,
            },
            random,
        }
    }

    fn step(&mut self) {
        let now_ms = self.now_ms;
        let rate = self.conditions.rate / 1_000.0;
        // The whole part, and one more with the probability of the rest.
        let mut arrivals = rate;
        while arrivals >= 1.0 || self.random.f64() < arrivals {
            self.send_request();
            arrivals -= 1.0;
        }
        while let Some(entry) = self.answers.first_entry() {
            if entry.key().0 > now_ms {
                break;
            }
            let answer = entry.remove();
            self.take_answer(&answer);
        }
        for index in 0..self.routers.len() {
            if self.routers[index].restart_ms == Some(now_ms) {
                let book = &self.routers[index].book;
                let known = book.plan(SERVICE, at(now_ms)).expect("an order");
                let fresh = plan_book::PlanBook::default();
                // The orders come from a peer, without a share.
                fresh.take_plan(known.without_coordinator(), at(now_ms));
                self.routers[index].book = fresh;
                self.routers[index].report = new_report(index);
            }
            if self.routers[index].next_report_ms <= now_ms {
                self.routers[index].next_report_ms += REPORT_MS;
                self.send_report(index);
            }
        }
        if now_ms.is_multiple_of(DECISION_MS) && now_ms >= self.lost_until_ms {
            self.decide();
        }
        if self.conditions.disturbance == Disturbance::LostCoordinator && now_ms == 8_000 {
            self.lost_until_ms = now_ms + TAKEOVER_MS;
            self.coordinator = coordination::Coordination::new(new_order(), at(self.lost_until_ms));
        }
    }

    fn send_request(&mut self) {
        let index = self.random.usize(0..self.routers.len());
        let draw = self.random.f64();
        let router = &mut self.routers[index];
        let plan = router
            .book
            .plan(SERVICE, at(self.now_ms))
            .expect("an order");
        let is_new = plan.draw(draw).allows("v2");
        let route = match self.random.u32(0..10) {
            0 => 2,
            1..=3 => 1,
            _most => 0,
        };
        router.report.requests_total += 1;
        let counts = &mut router.report.routes[route];
        if is_new {
            counts.new.sent += 1;
            self.outcome.sent_new += 1;
            self.outcome.last_new_ms = self.now_ms;
        } else {
            counts.old.sent += 1;
            router.report.in_flight_old += 1;
        }
        self.outcome.requests += u64::from(self.now_ms < RAMP_MS);
        let behaviour = self.conditions.behaviour;
        let is_faulty = is_new
            && self.now_ms >= behaviour.from_ms
            && plan.share_millis >= behaviour.from_share
            && (!behaviour.on_one_route || route == 2);
        let mut bad = self.conditions.noise;
        // Between 0.7 and 1.7 of the usual time, mostly shorter.
        let mut factor = 0.7 + self.random.f64().powi(2);
        if is_faulty {
            bad += behaviour.bad;
            if self.random.f64() < behaviour.slow.0 {
                factor *= behaviour.slow.1;
            }
        }
        let latency = time::Duration::from_secs_f64(self.conditions.latency_ms * factor / 1e3);
        let outcome = if self.random.f64() < bad {
            rollout::VersionOutcome::Status(500)
        } else {
            rollout::VersionOutcome::Status(200)
        };
        let answered_ms = self.now_ms + u64::try_from(latency.as_millis()).expect("short");
        self.numbers += 1;
        self.answers.insert(
            (answered_ms, self.numbers),
            Answer {
                router: index,
                route,
                is_new,
                outcome,
                latency,
            },
        );
    }

    fn take_answer(&mut self, answer: &Answer) {
        let is_bad = answer.outcome.is_bad();
        let usual = self.conditions.latency_ms / 1e3;
        let is_slow = answer.latency.as_secs_f64() > 3.0 * usual;
        if answer.is_new && (is_bad || is_slow) {
            self.bad_ms.push(self.now_ms);
        }
        let report = &mut self.routers[answer.router].report;
        let counts = &mut report.routes[answer.route];
        let counts = if answer.is_new {
            &mut counts.new
        } else {
            // Requests from before a restart are not counted.
            report.in_flight_old = report.in_flight_old.saturating_sub(1);
            &mut counts.old
        };
        if is_bad {
            counts.bad += 1;
        } else {
            counts.latencies.record(answer.latency);
        }
    }

    fn send_report(&mut self, index: usize) {
        let router = &self.routers[index];
        let (cut, joined) = router.cut_off;
        let is_cut = (cut..joined).contains(&self.now_ms);
        if is_cut || self.now_ms < self.lost_until_ms || self.outcome.phase.is_final() {
            return;
        }
        let sent_at = at(self.now_ms);
        let report = router.report.clone();
        self.coordinator
            .take_report(report, at(self.now_ms + MESSAGE_MS));
        let plan = self.coordinator.plan().clone();
        router.book.take_plan(plan, sent_at);
    }

    fn decide(&mut self) {
        let now = at(self.now_ms);
        let ready = self
            .routers
            .iter()
            .map(|router| router.report.router.clone());
        let routers = coordination::RouterSet {
            ready: ready.collect(),
            reachable_share: 1.0,
        };
        let plan = self.coordinator.decide(&routers, BOUNDS, now).clone();
        self.outcome.max_share = self.outcome.max_share.max(plan.share_millis);
        if plan.phase.is_final() && !self.outcome.phase.is_final() {
            self.outcome.ended_ms = self.now_ms;
            for router in &self.routers {
                let (cut, joined) = router.cut_off;
                let is_cut = (cut..joined).contains(&self.now_ms);
                // Those that are out of reach stop by themselves when their plan is old.
                if !is_cut {
                    router
                        .book
                        .take_plan(plan.clone(), at(self.now_ms + MESSAGE_MS));
                }
            }
        }
        self.outcome.phase = plan.phase;
        self.call_store(now);
    }

    fn call_store(&mut self, now: boot_clock::BootInstant) {
        let is_away = self.conditions.disturbance == Disturbance::StoreAway && self.now_ms >= 3_000;
        match self.coordinator.store_task(now) {
            Some(coordination::StoreTask::Read) => {
                self.rows.now_ms = self.now_ms;
                let rows = (!is_away).then(|| self.rows.clone());
                self.coordinator.take_rows(rows, now);
            }
            Some(coordination::StoreTask::Write(wanted)) => {
                let is_same = wanted.replaces.record_version == self.rows.record_version;
                if is_same && !is_away {
                    self.rows.record_version += 1;
                    self.rows.record = Some(wanted.record);
                }
                self.coordinator.end_write();
            }
            None => {}
        }
    }
}

fn new_report(index: usize) -> evidence::RouterReport {
    let routes = ROUTES.iter().map(|route| evidence::RouteEvidence {
        route: (*route).to_owned(),
        ..evidence::RouteEvidence::default()
    });
    evidence::RouterReport {
        router: format!("r{index:03}"),
        service: SERVICE.to_owned(),
        order_version: 7,
        routes: routes.collect(),
        in_flight_old: 0,
        requests_total: 0,
    }
}
