//! The home router of a key sends its call once; other routers forward the call to the home.

use std::sync;
use std::time;

use async_std::task;
use kumquatpulley::request::verdict;

use crate::fakes::network;
use crate::fakes::service;

#[test]
fn repeated_key_returns_stored_outcome() {
    task::block_on(async {
        let bed = crate::TestBed::start().await;
        let (a, b) = (bed.router("a"), bed.router("b"));
        let key = bed.network.mint("a");
        let once = a.run(network::reserve(&key)).await;
        let repeated = a.run(network::reserve(&key)).await;
        let forwarded = b.run(network::reserve(&key)).await;
        assert_eq!(crate::answer(&once), "stock-1 did 40 covers");
        assert_eq!(once, repeated);
        assert_eq!(once, forwarded);
        assert_eq!(bed.stock.effects(&key), 1);
    });
}

#[test]
fn concurrent_copies_join_one_run() {
    task::block_on(async {
        let bed = crate::TestBed::start().await;
        bed.stock
            .set_fault(service::ServiceFault::Late(time::Duration::from_millis(
                200,
            )));
        let (a, b) = (bed.router("a"), bed.router("b"));
        let key = bed.network.mint("a");
        let copies = (0..20).map(|index| {
            let router = if index % 2 == 0 { &a } else { &b };
            router.run(network::reserve(&key))
        });
        for outcome in futures::future::join_all(copies).await {
            assert_eq!(crate::answer(&outcome), "stock-1 did 40 covers");
        }
        assert_eq!(bed.stock.effects(&key), 1);
    });
}

#[test]
fn key_of_another_request_is_refused() {
    task::block_on(async {
        let bed = crate::TestBed::start().await;
        let a = bed.router("a");
        let key = bed.network.mint("a");
        let _ = a.run(network::reserve(&key)).await;
        let mut other = network::reserve(&key);
        other.body = b"50 covers".to_vec().into();
        let outcome = a.run(other).await;
        crate::assert_refused(outcome, crate::NOT_RUN, verdict::RefusalCode::KeyReused);
        assert_eq!(bed.stock.all_effects(), 1);
    });
}

#[test]
fn keys_are_scoped_to_workspaces() {
    task::block_on(async {
        let bed = crate::TestBed::start().await;
        let a = bed.router("a");
        let key = bed.network.mint("a");
        let mut other = network::reserve(&key);
        other.workspace = "choirs".to_owned();
        let _ = a.run(network::reserve(&key)).await;
        let _ = a.run(other).await;
        assert_eq!(bed.stock.effects(&key), 2);
    });
}

#[test]
fn call_without_key_gets_generated_key() {
    task::block_on(async {
        let bed = crate::TestBed::start().await;
        let a = bed.router("a");
        let outcome = a.run(network::reserve("")).await;
        assert_eq!(crate::answer(&outcome), "stock-1 did 40 covers");
        assert_eq!(bed.stock.effects(""), 0);
        assert_eq!(bed.stock.all_effects(), 1);
    });
}

#[test]
fn no_endpoint_refusal_applies_to_later_copies() {
    task::block_on(async {
        let bed = crate::TestBed::start().await;
        let a = bed.router("a");
        let key = bed.network.mint("a");
        bed.network.endpoints.set(&[]);
        let outcome = a.run(network::reserve(&key)).await;
        let refusal =
            crate::assert_refused(outcome, crate::NOT_RUN, verdict::RefusalCode::NoEndpoint);
        assert!(refusal.retry_after_millis.is_some());
        assert_eq!(refusal.home.as_deref(), Some("a-1"));
        bed.network.endpoints.set(&[sync::Arc::clone(&bed.stock)]);
        let late = a.run(crate::first(network::reserve(&key))).await;
        crate::assert_refused(late, crate::NOT_RUN, verdict::RefusalCode::NoEndpoint);
        assert_eq!(bed.stock.all_effects(), 0);
    });
}

#[test]
fn key_of_refused_first_send_can_be_reused() {
    task::block_on(async {
        let bed = crate::TestBed::start().await;
        let a = bed.router("a");
        let key = bed.network.mint("a");
        bed.network.endpoints.set(&[]);
        let outcome = a.run(crate::first(network::reserve(&key))).await;
        crate::assert_refused(outcome, crate::NOT_RUN, verdict::RefusalCode::NoEndpoint);
        bed.network.endpoints.set(&[sync::Arc::clone(&bed.stock)]);
        let outcome = a.run(network::reserve(&key)).await;
        assert_eq!(crate::answer(&outcome), "stock-1 did 40 covers");
        assert_eq!(bed.stock.effects(&key), 1);
    });
}

/// The home is unreachable; only a first send is known not to have run.
fn check_unreachable_home(cut: fn(&network::FakeNetwork)) {
    task::block_on(async {
        let bed = crate::TestBed::start().await;
        let (_a, b) = (bed.router("a"), bed.router("b"));
        cut(&bed.network);
        let key = bed.network.mint("a");
        let outcome = b.run(network::reserve(&key)).await;
        let refusal = crate::assert_refused(
            outcome,
            crate::MAY_HAVE_RUN,
            verdict::RefusalCode::HomeUnreachable,
        );
        assert!(refusal.retry_after_millis.is_some());
        let outcome = b.run(crate::first(network::reserve(&key))).await;
        let refusal =
            crate::assert_refused(outcome, crate::NOT_RUN, verdict::RefusalCode::WrongHome);
        assert_eq!(
            (refusal.status, refusal.home.as_deref()),
            (421, Some("b-1"))
        );
        network::settle().await;
        assert_eq!(bed.stock.all_effects(), 0);
    });
}

/// The home received the call, but its response is lost.
fn check_lost_response(fault: network::LinkFault) {
    task::block_on(async {
        let bed = crate::TestBed::start().await;
        let (_a, b) = (bed.router("a"), bed.router("b"));
        bed.network.set_fault("a", fault);
        let key = bed.network.mint("a");
        let mut long_call = crate::first(network::reserve(&key));
        long_call.deadline_millis = 30_000;
        let started = time::Instant::now();
        let outcome = b.run(long_call).await;
        assert!(started.elapsed() < time::Duration::from_secs(4));
        crate::assert_refused(
            outcome,
            crate::MAY_HAVE_RUN,
            verdict::RefusalCode::HomeUnreachable,
        );
        bed.network.set_fault("a", network::LinkFault::None);
        let outcome = b.run(network::reserve(&key)).await;
        assert_eq!(crate::answer(&outcome), "stock-1 did 40 covers");
        assert_eq!(bed.stock.effects(&key), 1);
    });
}

/// The home restarted after the call ran; the call is retried at `router`.
fn check_restarted_home(router: &str) {
    task::block_on(async {
        let bed = crate::TestBed::start().await;
        let (a, _b) = (bed.router("a"), bed.router("b"));
        let key = bed.network.mint("a");
        let _ = a.run(network::reserve(&key)).await;
        let restarted = bed.network.start("a", 2);
        let runner = if router == "a" {
            restarted
        } else {
            bed.router("b")
        };
        let outcome = runner.run(network::reserve(&key)).await;
        crate::assert_refused(
            outcome,
            crate::MAY_HAVE_RUN,
            verdict::RefusalCode::WrongHome,
        );
        assert_eq!(bed.stock.effects(&key), 1);
    });
}

#[test]
fn first_send_to_earlier_incarnation_returns_current_home() {
    task::block_on(async {
        let bed = crate::TestBed::start().await;
        let _a = bed.router("a");
        let key = bed.network.mint("a");
        let a = bed.network.start("a", 2);
        let outcome = a.run(crate::first(network::reserve(&key))).await;
        let refusal =
            crate::assert_refused(outcome, crate::NOT_RUN, verdict::RefusalCode::WrongHome);
        assert_eq!(
            (refusal.status, refusal.home.as_deref()),
            (421, Some("a-2"))
        );
        assert_eq!(bed.stock.all_effects(), 0);
    });
}

crate::common::cases! {
    home_unknown: check_unreachable_home(|network| network.set_listed("a", false));
    home_refuses_connections: check_unreachable_home(|network| network.set_fault("a", network::LinkFault::Refuse));
    home_closes_before_response: check_lost_response(network::LinkFault::LoseAnswer);
    home_stops_responding: check_lost_response(network::LinkFault::Silent);
    retry_at_restarted_home: check_restarted_home("a");
    retry_at_other_router_after_home_restart: check_restarted_home("b");
}
