//! Decisions a second and their quality, as one JSON line; fails when a bound is not kept.
//!
//! The processor bound is what the aim leaves to one of 2,800 routers: 29,000 requests and
//! 14 million tokens a second in all, and at most 3.1 % of a core for decisions.

use std::hint;
use std::process;
use std::time;

use kumquatpulley::connection::peer_wire;
use kumquatpulley::process::endpoints::placement;
use kumquatpulley::process::endpoints::prefix_index;
use kumquatpulley::process::endpoints::subset;
use kumquatpulley::process::limits::admission;
use kumquatpulley::process::limits::admission_params;
use kumquatpulley::process::limits::limit_split;
use kumquatpulley::request::cursor;
use kumquatpulley::request::digest;
use kumquatpulley::request::outcome;
use kumquatpulley::request::sequencer;

#[path = "support/placement_load.rs"]
mod placement_load;

const ROUTERS: f64 = 2_800.0;
const REQUESTS_PER_SECOND: f64 = 29_000.0;
const TOKENS_PER_SECOND: f64 = 14_000_000.0;
const CORE_SHARE: f64 = 0.031;

/// Divisions of limits a second: 200 workspaces, twice a second.
const DIVISIONS_PER_SECOND: f64 = 400.0;

const MEASURE_TIME: time::Duration = time::Duration::from_millis(500);
const BATCH: u32 = 256;

/// One timed decision.
#[derive(Debug)]
#[derive(serde::Serialize)]
struct TimedDecision {
    name: &'static str,
    nanos: f64,
    per_second: f64,
}

/// Everything that one run measured.
#[derive(Debug)]
#[derive(serde::Serialize)]
struct DecisionSummary {
    decisions: Vec<TimedDecision>,
    placement: Vec<placement_load::LoadSummary>,
    core_percent_at_aim: f64,
    core_percent_bound: f64,
    failures: Vec<String>,
}

fn main() -> process::ExitCode {
    let decisions = vec![
        time_policy("place/prefix", &placement::PrefixPlacement::default()),
        time_policy("place/round-robin", &placement::RoundRobin::default()),
        time_policy("place/random", &placement::RandomChoice),
        time_lookup(),
        time_admission(),
        time_key_table(),
        time_sequencer(),
        time_division(),
        time_subset(),
    ];
    let placement = placement_load::run_all();
    let core_percent_at_aim = 100.0 * core_share_at_aim(&decisions);
    let mut failures = placement_load::failures(&placement);
    if core_percent_at_aim > 100.0 * CORE_SHARE {
        failures.push(format!(
            "decisions take {core_percent_at_aim:.2} % of a core"
        ));
    }
    let summary = DecisionSummary {
        decisions,
        placement,
        core_percent_at_aim,
        core_percent_bound: 100.0 * CORE_SHARE,
        failures,
    };
    let line = serde_json::to_string(&summary).expect("summary is JSON");
    println!("{line}");
    if summary.failures.is_empty() {
        return process::ExitCode::SUCCESS;
    }
    process::ExitCode::FAILURE
}

/// Part of a core that one router of the aim spends on these decisions.
fn core_share_at_aim(decisions: &[TimedDecision]) -> f64 {
    let nanos = |name: &str| {
        let timed = decisions.iter().find(|timed| timed.name == name);
        timed.map_or(f64::INFINITY, |timed| timed.nanos)
    };
    let request = nanos("place/prefix")
        + nanos("lookup/4 KiB prompt, 64 endpoints")
        + nanos("admit")
        + nanos("key table");
    let requests = REQUESTS_PER_SECOND / ROUTERS * request;
    let tokens = TOKENS_PER_SECOND / ROUTERS * nanos("sequence token");
    let divisions = DIVISIONS_PER_SECOND * nanos("divide limit, 2800 routers");
    (requests + tokens + divisions) / 1e9
}

/// Runs `decide` in batches for [`MEASURE_TIME`].
fn measure(name: &'static str, mut decide: impl FnMut()) -> TimedDecision {
    for _index in 0..BATCH {
        decide();
    }
    let started = time::Instant::now();
    let mut count = 0_u32;
    while started.elapsed() < MEASURE_TIME {
        for _index in 0..BATCH {
            decide();
        }
        count += 1;
    }
    let seconds = started.elapsed().as_secs_f64();
    let decisions = f64::from(count) * f64::from(BATCH);
    TimedDecision {
        name,
        nanos: seconds * 1e9 / decisions,
        per_second: decisions / seconds,
    }
}

fn time_policy(name: &'static str, policy: &dyn placement::PlacementPolicy) -> TimedDecision {
    let mut random = fastrand::Rng::with_seed(1);
    let candidates: Vec<_> = (0..subset::SUBSET_SIZE)
        .map(|index| placement::Candidate {
            is_same_zone: index % 4 == 0,
            in_flight: random.u32(..4),
            in_flight_at_report: random.u32(..4),
            reported_load: random.u32(..60),
            slots: 64,
            cached_blocks: if index % 8 == 0 {
                random.usize(..40)
            } else {
                0
            },
        })
        .collect();
    let request = placement::PlacementRequest { prompt_blocks: 40 };
    measure(name, || {
        hint::black_box(policy.choose(&request, hint::black_box(&candidates), &mut random));
    })
}

fn time_lookup() -> TimedDecision {
    let prompt = vec![b'x'; 4096];
    let blocks = prefix_index::prompt_blocks(&prompt);
    let mut indexes = vec![prefix_index::PrefixIndex::default(); subset::SUBSET_SIZE];
    for (count, index) in indexes.iter_mut().enumerate() {
        index.insert_expected(&blocks[..count.min(blocks.len())]);
    }
    measure("lookup/4 KiB prompt, 64 endpoints", || {
        let blocks = prefix_index::prompt_blocks(hint::black_box(&prompt));
        let best = indexes
            .iter()
            .map(|index| index.matched_blocks(&blocks))
            .max();
        hint::black_box(best);
    })
}

fn time_admission() -> TimedDecision {
    let gate = admission::AdmissionGate::new();
    let limit = admission_params::LocalLimit {
        share: 64,
        max_queue: 64,
    };
    measure("admit", || {
        let deadline = time::Instant::now() + time::Duration::from_secs(30);
        let admitted = gate.admit("brides", limit, admission_params::Priority::New, deadline);
        drop(hint::black_box(async_std::task::block_on(admitted)));
    })
}

fn time_key_table() -> TimedDecision {
    let table = outcome::KeyTable::new(outcome::TableLimits::default());
    let call = peer_wire::CallWire {
        key: String::new(),
        workspace: "brides".to_owned(),
        service: "stock".to_owned(),
        method: "POST".to_owned(),
        path: "/reserve".to_owned(),
        content_type: Some("application/json".to_owned()),
        body: vec![b'x'; 512].into(),
        first_send: true,
        deadline_millis: 1_000,
    };
    let mut count: u64 = 0;
    measure("key table", || {
        count += 1;
        let arrival = outcome::KeyArrival {
            key: digest::CallDigest::of(&[&count.to_be_bytes()]),
            request: digest::CallDigest::of_request(&call),
            made_at: None,
            first_send: true,
        };
        // The clock runs a thousand times faster than the calls of the aim come in.
        let now = time::Duration::from_millis(1_000_000 + 100 * count);
        if let outcome::TableEntry::New(ticket, _pending) = table.enter(arrival, now) {
            ticket.finish(peer_wire::CallOutcomeWire::Answered {
                status: 200,
                content_type: None,
                body: vec![b'y'; 128].into(),
            });
        }
    })
}

fn time_sequencer() -> TimedDecision {
    let attempt = cursor::AttemptId::random();
    let mut tokens = sequencer::TokenSequencer::new(Vec::new());
    tokens.open(attempt);
    measure("sequence token", || {
        if tokens.len() == 4_096 {
            tokens.restart();
            tokens.open(attempt);
        }
        hint::black_box(tokens.offer(attempt, tokens.len(), " chair"));
    })
}

fn time_division() -> TimedDecision {
    let names: Vec<String> = (0..2_800).map(|index| format!("router-{index}")).collect();
    let mut random = fastrand::Rng::with_seed(1);
    let facts: Vec<_> = names
        .iter()
        .map(|router| limit_split::RouterDemand {
            router,
            requests: random.u32(..30),
        })
        .collect();
    measure("divide limit, 2800 routers", || {
        let own = hint::black_box(facts[0]);
        hint::black_box(limit_split::split_limit(9_000, "brides", own, &facts));
    })
}

fn time_subset() -> TimedDecision {
    let names: Vec<String> = (0..10_000).map(|index| format!("runner-{index}")).collect();
    let endpoints: Vec<_> = names
        .iter()
        .enumerate()
        .map(|(index, name)| subset::SubsetEndpoint {
            name,
            is_same_zone: index % 15 == 0,
        })
        .collect();
    measure("choose subset of 10000", || {
        let chosen = subset::choose_subset("router-1", &endpoints, subset::SUBSET_SIZE);
        hint::black_box(chosen);
    })
}
