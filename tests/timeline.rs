//! Events of many processes in one causal order, whatever their clocks say.

use expect_test::expect;
use kumquatpulley::process::telemetry::timeline;
use proptest::prelude::{Strategy, any, prop, prop_assert, prop_assert_eq, proptest};

const WALL_MICROS: u64 = 1_900_000_000_000_000;

fn event(micros: u64, process: &str, kind: timeline::EventKind) -> timeline::TimelineEvent {
    timeline::TimelineEvent {
        stamp: timeline::HybridStamp { micros, counter: 0 },
        process: process.to_owned(),
        request: None,
        kind,
    }
}

/// A process whose clock is off by a fixed amount.
struct SkewedProcess {
    name: String,
    skew: u64,
    last: timeline::HybridStamp,
    events: Vec<timeline::TimelineEvent>,
}

impl SkewedProcess {
    fn record(&mut self, now: u64, number: u64) -> timeline::HybridStamp {
        self.last = timeline::advance(self.last, now + self.skew);
        self.events.push(timeline::TimelineEvent {
            stamp: self.last,
            process: self.name.clone(),
            request: None,
            kind: timeline::EventKind::VersionInForce { number },
        });
        self.last
    }

    fn observe(&mut self, seen: timeline::HybridStamp, now: u64) {
        self.last = self.last.max(timeline::clamp(seen, now + self.skew));
    }
}

/// Messages as (sender, receiver), sent and received one after the other.
fn any_messages() -> impl Strategy<Value = Vec<(usize, usize)>> {
    prop::collection::vec((0usize..4, 0usize..4), 1..40)
}

proptest! {
    #[test]
    fn what_a_message_caused_comes_after_it(
        skews in prop::collection::vec(0u64..50_000_000, 4),
        messages in any_messages(),
    ) {
        let processes = skews.into_iter().enumerate().map(|(index, skew)| SkewedProcess {
            name: format!("router-{index}"),
            skew,
            last: timeline::HybridStamp::default(),
            events: Vec::new(),
        });
        let mut processes: Vec<SkewedProcess> = processes.collect();
        let mut number = 0;
        for (sender, receiver) in messages {
            let now = WALL_MICROS + number;
            let sent = processes[sender].record(now, number);
            processes[receiver].observe(sent, now);
            processes[receiver].record(now, number + 1);
            number += 2;
        }
        let lists = processes.into_iter().map(|process| process.events).collect();
        let merged = timeline::merge(lists);
        let place = |wanted: u64| merged.iter().position(|event| {
            event.kind == timeline::EventKind::VersionInForce { number: wanted }
        });
        for sent in (0..number).step_by(2) {
            prop_assert!(place(sent) < place(sent + 1));
        }
    }

    #[test]
    fn a_merge_loses_nothing_and_keeps_the_order_of_each_process(
        stamps in prop::collection::vec(prop::collection::btree_set(any::<u64>(), 0..20), 0..5),
    ) {
        let list = |(index, stamps): (usize, std::collections::BTreeSet<u64>)| {
            let events = stamps.into_iter().map(|micros| {
                event(micros, &format!("router-{index}"), timeline::EventKind::Admitted)
            });
            events.collect::<Vec<_>>()
        };
        let lists: Vec<Vec<_>> = stamps.into_iter().enumerate().map(list).collect();
        let merged = timeline::merge(lists.clone());
        for (index, list) in lists.iter().enumerate() {
            let name = format!("router-{index}");
            let own = merged.iter().filter(|event| event.process == name);
            prop_assert_eq!(&own.cloned().collect::<Vec<_>>(), list);
        }
        prop_assert_eq!(merged.len(), lists.iter().map(Vec::len).sum::<usize>());
    }

    #[test]
    fn a_stamp_always_grows(micros in any::<u64>(), counter in any::<u32>(), now in any::<u64>()) {
        let last = timeline::HybridStamp { micros: micros / 2, counter };
        prop_assert!(timeline::advance(last, now) > last);
    }
}

#[test]
fn an_event_told_twice_is_kept_once() {
    let one = event(5, "router-1", timeline::EventKind::Ready);
    let merged = timeline::merge(vec![vec![one.clone()], vec![one.clone()]]);
    assert_eq!(merged, vec![one]);
}

#[test]
fn a_stamp_from_the_far_future_does_not_run_the_clock_away() {
    let ring = timeline::EventRing::new("router-1");
    let skew = u64::try_from(timeline::MAX_SKEW.as_micros()).unwrap();
    let far = timeline::HybridStamp {
        micros: timeline::wall_micros() + 100 * skew,
        counter: 0,
    };
    ring.observe(far);
    assert!(ring.stamp().micros <= timeline::wall_micros() + skew);
    assert_eq!(ring.skewed(), 1);
    let near = timeline::HybridStamp {
        micros: timeline::wall_micros() + skew / 2,
        counter: 0,
    };
    ring.observe(near);
    assert_eq!(ring.skewed(), 1);
}

#[test]
fn the_ring_keeps_the_newest_events_and_finds_those_of_a_request() {
    let ring = timeline::EventRing::new("router-1");
    ring.record(Some("first"), timeline::EventKind::Admitted);
    for _ in 0..timeline::RING_CAPACITY {
        ring.record(Some("second"), timeline::EventKind::Admitted);
    }
    assert_eq!(ring.events(None).len(), timeline::RING_CAPACITY);
    assert!(ring.events(Some("first")).is_empty());
    assert_eq!(ring.events(Some("second")).len(), timeline::RING_CAPACITY);
}

#[test]
fn an_event_reads_as_one_line() {
    let mut lost = event(
        WALL_MICROS,
        "router-1",
        timeline::EventKind::AttemptLost {
            attempt: "0a".to_owned(),
            endpoint: "runner-7".to_owned(),
            position: 12,
            cause: "silent for 400 ms\nthen reset".to_owned(),
        },
    );
    lost.request = Some("router-1-5.key".to_owned());
    let lines = format!(
        "{lost}\n{}\n",
        event(WALL_MICROS + 1, "router-2", timeline::EventKind::Draining)
    );
    expect![[r#"
        2030-03-17T17:46:40.000000Z router-1 attempt-lost attempt=0a cause="silent for 400 ms\nthen reset" endpoint=runner-7 position=12 request=router-1-5.key
        2030-03-17T17:46:40.000001Z router-2 draining
    "#]]
    .assert_eq(&lines);
}
