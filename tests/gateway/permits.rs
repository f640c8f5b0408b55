//! What a router does with the answers of an endpoint's owner, and what it answers as one.

use std::collections;
use std::sync;
use std::time;

use async_std::task;
use futures::FutureExt as _;
use futures::future;
use kumquatpulley::connection::{peer, peer_wire};
use kumquatpulley::process::endpoints::placement;
use kumquatpulley::process::gateway::{endpoint_fleet, permits};
use kumquatpulley::process::view;
use kumquatpulley::request::relay::fleet::EndpointFleet as _;
use kumquatpulley::request::relay::permit::PermitSource as _;
use kumquatpulley::request::relay::{fleet, request_rate, version_choice};

use crate::cached_state;
use crate::common;

/// A rate at which no permit is granted twice within a test.
const RATE: request_rate::RequestRate = request_rate::RequestRate(4_000);

/// An owner that sends the given replies in turn, then none.
#[derive(Debug)]
struct ScriptedOwner {
    is_own: bool,
    replies: parking_lot::Mutex<collections::VecDeque<peer_wire::ReplyBody>>,
}

impl view::OwnerView for ScriptedOwner {
    fn owner_of(&self, _seed: u64) -> Option<view::SharedOwner> {
        Some(view::SharedOwner {
            peer_address: "127.0.0.1:9".to_owned(),
            is_own: self.is_own,
            reachable_share: 1.0,
        })
    }
}

impl peer::PeerLink for ScriptedOwner {
    fn ask<'a>(
        &'a self,
        _address: &'a str,
        _query: peer_wire::QueryBody,
        _limit: time::Duration,
    ) -> future::BoxFuture<'a, peer::Result<peer_wire::ReplyBody>> {
        let reply = self.replies.lock().pop_front();
        let reply = reply.ok_or_else(|| peer::PeerError::NoReply("silent".to_owned()));
        future::ready(reply).boxed()
    }
}

impl view::CounterSink for ScriptedOwner {
    fn count(&self, _name: &'static str) {}

    fn time(&self, _name: &'static str, _duration: time::Duration) {}
}

/// A router that knows one endpoint, whose limit is [`RATE`].
struct LimitedRouter {
    fleet: sync::Arc<endpoint_fleet::RouterFleet>,
    permits: permits::RouterPermits,
}

impl LimitedRouter {
    fn new(is_own: bool, replies: Vec<peer_wire::ReplyBody>) -> Self {
        let router = Self::untold(is_own, replies);
        let endpoint = router.choose(false).expect("it has no limit");
        assert!(!endpoint.is_limited);
        let age = time::Duration::ZERO;
        assert!(router.fleet.record_limit(endpoint.key, Some(RATE), age));
        router
    }

    /// A router that got no answer of the endpoint.
    fn untold(is_own: bool, replies: Vec<peer_wire::ReplyBody>) -> Self {
        let policy = Box::new(placement::PrefixPlacement::default());
        let fleet = sync::Arc::new(endpoint_fleet::RouterFleet::new("z1".to_owned(), policy));
        fleet.update([cached_state::record("a", "z1", 1, false)].iter());
        let owner = sync::Arc::new(ScriptedOwner {
            is_own,
            replies: parking_lot::Mutex::new(replies.into()),
        });
        let permits = permits::RouterPermits::new(
            sync::Arc::clone(&fleet),
            sync::Arc::clone(&owner) as _,
            sync::Arc::clone(&owner) as _,
            owner,
        );
        Self { fleet, permits }
    }

    fn choose(&self, is_unlimited: bool) -> Option<fleet::ChosenEndpoint> {
        self.fleet.acquire(&fleet::EndpointQuery {
            service: "models",
            excluded: &[],
            avoid_zone_of: None,
            only: None,
            is_unlimited,
            versions: &version_choice::VersionFilter::ANY,
        })
    }

    fn obtain(&self) -> bool {
        let endpoint = self.choose(false).expect("a permit may be asked for");
        assert!(endpoint.is_limited);
        task::block_on(self.permits.obtain("r1", &endpoint))
    }
}

fn reply(
    decision: peer_wire::PermitWire,
    limit: Option<(Option<u64>, u64)>,
) -> peer_wire::ReplyBody {
    let limit = limit.map(|(millirequests, age_micros)| peer_wire::LimitWire {
        millirequests,
        age_micros,
    });
    peer_wire::ReplyBody::SendPermit(peer_wire::PermitReplyWire { decision, limit })
}

fn a_refused_endpoint_is_not_offered_until_the_wait_is_over(
    replies: Vec<peer_wire::ReplyBody>,
    longest_ms: u64,
) {
    let router = LimitedRouter::new(false, replies);
    assert!(!router.obtain());
    assert_eq!(router.choose(false), None);
    let wait = router.fleet.pause_left("models", time::Instant::now());
    let wait = wait.expect("all endpoints refuse permits");
    let longest = time::Duration::from_millis(longest_ms).mul_f64(1.25);
    assert!(!wait.is_zero() && wait <= longest, "{wait:?}");
}

fn a_granted_permit_allows_a_request() {
    let granted = reply(peer_wire::PermitWire::Granted, Some((Some(2_000), 0)));
    let router = LimitedRouter::new(false, vec![granted]);
    assert!(router.obtain());
    assert!(router.choose(false).is_some());
    assert_eq!(router.choose(true), None);
}

/// The owner knows a newer answer, without a limit.
fn an_ended_limit_is_learned_from_the_owner() {
    let ended = reply(peer_wire::PermitWire::Unlimited, Some((None, 0)));
    let router = LimitedRouter::new(false, vec![ended]);
    task::block_on(task::sleep(time::Duration::from_millis(5)));
    assert!(router.obtain());
    let endpoint = router.choose(true).expect("no permit is needed");
    assert!(!endpoint.is_limited);
}

/// A new owner has saved no permits.
fn an_owner_decides_itself() {
    let router = LimitedRouter::new(true, Vec::new());
    assert!(!router.obtain());
    task::block_on(task::sleep(time::Duration::from_secs(2)));
    assert!(router.obtain());
}

fn another_router_is_answered(is_own: bool, is_limit_known: bool) {
    let router = LimitedRouter::new(is_own, Vec::new());
    let limit = peer_wire::LimitWire {
        millirequests: Some(2_000),
        age_micros: 0,
    };
    let query = peer_wire::EndpointLimitWire {
        endpoint: "a".to_owned(),
        incarnation: 1,
        limit,
    };
    let reply = router.permits.answer_ask(query.clone());
    assert!(matches!(
        reply.decision,
        peer_wire::PermitWire::Denied { .. }
    ));
    assert_eq!(reply.limit.is_some(), is_limit_known);
    let newest = router.permits.answer_announcement(query);
    assert_eq!(newest.is_some(), is_limit_known);
}

#[derive(Clone, Copy, Debug)]
enum PeerQuery {
    Ask,
    Announcement,
}

/// The endpoint's answers do not arrive here, so only other routers can tell of the limit.
fn an_owner_learns_the_limit_from_others(query: PeerQuery) {
    let router = LimitedRouter::untold(true, Vec::new());
    let told = peer_wire::EndpointLimitWire {
        endpoint: "a".to_owned(),
        incarnation: 1,
        limit: peer_wire::LimitWire {
            millirequests: Some(4_000),
            age_micros: 0,
        },
    };
    match query {
        PeerQuery::Ask => {
            let _denied = router.permits.answer_ask(told);
        }
        PeerQuery::Announcement => {
            let _newest = router.permits.answer_announcement(told);
        }
    }
    assert_eq!(router.choose(true), None);
    assert!(!router.obtain());
}

common::cases! {
    // A new owner sent hundreds of requests without permits to an endpoint that it shared out.
    owner_is_asked: an_owner_learns_the_limit_from_others(PeerQuery::Ask);
    owner_is_told: an_owner_learns_the_limit_from_others(PeerQuery::Announcement);
    silent_owner: a_refused_endpoint_is_not_offered_until_the_wait_is_over(vec![], 500);
    other_reply: a_refused_endpoint_is_not_offered_until_the_wait_is_over(
        vec![peer_wire::ReplyBody::Alive(true)], 500);
    denied: a_refused_endpoint_is_not_offered_until_the_wait_is_over(
        vec![reply(peer_wire::PermitWire::Denied { wait_micros: 300_000 }, None)], 300);
    granted: a_granted_permit_allows_a_request();
    ended: an_ended_limit_is_learned_from_the_owner();
    own_endpoint: an_owner_decides_itself();
    owner_answers: another_router_is_answered(true, true);
    not_the_owner: another_router_is_answered(false, false);
}
