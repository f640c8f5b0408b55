//! Obtains permits for requests to endpoints with a request limit from the endpoint's owner, and
//! grants those of the endpoints that this router owns.
//!
//! The owner is one of the routers that accept callers, chosen by rendezvous hashing. A router that
//! gets no answer from the owner sends nothing to the endpoint for a while, because it cannot know
//! what the others send.

use std::sync;
use std::time;

use async_std::task;
use futures::FutureExt as _;
use futures::future;
use xxhash_rust::xxh3;

use crate::connection::{peer, peer_wire};
use crate::process::gateway::{
    boot_clock, endpoint_fleet, endpoint_limit, endpoint_notice, permit_ledger,
};
use crate::process::view;
use crate::request::relay::{fleet, permit, request_rate};

/// Timeout for the owner's answer; a few round trips within a region.
const ASK_TIMEOUT: time::Duration = time::Duration::from_millis(150);

/// Time before the owner is asked again after it did not answer, or is not known; about the time in
/// which the routers notice that one of them failed and agree on another owner.
const NO_OWNER_WAIT: time::Duration = time::Duration::from_millis(500);

/// Maximum random addition to a wait, as a fraction of it, so that refused routers do not all ask
/// again at once.
const WAIT_JITTER: f64 = 0.25;

/// Permits of one router.
#[derive(Debug)]
pub struct RouterPermits {
    fleet: sync::Arc<endpoint_fleet::RouterFleet>,
    owners: sync::Arc<dyn view::OwnerView>,
    link: sync::Arc<dyn peer::PeerLink>,
    counters: sync::Arc<dyn view::CounterSink>,
    ledger: parking_lot::Mutex<permit_ledger::PermitLedger>,
}

/// Ends an ask when it is dropped, also when the request was cancelled.
struct OpenAsk<'a> {
    fleet: &'a endpoint_fleet::RouterFleet,
    key: fleet::EndpointKey,
}

impl Drop for OpenAsk<'_> {
    fn drop(&mut self) {
        self.fleet.end_ask(self.key);
    }
}

/// Decision about a request, and the newest limit that is known where it was made.
#[derive(Clone, Copy, Debug)]
struct PermitAnswer {
    decision: permit_ledger::PermitDecision,
    limit: Option<endpoint_limit::LimitObservation>,
}

impl PermitAnswer {
    /// Answer when there is no owner or none that responds.
    const NO_OWNER: Self = Self {
        decision: permit_ledger::PermitDecision::Denied {
            wait: NO_OWNER_WAIT,
        },
        limit: None,
    };
}

impl RouterPermits {
    /// Creates an empty ledger, and the permits that the fleet's limits need.
    #[must_use]
    pub fn new(
        fleet: sync::Arc<endpoint_fleet::RouterFleet>,
        owners: sync::Arc<dyn view::OwnerView>,
        link: sync::Arc<dyn peer::PeerLink>,
        counters: sync::Arc<dyn view::CounterSink>,
    ) -> Self {
        Self {
            fleet,
            owners,
            link,
            counters,
            ledger: parking_lot::Mutex::default(),
        }
    }

    /// Answers another router that asks for a permit because it takes this one for the owner.
    #[must_use]
    pub fn answer_ask(&self, query: peer_wire::EndpointLimitWire) -> peer_wire::PermitReplyWire {
        let (endpoint, limit) = received(query);
        let owner = self.owners.owner_of(owner_seed(&endpoint));
        let Some(owner) = owner.filter(|owner| owner.is_own) else {
            self.ledger.lock().forget(&endpoint);
            return PermitAnswer::NO_OWNER.into();
        };
        let answer = self.decide(&endpoint, limit, &owner);
        self.heed(&endpoint, answer.limit);
        answer.into()
    }

    /// Takes a limit that another router observed; returns the newest one, or `None` if this router
    /// does not own the endpoint.
    #[must_use]
    pub fn answer_announcement(
        &self,
        query: peer_wire::EndpointLimitWire,
    ) -> Option<peer_wire::LimitWire> {
        let (endpoint, limit) = received(query);
        let owner = self.owners.owner_of(owner_seed(&endpoint))?;
        let newest = owner.is_own.then(|| self.observe(&endpoint, limit));
        let newest = newest.flatten();
        self.heed(&endpoint, newest);
        newest.map(limit_wire)
    }

    /// Makes this router's own requests need permits too. The endpoint's answers may not reach it.
    fn heed(
        &self,
        endpoint: &endpoint_notice::EndpointIncarnation,
        newest: Option<endpoint_limit::LimitObservation>,
    ) {
        if let Some(limit) = newest {
            self.fleet.merge_named_limit(endpoint, limit);
        }
    }

    fn observe(
        &self,
        endpoint: &endpoint_notice::EndpointIncarnation,
        limit: endpoint_limit::LimitObservation,
    ) -> Option<endpoint_limit::LimitObservation> {
        let now = time::Instant::now();
        self.ledger.lock().observe(endpoint, limit, now)
    }

    fn decide(
        &self,
        endpoint: &endpoint_notice::EndpointIncarnation,
        limit: endpoint_limit::LimitObservation,
        owner: &view::SharedOwner,
    ) -> PermitAnswer {
        let now = time::Instant::now();
        let mut ledger = self.ledger.lock();
        PermitAnswer {
            limit: ledger.observe(endpoint, limit, now),
            decision: ledger.decide(endpoint, owner.reachable_share, now),
        }
    }

    async fn ask_owner(
        &self,
        endpoint: &endpoint_notice::EndpointIncarnation,
        limit: endpoint_limit::LimitObservation,
    ) -> PermitAnswer {
        let Some(owner) = self.owners.owner_of(owner_seed(endpoint)) else {
            return PermitAnswer::NO_OWNER;
        };
        if owner.is_own {
            return self.decide(endpoint, limit, &owner);
        }
        self.ledger.lock().forget(endpoint);
        let asked_at = boot_clock::BootInstant::now();
        let query = peer_wire::QueryBody::SendPermit(sent(endpoint, limit));
        let reply = self.link.ask(&owner.peer_address, query, ASK_TIMEOUT).await;
        let cause = match reply {
            Ok(peer_wire::ReplyBody::SendPermit(reply)) => {
                return PermitAnswer::decode(reply, asked_at);
            }
            Ok(_) => "it sent another kind of reply; check that versions match".to_owned(),
            Err(error) => error.to_string(),
        };
        log::warn!(
            endpoint = endpoint.0.as_str(),
            owner = owner.peer_address.as_str(),
            cause = cause.as_str();
            "no permit from the owner; the endpoint gets no requests for a while"
        );
        PermitAnswer::NO_OWNER
    }

    /// Tells the owner of a limit that this router observed; returns the newest one that is known
    /// there.
    async fn tell_owner(
        &self,
        endpoint: &endpoint_notice::EndpointIncarnation,
        limit: endpoint_limit::LimitObservation,
    ) -> Option<endpoint_limit::LimitObservation> {
        let owner = self.owners.owner_of(owner_seed(endpoint))?;
        if owner.is_own {
            return self.observe(endpoint, limit);
        }
        let asked_at = boot_clock::BootInstant::now();
        let query = peer_wire::QueryBody::EndpointLimit(sent(endpoint, limit));
        let reply = self.link.ask(&owner.peer_address, query, ASK_TIMEOUT).await;
        match reply {
            Ok(peer_wire::ReplyBody::EndpointLimit(newest)) => {
                newest.map(|newest| observation(newest, asked_at))
            }
            Ok(_) => None,
            Err(error) => {
                let cause = error.to_string();
                log::info!(
                    endpoint = endpoint.0.as_str(),
                    cause = cause.as_str();
                    "owner not told of the changed limit; the next ask for a permit tells it"
                );
                None
            }
        }
    }

    fn apply(
        &self,
        request: &str,
        endpoint: &fleet::ChosenEndpoint,
        answer: &PermitAnswer,
        elapsed: time::Duration,
    ) -> bool {
        if let Some(limit) = answer.limit {
            self.fleet.merge_limit(endpoint.key, limit);
        }
        let age = answer
            .limit
            .map(|limit| boot_clock::BootInstant::now().since(limit.at));
        let millis = |time: time::Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let is_granted = match answer.decision {
            permit_ledger::PermitDecision::Unlimited => return true,
            permit_ledger::PermitDecision::Granted => true,
            permit_ledger::PermitDecision::Denied { wait } => {
                let wait = wait.mul_f64(1.0 + WAIT_JITTER * fastrand::f64());
                self.fleet
                    .deny_permits(endpoint.key, time::Instant::now() + wait);
                false
            }
        };
        self.counters.count(if is_granted {
            "relay.permit_granted"
        } else {
            "relay.permit_denied"
        });
        log::info!(
            request,
            endpoint = endpoint.name.as_str(),
            decision:? = answer.decision,
            limit_age_ms:? = age.map(millis),
            elapsed_ms = millis(elapsed);
            "permit for a limited endpoint"
        );
        is_granted
    }
}

impl permit::PermitSource for RouterPermits {
    fn obtain<'a>(
        &'a self,
        request: &'a str,
        endpoint: &'a fleet::ChosenEndpoint,
    ) -> future::BoxFuture<'a, bool> {
        async move {
            let began = time::Instant::now();
            let Some((incarnation, limit)) = self.fleet.begin_ask(endpoint.key) else {
                return true;
            };
            let _open_ask = OpenAsk {
                fleet: &self.fleet,
                key: endpoint.key,
            };
            let answer = self.ask_owner(&incarnation, limit).await;
            self.apply(request, endpoint, &answer, began.elapsed())
        }
        .boxed()
    }

    fn announce(self: sync::Arc<Self>, endpoint: &fleet::ChosenEndpoint) {
        let Some((incarnation, limit)) = self.fleet.newest_limit(endpoint.key) else {
            return;
        };
        let key = endpoint.key;
        task::spawn(async move {
            if let Some(newest) = self.tell_owner(&incarnation, limit).await {
                self.fleet.merge_limit(key, newest);
            }
        });
    }
}

/// Seed of the choice of an endpoint's owner.
fn owner_seed(endpoint: &endpoint_notice::EndpointIncarnation) -> u64 {
    xxh3::xxh3_64_with_seed(endpoint.0.as_bytes(), endpoint.1)
}

fn limit_wire(limit: endpoint_limit::LimitObservation) -> peer_wire::LimitWire {
    let age = boot_clock::BootInstant::now().since(limit.at);
    peer_wire::LimitWire {
        millirequests: limit.rate.map(|rate| rate.0),
        age_micros: peer_wire::micros(age),
    }
}

fn sent(
    endpoint: &endpoint_notice::EndpointIncarnation,
    limit: endpoint_limit::LimitObservation,
) -> peer_wire::EndpointLimitWire {
    peer_wire::EndpointLimitWire {
        endpoint: endpoint.0.clone(),
        incarnation: endpoint.1,
        limit: limit_wire(limit),
    }
}

fn received(
    query: peer_wire::EndpointLimitWire,
) -> (
    endpoint_notice::EndpointIncarnation,
    endpoint_limit::LimitObservation,
) {
    let limit = observation(query.limit, boot_clock::BootInstant::now());
    ((query.endpoint, query.incarnation), limit)
}

/// Decodes a limit whose age was right at `now`.
fn observation(
    wire: peer_wire::LimitWire,
    now: boot_clock::BootInstant,
) -> endpoint_limit::LimitObservation {
    endpoint_limit::LimitObservation {
        rate: wire.millirequests.map(request_rate::RequestRate),
        at: now.before(time::Duration::from_micros(wire.age_micros)),
    }
}

impl From<PermitAnswer> for peer_wire::PermitReplyWire {
    fn from(answer: PermitAnswer) -> Self {
        Self {
            decision: match answer.decision {
                permit_ledger::PermitDecision::Unlimited => peer_wire::PermitWire::Unlimited,
                permit_ledger::PermitDecision::Granted => peer_wire::PermitWire::Granted,
                permit_ledger::PermitDecision::Denied { wait } => peer_wire::PermitWire::Denied {
                    wait_micros: peer_wire::micros(wait),
                },
            },
            limit: answer.limit.map(limit_wire),
        }
    }
}

impl PermitAnswer {
    /// Decodes the reply to a query that was sent at `asked_at`.
    fn decode(reply: peer_wire::PermitReplyWire, asked_at: boot_clock::BootInstant) -> Self {
        Self {
            decision: match reply.decision {
                peer_wire::PermitWire::Unlimited => permit_ledger::PermitDecision::Unlimited,
                peer_wire::PermitWire::Granted => permit_ledger::PermitDecision::Granted,
                peer_wire::PermitWire::Denied { wait_micros } => {
                    permit_ledger::PermitDecision::Denied {
                        wait: time::Duration::from_micros(wait_micros),
                    }
                }
            },
            limit: reply.limit.map(|limit| observation(limit, asked_at)),
        }
    }
}
