//! Status, time line, apply and logs of running routers.

use std::net;

use crate::daemon;
use crate::program;
use crate::stand_in;

const DEMO: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/demo.yaml");

/// An address on which nothing listens.
const NOWHERE: &str = "127.0.0.1:1";

/// A version is in force everywhere within this time.
const IN_FORCE_MS: u64 = 5_000;

fn apply(platform: net::SocketAddr, routers: &[&daemon::RouterDaemon]) -> program::ProgramOutput {
    let admins = routers.iter().map(|router| router.admin.to_string());
    let admins: Vec<String> = admins.collect();
    routers[0].run(&[
        "--output",
        "json",
        "apply",
        DEMO,
        "--wait",
        "--platform",
        &platform.to_string(),
        "--router",
        &admins.join(","),
    ])
}

#[test]
fn a_router_without_a_platform_waits_and_says_so() {
    let nowhere: net::SocketAddr = NOWHERE.parse().unwrap();
    let mut router = daemon::RouterDaemon::start("r1", nowhere);
    let status = router.wait_for_state("joining");
    assert_eq!(status["config"], 0);
    assert!(router.is_running());
}

#[test]
fn an_applied_version_is_in_force_at_all_routers_in_time() {
    let platform = stand_in::platform();
    let first = daemon::RouterDaemon::start("r1", platform.listen);
    let second = daemon::RouterDaemon::start("r2", platform.listen);
    first.wait_for_state("joining");
    second.wait_for_state("joining");
    let output = apply(platform.listen, &[&first, &second]);
    assert_eq!(output.code, 0, "{output:?}");
    let report: serde_json::Value = serde_json::from_str(&output.stdout).unwrap();
    assert_eq!(report["version"], 1);
    let in_force = report["routers"]["in_force"].as_array().unwrap();
    assert_eq!(in_force.len(), 2, "{report}");
    assert!(report["routers"]["waited_ms"].as_u64().unwrap() <= IN_FORCE_MS);
    assert_eq!(first.wait_for_state("ready")["config"], 1);
    assert_eq!(second.wait_for_state("ready")["config"], 1);
}

#[test]
fn a_router_names_the_endpoints_and_workspaces_that_it_serves() {
    let platform = stand_in::platform();
    let router = daemon::RouterDaemon::start("r1", platform.listen);
    apply(platform.listen, &[&router]);
    let status = router.wait_for_state("ready");
    assert_eq!(status["endpoints"].as_array().unwrap().len(), 4);
    assert_eq!(status["workspaces"][0]["name"], "planners");
    let text = router.run(&["status", "--router", &router.admin.to_string()]);
    assert!(text.stdout.starts_with("r1 (zone-a) ready, version 1"));
    assert!(text.stdout.contains("endpoint engine-1"), "{text:?}");
}

#[test]
fn the_time_line_tells_how_a_router_became_ready() {
    let platform = stand_in::platform();
    let router = daemon::RouterDaemon::start("r1", platform.listen);
    apply(platform.listen, &[&router]);
    router.wait_for_state("ready");
    let events = events_until(&router, "ready");
    let place = |name: &str| events.iter().position(|event| event["event"] == name);
    let started = place("process-started").expect("start");
    let version = place("version-in-force").expect("version");
    let ready = place("ready").expect("ready");
    assert!(started < version && version < ready, "{events:?}");
}

/// The router's events, asked for until one with the given name is among them.
fn events_until(router: &daemon::RouterDaemon, name: &str) -> Vec<serde_json::Value> {
    const TRIES: usize = 200;
    let admin = router.admin.to_string();
    for _try in 0..TRIES {
        let output = router.run(&["--output", "json", "timeline", "--router", &admin]);
        assert_eq!(output.code, 0, "{output:?}");
        let events: Vec<serde_json::Value> =
            serde_json::from_str(&output.stdout).expect("list of events");
        if events.iter().any(|event| event["event"] == name) {
            return events;
        }
    }
    panic!("there is no event {name}");
}

#[test]
fn the_time_line_names_routers_that_it_leaves_out() {
    let nowhere: net::SocketAddr = NOWHERE.parse().unwrap();
    let router = daemon::RouterDaemon::start("r1", nowhere);
    router.wait_for_state("joining");
    let admin = router.admin.to_string();
    let output = router.run(&["timeline", "--router", &admin, "--router", NOWHERE]);
    assert_eq!(output.code, 0, "{output:?}");
    assert!(output.stdout.contains("process-started"), "{output:?}");
    assert!(
        output.stderr.contains("events of 127.0.0.1:1 are left out"),
        "{output:?}"
    );
}

#[test]
fn a_router_started_in_an_outage_is_ready_when_the_platform_is_back() {
    let platform = stand_in::platform();
    let earlier = daemon::RouterDaemon::start("r1", platform.listen);
    apply(platform.listen, &[&earlier]);
    drop(earlier);
    platform.fault("{\"down\": true}");
    let router = daemon::RouterDaemon::start("r2", platform.listen);
    router.wait_for_state("joining");
    platform.fault("{\"down\": false}");
    assert_eq!(router.wait_for_state("ready")["config"], 1);
}

#[test]
fn a_drained_router_stops_by_itself() {
    let platform = stand_in::platform();
    let mut router = daemon::RouterDaemon::start("r1", platform.listen);
    apply(platform.listen, &[&router]);
    router.wait_for_state("ready");
    let output = router.run(&["drain", &router.admin.to_string()]);
    assert_eq!(output.code, 0, "{output:?}");
    assert!(output.stdout.ends_with("is draining and will stop\n"));
    assert_eq!(router.wait(), Some(0));
}

#[test]
fn a_terminated_router_drains_and_ends_with_success() {
    let platform = stand_in::platform();
    let mut router = daemon::RouterDaemon::start("r1", platform.listen);
    apply(platform.listen, &[&router]);
    router.wait_for_state("ready");
    router.signal("TERM");
    assert_eq!(router.wait(), Some(0));
}

#[test]
fn an_interrupted_router_that_never_was_ready_ends_with_success() {
    let nowhere: net::SocketAddr = NOWHERE.parse().unwrap();
    let mut router = daemon::RouterDaemon::start("r1", nowhere);
    router.wait_for_state("joining");
    router.signal("INT");
    assert_eq!(router.wait(), Some(0));
}

#[test]
fn log_lines_are_json_when_the_settings_say_so() {
    let nowhere: net::SocketAddr = NOWHERE.parse().unwrap();
    let mut router = daemon::RouterDaemon::start_with("r1", nowhere, "log: {format: json}\n");
    router.wait_for_state("joining");
    router.signal("TERM");
    assert_eq!(router.wait(), Some(0));
    let log = router.log();
    let lines: Vec<serde_json::Value> = log
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    let is_drain = |line: &serde_json::Value| line["message"] == "draining";
    assert!(lines.iter().any(is_drain), "{log}");
    assert!(lines.iter().all(|line| line["level"] == "INFO"), "{log}");
}

#[test]
fn a_router_that_logs_only_errors_is_quiet() {
    let nowhere: net::SocketAddr = NOWHERE.parse().unwrap();
    let mut router = daemon::RouterDaemon::start_with("r1", nowhere, "log: {level: error}\n");
    router.wait_for_state("joining");
    router.signal("TERM");
    assert_eq!(router.wait(), Some(0));
    assert_eq!(router.log(), "");
}

#[test]
fn a_router_that_is_down_is_named_beside_those_that_answer() {
    const UNAVAILABLE: i32 = 69;
    let nowhere: net::SocketAddr = NOWHERE.parse().unwrap();
    let router = daemon::RouterDaemon::start("r1", nowhere);
    router.wait_for_state("joining");
    let admin = router.admin.to_string();
    let output = router.run(&["status", "--router", &admin, "--router", NOWHERE]);
    assert_eq!(output.code, UNAVAILABLE);
    assert!(output.stdout.contains("r1 (zone-a) joining"), "{output:?}");
    assert!(
        output.stdout.contains("127.0.0.1:1: no answer"),
        "{output:?}"
    );
}
