//! Streams of a service whose endpoints have two software versions, with no order to roll one out.

use std::net;
use std::ops;
use std::thread;
use std::time;

use crate::common;
use crate::support::system::System;
use crate::support::{caller, fakes, timed_work};

/// Streams that run at the same time, so that none of two versions gets all of them by chance.
const STREAMS: usize = 12;

/// Time from the start of the streams until what begins them ends.
const STREAMED_BEFORE: time::Duration = time::Duration::from_millis(1_200);

/// Time within which a take-up that cannot be served is refused.
const REFUSAL_LIMIT: time::Duration = time::Duration::from_millis(700);

const TIMING: timed_work::WorkTiming = timed_work::WorkTiming {
    queued: time::Duration::ZERO,
    silent: time::Duration::from_millis(20),
    streamed: time::Duration::from_secs(3),
    padding: 0,
};

/// A system whose endpoints `e1` and `e2` have version `v1`, and `n1` and `n2` version `v2`.
struct MixedSystem {
    system: System,
    new: [fakes::FakeEndpoint; 2],
}

/// A stream that broke off, as its caller knows it.
struct BrokenStream {
    id: String,
    /// Id of the last event received.
    last_event: u64,
}

impl MixedSystem {
    fn start(gateways: u8) -> Self {
        let system = System::start(gateways);
        let ip = |last| net::IpAddr::from([system.net[0], system.net[1], system.net[2], last]);
        let new = [
            fakes::FakeEndpoint::start(ip(242), "n1"),
            fakes::FakeEndpoint::start(ip(243), "n2"),
        ];
        Self { system, new }
    }

    fn register_new(&self) {
        for (endpoint, zone) in self.new.iter().zip(["z1", "z2"]) {
            let entry = endpoint.versioned_entry("m", zone, "v2");
            self.system.store.put("servers", &endpoint.name, &entry);
        }
        self.system.wait_for_known(4);
    }

    fn remove_old(&self) {
        for endpoint in self.system.endpoints() {
            endpoint.stop_answering();
            self.system.store.remove("servers", &endpoint.name);
        }
        self.system.wait_for_known(2);
    }

    /// Versions of the endpoints that a request reached, in no particular order.
    fn versions(&self, id: &str) -> Vec<&'static str> {
        let old = self.system.endpoints().map(|endpoint| (endpoint, "v1"));
        let new = self.new.iter().map(|endpoint| (endpoint, "v2"));
        let reached = |endpoint: &fakes::FakeEndpoint| {
            let received = endpoint.received();
            let is_own = |request: &fakes::ReceivedRequest| {
                request.field("Kumquatpulley-Request-Id").as_deref() == Some(id)
            };
            received.iter().any(is_own)
        };
        let all = old.into_iter().chain(new);
        let all = all.filter(|(endpoint, _version)| reached(endpoint));
        all.map(|(_endpoint, version)| version).collect()
    }

    /// Runs streams at the gateways until `interrupt` breaks them off.
    fn break_streams(&mut self, interrupt: impl FnOnce(&mut Self)) -> Vec<BrokenStream> {
        let ips = self.system.gateway_ips();
        let target = TIMING.target("/stream/1");
        let running = (0..STREAMS).map(|number| {
            let (ip, target) = (ips[number % ips.len()], target.clone());
            let id = format!("s{number}");
            thread::spawn(move || (System::send(ip, &target, &id), id))
        });
        let running: Vec<_> = running.collect();
        thread::sleep(STREAMED_BEFORE);
        interrupt(self);
        let ended = running
            .into_iter()
            .map(|stream| stream.join().expect("no panic"));
        let broken = ended.filter_map(|(answer, id)| {
            let answer = answer.filter(|answer| !answer.is_complete)?;
            let last_event = last_event(&answer.text())?;
            Some(BrokenStream { id, last_event })
        });
        broken.collect()
    }

    /// Takes a stream up at the gateway with this index, as the request `id`.
    fn take_up(
        &self,
        index: usize,
        id: &str,
        resumes: Option<&str>,
        last: u64,
    ) -> Option<caller::Answer> {
        let resumes = resumes.map_or_else(String::new, |resumes| format!("Resumes: {resumes}\r\n"));
        let fields = format!("{resumes}Last-Event-Id: {last}\r\nKumquatpulley-Deadline-Ms");
        let text = caller::request(&TIMING.target("/stream/1"), id, "k");
        let text = text.replace("Kumquatpulley-Deadline-Ms", &fields);
        let ip = self.system.gateway_ips()[index];
        caller::exchange((ip, 8227).into(), text.as_bytes())
    }

    fn restart(&mut self, gateways: ops::Range<usize>) {
        self.system.restart(gateways);
        for gateway in &self.system.gateways {
            self.system.wait_for("a gateway is ready", || {
                System::get(gateway.ip, 8220, "/ready") == 200
            });
        }
        thread::sleep(time::Duration::from_millis(300));
    }
}

/// Id of the last whole event.
fn last_event(text: &str) -> Option<u64> {
    let whole = &text[..text.rfind("\n\n")?];
    let ids = whole.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok()).next_back()
}

/// Guards against an answer whose text is joined from two versions, as the engine that began it is lost
/// and no other one of its version is left.
fn an_answer_stays_with_its_version(keeps_second: bool) {
    let mut mixed = MixedSystem::start(1);
    mixed
        .system
        .first
        .set_mode(fakes::EndpointMode::SlowThenDiesAfter(8));
    mixed.system.store.remove("servers", "e2");
    mixed.system.wait_for_known(1);
    let ip = mixed.system.ip();
    let stream = thread::spawn(move || System::send(ip, "/stream/1", "s"));
    mixed
        .system
        .wait_for("the stream runs", || !mixed.system.arrivals("s").is_empty());
    if keeps_second {
        let entry = mixed.system.second.entry("m", "z2", "ready");
        mixed.system.store.put("servers", "e2", &entry);
    } else {
        mixed.system.second.stop_answering();
    }
    for (endpoint, zone) in mixed.new.iter().zip(["z1", "z2"]) {
        let entry = endpoint.versioned_entry("m", zone, "v2");
        mixed.system.store.put("servers", &endpoint.name, &entry);
    }
    let answer = stream.join().expect("no panic").expect("an answer");
    assert!(
        !mixed.versions("s").contains(&"v2"),
        "{}",
        mixed.system.logs()
    );
    assert_eq!(answer.is_complete, keeps_second, "{}", mixed.system.logs());
    mixed
        .new
        .iter_mut()
        .for_each(|endpoint| endpoint.stop_answering());
}

/// Guards against an answer that is broken off although its service gets its only endpoint back.
fn an_answer_waits_for_a_service_without_endpoints() {
    let mixed = MixedSystem::start(1);
    let first = &mixed.system.first;
    first.set_mode(fakes::EndpointMode::SlowThenDiesAfter(4));
    mixed.system.store.remove("servers", "e2");
    mixed.system.wait_for_known(1);
    let ip = mixed.system.ip();
    let stream = thread::spawn(move || System::send(ip, "/stream/1", "s"));
    mixed.system.wait_for_line(&["stream lost"]);
    mixed.system.store.remove("servers", "e1");
    mixed.system.wait_for_known(0);
    thread::sleep(time::Duration::from_millis(500));
    first.set_mode(fakes::EndpointMode::Healthy);
    first.revive();
    let entry = first.entry("m", "z1", "ready");
    mixed.system.store.put("servers", "e1", &entry);
    let answer = stream.join().expect("no panic").expect("an answer");
    assert!(answer.is_complete, "{}", mixed.system.logs());
}

/// Guards against take-ups that are joined from two versions, and against refusing all of them.
fn take_ups_stay_with_their_version(gateways: u8, killed: ops::Range<usize>) {
    let mut mixed = MixedSystem::start(gateways);
    mixed.register_new();
    let broken = mixed.break_streams(|mixed| mixed.restart(killed));
    assert!(broken.len() >= STREAMS / 2, "{} broken", broken.len());
    let mut served = 0;
    for (number, stream) in broken.iter().enumerate() {
        let id = format!("t{number}");
        let index = number % mixed.system.gateways.len();
        let answer = mixed.take_up(index, &id, Some(&stream.id), stream.last_event);
        let (before, after) = (mixed.versions(&stream.id), mixed.versions(&id));
        let is_joined = after.iter().any(|version| !before.contains(version));
        assert!(
            !is_joined,
            "{id}: {before:?}, {after:?}; {}",
            mixed.system.logs()
        );
        served += usize::from(answer.is_some_and(|answer| answer.is_complete));
    }
    assert!(
        served * 2 >= broken.len(),
        "{served} of {}; {}",
        broken.len(),
        mixed.system.logs()
    );
}

/// Guards against take-ups that wait for, or go on without, endpoints of a version that has left.
fn a_take_up_without_its_version_is_refused_at_once() {
    let mut mixed = MixedSystem::start(2);
    mixed.register_new();
    let broken = mixed.break_streams(|mixed| mixed.restart(0..2));
    mixed.remove_old();
    let mut refused = 0;
    for (number, stream) in broken.iter().enumerate() {
        if mixed.versions(&stream.id) != ["v1"] {
            continue;
        }
        let id = format!("t{number}");
        let begin = time::Instant::now();
        let answer = mixed.take_up(0, &id, Some(&stream.id), stream.last_event);
        let answer = answer.expect("an answer");
        assert_eq!(answer.head.status, 503, "{}", mixed.system.logs());
        assert!(begin.elapsed() < REFUSAL_LIMIT, "{:?}", begin.elapsed());
        assert!(mixed.versions(&id).is_empty(), "{}", mixed.system.logs());
        refused += 1;
    }
    assert!(refused > 0, "no stream of the old version broke off");
}

/// Guards against a take-up of a stream that nobody knows, while it may be of either version.
fn an_unknown_take_up_is_refused_at_once(resumes: Option<&str>) {
    let mixed = MixedSystem::start(1);
    mixed.register_new();
    let begin = time::Instant::now();
    let answer = mixed.take_up(0, "t", resumes, 3).expect("an answer");
    assert_eq!(answer.head.status, 503, "{}", mixed.system.logs());
    assert!(begin.elapsed() < REFUSAL_LIMIT, "{:?}", begin.elapsed());
    assert!(mixed.versions("t").is_empty(), "{}", mixed.system.logs());
}

/// Guards against refused take-ups, and calls of the store, where there is one version only.
fn one_version_takes_up_all(resumes: Option<&str>, is_restarted: bool) {
    let mut mixed = MixedSystem::start(2);
    if is_restarted {
        mixed.restart(0..2);
    }
    let answer = mixed.take_up(0, "t", resumes, 3).expect("an answer");
    assert_eq!(answer.head.status, 200, "{}", mixed.system.logs());
    assert_eq!(answer.text(), TIMING.stream_body(3));
}

common::cases! {
    answer_with_another_engine: an_answer_stays_with_its_version(true);
    answer_without_another_engine: an_answer_stays_with_its_version(false);
    answer_while_there_is_no_endpoint: an_answer_waits_for_a_service_without_endpoints();
    take_up_at_another_gateway: take_ups_stay_with_their_version(2, 0..1);
    take_up_after_all_were_killed: take_ups_stay_with_their_version(2, 0..2);
    version_has_left: a_take_up_without_its_version_is_refused_at_once();
    unknown_stream: an_unknown_take_up_is_refused_at_once(Some("never"));
    unnamed_stream: an_unknown_take_up_is_refused_at_once(None);
    one_version: one_version_takes_up_all(Some("s"), false);
    one_version_unnamed: one_version_takes_up_all(None, false);
    one_version_restarted: one_version_takes_up_all(Some("s"), true);
}
