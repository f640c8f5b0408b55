//! Request limits that endpoints name in their answers, and that all gateways keep together.

use std::net;
use std::thread;
use std::time;

use kumquatpulley::process::gateway::{boot_clock, endpoint_limit};
use kumquatpulley::request::relay::request_rate;

use crate::common;
use crate::support::system::System;
use crate::support::{fakes, limit_judge, load};

/// Time of load before a limit is named.
const WARM_UP: time::Duration = time::Duration::from_secs(1);

/// Time of load under a limit: three seconds until it binds, and more than a window after it.
const LIMITED_TIME: time::Duration = time::Duration::from_secs(9);

/// Requests a second that an endpoint takes in these tests.
const RATE: f64 = 2.5;

/// Time in which a caller learns that it is refused.
const REFUSAL_BOUND: time::Duration = time::Duration::from_millis(700);

fn observed(millirequests: Option<u64>, millis: u64) -> endpoint_limit::LimitObservation {
    endpoint_limit::LimitObservation {
        rate: millirequests.map(request_rate::RequestRate),
        at: boot_clock::BootInstant(time::Duration::from_millis(millis)),
    }
}

/// An answer that was on its way when the limit was named says nothing about it.
fn a_limit_ends_only_with_a_newer_answer() {
    let mut limit = endpoint_limit::EndpointLimit::default();
    assert!(!limit.observe(observed(None, 10)));
    assert!(limit.observe(observed(Some(2_700), 20)));
    assert!(!limit.observe(observed(None, 15)));
    assert_eq!(limit.rate(), Some(request_rate::RequestRate(2_700)));
    assert!(!limit.observe(observed(Some(2_700), 30)));
    assert!(!limit.observe(observed(None, 25)));
    assert!(limit.observe(observed(Some(900), 40)));
    assert!(limit.observe(observed(None, 41)));
    assert_eq!(limit.rate(), None);
    assert!(!limit.observe(observed(Some(900), 39)));
    assert_eq!(limit.rate(), None);
}

/// A system with three gateways under load, the requests that it served, and its faults.
struct LimitedLoad {
    system: System,
    load: load::SteadyLoad,
    /// Gateways that were killed, and when.
    killed: Vec<(net::IpAddr, time::Instant)>,
}

impl LimitedLoad {
    fn start(path: &'static str) -> Self {
        let system = System::start(3);
        let ips: Vec<net::IpAddr> = system.gateways.iter().map(|gateway| gateway.ip).collect();
        let load = load::SteadyLoad::start(&ips, load::LoadPlan::plain(path));
        thread::sleep(WARM_UP);
        Self {
            system,
            load,
            killed: Vec::new(),
        }
    }

    /// Kills the gateway with this index and starts it again after `pause`, unless it is `None`.
    fn kill(&mut self, index: usize, pause: Option<time::Duration>) {
        let killed = self.system.kill(index);
        let (ip, _store_address) = killed;
        self.killed.push((ip, time::Instant::now()));
        let Some(pause) = pause else { return };
        thread::sleep(pause);
        self.system.start_again(index, killed);
        self.killed.push((ip, time::Instant::now()));
    }

    /// Ends the load and checks that no limit was exceeded; returns the system and the requests.
    fn finish(self) -> (System, Vec<load::SentRequest>) {
        let requests = self.load.stop();
        let views: Vec<limit_judge::CallerView> = requests
            .iter()
            .map(|request| request.view.clone())
            .collect();
        let is_excused = |ip, at| limit_judge::was_restarted(&self.killed, ip, at);
        for endpoint in [&self.system.first, &self.system.second] {
            let findings = limit_judge::find_excesses(endpoint, &views, is_excused);
            assert!(findings.is_empty(), "{findings:?}");
        }
        (self.system, requests)
    }
}

fn seconds_ago(seconds: u64) -> time::Instant {
    let earlier = time::Instant::now().checked_sub(time::Duration::from_secs(seconds));
    earlier.expect("the machine has run that long")
}

/// Requests that reached the endpoint from `from` on.
fn count_since(endpoint: &fakes::FakeEndpoint, from: time::Instant) -> usize {
    let received = endpoint.received();
    received.iter().filter(|request| from <= request.at).count()
}

/// Part of the requests sent from `from` on that were served.
fn served_part(requests: &[load::SentRequest], from: time::Instant) -> f64 {
    let sent = requests.iter().filter(|request| from <= request.sent);
    let (all, served) = sent.fold((0_u32, 0_u32), |(all, served), request| {
        (all + 1, served + u32::from(request.status == Some(200)))
    });
    f64::from(served) / f64::from(all.max(1))
}

/// One endpoint limits its rate. Each gateway alone gets more requests than that, and the other
/// endpoint takes the rest.
fn a_limit_is_kept_by_all_gateways_together(path: &'static str) {
    let load = LimitedLoad::start(path);
    load.system.first.set_limit(Some(RATE));
    thread::sleep(LIMITED_TIME);
    let last_window = seconds_ago(4);
    let (system, requests) = load.finish();
    let part = served_part(&requests, last_window);
    assert!(part > 0.95, "{part} served");
    // The limit is used, not only kept.
    let used = count_since(&system.first, last_window);
    assert!(used >= 5, "{used} requests; {}", system.logs());
}

/// All endpoints limit their rate. What is beyond the sum is refused at once, with a delay.
fn requests_beyond_all_limits_are_refused_at_once(path: &'static str) {
    let load = LimitedLoad::start(path);
    for endpoint in [&load.system.first, &load.system.second] {
        endpoint.set_limit(Some(RATE));
    }
    let limited = time::Instant::now() + time::Duration::from_secs(1);
    thread::sleep(LIMITED_TIME);
    let last_window = seconds_ago(4);
    let (system, requests) = load.finish();
    let refused = requests
        .iter()
        .filter(|request| request.sent > limited && request.status != Some(200));
    let refused: Vec<&load::SentRequest> = refused.collect();
    assert!(!refused.is_empty());
    for request in refused {
        assert!(
            request.status == Some(503) && request.has_retry_delay,
            "{request:?}"
        );
        assert!(request.elapsed < REFUSAL_BOUND, "{request:?}");
    }
    let used = count_since(&system.first, last_window) + count_since(&system.second, last_window);
    assert!(used >= 10, "{used} requests; {}", system.logs());
}

/// Each request is sent to the endpoint without a limit first and fails there.
fn repeated_requests_count_towards_the_limit() {
    let load = LimitedLoad::start("/safe/1");
    load.system.second.set_limit(Some(RATE));
    load.system.first.set_mode(fakes::EndpointMode::DropsAnswer);
    thread::sleep(LIMITED_TIME);
    load.finish();
}

/// Streams break off at one engine again and again and go on at the other, which has a limit.
fn resumed_streams_count_towards_the_limit() {
    let load = LimitedLoad::start("/stream/1");
    load.system.second.set_limit(Some(RATE));
    load.system
        .first
        .set_mode(fakes::EndpointMode::DiesAfter(3));
    let until = time::Instant::now() + LIMITED_TIME;
    while time::Instant::now() < until {
        load.system.first.revive();
        thread::sleep(time::Duration::from_millis(50));
    }
    let (system, _requests) = load.finish();
    let received = system.second.received();
    let resumed = received
        .iter()
        .filter(|request| request.field("Last-Event-Id").is_some());
    assert!(resumed.count() > 0, "{}", system.logs());
}

/// The limit falls, rises and ends under load; it is kept all the time, and afterwards the endpoint
/// gets as many requests as before.
fn a_limit_that_changes_and_ends_is_followed() {
    let load = LimitedLoad::start("/once/1");
    let limits = [(Some(20.0), 5), (Some(RATE), 6), (Some(12.0), 5), (None, 4)];
    for (rate, seconds) in limits {
        load.system.first.set_limit(rate);
        thread::sleep(time::Duration::from_secs(seconds));
    }
    let last_seconds = seconds_ago(2);
    let (system, _requests) = load.finish();
    let used = count_since(&system.first, last_seconds);
    assert!(used >= 40, "{used} requests; {}", system.logs());
}

/// Gateways are lost and restarted, the last two at the same time.
fn a_limit_is_kept_while_gateways_restart() {
    let mut load = LimitedLoad::start("/once/1");
    load.system.first.set_limit(Some(RATE));
    thread::sleep(time::Duration::from_secs(5));
    load.kill(0, Some(time::Duration::from_millis(300)));
    thread::sleep(time::Duration::from_secs(5));
    load.kill(1, None);
    load.kill(1, None);
    thread::sleep(time::Duration::from_secs(6));
    let last_window = seconds_ago(4);
    let (system, _requests) = load.finish();
    let used = count_since(&system.first, last_window);
    assert!(used >= 1, "{}", system.logs());
}

/// No gateway reaches the store.
fn a_limit_is_kept_while_the_store_is_away() {
    let load = LimitedLoad::start("/open/1");
    load.system.first.set_limit(Some(RATE));
    thread::sleep(time::Duration::from_secs(1));
    for gateway in &load.system.gateways {
        load.system.store.hang(gateway.store_address);
    }
    thread::sleep(LIMITED_TIME);
    load.finish();
}

common::cases! {
    calls: a_limit_is_kept_by_all_gateways_together("/once/1");
    streams: a_limit_is_kept_by_all_gateways_together("/stream/1");
    all_limited_calls: requests_beyond_all_limits_are_refused_at_once("/once/1");
    all_limited_streams: requests_beyond_all_limits_are_refused_at_once("/stream/1");
    repeats: repeated_requests_count_towards_the_limit();
    resumed_streams: resumed_streams_count_towards_the_limit();
    changing_limit: a_limit_that_changes_and_ends_is_followed();
    restarts: a_limit_is_kept_while_gateways_restart();
    store_away: a_limit_is_kept_while_the_store_is_away();
    observation_order: a_limit_ends_only_with_a_newer_answer();
}
