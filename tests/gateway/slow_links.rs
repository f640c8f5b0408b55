//! How a change of the configuration reaches all gateways of a zone over slow links.

use std::collections;
use std::io::Write as _;
use std::net;
use std::sync::atomic;
use std::thread;
use std::time;

use async_std::task;
use kumquatpulley::connection::http;

use crate::common;
use crate::support::{fakes, paced_net};

/// Gateways that poll the reader of the zone, and three more that poll one of these.
const VMS: usize = 20;

/// Bytes a second and routes are a fifth of a link of 10 Mbit/s and of a large configuration, so that
/// the test needs little processor time.
const LINK_BYTES_PER_SECOND: u32 = 250_000;
const FEW_ROUTES: usize = 40;
const MANY_ROUTES: usize = 540;

/// Pause between two changes of the configuration.
const CHANGE_PAUSE: time::Duration = time::Duration::from_millis(500);

/// Time after which no transfer of an earlier version is left.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(1);

/// Longest time until all gateways have a version to begin with.
const START_LIMIT: time::Duration = time::Duration::from_secs(10);

/// Time in which a body had to be read, and a body that takes twice as long at a fifth of 10 Mbit/s.
const READ_LIMIT: time::Duration = time::Duration::from_millis(900);
const BODY_BYTES: usize = 30 * PART_BYTES;
const PART_BYTES: usize = 15_000;
const PART_PAUSE: time::Duration = time::Duration::from_millis(60);

const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// Names of the gateways that lack version `number`.
fn lacking(zone: &paced_net::PacedZone, number: u64) -> Vec<String> {
    let nodes = zone.nodes.iter();
    let lacking = nodes.filter(|node| node.version_number() < Some(number));
    lacking.map(|node| node.settings.router.clone()).collect()
}

/// Starts the gateways and waits until all have a small configuration.
fn start_zone() -> paced_net::PacedZone {
    let zone = paced_net::PacedZone::start(VMS, LINK_BYTES_PER_SECOND);
    zone.store.put_config(&paced_net::config(1, FEW_ROUTES));
    wait_for_all(&zone, 1);
    zone
}

/// Waits until all gateways have version `number`.
fn wait_for_all(zone: &paced_net::PacedZone, number: u64) {
    let until = time::Instant::now() + START_LIMIT;
    while !lacking(zone, number).is_empty() {
        assert!(time::Instant::now() < until, "{:?}", lacking(zone, number));
        thread::sleep(CHECK_INTERVAL);
    }
}

/// Guards against gateways that never get a configuration, as it takes longer than a query may. The
/// store answers the reader of the zone alone.
fn each_version_is_in_force_in_time(changes: u64) {
    let zone = start_zone();
    zone.store
        .serves_first_only
        .store(true, atomic::Ordering::SeqCst);
    let begin = time::Instant::now();
    let last = changes + 2;
    let mut pending = collections::VecDeque::new();
    let mut next = 2;
    while next <= last || !pending.is_empty() {
        let now = time::Instant::now();
        if next <= last && now >= begin + CHANGE_PAUSE * u32::try_from(next - 2).expect("few") {
            zone.store.put_config(&paced_net::config(next, MANY_ROUTES));
            pending.push_back((next, now + paced_net::PROPAGATION_LIMIT));
            next += 1;
        }
        if let Some((number, until)) = pending.front() {
            let late = lacking(&zone, *number);
            if late.is_empty() {
                pending.pop_front();
                continue;
            }
            assert!(now < *until, "version {number} is late at {late:?}");
        }
        thread::sleep(CHECK_INTERVAL);
    }
}

/// Guards against a change of one route that costs each gateway more than the stated 5 KB a second.
fn a_changed_route_costs_little() {
    let zone = start_zone();
    zone.store.put_config(&paced_net::config(2, MANY_ROUTES));
    wait_for_all(&zone, 2);
    thread::sleep(SETTLE_TIME);
    let sent = zone.sent_bytes();
    zone.store.put_config(&paced_net::config(3, MANY_ROUTES));
    thread::sleep(time::Duration::from_secs(1));
    assert!(lacking(&zone, 3).is_empty());
    let each = (zone.sent_bytes() - sent) / u64::try_from(VMS).expect("few");
    assert!(each <= 5_000, "{each} bytes");
}

/// Serves one response of [`BODY_BYTES`], a part each [`PART_PAUSE`]; stops after `parts`.
fn serve_slowly(parts: usize) -> String {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    fakes::serve(listener, move |stream| {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {BODY_BYTES}\r\n\r\n");
        let _request = fakes::read_request(stream);
        // The reader may have given up.
        let _gone = stream.write_all(head.as_bytes());
        for _part in 0..parts {
            let _gone = stream.write_all(&[b'x'; PART_BYTES]);
            thread::sleep(PART_PAUSE);
        }
        thread::sleep(READ_LIMIT * 2);
    });
    address
}

fn read_slow_body(parts: usize) -> http::Result<http::WholeResponse> {
    let address = serve_slowly(parts);
    let limits = http::ExchangeLimits {
        connect: READ_LIMIT,
        head: READ_LIMIT,
    };
    let method = http_types::Method::Get;
    task::block_on(http::send_whole(
        method,
        &address,
        "/",
        None,
        limits,
        2 * BODY_BYTES,
    ))
}

/// Guards against a large row of the store that a slow link never delivers in time.
fn a_body_that_keeps_coming_is_read() {
    let whole = read_slow_body(BODY_BYTES / PART_BYTES).expect("a response");
    assert_eq!(whole.body.len(), BODY_BYTES);
}

fn a_body_that_stalls_is_given_up() {
    let begin = time::Instant::now();
    let error = read_slow_body(2).expect_err("no whole body");
    assert_eq!(error.stage, http::ExchangeStage::Timeout);
    assert!(begin.elapsed() < READ_LIMIT * 3, "{:?}", begin.elapsed());
}

common::cases! {
    body_that_keeps_coming: a_body_that_keeps_coming_is_read();
    body_that_stalls: a_body_that_stalls_is_given_up();
    changed_route: a_changed_route_costs_little();
    grown_once: each_version_is_in_force_in_time(0);
    grown_and_then_changed: each_version_is_in_force_in_time(6);
}
