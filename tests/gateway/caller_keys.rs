//! API keys of callers reach no endpoint and no log, whatever the configuration asks of the route.

use std::thread;

use crate::common;
use crate::support::system::System;
use crate::support::{caller, fakes};

/// Key of the only workspace, and one that no configuration has.
const KEY: &str = "key-of-w";
const UNKNOWN_KEY: &str = "key-of-nobody";

fn keyed_config(version: u64) -> String {
    System::config(version, &format!(r#""{KEY}""#))
}

/// A configuration whose routes are all public.
fn public_config(version: u64) -> String {
    let text = keyed_config(version);
    let ends = [
        r#""gap_goal_ms":700}"#,
        r#""attempts":1}"#,
        r#""attempts":2}"#,
    ];
    ends.iter().fold(text, |text, end| {
        let public = format!(r#"{},"public":true}}"#, end.trim_end_matches('}'));
        assert!(text.contains(end), "{text}");
        text.replace(end, &public)
    })
}

/// A configuration without workspaces.
fn open_config(version: u64) -> String {
    let text = keyed_config(version);
    let (start, _workspaces) = text.split_once(r#""tenants""#).expect("workspaces");
    format!("{}}}", start.trim_end().trim_end_matches(','))
}

fn send(system: &System, path: &str, id: &str) -> Option<caller::Answer> {
    let text = caller::request(path, id, KEY);
    caller::exchange((system.ip(), 8227).into(), text.as_bytes())
}

fn assert_served(system: &System, path: &str, id: &str) {
    let answer = send(system, path, id).expect("an answer");
    assert_eq!(answer.head.status, 200, "{id}: {}", system.logs());
    assert!(answer.is_complete, "{id}: {}", system.logs());
}

/// Whether any header field that an endpoint received contains a key.
fn holds_key(request: &fakes::ReceivedRequest) -> bool {
    request.head.headers.0.iter().any(|field| {
        let value = String::from_utf8_lossy(&field.value);
        [KEY, UNKNOWN_KEY].iter().any(|key| value.contains(key))
    })
}

/// Checks what reached endpoints of request `id`, and that no log names a key.
fn assert_runs_without_key(system: &System, id: &str, workspace: Option<&str>) {
    let arrivals = system.arrivals(id);
    assert!(
        !arrivals.is_empty(),
        "{id} never arrived; {}",
        system.logs()
    );
    for arrival in arrivals {
        assert!(!holds_key(&arrival), "{id}: {:?}", arrival.head);
        assert_eq!(arrival.head.headers.count("Authorization"), 0, "{id}");
        let named = arrival.field("Kumquatpulley-Tenant");
        assert_eq!(named.as_deref(), workspace, "{id}");
    }
    let request = format!(r#""request":"{id}""#);
    system.wait_for_line(&["request ended", &request]);
    let logs = system.logs();
    assert!(!logs.contains(KEY) && !logs.contains(UNKNOWN_KEY), "{logs}");
}

/// Guards against keys that reach endpoints because callers still send them on a route that a new
/// version has made public.
fn route_becomes_public(path: &str) {
    let system = System::start_configured(1, &keyed_config(1));
    assert_served(&system, path, "keyed");
    system.put_in_force(2, &public_config(2));
    assert_served(&system, path, "public");
    system.put_in_force(3, &keyed_config(3));
    assert_served(&system, path, "keyed-again");
    for id in ["keyed", "public", "keyed-again"] {
        assert_runs_without_key(&system, id, Some("w"));
    }
}

/// Guards against keys that reach endpoints in a field that is spelled, listed or sent in another way.
fn field_is_dropped_on_a_public_route(fields: &str, workspace: Option<&str>) {
    let system = System::start_configured(1, &public_config(1));
    for (path, id) in [("/safe/1", "r1"), ("/once/1", "r2"), ("/stream/1", "r3")] {
        let text = caller::request(path, id, KEY);
        let text = text.replace(&format!("Authorization: Bearer {KEY}"), fields);
        let answer = caller::exchange((system.ip(), 8227).into(), text.as_bytes());
        assert_eq!(answer.expect("an answer").head.status, 200, "{fields}");
        assert_runs_without_key(&system, id, workspace);
    }
}

/// Guards against a choice between two keys that others may make differently.
fn several_keys_are_refused() {
    let system = System::start_configured(1, &public_config(1));
    let text = caller::request("/safe/1", "r1", KEY);
    let text = text.replacen("\r\n", &format!("\r\nauthorization: Bearer {KEY}\r\n"), 1);
    let answer = caller::exchange((system.ip(), 8227).into(), text.as_bytes());
    assert_eq!(answer.expect("an answer").head.status, 400);
    assert!(system.arrivals("r1").is_empty());
}

/// Guards against a key that only the first attempt of a call leaves out.
fn repeated_call_on_a_public_route() {
    let system = System::start_configured(1, &public_config(1));
    system.set_modes(fakes::EndpointMode::DropsAnswer);
    send(&system, "/safe/1", "r1").expect("an answer");
    assert_eq!(system.arrivals("r1").len(), 2, "{}", system.logs());
    assert_runs_without_key(&system, "r1", Some("w"));
}

/// Guards against a key that reaches the engine that goes on with a broken stream.
fn resumed_stream_on_a_public_route() {
    let system = System::start_configured(1, &public_config(1));
    system.set_modes(fakes::EndpointMode::SlowThenDiesAfter(4));
    let sending = thread::scope(|scope| {
        let sending = scope.spawn(|| send(&system, "/stream/1", "r1"));
        system.wait_for("the stream begins", || !system.arrivals("r1").is_empty());
        for engine in system.endpoints() {
            if engine.received().is_empty() {
                engine.set_mode(fakes::EndpointMode::Healthy);
            }
        }
        sending.join().expect("no panic")
    });
    assert!(sending.expect("an answer").is_complete, "{}", system.logs());
    assert_eq!(system.arrivals("r1").len(), 2, "{}", system.logs());
    assert_runs_without_key(&system, "r1", Some("w"));
    for engine in system.endpoints() {
        assert!(!engine.copy_requests().iter().any(holds_key));
    }
}

/// Guards against fingerprints, which are logged and told to other routers, that are made of a key.
fn fingerprint_on_a_public_route_depends_on_no_key() {
    let system = System::start_configured(1, &public_config(1));
    system.set_modes(fakes::EndpointMode::DropsAnswer);
    for key in [UNKNOWN_KEY, "another"] {
        let text = caller::request("/once/1", key, key);
        let answer = caller::exchange((system.ip(), 8227).into(), text.as_bytes());
        assert_eq!(answer.expect("an answer").head.status, 502, "{key}");
    }
    system.wait_for("both calls are logged", || {
        system.logs().matches("call lost").count() >= 2
    });
    let logs = system.logs();
    let lost = logs.lines().filter(|line| line.contains("call lost"));
    let features = lost.filter_map(|line| line.split_once(r#""features":""#)?.1.split('"').next());
    let features: Vec<&str> = features.collect();
    assert_eq!(features.len(), 2, "{logs}");
    assert_eq!(features[0], features[1]);
}

/// Guards against keys that reach endpoints because callers still send them after a version has
/// removed all workspaces.
fn workspaces_are_removed() {
    let system = System::start_configured(1, &keyed_config(1));
    system.put_in_force(2, &open_config(2));
    assert_served(&system, "/safe/1", "r1");
    assert_runs_without_key(&system, "r1", None);
}

/// Guards against a workspace that is named although its key has been taken away.
fn key_is_taken_away_on_a_public_route() {
    let system = System::start_configured(1, &public_config(1));
    system.put_in_force(2, &public_config(2).replace(KEY, "another"));
    assert_served(&system, "/safe/1", "r1");
    assert_runs_without_key(&system, "r1", None);
}

/// Guards against a field that services without API keys of this system need and no longer get.
fn configuration_without_workspaces() {
    let system = System::start_configured(1, &open_config(1));
    assert_served(&system, "/safe/1", "r1");
    let arrivals = system.arrivals("r1");
    assert_eq!(arrivals.len(), 1, "{}", system.logs());
    let field = arrivals[0].field("Authorization");
    assert_eq!(field, Some(format!("Bearer {KEY}")));
}

common::cases! {
    call_on_a_route_that_becomes_public: route_becomes_public("/safe/1");
    unsafe_call_on_a_route_that_becomes_public: route_becomes_public("/once/1");
    stream_on_a_route_that_becomes_public: route_becomes_public("/stream/1");
    lower_case: field_is_dropped_on_a_public_route("authorization: bearer key-of-w", Some("w"));
    upper_case: field_is_dropped_on_a_public_route("AUTHORIZATION: BEARER key-of-w", Some("w"));
    named_by_connection: field_is_dropped_on_a_public_route(
        "Authorization: Bearer key-of-w\r\nConnection: keep-alive, authorization", Some("w"));
    workspace_named_by_connection: field_is_dropped_on_a_public_route(
        "Authorization: Bearer key-of-w\r\nKumquatpulley-Tenant: x\r\nConnection: kumquatpulley-tenant",
        Some("w"));
    unknown_key: field_is_dropped_on_a_public_route("Authorization: Bearer key-of-nobody", None);
    other_scheme: field_is_dropped_on_a_public_route("Authorization: Basic key-of-w", None);
    no_scheme: field_is_dropped_on_a_public_route("Authorization: key-of-w", None);
    tab_after_the_scheme: field_is_dropped_on_a_public_route("Authorization: Bearer\tkey-of-w", None);
    several_keys: several_keys_are_refused();
    repeated_call: repeated_call_on_a_public_route();
    resumed_stream: resumed_stream_on_a_public_route();
    fingerprint: fingerprint_on_a_public_route_depends_on_no_key();
    removed_workspaces: workspaces_are_removed();
    key_taken_away: key_is_taken_away_on_a_public_route();
    no_workspaces: configuration_without_workspaces();
}
