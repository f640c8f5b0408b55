//! Bincode messages between routers; each h2 stream carries one query and its reply.

use std::time;

use crate::connection::{call_body, crash_wire, rollout_wire, store_view_wire, token_wire};
use crate::process::telemetry::timeline;

/// Encodes a duration for a message, in microseconds.
#[must_use]
pub fn micros(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// A query to a peer.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct PeerQuery {
    /// Hybrid clock of the sender.
    pub stamp: timeline::HybridStamp,
    /// The query itself.
    pub body: QueryBody,
}

/// The kinds of query that a router sends to a peer.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum QueryBody {
    /// Exchanges member entries, leaving endpoints and the configuration number.
    Gossip(GossipWire),
    /// Checks that the named router answers at this address.
    Probe {
        /// Router name that the sender expects at the address.
        router: String,
    },
    /// Indirect probe: asks the peer to check whether a router answers at an address.
    ProbeFor {
        /// Router name that the sender expects at the address.
        router: String,
        /// Peer address, host and port.
        address: String,
    },
    /// Asks the peer to hand over a generation that another router continues.
    TakeOver {
        /// Request key.
        key: String,
        /// Workspace of the caller.
        workspace: String,
        /// Router that takes over the generation.
        router: String,
    },
    /// Runs a call whose home is the peer, or joins it if it is already running.
    Call(CallWire),
    /// Asks for a configuration newer than `number`.
    NewerVersion {
        /// Configuration number that the sender has.
        number: u64,
    },
    /// Asks for the peer's view of the platform's store.
    StoreView {
        /// Version number above which the reply includes the version's row.
        above: u64,
        /// Digest of all the sender's endpoint rows; the reply holds part digests if it differs.
        digest: u64,
        /// Digest of the requests that are blocked at the sender; the reply holds them if it differs.
        blocked: u64,
    },
    /// Asks for the endpoint rows that the sender lacks.
    EndpointRows {
        /// Parts that differ, with the digests of the sender's rows in each.
        parts: Vec<(u8, Vec<u64>)>,
    },
    /// Asks the owner of an endpoint for a permit to send it one request.
    SendPermit(EndpointLimitWire),
    /// Tells the owner of an endpoint that its request limit changed.
    EndpointLimit(EndpointLimitWire),
    /// Tells that a request crashed its endpoint, and asks what the peer knows of its features.
    RequestCrash(crash_wire::RequestCrashWire),
    /// Tells that requests are blocked.
    BlockedRequests(Vec<crash_wire::BlockedRequestWire>),
    /// Asks for retry tokens that the peer does not need.
    RetryTokens(token_wire::RetryTokensWire),
    /// Asks or tells about roll-outs.
    Rollout(Box<rollout_wire::RolloutQueryWire>),
    /// Asks for the rows of the configuration in force that the sender lacks.
    ConfigRows {
        /// Combined digest of that configuration as the sender knows it; 0 if it does not.
        known: u64,
        /// Parts that differ, with the digests of the sender's rows in each.
        parts: Vec<(u8, Vec<u64>)>,
    },
}

/// Request limit of an endpoint as the sender knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct EndpointLimitWire {
    /// Endpoint name.
    pub endpoint: String,
    /// Start time of the endpoint, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Its newest limit.
    pub limit: LimitWire,
}

/// A request limit, and when the endpoint named it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct LimitWire {
    /// Thousandths of a request a second; `None` if the endpoint has no limit any more.
    pub millirequests: Option<u64>,
    /// Time since the endpoint said so, in microseconds.
    pub age_micros: u64,
}

/// Decision about one request to an endpoint with a request limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum PermitWire {
    /// The endpoint has no limit any more.
    Unlimited,
    /// One request may be sent now.
    Granted,
    /// No request may be sent now.
    Denied {
        /// Time after which to ask again, in microseconds.
        wait_micros: u64,
    },
}

/// Reply to a query for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct PermitReplyWire {
    /// The decision.
    pub decision: PermitWire,
    /// Newest limit that the owner knows; `None` from a router that is not the owner.
    pub limit: Option<LimitWire>,
}

/// A reply from a peer.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct PeerReply {
    /// Hybrid clock of the replying router.
    pub stamp: timeline::HybridStamp,
    /// The reply itself.
    pub body: ReplyBody,
}

/// The kinds of reply to a query.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum ReplyBody {
    /// Entries that the querying router lacks.
    Gossip(GossipWire),
    /// Whether the probed router is reachable.
    Alive(bool),
    /// The generation's state; `None` when the peer does not hold it.
    TakeOver(Option<TakeOverWire>),
    /// Outcome of the call.
    Call(CallOutcomeWire),
    /// The newer configuration, if any.
    NewerVersion(Option<VersionWire>),
    /// The query cannot be answered; holds the reason.
    Refused(String),
    /// The peer's view of the store; `None` when it has none.
    StoreView(Option<Box<store_view_wire::StoreViewWire>>),
    /// Endpoint rows that the querying router lacks.
    EndpointRows(store_view_wire::EndpointDeltaWire),
    /// Decision about a permit.
    SendPermit(PermitReplyWire),
    /// Newest limit that the owner knows; `None` from a router that is not the owner.
    EndpointLimit(Option<LimitWire>),
    /// What the peer knows of the features of a request.
    CrashEvidence(crash_wire::CrashEvidenceWire),
    /// The blocked requests were taken.
    BlockedRequests,
    /// Number of retry tokens that were withdrawn from the peer's share for the sender of the query.
    RetryTokens(u32),
    /// Reply about roll-outs.
    Rollout(Box<rollout_wire::RolloutReplyWire>),
    /// Rows of the configuration that the querying router lacks; `None` when there is none yet.
    ConfigRows(Option<Box<store_view_wire::ConfigRowsWire>>),
}

/// A gossip message; the reply has the same type. Each side numbers its own changes. `have` requests
/// those after that number; after this message the receiver has the sender's changes up to `upto`.
#[derive(Clone, Debug, Default)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct GossipWire {
    /// Sender's own router name.
    pub from: String,
    /// Sender's own incarnation.
    pub incarnation: u64,
    /// Digest of all state entries that the sender holds after this exchange.
    pub digest: u64,
    /// Newest configuration number that the sender has.
    pub version: u64,
    /// Number of the receiver's changes that the sender has seen; `None` when it has seen none.
    pub have: Option<u64>,
    /// Number of the sender's changes that this message completes.
    pub upto: u64,
    /// Digests by bucket, to find the buckets that differ; empty when not compared.
    pub buckets: Vec<u64>,
    /// Bit set of buckets whose entries the sender requests.
    pub wanted: u64,
    /// Member entries, without loads.
    pub members: Vec<MemberWire>,
    /// Endpoints that take no new work.
    pub leaving: Vec<LeavingWire>,
    /// Loads of members, as many as fit in the byte budget.
    pub loads: Vec<LoadWire>,
    /// Number of the receiver's load changes that the sender has seen; `None` requests no loads.
    pub load_have: Option<u64>,
    /// Number of the sender's load changes that this message completes.
    pub load_upto: u64,
}

/// Part of the load of one router; sent separately, as member entries on the wire carry none.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct LoadWire {
    /// Router name.
    pub router: String,
    /// Incarnation of the router.
    pub incarnation: u64,
    /// Increases with each load that the incarnation publishes.
    pub sequence: u64,
    /// Index of the part of the workspaces that `demand` covers.
    pub part: u16,
    /// Number of parts that the workspaces are divided into.
    pub parts: u16,
    /// Configuration number in force at the router.
    pub config: u64,
    /// Requests running and waiting, by workspace.
    pub demand: Vec<DemandWire>,
}

/// The member entry of one router.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct MemberWire {
    /// Router name.
    pub router: String,
    /// Incarnation of the router.
    pub incarnation: u64,
    /// Lifecycle stage in the low four bits, liveness as seen by peers in the high four; see
    /// `process::members::member_rank::MemberRank`.
    pub rank: u8,
    /// Version of the entry within the incarnation, set by the router itself.
    pub version: u64,
    /// Availability zone.
    pub zone: String,
    /// Address for callers, host and port.
    pub caller_address: String,
    /// Address for peers, host and port.
    pub peer_address: String,
    /// Address for operators, host and port.
    pub admin_address: String,
    /// Configuration number in force at the router.
    pub config: u64,
    /// Requests in flight, running and waiting, by workspace.
    pub demand: Vec<DemandWire>,
}

/// Demand of one workspace at one router.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct DemandWire {
    /// Workspace name.
    pub workspace: String,
    /// Requests running and waiting.
    pub requests: u32,
}

/// An endpoint that takes no new work in this incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct LeavingWire {
    /// Endpoint name.
    pub endpoint: String,
    /// Incarnation of the endpoint, as it reports it; 0 when it reports none.
    pub incarnation: u64,
    /// When this was first announced, in microseconds since the Unix epoch.
    pub since: u64,
}

/// State of a generation that is handed over.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct TakeOverWire {
    /// Generation identifier.
    pub generation: u64,
    /// Tokens from position 0.
    pub tokens: Vec<String>,
    /// Identifier of the running attempt.
    pub attempt: u128,
    /// Endpoint that runs the attempt.
    pub endpoint: String,
    /// Model version of the answer.
    pub model_version: String,
    /// Why the answer ended; `None` while it runs.
    pub finish_reason: Option<String>,
}

/// A call to a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct CallWire {
    /// Request key.
    pub key: String,
    /// Workspace of the caller.
    pub workspace: String,
    /// Service name.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// Path and query at the service.
    pub path: String,
    /// `Content-Type` of the body, if any.
    pub content_type: Option<String>,
    /// Body bytes.
    pub body: call_body::CallBody,
    /// Whether the caller states that it has never sent this key before.
    pub first_send: bool,
    /// Time left until the caller's deadline, in milliseconds.
    pub deadline_millis: u64,
}

impl CallOutcomeWire {
    /// The same outcome for a holder that has a bound of its own.
    #[must_use]
    pub fn detached(&self) -> Self {
        let mut outcome = self.clone();
        if let Self::Answered { body, .. } = &mut outcome {
            *body = body.detached();
        }
        outcome
    }
}

/// Outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum CallOutcomeWire {
    /// The service answered.
    Answered {
        /// HTTP status code.
        status: u16,
        /// `Content-Type` of the body, if any.
        content_type: Option<String>,
        /// Body bytes.
        body: call_body::CallBody,
    },
    /// The call was refused or failed.
    Refused(RefusalWire),
}

/// A refusal, encoded in bincode.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RefusalWire {
    /// HTTP status code.
    pub status: u16,
    /// Machine-readable reason.
    pub code: crate::request::verdict::RefusalCode,
    /// Whether the request may have run.
    pub verdict: crate::request::verdict::RunVerdict,
    /// One sentence that says what the caller can do next.
    pub message: String,
    /// Time after which a retry can succeed, in milliseconds; `None` when unknown.
    pub retry_after_millis: Option<u64>,
    /// Current home name for a new key, if known.
    pub home: Option<String>,
}

/// A configuration version.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct VersionWire {
    /// Configuration number.
    pub number: u64,
    /// Its declarations, whole or as deltas.
    pub text: VersionText,
}

/// The declarations of a version in YAML.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum VersionText {
    /// The whole text.
    Whole(String),
    /// Consecutive changes since a version that the receiver has.
    Deltas {
        /// Number of the version that the first delta applies to.
        from: u64,
        /// Deltas in order; each produces the text of the next version.
        deltas: Vec<crate::version::delta::TextDelta>,
    },
}
