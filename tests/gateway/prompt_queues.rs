//! Replays of a burst of prompts of three priorities, by the baseline and by trunk reservation.

use std::time;

use kumquatpulley::request::relay::selection::SelectionRule as _;
use kumquatpulley::request::relay::{report, selection, service_load, trunk_reservation};
use kumquatpulley::version::traffic;

use crate::common;
use crate::support::system::System;
use crate::support::{caller, fakes, prompt_burst};

const BASELINE: prompt_burst::RuleSource = |_rank, _left, _limit| Box::new(selection::RoomRule);
const RESERVATION: prompt_burst::RuleSource =
    |rank, left, limit| Box::new(trunk_reservation::TrunkReservation::new(rank, left, limit));

fn shares(counts: [prompt_burst::PromptCounts; 3]) -> [f64; 3] {
    counts.map(|count| count.share())
}

/// Guards against an order of the two most urgent priorities that contradicts them, and against one
/// that is bought with fewer prompts in goal or with prompts that starve.
fn urgent_prompts_are_served_no_worse() {
    let baseline = prompt_burst::replayed_all(BASELINE);
    let reserved = prompt_burst::replayed_all(RESERVATION);
    println!("baseline: {baseline:?}\nreserved: {reserved:?}");
    for counts in baseline.iter().chain(&reserved) {
        assert_eq!(counts.served, counts.arrived);
    }
    let in_goal = |counts: &[prompt_burst::PromptCounts; 3]| -> u32 {
        counts.iter().map(|count| count.in_goal).sum()
    };
    assert!(in_goal(&reserved) >= in_goal(&baseline));
    let [first, second, _last] = shares(reserved);
    assert!(first >= second, "{first} {second}");
}

/// Guards against a smaller share of a higher priority, for all priorities.
fn a_higher_priority_has_no_smaller_share() {
    let shares = shares(prompt_burst::replayed_all(RESERVATION));
    assert!(shares.is_sorted_by(|one, other| one >= other), "{shares:?}");
}

fn engine(generating: u32, pending: u32) -> selection::EngineCandidate {
    let run = report::EngineRun {
        request: "other".to_owned(),
        tokens: 9_000,
        events: 1,
    };
    selection::EngineCandidate {
        report: Some(report::EngineReport {
            incarnation: 0,
            is_leaving: false,
            waiting: pending.saturating_sub(1),
            running: generating + pending.min(1),
            memory_used: 9_000 * u64::from(generating),
            memory_total: 88_000,
            runs: Some(vec![run; generating as usize]),
        }),
        recent_requests: 0,
    }
}

/// A lower rank leaves the last room and the place behind a prompt to higher ones, and nothing is
/// left when its wait is over, so that it does not starve.
fn the_reserve_shrinks(rank: u32, left_ms: u64, generating: u32, pending: u32, is_admitted: bool) {
    let limit = time::Duration::from_secs(1);
    let left = time::Duration::from_millis(left_ms);
    let rule = trunk_reservation::TrunkReservation::new(rank, left, limit);
    let engine = engine(generating, pending);
    assert_eq!(rule.admits(&engine, 9_000), is_admitted);
}

/// The rank is the number of higher priorities; streams of one priority keep the rule without ranks.
fn ranks_follow_the_routes() {
    let route = |name: &str, kind, priority| traffic::TrafficRoute {
        name: name.to_owned(),
        host: "h".to_owned(),
        prefix: format!("/{name}/"),
        kind,
        timeout: time::Duration::from_secs(1),
        goal: None,
        gap_goal: None,
        priority,
        services: vec![traffic::ServiceShare {
            service: name[..1].to_owned(),
            weight: 1,
        }],
        attempts: 1,
        is_public: true,
    };
    let stream = traffic::RepeatKind::Stream { is_resumable: true };
    let version = traffic::TrafficVersion::from(traffic::TrafficParts {
        routes: vec![
            route("m0", stream, 0),
            route("m2", stream, 2),
            route("m5", stream, 5),
            route("n1", stream, 1),
            route("n0", traffic::RepeatKind::Once, 0),
        ],
        ..traffic::TrafficParts::default()
    });
    let ranks = [0, 1, 2, 5].map(|priority| version.stream_rank("m", priority));
    assert_eq!(ranks, [Some(0), Some(1), Some(1), Some(2)]);
    assert_eq!(version.stream_rank("n", 1), None);
    assert_eq!(version.stream_rank("other", 0), None);
}

/// Guards against a rule that routers have but do not use, and against one that is in force where
/// all streams have the same priority.
fn the_routes_switch_the_rule(other_priority: u8, rule: &str) {
    let config = format!(
        r#"{{"version":1,"routes":[
        {{"name":"late","host":"h","prefix":"/late/","kind":"stream","timeout_ms":20000,"goal_ms":1500,
         "service":"m","attempts":5,"can_resume":true,"gap_goal_ms":700,"priority":2}},
        {{"name":"soon","host":"h","prefix":"/soon/","kind":"stream","timeout_ms":20000,"goal_ms":1500,
         "service":"m","attempts":5,"can_resume":true,"gap_goal_ms":700,"priority":{other_priority}}}],
        "services":[{{"name":"m","engine":{{"backups":true,"moves":true}}}}],
        "limits":{{"max_header_bytes":4096,"max_body_bytes":10000,"header_timeout_ms":1000,"idle_timeout_ms":5000}},
        "tenants":[{{"name":"w","api_keys":["k"]}}]}}"#
    );
    let system = System::start_configured(1, &config);
    system.set_modes(fakes::EndpointMode::MemoryInUse);
    let tokens = "Kumquatpulley-Token-Counts: 8000,2000\r\nKumquatpulley-Length-Hint: 1000\r\n";
    let text = caller::request("/late/1", "r1", "k");
    let text = text.replace("Content-Length", &format!("{tokens}Content-Length"));
    let answer = caller::exchange((system.ip(), 8227).into(), text.as_bytes());
    let logs = system.logs();
    // Full engines get the prompt once its wait limit is over.
    assert!(answer.expect("an answer").is_complete, "{logs}");
    let held = logs
        .lines()
        .find(|line| line.contains("prompt searches further engines"));
    assert!(held.is_some_and(|line| line.contains(rule)), "{logs}");
}

/// Guards against a count that leaks: it would end all waits for good.
fn waits_are_counted_until_they_end() {
    let loads = service_load::ServiceLoads::default();
    let waits = [loads.prompts.start(), loads.prompts.start()];
    assert_eq!((loads.prompts.count(), loads.calls.count()), (2, 0));
    drop(waits);
    assert_eq!(loads.prompts.count(), 0);
}

common::cases! {
    wait_count: waits_are_counted_until_they_end();
    different_priorities: the_routes_switch_the_rule(0, "TrunkReservation { rank: 1");
    same_priority: the_routes_switch_the_rule(2, "RoomRule");
    prompt_burst: urgent_prompts_are_served_no_worse();
    prompt_order: a_higher_priority_has_no_smaller_share();
    ranks: ranks_follow_the_routes();
    last_room_for_rank_0: the_reserve_shrinks(0, 1_000, 8, 0, true);
    last_room_for_rank_2: the_reserve_shrinks(2, 1_000, 8, 0, false);
    last_room_after_the_wait: the_reserve_shrinks(2, 0, 8, 0, true);
    short_queue_for_rank_0: the_reserve_shrinks(0, 1_000, 0, 1, true);
    short_queue_for_rank_1: the_reserve_shrinks(1, 1_000, 0, 1, false);
    short_queue_later: the_reserve_shrinks(1, 500, 0, 1, true);
    long_queue: the_reserve_shrinks(0, 1_000, 0, 2, false);
}
