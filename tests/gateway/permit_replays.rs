//! Replays of loads at one endpoint with a request limit: who asks whom for permits, and what is
//! sent.

use std::time;

use kumquatpulley::process::gateway::{boot_clock, endpoint_limit, endpoint_notice, permit_ledger};
use kumquatpulley::request::relay::request_rate;

use crate::common;

/// Length of a replay, and of its steps.
const REPLAY_MS: u64 = 30_000;

/// Span in which requests are counted.
const WINDOW_MS: u64 = 4_000;

/// Start of the time in which the use of the limit is measured; earlier, the owner is new.
const STEADY_MS: u64 = 8_000;

/// Part of the limit that has to be used while there are more requests than it allows.
const MIN_USE: f64 = 0.8;

/// Asks a second that the owner has to answer at most, beyond four for each permit.
const MAX_ASKS_PER_SECOND: f64 = 150.0;

/// A load, a limit and what happens meanwhile.
#[derive(Clone, Copy, Debug)]
struct Replay {
    routers: usize,
    /// Requests a second at each router.
    requests: f64,
    /// Limit of the endpoint, in requests a second.
    limit: f64,
    event: ReplayEvent,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum ReplayEvent {
    Nothing,
    /// All requests arrive at the first router.
    OneRouter,
    /// Routers switch to another owner, each at some time in these milliseconds from 10 s on. The
    /// one before goes on granting to those that have not.
    NewOwner(u64),
    /// Half of the routers take the other half for lost, and have an owner of their own.
    Partition,
    /// The limit falls to a third at 15 s.
    Falls,
}

/// Outcome of a replay.
struct ReplayResult {
    /// When requests were sent, in milliseconds.
    sent: Vec<u64>,
    asks: u64,
    /// Requests in the time in which the use of the limit is measured.
    requests: u64,
}

fn play(replay: Replay, seed: u64) -> ReplayResult {
    let mut random = fastrand::Rng::with_seed(seed);
    let start = time::Instant::now();
    let endpoint: endpoint_notice::EndpointIncarnation = ("e1".to_owned(), 1);
    let mut ledgers = [
        permit_ledger::PermitLedger::default(),
        permit_ledger::PermitLedger::default(),
    ];
    let mut denied_until = vec![0_u64; replay.routers];
    let delay = match replay.event {
        ReplayEvent::NewOwner(delay) => delay,
        _ => 1,
    };
    let switches: Vec<u64> = (0..replay.routers)
        .map(|_router| 10_000 + random.u64(..delay))
        .collect();
    let mut result = ReplayResult {
        sent: Vec::new(),
        asks: 0,
        requests: 0,
    };
    for now_ms in 0..REPLAY_MS {
        let at = time::Duration::from_millis(now_ms);
        for router in 0..replay.routers {
            let requests = match replay.event {
                ReplayEvent::OneRouter if router > 0 => 0.0,
                ReplayEvent::OneRouter => replay.requests * as_number(replay.routers),
                _ => replay.requests,
            };
            if random.f64() >= requests / 1_000.0 {
                continue;
            }
            result.requests += u64::from(now_ms >= STEADY_MS);
            if now_ms < denied_until[router] {
                continue;
            }
            let (owner, reachable_share) = match replay.event {
                ReplayEvent::NewOwner(_) => (usize::from(switches[router] <= now_ms), 1.0),
                ReplayEvent::Partition => (router % 2, 0.5),
                _ => (0, 1.0),
            };
            let limit = endpoint_limit::LimitObservation {
                rate: request_rate::RequestRate::from_per_second(limit_at(replay, now_ms)),
                at: boot_clock::BootInstant(at),
            };
            result.asks += 1;
            ledgers[owner].observe(&endpoint, limit, start + at);
            match ledgers[owner].decide(&endpoint, reachable_share, start + at) {
                permit_ledger::PermitDecision::Granted => result.sent.push(now_ms),
                permit_ledger::PermitDecision::Denied { wait } => {
                    let wait = wait.mul_f64(1.0 + 0.25 * random.f64());
                    denied_until[router] =
                        now_ms + u64::try_from(wait.as_millis()).expect("seconds");
                }
                permit_ledger::PermitDecision::Unlimited => panic!("the limit is in force"),
            }
        }
    }
    result
}

fn limit_at(replay: Replay, now_ms: u64) -> f64 {
    if replay.event == ReplayEvent::Falls && now_ms >= 15_000 {
        return replay.limit / 3.0;
    }
    replay.limit
}

fn as_number(count: usize) -> f64 {
    f64::from(u32::try_from(count).expect("few"))
}

/// What the limit allows in the window from `begin`, without any slack.
fn allowance(replay: Replay, begin: u64) -> f64 {
    let limits = (begin..begin + WINDOW_MS).map(|now_ms| limit_at(replay, now_ms) / 1_000.0);
    limits.sum()
}

fn the_sum_of_all_routers_keeps_the_limit_and_uses_it(replay: Replay) {
    for seed in 0..5 {
        let result = play(replay, seed);
        let count = |begin: u64| {
            let before = |limit: u64| result.sent.partition_point(|at| *at < limit);
            as_number(before(begin + WINDOW_MS) - before(begin))
        };
        for begin in (0..REPLAY_MS - WINDOW_MS).step_by(50) {
            let allowed = 1.5 * allowance(replay, begin) + 5.0;
            let sent = count(begin);
            assert!(
                sent <= allowed,
                "seed {seed}: {sent} at {begin} ms, allowed {allowed}"
            );
        }
        let sent = as_number(result.sent.len() - result.sent.partition_point(|at| *at < STEADY_MS));
        let limits = (STEADY_MS..REPLAY_MS).map(|now_ms| limit_at(replay, now_ms) / 1_000.0);
        let limited: f64 = limits.sum();
        let requests = f64::from(u32::try_from(result.requests).expect("few"));
        let possible = limited.min(requests);
        let used = sent / possible;
        assert!(used >= MIN_USE, "seed {seed}: {used} used");
        let asks = f64::from(u32::try_from(result.asks).expect("few")) * 1_000.0
            / f64::from(u32::try_from(REPLAY_MS).expect("small"));
        let max_asks = MAX_ASKS_PER_SECOND + 4.0 * replay.limit;
        assert!(asks <= max_asks, "seed {seed}: {asks} asks a second");
    }
}

const fn replay(routers: usize, requests: f64, limit: f64, event: ReplayEvent) -> Replay {
    Replay {
        routers,
        requests,
        limit,
        event,
    }
}

/// A limit of zero still lets a request through now and then; its answer may end the limit.
fn a_limit_of_zero_is_tested() {
    let result = play(replay(14, 2.5, 0.0, ReplayEvent::Nothing), 1);
    let count = result.sent.len();
    assert!((2..=6).contains(&count), "{count}");
}

/// The endpoint's limit has ended; an observation from before does not bring it back.
fn an_ended_limit_needs_no_permits() {
    let endpoint: endpoint_notice::EndpointIncarnation = ("e1".to_owned(), 1);
    let observed = |millirequests: Option<u64>, millis| endpoint_limit::LimitObservation {
        rate: millirequests.map(request_rate::RequestRate),
        at: boot_clock::BootInstant(time::Duration::from_millis(millis)),
    };
    let mut ledger = permit_ledger::PermitLedger::default();
    let now = time::Instant::now();
    ledger.observe(&endpoint, observed(Some(1_000), 10), now);
    ledger.observe(&endpoint, observed(None, 20), now);
    let newest = ledger.observe(&endpoint, observed(Some(1_000), 15), now);
    assert_eq!(newest, Some(observed(None, 20)));
    let decision = ledger.decide(&endpoint, 1.0, now);
    assert_eq!(decision, permit_ledger::PermitDecision::Unlimited);
}

common::cases! {
    one_router: the_sum_of_all_routers_keeps_the_limit_and_uses_it(replay(14, 2.5, 2.3, ReplayEvent::OneRouter));
    spread_load: the_sum_of_all_routers_keeps_the_limit_and_uses_it(replay(14, 2.5, 2.3, ReplayEvent::Nothing));
    many_routers: the_sum_of_all_routers_keeps_the_limit_and_uses_it(replay(195, 0.5, 2.3, ReplayEvent::Nothing));
    heavy_load: the_sum_of_all_routers_keeps_the_limit_and_uses_it(replay(195, 5.0, 2.3, ReplayEvent::Nothing));
    high_limit: the_sum_of_all_routers_keeps_the_limit_and_uses_it(replay(195, 1.0, 60.0, ReplayEvent::Nothing));
    light_load: the_sum_of_all_routers_keeps_the_limit_and_uses_it(replay(14, 0.1, 2.3, ReplayEvent::Nothing));
    new_owner: the_sum_of_all_routers_keeps_the_limit_and_uses_it(replay(14, 2.5, 2.3, ReplayEvent::NewOwner(3_000)));
    new_owner_many: the_sum_of_all_routers_keeps_the_limit_and_uses_it(replay(195, 1.0, 30.0, ReplayEvent::NewOwner(3_000)));
    new_owner_slow_news: the_sum_of_all_routers_keeps_the_limit_and_uses_it(replay(195, 4.0, 60.0, ReplayEvent::NewOwner(6_000)));
    partition: the_sum_of_all_routers_keeps_the_limit_and_uses_it(replay(14, 5.0, 20.0, ReplayEvent::Partition));
    falling_limit: the_sum_of_all_routers_keeps_the_limit_and_uses_it(replay(14, 5.0, 12.0, ReplayEvent::Falls));
    zero: a_limit_of_zero_is_tested();
    ended: an_ended_limit_needs_no_permits();
}
