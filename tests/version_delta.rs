//! Changes of configuration travel as small differences and lead to the very same text.

use kumquatpulley::connection::peer_wire;
use kumquatpulley::process::versions::config;
use kumquatpulley::version::delta;
use proptest::prelude::*;

/// Declarations of `count` services, of which those in `slow` recover frugally.
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
    fn a_delta_makes_the_next_text(base in text_of_lines(), next in text_of_lines()) {
        let delta = delta::TextDelta::between(&base, &next);
        prop_assert_eq!(delta.apply(&base), Ok(next));
    }

    #[test]
    fn a_delta_for_another_base_makes_the_text_or_nothing(
        base in text_of_lines(),
        other in text_of_lines(),
        next in text_of_lines(),
    ) {
        let made = delta::TextDelta::between(&base, &next).apply(&other);
        prop_assert!(made == Ok(next) || made == Err(delta::DeltaError::WrongBase));
    }

    #[test]
    fn a_router_that_follows_another_has_its_text(
        changes in proptest::collection::vec((0_usize..10, any::<bool>()), 1..20),
    ) {
        let first = config::ConfigCell::new();
        let second = config::ConfigCell::new();
        let mut number = 0;
        for (service, follows) in changes {
            number += 1;
            first.offer(number, &declared(10, &[service]));
            if !follows {
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
fn one_changed_line_takes_a_few_bytes() {
    let base = declared(2_000, &[]);
    let cell = config::ConfigCell::new();
    cell.offer(1, &base);
    cell.offer(2, &declared(2_000, &[1_000]));
    let step = cell.update_since(1).unwrap();
    assert!(wire_bytes(&step) < 200, "{} bytes", wire_bytes(&step));
    let whole = cell.update_since(0).unwrap();
    assert!(wire_bytes(&whole) > base.len());
}

#[test]
fn changes_in_many_places_are_sent_as_such() {
    const CHANGES: usize = 20;
    let cell = config::ConfigCell::new();
    cell.offer(1, &declared(2_000, &[]));
    let places: Vec<usize> = (0..CHANGES).map(|change| change * 97).collect();
    cell.offer(2, &declared(2_000, &places));
    let size = wire_bytes(&cell.update_since(1).unwrap());
    assert!(size < CHANGES * 64, "{size} bytes");
}

#[test]
fn a_router_that_missed_too_much_is_sent_the_whole_text() {
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
fn changes_for_another_text_are_refused_and_the_whole_text_is_asked_for() {
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
fn a_version_from_a_peer_only_moves_upward() {
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
fn a_peer_asked_while_versions_change_never_sends_a_text_under_another_number() {
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
