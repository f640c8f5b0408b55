//! Which orders of roll-outs hold, and which plan a router goes by.

use std::time;

use kumquatpulley::process::gateway::boot_clock;
use kumquatpulley::process::gateway::rollout::{order, plan, plan_book};
use kumquatpulley::request::relay::rollout;

use crate::common;

/// Short name for the table of cases.
type Phase = plan::RolloutPhase;

const SERVICE: &str = "huvo11a";

fn entry(to: Option<&str>, era: u64, row: u64) -> order::OrderEntry {
    order::OrderEntry {
        service: SERVICE.to_owned(),
        content: to.map(|to| order::OrderContent {
            to: to.to_owned(),
            ramp: time::Duration::from_secs(12),
        }),
        version: order::order_version(era, row),
    }
}

/// `first` and `second` are the version that each row moves to, the era and the row's version.
fn the_order_that_holds(
    first: (Option<&str>, u64, u64),
    second: (Option<&str>, u64, u64),
    held: Option<&str>,
) {
    let mut book = order::OrderBook::default();
    assert!(book.merge(entry(first.0, first.1, first.2)));
    book.merge(entry(second.0, second.1, second.2));
    let order = book.order(SERVICE);
    assert_eq!(order.map(|order| order.content.to).as_deref(), held);
}

fn an_order_missing_in_a_full_read_is_withdrawn() {
    let mut book = order::OrderBook::default();
    book.merge(entry(Some("v2"), 0, 5));
    let before = book.digest();
    assert!(book.withdraw_missing(0, &[SERVICE]).is_empty());
    assert_eq!(book.withdraw_missing(0, &[]).len(), 1);
    assert_eq!(book.order(SERVICE), None);
    assert_ne!(book.digest(), before, "peers would not learn of it");
    // A peer that has not heard of it yet must not bring the order back.
    assert!(!book.merge(entry(Some("v2"), 0, 5)));
}

fn plan(order_version: u64, phase: plan::RolloutPhase, share_millis: u16) -> plan::RolloutPlan {
    plan::RolloutPlan {
        service: SERVICE.to_owned(),
        to: "v2".to_owned(),
        order_version,
        phase,
        share_millis,
    }
}

const START: boot_clock::BootInstant = boot_clock::BootInstant(time::Duration::from_secs(1_000));

fn after(millis: u64) -> boot_clock::BootInstant {
    boot_clock::BootInstant(START.0 + time::Duration::from_millis(millis))
}

/// A router that its coordinator does not reach must not go on sending to a version that may be bad.
fn an_old_plan(phase: plan::RolloutPhase, age_ms: u64, draw: &rollout::VersionDraw) {
    let book = plan_book::PlanBook::default();
    book.take_plan(plan(1, phase, 1_000), START);
    let plan = book.plan(SERVICE, after(age_ms)).expect("an order");
    assert_eq!(plan.draw(0.5), *draw);
}

/// `second` arrives after `first`; the router then goes by `phase`.
fn the_plan_that_holds(
    first: (u64, plan::RolloutPhase),
    second: (u64, plan::RolloutPhase),
    phase: plan::RolloutPhase,
) {
    let book = plan_book::PlanBook::default();
    book.take_plan(plan(first.0, first.1, 50), START);
    book.take_plan(plan(second.0, second.1, 50), START);
    let plan = book.plan(SERVICE, START).expect("an order");
    assert_eq!(plan.phase, phase);
    assert_eq!(book.open_services().is_empty(), phase.is_final());
}

fn the_share_is_drawn(random: f64, share_millis: u16, draw: &rollout::VersionDraw) {
    let plan = plan(1, plan::RolloutPhase::Ramping, share_millis);
    assert_eq!(plan.draw(random), *draw);
}

/// An endpoint of an unknown version waits until the orders were read after it was learned of.
fn orders_must_be_read_after_an_endpoint_was_learned_of() {
    let book = plan_book::PlanBook::default();
    assert!(!book.has_orders_since(START));
    book.record_orders_read(after(100));
    book.record_orders_read(START);
    assert!(book.has_orders_since(after(100)));
    assert!(!book.has_orders_since(after(101)));
}

fn only() -> rollout::VersionDraw {
    rollout::VersionDraw::Only("v2".to_owned())
}

fn all_but() -> rollout::VersionDraw {
    rollout::VersionDraw::AllBut("v2".to_owned())
}

common::cases! {
    newer_row: the_order_that_holds((Some("v2"), 0, 5), (Some("v3"), 0, 6), Some("v3"));
    older_row: the_order_that_holds((Some("v2"), 0, 5), (Some("v1"), 0, 4), Some("v2"));
    removed_row: the_order_that_holds((Some("v2"), 0, 5), (None, 0, 6), None);
    removal_of_an_older_row: the_order_that_holds((Some("v2"), 0, 5), (None, 0, 4), Some("v2"));
    ordered_again: the_order_that_holds((None, 0, 5), (Some("v2"), 0, 6), Some("v2"));
    old_order_after_two_removals: the_order_that_holds((None, 0, 9), (Some("v2"), 0, 7), None);
    restored_store: the_order_that_holds((Some("v2"), 0, 9), (Some("v1"), 1, 4), Some("v1"));
    withdrawn: an_order_missing_in_a_full_read_is_withdrawn();
    fresh_ramp: an_old_plan(Phase::Ramping, 1_999, &only());
    old_ramp: an_old_plan(Phase::Ramping, 2_000, &all_but());
    old_draining: an_old_plan(Phase::Draining, 2_000, &all_but());
    old_complete: an_old_plan(Phase::Complete, 3_600_000, &only());
    old_reverted: an_old_plan(Phase::Reverted, 3_600_000, &all_but());
    next_order: the_plan_that_holds((1, Phase::Reverted), (2, Phase::Waiting), Phase::Waiting);
    order_before: the_plan_that_holds((2, Phase::Waiting), (1, Phase::Complete), Phase::Waiting);
    ramp_after_revert: the_plan_that_holds((1, Phase::Reverted), (1, Phase::Ramping), Phase::Reverted);
    complete_after_revert: the_plan_that_holds((1, Phase::Reverted), (1, Phase::Complete), Phase::Complete);
    revert_after_complete: the_plan_that_holds((1, Phase::Complete), (1, Phase::Reverted), Phase::Complete);
    revert_after_draining: the_plan_that_holds((1, Phase::Draining), (1, Phase::Reverted), Phase::Reverted);
    drawn_new: the_share_is_drawn(0.049, 50, &only());
    drawn_old: the_share_is_drawn(0.05, 50, &all_but());
    no_share: the_share_is_drawn(0.0, 0, &all_but());
    whole_share: the_share_is_drawn(0.999_999, 1_000, &only());
    orders_read: orders_must_be_read_after_an_endpoint_was_learned_of();
}
