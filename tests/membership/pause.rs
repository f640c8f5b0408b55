//! Tests of pause detection and of the pause gate.

use std::time;

use kumquatpulley::process::pause;

use crate::fixtures;

#[test]
fn a_gap_between_ticks_is_a_pause_on_either_clock() {
    let now = time::Instant::now();
    let mut detector = pause::PauseDetector::new(fixtures::SECOND, now, fixtures::WALL_MICROS);
    let almost = now + fixtures::SECOND.mul_f64(0.9);
    assert_eq!(detector.tick(almost, fixtures::WALL_MICROS + 900_000), None);
    let late = almost + fixtures::SECOND * 3;
    assert_eq!(
        detector.tick(late, fixtures::WALL_MICROS + 900_000),
        Some(fixtures::SECOND * 3)
    );
    assert_eq!(
        detector.tick(late, fixtures::WALL_MICROS + 2_900_000),
        Some(fixtures::SECOND * 2)
    );
    assert_eq!(detector.tick(late, fixtures::WALL_MICROS), None);
}

#[test]
fn the_gate_opens_only_for_an_exchange_that_began_after_the_pause() {
    let now = time::Instant::now();
    let gate = pause::PauseGate::default();
    assert!(gate.is_open());
    gate.close(now + fixtures::SECOND);
    assert!(!gate.record_contact(now));
    assert!(!gate.is_open());
    assert!(gate.record_contact(now + fixtures::SECOND * 2));
    assert!(gate.is_open());
}
