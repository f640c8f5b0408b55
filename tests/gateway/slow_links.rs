//! How a change of the configuration reaches all gateways of a zone over slow links.

use std::collections;
use std::fmt::Write as _;
use std::sync::atomic;
use std::thread;
use std::time;

use crate::common;
use crate::support::paced_net;

/// Gateways that poll the reader of the zone, and three more that poll one of these.
const VMS: usize = 20;

/// Bytes a second and routes are a fifth of a link of 10 Mbit/s and of a large configuration, so that
/// the test needs little processor time.
const LINK_BYTES_PER_SECOND: u32 = 250_000;
const FEW_ROUTES: usize = 40;
const MANY_ROUTES: usize = 540;

/// Pause between two changes of the configuration.
const CHANGE_PAUSE: time::Duration = time::Duration::from_millis(500);

/// Longest time until all gateways have their first configuration.
const START_LIMIT: time::Duration = time::Duration::from_secs(10);

const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// A configuration whose last route depends on its number.
fn config(number: u64, routes: usize) -> String {
    let mut text = format!(r#"{{"version":{number},"routes":["#);
    for index in 0..routes {
        let timeout = if index + 1 == routes {
            1_000 + number
        } else {
            1_000
        };
        // Names and paths are as hard to compress as random ones.
        let name = fastrand::Rng::with_seed(index as u64).u64(..);
        let _infallible = write!(
            text,
            r#"{{"name":"r{name:016x}","host":"h{}.example","prefix":"/{:08x}/","kind":"safe","timeout_ms":{timeout},"goal_ms":200,"priority":2,"attempts":2,"public":false,"service":"desk"}},"#,
            index % 7,
            name >> 24,
        );
    }
    text.pop();
    text.push_str(r#"],"services":[{"name":"desk","health_path":"/health"}],"limits":{}}"#);
    text
}

/// Names of the gateways that lack version `number`.
fn lacking(zone: &paced_net::PacedZone, number: u64) -> Vec<String> {
    let nodes = zone.nodes.iter();
    let lacking = nodes.filter(|node| node.version_number() < Some(number));
    lacking.map(|node| node.settings.router.clone()).collect()
}

/// Starts the gateways and waits until all have a small configuration.
fn start_zone() -> paced_net::PacedZone {
    let zone = paced_net::PacedZone::start(VMS, LINK_BYTES_PER_SECOND);
    zone.store.put_config(&config(1, FEW_ROUTES));
    let until = time::Instant::now() + START_LIMIT;
    while !lacking(&zone, 1).is_empty() {
        assert!(time::Instant::now() < until, "{:?}", lacking(&zone, 1));
        thread::sleep(CHECK_INTERVAL);
    }
    zone
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
            zone.store.put_config(&config(next, MANY_ROUTES));
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

common::cases! {
    grown_once: each_version_is_in_force_in_time(0);
    grown_and_then_changed: each_version_is_in_force_in_time(6);
}
