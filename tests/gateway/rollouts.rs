//! Systems of real gateways while a software version is rolled out.

use std::ops;
use std::thread;
use std::time;

use crate::common;
use crate::support::system::System;
use crate::support::{fakes, load};

/// Time that a plain request runs: long enough that the machine's own delays are no slow answers.
const RUN_TIME: time::Duration = time::Duration::from_millis(30);

/// Time that the orders give the ramp.
const RAMP_S: u64 = 8;

/// Requests of a version that is bad: `expose_share`, `expose_slack` and `rollback_ms` by default.
const EXPOSE_SHARE: f64 = 0.1;
const EXPOSE_SLACK: f64 = 50.0;
const ROLLBACK_TIME: time::Duration = time::Duration::from_secs(5);

/// Bad answers from which on the time to roll back counts.
const BAD_ANSWERS: usize = 50;

/// Answer of a version that fails.
const FAILURE: &str = "HTTP/1.1 500 X\r\nKumquatpulley-Request-Id: {id}\r\n\
    Kumquatpulley-Runner-Seal: s\r\nContent-Length: 0\r\n\r\n";

/// A system with two endpoints of `v1`, and two of `v2` that are not in the store yet.
struct RolloutSystem {
    system: System,
    new: [fakes::FakeEndpoint; 2],
}

impl RolloutSystem {
    fn start(system: System) -> Self {
        let ip = |last| std::net::IpAddr::from([system.net[0], system.net[1], system.net[2], last]);
        let new = [
            fakes::FakeEndpoint::start(ip(242), "n1"),
            fakes::FakeEndpoint::start(ip(243), "n2"),
        ];
        for endpoint in system.endpoints().into_iter().chain(&new) {
            endpoint.calls().set_run_time(RUN_TIME);
        }
        Self { system, new }
    }

    fn order(&self) {
        let order = serde_json::json!({"service": "m", "to": "v2", "ramp_s": RAMP_S});
        let order = order.to_string();
        self.system.store.put("op", "rollout/m", order.as_bytes());
    }

    fn register_new(&self) {
        for (endpoint, zone) in self.new.iter().zip(["z1", "z2"]) {
            let entry = endpoint.versioned_entry("m", zone, "v2");
            self.system.store.put("servers", &endpoint.name, &entry);
        }
    }

    /// State of the roll-out in the store; empty if there is none.
    fn state(&self) -> String {
        let value = self.system.store.value("status", "rollout/m");
        let status = value.and_then(|value| serde_json::from_slice(&value).ok());
        let status: serde_json::Value = status.unwrap_or_default();
        assert!(status["to"].is_null() || status["to"] == "v2", "{status}");
        status["state"].as_str().unwrap_or_default().to_owned()
    }

    fn wait_for_state(&self, state: &str) {
        self.system.wait_for(state, || self.state() == state);
    }

    fn new_received(&self) -> Vec<fakes::ReceivedRequest> {
        let received = self.new.iter().flat_map(fakes::FakeEndpoint::received);
        let mut received: Vec<fakes::ReceivedRequest> = received.collect();
        received.sort_unstable_by_key(|request| request.at);
        received
    }

    fn old_received(&self) -> usize {
        let endpoints = self.system.endpoints();
        endpoints.iter().map(|known| known.received().len()).sum()
    }

    fn wait_for_endpoints(&self, known: usize) {
        let text = format!(r#""known":{known}"#);
        self.system.wait_for_line(&["endpoints changed", &text]);
    }
}

fn loads(system: &System) -> [load::SteadyLoad; 2] {
    let ips = system.gateway_ips();
    ["/safe/x", "/stream/x"].map(|path| load::SteadyLoad::start(&ips, load::LoadPlan::plain(path)))
}

fn finish(loads: [load::SteadyLoad; 2]) -> Vec<load::SentRequest> {
    loads.into_iter().flat_map(load::SteadyLoad::stop).collect()
}

fn check_served(requests: &[load::SentRequest], rollout: &RolloutSystem) {
    let is_lost =
        |request: &&load::SentRequest| request.status != Some(200) || !request.is_complete;
    let lost: Vec<&load::SentRequest> = requests.iter().filter(is_lost).collect();
    assert!(
        lost.is_empty(),
        "{} of {}: {:?}; {}",
        lost.len(),
        requests.len(),
        lost.first(),
        rollout.system.logs()
    );
}

/// Guards against a good version that does not take over, and against requests that are lost when the
/// old endpoints stop as soon as the status says so.
fn a_good_version_takes_over() {
    let rollout = RolloutSystem::start(System::start_with_rollouts(2));
    let loads = loads(&rollout.system);
    thread::sleep(time::Duration::from_millis(500));
    rollout.order();
    rollout.register_new();
    rollout.wait_for_state("running");
    rollout.wait_for_state("complete");
    for endpoint in rollout.system.endpoints() {
        endpoint.stop_answering();
        rollout.system.store.remove("servers", &endpoint.name);
    }
    let (at_old, at_new) = (rollout.old_received(), rollout.new_received().len());
    thread::sleep(time::Duration::from_millis(1_500));
    let requests = finish(loads);
    check_served(&requests, &rollout);
    assert!(rollout.new_received().len() > at_new);
    assert_eq!(rollout.old_received(), at_old);
}

/// Guards against keys that reach endpoints of either version on public routes.
fn no_version_gets_a_key_on_a_public_route() {
    let rollout = RolloutSystem::start(System::start_with_rollouts(1));
    let config = System::config(2, r#""k""#)
        .replace(r#""attempts":2},"#, r#""attempts":2,"public":true},"#)
        .replace(
            r#""gap_goal_ms":700}"#,
            r#""gap_goal_ms":700,"public":true}"#,
        );
    assert_eq!(config.matches(r#""public":true"#).count(), 3, "{config}");
    rollout.system.put_in_force(2, &config);
    let loads = loads(&rollout.system);
    rollout.order();
    rollout.register_new();
    rollout.wait_for_state("complete");
    check_served(&finish(loads), &rollout);
    let old = rollout.system.endpoints().into_iter();
    let mut received: Vec<fakes::ReceivedRequest> =
        old.flat_map(fakes::FakeEndpoint::received).collect();
    let new = rollout.new_received();
    assert!(!received.is_empty() && !new.is_empty());
    received.extend(new);
    for request in received {
        assert_eq!(request.head.headers.count("Authorization"), 0);
        let workspace = request.field("Kumquatpulley-Tenant");
        assert_eq!(workspace.as_deref(), Some("w"));
    }
}

/// Guards against routers that refuse all requests after a restart, as they know the order and not yet
/// that the new version has taken over.
fn restarted_routers_use_the_version_that_took_over(restarted: ops::Range<usize>) {
    let mut rollout = RolloutSystem::start(System::start_with_rollouts(2));
    let loads = loads(&rollout.system);
    rollout.order();
    rollout.register_new();
    rollout.wait_for_state("complete");
    check_served(&finish(loads), &rollout);
    for endpoint in rollout.system.endpoints() {
        endpoint.stop_answering();
        rollout.system.store.remove("servers", &endpoint.name);
    }
    thread::sleep(time::Duration::from_secs(1));
    for (ip, _started) in rollout.system.restart(restarted) {
        rollout.system.wait_for("a gateway is ready again", || {
            System::get(ip, 8220, "/ready") == 200
        });
        for number in 0..20 {
            let answer = System::send(ip, "/safe/x", &format!("{ip}-{number}"));
            let status = answer.map(|answer| answer.head.status);
            assert_eq!(status, Some(200), "{number}; {}", rollout.system.logs());
        }
    }
}

/// Guards against a bad version that gets more than the exposure bound or any request after the time to
/// roll back, and against one that is not reverted.
fn a_bad_version_is_reverted(make_bad: impl Fn(&fakes::FakeEndpoint)) {
    let rollout = RolloutSystem::start(System::start_with_rollouts(2));
    rollout.new.iter().for_each(make_bad);
    let loads = loads(&rollout.system);
    let ordered = time::Instant::now();
    rollout.order();
    rollout.register_new();
    rollout.wait_for_state("reverted");
    let reverted = time::Instant::now();
    thread::sleep(ROLLBACK_TIME);
    let requests = finish(loads);
    let since_order = requests.iter().filter(|request| request.sent > ordered);
    let reached = u32::try_from(since_order.count()).expect("few requests");
    let received = rollout.new_received();
    let exposed = u32::try_from(received.len()).expect("few requests");
    let bound = EXPOSE_SHARE.mul_add(f64::from(reached), EXPOSE_SLACK);
    assert!(exposed > 0, "{}", rollout.system.logs());
    assert!(f64::from(exposed) <= bound, "{exposed} of {reached}");
    let bad = received.get(BAD_ANSWERS - 1).map(|request| request.at);
    let limit = bad.unwrap_or(reverted) + ROLLBACK_TIME;
    let late = received.iter().filter(|request| request.at > limit);
    assert_eq!(late.count(), 0);
}

fn fails(endpoint: &fakes::FakeEndpoint) {
    endpoint.set_mode(fakes::EndpointMode::AnswersWith(FAILURE));
}

fn loses_answers(endpoint: &fakes::FakeEndpoint) {
    endpoint.set_mode(fakes::EndpointMode::DropsAnswer);
}

/// Calls take 5 times as long.
fn is_slow(endpoint: &fakes::FakeEndpoint) {
    endpoint.calls().set_run_time(RUN_TIME * 5);
}

/// Streams end inside an event without a frame; calls are answered.
fn breaks_streams(endpoint: &fakes::FakeEndpoint) {
    endpoint.set_mode(fakes::EndpointMode::ForeignEvents(3));
}

/// Guards against a change for deployments whose settings lack the contract.
fn without_the_contract_orders_have_no_effect() {
    let rollout = RolloutSystem::start(System::start(2));
    rollout.order();
    rollout.register_new();
    rollout.wait_for_endpoints(4);
    let loads = loads(&rollout.system);
    thread::sleep(time::Duration::from_secs(3));
    let requests = finish(loads);
    check_served(&requests, &rollout);
    let (old, new) = (rollout.old_received(), rollout.new_received().len());
    assert!(old < 4 * new && new < 4 * old, "{old} old, {new} new");
    assert_eq!(rollout.state(), "");
}

/// Guards against requests at endpoints of a new version whose order cannot be read yet.
fn a_new_version_gets_nothing_before_the_orders_are_read() {
    let rollout = RolloutSystem::start(System::start_with_rollouts(1));
    let ip = rollout.system.ip();
    rollout.system.store.set_unreadable("op", true);
    // A call for changes that was waiting may still have answered for the time before.
    thread::sleep(time::Duration::from_millis(300));
    rollout.register_new();
    rollout.wait_for_endpoints(4);
    let began = time::Instant::now();
    for number in 0..40 {
        let answer = System::send(ip, "/open/x", &format!("before-{number}"));
        assert_eq!(answer.expect("an answer").head.status, 200);
    }
    assert!(began.elapsed() < time::Duration::from_secs(3), "too slow");
    assert_eq!(rollout.new_received().len(), 0);
    rollout.system.store.set_unreadable("op", false);
    rollout.system.wait_for("the new version is used", || {
        System::send(ip, "/open/x", "after");
        !rollout.new_received().is_empty()
    });
}

common::cases! {
    good_version: a_good_version_takes_over();
    failing_version: a_bad_version_is_reverted(fails);
    lossy_version: a_bad_version_is_reverted(loses_answers);
    slow_version: a_bad_version_is_reverted(is_slow);
    version_that_breaks_streams: a_bad_version_is_reverted(breaks_streams);
    restarted_router: restarted_routers_use_the_version_that_took_over(0..1);
    restarted_system: restarted_routers_use_the_version_that_took_over(0..2);
    keys_on_public_routes: no_version_gets_a_key_on_a_public_route();
    no_contract: without_the_contract_orders_have_no_effect();
    unread_orders: a_new_version_gets_nothing_before_the_orders_are_read();
}
