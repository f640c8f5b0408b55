//! A request crashes each endpoint that begins to run it, and comes again at every gateway. All
//! gateways together have to keep it from endpoints, and to serve all other requests.

use std::thread;
use std::time;

use crate::common;
use crate::support::system::System;
use crate::support::{call_load, caller, deadly_calls, limit_judge, load};

/// Time of load in which the request is learned: the contact time, and as much for the crashes.
const LEARNING_TIME: time::Duration = time::Duration::from_secs(7);

/// Time of load in which sound requests have to be served.
const CALM_TIME: time::Duration = time::Duration::from_secs(5);

/// More than the default configuration allows.
const LARGE_BODY_BYTES: usize = 3_000_000;

static LARGE_BODY: [u8; LARGE_BODY_BYTES] = [b'x'; LARGE_BODY_BYTES];

/// As [`LARGE_BODY`] but for its last byte.
static OTHER_LARGE_BODY: [u8; LARGE_BODY_BYTES] = {
    let mut body = LARGE_BODY;
    body[LARGE_BODY_BYTES - 1] = b'y';
    body
};

/// Starts a load with a request to `path` that crashes endpoints, beside sound requests.
fn start_load(path: &'static str, sound: &'static str) -> call_load::CallLoad {
    let deadly = deadly_calls::DeadlyCall::of_path(path);
    let sound = [load::LoadPlan::plain(sound)];
    let mut load = call_load::CallLoad::start(System::start(3), deadly, &sound);
    load.send_deadly(caller::CallText::plain(path));
    load
}

/// Lets the load go on, and checks what callers saw.
fn check_calm_time(load: call_load::CallLoad) {
    let calm = time::Instant::now();
    thread::sleep(CALM_TIME);
    let result = load.finish(calm);
    result.check_deadly();
    result.check_sound();
}

fn a_request_that_crashes_endpoints_is_kept_from_them(path: &'static str, sound: &'static str) {
    let load = start_load(path, sound);
    thread::sleep(LEARNING_TIME);
    check_calm_time(load);
}

/// A body is the same request in chunks and with a length.
fn a_body_in_chunks_is_known() {
    let plain = caller::CallText {
        body: b"a body in parts",
        ..caller::CallText::plain("/safe/deadly")
    };
    let chunked = caller::CallText {
        is_chunked: true,
        ..plain
    };
    let deadly = deadly_calls::DeadlyCall {
        body: Some(plain.body),
        ..deadly_calls::DeadlyCall::of_path(plain.path)
    };
    let other = caller::CallText {
        body: b"a body in parks",
        ..chunked
    };
    let sound = load::LoadPlan {
        call: other,
        ..load::LoadPlan::plain(plain.path)
    };
    let mut load = call_load::CallLoad::start(System::start(3), deadly, &[sound]);
    load.send_deadly(chunked);
    thread::sleep(LEARNING_TIME);
    load.send_deadly(plain);
    check_calm_time(load);
}

fn a_large_body_is_known() {
    let config = System::config(1, r#""k""#).replace("10000", "8000000");
    let system = System::start_configured(3, &config);
    let call = caller::CallText {
        body: &LARGE_BODY,
        ..caller::CallText::plain("/safe/deadly")
    };
    let deadly = deadly_calls::DeadlyCall {
        body: Some(call.body),
        ..deadly_calls::DeadlyCall::of_path(call.path)
    };
    let sound = load::LoadPlan {
        callers: 1,
        pause: time::Duration::from_millis(300),
        call: caller::CallText {
            body: &OTHER_LARGE_BODY,
            ..call
        },
        shared_parts: None,
    };
    let mut load = call_load::CallLoad::start(system, deadly, &[sound]);
    load.send_deadly(call);
    thread::sleep(LEARNING_TIME);
    let since = time::Instant::now();
    thread::sleep(CALM_TIME);
    let result = load.finish(since);
    result.check_large_deadly();
    result.check_sound();
}

/// All gateways end at once and forget what they held in memory.
fn a_crashing_request_is_known_after_a_restart_of_all() {
    let mut load = start_load("/safe/deadly", "/safe/1");
    let known = load.wait_for_last_crash() + limit_judge::CONTACT_TIME;
    thread::sleep(known.saturating_duration_since(time::Instant::now()));
    load.stop_deadly();
    load.restart(0..3);
    thread::sleep(limit_judge::CONTACT_TIME);
    load.send_deadly(caller::CallText::plain("/safe/deadly"));
    check_calm_time(load);
}

/// The gateways are replaced one after the other as soon as the request could be known.
fn a_crashing_request_is_known_after_restarts() {
    let mut load = start_load("/safe/deadly", "/safe/1");
    load.wait_for_last_crash();
    for index in 0..3 {
        load.restart(index..index + 1);
        thread::sleep(time::Duration::from_secs(2));
    }
    thread::sleep(limit_judge::CONTACT_TIME);
    check_calm_time(load);
}

fn a_crashing_request_is_learned_without_the_store() {
    let mut load = start_load("/safe/deadly", "/safe/1");
    load.take_store_away(time::Duration::from_secs(3));
    thread::sleep(LEARNING_TIME);
    check_calm_time(load);
}

/// Each endpoint that ends is replaced at its address by one with another name.
fn a_crashing_request_is_kept_from_replaced_endpoints() {
    let load = start_load("/safe/deadly", "/safe/1");
    load.replace_crashed(LEARNING_TIME);
    check_calm_time(load);
}

/// There is one endpoint at a time, which is replaced when it ends.
fn a_crashing_request_is_kept_from_the_only_endpoint() {
    let system = System::start(3);
    system.store.remove("servers", &system.second.name);
    let deadly = deadly_calls::DeadlyCall::of_path("/safe/deadly");
    let sound = [load::LoadPlan::plain("/safe/1")];
    let mut load = call_load::CallLoad::start(system, deadly, &sound);
    load.send_deadly(caller::CallText::plain("/safe/deadly"));
    load.replace_crashed(LEARNING_TIME);
    check_calm_time(load);
}

common::cases! {
    safe: a_request_that_crashes_endpoints_is_kept_from_them("/safe/deadly", "/safe/1");
    once: a_request_that_crashes_endpoints_is_kept_from_them("/once/deadly", "/once/1");
    stream: a_request_that_crashes_endpoints_is_kept_from_them("/stream/deadly", "/stream/1");
    chunked: a_body_in_chunks_is_known();
    large: a_large_body_is_known();
    replaced: a_crashing_request_is_kept_from_replaced_endpoints();
    only_endpoint: a_crashing_request_is_kept_from_the_only_endpoint();
    restart_of_all: a_crashing_request_is_known_after_a_restart_of_all();
    restarts: a_crashing_request_is_known_after_restarts();
    store_away: a_crashing_request_is_learned_without_the_store();
}
