//! Retry tokens that routers give to each other: rules, replays of crashing engines, the message, and
//! real gateways.

use std::sync;
use std::thread;
use std::time;

use kumquatpulley::connection::{peer_wire, token_wire};
use kumquatpulley::process::gateway::{budgets, settings};
use kumquatpulley::process::limits::token_transfer;
use kumquatpulley::process::view;
use kumquatpulley::request::key;
use kumquatpulley::request::relay::context;
use kumquatpulley::request::relay::context::RetryLimiter as _;

use crate::common;
use crate::support::system::System;
use crate::support::{caller, fakes};

const SERVICE: &str = "m";

/// Length of a replay and of its steps, which are those of a stream that waits for a token.
const REPLAY_MS: u64 = 60_000;
const STEP_MS: u64 = 50;
const STEP: usize = 50;

/// Window of the operators' limit.
const WINDOW_MS: u64 = 10_000;

/// Interval of a router's requests, of the crashes, and the length of a stream.
const REQUEST_MS: u64 = 2_000;
const CRASH_MS: u64 = 3_000;
const STREAM_MS: u64 = 6_000;

/// Round trip of a question to another router.
const TRIP_MS: u64 = 10;

/// A limit that 75 routers share, and the part of the streams that breaks at each crash.
#[derive(Clone, Copy, Debug)]
struct Replay {
    ratio: f64,
    slack: f64,
    broken_share: f64,
}

#[derive(Debug, Default)]
struct ReplayResult {
    /// When retries were sent and requests arrived, in milliseconds.
    retries: Vec<u64>,
    requests: Vec<u64>,
    /// Streams that waited for a token longer than a gap between two crashes allows.
    waiting: u32,
    questions: u32,
}

const ROUTERS: u32 = 75;

/// Wait after which a broken stream counts as waiting: the wanted pause of a stream.
const WAIT_MS: u64 = 700;

#[derive(Debug)]
struct Members;

impl view::MemberView for Members {
    fn home(&self) -> key::HomeName {
        key::HomeName {
            router: "r0".to_owned(),
            incarnation: 1,
        }
    }

    fn is_own_home(&self, _home: &key::HomeName) -> bool {
        false
    }

    fn find(&self, _router: &str) -> Option<peer_wire::MemberWire> {
        None
    }

    fn ready_members(&self) -> Vec<peer_wire::MemberWire> {
        Vec::new()
    }

    fn sharing_routers(&self, _now: time::Instant) -> usize {
        ROUTERS as usize
    }
}

fn budget(replay: Replay) -> budgets::ServiceBudgets {
    let bounds = settings::GatewayBounds {
        propagation_limit: time::Duration::from_secs(2),
        max_key_age: None,
        stop_grace: time::Duration::from_secs(8),
        max_address_ttl: time::Duration::from_secs(5),
        reregistration_grace: time::Duration::from_secs(5),
        retry_ratio: replay.ratio,
        retry_slack: replay.slack,
        retry_window: time::Duration::from_millis(WINDOW_MS),
        expose_share: 0.1,
        expose_slack: 50.0,
        rollback_limit: time::Duration::from_secs(5),
    };
    budgets::ServiceBudgets::new(bounds, sync::Arc::new(Members))
}

/// One router: its streams in progress by their end, and those that wait since some time.
#[derive(Debug, Default)]
struct Router {
    running: Vec<u64>,
    waiting: Vec<u64>,
}

fn play(replay: Replay, has_transfers: bool, seed: u64) -> ReplayResult {
    let mut random = fastrand::Rng::with_seed(seed);
    let start = time::Instant::now();
    let budgets: Vec<budgets::ServiceBudgets> =
        (0..ROUTERS).map(|_router| budget(replay)).collect();
    let mut routers: Vec<Router> = (0..ROUTERS).map(|_router| Router::default()).collect();
    let mut result = ReplayResult::default();
    for now_ms in (0..REPLAY_MS).step_by(STEP) {
        let now = start + time::Duration::from_millis(now_ms);
        for number in 0..routers.len() {
            let router = &mut routers[number];
            router.running.retain(|end| *end > now_ms);
            #[expect(clippy::cast_precision_loss, reason = "a few thousand")]
            let chance = STEP_MS as f64 / REQUEST_MS as f64;
            if random.f64() < chance {
                budgets[number].deposit(SERVICE, now);
                result.requests.push(now_ms);
                router.running.push(now_ms + STREAM_MS);
            }
            if now_ms > 0 && now_ms % CRASH_MS == 0 {
                let before = router.running.len();
                router
                    .running
                    .retain(|_end| random.f64() >= replay.broken_share);
                let broken = before - router.running.len();
                router.waiting.extend(vec![now_ms; broken]);
            }
            let mut still_waiting = Vec::new();
            for since in std::mem::take(&mut routers[number].waiting) {
                let urgency = context::RetryUrgency::Broken;
                if budgets[number].withdraw(SERVICE, urgency, now) {
                    result.retries.push(now_ms);
                    result.waiting += u32::from(now_ms - since > WAIT_MS);
                    routers[number].running.push(now_ms + STREAM_MS / 2);
                    continue;
                }
                still_waiting.push(since);
                if !has_transfers || !budgets[number].begin_ask(SERVICE, now) {
                    continue;
                }
                let chosen = token_transfer::choose_routers(routers.len() - 1, &mut random);
                let others = chosen
                    .into_iter()
                    .map(|other| if other < number { other } else { other + 1 });
                let given: Vec<u32> = others
                    .map(|other| budgets[other].give(SERVICE, 1, now).given)
                    .collect();
                result.questions += 1;
                let at = now + time::Duration::from_millis(TRIP_MS);
                budgets[number].finish_ask(SERVICE, &given, at);
            }
            routers[number].waiting = still_waiting;
        }
    }
    let left: usize = routers.iter().map(|router| router.waiting.len()).sum();
    result.waiting += u32::try_from(left).expect("few");
    result
}

fn count_in(times: &[u64], from: u64) -> f64 {
    let within = times
        .iter()
        .filter(|at| (from..from + WINDOW_MS).contains(*at));
    f64::from(u32::try_from(within.count()).expect("few"))
}

fn assert_within_limit(replay: Replay, result: &ReplayResult, seed: u64) {
    for from in (0..REPLAY_MS - WINDOW_MS).step_by(STEP) {
        let retries = count_in(&result.retries, from);
        let limit = replay.slack + replay.ratio * count_in(&result.requests, from);
        assert!(
            retries <= limit,
            "seed {seed}, from {from} ms: {retries} retries, {limit} allowed"
        );
    }
}

/// Guards against transfers that exceed the limit while more streams break than it lets resume.
fn retries_stay_within_the_limit(replay: Replay) {
    for seed in 0..6 {
        let result = play(replay, true, seed);
        assert_within_limit(replay, &result, seed);
    }
}

/// Guards against transfers that let the routers together retry more than the operators allow, and
/// against streams that wait at one router while others have tokens.
fn fewer_streams_wait_within_the_limit(replay: Replay) {
    for seed in 0..6 {
        let baseline = play(replay, false, seed);
        let result = play(replay, true, seed);
        assert_within_limit(replay, &result, seed);
        println!(
            "{replay:?} seed {seed}: {} of {} waited, {} of {} with transfers; {} questions",
            baseline.waiting,
            baseline.retries.len(),
            result.waiting,
            result.retries.len(),
            result.questions
        );
        assert!(result.waiting < baseline.waiting, "seed {seed}");
    }
}

fn gift(available: f64, used: u32, share: f64, expected_demand: u32) -> token_transfer::GiftParams {
    token_transfer::GiftParams {
        wanted: 1,
        available,
        used,
        share,
        expected_demand,
    }
}

fn a_router_gives(params: token_transfer::GiftParams, expected: u32) {
    assert_eq!(token_transfer::tokens_to_give(&params), expected);
}

/// Guards against routers that give away tokens which they saved over more than one window: the sum
/// of all gifts in a window would not be bounded by the limit.
fn gifts_stay_within_the_share_of_a_window() {
    let replay = Replay {
        ratio: 0.0,
        slack: 300.0,
        broken_share: 0.0,
    };
    let giver = budget(replay);
    let start = time::Instant::now();
    let mut times = Vec::new();
    for now_ms in (0..REPLAY_MS).step_by(STEP) {
        let now = start + time::Duration::from_millis(now_ms);
        for _token in 0..giver.give(SERVICE, 5, now).given {
            times.push(now_ms);
        }
    }
    assert!(!times.is_empty(), "the router never gave a token");
    let share = replay.slack / f64::from(ROUTERS);
    for from in (0..REPLAY_MS - WINDOW_MS).step_by(STEP) {
        assert!(count_in(&times, from) <= share, "from {from} ms: {times:?}");
    }
}

/// Guards against tokens that are made by a transfer: what is given is gone at the giver.
fn a_gift_is_withdrawn_from_the_giver() {
    let replay = Replay {
        ratio: 0.8,
        slack: 300.0,
        broken_share: 0.0,
    };
    let (giver, untouched) = (budget(replay), budget(replay));
    let now = time::Instant::now();
    for budgets in [&giver, &untouched] {
        for _request in 0..20 {
            budgets.deposit(SERVICE, now);
        }
    }
    let count = |budgets: &budgets::ServiceBudgets| {
        let urgency = context::RetryUrgency::Broken;
        (0..20)
            .filter(|_try| budgets.withdraw(SERVICE, urgency, now))
            .count()
    };
    let gift = giver.give(SERVICE, 20, now);
    // A reply that is lost loses as many.
    assert_eq!(gift.given, token_transfer::WANTED_TOKENS);
    assert_eq!(count(&giver) + 1, count(&untouched));
}

/// Guards against received tokens that are used in a later window than they were counted in, or for
/// requests that did not break.
fn received_tokens_are_for_broken_streams_and_expire() {
    let replay = Replay {
        ratio: 0.0,
        slack: 0.0,
        broken_share: 0.0,
    };
    let budgets = budget(replay);
    let now = time::Instant::now();
    let withdraw = |urgency, now| budgets.withdraw(SERVICE, urgency, now);
    while withdraw(context::RetryUrgency::Broken, now) {}
    assert!(budgets.begin_ask(SERVICE, now));
    assert!(!budgets.begin_ask(SERVICE, now), "one question at a time");
    budgets.finish_ask(SERVICE, &[1, 1], now);
    assert!(!withdraw(context::RetryUrgency::Fresh, now));
    assert!(withdraw(context::RetryUrgency::Broken, now));
    let later = now + time::Duration::from_secs(1);
    assert!(!withdraw(context::RetryUrgency::Broken, later));
}

/// Guards against routers that ask without a pause while no other has a token.
fn questions_without_tokens_become_rare() {
    let mut schedule = token_transfer::AskSchedule::default();
    let start = time::Instant::now();
    let mut questions = 0;
    for now_ms in (0..10_000).step_by(10) {
        let now = start + time::Duration::from_millis(now_ms);
        if schedule.begin(now) {
            questions += 1;
            schedule.finish(0, 0.0, now);
        }
    }
    // 200 and 400 ms, then 800 ms.
    assert_eq!(questions, 2 + 12);
}

/// Retries that the gateways of [`streams_resume_with_tokens_of_other_gateways`] may send together.
/// One of three then holds six tokens at most, and gets less than one in each 3 s.
const FEW_RETRIES: u32 = 30;

/// Streams at one gateway. About half of them break, which takes more tokens than it has, and fewer
/// than all three gateways have.
const STREAM_COUNT: u32 = 24;

/// Guards against streams that wait beyond their deadline for tokens which other gateways hold.
fn streams_resume_with_tokens_of_other_gateways() {
    let system = System::start_with_retry_slack(3, FEW_RETRIES);
    system.wait_for("the gateways know each other", || {
        system.gateway_ips().iter().all(|ip| {
            let text = "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n";
            let answer = caller::exchange((*ip, 9464).into(), text.as_bytes());
            answer.is_some_and(|answer| answer.text().contains("kumquatpulley_members_ready 3"))
        })
    });
    system.first.set_mode(fakes::EndpointMode::ForeignEvents(4));
    let ip = system.ip();
    let sending = (0..STREAM_COUNT)
        .map(|number| thread::spawn(move || System::send(ip, "/stream/1", &format!("r{number}"))));
    let sending: Vec<_> = sending.collect();
    for stream in sending {
        let answer = stream.join().expect("no panic").expect("an answer");
        assert!(answer.is_complete, "{}", system.logs());
        assert_eq!(answer.text(), caller::complete_stream());
    }
    let logs = system.logs();
    let received = logs.lines().filter(|line| {
        line.contains("retry tokens of other routers") && !line.contains(r#""received":0"#)
    });
    assert!(received.count() > 0, "{logs}");
    let retries = (0..STREAM_COUNT).map(|number| system.arrivals(&format!("r{number}")).len() - 1);
    let retries = u32::try_from(retries.sum::<usize>()).expect("few");
    assert!(
        retries <= FEW_RETRIES + STREAM_COUNT * 8 / 10,
        "{retries} retries"
    );
}

/// Guards against a changed layout: routers of this version read the message of later ones.
fn a_question_has_this_layout() {
    let wire = token_wire::RetryTokensWire {
        service: SERVICE.to_owned(),
        wanted: 1,
    };
    let config = bincode::config::standard();
    let bytes = bincode::serde::encode_to_vec(&wire, config).expect("plain data");
    let (read, _length): ((String, u32), usize) =
        bincode::serde::decode_from_slice(&bytes, config).expect("the same layout");
    assert_eq!(read, (SERVICE.to_owned(), 1));
    let reply = peer_wire::ReplyBody::RetryTokens(3);
    let bytes = bincode::serde::encode_to_vec(&reply, config).expect("plain data");
    assert_eq!(bytes.last(), Some(&3));
}

common::cases! {
    spare_token: a_router_gives(gift(3.0, 0, 8.0, 2), 1);
    nothing_spare: a_router_gives(gift(2.9, 0, 8.0, 2), 0);
    needed_here: a_router_gives(gift(4.0, 0, 8.0, 4), 0);
    share_used_up: a_router_gives(gift(5.0, 6, 8.0, 2), 0);
    share_left: a_router_gives(gift(5.0, 5, 8.0, 2), 1);
    no_share: a_router_gives(gift(5.0, 0, 0.0, 0), 0);
    share_of_a_window: gifts_stay_within_the_share_of_a_window();
    sum_of_tokens: a_gift_is_withdrawn_from_the_giver();
    received: received_tokens_are_for_broken_streams_and_expire();
    rare_questions: questions_without_tokens_become_rare();
    layout: a_question_has_this_layout();
    quarter_breaks: fewer_streams_wait_within_the_limit(
        Replay { ratio: 0.8, slack: 300.0, broken_share: 0.25 });
    gateways: streams_resume_with_tokens_of_other_gateways();
    quarter_breaks_with_less: fewer_streams_wait_within_the_limit(
        Replay { ratio: 0.8, slack: 100.0, broken_share: 0.25 });
    half_breaks: retries_stay_within_the_limit(
        Replay { ratio: 0.8, slack: 300.0, broken_share: 0.5 });
    half_breaks_with_less: retries_stay_within_the_limit(
        Replay { ratio: 0.5, slack: 200.0, broken_share: 0.5 });
    too_few_tokens: retries_stay_within_the_limit(
        Replay { ratio: 0.3, slack: 200.0, broken_share: 0.25 });
}
