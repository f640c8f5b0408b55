//! The number of bytes sent determines the verdict of a failed exchange.

use std::sync;
use std::time;

use async_std::task;
use kumquatpulley::connection::service as exchange;
use kumquatpulley::request::call;
use kumquatpulley::request::verdict;

use crate::fakes::network;
use crate::fakes::service;

/// The endpoint fails with `fault`; a second endpoint must not be tried.
fn check_failed_exchange(fault: service::ServiceFault, effects: u32) {
    task::block_on(async {
        let bed = crate::TestBed::start().await;
        let spare = service::FakeService::start("stock-2").await;
        let both = [sync::Arc::clone(&bed.stock), sync::Arc::clone(&spare)];
        bed.network.endpoints.set(&both);
        bed.stock.set_fault(fault);
        let a = bed.router("a");
        let key = bed.network.mint("a");
        let refusal = crate::refusal(a.run(crate::first(network::reserve(&key))).await);
        assert_eq!(refusal.verdict, crate::MAY_HAVE_RUN, "{refusal:?}");
        bed.stock.set_fault(service::ServiceFault::None);
        let _ = a.run(network::reserve(&key)).await;
        assert_eq!(bed.stock.effects(&key), effects);
        assert_eq!(spare.effects(&key), 0);
    });
}

#[test]
fn late_response_is_stored_for_retries() {
    task::block_on(async {
        let bed = crate::TestBed::start().await;
        bed.stock
            .set_fault(service::ServiceFault::Late(time::Duration::from_millis(
                400,
            )));
        let a = bed.router("a");
        let key = bed.network.mint("a");
        let mut short_call = network::reserve(&key);
        short_call.deadline_millis = 100;
        let refusal = crate::refusal(a.run(short_call).await);
        assert_eq!(refusal.verdict, crate::MAY_HAVE_RUN);
        assert!(refusal.retry_after_millis.is_some());
        assert_eq!(a.running(), 1, "the call continues without its caller");
        let outcome = a.run(network::reserve(&key)).await;
        assert_eq!(crate::answer(&outcome), "stock-1 did 40 covers");
        assert_eq!(bed.stock.effects(&key), 1);
        network::settle().await;
        assert_eq!(a.running(), 0);
    });
}

#[test]
fn endpoint_that_refuses_connections_is_skipped() {
    task::block_on(async {
        let bed = crate::TestBed::start().await;
        let gone = closed_endpoint("gone-1").await;
        bed.network
            .endpoints
            .set(&[gone, sync::Arc::clone(&bed.stock)]);
        let a = bed.router("a");
        let key = bed.network.mint("a");
        let outcome = a.run(network::reserve(&key)).await;
        assert_eq!(crate::answer(&outcome), "stock-1 did 40 covers");
        assert_eq!(bed.stock.effects(&key), 1);
    });
}

/// An endpoint whose port has no listener.
async fn closed_endpoint(name: &str) -> sync::Arc<service::FakeService> {
    let listener = async_std::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("free port");
    let address = listener.local_addr().expect("bound").to_string();
    drop(listener);
    service::FakeService::absent(name, address)
}

/// A gate that blocks the thread on every check, as a pause of the process would.
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
        let bed = crate::TestBed::start().await;
        let gate = sync::Arc::new(PausingGate(time::Duration::from_millis(400)));
        let limits = call::CallLimits::default();
        let a = bed.network.start_with("a", 1, limits, gate);
        let key = bed.network.mint("a");
        let mut short_call = crate::first(network::reserve(&key));
        short_call.deadline_millis = 200;
        let _ = a.run(short_call).await;
        task::sleep(time::Duration::from_secs(1)).await;
        assert_eq!(bed.stock.all_effects(), 0);
    });
}

#[test]
fn call_past_its_deadline_is_not_sent() {
    task::block_on(async {
        let bed = crate::TestBed::start().await;
        let a = bed.router("a");
        let mut late = crate::first(network::reserve(&bed.network.mint("a")));
        late.deadline_millis = 0;
        let outcome = a.run(late).await;
        let code = verdict::RefusalCode::DeadlineExceeded;
        crate::assert_refused(outcome, crate::NOT_RUN, code);
        assert_eq!(bed.stock.all_effects(), 0);
    });
}

/// The connection succeeds, but the deadline or the gate forbids sending the first byte.
fn check_no_bytes_sent(left: time::Duration, gate: sync::Arc<dyn exchange::SendGate>) {
    task::block_on(async {
        let stock = service::FakeService::start("stock-1").await;
        let terms = exchange::SendTerms {
            send_before: time::Instant::now() + left,
            gate,
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
fn closed_gate_blocks_sending() {
    task::block_on(async {
        let bed = crate::TestBed::start().await;
        let limits = call::CallLimits::default();
        let a = bed
            .network
            .start_with("a", 1, limits, sync::Arc::new(ClosedGate));
        let key = bed.network.mint("a");
        let outcome = a.run(network::reserve(&key)).await;
        crate::assert_refused(outcome, crate::NOT_RUN, verdict::RefusalCode::NotReady);
        assert_eq!(bed.stock.all_effects(), 0);
    });
}

/// A gate of a router that only finishes the calls that it has.
#[derive(Debug)]
struct LeavingGate;

impl exchange::SendGate for LeavingGate {
    fn may_send(&self) -> bool {
        true
    }

    fn may_start(&self) -> bool {
        false
    }
}

#[test]
fn closed_router_starts_no_call_of_a_peer() {
    task::block_on(async {
        let bed = crate::TestBed::start().await;
        let limits = call::CallLimits::default();
        let gate = sync::Arc::new(LeavingGate);
        let a = bed.network.start_with("a", 1, limits, gate);
        let key = bed.network.mint("a");
        let outcome = a.run_at_home(network::reserve(&key)).await;
        crate::assert_refused(outcome, crate::NOT_RUN, verdict::RefusalCode::NotReady);
        network::settle().await;
        assert_eq!(bed.stock.all_effects(), 0);
    });
}

/// A gate that opens 100 ms after the given time.
#[derive(Debug)]
struct OpeningGate(time::Instant);

impl exchange::SendGate for OpeningGate {
    fn may_send(&self) -> bool {
        self.0.elapsed() >= time::Duration::from_millis(100)
    }
}

#[test]
fn waiting_call_is_sent_when_gate_opens() {
    task::block_on(async {
        let bed = crate::TestBed::start().await;
        let limits = call::CallLimits::default();
        let gate = sync::Arc::new(OpeningGate(time::Instant::now()));
        let a = bed.network.start_with("a", 1, limits, gate);
        let key = bed.network.mint("a");
        let outcome = a.run(network::reserve(&key)).await;
        assert_eq!(crate::answer(&outcome), "stock-1 did 40 covers");
        assert_eq!(bed.stock.effects(&key), 1);
    });
}

/// A gate that closes when an endpoint is picked, until `pause` after it was first found closed.
#[derive(Debug)]
struct ConnectingGate {
    endpoints: sync::Arc<network::FakeEndpoints>,
    pause: time::Duration,
    closed_at: parking_lot::Mutex<Option<time::Instant>>,
}

impl exchange::SendGate for ConnectingGate {
    fn may_send(&self) -> bool {
        if !self.endpoints.was_picked() {
            return true;
        }
        let mut closed_at = self.closed_at.lock();
        let Some(closed_at) = *closed_at else {
            *closed_at = Some(time::Instant::now());
            return false;
        };
        closed_at.elapsed() >= self.pause
    }
}

/// The router is paused between its connection to the only endpoint and the first byte.
fn check_pause_after_connect(pause: time::Duration, is_idempotent: bool) {
    task::block_on(async {
        let bed = crate::TestBed::start().await;
        let endpoints = sync::Arc::clone(&bed.network.endpoints);
        let gate = sync::Arc::new(ConnectingGate {
            endpoints,
            pause,
            closed_at: parking_lot::Mutex::default(),
        });
        let limits = call::CallLimits::default();
        let a = bed.network.start_with("a", 1, limits, gate);
        let outcome = if is_idempotent {
            a.run_idempotent(network::reserve("")).await
        } else {
            a.run(crate::first(network::reserve(&bed.network.mint("a"))))
                .await
        };
        assert_eq!(crate::answer(&outcome), "stock-1 did 40 covers");
        assert_eq!(bed.stock.all_effects(), 1);
        assert_eq!(bed.network.endpoints.failures(), 0);
    });
}

#[test]
fn idempotent_call_is_retried_on_next_endpoint() {
    task::block_on(async {
        let bed = crate::TestBed::start().await;
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
            assert_eq!(crate::answer(&outcome), "stock-2 did 40 covers");
        }
    });
}

#[test]
fn idempotent_retries_are_limited_by_budget() {
    task::block_on(async {
        let bed = crate::TestBed::start().await;
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

crate::common::cases! {
    connection_closed_before_the_request_was_read: check_failed_exchange(service::ServiceFault::DropAtOnce, 0);
    connection_closed_within_the_request: check_failed_exchange(service::ServiceFault::DropInBody, 0);
    connection_closed_before_the_answer: check_failed_exchange(service::ServiceFault::DropAnswer, 1);
    connection_closed_within_the_answer: check_failed_exchange(service::ServiceFault::CutAnswer, 1);
    service_that_never_answers: check_failed_exchange(service::ServiceFault::Silent, 1);
    connected_after_deadline: check_no_bytes_sent(time::Duration::ZERO, sync::Arc::new(exchange::OpenGate));
    // A call was refused, and its key used up, although its only endpoint was up.
    paused_after_connect: check_pause_after_connect(time::Duration::from_millis(50), false);
    paused_just_before_the_first_byte: check_pause_after_connect(time::Duration::ZERO, false);
    idempotent_call_paused_after_connect: check_pause_after_connect(time::Duration::from_millis(50), true);
    idempotent_call_paused_just_before_the_first_byte: check_pause_after_connect(time::Duration::ZERO, true);
    connected_before_pause: check_no_bytes_sent(time::Duration::from_secs(9), sync::Arc::new(ClosedGate));
}
