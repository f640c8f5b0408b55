//! Workspace limits, admission control and the retry budget stay within their bounds.

use std::collections;
use std::sync;
use std::time;

use async_std::task;
use kumquatpulley::process::limits::admission;
use kumquatpulley::process::limits::admission_params;
use kumquatpulley::process::limits::budget;
use kumquatpulley::process::limits::limit_split;
use kumquatpulley::request::verdict;
use proptest::prelude::*;

fn shares(limit: u32, demands: &[u32]) -> Vec<u32> {
    let names: Vec<String> = (0..demands.len())
        .map(|index| format!("r{index}"))
        .collect();
    let routers: Vec<limit_split::RouterDemand<'_>> = names
        .iter()
        .zip(demands)
        .map(|(router, &requests)| limit_split::RouterDemand { router, requests })
        .collect();
    routers
        .iter()
        .map(|own| limit_split::split_limit(limit, "brides", *own, &routers))
        .collect()
}

proptest! {
    #[test]
    fn shares_add_up_to_the_limit(
        limit in 0_u32..5_000,
        demands in prop::collection::vec(0_u32..2_000, 1..60),
    ) {
        let total: u32 = shares(limit, &demands).iter().sum();
        prop_assert_eq!(total, limit);
    }

    #[test]
    fn shares_add_up_at_the_extremes(
        limit in prop::sample::select(vec![0, 1, u32::MAX - 1, u32::MAX]),
        demands in prop::collection::vec(prop::sample::select(vec![0, 1, u32::MAX]), 1..9),
    ) {
        let total: u64 = shares(limit, &demands).iter().copied().map(u64::from).sum();
        prop_assert_eq!(total, u64::from(limit));
    }

    #[test]
    fn shares_from_stale_demand_stay_within_the_bound(
        limit in 0_u32..2_000,
        views in prop::collection::vec(prop::collection::vec(0_u32..500, 12), 12),
    ) {
        let total: u32 = views
            .iter()
            .enumerate()
            .map(|(index, demands)| shares(limit, demands)[index])
            .sum();
        prop_assert!(total <= 12 * limit_split::largest_share(limit, 12));
    }

    #[test]
    fn more_demand_never_gets_a_smaller_share(
        limit in 12_u32..2_000,
        demands in prop::collection::vec(0_u32..500, 12),
    ) {
        let shares = shares(limit, &demands);
        for (demand, share) in demands.iter().zip(&shares) {
            for (other_demand, other_share) in demands.iter().zip(&shares) {
                prop_assert!(demand <= other_demand || share + 1 >= *other_share);
            }
        }
    }

    #[test]
    fn budget_bounds_retries(
        steps in prop::collection::vec((0_u64..500, any::<bool>()), 1..400),
    ) {
        let budget = budget::RetryBudget::default();
        let limits = budget::BudgetLimits::default();
        let start = time::Instant::now();
        let (mut elapsed, mut successes, mut retries) = (0, 0.0, 0.0);
        for (millis, success) in steps {
            elapsed += millis;
            let now = start + time::Duration::from_millis(elapsed);
            if success {
                budget.deposit(now);
                successes += 1.0;
            } else if budget.withdraw(now) {
                retries += 1.0;
            }
        }
        let seconds = time::Duration::from_millis(elapsed).as_secs_f64();
        let bound = limits.max_tokens
            + successes * limits.retries_per_success
            + seconds * limits.reserve_per_second;
        prop_assert!(retries <= bound + 1e-6);
    }
}

#[test]
fn idle_router_keeps_a_reserve() {
    let shares = shares(140, &[1_000, 0, 0, 0, 0, 0, 0]);
    assert_eq!(shares, [128, 2, 2, 2, 2, 2, 2]);
}

#[test]
fn limit_below_router_count_goes_to_routers_with_demand() {
    assert_eq!(shares(2, &[0, 7, 0, 3]), [0, 1, 0, 1]);
}

#[test]
fn single_slot_shares_of_workspaces_spread_over_routers() {
    let names: Vec<String> = (0..50).map(|index| format!("r{index}")).collect();
    let routers: Vec<limit_split::RouterDemand<'_>> = names
        .iter()
        .map(|router| limit_split::RouterDemand {
            router,
            requests: 0,
        })
        .collect();
    let holder = |workspace: &str| {
        routers
            .iter()
            .position(|own| limit_split::split_limit(1, workspace, *own, &routers) == 1)
    };
    let holders: collections::HashSet<_> = (0..20)
        .map(|index| holder(&format!("workspace-{index}")))
        .collect();
    assert!(
        holders.len() > 10,
        "only {} routers hold a share",
        holders.len()
    );
}

#[test]
fn stale_entry_for_the_own_router_is_ignored() {
    let demand = |router, requests| limit_split::RouterDemand { router, requests };
    for limit in [1, 50] {
        let own = demand("r1", 0);
        let stale = [demand("r1", 9), demand("r2", 0)];
        let alone = [demand("r2", 0)];
        let share = limit_split::split_limit(limit, "brides", own, &stale);
        assert_eq!(
            share,
            limit_split::split_limit(limit, "brides", own, &alone)
        );
    }
}

#[test]
fn idle_time_saves_a_bounded_number_of_retries() {
    let budget = budget::RetryBudget::default();
    let start = time::Instant::now();
    let _ = budget.withdraw(start);
    let later = start + time::Duration::from_secs(3_600);
    let retries = (0..1_000).filter(|_index| budget.withdraw(later)).count();
    assert_eq!(retries, 20);
}

const LIMIT: admission_params::LocalLimit = admission_params::LocalLimit {
    share: 2,
    max_queue: 3,
};

fn millis_from_now(millis: u64) -> time::Instant {
    time::Instant::now() + time::Duration::from_millis(millis)
}

#[test]
fn running_requests_never_exceed_the_share() {
    task::block_on(async {
        let gate = admission::AdmissionGate::new();
        let running = sync::Arc::new(sync::atomic::AtomicUsize::new(0));
        let jobs = (0..60).map(|index| {
            let (gate, running) = (sync::Arc::clone(&gate), sync::Arc::clone(&running));
            task::spawn(async move {
                let limit = admission_params::LocalLimit {
                    share: 4,
                    max_queue: 100,
                };
                let deadline = millis_from_now(if index % 3 == 0 { 5 } else { 5_000 });
                let priority = admission_params::Priority::New;
                let Ok(_permit) = gate.admit("brides", limit, priority, deadline).await else {
                    return 0;
                };
                let count = running.fetch_add(1, sync::atomic::Ordering::SeqCst) + 1;
                task::sleep(time::Duration::from_millis(3)).await;
                running.fetch_sub(1, sync::atomic::Ordering::SeqCst);
                count
            })
        });
        let max_running = futures::future::join_all(jobs).await.into_iter().max();
        assert!(
            max_running <= Some(4) && max_running > Some(1),
            "{max_running:?}"
        );
        assert_eq!(gate.demand(millis_from_now(60_000)), []);
    });
}

#[test]
fn resumed_requests_are_admitted_before_new_ones() {
    task::block_on(async {
        let gate = admission::AdmissionGate::new();
        let single_slot = admission_params::LocalLimit {
            share: 1,
            max_queue: 2,
        };
        let admit = |priority| gate.admit("brides", single_slot, priority, millis_from_now(2_000));
        let held = admit(admission_params::Priority::New).await.unwrap();
        let order = sync::Arc::new(parking_lot::Mutex::new(Vec::new()));
        let job = |name: &'static str, priority| {
            let (order, admitted) = (sync::Arc::clone(&order), admit(priority));
            task::spawn(async move {
                let permit = admitted.await;
                order.lock().push((name, permit.is_ok()));
                task::sleep(time::Duration::from_millis(5)).await;
            })
        };
        let mut jobs = vec![job("new-1", admission_params::Priority::New)];
        task::sleep(time::Duration::from_millis(20)).await;
        jobs.push(job("new-2", admission_params::Priority::New));
        task::sleep(time::Duration::from_millis(20)).await;
        jobs.push(job("resumed", admission_params::Priority::Resumed));
        task::sleep(time::Duration::from_millis(20)).await;
        drop(held);
        futures::future::join_all(jobs).await;
        let order = order.lock().clone();
        assert_eq!(
            order,
            [("new-2", false), ("resumed", true), ("new-1", true)]
        );
    });
}

#[test]
fn expected_wait_beyond_the_deadline_is_refused_immediately() {
    task::block_on(async {
        let gate = admission::AdmissionGate::new();
        let admit = |millis| {
            gate.admit(
                "brides",
                LIMIT,
                admission_params::Priority::New,
                millis_from_now(millis),
            )
        };
        let warm = admit(1_000).await.unwrap();
        task::sleep(time::Duration::from_millis(400)).await;
        drop(warm);
        let _held = (admit(1_000).await.unwrap(), admit(1_000).await.unwrap());
        let start = time::Instant::now();
        let refusal = admit(100).await.unwrap_err();
        assert!(start.elapsed() < time::Duration::from_millis(50));
        assert_eq!(refusal.code, verdict::RefusalCode::Overloaded);
        assert_eq!(refusal.verdict, verdict::RunVerdict::NotRun);
        let delay = refusal.retry_after.unwrap();
        let expected = time::Duration::from_millis(200)..time::Duration::from_millis(300);
        assert!(expected.contains(&delay), "{delay:?}");
    });
}

#[test]
fn queued_request_is_refused_when_its_deadline_passes() {
    task::block_on(async {
        let gate = admission::AdmissionGate::new();
        let admit = |millis| {
            gate.admit(
                "brides",
                LIMIT,
                admission_params::Priority::New,
                millis_from_now(millis),
            )
        };
        let _held = (admit(1_000).await.unwrap(), admit(1_000).await.unwrap());
        let start = time::Instant::now();
        let refusal = admit(100).await.unwrap_err();
        let waited = start.elapsed();
        let expected = time::Duration::from_millis(95)..time::Duration::from_millis(400);
        assert!(expected.contains(&waited), "{waited:?}");
        assert!(refusal.retry_after.is_some());
        assert_eq!(gate.demand(millis_from_now(5_000))[0].requests, 2);
    });
}

#[test]
fn workspace_without_share_is_refused_and_counts_as_demand() {
    task::block_on(async {
        let gate = admission::AdmissionGate::new();
        let no_share = admission_params::LocalLimit {
            share: 0,
            max_queue: 3,
        };
        let admitted = gate.admit(
            "brides",
            no_share,
            admission_params::Priority::New,
            millis_from_now(1_000),
        );
        let refusal = admitted.await.unwrap_err();
        assert_eq!(
            (refusal.status, refusal.code),
            (429, verdict::RefusalCode::WorkspaceLimit)
        );
        assert!(refusal.retry_after.is_some());
        let demand = gate.demand(time::Instant::now());
        assert_eq!(demand[0].requests, 1);
        assert_eq!(gate.demand(millis_from_now(5_000)), []);
    });
}

#[test]
fn larger_share_admits_queued_requests() {
    task::block_on(async {
        let gate = admission::AdmissionGate::new();
        let admit = || {
            gate.admit(
                "brides",
                LIMIT,
                admission_params::Priority::New,
                millis_from_now(1_000),
            )
        };
        let _held = (admit().await.unwrap(), admit().await.unwrap());
        let waiting = task::spawn(admit());
        task::sleep(time::Duration::from_millis(50)).await;
        let larger = admission_params::LocalLimit { share: 3, ..LIMIT };
        gate.update_share("brides", larger);
        let start = time::Instant::now();
        let permit = waiting.await;
        assert!(permit.is_ok(), "{permit:?}");
        assert!(start.elapsed() < time::Duration::from_millis(500));
    });
}
