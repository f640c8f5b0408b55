//! Tests that configuration changes are sent as small deltas that reproduce the exact text.

use kumquatpulley::connection::peer_wire;
use kumquatpulley::process::versions::config;
use kumquatpulley::version::delta;
use proptest::prelude::*;

/// Returns declarations of `count` services; those with an index in `frugal` use frugal recovery.
fn declared(count: usize, frugal: &[usize]) -> String {
    let service = |index: usize| {
        let recovery = if frugal.contains(&index) {
            "frugal"
        } else {
            "fast"
        };
        format!("  - name: service-{index}\n    recovery: {recovery}\n")
    };
    let services: String = (0..count).map(service).collect();
    format!("services:\n{services}")
}

fn wire_bytes(wire: &peer_wire::VersionWire) -> usize {
    let bytes = bincode::serde::encode_to_vec(wire, bincode::config::standard());
    bytes.expect("the version can be encoded").len()
}

fn text_of_lines() -> impl Strategy<Value = String> {
    let line = prop_oneof![Just("a\n"), Just("b\n"), Just("c\n"), Just("\n"), Just("d")];
    proptest::collection::vec(line, 0..30).prop_map(|lines| lines.concat())
}

proptest! {
    #[test]
    fn applying_a_delta_yields_the_next_text(base in text_of_lines(), next in text_of_lines()) {
        let delta = delta::TextDelta::between(&base, &next);
        prop_assert_eq!(delta.apply(&base), Ok(next));
    }

    #[test]
    fn a_delta_applied_to_another_base_yields_the_next_text_or_an_error(
        base in text_of_lines(),
        other in text_of_lines(),
        next in text_of_lines(),
    ) {
        let made = delta::TextDelta::between(&base, &next).apply(&other);
        prop_assert!(made == Ok(next) || made == Err(delta::DeltaError::WrongBase));
    }

    #[test]
    fn a_router_that_syncs_with_a_peer_has_the_same_text(
        changes in proptest::collection::vec((0_usize..10, any::<bool>()), 1..20),
    ) {
        let first = config::ConfigCell::new();
        let second = config::ConfigCell::new();
        let mut number = 0;
        for (service, is_synced) in changes {
            number += 1;
            first.offer(number, &declared(10, &[service]));
            if !is_synced {
                continue;
            }
            if let Some(wire) = first.update_since(second.update_base_number()) {
                prop_assert_eq!(second.offer_update(&wire), config::OfferOutcome::Activated);
            }
            let (left, right) = (first.current().unwrap(), second.current().unwrap());
            prop_assert_eq!(left.number(), right.number());
            prop_assert_eq!(left.yaml(), right.yaml());
        }
    }
}

#[test]
fn one_changed_line_is_sent_as_a_small_delta() {
    let base = declared(2_000, &[]);
    let cell = config::ConfigCell::new();
    cell.offer(1, &base);
    cell.offer(2, &declared(2_000, &[1_000]));
    let update = cell.update_since(1).unwrap();
    assert!(wire_bytes(&update) < 200, "{} bytes", wire_bytes(&update));
    let whole = cell.update_since(0).unwrap();
    assert!(wire_bytes(&whole) > base.len());
}

#[test]
fn scattered_changes_are_sent_as_a_delta() {
    const CHANGES: usize = 20;
    let cell = config::ConfigCell::new();
    cell.offer(1, &declared(2_000, &[]));
    let changed_services: Vec<usize> = (0..CHANGES).map(|change| change * 97).collect();
    cell.offer(2, &declared(2_000, &changed_services));
    let size = wire_bytes(&cell.update_since(1).unwrap());
    assert!(size < CHANGES * 64, "{size} bytes");
}

#[test]
fn a_router_far_behind_gets_the_whole_text() {
    let first = config::ConfigCell::new();
    for number in 1..=200 {
        let index = usize::try_from(number).unwrap() % 40;
        first.offer(number, &declared(40, &[index]));
    }
    let second = config::ConfigCell::new();
    second.offer(1, &declared(40, &[1]));
    let wire = first.update_since(second.update_base_number()).unwrap();
    assert!(matches!(wire.text, peer_wire::VersionText::Whole(_)));
    assert_eq!(second.offer_update(&wire), config::OfferOutcome::Activated);
    assert_eq!(second.number(), 200);
}

#[test]
fn a_delta_with_the_wrong_base_is_refused_and_the_whole_text_requested() {
    let first = config::ConfigCell::new();
    first.offer(1, &declared(40, &[]));
    first.offer(2, &declared(40, &[7]));
    let damaged = config::ConfigCell::new();
    damaged.offer(1, &declared(30, &[]));
    let wire = first.update_since(damaged.update_base_number()).unwrap();
    assert_eq!(
        damaged.offer_update(&wire),
        config::OfferOutcome::BaseMismatch
    );
    assert_eq!(damaged.number(), 1);
    let wire = first.update_since(damaged.update_base_number()).unwrap();
    assert_eq!(damaged.offer_update(&wire), config::OfferOutcome::Activated);
    assert_eq!(damaged.current().unwrap().yaml(), declared(40, &[7]));
    assert_eq!(damaged.update_base_number(), 2);
}

#[test]
fn an_older_version_from_a_peer_is_ignored() {
    let first = config::ConfigCell::new();
    first.offer(1, &declared(4, &[]));
    first.offer(2, &declared(4, &[1]));
    let wire = first.update_since(1).unwrap();
    let second = config::ConfigCell::new();
    second.offer(3, &declared(4, &[2]));
    assert_eq!(second.offer_update(&wire), config::OfferOutcome::Older);
    assert_eq!(second.number(), 3);
    assert!(second.update_since(3).is_none());
}

#[test]
fn concurrent_changes_never_pair_a_text_with_another_number() {
    const VERSIONS: u64 = 400;
    let text = |number: u64| format!("{}  - name: v{number}\n", declared(8, &[]));
    let first = config::ConfigCell::new();
    first.offer(1, &text(1));
    let second = config::ConfigCell::new();
    second.offer(1, &text(1));
    std::thread::scope(|scope| {
        scope.spawn(|| {
            for number in 2..=VERSIONS {
                first.offer(number, &text(number));
            }
        });
        while second.number() < VERSIONS {
            if let Some(wire) = first.update_since(second.update_base_number()) {
                second.offer_update(&wire);
            }
            let version = second.current().unwrap();
            assert_eq!(version.yaml(), text(version.number()));
        }
    });
}
