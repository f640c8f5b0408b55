//! Whole gateways as processes, between callers, endpoints and a store on loopback.

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

/// Time in which a leaving endpoint has to be known, as the platform's settings give it.
const LEAVING_BOUND: time::Duration = time::Duration::from_secs(2);

/// Port of the metrics address, as the deploy file names it.
const METRICS_PORT: u16 = 9464;

/// Pause between events that the declared route wants at most.
const GAP_GOAL: time::Duration = time::Duration::from_millis(700);

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
    let seen = system.arrivals("r2");
    assert_eq!(seen.len(), 1);
    assert_eq!(seen[0].field("Kumquatpulley-Tenant").as_deref(), Some("w"));
    assert_eq!(seen[0].field("Authorization"), None);
    assert!(seen[0].field("Kumquatpulley-Kv-Backup").is_some());
}

fn a_lost_engine_interrupts_nothing(mode: fakes::EndpointMode) {
    let system = System::start(1);
    // Whichever engine is chosen falls into the mode; the other one is freed once it has begun.
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
        .any(|seen| seen.head.target == "/stream/1");
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
        answer.longest_pause < GAP_GOAL,
        "pause {:?}; {}",
        answer.longest_pause,
        system.logs()
    );
    let seen = system.arrivals("r1");
    assert_eq!(seen.len(), 2, "{}", system.logs());
    assert_eq!(seen[1].field("Last-Event-Id").as_deref(), Some("4"));
    assert_eq!(
        seen[1].field("Kv-From"),
        Some(format!("{}/r1", other.address))
    );
}

/// Seen on the users' bench: of 415 streams that lost their engine midway, 72 had no copy any more, as
/// the engine that kept it had gone seconds before.
fn a_stream_outlives_the_engine_of_its_copy_and_then_its_own() {
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
    let running = engines.iter().find(runs).expect("it runs");
    let holder = running.received()[0].field("Kumquatpulley-Kv-Backup");
    let holds = |engine: &&&fakes::FakeEndpoint| holder == Some(engine.address.to_string());
    let holder = engines.iter().find(holds).expect("one of them");
    let is_left =
        |engine: &&&fakes::FakeEndpoint| engine.name != running.name && engine.name != holder.name;
    let left = engines.iter().find(is_left).expect("one of three");
    holder.set_mode(fakes::EndpointMode::DropsAnswer);
    left.set_mode(fakes::EndpointMode::Healthy);
    system.store.remove("servers", &holder.name);
    let answer = calling.join().expect("no panic").expect("an answer");
    assert!(answer.is_complete, "{}", system.logs());
    assert_eq!(answer.text(), caller::complete_stream());
    assert!(
        answer.longest_pause < GAP_GOAL,
        "{:?}",
        answer.longest_pause
    );
    let moves = running.copy_requests();
    assert_eq!(moves[0].head.target, "/kv-move");
    let asked: serde_json::Value = serde_json::from_slice(&moves[0].body).expect("JSON");
    let expected = serde_json::json!({"id": "r1", "to": left.address.to_string()});
    assert_eq!(asked, expected);
    let resumed = &left.received()[0];
    let from = format!("{}/h-r1", running.address);
    assert_eq!(resumed.field("Kv-From"), Some(from));
    assert_eq!(resumed.field("Last-Event-Id").as_deref(), Some("10"));
}

fn a_call_that_may_have_run_is_not_repeated(mode: fakes::EndpointMode) {
    let system = System::start(1);
    system.set_modes(mode);
    let answer = System::send(system.ip(), "/once/1", "r1").expect("an answer");
    assert_eq!(answer.head.status, 502, "{}", system.logs());
    assert_eq!(answer.head.headers.get("Kumquatpulley-Runner-Seal"), None);
    assert_eq!(system.arrivals("r1").len(), 1);
}

fn an_idempotent_call_is_repeated(mode: fakes::EndpointMode) {
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

fn a_refused_call_is_offered_elsewhere(mode: fakes::EndpointMode) {
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

/// Seen on a day with an outage of the store: for seconds after it, lists named engines whose address
/// had gone to another one. Streams asked each of them again and again.
fn a_replaced_engine_is_left_alone_by_streams() {
    let system = System::start(1);
    system.first.set_mode(fakes::EndpointMode::Replaced);
    for number in 0..8 {
        let answer = System::send(system.ip(), "/stream/1", &format!("r{number}"));
        assert!(answer.expect("an answer").is_complete, "{}", system.logs());
        // Longer than an engine without room is avoided.
        thread::sleep(time::Duration::from_millis(150));
    }
    let seen = system.first.received();
    assert!(seen.len() <= 1, "asked {} times", seen.len());
}

/// Seen on the same day: the engine that was to keep the copy was gone, so that there was none.
fn a_copy_is_kept_by_an_engine_that_answers() {
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
        let seen = system.arrivals(&id);
        let holder = seen[0].field("Kumquatpulley-Kv-Backup").unwrap_or_default();
        let living = [system.first.address, system.second.address];
        let is_living = living.iter().any(|address| address.to_string() == holder);
        assert!(
            is_living,
            "{id} keeps its copy at {holder}; {}",
            system.logs()
        );
    }
}

fn a_call_that_nobody_takes_is_refused_as_not_run() {
    let system = System::start(1);
    system.set_first_mode(fakes::EndpointMode::Full);
    let answer = System::send(system.ip(), "/once/1", "r1").expect("an answer");
    assert_eq!(answer.head.status, 503);
    assert!(answer.head.headers.get("Retry-After").is_some());
}

fn a_leaving_endpoint_gets_nothing_new() {
    let system = System::start(1);
    let entry = system.first.entry("m", "z1", "draining");
    system.store.put("servers", "e1", &entry);
    thread::sleep(LEAVING_BOUND);
    for number in 0..12 {
        let answer = System::send(system.ip(), "/safe/1", &format!("r{number}"));
        assert_eq!(answer.expect("an answer").head.status, 200);
    }
    assert!(system.first.received().is_empty());
    system.store.remove("servers", "e2");
    thread::sleep(LEAVING_BOUND);
    let answer = System::send(system.ip(), "/safe/1", "last").expect("an answer");
    assert_eq!(answer.head.status, 503);
}

fn a_revoked_key_ends_and_a_new_one_begins() {
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

fn an_older_version_is_never_taken() {
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
    thread::sleep(LEAVING_BOUND);
    assert!(is_taken("k5") && !is_taken("k4"));
}

/// Found by the soak, seed 20261204: the age of a configuration that nobody changes grew to twice the
/// wait of a call, past the bound on keys.
fn a_calm_router_never_refuses_keys() {
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

/// A router that knows nothing newer for as long as keys may live must not take them.
fn keys_are_refused_once_the_configuration_is_too_old() {
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
    assert_eq!(answer.head.status, 200, "routes without keys go on");
    system
        .store
        .set_unavailable(system.gateways[0].store_address, false);
    system.wait_for("keys are taken again", || {
        let answer = System::send(system.ip(), "/safe/1", "r3");
        answer.is_some_and(|answer| answer.head.status == 200)
    });
}

/// Found by a hunt: endpoints that left were used by a router that the store turned away.
fn a_router_that_the_store_turns_away_lives_on_its_peers() {
    let system = System::start(2);
    let away = system.gateways[1].ip;
    system
        .store
        .set_unavailable(system.gateways[1].store_address, true);
    thread::sleep(time::Duration::from_millis(500));
    system
        .store
        .put("servers", "e1", &system.first.entry("m", "z1", "draining"));
    system.put_config(2, r#""k","k2""#);
    thread::sleep(LEAVING_BOUND);
    for number in 0..8 {
        let text = caller::request("/safe/1", &format!("r{number}"), "k2");
        let answer = caller::exchange((away, 8227).into(), text.as_bytes()).expect("an answer");
        assert_eq!(answer.head.status, 200, "{}", system.logs());
    }
    assert!(system.first.received().is_empty(), "{}", system.logs());
    // Past the bound, its peer's knowledge still is young.
    thread::sleep(time::Duration::from_secs(5));
    let answer = System::send(away, "/safe/1", "late").expect("an answer");
    assert_eq!(answer.head.status, 200, "{}", system.logs());
}

/// Found by a hunt, day store of our own: the reader of a zone heard nothing from the store and did
/// not know it yet, and the routers that asked it were 2.1 s late with a version.
fn a_silent_reader_delays_no_version_and_no_leaving(after: time::Duration) {
    let system = System::start(2);
    let (reader, other) = (&system.gateways[0], system.gateways[1].ip);
    // The silence strikes the reader's calls at another point of their wait in each case.
    thread::sleep(after);
    system.store.hang(reader.store_address);
    system.put_config(2, r#""k2""#);
    let entry = system.first.entry("m", "z1", "draining");
    system.store.put("servers", "e1", &entry);
    thread::sleep(LEAVING_BOUND);
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

/// Time from the start of lost routers to their next answers, as the aim of the long run gives it.
const RECOVERY_BOUND: time::Duration = time::Duration::from_secs(4);

/// All processes are killed at once, and the store turns one of the VMs away meanwhile: that one comes
/// back through the others, and what it then knows is what they know.
fn all_routers_lost_at_once_come_back() {
    let mut system = System::start(3);
    assert!(System::send(system.ip(), "/safe/1", "r1").is_some());
    let addresses: Vec<net::SocketAddr> = system
        .gateways
        .iter()
        .map(|lost| lost.store_address)
        .collect();
    system.store.set_unavailable(addresses[2], true);
    system.gateways.clear();
    system.put_config(2, r#""k""#);
    let started = time::Instant::now();
    for (number, address) in (1..).zip(addresses) {
        let gateway = router::spawn(system.folder.path(), system.net, number, address);
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

fn a_planned_stop_cuts_nothing_and_leaves_the_addresses() {
    let mut system = System::start(2);
    let (leaving, staying) = (system.gateways[0].ip, system.gateways[1].ip);
    let both =
        |text: &str| text.contains(&leaving.to_string()) && text.contains(&staying.to_string());
    system.wait_for("both are named", || both(&addresses(&system, staying)));
    let calling = thread::spawn(move || {
        let bytes = caller::request("/stream/1", "r1", "k");
        caller::exchange((leaving, 8227).into(), bytes.as_bytes())
    });
    system.wait_for("the stream begins", || !system.arrivals("r1").is_empty());
    router::signal(&system.gateways[0], rustix::process::Signal::TERM);
    let is_named = || addresses(&system, staying).contains(&format!("{leaving}:"));
    system.wait_for("the stopping one is not named", || !is_named());
    assert_ne!(System::get(leaving, 8220, "/ready"), 200);
    let answer = calling.join().expect("no panic").expect("an answer");
    assert!(answer.is_complete, "{}", system.logs());
    assert_eq!(answer.text(), caller::complete_stream());
    let status = system.gateways[0].child.wait().expect("it ends");
    assert!(status.success(), "{status}; {}", system.logs());
}

/// Found by a hunt, day signals of our own: a request that arrived in the last moments of a stopping
/// router was passed on and then cut.
fn a_stopping_router_cuts_nothing_that_it_passed_on() {
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
            "{id} was passed on and cut; {}",
            system.logs()
        );
    }
}

fn changed_settings_are_read_on_a_signal_and_faulty_ones_change_nothing() {
    let mut system = System::start(1);
    router::signal(&system.gateways[0], rustix::process::Signal::HUP);
    system.wait_for("it is reloaded", || {
        system.logs().contains("settings reloaded")
    });
    let file = system.folder.path().join("g1.yaml");
    fs::write(file, "node: ''\n").expect("a file");
    router::signal(&system.gateways[0], rustix::process::Signal::HUP);
    system.wait_for("the fault is told", || {
        system.logs().contains("settings rejected")
    });
    let answer = System::send(system.ip(), "/safe/1", "r1").expect("an answer");
    assert_eq!(answer.head.status, 200);
    let ended = system.gateways[0].child.try_wait().expect("a process");
    assert!(ended.is_none(), "the daemon ended");
}

fn a_caller_that_leaves_stops_the_engine() {
    let system = System::start(1);
    let mut stream = net::TcpStream::connect((system.ip(), 8227)).expect("a connection");
    stream
        .write_all(caller::request("/stream/1", "r1", "k").as_bytes())
        .expect("sent");
    let _begun = stream.read(&mut [0_u8; 16]).expect("it streams");
    drop(stream);
    system.wait_for("the engine is left", || {
        system.first.cut_streams() + system.second.cut_streams() == 1
    });
}

fn bad_input_is_refused(text: &str, status: u16) {
    let system = System::start(1);
    let answer = caller::exchange((system.ip(), 8227).into(), text.as_bytes()).expect("an answer");
    assert_eq!(answer.head.status, status, "{}", answer.text());
    assert!(answer.text().contains("\"message\""), "{}", answer.text());
    assert!(system.first.received().is_empty() && system.second.received().is_empty());
}

fn metrics_tell_what_became_of_requests() {
    let system = System::start(1);
    assert!(System::send(system.ip(), "/stream/1", "r1").is_some());
    assert!(System::send(system.ip(), "/once/1", "r2").is_some());
    assert!(System::send(system.ip(), "/nowhere/1", "r3").is_some());
    let address = net::SocketAddr::from((system.ip(), METRICS_PORT));
    let text = || {
        let asked = caller::exchange(address, b"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n");
        asked.expect("an answer").text()
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
        // A request is counted when its router is done with it, just after its answer.
        system.wait_for(line, || text().lines().any(|held| held == line));
    }
}

/// What `kumquatpulley status` and `timeline` ask; callers are not told.
fn operators_are_told_the_status() {
    let system = System::start(1);
    assert!(System::send(system.ip(), "/once/1", "r1").is_some());
    let ask = |port: u16, path: &str| {
        let asked = format!("GET {path} HTTP/1.1\r\nHost: h\r\n\r\n");
        let address = net::SocketAddr::from((system.ip(), port));
        caller::exchange(address, asked.as_bytes()).expect("an answer")
    };
    let answer = ask(METRICS_PORT, "/admin/status");
    let told: status::RouterStatus = serde_json::from_str(&answer.text()).expect("a status");
    assert_eq!((told.state.as_str(), told.config), ("ready", 1));
    assert_eq!((told.members.len(), told.endpoints.len()), (1, 2));
    let admin = format!("{}:{METRICS_PORT}", system.ip());
    assert_eq!(told.members[0].admin_address, admin);
    assert!(told.counters.contains_key("relay.attempt"), "{told:?}");
    let answer = ask(METRICS_PORT, "/admin/timeline");
    let events: Vec<timeline::TimelineEvent> =
        serde_json::from_str(&answer.text()).expect("events");
    let in_force = timeline::EventKind::VersionInForce { number: 1 };
    assert!(
        events.iter().any(|event| event.kind == in_force),
        "{events:?}"
    );
    let answer = ask(METRICS_PORT, "/admin/timeline?request=nobody");
    assert_eq!(answer.text(), "[]");
    assert_eq!(ask(8224, "/admin/status").head.status, 404);
}

/// More refusals in a second than lines are written of one kind.
const REFUSAL_STORM: usize = 2_000;

fn a_storm_of_refusals_does_not_flood_the_logs() {
    let system = System::start(1);
    let mut stream = net::TcpStream::connect((system.ip(), 8227)).expect("a connection");
    for number in 0..REFUSAL_STORM {
        let request = caller::request("/nowhere/1", &format!("r{number}"), "k");
        stream.write_all(request.as_bytes()).expect("sent");
        let answer = caller::read_answer(&mut stream).expect("an answer");
        assert_eq!(answer.head.status, 404);
    }
    system.wait_for("the lines left out are told", || {
        let _any_line = System::send(system.ip(), "/nowhere/1", "late");
        system.logs().contains("log lines left out")
    });
    let refusals = system.logs().matches("request refused").count();
    assert!(refusals < REFUSAL_STORM, "{refusals} lines");
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

fn settings_faults_end_the_daemon_with_78() {
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
    served: a_call_and_a_stream_are_answered();
    engine_dies: a_lost_engine_interrupts_nothing(fakes::EndpointMode::DiesAfter(4));
    engine_goes_silent: a_lost_engine_interrupts_nothing(fakes::EndpointMode::SilentAfter(4));
    holder_goes_first: a_stream_outlives_the_engine_of_its_copy_and_then_its_own();
    answer_lost_once: a_call_that_may_have_run_is_not_repeated(fakes::EndpointMode::DropsAnswer);
    answer_truncated_once: a_call_that_may_have_run_is_not_repeated(fakes::EndpointMode::Truncates);
    answer_crossed_once: a_call_that_may_have_run_is_not_repeated(fakes::EndpointMode::AnswersWrongRequest);
    answer_lost: an_idempotent_call_is_repeated(fakes::EndpointMode::DropsAnswer);
    answer_truncated: an_idempotent_call_is_repeated(fakes::EndpointMode::Truncates);
    answer_crossed: an_idempotent_call_is_repeated(fakes::EndpointMode::AnswersWrongRequest);
    full_endpoint: a_refused_call_is_offered_elsewhere(fakes::EndpointMode::Full);
    replaced_endpoint: a_refused_call_is_offered_elsewhere(fakes::EndpointMode::Replaced);
    replaced_engine: a_replaced_engine_is_left_alone_by_streams();
    living_holder: a_copy_is_kept_by_an_engine_that_answers();
    nobody_takes_it: a_call_that_nobody_takes_is_refused_as_not_run();
    leaving_endpoint: a_leaving_endpoint_gets_nothing_new();
    revoked_key: a_revoked_key_ends_and_a_new_one_begins();
    older_version: an_older_version_is_never_taken();
    calm_knowledge: a_calm_router_never_refuses_keys();
    old_knowledge: keys_are_refused_once_the_configuration_is_too_old();
    silent_reader: a_silent_reader_delays_no_version_and_no_leaving(time::Duration::from_secs(1));
    silent_reader_later: a_silent_reader_delays_no_version_and_no_leaving(time::Duration::from_millis(1_300));
    silent_reader_late: a_silent_reader_delays_no_version_and_no_leaving(time::Duration::from_millis(1_600));
    silent_reader_last: a_silent_reader_delays_no_version_and_no_leaving(time::Duration::from_millis(1_900));
    turned_away: a_router_that_the_store_turns_away_lives_on_its_peers();
    planned_stop: a_planned_stop_cuts_nothing_and_leaves_the_addresses();
    changed_settings: changed_settings_are_read_on_a_signal_and_faulty_ones_change_nothing();
    last_moments: a_stopping_router_cuts_nothing_that_it_passed_on();
    caller_leaves: a_caller_that_leaves_stops_the_engine();
    kept_connection: two_requests_share_a_connection();
    metrics: metrics_tell_what_became_of_requests();
    all_routers_lost: all_routers_lost_at_once_come_back();
    operators_pages: operators_are_told_the_status();
    refusal_storm: a_storm_of_refusals_does_not_flood_the_logs();
    settings_faults: settings_faults_end_the_daemon_with_78();
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
