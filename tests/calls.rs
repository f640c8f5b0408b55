//! A call that may not be repeated runs at most once, and a call refused as not run did not run.

use std::sync;
use std::time;

use async_std::task;
use kumquatpulley::connection::peer_wire;
use kumquatpulley::connection::service as exchange;
use kumquatpulley::request::call;
use kumquatpulley::request::verdict;

mod call_fakes;

use call_fakes::network;
use call_fakes::platform;
use call_fakes::service;

/// One service behind a network of routers.
struct TestBed {
    stock: sync::Arc<service::FakeService>,
    network: sync::Arc<network::FakeNetwork>,
}

impl TestBed {
    async fn start() -> Self {
        let stock = service::FakeService::start("stock-1").await;
        let network = network::FakeNetwork::new(&[sync::Arc::clone(&stock)]);
        Self { stock, network }
    }

    fn router(&self, name: &str) -> call::CallRunner {
        self.network.start(name, 1)
    }
}

fn first(mut call: peer_wire::CallWire) -> peer_wire::CallWire {
    call.first_send = true;
    call
}

fn answer(outcome: &peer_wire::CallOutcomeWire) -> String {
    match outcome {
        peer_wire::CallOutcomeWire::Answered { body, .. } => {
            String::from_utf8(body.clone()).expect("text body")
        }
        peer_wire::CallOutcomeWire::Refused(refusal) => panic!("refused: {refusal:?}"),
    }
}

fn refusal(outcome: peer_wire::CallOutcomeWire) -> peer_wire::RefusalWire {
    match outcome {
        peer_wire::CallOutcomeWire::Refused(refusal) => refusal,
        peer_wire::CallOutcomeWire::Answered { .. } => panic!("answered: {outcome:?}"),
    }
}

fn assert_refused(
    outcome: peer_wire::CallOutcomeWire,
    verdict: verdict::RunVerdict,
    code: verdict::RefusalCode,
) -> peer_wire::RefusalWire {
    let refusal = refusal(outcome);
    assert_eq!(
        (refusal.verdict, refusal.code),
        (verdict, code),
        "{refusal:?}"
    );
    refusal
}

const NOT_RUN: verdict::RunVerdict = verdict::RunVerdict::NotRun;
const MAY_HAVE_RUN: verdict::RunVerdict = verdict::RunVerdict::MayHaveRun;

#[test]
fn same_key_again_gets_the_kept_answer() {
    task::block_on(async {
        let bed = TestBed::start().await;
        let (a, b) = (bed.router("a"), bed.router("b"));
        let key = bed.network.mint("a");
        let once = a.run(network::reserve(&key)).await;
        let again = a.run(network::reserve(&key)).await;
        let elsewhere = b.run(network::reserve(&key)).await;
        assert_eq!(answer(&once), "stock-1 did 40 covers");
        assert_eq!(once, again);
        assert_eq!(once, elsewhere);
        assert_eq!(bed.stock.effects(&key), 1);
    });
}

#[test]
fn copies_at_the_same_time_join_one_run() {
    task::block_on(async {
        let bed = TestBed::start().await;
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
            assert_eq!(answer(&outcome), "stock-1 did 40 covers");
        }
        assert_eq!(bed.stock.effects(&key), 1);
    });
}

#[test]
fn key_of_another_request_is_refused() {
    task::block_on(async {
        let bed = TestBed::start().await;
        let a = bed.router("a");
        let key = bed.network.mint("a");
        let _ = a.run(network::reserve(&key)).await;
        let mut other = network::reserve(&key);
        other.body = b"50 covers".to_vec();
        let outcome = a.run(other).await;
        assert_refused(outcome, NOT_RUN, verdict::RefusalCode::KeyReused);
        assert_eq!(bed.stock.all_effects(), 1);
    });
}

#[test]
fn keys_of_two_workspaces_are_apart() {
    task::block_on(async {
        let bed = TestBed::start().await;
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
fn call_without_a_key_gets_one() {
    task::block_on(async {
        let bed = TestBed::start().await;
        let a = bed.router("a");
        let outcome = a.run(network::reserve("")).await;
        assert_eq!(answer(&outcome), "stock-1 did 40 covers");
        assert_eq!(bed.stock.effects(""), 0);
        assert_eq!(bed.stock.all_effects(), 1);
    });
}

/// The service fails at one step; there is a second endpoint that must not be tried.
fn fails_after_send(fault: service::ServiceFault, effects: u32) {
    task::block_on(async {
        let bed = TestBed::start().await;
        let spare = service::FakeService::start("stock-2").await;
        let both = [sync::Arc::clone(&bed.stock), sync::Arc::clone(&spare)];
        bed.network.endpoints.set(&both);
        bed.stock.set_fault(fault);
        let a = bed.router("a");
        let key = bed.network.mint("a");
        let refusal = refusal(a.run(first(network::reserve(&key))).await);
        assert_eq!(refusal.verdict, MAY_HAVE_RUN, "{refusal:?}");
        bed.stock.set_fault(service::ServiceFault::None);
        let _ = a.run(network::reserve(&key)).await;
        assert_eq!(bed.stock.effects(&key), effects);
        assert_eq!(spare.effects(&key), 0);
    });
}

#[test]
fn connection_closed_before_the_request_was_read() {
    fails_after_send(service::ServiceFault::DropAtOnce, 0);
}

#[test]
fn connection_closed_within_the_request() {
    fails_after_send(service::ServiceFault::DropInBody, 0);
}

#[test]
fn connection_closed_before_the_answer() {
    fails_after_send(service::ServiceFault::DropAnswer, 1);
}

#[test]
fn connection_closed_within_the_answer() {
    fails_after_send(service::ServiceFault::CutAnswer, 1);
}

#[test]
fn service_that_never_answers() {
    fails_after_send(service::ServiceFault::Silent, 1);
}

#[test]
fn late_answer_is_kept_for_who_asks_again() {
    task::block_on(async {
        let bed = TestBed::start().await;
        bed.stock
            .set_fault(service::ServiceFault::Late(time::Duration::from_millis(
                400,
            )));
        let a = bed.router("a");
        let key = bed.network.mint("a");
        let mut hurried = network::reserve(&key);
        hurried.deadline_millis = 100;
        let refusal = refusal(a.run(hurried).await);
        assert_eq!(refusal.verdict, MAY_HAVE_RUN);
        assert!(refusal.retry_after_millis.is_some());
        let outcome = a.run(network::reserve(&key)).await;
        assert_eq!(answer(&outcome), "stock-1 did 40 covers");
        assert_eq!(bed.stock.effects(&key), 1);
    });
}

#[test]
fn endpoint_that_refuses_connections_is_passed_over() {
    task::block_on(async {
        let bed = TestBed::start().await;
        let gone = closed_endpoint("gone-1").await;
        bed.network
            .endpoints
            .set(&[gone, sync::Arc::clone(&bed.stock)]);
        let a = bed.router("a");
        let key = bed.network.mint("a");
        let outcome = a.run(network::reserve(&key)).await;
        assert_eq!(answer(&outcome), "stock-1 did 40 covers");
        assert_eq!(bed.stock.effects(&key), 1);
    });
}

/// An endpoint whose port nobody listens on.
async fn closed_endpoint(name: &str) -> sync::Arc<service::FakeService> {
    let listener = async_std::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("free port");
    let address = listener.local_addr().expect("bound").to_string();
    drop(listener);
    service::FakeService::absent(name, address)
}

#[test]
fn refusal_without_endpoint_holds_for_late_copies() {
    task::block_on(async {
        let bed = TestBed::start().await;
        let a = bed.router("a");
        let key = bed.network.mint("a");
        bed.network.endpoints.set(&[]);
        let outcome = a.run(network::reserve(&key)).await;
        let refusal = assert_refused(outcome, NOT_RUN, verdict::RefusalCode::NoEndpoint);
        assert!(refusal.retry_after_millis.is_some());
        assert_eq!(refusal.home.as_deref(), Some("a-1"));
        bed.network.endpoints.set(&[sync::Arc::clone(&bed.stock)]);
        let late = a.run(first(network::reserve(&key))).await;
        assert_refused(late, NOT_RUN, verdict::RefusalCode::NoEndpoint);
        assert_eq!(bed.stock.all_effects(), 0);
    });
}

#[test]
fn refused_first_send_may_use_its_key_again() {
    task::block_on(async {
        let bed = TestBed::start().await;
        let a = bed.router("a");
        let key = bed.network.mint("a");
        bed.network.endpoints.set(&[]);
        let outcome = a.run(first(network::reserve(&key))).await;
        assert_refused(outcome, NOT_RUN, verdict::RefusalCode::NoEndpoint);
        bed.network.endpoints.set(&[sync::Arc::clone(&bed.stock)]);
        let outcome = a.run(network::reserve(&key)).await;
        assert_eq!(answer(&outcome), "stock-1 did 40 covers");
        assert_eq!(bed.stock.effects(&key), 1);
    });
}

/// The home cannot be asked; only a first send is known not to have run.
fn home_out_of_reach(cut: fn(&network::FakeNetwork)) {
    task::block_on(async {
        let bed = TestBed::start().await;
        let (_a, b) = (bed.router("a"), bed.router("b"));
        cut(&bed.network);
        let key = bed.network.mint("a");
        let outcome = b.run(network::reserve(&key)).await;
        let refusal = assert_refused(outcome, MAY_HAVE_RUN, verdict::RefusalCode::HomeUnreachable);
        assert!(refusal.retry_after_millis.is_some());
        let outcome = b.run(first(network::reserve(&key))).await;
        let refusal = assert_refused(outcome, NOT_RUN, verdict::RefusalCode::WrongHome);
        assert_eq!(
            (refusal.status, refusal.home.as_deref()),
            (421, Some("b-1"))
        );
        network::settle().await;
        assert_eq!(bed.stock.all_effects(), 0);
    });
}

#[test]
fn home_unknown() {
    home_out_of_reach(|network| network.set_listed("a", false));
}

#[test]
fn home_refuses_connections() {
    home_out_of_reach(|network| network.set_fault("a", network::LinkFault::Refuse));
}

/// The home got the call, but its answer does not come back.
fn home_answer_lost(fault: network::LinkFault) {
    task::block_on(async {
        let bed = TestBed::start().await;
        let (_a, b) = (bed.router("a"), bed.router("b"));
        bed.network.set_fault("a", fault);
        let key = bed.network.mint("a");
        let mut patient = first(network::reserve(&key));
        patient.deadline_millis = 30_000;
        let asked = time::Instant::now();
        let outcome = b.run(patient).await;
        assert!(asked.elapsed() < time::Duration::from_secs(4));
        assert_refused(outcome, MAY_HAVE_RUN, verdict::RefusalCode::HomeUnreachable);
        bed.network.set_fault("a", network::LinkFault::None);
        let outcome = b.run(network::reserve(&key)).await;
        assert_eq!(answer(&outcome), "stock-1 did 40 covers");
        assert_eq!(bed.stock.effects(&key), 1);
    });
}

#[test]
fn home_closes_before_its_answer() {
    home_answer_lost(network::LinkFault::LoseAnswer);
}

#[test]
fn home_goes_silent() {
    home_answer_lost(network::LinkFault::Silent);
}

/// The home restarted after the call ran; asked at the home or at another router.
fn home_restarted(router: &str) {
    task::block_on(async {
        let bed = TestBed::start().await;
        let (a, _b) = (bed.router("a"), bed.router("b"));
        let key = bed.network.mint("a");
        let _ = a.run(network::reserve(&key)).await;
        let restarted = bed.network.start("a", 2);
        let asked = if router == "a" {
            restarted
        } else {
            bed.router("b")
        };
        let outcome = asked.run(network::reserve(&key)).await;
        assert_refused(outcome, MAY_HAVE_RUN, verdict::RefusalCode::WrongHome);
        assert_eq!(bed.stock.effects(&key), 1);
    });
}

#[test]
fn restarted_home_is_asked_again() {
    home_restarted("a");
}

#[test]
fn restarted_home_is_asked_through_another() {
    home_restarted("b");
}

#[test]
fn first_send_to_an_earlier_life_names_the_present_home() {
    task::block_on(async {
        let bed = TestBed::start().await;
        let _a = bed.router("a");
        let key = bed.network.mint("a");
        let a = bed.network.start("a", 2);
        let outcome = a.run(first(network::reserve(&key))).await;
        let refusal = assert_refused(outcome, NOT_RUN, verdict::RefusalCode::WrongHome);
        assert_eq!(
            (refusal.status, refusal.home.as_deref()),
            (421, Some("a-2"))
        );
        assert_eq!(bed.stock.all_effects(), 0);
    });
}

/// A gate that stops the thread once, as a pause of the process would.
#[derive(Debug)]
struct PausingGate(time::Duration);

impl exchange::SendGate for PausingGate {
    fn may_send(&self) -> bool {
        std::thread::sleep(self.0);
        true
    }
}

#[test]
fn paused_router_sends_nothing_after_the_deadline() {
    task::block_on(async {
        let bed = TestBed::start().await;
        let gate = sync::Arc::new(PausingGate(time::Duration::from_millis(400)));
        let limits = call::CallLimits::default();
        let a = bed.network.start_with("a", 1, limits, gate);
        let key = bed.network.mint("a");
        let mut hurried = first(network::reserve(&key));
        hurried.deadline_millis = 200;
        let _ = a.run(hurried).await;
        task::sleep(time::Duration::from_secs(1)).await;
        assert_eq!(bed.stock.all_effects(), 0);
    });
}

#[test]
fn connection_made_too_late_carries_no_byte() {
    task::block_on(async {
        let stock = service::FakeService::start("stock-1").await;
        let terms = exchange::SendTerms {
            send_before: time::Instant::now(),
            gate: sync::Arc::new(exchange::OpenGate),
            connect_limit: time::Duration::from_secs(1),
            answer_limit: time::Duration::from_secs(1),
            max_answer_bytes: 1024,
        };
        let outcome = exchange::exchange(&stock.address, &network::reserve("k"), &terms).await;
        assert_eq!(outcome.map_err(|error| error.bytes_sent), Err(0));
        network::settle().await;
        assert_eq!(stock.all_effects(), 0);
    });
}

#[derive(Debug)]
struct ClosedGate;

impl exchange::SendGate for ClosedGate {
    fn may_send(&self) -> bool {
        false
    }
}

#[test]
fn router_that_catches_up_sends_nothing() {
    task::block_on(async {
        let bed = TestBed::start().await;
        let limits = call::CallLimits::default();
        let a = bed
            .network
            .start_with("a", 1, limits, sync::Arc::new(ClosedGate));
        let key = bed.network.mint("a");
        let outcome = a.run(network::reserve(&key)).await;
        assert_refused(outcome, NOT_RUN, verdict::RefusalCode::NotReady);
        assert_eq!(bed.stock.all_effects(), 0);
    });
}

#[test]
fn claim_race_of_two_routers_runs_once() {
    task::block_on(async {
        let bed = TestBed::start().await;
        let (a, b) = (bed.router("a"), bed.router("b"));
        for round in 0..20 {
            let key = format!("order-{round}");
            let copies = [&a, &b, &a, &b].map(|router| router.run(network::reserve(&key)));
            for outcome in futures::future::join_all(copies).await {
                assert_eq!(answer(&outcome), "stock-1 did 40 covers");
            }
            assert_eq!(bed.stock.effects(&key), 1);
        }
    });
}

/// The table service fails in the given way; the call is answered all the same, once.
fn claim_survives(faults: &[platform::WriteFault]) {
    task::block_on(async {
        let bed = TestBed::start().await;
        let (a, b) = (bed.router("a"), bed.router("b"));
        bed.network.platform.set_faults(faults);
        let copies = [&a, &b].map(|router| router.run(network::reserve("order-7")));
        for outcome in futures::future::join_all(copies).await {
            assert_eq!(answer(&outcome), "stock-1 did 40 covers");
        }
        assert_eq!(bed.stock.effects("order-7"), 1);
    });
}

#[test]
fn claim_answer_lost() {
    claim_survives(&[platform::WriteFault::LoseAnswer, platform::WriteFault::None]);
}

#[test]
fn claim_answers_lost_twice() {
    claim_survives(&[
        platform::WriteFault::LoseAnswer,
        platform::WriteFault::LoseAnswer,
        platform::WriteFault::None,
    ]);
}

#[test]
fn claim_query_lost() {
    claim_survives(&[platform::WriteFault::LoseQuery, platform::WriteFault::None]);
}

#[test]
fn claim_query_lost_then_answer_lost() {
    claim_survives(&[
        platform::WriteFault::LoseQuery,
        platform::WriteFault::LoseAnswer,
        platform::WriteFault::None,
    ]);
}

#[test]
fn claim_conflict_does_not_name_its_rows() {
    claim_survives(&[platform::WriteFault::HideRows]);
}

#[test]
fn table_service_down_refuses_at_once() {
    task::block_on(async {
        let bed = TestBed::start().await;
        let a = bed.router("a");
        bed.network
            .platform
            .set_faults(&[platform::WriteFault::Down]);
        let asked = time::Instant::now();
        let outcome = a.run(first(network::reserve("order-8"))).await;
        let refusal = assert_refused(outcome, NOT_RUN, verdict::RefusalCode::PlatformUnavailable);
        assert_eq!(refusal.status, 503);
        assert!(refusal.retry_after_millis.is_some());
        assert!(asked.elapsed() < time::Duration::from_millis(500));
        let again = a.run(network::reserve("order-8")).await;
        assert_refused(
            again,
            MAY_HAVE_RUN,
            verdict::RefusalCode::PlatformUnavailable,
        );
        let keyed = a.run(network::reserve(&bed.network.mint("a"))).await;
        assert_eq!(answer(&keyed), "stock-1 did 40 covers");
        assert_eq!(bed.stock.effects("order-8"), 0);
    });
}

#[test]
fn key_claimed_during_an_outage_can_be_used_afterwards() {
    task::block_on(async {
        let bed = TestBed::start().await;
        let a = bed.router("a");
        let faults = [platform::WriteFault::LoseAnswer, platform::WriteFault::Down];
        bed.network.platform.set_faults(&faults);
        let outcome = a.run(network::reserve("order-9")).await;
        let code = verdict::RefusalCode::PlatformUnavailable;
        assert_refused(outcome, MAY_HAVE_RUN, code);
        assert_eq!(bed.stock.effects("order-9"), 0);
        let none = platform::WriteFault::None;
        bed.network.platform.set_faults(&[none]);
        let outcome = a.run(network::reserve("order-9")).await;
        assert_eq!(answer(&outcome), "stock-1 did 40 covers");
        assert_eq!(bed.stock.effects("order-9"), 1);
    });
}

#[test]
fn claimant_that_restarted_leaves_its_key_unused() {
    task::block_on(async {
        let bed = TestBed::start().await;
        let (a, b) = (bed.router("a"), bed.router("b"));
        let _ = a.run(network::reserve("order-10")).await;
        let restarted = bed.network.start("a", 2);
        for router in [restarted, b] {
            let outcome = router.run(network::reserve("order-10")).await;
            assert_eq!(refusal(outcome).verdict, MAY_HAVE_RUN);
        }
        assert_eq!(bed.stock.effects("order-10"), 1);
    });
}

#[test]
fn claims_share_transactions_and_losers_hold_up_nobody() {
    task::block_on(async {
        let bed = TestBed::start().await;
        let (a, b) = (bed.router("a"), bed.router("b"));
        let keys: Vec<String> = (0..40).map(|index| format!("batch-{index}")).collect();
        for key in keys.iter().step_by(4) {
            let _ = a.run(network::reserve(key)).await;
        }
        let before = bed.network.platform.transactions();
        let copies = keys.iter().map(|key| b.run(network::reserve(key)));
        for outcome in futures::future::join_all(copies).await {
            assert_eq!(answer(&outcome), "stock-1 did 40 covers");
        }
        let transactions = bed.network.platform.transactions() - before;
        assert!(transactions <= 10, "{transactions} transactions");
        assert_eq!(bed.network.platform.row_count(), 40);
        assert_eq!(bed.stock.all_effects(), 40);
    });
}

#[test]
fn idempotent_call_goes_on_at_the_next_endpoint() {
    task::block_on(async {
        let bed = TestBed::start().await;
        let spare = service::FakeService::start("stock-2").await;
        let both = [sync::Arc::clone(&bed.stock), sync::Arc::clone(&spare)];
        bed.network.endpoints.set(&both);
        let a = bed.router("a");
        for fault in [
            service::ServiceFault::DropAnswer,
            service::ServiceFault::CutAnswer,
            service::ServiceFault::Silent,
        ] {
            bed.stock.set_fault(fault);
            let outcome = a.run_idempotent(network::reserve("")).await;
            assert_eq!(answer(&outcome), "stock-2 did 40 covers");
        }
    });
}

#[test]
fn retries_of_idempotent_calls_draw_on_a_budget() {
    task::block_on(async {
        let bed = TestBed::start().await;
        let spare = service::FakeService::start("stock-2").await;
        let both = [sync::Arc::clone(&bed.stock), sync::Arc::clone(&spare)];
        bed.network.endpoints.set(&both);
        bed.stock.set_fault(service::ServiceFault::DropAnswer);
        spare.set_fault(service::ServiceFault::DropAnswer);
        let a = bed.router("a");
        for _index in 0..200 {
            let _ = a.run_idempotent(network::reserve("")).await;
        }
        let sent = bed.stock.all_effects() + spare.all_effects();
        assert!((200..=240).contains(&sent), "{sent} requests for 200 calls");
    });
}
