//! Engines that restarted at their address before the routers have read their new entries.

use std::sync;
use std::time;

use kumquatpulley::process::endpoints::placement;
use kumquatpulley::process::gateway::{endpoint_fleet, endpoint_registry};
use kumquatpulley::process::view;
use kumquatpulley::request::relay::fleet::EndpointFleet as _;
use kumquatpulley::request::relay::{fleet, incarnation, report, version_choice};

use crate::common;
use crate::support::system::System;
use crate::support::{caller, fakes};

/// Prompts that are sent; with two engines, each would get some of them.
const PROMPT_COUNT: u32 = 8;

#[derive(Debug, Default)]
struct CountedEvents(parking_lot::Mutex<Vec<&'static str>>);

impl view::CounterSink for CountedEvents {
    fn count(&self, name: &'static str) {
        self.0.lock().push(name);
    }

    fn time(&self, _name: &'static str, _elapsed: time::Duration) {}
}

fn record(name: &str, born: u64) -> endpoint_registry::EndpointRecord {
    endpoint_registry::EndpointRecord {
        name: name.to_owned(),
        incarnation: born,
        service: "m".to_owned(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: "z1".to_owned(),
        version: "v1".to_owned(),
        slots: 8,
        is_leaving: false,
    }
}

fn report(born: u64) -> report::EngineReport {
    report::EngineReport {
        incarnation: born,
        ..report::EngineReport::default()
    }
}

/// Guards against prompts that are sent to an engine which refuses them as another incarnation, and
/// against healthy engines that are left out because a start time is unknown.
fn a_report_drops_its_engine(entry_born: u64, reported: Option<u64>, is_dropped: bool) {
    let policy = Box::new(placement::PrefixPlacement::default());
    let fleet = endpoint_fleet::RouterFleet::new("z1".to_owned(), policy);
    let records = [record("e1", entry_born), record("e2", 1)];
    fleet.update(records.iter());
    let query = fleet::EndpointQuery {
        service: "m",
        excluded: &[],
        avoid_zone_of: None,
        only: None,
        is_unlimited: false,
        versions: &version_choice::VersionFilter::ANY,
    };
    let sampled = fleet.sample(&query, 2);
    let first = sampled.into_iter().find(|endpoint| endpoint.name == "e1");
    let first = first.expect("a known endpoint");
    let key = first.key;
    let counters = sync::Arc::new(CountedEvents::default());
    let probed = vec![(first, reported.map(report))];
    let current = incarnation::drop_replaced(&fleet, counters.as_ref(), "r1", probed);
    assert_eq!(current.is_empty(), is_dropped);
    assert_eq!(fleet.is_replaced(key), is_dropped);
    assert_eq!(fleet.is_healthy(key), !is_dropped);
    assert_eq!(counters.0.lock().len(), usize::from(is_dropped));
    let engines = fleet.sample(&query, 2);
    let is_sampled = engines.iter().any(|endpoint| endpoint.name == "e1");
    assert_eq!(is_sampled, !is_dropped, "{engines:?}");
    // The new entry is used at once.
    let records = [record("e1", 77), record("e2", 1)];
    fleet.update(records.iter());
    assert_eq!(fleet.sample(&query, 2).len(), 2);
}

/// Guards against prompts that an engine refuses with 421, each at the cost of a retry, because its
/// entry is older than its last restart.
fn a_restarted_engine_gets_no_prompt() {
    let system = System::start(1);
    system.first.restart();
    for number in 0..PROMPT_COUNT {
        let id = format!("r{number}");
        let answer = System::send(system.ip(), "/stream/1", &id).expect("an answer");
        assert_eq!(answer.head.status, 200, "{}", system.logs());
        assert_eq!(answer.text(), caller::complete_stream());
    }
    let received = system.first.received();
    assert!(received.is_empty(), "{received:?}");
    assert!(system.first.copy_requests().is_empty());
    assert!(
        system.logs().contains("engine restarted after its entry"),
        "{}",
        system.logs()
    );
}

/// Guards against prompts that are held until their deadline, or retried without end, when no
/// engine is the one of its entry.
fn prompts_are_refused_at_once_when_all_engines_restarted() {
    let system = System::start(1);
    system.first.restart();
    system.second.restart();
    let began = time::Instant::now();
    let answer = System::send(system.ip(), "/stream/1", "r1").expect("an answer");
    assert_eq!(answer.head.status, 503, "{}", system.logs());
    // A tenth of the caller's deadline.
    assert!(began.elapsed() < time::Duration::from_secs(2));
    assert!(system.arrivals("r1").is_empty());
}

/// Guards against streams that break and are resumed at an engine that has restarted.
fn a_broken_stream_does_not_resume_at_a_restarted_engine() {
    let system = System::start(1);
    system.first.set_mode(fakes::EndpointMode::DiesAfter(4));
    system.second.restart();
    // Ends early, as no other engine may go on; the deadline is not awaited.
    let ip = system.ip();
    let sending = std::thread::spawn(move || System::send(ip, "/stream/1", "r1"));
    system.wait_for("the stream breaks", || {
        system.logs().contains("stream attempt ended")
    });
    system.wait_for("the other engine is probed", || {
        system.logs().contains("engine restarted after its entry")
    });
    assert!(system.second.received().is_empty());
    system.first.set_mode(fakes::EndpointMode::Healthy);
    system.first.revive();
    let answer = sending.join().expect("no panic").expect("an answer");
    assert_eq!(
        answer.text(),
        caller::complete_stream(),
        "{}",
        system.logs()
    );
    assert!(system.second.received().is_empty());
}

common::cases! {
    another_start_time: a_report_drops_its_engine(5, Some(6), true);
    earlier_start_time: a_report_drops_its_engine(5, Some(4), true);
    same_start_time: a_report_drops_its_engine(5, Some(5), false);
    no_start_time_in_the_report: a_report_drops_its_engine(5, Some(0), false);
    no_start_time_in_the_entry: a_report_drops_its_engine(0, Some(6), false);
    no_report: a_report_drops_its_engine(5, None, false);
    prompts: a_restarted_engine_gets_no_prompt();
    all_restarted: prompts_are_refused_at_once_when_all_engines_restarted();
    broken_stream: a_broken_stream_does_not_resume_at_a_restarted_engine();
}
