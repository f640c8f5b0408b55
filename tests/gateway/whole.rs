//! Gateway processes between callers, endpoints and a store on loopback.

use std::fs;
use std::io::{Read as _, Write as _};
use std::net;
use std::process;
use std::thread;
use std::time;

use kumquatpulley::process::telemetry::{status, timeline};

use crate::common;
use crate::support::system::System;
use crate::support::{caller, fakes, router};

/// Time within which a draining endpoint must be known, as the platform's settings define it.
const DRAIN_NOTICE_BOUND: time::Duration = time::Duration::from_secs(2);

/// Port of the metrics address, as the deployment file sets it.
const METRICS_PORT: u16 = 9464;

/// Longest pause between events that the route's `gap_goal_ms` allows.
const MAX_EVENT_GAP: time::Duration = time::Duration::from_millis(700);

fn a_call_and_a_stream_are_answered() {
    let system = System::start(1);
    let answer = System::send(system.ip(), "/once/1", "r1").expect("an answer");
    assert_eq!(
        (answer.head.status, answer.text().as_str()),
        (200, fakes::plain_answer("r1").as_str()),
        "{}",
        system.logs()
    );
    assert_eq!(
        answer.head.headers.get("Kumquatpulley-Runner-Seal"),
        Some("s")
    );
    let answer = System::send(system.ip(), "/stream/1", "r2").expect("an answer");
    assert!(answer.is_complete);
    assert_eq!(answer.text(), caller::complete_stream());
    let arrivals = system.arrivals("r2");
    assert_eq!(arrivals.len(), 1);
    assert_eq!(
        arrivals[0].field("Kumquatpulley-Tenant").as_deref(),
        Some("w")
    );
    assert_eq!(arrivals[0].field("Authorization"), None);
    assert!(arrivals[0].field("Kumquatpulley-Kv-Backup").is_some());
}

fn a_stream_that_ends_with_its_connection_is_whole() {
    let system = System::start(1);
    system.set_modes(fakes::EndpointMode::Unframed);
    let answer = System::send(system.ip(), "/stream/1", "r1").expect("an answer");
    assert!(answer.is_complete);
    assert_eq!(answer.text(), caller::complete_stream());
    assert_eq!(system.arrivals("r1").len(), 1);
}

/// An engine that crashes right after the response head closes the connection too.
fn an_empty_stream_that_ends_with_its_connection_is_not_whole() {
    let system = System::start(1);
    system.set_modes(fakes::EndpointMode::UnframedEndsAfter(0));
    let answer = System::send(system.ip(), "/stream/1", "r1").expect("an answer");
    assert_eq!(answer.head.status, 502, "{}", system.logs());
    for engine in [&system.first, &system.second] {
        engine.set_mode(fakes::EndpointMode::Healthy);
        engine.revive();
    }
    system
        .first
        .set_mode(fakes::EndpointMode::UnframedEndsAfter(0));
    for number in 0..4 {
        system.first.revive();
        let answer = System::send(system.ip(), "/stream/1", &format!("s{number}"));
        let answer = answer.expect("an answer");
        assert!(answer.is_complete, "{}", system.logs());
        assert_eq!(answer.text(), caller::complete_stream());
    }
}

fn stream_survives_engine_failure(mode: fakes::EndpointMode) {
    let system = System::start(1);
    // Both engines get the mode; the one that is not chosen is healthy again once the stream has
    // begun.
    system.set_modes(mode);
    let ip = system.ip();
    let calling = thread::spawn(move || {
        caller::exchange(
            (ip, 8227).into(),
            caller::request("/stream/1", "r1", "k").as_bytes(),
        )
    });
    system.wait_for("the stream begins", || !system.arrivals("r1").is_empty());
    let is_first = system
        .first
        .received()
        .iter()
        .any(|request| request.head.target == "/stream/1");
    let other = if is_first {
        &system.second
    } else {
        &system.first
    };
    other.set_mode(fakes::EndpointMode::Healthy);
    let answer = calling.join().expect("no panic").expect("an answer");
    assert!(answer.is_complete, "{}", system.logs());
    assert_eq!(answer.text(), caller::complete_stream());
    assert!(
        answer.longest_pause < MAX_EVENT_GAP,
        "pause {:?}; {}",
        answer.longest_pause,
        system.logs()
    );
    let arrivals = system.arrivals("r1");
    assert_eq!(arrivals.len(), 2, "{}", system.logs());
    assert_eq!(arrivals[1].field("Last-Event-Id").as_deref(), Some("4"));
    assert_eq!(
        arrivals[1].field("Kv-From"),
        Some(format!("{}/r1", other.address))
    );
}

/// Guards against streams without a backup copy: of 415 streams that lost their engine midway on
/// the users' test bench, 72 had none, as the engine that held it had gone seconds before.
fn stream_survives_loss_of_backup_then_engine() {
    let system = System::start(1);
    let ip = net::IpAddr::from([system.net[0], system.net[1], system.net[2], 242]);
    let third = fakes::FakeEndpoint::start(ip, "e3");
    system
        .store
        .put("servers", "e3", &third.entry("m", "z3", "ready"));
    system.wait_for("the third engine is known", || {
        system.logs().contains(r#""known":3"#)
    });
    let engines = [&system.first, &system.second, &third];
    for engine in engines {
        engine.set_mode(fakes::EndpointMode::SlowThenDiesAfter(10));
    }
    let ip = system.ip();
    let calling = thread::spawn(move || {
        caller::exchange(
            (ip, 8227).into(),
            caller::request("/stream/1", "r1", "k").as_bytes(),
        )
    });
    let runs = |engine: &&&fakes::FakeEndpoint| !engine.received().is_empty();
    system.wait_for("the stream begins", || {
        engines.iter().any(|engine| runs(&engine))
    });
    let running = engines
        .iter()
        .find(runs)
        .expect("an engine runs the stream");
    let holder = running.received()[0].field("Kumquatpulley-Kv-Backup");
    let holds = |engine: &&&fakes::FakeEndpoint| holder == Some(engine.address.to_string());
    let holder = engines.iter().find(holds).expect("one of the engines");
    let is_spare =
        |engine: &&&fakes::FakeEndpoint| engine.name != running.name && engine.name != holder.name;
    let spare = engines.iter().find(is_spare).expect("the third engine");
    holder.set_mode(fakes::EndpointMode::DropsAnswer);
    spare.set_mode(fakes::EndpointMode::Healthy);
    system.store.remove("servers", &holder.name);
    let answer = calling.join().expect("no panic").expect("an answer");
    assert!(answer.is_complete, "{}", system.logs());
    assert_eq!(answer.text(), caller::complete_stream());
    assert!(
        answer.longest_pause < MAX_EVENT_GAP,
        "{:?}",
        answer.longest_pause
    );
    let moves = running.copy_requests();
    assert_eq!(moves[0].head.target, "/kv-move");
    let request: serde_json::Value = serde_json::from_slice(&moves[0].body).expect("JSON");
    let expected = serde_json::json!({"id": "r1", "to": spare.address.to_string()});
    assert_eq!(request, expected);
    let resumed = &spare.received()[0];
    let from = format!("{}/h-r1", running.address);
    assert_eq!(resumed.field("Kv-From"), Some(from));
    assert_eq!(resumed.field("Last-Event-Id").as_deref(), Some("10"));
}

fn unsafe_call_that_may_have_run_is_not_retried(mode: fakes::EndpointMode) {
    let system = System::start(1);
    system.set_modes(mode);
    let answer = System::send(system.ip(), "/once/1", "r1").expect("an answer");
    assert_eq!(answer.head.status, 502, "{}", system.logs());
    assert_eq!(answer.head.headers.get("Kumquatpulley-Runner-Seal"), None);
    assert_eq!(system.arrivals("r1").len(), 1);
}

fn idempotent_call_is_retried(mode: fakes::EndpointMode) {
    let system = System::start(1);
    system.first.set_mode(mode);
    for number in 0..6 {
        let id = format!("r{number}");
        let answer = System::send(system.ip(), "/safe/1", &id).expect("an answer");
        assert_eq!(
            (answer.head.status, answer.text().as_str()),
            (200, fakes::plain_answer(&id).as_str()),
            "{}",
            system.logs()
        );
    }
    assert!(
        !system.first.received().is_empty(),
        "the first endpoint was never tried"
    );
}

fn refused_call_is_retried_elsewhere(mode: fakes::EndpointMode) {
    let system = System::start(1);
    system.first.set_mode(mode);
    for number in 0..6 {
        let id = format!("r{number}");
        let answer = System::send(system.ip(), "/once/1", &id).expect("an answer");
        assert_eq!(answer.head.status, 200, "{}", system.logs());
    }
    assert!(
        !system.first.received().is_empty(),
        "the first endpoint was never tried"
    );
}

/// Guards against streams that try an engine again and again although its address now belongs to
/// another one. For seconds after a store outage, lists still named such engines.
fn streams_avoid_a_replaced_engine() {
    let system = System::start(1);
    system.first.set_mode(fakes::EndpointMode::Replaced);
    for number in 0..8 {
        let answer = System::send(system.ip(), "/stream/1", &format!("r{number}"));
        assert!(answer.expect("an answer").is_complete, "{}", system.logs());
        // Longer than the time for which a full engine is avoided.
        thread::sleep(time::Duration::from_millis(150));
    }
    let arrivals = system.first.received();
    assert!(arrivals.len() <= 1, "{} requests sent", arrivals.len());
}

/// Guards against a backup copy that is assigned to an engine that is gone, so that there is none.
/// Seen in the same store outage.
fn backup_is_held_by_a_reachable_engine() {
    let system = System::start(1);
    let nobody = net::IpAddr::from([system.net[0], system.net[1], system.net[2], 242]);
    let gone = fakes::FakeEndpoint::entry_at((nobody, 9_000).into(), "m", "z2", "ready");
    system.store.put("servers", "gone", &gone);
    system.wait_for("the gone engine is known", || {
        system.logs().contains(r#""known":3"#)
    });
    for number in 0..12 {
        let id = format!("r{number}");
        let answer = System::send(system.ip(), "/stream/1", &id).expect("an answer");
        assert!(answer.is_complete, "{}", system.logs());
        let arrivals = system.arrivals(&id);
        let holder = arrivals[0]
            .field("Kumquatpulley-Kv-Backup")
            .unwrap_or_default();
        let reachable = [system.first.address, system.second.address];
        let is_reachable = reachable
            .iter()
            .any(|address| address.to_string() == holder);
        assert!(
            is_reachable,
            "the copy of {id} is at {holder}; {}",
            system.logs()
        );
    }
}

fn call_is_refused_as_not_run_when_all_endpoints_are_full() {
    let system = System::start(1);
    system.set_first_mode(fakes::EndpointMode::Full);
    let answer = System::send(system.ip(), "/once/1", "r1").expect("an answer");
    assert_eq!(answer.head.status, 503);
    assert!(answer.head.headers.get("Retry-After").is_some());
}

fn draining_endpoint_gets_no_new_requests() {
    let system = System::start(1);
    let entry = system.first.entry("m", "z1", "draining");
    system.store.put("servers", "e1", &entry);
    thread::sleep(DRAIN_NOTICE_BOUND);
    for number in 0..12 {
        let answer = System::send(system.ip(), "/safe/1", &format!("r{number}"));
        assert_eq!(answer.expect("an answer").head.status, 200);
    }
    assert!(system.first.received().is_empty());
    system.store.remove("servers", "e2");
    thread::sleep(DRAIN_NOTICE_BOUND);
    let answer = System::send(system.ip(), "/safe/1", "last").expect("an answer");
    assert_eq!(answer.head.status, 503);
}

fn revoked_key_is_refused_and_new_key_accepted() {
    let system = System::start(1);
    system.put_config(2, r#""k2""#);
    system.wait_for("the new key is taken", || {
        let text = caller::request("/safe/1", "r1", "k2");
        let answer = caller::exchange((system.ip(), 8227).into(), text.as_bytes());
        answer.is_some_and(|answer| answer.head.status == 200)
    });
    let answer = System::send(system.ip(), "/safe/1", "old").expect("an answer");
    assert_eq!(answer.head.status, 401);
    assert!(system.arrivals("old").is_empty());
}

fn older_version_is_never_applied() {
    let system = System::start(1);
    system.put_config(5, r#""k5""#);
    let is_taken = |key: &str| {
        let answer = caller::exchange(
            (system.ip(), 8227).into(),
            caller::request("/safe/1", "r", key).as_bytes(),
        );
        answer.is_some_and(|answer| answer.head.status == 200)
    };
    system.wait_for("version 5 is in force", || is_taken("k5"));
    system.put_config(4, r#""k4""#);
    thread::sleep(DRAIN_NOTICE_BOUND);
    assert!(is_taken("k5") && !is_taken("k4"));
}

/// Guards against an unchanged configuration that ages to twice the wait of a long poll, past the
/// maximum key age. Found by the soak test with seed 20261204.
fn unchanged_configuration_stays_fresh() {
    let system = System::start(2);
    let until = time::Instant::now() + time::Duration::from_secs(6);
    let mut number = 0;
    while time::Instant::now() < until {
        for gateway in &system.gateways {
            number += 1;
            let answer = System::send(gateway.ip, "/safe/1", &format!("r{number}"));
            assert_eq!(
                answer.expect("an answer").head.status,
                200,
                "{}",
                system.logs()
            );
        }
        thread::sleep(time::Duration::from_millis(40));
    }
}

/// A router whose configuration was not confirmed for the maximum key age must not accept keys.
fn keys_are_refused_once_the_configuration_is_stale() {
    let system = System::start(1);
    system
        .store
        .set_unavailable(system.gateways[0].store_address, true);
    thread::sleep(time::Duration::from_millis(6_500));
    let answer = System::send(system.ip(), "/safe/1", "r1").expect("an answer");
    assert_eq!(answer.head.status, 503, "{}", system.logs());
    assert!(answer.head.headers.get("Retry-After").is_some());
    assert!(system.arrivals("r1").is_empty());
    let answer = System::send(system.ip(), "/open/1", "r2").expect("an answer");
    assert_eq!(answer.head.status, 200, "public routes still work");
    system
        .store
        .set_unavailable(system.gateways[0].store_address, false);
    system.wait_for("keys are taken again", || {
        let answer = System::send(system.ip(), "/safe/1", "r3");
        answer.is_some_and(|answer| answer.head.status == 200)
    });
}

/// Guards against requests to drained endpoints from a router that the store answers with 503: it
/// must learn from its peers which endpoints drain.
fn router_without_the_store_relies_on_its_peers() {
    let system = System::start(2);
    let unserved_ip = system.gateways[1].ip;
    system
        .store
        .set_unavailable(system.gateways[1].store_address, true);
    thread::sleep(time::Duration::from_millis(500));
    system
        .store
        .put("servers", "e1", &system.first.entry("m", "z1", "draining"));
    system.put_config(2, r#""k","k2""#);
    thread::sleep(DRAIN_NOTICE_BOUND);
    for number in 0..8 {
        let text = caller::request("/safe/1", &format!("r{number}"), "k2");
        let answer =
            caller::exchange((unserved_ip, 8227).into(), text.as_bytes()).expect("an answer");
        assert_eq!(answer.head.status, 200, "{}", system.logs());
    }
    assert!(system.first.received().is_empty(), "{}", system.logs());
    // The maximum key age has passed, but its peer still confirms the configuration.
    thread::sleep(time::Duration::from_secs(5));
    let answer = System::send(unserved_ip, "/safe/1", "late").expect("an answer");
    assert_eq!(answer.head.status, 200, "{}", system.logs());
}

/// Guards against late changes while the reader of a zone has not noticed yet that the store
/// stopped answering it: routers that rely on that reader applied a version 2.1 s late.
fn hung_reader_delays_no_version_and_no_drain(after: time::Duration) {
    let system = System::start(2);
    let (reader, other) = (&system.gateways[0], system.gateways[1].ip);
    // In each case the store stops answering at another point of the reader's long poll.
    thread::sleep(after);
    system.store.hang(reader.store_address);
    system.put_config(2, r#""k2""#);
    let entry = system.first.entry("m", "z1", "draining");
    system.store.put("servers", "e1", &entry);
    thread::sleep(DRAIN_NOTICE_BOUND);
    for number in 0..8 {
        let text = caller::request("/safe/1", &format!("r{number}"), "k2");
        let answer = caller::exchange((other, 8227).into(), text.as_bytes());
        assert_eq!(
            answer.expect("an answer").head.status,
            200,
            "{}",
            system.logs()
        );
    }
    assert!(system.first.received().is_empty(), "{}", system.logs());
}

/// Time from the restart of killed routers to their next answers, the goal of the long-running
/// test.
const RECOVERY_BOUND: time::Duration = time::Duration::from_secs(4);

/// All routers are killed at once, and the store meanwhile answers one of the VMs with 503. That
/// one must recover through its peers and get its configuration from them.
fn all_routers_recover_after_a_simultaneous_kill() {
    let mut system = System::start(3);
    assert!(System::send(system.ip(), "/safe/1", "r1").is_some());
    let addresses: Vec<net::SocketAddr> = system
        .gateways
        .iter()
        .map(|gateway| gateway.store_address)
        .collect();
    system.store.set_unavailable(addresses[2], true);
    system.gateways.clear();
    system.put_config(2, r#""k""#);
    let started = time::Instant::now();
    for (number, address) in (1..).zip(addresses) {
        let start = router::GatewayStart::new(router::StartKind::Later);
        let gateway = router::spawn(system.folder.path(), system.net, number, address, start);
        system.gateways.push(gateway);
    }
    for (number, gateway) in system.gateways.iter().enumerate() {
        let id = format!("back{number}");
        system.wait_for("a request is served again", || {
            System::send(gateway.ip, "/safe/1", &id).is_some_and(|answer| answer.head.status == 200)
        });
    }
    assert!(
        started.elapsed() < RECOVERY_BOUND,
        "{:?}",
        started.elapsed()
    );
    let from_peer = r#""source":"peer","version":2"#;
    assert!(system.logs().contains(from_peer), "{}", system.logs());
}

fn addresses(system: &System, ip: net::IpAddr) -> String {
    let text = "GET /resolve?name=h&region=r&zone=z1 HTTP/1.1\r\nHost: h\r\n\r\n";
    let answer = caller::exchange((ip, 8224).into(), text.as_bytes());
    answer.map_or_else(String::new, |answer| {
        assert_eq!(answer.head.status, 200, "{}", system.logs());
        answer.text()
    })
}

fn planned_stop_finishes_streams_and_leaves_the_addresses() {
    let mut system = System::start(2);
    let (leaving, staying) = (system.gateways[0].ip, system.gateways[1].ip);
    let both =
        |text: &str| text.contains(&leaving.to_string()) && text.contains(&staying.to_string());
    system.wait_for("both routers are listed", || {
        both(&addresses(&system, staying))
    });
    let calling = thread::spawn(move || {
        let bytes = caller::request("/stream/1", "r1", "k");
        caller::exchange((leaving, 8227).into(), bytes.as_bytes())
    });
    system.wait_for("the stream begins", || !system.arrivals("r1").is_empty());
    router::signal(&system.gateways[0], rustix::process::Signal::TERM);
    let is_listed = || addresses(&system, staying).contains(&format!("{leaving}:"));
    system.wait_for("the stopping router is not listed", || !is_listed());
    assert_ne!(System::get(leaving, 8220, "/ready"), 200);
    let answer = calling.join().expect("no panic").expect("an answer");
    assert!(answer.is_complete, "{}", system.logs());
    assert_eq!(answer.text(), caller::complete_stream());
    let status = system.gateways[0].child.wait().expect("the gateway exits");
    assert!(status.success(), "{status}; {}", system.logs());
}

/// Guards against requests that arrive just before a stopping router exits and are relayed, then
/// aborted.
fn stopping_router_aborts_no_relayed_request() {
    let system = System::start(1);
    system.set_modes(fakes::EndpointMode::Slow);
    let ip = system.ip();
    router::signal(&system.gateways[0], rustix::process::Signal::TERM);
    let mut calls = Vec::new();
    let until = time::Instant::now() + time::Duration::from_secs(5);
    while time::Instant::now() < until {
        let id = format!("r{}", calls.len());
        calls.push(thread::spawn(move || {
            let text = caller::request("/once/1", &id, "k");
            let answer = caller::exchange((ip, 8227).into(), text.as_bytes());
            (id, answer.is_some_and(|answer| answer.is_complete))
        }));
        thread::sleep(time::Duration::from_millis(20));
    }
    for call in calls {
        let (id, is_answered) = call.join().expect("no panic");
        let ran = !system.arrivals(&id).is_empty();
        assert!(
            is_answered || !ran,
            "{id} was relayed and aborted; {}",
            system.logs()
        );
    }
}

fn settings_are_reloaded_on_sighup_unless_invalid() {
    let mut system = System::start(1);
    router::signal(&system.gateways[0], rustix::process::Signal::HUP);
    system.wait_for("the settings are reloaded", || {
        system.logs().contains("settings reloaded")
    });
    let file = system.folder.path().join("g1.yaml");
    fs::write(file, "node: ''\n").expect("a file");
    router::signal(&system.gateways[0], rustix::process::Signal::HUP);
    system.wait_for("the error is logged", || {
        system.logs().contains("settings rejected")
    });
    let answer = System::send(system.ip(), "/safe/1", "r1").expect("an answer");
    assert_eq!(answer.head.status, 200);
    let ended = system.gateways[0].child.try_wait().expect("a process");
    assert!(ended.is_none(), "the daemon ended");
}

fn caller_disconnect_stops_the_engine() {
    let system = System::start(1);
    let mut stream = net::TcpStream::connect((system.ip(), 8227)).expect("a connection");
    stream
        .write_all(caller::request("/stream/1", "r1", "k").as_bytes())
        .expect("sent");
    let _begun = stream.read(&mut [0_u8; 16]).expect("the stream has begun");
    drop(stream);
    system.wait_for("the engine's connection is closed", || {
        system.first.aborted_streams() + system.second.aborted_streams() == 1
    });
}

fn bad_input_is_refused(text: &str, status: u16) {
    let system = System::start(1);
    let answer = caller::exchange((system.ip(), 8227).into(), text.as_bytes()).expect("an answer");
    assert_eq!(answer.head.status, status, "{}", answer.text());
    assert!(answer.text().contains("\"message\""), "{}", answer.text());
    assert!(system.first.received().is_empty() && system.second.received().is_empty());
}

fn metrics_count_request_outcomes() {
    let system = System::start(1);
    assert!(System::send(system.ip(), "/stream/1", "r1").is_some());
    assert!(System::send(system.ip(), "/once/1", "r2").is_some());
    assert!(System::send(system.ip(), "/nowhere/1", "r3").is_some());
    let address = net::SocketAddr::from((system.ip(), METRICS_PORT));
    let text = || {
        let answer = caller::exchange(address, b"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n");
        answer.expect("an answer").text()
    };
    for line in [
        "kumquatpulley_stream_served_total 1",
        "kumquatpulley_call_served_total 1",
        "kumquatpulley_refused_no_route_total 1",
        "kumquatpulley_relay_attempt_total 2",
        "kumquatpulley_stream_duration_seconds_count 1",
        "kumquatpulley_relay_first_event_seconds_count 1",
        "kumquatpulley_version_number 1",
        "kumquatpulley_endpoints_open 2",
        "kumquatpulley_members_ready 1",
        "kumquatpulley_requests_in_flight 0",
    ] {
        // The router counts a request just after it has sent the answer.
        system.wait_for(line, || text().lines().any(|held| held == line));
    }
}

/// `kumquatpulley status` and `kumquatpulley timeline` read these pages; callers must not get them.
fn operators_can_read_status_and_timeline() {
    let system = System::start(1);
    assert!(System::send(system.ip(), "/once/1", "r1").is_some());
    let get = |port: u16, path: &str| {
        let request = format!("GET {path} HTTP/1.1\r\nHost: h\r\n\r\n");
        let address = net::SocketAddr::from((system.ip(), port));
        caller::exchange(address, request.as_bytes()).expect("an answer")
    };
    let answer = get(METRICS_PORT, "/admin/status");
    let status: status::RouterStatus = serde_json::from_str(&answer.text()).expect("a status");
    assert_eq!((status.state.as_str(), status.config), ("ready", 1));
    assert_eq!((status.members.len(), status.endpoints.len()), (1, 2));
    let admin = format!("{}:{METRICS_PORT}", system.ip());
    assert_eq!(status.members[0].admin_address, admin);
    assert!(status.counters.contains_key("relay.attempt"), "{status:?}");
    let answer = get(METRICS_PORT, "/admin/timeline");
    let events: Vec<timeline::TimelineEvent> =
        serde_json::from_str(&answer.text()).expect("events");
    let in_force = timeline::EventKind::VersionInForce { number: 1 };
    assert!(
        events.iter().any(|event| event.kind == in_force),
        "{events:?}"
    );
    let answer = get(METRICS_PORT, "/admin/timeline?request=nobody");
    assert_eq!(answer.text(), "[]");
    assert_eq!(get(8224, "/admin/status").head.status, 404);
}

/// More refusals per second than the log budget allows lines of one kind.
const REFUSAL_COUNT: usize = 2_000;

fn refusal_burst_does_not_flood_the_logs() {
    let system = System::start(1);
    let mut stream = net::TcpStream::connect((system.ip(), 8227)).expect("a connection");
    for number in 0..REFUSAL_COUNT {
        let request = caller::request("/nowhere/1", &format!("r{number}"), "k");
        stream.write_all(request.as_bytes()).expect("sent");
        let answer = caller::read_answer(&mut stream).expect("an answer");
        assert_eq!(answer.head.status, 404);
    }
    system.wait_for("the suppressed log lines are reported", || {
        let _any_line = System::send(system.ip(), "/nowhere/1", "late");
        system.logs().contains("log lines left out")
    });
    let refusals = system.logs().matches("request refused").count();
    assert!(refusals < REFUSAL_COUNT, "{refusals} lines");
}

fn two_requests_share_a_connection() {
    let system = System::start(1);
    let mut stream = net::TcpStream::connect((system.ip(), 8227)).expect("a connection");
    for id in ["r1", "r2"] {
        stream
            .write_all(caller::request("/safe/1", id, "k").as_bytes())
            .expect("sent");
        let answer = caller::read_answer(&mut stream).expect("an answer");
        assert_eq!(
            answer.head.headers.get("Kumquatpulley-Request-Id"),
            Some(id)
        );
        assert!(answer.is_complete);
    }
}

fn invalid_settings_exit_with_78() {
    let output = process::Command::new(env!("CARGO_BIN_EXE_kumquatpulleyd"))
        .args(["--platform", "--check"])
        .env("KUMQUATPULLEY_NODE_FILE", "/does/not/exist")
        .output()
        .expect("the daemon starts");
    assert_eq!(output.status.code(), Some(78));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(text.contains("make the file readable"), "{text}");
}

const HEAD: &str = "Host: h\r\nKumquatpulley-Request-Id: r1\r\nAuthorization: Bearer k\r\n";

fn bad_request(line: &str, fields: &str, rest: &str) -> String {
    format!("{line}\r\n{HEAD}{fields}\r\n{rest}")
}

common::cases! {
    call_and_stream: a_call_and_a_stream_are_answered();
    unframed_stream: a_stream_that_ends_with_its_connection_is_whole();
    unframed_stream_cut: stream_survives_engine_failure(fakes::EndpointMode::UnframedEndsAfter(4));
    unframed_stream_empty: an_empty_stream_that_ends_with_its_connection_is_not_whole();
    engine_dies: stream_survives_engine_failure(fakes::EndpointMode::DiesAfter(4));
    engine_goes_silent: stream_survives_engine_failure(fakes::EndpointMode::SilentAfter(4));
    backup_lost_before_engine: stream_survives_loss_of_backup_then_engine();
    unsafe_answer_lost:
        unsafe_call_that_may_have_run_is_not_retried(fakes::EndpointMode::DropsAnswer);
    unsafe_answer_truncated:
        unsafe_call_that_may_have_run_is_not_retried(fakes::EndpointMode::Truncates);
    unsafe_answer_of_other_request:
        unsafe_call_that_may_have_run_is_not_retried(fakes::EndpointMode::AnswersWrongRequest);
    idempotent_answer_lost: idempotent_call_is_retried(fakes::EndpointMode::DropsAnswer);
    idempotent_answer_truncated: idempotent_call_is_retried(fakes::EndpointMode::Truncates);
    idempotent_answer_of_other_request:
        idempotent_call_is_retried(fakes::EndpointMode::AnswersWrongRequest);
    full_endpoint: refused_call_is_retried_elsewhere(fakes::EndpointMode::Full);
    replaced_endpoint: refused_call_is_retried_elsewhere(fakes::EndpointMode::Replaced);
    replaced_engine_avoided: streams_avoid_a_replaced_engine();
    backup_on_reachable_engine: backup_is_held_by_a_reachable_engine();
    all_endpoints_full: call_is_refused_as_not_run_when_all_endpoints_are_full();
    draining_endpoint: draining_endpoint_gets_no_new_requests();
    revoked_key: revoked_key_is_refused_and_new_key_accepted();
    older_version: older_version_is_never_applied();
    unchanged_configuration: unchanged_configuration_stays_fresh();
    stale_configuration: keys_are_refused_once_the_configuration_is_stale();
    reader_hangs_after_1000_ms:
        hung_reader_delays_no_version_and_no_drain(time::Duration::from_secs(1));
    reader_hangs_after_1300_ms:
        hung_reader_delays_no_version_and_no_drain(time::Duration::from_millis(1_300));
    reader_hangs_after_1600_ms:
        hung_reader_delays_no_version_and_no_drain(time::Duration::from_millis(1_600));
    reader_hangs_after_1900_ms:
        hung_reader_delays_no_version_and_no_drain(time::Duration::from_millis(1_900));
    store_refuses_one_router: router_without_the_store_relies_on_its_peers();
    planned_stop: planned_stop_finishes_streams_and_leaves_the_addresses();
    changed_settings: settings_are_reloaded_on_sighup_unless_invalid();
    last_moments: stopping_router_aborts_no_relayed_request();
    caller_disconnects: caller_disconnect_stops_the_engine();
    keep_alive: two_requests_share_a_connection();
    metrics: metrics_count_request_outcomes();
    all_routers_lost: all_routers_recover_after_a_simultaneous_kill();
    operator_pages: operators_can_read_status_and_timeline();
    refusal_burst: refusal_burst_does_not_flood_the_logs();
    invalid_settings: invalid_settings_exit_with_78();
    two_lengths: bad_input_is_refused(
        &bad_request("POST /safe/1 HTTP/1.1", "Content-Length: 2\r\nContent-Length: 3\r\n", "hi"), 400);
    length_and_chunks: bad_input_is_refused(
        &bad_request("POST /safe/1 HTTP/1.1", "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"), 400);
    broken_chunks: bad_input_is_refused(
        &bad_request("POST /safe/1 HTTP/1.1", "Transfer-Encoding: chunked\r\n", "zz\r\n"), 400);
    large_body: bad_input_is_refused(
        &bad_request("POST /safe/1 HTTP/1.1", "Content-Length: 10001\r\n", ""), 413);
    large_head: bad_input_is_refused(
        &bad_request("POST /safe/1 HTTP/1.1", &format!("X: {}\r\n", "x".repeat(5_000)), ""), 431);
    slow_head: bad_input_is_refused("POST /safe/1 HTTP/1.1\r\nHost: h\r\n", 408);
    unknown_host: bad_input_is_refused(
        &bad_request("POST /safe/1 HTTP/1.1", "", "").replace("Host: h", "Host: other"), 404);
    unknown_path: bad_input_is_refused(&bad_request("POST /nowhere/1 HTTP/1.1", "", ""), 404);
    wrong_key: bad_input_is_refused(
        &bad_request("POST /safe/1 HTTP/1.1", "", "").replace("Bearer k", "Basic k"), 401);
    bad_deadline: bad_input_is_refused(
        &bad_request("POST /safe/1 HTTP/1.1", "Kumquatpulley-Deadline-Ms: soon\r\n", ""), 400);
}
