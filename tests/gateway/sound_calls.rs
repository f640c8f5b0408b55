//! Sound requests are not taken for one that crashes endpoints: neither those that run beside it,
//! nor those that are like it, nor any while endpoints end for other reasons.

use std::thread;
use std::time;

use crate::common;
use crate::support::system::System;
use crate::support::{call_load, caller, deadly_calls, load};

/// Time of load in which the request is learned: the contact time, and as much for the crashes.
const LEARNING_TIME: time::Duration = time::Duration::from_secs(7);

/// Time of load in which sound requests have to be served.
const CALM_TIME: time::Duration = time::Duration::from_secs(5);

/// Time after the last fault until calm time.
const RECOVERY_TIME: time::Duration = time::Duration::from_secs(3);

const DEADLY_PATH: &str = "/safe/deadly";

/// Many callers that send the same request, several of which are in flight at any time.
const fn hot_plan(path: &'static str) -> load::LoadPlan {
    load::LoadPlan {
        callers: 3,
        pause: time::Duration::from_millis(15),
        call: caller::CallText::plain(path),
        shared_parts: None,
    }
}

/// A request that comes as seldom as one that crashes endpoints.
const RARE_PLAN: load::LoadPlan = load::LoadPlan {
    callers: 1,
    pause: time::Duration::from_millis(300),
    call: caller::CallText::plain("/safe/rare"),
    shared_parts: None,
};

const HOT_PLANS: [load::LoadPlan; 2] = [hot_plan("/safe/hot"), hot_plan("/once/hot")];

/// A system with a second key `k2` of its workspace `w`, and with a workspace `w2` with the key `o`.
fn start_with_workspaces() -> System {
    let one = r#""api_keys":["k","k2"]}"#;
    let two = r#""api_keys":["k","k2"]},{"name":"w2","api_keys":["o"]}"#;
    let config = System::config(1, r#""k","k2""#).replace(one, two);
    System::start_configured(3, &config)
}

/// Lets the load go on, and checks that sound requests are served.
fn check_calm_time(load: call_load::CallLoad) -> call_load::CallResult {
    let calm = time::Instant::now();
    thread::sleep(CALM_TIME);
    let result = load.finish(calm);
    result.check_sound();
    result
}

/// A request of which several are lost in each crash is served again and again in between.
fn a_hot_key_is_served_beside_a_request_that_crashes_endpoints() {
    let deadly = deadly_calls::DeadlyCall::of_path(DEADLY_PATH);
    let mut load = call_load::CallLoad::start(System::start(3), deadly, &HOT_PLANS);
    load.send_deadly(caller::CallText::plain(DEADLY_PATH));
    thread::sleep(LEARNING_TIME);
    check_calm_time(load).check_deadly();
}

fn requests_with_another_body_are_served() {
    let call = caller::CallText::plain(DEADLY_PATH);
    let deadly = deadly_calls::DeadlyCall {
        body: Some(call.body),
        ..deadly_calls::DeadlyCall::of_path(call.path)
    };
    let other = load::LoadPlan {
        call: caller::CallText {
            body: b"ho",
            ..call
        },
        ..load::LoadPlan::plain(call.path)
    };
    let mut load = call_load::CallLoad::start(System::start(3), deadly, &[other]);
    load.send_deadly(call);
    thread::sleep(LEARNING_TIME);
    check_calm_time(load).check_deadly();
}

/// A workspace is one caller, whichever of its keys it uses.
fn requests_of_another_workspace_are_served() {
    let call = caller::CallText::plain(DEADLY_PATH);
    let deadly = deadly_calls::DeadlyCall {
        workspace: Some("w"),
        ..deadly_calls::DeadlyCall::of_path(call.path)
    };
    let other = load::LoadPlan {
        call: caller::CallText { key: "o", ..call },
        ..load::LoadPlan::plain(call.path)
    };
    let mut load = call_load::CallLoad::start(start_with_workspaces(), deadly, &[other]);
    load.send_deadly(call);
    thread::sleep(LEARNING_TIME);
    load.send_deadly(caller::CallText { key: "k2", ..call });
    check_calm_time(load).check_deadly();
}

/// Endpoints crash in turn, and each crash ends several runs of the same request.
fn requests_are_not_blocked_while_endpoints_crash_for_other_reasons() {
    let mut load = call_load::CallLoad::start_sound(System::start(3), &HOT_PLANS);
    thread::sleep(time::Duration::from_secs(1));
    load.send_sound(RARE_PLAN);
    for turn in 0..10 {
        let endpoint = load.system.endpoints()[turn % 2];
        endpoint.stop_answering();
        thread::sleep(time::Duration::from_millis(400));
        endpoint.revive();
        thread::sleep(time::Duration::from_millis(200));
    }
    thread::sleep(RECOVERY_TIME);
    check_calm_time(load);
}

/// Connections to both endpoints are closed without an answer for a while, again and again. One
/// request is sent for the first time then.
fn requests_are_not_blocked_while_all_endpoints_are_away() {
    let mut load = call_load::CallLoad::start_sound(System::start(3), &HOT_PLANS);
    thread::sleep(time::Duration::from_secs(1));
    for turn in 0..3 {
        for endpoint in load.system.endpoints() {
            endpoint.stop_answering();
        }
        if turn == 0 {
            load.send_sound(RARE_PLAN);
        }
        thread::sleep(time::Duration::from_secs(2));
        for endpoint in load.system.endpoints() {
            endpoint.revive();
        }
        thread::sleep(time::Duration::from_secs(1));
    }
    thread::sleep(RECOVERY_TIME);
    check_calm_time(load);
}

common::cases! {
    hot_key: a_hot_key_is_served_beside_a_request_that_crashes_endpoints();
    other_body: requests_with_another_body_are_served();
    other_workspace: requests_of_another_workspace_are_served();
    other_crashes: requests_are_not_blocked_while_endpoints_crash_for_other_reasons();
    all_away: requests_are_not_blocked_while_all_endpoints_are_away();
}
