//! The key table issues at most one ticket per call and respects its memory limits.

use std::collections;
use std::sync;
use std::time;

use kumquatpulley::connection::peer_wire;
use kumquatpulley::request::digest;
use kumquatpulley::request::outcome;
use kumquatpulley::request::verdict;
use proptest::prelude::*;

const HOUR: time::Duration = time::Duration::from_secs(3600);

const TABLE_LIMITS: outcome::TableLimits = outcome::TableLimits {
    retention: time::Duration::from_secs(100),
    clock_skew: time::Duration::from_secs(10),
    max_keys: 16 * 4,
    max_body_bytes: 16 * 64,
};

fn arrival(key: &str, made_at: time::Duration) -> outcome::KeyArrival {
    outcome::KeyArrival {
        key: digest::CallDigest::of(&[key.as_bytes()]),
        request: digest::CallDigest::of(&[b"request"]),
        made_at: Some(made_at),
        first_send: false,
    }
}

fn answered(bytes: usize) -> peer_wire::CallOutcomeWire {
    peer_wire::CallOutcomeWire::Answered {
        status: 201,
        content_type: None,
        body: vec![b'x'; bytes].into(),
    }
}

fn not_run() -> peer_wire::CallOutcomeWire {
    let code = verdict::RefusalCode::NoEndpoint;
    let refusal = verdict::RequestRefusal::not_run(503, code, "no endpoint; retry");
    peer_wire::CallOutcomeWire::Refused(refusal.into())
}

/// Runs steps of (key, milliseconds elapsed, action, first send) and checks that no key gets a
/// ticket while it is running or after its outcome became final.
fn run_table_steps(steps: &[(u8, u64, u8, bool)]) -> Result<(), TestCaseError> {
    let table = outcome::KeyTable::new(TABLE_LIMITS);
    let start = HOUR;
    let mut now = start;
    let mut running: collections::HashMap<u8, (outcome::RunTicket, bool)> =
        collections::HashMap::new();
    let mut closed = collections::HashSet::new();
    for &(key, millis, action, first_send) in steps {
        prop_assert_eq!(table.running_count(), running.len());
        now += time::Duration::from_millis(millis);
        let mut arrival = arrival(&format!("key-{key}"), start);
        arrival.first_send = first_send;
        match (action, running.remove(&key)) {
            (0, Some((ticket, _sole_copy))) => {
                outcome::RunTicket::finish(ticket, answered(40));
                closed.insert(key);
            }
            (1, Some((ticket, sole_copy))) => {
                outcome::RunTicket::finish(ticket, not_run());
                if !sole_copy {
                    closed.insert(key);
                }
            }
            (2, Some((ticket, _sole_copy))) => {
                drop(ticket);
                closed.insert(key);
            }
            (_, held) => {
                let entry = table.enter(arrival, now);
                if let outcome::TableEntry::New(ticket, _pending) = entry {
                    prop_assert!(held.is_none(), "key {} is running", key);
                    prop_assert!(!closed.contains(&key), "key {} is closed", key);
                    running.insert(key, (ticket, first_send));
                } else if let Some((ticket, _sole_copy)) = held {
                    running.insert(key, (ticket, false));
                }
            }
        }
    }
    Ok(())
}

fn enter_and_finish(
    table: &sync::Arc<outcome::KeyTable>,
    arrival: outcome::KeyArrival,
    now: time::Duration,
    outcome: peer_wire::CallOutcomeWire,
) -> bool {
    let outcome::TableEntry::New(ticket, _pending) = table.enter(arrival, now) else {
        return false;
    };
    ticket.finish(outcome);
    true
}

#[test]
fn full_table_never_reruns_earlier_keys() {
    let table = outcome::KeyTable::new(TABLE_LIMITS);
    let (mut ran, mut refused) = (Vec::new(), Vec::new());
    for index in 0..400 {
        let name = format!("key-{index}");
        let arrival = arrival(&name, HOUR);
        if enter_and_finish(&table, arrival, HOUR, answered(10)) {
            ran.push(arrival);
        } else {
            refused.push(arrival);
        }
    }
    assert_eq!(table.key_count(), TABLE_LIMITS.max_keys);
    for mut arrival in ran.into_iter().chain(refused) {
        arrival.first_send = true;
        for seconds in [0, 50, 105, 115, 1_000] {
            let now = HOUR + time::Duration::from_secs(seconds);
            assert!(!matches!(
                table.enter(arrival, now),
                outcome::TableEntry::New(..)
            ));
        }
    }
}

#[test]
fn capacity_is_freed_after_retention() {
    let table = outcome::KeyTable::new(TABLE_LIMITS);
    for index in 0..400 {
        let arrival = arrival(&format!("key-{index}"), HOUR);
        enter_and_finish(&table, arrival, HOUR, answered(10));
    }
    let later = HOUR + time::Duration::from_secs(200);
    let entered = (0..400)
        .filter(|index| {
            let arrival = arrival(&format!("later-{index}"), later);
            enter_and_finish(&table, arrival, later, answered(10))
        })
        .count();
    assert_eq!(entered, TABLE_LIMITS.max_keys);
    assert_eq!(table.key_count(), TABLE_LIMITS.max_keys);
    assert!(table.body_bytes() <= TABLE_LIMITS.max_body_bytes);
}

#[test]
fn bodies_are_evicted_before_entries() {
    let table = outcome::KeyTable::new(TABLE_LIMITS);
    let arrivals: Vec<_> = (0..40)
        .map(|index| arrival(&format!("key-{index}"), HOUR))
        .collect();
    for arrival in &arrivals {
        enter_and_finish(&table, *arrival, HOUR, answered(60));
        assert!(table.body_bytes() <= TABLE_LIMITS.max_body_bytes);
    }
    let (mut kept, mut trimmed) = (0, 0);
    for arrival in &arrivals {
        match table.enter(*arrival, HOUR) {
            outcome::TableEntry::Kept(_) => kept += 1,
            outcome::TableEntry::Trimmed(201) => trimmed += 1,
            _ => {}
        }
    }
    assert!(kept > 0 && trimmed > 0, "{kept} kept, {trimmed} trimmed");
    assert_eq!(kept + trimmed, table.key_count());
}

#[test]
fn unknown_key_past_retention_is_not_run() {
    let table = outcome::KeyTable::new(TABLE_LIMITS);
    let late = HOUR + time::Duration::from_secs(101);
    let entry = table.enter(arrival("old", HOUR), late);
    assert!(matches!(entry, outcome::TableEntry::Forgotten));
    let early = HOUR + time::Duration::from_secs(99);
    let entry = table.enter(arrival("old", HOUR), early);
    assert!(matches!(entry, outcome::TableEntry::New(..)));
}

#[test]
fn key_from_the_future_is_refused() {
    let table = outcome::KeyTable::new(TABLE_LIMITS);
    let made_at = HOUR + time::Duration::from_secs(11);
    let entry = table.enter(arrival("future", made_at), HOUR);
    assert!(matches!(entry, outcome::TableEntry::Future));
    let made_at = HOUR + time::Duration::from_secs(9);
    let entry = table.enter(arrival("skewed", made_at), HOUR);
    assert!(matches!(entry, outcome::TableEntry::New(..)));
}

proptest! {
    #[test]
    fn each_key_gets_one_ticket_in_any_order(
        steps in prop::collection::vec((0_u8..12, 0_u64..2_000, 0_u8..5, any::<bool>()), 1..400),
    ) {
        run_table_steps(&steps)?;
    }
}
