//! Keys that name no home are claimed in the table service.

use std::time;

use async_std::task;
use kumquatpulley::request::verdict;

use crate::fakes::network;
use crate::fakes::platform;

#[test]
fn claim_race_of_two_routers_runs_once() {
    task::block_on(async {
        let bed = crate::TestBed::start().await;
        let (a, b) = (bed.router("a"), bed.router("b"));
        for round in 0..20 {
            let key = format!("order-{round}");
            let copies = [&a, &b, &a, &b].map(|router| router.run(network::reserve(&key)));
            for outcome in futures::future::join_all(copies).await {
                assert_eq!(crate::answer(&outcome), "stock-1 did 40 covers");
            }
            assert_eq!(bed.stock.effects(&key), 1);
        }
    });
}

/// The call runs exactly once and is answered although the claim writes fail with `faults`.
fn claim_survives(faults: &[platform::WriteFault]) {
    task::block_on(async {
        let bed = crate::TestBed::start().await;
        let (a, b) = (bed.router("a"), bed.router("b"));
        bed.network.platform.set_faults(faults);
        let copies = [&a, &b].map(|router| router.run(network::reserve("order-7")));
        for outcome in futures::future::join_all(copies).await {
            assert_eq!(crate::answer(&outcome), "stock-1 did 40 covers");
        }
        assert_eq!(bed.stock.effects("order-7"), 1);
    });
}

#[test]
fn table_service_down_refuses_at_once() {
    task::block_on(async {
        let bed = crate::TestBed::start().await;
        let a = bed.router("a");
        bed.network
            .platform
            .set_faults(&[platform::WriteFault::Down]);
        let sent_at = time::Instant::now();
        let outcome = a.run(crate::first(network::reserve("order-8"))).await;
        let refusal = crate::assert_refused(
            outcome,
            crate::NOT_RUN,
            verdict::RefusalCode::PlatformUnavailable,
        );
        assert_eq!(refusal.status, 503);
        assert!(refusal.retry_after_millis.is_some());
        assert!(sent_at.elapsed() < time::Duration::from_millis(500));
        let repeated = a.run(network::reserve("order-8")).await;
        crate::assert_refused(
            repeated,
            crate::MAY_HAVE_RUN,
            verdict::RefusalCode::PlatformUnavailable,
        );
        let keyed = a.run(network::reserve(&bed.network.mint("a"))).await;
        assert_eq!(crate::answer(&keyed), "stock-1 did 40 covers");
        assert_eq!(bed.stock.effects("order-8"), 0);
    });
}

#[test]
fn key_claimed_during_an_outage_can_be_used_afterwards() {
    task::block_on(async {
        let bed = crate::TestBed::start().await;
        let a = bed.router("a");
        let faults = [platform::WriteFault::LoseAnswer, platform::WriteFault::Down];
        bed.network.platform.set_faults(&faults);
        let outcome = a.run(network::reserve("order-9")).await;
        let code = verdict::RefusalCode::PlatformUnavailable;
        crate::assert_refused(outcome, crate::MAY_HAVE_RUN, code);
        assert_eq!(bed.stock.effects("order-9"), 0);
        let none = platform::WriteFault::None;
        bed.network.platform.set_faults(&[none]);
        let outcome = a.run(network::reserve("order-9")).await;
        assert_eq!(crate::answer(&outcome), "stock-1 did 40 covers");
        assert_eq!(bed.stock.effects("order-9"), 1);
    });
}

#[test]
fn key_of_restarted_claimant_is_not_rerun() {
    task::block_on(async {
        let bed = crate::TestBed::start().await;
        let (a, b) = (bed.router("a"), bed.router("b"));
        let _ = a.run(network::reserve("order-10")).await;
        let restarted = bed.network.start("a", 2);
        for router in [restarted, b] {
            let outcome = router.run(network::reserve("order-10")).await;
            assert_eq!(crate::refusal(outcome).verdict, crate::MAY_HAVE_RUN);
        }
        assert_eq!(bed.stock.effects("order-10"), 1);
    });
}

/// Sends 40 concurrent claims, 10 of which are already held by another router.
fn concurrent_claims(fault: platform::WriteFault, max_transactions: u32) {
    task::block_on(async {
        let bed = crate::TestBed::start().await;
        let (a, b) = (bed.router("a"), bed.router("b"));
        let keys: Vec<String> = (0..40).map(|index| format!("batch-{index}")).collect();
        for key in keys.iter().step_by(4) {
            let _ = a.run(network::reserve(key)).await;
        }
        bed.network.platform.set_faults(&[fault]);
        let before = bed.network.platform.transactions();
        let copies = keys.iter().map(|key| b.run(network::reserve(key)));
        for outcome in futures::future::join_all(copies).await {
            assert_eq!(crate::answer(&outcome), "stock-1 did 40 covers");
        }
        let transactions = bed.network.platform.transactions() - before;
        assert!(transactions <= max_transactions, "{transactions}");
        assert_eq!(bed.network.platform.row_count(), 40);
        assert_eq!(bed.stock.all_effects(), 40);
    });
}

crate::common::cases! {
    claim_answer_lost: claim_survives(&[platform::WriteFault::LoseAnswer, platform::WriteFault::None]);
    claim_answers_lost_twice: claim_survives(&[platform::WriteFault::LoseAnswer, platform::WriteFault::LoseAnswer, platform::WriteFault::None]);
    claim_query_lost: claim_survives(&[platform::WriteFault::LoseQuery, platform::WriteFault::None]);
    claim_query_lost_then_answer_lost: claim_survives(&[platform::WriteFault::LoseQuery, platform::WriteFault::LoseAnswer, platform::WriteFault::None]);
    claim_conflict_does_not_name_its_rows: claim_survives(&[platform::WriteFault::HideRows]);
    lost_claims_do_not_block_batched_claims: concurrent_claims(platform::WriteFault::None, 10);
    lost_claims_without_conflict_rows_do_not_block_others: concurrent_claims(platform::WriteFault::HideRows, 80);
}
