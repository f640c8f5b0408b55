//! Requests that are in flight, or arrive on kept connections, while the configuration changes.

use std::io::{Read as _, Write as _};
use std::net;
use std::thread;
use std::time;

use crate::common;
use crate::support::system::System;
use crate::support::{caller, fakes, router, timed_work};

/// Time at work of a request before its answer begins; within all deadlines of the old routes.
const WORK_TIME: time::Duration = time::Duration::from_millis(1_300);

/// Idle timeout before a change, and the one of [`System::config`], after it.
const OLD_IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(2);
const NEW_IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Part of the idle timeout for which callers keep an idle connection.
const KEPT_FRACTION: f64 = 0.8;

/// Longest wait for an answer on a kept connection.
const READ_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Connections whose next requests are sent around the end of the idle timeout: from this time
/// before it, with this step between them.
const EDGE_CONNECTIONS: u32 = 60;
const EDGE_TIME: time::Duration = time::Duration::from_millis(100);
const EDGE_STEP: time::Duration = time::Duration::from_millis(3);

/// What happens while a request is in flight.
#[derive(Clone, Copy, Debug)]
enum SystemChange {
    ShorterTimeouts,
    RoutesRemoved,
    KeyRemoved,
    OtherService,
    LimitsLowered,
    EndpointsRemoved,
    SettingsReloaded,
}

impl SystemChange {
    fn apply(self, system: &System) {
        let config = System::config(2, r#""k""#);
        let config = match self {
            Self::ShorterTimeouts => config
                .replace(r#""timeout_ms":3000"#, r#""timeout_ms":500"#)
                .replace(r#""timeout_ms":20000"#, r#""timeout_ms":500"#),
            Self::RoutesRemoved => {
                let begin = config.find(r#"{"name":"stream""#).expect("the first route");
                let end = config.find(r#"{"name":"open""#).expect("the last route");
                format!("{}{}", &config[..begin], &config[end..])
            }
            Self::KeyRemoved => System::config(2, r#""other""#),
            Self::OtherService => config
                .replace(r#""service":"m""#, r#""service":"q""#)
                .replace(r#"{"name":"m""#, r#"{"name":"q""#),
            Self::LimitsLowered => config
                .replace(r#""max_body_bytes":10000"#, r#""max_body_bytes":1"#)
                .replace(r#""header_timeout_ms":1000"#, r#""header_timeout_ms":100"#)
                .replace(r#""idle_timeout_ms":5000"#, r#""idle_timeout_ms":200"#),
            Self::EndpointsRemoved => {
                system.store.remove("servers", "e1");
                system.store.remove("servers", "e2");
                return system.wait_for_known(0);
            }
            Self::SettingsReloaded => {
                return router::signal(&system.gateways[0], rustix::process::Signal::HUP);
            }
        };
        system.put_in_force(2, &config);
    }
}

/// Guards against requests in flight that end without an answer because the configuration that they
/// were accepted with is no longer in force.
fn requests_in_flight_are_answered(change: SystemChange) {
    let system = System::start(1);
    let ip = system.ip();
    let timing = timed_work::WorkTiming {
        silent: WORK_TIME,
        streamed: WORK_TIME,
        ..timed_work::WorkTiming::default()
    };
    let send = |path: &str, id: &'static str| {
        let target = timing.target(path);
        thread::spawn(move || System::send(ip, &target, id))
    };
    let calls = [send("/safe/1", "r1"), send("/once/1", "r2")];
    let stream = send("/stream/1", "r3");
    system.wait_for("all requests run", || {
        ["r1", "r2", "r3"]
            .iter()
            .all(|id| !system.arrivals(id).is_empty())
    });
    change.apply(&system);
    for (calling, id) in calls.into_iter().zip(["r1", "r2"]) {
        let answer = calling.join().expect("no panic").expect("an answer");
        assert_eq!(answer.head.status, 200, "{id}: {}", system.logs());
        assert_eq!(answer.text(), timing.plain_body(id));
    }
    let answer = stream.join().expect("no panic").expect("an answer");
    assert!(answer.is_complete, "{}", system.logs());
    assert_eq!(answer.text(), timing.stream_body(0));
}

/// Opens a connection and has one request answered on it.
fn open_kept_connection(system: &System) -> net::TcpStream {
    let mut stream = net::TcpStream::connect((system.ip(), 8227)).expect("a connection");
    let timeout = stream.set_read_timeout(Some(READ_TIMEOUT));
    timeout.expect("a socket option");
    let request = caller::request("/safe/1", "r1", "k");
    stream.write_all(request.as_bytes()).expect("sent");
    let answer = caller::read_answer(&mut stream).expect("an answer");
    assert_eq!(answer.head.status, 200, "{}", system.logs());
    stream
}

/// Guards against requests without an answer on connections that the gateway closes by an idle
/// timeout that a change has prolonged.
fn kept_connection_outlasts_the_idle_timeout_before_a_change() {
    let system = System::start(1);
    let old = format!(r#""idle_timeout_ms":{}"#, OLD_IDLE_TIMEOUT.as_millis());
    let new = format!(r#""idle_timeout_ms":{}"#, NEW_IDLE_TIMEOUT.as_millis());
    let config = System::config(2, r#""k""#).replace(&new, &old);
    system.put_in_force(2, &config);
    let mut stream = open_kept_connection(&system);
    let idle_since = time::Instant::now();
    system.put_in_force(3, &System::config(3, r#""k""#));
    assert!(
        idle_since.elapsed() < OLD_IDLE_TIMEOUT,
        "the change came late"
    );
    let kept = NEW_IDLE_TIMEOUT.mul_f64(KEPT_FRACTION);
    thread::sleep(kept.saturating_sub(idle_since.elapsed()));
    let request = caller::request("/once/1", "r2", "k");
    stream.write_all(request.as_bytes()).expect("sent");
    let answer = caller::read_answer(&mut stream);
    let answer = answer.unwrap_or_else(|| panic!("no answer; {}", system.logs()));
    assert_eq!(answer.text(), fakes::plain_answer("r2"));
}

/// Guards against requests that are refused by limits that were no longer in force when they were
/// sent, on a connection that was idle during the change.
fn kept_connection_has_the_newest_body_limit() {
    let system = System::start(1);
    let mut stream = open_kept_connection(&system);
    let config = System::config(2, r#""k""#);
    let config = config.replace(r#""max_body_bytes":10000"#, r#""max_body_bytes":20000"#);
    system.put_in_force(2, &config);
    let body = "x".repeat(15_000);
    let request = caller::request("/once/1", "r2", "k");
    let request = request.replace(
        "Content-Length: 2\r\n\r\nhi",
        "Content-Length: 15000\r\n\r\n",
    );
    stream
        .write_all((request + &body).as_bytes())
        .expect("sent");
    let answer = caller::read_answer(&mut stream).expect("an answer");
    assert_eq!(answer.head.status, 200, "{}", answer.text());
    assert_eq!(answer.text(), fakes::plain_answer("r2"));
}

/// Guards against requests that reach an endpoint as their connection is closed for the idle timeout.
/// A request that crosses the close is not run.
fn requests_around_the_idle_timeout_are_answered_or_not_run() {
    let system = System::start(1);
    let old = format!(r#""idle_timeout_ms":{}"#, OLD_IDLE_TIMEOUT.as_millis());
    let new = format!(r#""idle_timeout_ms":{}"#, NEW_IDLE_TIMEOUT.as_millis());
    system.put_in_force(2, &System::config(2, r#""k""#).replace(&new, &old));
    let calling: Vec<thread::JoinHandle<Option<caller::Answer>>> = (0..EDGE_CONNECTIONS)
        .map(|number| {
            let mut stream = open_kept_connection(&system);
            let offset = EDGE_STEP * number;
            thread::spawn(move || {
                thread::sleep(OLD_IDLE_TIMEOUT.saturating_sub(EDGE_TIME) + offset);
                let request = caller::request("/once/1", &format!("edge{number}"), "k");
                stream.write_all(request.as_bytes()).ok()?;
                caller::read_answer(&mut stream)
            })
        })
        .collect();
    for (number, calling) in calling.into_iter().enumerate() {
        let id = format!("edge{number}");
        match calling.join().expect("no panic") {
            Some(answer) => assert_eq!(answer.text(), fakes::plain_answer(&id)),
            None => assert!(system.arrivals(&id).is_empty(), "{id}: {}", system.logs()),
        }
    }
}

/// Guards against requests that were read ahead and get no answer.
fn requests_sent_at_once_are_all_answered() {
    let system = System::start(1);
    let mut stream = open_kept_connection(&system);
    let requests = caller::request("/once/1", "r2", "k") + &caller::request("/safe/1", "r3", "k");
    stream.write_all(requests.as_bytes()).expect("sent");
    system.put_in_force(2, &System::config(2, r#""k""#));
    let mut bytes = Vec::new();
    while !String::from_utf8_lossy(&bytes).contains(&fakes::plain_answer("r3")) {
        let mut chunk = [0_u8; 4096];
        let count = stream.read(&mut chunk).expect("an answer");
        assert!(count > 0, "closed; {}", system.logs());
        bytes.extend_from_slice(&chunk[..count]);
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    assert!(text.contains(&fakes::plain_answer("r2")), "{text}");
}

common::cases! {
    shorter_timeouts: requests_in_flight_are_answered(SystemChange::ShorterTimeouts);
    routes_removed: requests_in_flight_are_answered(SystemChange::RoutesRemoved);
    key_removed: requests_in_flight_are_answered(SystemChange::KeyRemoved);
    other_service: requests_in_flight_are_answered(SystemChange::OtherService);
    limits_lowered: requests_in_flight_are_answered(SystemChange::LimitsLowered);
    endpoints_removed: requests_in_flight_are_answered(SystemChange::EndpointsRemoved);
    settings_reloaded: requests_in_flight_are_answered(SystemChange::SettingsReloaded);
    longer_idle_timeout: kept_connection_outlasts_the_idle_timeout_before_a_change();
    idle_timeout_ends: requests_around_the_idle_timeout_are_answered_or_not_run();
    requests_at_once: requests_sent_at_once_are_all_answered();
    larger_body_limit: kept_connection_has_the_newest_body_limit();
}
