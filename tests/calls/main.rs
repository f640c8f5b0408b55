//! A non-idempotent call runs at most once, and a call refused as `not-run` did not run.

use std::sync;

use kumquatpulley::connection::peer_wire;
use kumquatpulley::request::call;
use kumquatpulley::request::verdict;

mod claims;
#[path = "../common/mod.rs"]
mod common;
mod cut_answers;
mod endpoints;
mod fakes;
mod home;
mod service_head;

use fakes::network;
use fakes::service;

/// A service with one endpoint, behind a network of routers.
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
            String::from_utf8(body.to_vec()).expect("text body")
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
