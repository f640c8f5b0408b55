//! Roll-outs when routers, links or the store fail, and when orders change.

use std::sync;
use std::sync::atomic;
use std::time;

use async_std::task;
use kumquatpulley::process::gateway::boot_clock;
use kumquatpulley::process::gateway::rollout::evidence;
use kumquatpulley::process::gateway::rollout::plan;

use crate::common;
use crate::support::rollout_world;

/// Short name for assertions.
type Phase = plan::RolloutPhase;

const ORDER: &str = r#"{"service":"huvo11a","to":"v2","ramp_s":0}"#;
const NEXT_ORDER: &str = r#"{"service":"huvo11a","to":"v3","ramp_s":0}"#;

/// Longest wait for something that takes a few decisions.
const PATIENCE: time::Duration = time::Duration::from_secs(4);

/// Longest wait for the end of a ramp: four steps of a second each, and the drain.
const RAMP_TIME: time::Duration = time::Duration::from_secs(20);

/// Three routers, all of which know the order.
fn ordered_world() -> rollout_world::World {
    let world = rollout_world::World::new(3);
    world.store.put_order(ORDER);
    for index in 0..3 {
        world.read_orders(index);
    }
    world
}

/// One round of reports and decisions. They follow one another faster than in operation.
async fn round(world: &rollout_world::World) {
    for router in &world.routers {
        router.reporter.report_all().await;
        let now = boot_clock::BootInstant::now();
        router.control.coordinator().decide_all(now);
    }
    task::sleep(time::Duration::from_millis(20)).await;
}

fn wait_for(
    world: &rollout_world::World,
    limit: time::Duration,
    what: &str,
    is_there: impl Fn(&rollout_world::World) -> bool,
) {
    let until = time::Instant::now() + limit;
    task::block_on(async {
        while !is_there(world) {
            assert!(time::Instant::now() < until, "not within {limit:?}: {what}");
            round(world).await;
        }
    });
}

/// For this time, it must not come to what `is_wrong` tells.
fn stays_without(
    world: &rollout_world::World,
    span: time::Duration,
    what: &str,
    is_wrong: impl Fn(&rollout_world::World) -> bool,
) {
    let until = time::Instant::now() + span;
    task::block_on(async {
        while time::Instant::now() < until {
            round(world).await;
            assert!(!is_wrong(world), "{what}");
        }
    });
}

fn all_in(world: &rollout_world::World, phase: Phase) -> bool {
    let mut routers = world.routers.iter();
    routers.all(|router| router.phase() == Some(phase))
}

/// Sets counts as if a router had sent `count` requests to each version.
fn set_counts(router: &rollout_world::WorldRouter, count: u64, bad_new: u64) {
    let counts = |bad: u64| {
        let mut counts = evidence::AnswerCounts {
            sent: count,
            bad,
            ..evidence::AnswerCounts::default()
        };
        for _answer in bad..count {
            counts.latencies.record(time::Duration::from_millis(60));
        }
        counts
    };
    let mut report = router.counts.0.lock();
    report.requests_total = 2 * count;
    report.routes = vec![evidence::RouteEvidence {
        route: "one".to_owned(),
        old: counts(0),
        new: counts(bad_new),
    }];
}

/// Answers of a good version, more with each call.
fn add_good_counts(world: &rollout_world::World) {
    for router in &world.routers {
        let count = router.counts.0.lock().requests_total / 2;
        set_counts(router, count + 4, 0);
    }
}

fn is_complete_after_more_counts(world: &rollout_world::World) -> bool {
    add_good_counts(world);
    all_in(world, Phase::Complete)
}

fn a_good_version_takes_over() {
    let world = ordered_world();
    wait_for(&world, PATIENCE, "running", |world| {
        world.store.state().as_deref() == Some("running")
    });
    wait_for(&world, RAMP_TIME, "complete", is_complete_after_more_counts);
    assert_eq!(world.store.state().as_deref(), Some("complete"));
}

/// The old version's endpoints stop at `complete`, so it waits for the requests that run there.
fn complete_waits_for_requests_at_the_old_version() {
    let world = ordered_world();
    world.routers[2].counts.0.lock().in_flight_old = 1;
    wait_for(&world, RAMP_TIME, "draining", |world| {
        add_good_counts(world);
        all_in(world, Phase::Draining)
    });
    let span = time::Duration::from_secs(3);
    stays_without(&world, span, "complete while a request runs", |world| {
        add_good_counts(world);
        world.store.state().as_deref() == Some("complete")
    });
    world.routers[2].counts.0.lock().in_flight_old = 0;
    wait_for(&world, PATIENCE, "complete", is_complete_after_more_counts);
}

fn make_bad(world: &rollout_world::World) {
    set_counts(&world.routers[1], 20, 10);
}

/// The store may be away just when a version turns out to be bad.
fn a_revert_takes_effect_while_the_store_is_away() {
    let world = ordered_world();
    wait_for(&world, PATIENCE, "running", |world| {
        world.store.state().as_deref() == Some("running")
    });
    world.store.is_away.store(true, atomic::Ordering::SeqCst);
    make_bad(&world);
    wait_for(&world, PATIENCE, "reverted", |world| {
        all_in(world, Phase::Reverted)
    });
    assert_eq!(world.store.state().as_deref(), Some("running"));
    world.store.is_away.store(false, atomic::Ordering::SeqCst);
    wait_for(&world, PATIENCE, "written", |world| {
        world.store.state().as_deref() == Some("reverted")
    });
}

/// A router that is lost right after the decision must not leave the state unwritten.
fn another_coordinator_writes_the_revert() {
    let world = ordered_world();
    wait_for(&world, PATIENCE, "running", |world| {
        world.store.state().as_deref() == Some("running")
    });
    world.store.is_away.store(true, atomic::Ordering::SeqCst);
    make_bad(&world);
    wait_for(&world, PATIENCE, "reverted", |world| {
        all_in(world, Phase::Reverted)
    });
    world.cut(0);
    world.net.owner.store(1, atomic::Ordering::SeqCst);
    world.store.is_away.store(false, atomic::Ordering::SeqCst);
    wait_for(&world, PATIENCE, "written", |world| {
        world.store.state().as_deref() == Some("reverted")
    });
}

/// The write arrived and its answer did not: the state is read back and not decided anew.
fn a_write_without_an_answer_is_read_back() {
    let world = ordered_world();
    world
        .store
        .loses_answers
        .store(true, atomic::Ordering::SeqCst);
    wait_for(&world, RAMP_TIME, "complete", is_complete_after_more_counts);
    assert_eq!(world.store.state().as_deref(), Some("complete"));
}

/// All routers were lost right after `complete` was written.
fn new_routers_find_the_end_in_the_store() {
    let world = ordered_world();
    wait_for(&world, RAMP_TIME, "complete", is_complete_after_more_counts);
    let mut fresh = rollout_world::World {
        store: sync::Arc::clone(&world.store),
        ..rollout_world::World::new(0)
    };
    for index in 0..3 {
        fresh.add_router();
        fresh.read_orders(index);
    }
    stays_without(
        &fresh,
        time::Duration::from_millis(100),
        "ramping",
        |world| all_in(world, Phase::Ramping),
    );
    wait_for(&fresh, PATIENCE, "complete", |world| {
        all_in(world, Phase::Complete)
    });
}

/// A router that does not read the store learns orders, and how they ended, from a peer.
fn a_peer_tells_of_orders(is_ended: bool) {
    let mut world = ordered_world();
    if is_ended {
        make_bad(&world);
        wait_for(&world, PATIENCE, "reverted", |world| {
            all_in(world, Phase::Reverted)
        });
    }
    world.add_router();
    let (started, learned_at) = (&world.routers[3], boot_clock::BootInstant::now());
    assert_eq!(started.phase(), None);
    assert!(!started.plans.has_orders_since(learned_at));
    task::block_on(started.control.query_orders("1"));
    let expected = if is_ended {
        Phase::Reverted
    } else {
        Phase::Waiting
    };
    assert_eq!(started.phase(), Some(expected));
    assert!(started.plans.orders_age(learned_at).is_some());
}

fn a_newer_order_starts_again() {
    let world = ordered_world();
    make_bad(&world);
    wait_for(&world, PATIENCE, "reverted", |world| {
        world.store.state().as_deref() == Some("reverted")
    });
    set_counts(&world.routers[1], 0, 0);
    world.store.put_order(NEXT_ORDER);
    world.read_orders(0);
    task::block_on(world.routers[1].control.query_orders("0"));
    task::block_on(world.routers[2].control.query_orders("1"));
    wait_for(&world, PATIENCE, "running", |world| {
        world.store.state().as_deref() == Some("running")
    });
    let plans = world
        .routers
        .iter()
        .filter_map(rollout_world::WorldRouter::plan);
    assert!(plans.into_iter().all(|plan| plan.to == "v3"));
    wait_for(&world, RAMP_TIME, "complete", is_complete_after_more_counts);
}

fn a_withdrawn_order_is_reverted() {
    let world = ordered_world();
    wait_for(&world, PATIENCE, "running", |world| {
        world.store.state().as_deref() == Some("running")
    });
    world.store.remove_order();
    world.read_orders(0);
    wait_for(&world, PATIENCE, "reverted", |world| {
        all_in(world, Phase::Reverted) && world.store.state().as_deref() == Some("reverted")
    });
}

fn an_odd_order_is_none() {
    let world = rollout_world::World::new(3);
    world.store.put_order("to v2, please");
    world.read_orders(0);
    task::block_on(round(&world));
    assert_eq!(world.routers[0].phase(), None);
    assert_eq!(world.store.state(), None);
}

/// The new version's endpoints may start long after the order.
fn an_order_without_endpoints_waits() {
    let world = ordered_world();
    let span = time::Duration::from_secs(6);
    stays_without(&world, span, "more than the first share", |world| {
        let plans = world
            .routers
            .iter()
            .filter_map(rollout_world::WorldRouter::plan);
        plans.into_iter().any(|plan| plan.share_millis > 50)
    });
    assert_eq!(world.store.state().as_deref(), Some("running"));
}

/// A coordinator that hears of one router only may be cut off and must not let the others go on.
fn a_coordinator_needs_most_routers() {
    let world = ordered_world();
    let until = time::Instant::now() + time::Duration::from_secs(1);
    task::block_on(async {
        while time::Instant::now() < until {
            world.routers[0].reporter.report_all().await;
            let now = boot_clock::BootInstant::now();
            world.routers[0].control.coordinator().decide_all(now);
            assert_eq!(world.routers[0].phase(), Some(Phase::Waiting));
            task::sleep(time::Duration::from_millis(50)).await;
        }
    });
    wait_for(&world, PATIENCE, "ramping", |world| {
        world.routers[0].phase() == Some(Phase::Ramping)
    });
}

common::cases! {
    good: a_good_version_takes_over();
    drain: complete_waits_for_requests_at_the_old_version();
    revert_without_store: a_revert_takes_effect_while_the_store_is_away();
    lost_coordinator: another_coordinator_writes_the_revert();
    lost_answers: a_write_without_an_answer_is_read_back();
    all_routers_new: new_routers_find_the_end_in_the_store();
    peer_with_open_order: a_peer_tells_of_orders(false);
    peer_with_ended_order: a_peer_tells_of_orders(true);
    newer_order: a_newer_order_starts_again();
    withdrawn_order: a_withdrawn_order_is_reverted();
    odd_order: an_odd_order_is_none();
    no_endpoints: an_order_without_endpoints_waits();
    few_reports: a_coordinator_needs_most_routers();
}
