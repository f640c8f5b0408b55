//! Callers outside the limits at the own interface: the router stays within the memory and the descriptors
//! that its settings allow, and still answers ordinary callers.

#[path = "../common/mod.rs"]
mod common;
#[path = "../../examples/support/port_claim.rs"]
mod port_claim;
#[path = "../support/program.rs"]
mod program;
#[path = "../support/stand_in.rs"]
mod stand_in;

mod crowd;
mod crowd_router;
mod process_usage;

use std::sync;
use std::thread;
use std::time;

/// `max_body_bytes` of the router.
const MAX_BODY_BYTES: usize = 2 * 1024 * 1024;

/// `max_connections` of the router.
const MAX_CONNECTIONS: usize = 128;

/// Bytes of callers that a router may hold with default settings, 16 bodies of the default size.
const CALLER_MEMORY_BYTES: usize = 64 * 1024 * 1024;

/// Memory of a connection besides counted bytes: its head (8 KiB at most), read buffers and its task.
const CONNECTION_BYTES: usize = 64 * 1024;

/// Memory that the allocator may keep beyond what is in use: a quarter of the counted bytes.
const ALLOCATOR_BYTES: usize = CALLER_MEMORY_BYTES / 4;

/// Growth of the resident memory that a crowd may cause.
const MAX_GROWTH: usize =
    CALLER_MEMORY_BYTES + MAX_CONNECTIONS * CONNECTION_BYTES + ALLOCATOR_BYTES;

/// Size of a crowd that stays within the connection limit; its bodies are three times
/// [`CALLER_MEMORY_BYTES`].
const CROWD_SIZE: usize = 3 * CALLER_MEMORY_BYTES / MAX_BODY_BYTES;

/// Descriptors that a crowd may take: the connection limit, an eighth of it for connections that are being
/// refused, and one connection to an endpoint for each request in flight.
const MAX_DESCRIPTORS: usize =
    MAX_CONNECTIONS + MAX_CONNECTIONS / 8 + crowd_router::MAX_IN_FLIGHT + SPARE_DESCRIPTORS;

/// Descriptors for the operator's own requests and the platform, which come and go.
const SPARE_DESCRIPTORS: usize = 8;

/// Time for which the stalled crowd stays open while the ordinary request is sent.
const HOLD_TIME: time::Duration = time::Duration::from_millis(500);

/// Each case measures a process, which other cases beside it would slow down.
static ALONE: sync::Mutex<()> = sync::Mutex::new(());

/// Guards against a router that runs out of memory or descriptors, or serves nobody, beside a crowd.
fn a_crowd_is_withstood(plan: &crowd::CrowdPlan) {
    crowds_are_withstood(1, plan);
}

/// `count` crowds, each after the one before has gone. Guards against freed memory of a crowd that adds to
/// the memory of the next one.
fn crowds_are_withstood(count: usize, plan: &crowd::CrowdPlan) {
    let _alone = ALONE.lock().unwrap_or_else(sync::PoisonError::into_inner);
    let mut router = crowd_router::CrowdRouter::start(MAX_BODY_BYTES, MAX_CONNECTIONS);
    router.answers_an_ordinary_request();
    let mut usage = process_usage::UsageWatch::start(router.id());
    for _gone in 1..count {
        crowd::Crowd::connect(router.listen, plan).send(&mut usage);
    }
    let mut crowd = crowd::Crowd::connect(router.listen, plan);
    crowd.send(&mut usage);
    let held_until = time::Instant::now() + HOLD_TIME;
    if plan.size < MAX_CONNECTIONS {
        router.answers_an_ordinary_request();
    }
    while time::Instant::now() < held_until {
        usage.sample();
        thread::sleep(time::Duration::from_millis(10));
    }
    usage.sample();
    drop(crowd);
    assert!(
        router.is_running(),
        "the router has ended: {}",
        router.log()
    );
    router.answers_an_ordinary_request();
    router.holds_nothing();
    let grown = usage.grown_bytes();
    let descriptors = usage.most_descriptors();
    eprintln!("memory grew by {grown} bytes, {descriptors} descriptors more");
    assert!(grown <= MAX_GROWTH, "{grown} bytes, allowed {MAX_GROWTH}");
    assert!(
        descriptors <= MAX_DESCRIPTORS,
        "{descriptors} descriptors, allowed {MAX_DESCRIPTORS}"
    );
}

/// A crowd within the connection limit whose bodies have `body_bytes`.
fn plan(framing: crowd::Framing, piece_bytes: usize, body_bytes: usize) -> crowd::CrowdPlan {
    crowd::CrowdPlan {
        size: CROWD_SIZE,
        addresses: CROWD_SIZE,
        framing,
        piece_bytes,
        body_bytes,
    }
}

fn from_one_address(plan: crowd::CrowdPlan) -> crowd::CrowdPlan {
    crowd::CrowdPlan {
        addresses: 1,
        ..plan
    }
}

/// More connections than allowed, each with the start of a legal body.
fn too_many_connections() -> crowd::CrowdPlan {
    crowd::CrowdPlan {
        size: 3 * MAX_CONNECTIONS,
        addresses: 16,
        framing: crowd::Framing::Announced,
        piece_bytes: 1024,
        body_bytes: 16 * 1024,
    }
}

const WHOLE: usize = usize::MAX;
const PIECE: usize = 4 * 1024;
const LARGE_CHUNK: usize = 64 * 1024;
const SMALL_CHUNK: usize = 16;

/// A body far over the limit.
const FAR_OVER: usize = 16 * MAX_BODY_BYTES;

common::cases! {
    legal_whole: a_crowd_is_withstood(&plan(crowd::Framing::Announced, WHOLE, MAX_BODY_BYTES));
    legal_whole_one_address: a_crowd_is_withstood(
        &from_one_address(plan(crowd::Framing::Announced, WHOLE, MAX_BODY_BYTES))
    );
    crowds_one_after_another: crowds_are_withstood(
        4,
        &plan(crowd::Framing::Announced, WHOLE, MAX_BODY_BYTES)
    );
    legal_piece_by_piece: a_crowd_is_withstood(&plan(crowd::Framing::Announced, PIECE, MAX_BODY_BYTES));
    large_chunks: a_crowd_is_withstood(
        &plan(crowd::Framing::Chunked(LARGE_CHUNK), WHOLE, MAX_BODY_BYTES)
    );
    small_chunks: a_crowd_is_withstood(
        &plan(crowd::Framing::Chunked(SMALL_CHUNK), PIECE, MAX_BODY_BYTES)
    );
    small_chunks_one_address: a_crowd_is_withstood(
        &from_one_address(plan(crowd::Framing::Chunked(SMALL_CHUNK), PIECE, MAX_BODY_BYTES))
    );
    far_over_announced: a_crowd_is_withstood(&plan(crowd::Framing::Announced, WHOLE, FAR_OVER));
    far_over_just_sent: a_crowd_is_withstood(
        &plan(crowd::Framing::Chunked(LARGE_CHUNK), WHOLE, FAR_OVER)
    );
    connections_over_the_limit: a_crowd_is_withstood(&too_many_connections());
}

/// The smallest `caller_memory_bytes` that the settings allow.
fn smallest_memory() -> crowd_router::CrowdRouter {
    crowd_router::CrowdRouter::start_with(&format!(
        "max_body_bytes: {MAX_BODY_BYTES}\ncaller_memory_bytes: {}\n",
        2 * MAX_BODY_BYTES
    ))
}

/// Guards against a budget that refuses what the settings allow. The answer is as large as the body.
#[test]
fn single_largest_body_is_served_from_the_smallest_memory() {
    let _alone = ALONE.lock().unwrap_or_else(sync::PoisonError::into_inner);
    let router = smallest_memory();
    for framing in [
        crowd::Framing::Announced,
        crowd::Framing::Chunked(LARGE_CHUNK),
    ] {
        let answer = router.exchange(&crowd::request(framing, MAX_BODY_BYTES));
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer:.300}");
        assert!(answer.len() > MAX_BODY_BYTES, "{} bytes", answer.len());
        router.holds_nothing();
    }
}

/// Guards against stalled bodies that keep others out, and against refusals without verdict or delay.
#[test]
fn stalled_bodies_give_way_and_are_refused_as_not_run() {
    const STALLED: usize = 3;
    let _alone = ALONE.lock().unwrap_or_else(sync::PoisonError::into_inner);
    let router = smallest_memory();
    let request = crowd::request(crowd::Framing::Announced, MAX_BODY_BYTES);
    let stalled: Vec<_> = (0..STALLED)
        .map(|_index| router.send(&request[..request.len() / 2]))
        .collect();
    thread::sleep(HOLD_TIME);
    let answer = router.exchange(&request);
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer:.300}");
    let refused: Vec<String> = stalled
        .into_iter()
        .map(crowd_router::read_refusal)
        .filter(|answer| !answer.is_empty())
        .collect();
    assert!(!refused.is_empty(), "no stalled body gave way");
    for answer in refused {
        assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
        assert!(
            answer.contains("x-kumquatpulley-verdict: not-run"),
            "{answer}"
        );
        assert!(answer.contains("retry-after: 1"), "{answer}");
        assert!(answer.contains("\"code\":\"overloaded\""), "{answer}");
    }
    assert!(router.log().contains("request body refused"));
    router.holds_nothing();
}

/// Guards against a budget that refuses what the settings allow.
#[test]
fn single_largest_body_is_served() {
    let _alone = ALONE.lock().unwrap_or_else(sync::PoisonError::into_inner);
    let router = crowd_router::CrowdRouter::start(MAX_BODY_BYTES, MAX_CONNECTIONS);
    for framing in [
        crowd::Framing::Announced,
        crowd::Framing::Chunked(LARGE_CHUNK),
    ] {
        let request = crowd::request(framing, MAX_BODY_BYTES);
        let answer = router.exchange(&request);
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer:.300}");
        assert!(answer.len() > MAX_BODY_BYTES, "{} bytes", answer.len());
    }
}
