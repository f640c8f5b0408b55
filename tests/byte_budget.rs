//! The byte budget stays within its limit, and the right reservations give way.

#[path = "common/mod.rs"]
mod common;

use std::net;
use std::sync;
use std::time;

use async_std::future;
use async_std::task;
use kumquatpulley::process::limits::byte_budget;
use proptest::prelude::*;

/// Limit of the budgets in these tests, in bytes.
const LIMIT: usize = 8 * 1024 * 1024;

/// Part of [`LIMIT`] that large reservations may use.
const LARGE_LIMIT: usize = LIMIT - LIMIT / 8;

const MIB: usize = 1024 * 1024;

/// Time without progress after which a body is older than one that arrives steadily.
const STALL: time::Duration = time::Duration::from_secs(1);

fn caller(number: u8) -> net::IpAddr {
    net::IpAddr::from([127, 0, 0, number])
}

fn budget() -> sync::Arc<byte_budget::ByteBudget> {
    sync::Arc::new(byte_budget::ByteBudget::new(LIMIT))
}

/// Opens a reservation of `bytes`, which must be granted.
fn hold(
    budget: &sync::Arc<byte_budget::ByteBudget>,
    number: u8,
    bytes: usize,
    now: time::Instant,
) -> byte_budget::ByteReservation {
    let reservation = budget.open(caller(number), now);
    assert_eq!(
        reservation.try_grow(bytes, now),
        Ok(byte_budget::GrowStep::Granted)
    );
    reservation
}

/// Guards against a leak, which would refuse every caller in the end.
fn bytes_return_when_the_reservation_is_dropped() {
    let (budget, now) = (budget(), time::Instant::now());
    let first = hold(&budget, 1, 3 * MIB, now);
    let second = hold(&budget, 2, MIB, now);
    assert_eq!(budget.held(), 4 * MIB);
    first.shrink(MIB);
    assert_eq!((first.bytes(), budget.held()), (2 * MIB, 3 * MIB));
    drop(first);
    drop(second);
    assert_eq!(budget.held(), 0);
}

/// Guards against a crowd of large bodies that leaves no room for ordinary callers.
fn small_requests_have_a_reserve() {
    let (budget, now) = (budget(), time::Instant::now());
    let large = hold(&budget, 1, LARGE_LIMIT, now);
    large.keep().expect("it is not evicted");
    let small = hold(&budget, 1, byte_budget::SMALL_BYTES, now);
    // A byte more makes it a large one, for which there is no room.
    assert_eq!(
        small.try_grow(1, now),
        Err(byte_budget::ByteError::Exhausted)
    );
    assert!(!small.is_evicted());
    assert!(budget.held() <= LIMIT);
}

/// Guards against stalled bodies that keep out those that arrive.
fn the_longest_stalled_body_of_the_largest_caller_gives_way() {
    let (budget, start) = (budget(), time::Instant::now());
    let other = hold(&budget, 2, 2 * MIB, start);
    let stalled = hold(&budget, 1, 2 * MIB, start + STALL);
    let steady = hold(&budget, 1, 2 * MIB, start);
    steady.record_progress(start + 2 * STALL);
    let newcomer = budget.open(caller(3), start + 2 * STALL);
    let step = newcomer.try_grow(2 * MIB, start + 2 * STALL);
    assert_eq!(step, Ok(byte_budget::GrowStep::Waiting));
    assert!(stalled.is_evicted());
    assert!(!steady.is_evicted() && !other.is_evicted());
    drop(stalled);
    let step = newcomer.try_grow(2 * MIB, start + 2 * STALL);
    assert_eq!(step, Ok(byte_budget::GrowStep::Granted));
}

/// Guards against bodies that evict one another in turn, so that none completes.
fn of_steady_bodies_the_smallest_gives_way() {
    let (budget, now) = (budget(), time::Instant::now());
    let largest = hold(&budget, 1, 4 * MIB, now);
    let smaller = hold(&budget, 1, 2 * MIB, now);
    let newcomer = budget.open(caller(1), now);
    let step = newcomer.try_grow(3 * MIB / 2, now);
    assert_eq!(step, Err(byte_budget::ByteError::Exhausted));
    let step = largest.try_grow(3 * MIB / 2, now);
    assert_eq!(step, Ok(byte_budget::GrowStep::Waiting));
    assert!(smaller.is_evicted());
}

/// Guards against a caller that takes the room of one that holds less.
fn a_caller_does_not_evict_one_that_holds_less() {
    let (budget, now) = (budget(), time::Instant::now());
    let least = hold(&budget, 2, MIB, now);
    let most = hold(&budget, 1, 6 * MIB, now + STALL);
    most.keep().expect("it is not evicted");
    let more = budget.open(caller(1), now + STALL);
    assert_eq!(
        more.try_grow(MIB, now + STALL),
        Err(byte_budget::ByteError::Exhausted)
    );
    assert!(!least.is_evicted());
}

/// Guards against refusing a request as "not run" after it was sent to an endpoint.
fn a_kept_reservation_is_not_evicted() {
    let (budget, now) = (budget(), time::Instant::now());
    let sent = hold(&budget, 1, LARGE_LIMIT, now);
    sent.keep().expect("it is not evicted");
    let newcomer = budget.open(caller(2), now + STALL);
    assert_eq!(
        newcomer.try_grow(MIB, now + STALL),
        Err(byte_budget::ByteError::Exhausted)
    );
    sent.allow_eviction().expect("it is not evicted");
    assert_eq!(
        newcomer.try_grow(MIB, now + STALL),
        Ok(byte_budget::GrowStep::Waiting)
    );
    assert_eq!(sent.keep(), Err(byte_budget::ByteError::Evicted));
    assert_eq!(sent.try_grow(1, now), Err(byte_budget::ByteError::Evicted));
}

/// Guards against an evicted body whose holder does not learn of it while it waits for bytes, and
/// against a grower that is not woken when there is room.
fn waiting_holders_are_woken() {
    let budget = budget();
    let stalled = hold(&budget, 1, LARGE_LIMIT, time::Instant::now());
    let newcomer = budget.open(caller(2), time::Instant::now());
    task::block_on(async {
        let giving_way = task::spawn(async move {
            stalled.evicted().await;
            drop(stalled);
        });
        let growing = future::timeout(10 * STALL, newcomer.grow(MIB));
        assert_eq!(growing.await, Ok(Ok(())));
        giving_way.await;
    });
    assert_eq!(budget.held(), MIB);
    drop(newcomer);
    assert_eq!(budget.held(), 0);
}

common::cases! {
    returned_on_drop: bytes_return_when_the_reservation_is_dropped();
    reserve: small_requests_have_a_reserve();
    stalled_body: the_longest_stalled_body_of_the_largest_caller_gives_way();
    steady_bodies: of_steady_bodies_the_smallest_gives_way();
    smaller_caller: a_caller_does_not_evict_one_that_holds_less();
    kept: a_kept_reservation_is_not_evicted();
    woken: waiting_holders_are_woken();
}

proptest! {
    /// Whatever callers do, the limit holds, large reservations leave the reserve free, and all
    /// bytes return.
    #[test]
    fn limits_hold(steps in prop::collection::vec((0_usize..12, 0_u8..4, 0_usize..2 * MIB), 1..200)) {
        let (budget, start) = (budget(), time::Instant::now());
        let mut held: Vec<Option<byte_budget::ByteReservation>> = (0..12).map(|_| None).collect();
        for (index, (slot, number, bytes)) in steps.into_iter().enumerate() {
            let now = start + STALL / 10 * u32::try_from(index).expect("few steps");
            let reservation = held[slot].take().unwrap_or_else(|| budget.open(caller(number), now));
            let is_held = reservation.try_grow(bytes, now).is_ok();
            held[slot] = is_held.then_some(reservation);
            for kept in &mut held {
                if kept.as_ref().is_some_and(byte_budget::ByteReservation::is_evicted) {
                    *kept = None;
                }
            }
            let sizes = held.iter().flatten().map(byte_budget::ByteReservation::bytes);
            let sizes: Vec<usize> = sizes.collect();
            let large = sizes.iter().filter(|size| **size > byte_budget::SMALL_BYTES);
            prop_assert!(budget.held() <= LIMIT);
            prop_assert_eq!(budget.held(), sizes.iter().sum::<usize>());
            prop_assert!(large.sum::<usize>() <= LARGE_LIMIT);
        }
        held.clear();
        prop_assert_eq!(budget.held(), 0);
    }
}
