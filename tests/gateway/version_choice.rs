//! Which endpoints the attempts of a request may use while a version is rolled out.

use std::sync;
use std::time;

use kumquatpulley::process::endpoints::placement;
use kumquatpulley::process::gateway::rollout::evidence::EvidenceSource as _;
use kumquatpulley::process::gateway::rollout::{evidence, plan, plan_book, version_policy};
use kumquatpulley::process::gateway::{boot_clock, endpoint_fleet, endpoint_registry};
use kumquatpulley::request::relay::fleet::EndpointFleet as _;
use kumquatpulley::request::relay::rollout::VersionPolicy as _;
use kumquatpulley::request::relay::version_choice::VersionRules as _;
use kumquatpulley::request::relay::{fleet, rollout, version_choice};

use crate::{cached_state, common};

const SERVICE: &str = "models";

/// Drawn by a request that is in a share of a tenth.
const INSIDE: f64 = 0.05;

/// Drawn by a request that is not.
const OUTSIDE: f64 = 0.5;

const RAMPING: Option<plan::RolloutPhase> = Some(plan::RolloutPhase::Ramping);
const DRAINING: Option<plan::RolloutPhase> = Some(plan::RolloutPhase::Draining);
const COMPLETE: Option<plan::RolloutPhase> = Some(plan::RolloutPhase::Complete);
const REVERTED: Option<plan::RolloutPhase> = Some(plan::RolloutPhase::Reverted);
const WAITING: Option<plan::RolloutPhase> = Some(plan::RolloutPhase::Waiting);

/// A router with the endpoints `a` and `b` of `v1`, and `c` of `v2`.
struct RolloutDesk {
    plans: sync::Arc<plan_book::PlanBook>,
    fleet: sync::Arc<endpoint_fleet::RouterFleet>,
    policy: version_policy::RolloutPolicy,
}

fn record(name: &str, version: &str, incarnation: u64) -> endpoint_registry::EndpointRecord {
    endpoint_registry::EndpointRecord {
        version: version.to_owned(),
        ..cached_state::record(name, "z1", incarnation, false)
    }
}

fn records() -> Vec<endpoint_registry::EndpointRecord> {
    vec![
        record("a", "v1", 1),
        record("b", "v1", 1),
        record("c", "v2", 2),
    ]
}

/// The plan of an order to `v2` in this phase, with a share of a tenth while it ramps.
fn plan_in(phase: plan::RolloutPhase) -> plan::RolloutPlan {
    let share_millis = match phase {
        plan::RolloutPhase::Ramping => 100,
        plan::RolloutPhase::Draining | plan::RolloutPhase::Complete => plan::FULL_SHARE,
        _closed => 0,
    };
    plan::RolloutPlan {
        service: SERVICE.to_owned(),
        to: "v2".to_owned(),
        order_version: 7,
        phase,
        share_millis,
    }
}

impl RolloutDesk {
    /// A router that has not read the orders since it learned of its endpoints.
    fn unread(phase: Option<plan::RolloutPhase>) -> Self {
        let plans = sync::Arc::<plan_book::PlanBook>::default();
        if let Some(phase) = phase {
            plans.take_plan(plan_in(phase), boot_clock::BootInstant::now());
        }
        let placement = Box::new(placement::PrefixPlacement::default());
        let fleet = endpoint_fleet::RouterFleet::new("z1".to_owned(), placement);
        let fleet = sync::Arc::new(fleet.with_orders(sync::Arc::clone(&plans)));
        fleet.update(records().iter());
        let policy =
            version_policy::RolloutPolicy::new(sync::Arc::clone(&plans), sync::Arc::clone(&fleet));
        Self {
            plans,
            fleet,
            policy,
        }
    }

    fn new(phase: Option<plan::RolloutPhase>) -> Self {
        let desk = Self::unread(phase);
        desk.read_orders();
        desk
    }

    fn read_orders(&self) {
        self.plans
            .record_orders_read(boot_clock::BootInstant::now());
    }

    fn key(&self, name: &str) -> fleet::EndpointKey {
        let query = query(&[], &version_choice::VersionFilter::ANY);
        let known = self.fleet.sample(&query, 9);
        let endpoint = known.iter().find(|endpoint| endpoint.name == name);
        endpoint.expect("an endpoint in use").key
    }

    fn fail(&self, names: &[&str]) {
        for name in names {
            let failed = fleet::EndpointObservation::Failed;
            let now = time::Instant::now();
            self.fleet.observe(self.key(name), failed, now);
        }
    }

    fn filter(&self, choice: &version_choice::VersionChoice) -> version_choice::VersionFilter {
        choice.filter(&self.policy, SERVICE)
    }

    /// Names of the endpoints that may be chosen, by each way to choose one.
    fn names(&self, filter: &version_choice::VersionFilter, tried: &[&str]) -> String {
        let tried: Vec<fleet::EndpointKey> = tried.iter().map(|name| self.key(name)).collect();
        let query = query(&tried, filter);
        let sampled = self.fleet.sample(&query, 9);
        let mut names: Vec<&str> = sampled.iter().map(|known| known.name.as_str()).collect();
        names.sort_unstable();
        for _choice in 0..20 {
            let acquired = self.fleet.acquire(&query);
            assert_eq!(acquired.is_some(), !names.is_empty());
            let is_sampled = |known: &fleet::ChosenEndpoint| names.contains(&known.name.as_str());
            assert!(acquired.iter().all(is_sampled), "{acquired:?}; {names:?}");
        }
        names.concat()
    }
}

fn query<'a>(
    excluded: &'a [fleet::EndpointKey],
    versions: &'a version_choice::VersionFilter,
) -> fleet::EndpointQuery<'a> {
    fleet::EndpointQuery {
        service: SERVICE,
        excluded,
        avoid_zone_of: None,
        only: None,
        is_unlimited: false,
        versions,
    }
}

/// Guards against attempts at a version that the plan does not allow.
fn attempt_uses(
    phase: Option<plan::RolloutPhase>,
    random: f64,
    (failed_on, failed): (Option<&str>, &[&str]),
    expected: &str,
) {
    let desk = RolloutDesk::new(phase);
    desk.fail(failed);
    let mut choice = version_choice::VersionChoice::new(random);
    if let Some(version) = failed_on {
        choice.record_failure(version);
    }
    assert_eq!(desk.names(&desk.filter(&choice), &[]), expected);
}

/// Guards against streams that leave the version that they began on, and those that stay with one that
/// was reverted or is complete.
fn resumed_stream_uses(
    phase: Option<plan::RolloutPhase>,
    (random, version): (f64, &str),
    (tried, failed): (&[&str], &[&str]),
    expected: &str,
) {
    let desk = RolloutDesk::new(phase);
    desk.fail(failed);
    let mut choice = version_choice::VersionChoice::new(random);
    choice.record_failure(version);
    choice.record_start(version);
    assert_eq!(desk.names(&desk.filter(&choice), tried), expected);
    let copy = choice.copy_filter(&desk.policy, SERVICE, version);
    assert_eq!(
        desk.names(&copy, tried),
        expected,
        "a copy is held elsewhere"
    );
}

/// Guards against a chosen engine that is asked for by name although the plan has changed since.
fn an_endpoint_of_a_forbidden_version_is_not_acquired_by_name() {
    let desk = RolloutDesk::new(REVERTED);
    let filter = desk.filter(&version_choice::VersionChoice::new(INSIDE));
    let named = fleet::EndpointQuery {
        only: Some(desk.key("c")),
        ..query(&[], &filter)
    };
    assert_eq!(desk.fleet.acquire(&named), None);
}

/// Guards against repeats that draw again and again until they reach the new version.
fn repeats_do_not_exceed_the_share() {
    let desk = RolloutDesk::new(RAMPING);
    let mut at_new = 0;
    for request in 0..1_000 {
        let mut choice = version_choice::VersionChoice::new(f64::from(request) / 1_000.0);
        for _attempt in 0..6 {
            let filter = desk.filter(&choice);
            let chosen = desk.fleet.acquire(&query(&[], &filter)).expect("one");
            at_new += u32::from(chosen.version == "v2");
            choice.record_failure(&chosen.version);
        }
    }
    assert_eq!(at_new, 100);
}

/// Guards against requests at a new version while the coordinator may have reverted it.
fn silent_coordinator_leaves(phase: plan::RolloutPhase, expected: &str) {
    let desk = RolloutDesk::new(None);
    let now = boot_clock::BootInstant::now();
    let silent_since = now.before(plan_book::MAX_PLAN_AGE);
    desk.plans.take_plan(plan_in(phase), silent_since);
    let choice = version_choice::VersionChoice::new(INSIDE);
    assert_eq!(desk.names(&desk.filter(&choice), &[]), expected);
}

/// Guards against a router that refuses everything when it starts after a roll-out, and against one that
/// lets a new version stand in for the old one beyond a share that it knows.
fn without_an_old_version_the_new_one_is_used(
    phase: plan::RolloutPhase,
    records: &[endpoint_registry::EndpointRecord],
    expected: &str,
) {
    let desk = RolloutDesk::new(None);
    desk.fleet.update(records.iter());
    let now = boot_clock::BootInstant::now();
    desk.plans.take_plan(plan_in(phase), now);
    let choice = version_choice::VersionChoice::new(OUTSIDE);
    assert_eq!(desk.names(&desk.filter(&choice), &[]), expected);
}

/// Guards against requests at a new version before its order is known.
fn a_new_version_waits_for_the_orders() {
    let desk = RolloutDesk::unread(None);
    let any = version_choice::VersionFilter::ANY;
    assert_eq!(desk.names(&any, &[]), "ab");
    desk.read_orders();
    assert_eq!(desk.names(&any, &[]), "abc");
    let mut records = records();
    records.push(record("d", "v3", 3));
    desk.fleet.update(records.iter());
    assert_eq!(desk.names(&any, &[]), "abc");
    desk.read_orders();
    assert_eq!(desk.names(&any, &[]), "abcd");
}

/// Guards against a service without endpoints after all of them are replaced while the store is away.
fn a_known_version_does_not_wait() {
    let desk = RolloutDesk::new(None);
    desk.fleet.update([].iter());
    desk.fleet
        .update([record("e", "v2", 5), record("f", "v1", 5)].iter());
    let any = version_choice::VersionFilter::ANY;
    assert_eq!(desk.names(&any, &[]), "ef");
}

/// Guards against a change for deployments that do not follow roll-outs.
fn without_the_switch_no_version_waits() {
    let placement = Box::new(placement::PrefixPlacement::default());
    let fleet = endpoint_fleet::RouterFleet::new("z1".to_owned(), placement);
    fleet.update(records().iter());
    let choice = version_choice::VersionChoice::new(INSIDE);
    let filter = choice.filter(&rollout::AnyVersion, SERVICE);
    assert_eq!(fleet.sample(&query(&[], &filter), 9).len(), 3);
}

fn answer(desk: &RolloutDesk, version: &str, route: &str, outcome: rollout::VersionOutcome) {
    let latency = time::Duration::from_millis(60);
    desk.policy.record_sent(SERVICE, version, route);
    desk.policy
        .record_answer(SERVICE, version, route, outcome, latency);
    desk.policy.record_end(SERVICE, version, route);
}

/// Guards against a judgement on counts of the wrong version or route.
fn counts_are_kept_by_version_and_route() {
    let desk = RolloutDesk::new(RAMPING);
    let plan = plan_in(plan::RolloutPhase::Ramping);
    desk.policy.record_request(SERVICE);
    let (good, bad) = (
        rollout::VersionOutcome::Status(200),
        rollout::VersionOutcome::Status(500),
    );
    for (version, route, outcome) in [
        ("v1", "r1", good),
        ("v2", "r1", bad),
        ("v2", "r1", rollout::VersionOutcome::Lost),
        ("v2", "r2", good),
    ] {
        answer(&desk, version, route, outcome);
    }
    let report = desk.policy.report("g1", &plan);
    assert_eq!(report.requests_total, 1);
    let counts = |route: &str| {
        let known = report.routes.iter().find(|known| known.route == route);
        let known = known.expect("a route");
        [known.old, known.new].map(|counts| (counts.sent, counts.bad, counts.latencies.total()))
    };
    assert_eq!(counts("r1"), [(1, 0, 1), (2, 2, 0)]);
    assert_eq!(counts("r2"), [(0, 0, 0), (1, 0, 1)]);
}

/// Guards against counts that grow with the number of routes.
fn routes_beyond_the_limit_count_as_one() {
    let desk = RolloutDesk::new(RAMPING);
    desk.policy.record_request(SERVICE);
    for number in 0..100 {
        let route = format!("r{number}");
        answer(&desk, "v2", &route, rollout::VersionOutcome::Status(200));
    }
    let report = desk
        .policy
        .report("g1", &plan_in(plan::RolloutPhase::Ramping));
    assert_eq!(report.routes.len(), evidence::MAX_ROUTES + 1);
    let sent: u64 = report.routes.iter().map(|route| route.new.sent).sum();
    assert_eq!(sent, 100);
}

/// Guards against counts without an order, and those of one order that are taken for the next one's.
fn counts_begin_with_the_order() {
    let desk = RolloutDesk::new(None);
    let good = rollout::VersionOutcome::Status(200);
    desk.policy.record_request(SERVICE);
    answer(&desk, "v1", "r1", good);
    let first = plan_in(plan::RolloutPhase::Ramping);
    let report = desk.policy.report("g1", &first);
    assert_eq!((report.requests_total, report.routes.len()), (0, 0));
    answer(&desk, "v1", "r1", good);
    assert_eq!(desk.policy.report("g1", &first).routes.len(), 1);
    let second = plan::RolloutPlan {
        order_version: 8,
        ..first
    };
    let report = desk.policy.report("g1", &second);
    assert_eq!((report.order_version, report.routes.len()), (8, 0));
}

/// Guards against a completion while requests that were sent before the order still run.
fn requests_in_flight_at_old_versions_are_counted() {
    let desk = RolloutDesk::new(None);
    let any = version_choice::VersionFilter::ANY;
    let in_flight = |name| {
        let named = fleet::EndpointQuery {
            only: Some(desk.key(name)),
            ..query(&[], &any)
        };
        desk.fleet.acquire(&named).expect("an endpoint").key
    };
    let (old, _new) = (in_flight("a"), in_flight("c"));
    let plan = plan_in(plan::RolloutPhase::Draining);
    assert_eq!(desk.policy.report("g1", &plan).in_flight_old, 1);
    desk.fleet.release(old);
    assert_eq!(desk.policy.report("g1", &plan).in_flight_old, 0);
}

common::cases! {
    no_order: attempt_uses(None, INSIDE, (None, &[]), "abc");
    waiting: attempt_uses(WAITING, 0.0, (None, &[]), "ab");
    ramping_inside_share: attempt_uses(RAMPING, INSIDE, (None, &[]), "c");
    ramping_outside_share: attempt_uses(RAMPING, OUTSIDE, (None, &[]), "ab");
    draining: attempt_uses(DRAINING, 0.999, (None, &[]), "c");
    complete: attempt_uses(COMPLETE, 0.999, (None, &[]), "c");
    reverted: attempt_uses(REVERTED, 0.0, (None, &[]), "ab");
    repeat_after_new: attempt_uses(RAMPING, INSIDE, (Some("v2"), &[]), "ab");
    repeat_after_old: attempt_uses(RAMPING, OUTSIDE, (Some("v1"), &[]), "ab");
    repeat_while_draining: attempt_uses(DRAINING, INSIDE, (Some("v2"), &[]), "c");
    repeat_after_revert: attempt_uses(REVERTED, INSIDE, (Some("v2"), &[]), "ab");
    failing_new: attempt_uses(RAMPING, INSIDE, (None, &["c"]), "ab");
    failing_old: attempt_uses(RAMPING, OUTSIDE, (None, &["a", "b"]), "ab");
    all_failing: attempt_uses(RAMPING, INSIDE, (None, &["a", "b", "c"]), "c");
    failing_new_while_draining: attempt_uses(DRAINING, INSIDE, (None, &["c"]), "c");
    failing_new_after_complete: attempt_uses(COMPLETE, INSIDE, (None, &["c"]), "c");
    resumed_without_order: resumed_stream_uses(None, (INSIDE, "v1"), (&[], &[]), "ab");
    resumed_on_old: resumed_stream_uses(RAMPING, (INSIDE, "v1"), (&["a"], &[]), "b");
    resumed_on_failing_old: resumed_stream_uses(RAMPING, (INSIDE, "v1"), (&["a"], &["b"]), "b");
    resumed_without_old: resumed_stream_uses(RAMPING, (INSIDE, "v1"), (&["a", "b"], &[]), "");
    resumed_outside_share: resumed_stream_uses(RAMPING, (OUTSIDE, "v1"), (&["a", "b"], &[]), "");
    resumed_on_new: resumed_stream_uses(RAMPING, (INSIDE, "v2"), (&[], &["c"]), "c");
    resumed_without_new: resumed_stream_uses(RAMPING, (INSIDE, "v2"), (&["c"], &[]), "");
    resumed_on_old_while_draining: resumed_stream_uses(DRAINING, (INSIDE, "v1"), (&[], &[]), "ab");
    resumed_without_old_while_draining:
        resumed_stream_uses(DRAINING, (OUTSIDE, "v1"), (&["a", "b"], &[]), "");
    resumed_after_complete: resumed_stream_uses(COMPLETE, (OUTSIDE, "v1"), (&[], &[]), "");
    resumed_after_revert: resumed_stream_uses(REVERTED, (INSIDE, "v2"), (&[], &[]), "");
    resumed_without_coordinator: resumed_stream_uses(WAITING, (INSIDE, "v2"), (&[], &[]), "");
    named_endpoint: an_endpoint_of_a_forbidden_version_is_not_acquired_by_name();
    share_of_repeats: repeats_do_not_exceed_the_share();
    silent_coordinator_ramping: silent_coordinator_leaves(plan::RolloutPhase::Ramping, "ab");
    silent_coordinator_draining: silent_coordinator_leaves(plan::RolloutPhase::Draining, "ab");
    silent_coordinator_complete: silent_coordinator_leaves(plan::RolloutPhase::Complete, "c");
    started_after_roll_out: without_an_old_version_the_new_one_is_used(
        plan::RolloutPhase::Waiting,
        &[record("c", "v2", 2)],
        "c"
    );
    started_within_roll_out: without_an_old_version_the_new_one_is_used(
        plan::RolloutPhase::Waiting,
        &records(),
        "ab"
    );
    no_old_version_while_ramping: without_an_old_version_the_new_one_is_used(
        plan::RolloutPhase::Ramping,
        &[record("c", "v2", 2)],
        ""
    );
    no_old_version_after_revert: without_an_old_version_the_new_one_is_used(
        plan::RolloutPhase::Reverted,
        &[record("c", "v2", 2)],
        ""
    );
    unknown_order: a_new_version_waits_for_the_orders();
    known_version: a_known_version_does_not_wait();
    no_switch: without_the_switch_no_version_waits();
    counts: counts_are_kept_by_version_and_route();
    many_routes: routes_beyond_the_limit_count_as_one();
    first_counts: counts_begin_with_the_order();
    in_flight: requests_in_flight_at_old_versions_are_counted();
}
