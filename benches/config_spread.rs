//! What a change of the configuration costs between gateways of one zone, and how long it takes to the
//! last of them, over links of 10 Mbit/s.
//!
//! `cargo bench --locked --bench config_spread`

#[path = "../tests/gateway/support/paced_net.rs"]
mod paced_net;

use std::thread;
use std::time;

/// A link of 10 Mbit/s.
const LINK_BYTES_PER_SECOND: u32 = 1_250_000;

/// Routers of one zone, and routes.
const SIZES: [(usize, usize); 5] = [(4, 40), (4, 2_700), (45, 40), (45, 2_700), (45, 15_000)];

/// Routes before the configuration grows.
const FEW_ROUTES: usize = 40;

/// Longest time that is waited for a version.
const WAIT_LIMIT: time::Duration = time::Duration::from_secs(20);

/// Time after which no transfer is left; also the window in which bytes are counted.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(4);

/// Writes a version and returns the time to the last router; `None` if one lacks it after the limit.
fn spread(zone: &paced_net::PacedZone, number: u64, routes: usize) -> Option<time::Duration> {
    let begin = time::Instant::now();
    zone.store.put_config(&paced_net::config(number, routes));
    while begin.elapsed() < WAIT_LIMIT {
        let mut nodes = zone.nodes.iter();
        if nodes.all(|node| node.version_number() >= Some(number)) {
            return Some(begin.elapsed());
        }
        thread::sleep(time::Duration::from_millis(5));
    }
    None
}

fn text(elapsed: Option<time::Duration>) -> String {
    elapsed.map_or_else(
        || format!("over {} s", WAIT_LIMIT.as_secs()),
        |elapsed| format!("{:.2} s", elapsed.as_secs_f64()),
    )
}

fn main() {
    println!("routers  routes  grown to them  bytes a router  one route changed  bytes a router");
    for (routers, routes) in SIZES {
        let zone = paced_net::PacedZone::start(routers, LINK_BYTES_PER_SECOND);
        let _first = spread(&zone, 1, FEW_ROUTES);
        thread::sleep(SETTLE_TIME);
        let count = u64::try_from(routers).expect("few");
        // Gossip and polls go on without a change.
        let sent = zone.sent_bytes();
        thread::sleep(SETTLE_TIME);
        let idle_per_second = (zone.sent_bytes() - sent) / SETTLE_TIME.as_secs();
        let measure = |number| {
            let sent = zone.sent_bytes();
            let begin = time::Instant::now();
            let elapsed = spread(&zone, number, routes);
            thread::sleep(SETTLE_TIME.saturating_sub(begin.elapsed()));
            let millis = u64::try_from(begin.elapsed().as_millis()).expect("a short time");
            let idle = idle_per_second * millis / 1_000;
            let sent = (zone.sent_bytes() - sent).saturating_sub(idle);
            (text(elapsed), sent / count)
        };
        let (grown, grown_bytes) = measure(2);
        let (changed, changed_bytes) = measure(3);
        println!(
            "{routers:7}  {routes:6}  {grown:>13}  {grown_bytes:14}  {changed:>17}  {changed_bytes:14}"
        );
    }
}
