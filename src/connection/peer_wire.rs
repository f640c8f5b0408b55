//! Bincode messages between routers: one h2 stream carries one query and one reply.

use crate::process::telemetry::timeline;

/// A query to a peer.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct PeerQuery {
    /// Clock of the sender.
    pub stamp: timeline::HybridStamp,
    /// What is asked.
    pub body: QueryBody,
}

/// What is asked of a peer.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum QueryBody {
    /// Exchange of member, leaving and version facts.
    Gossip(GossipWire),
    /// Are you this router?
    Probe {
        /// Router name that the sender expects at the address.
        router: String,
    },
    /// Ask whether this router answers at this peer address.
    ProbeFor {
        /// Router name that the sender expects at the address.
        router: String,
        /// Peer address, host and port.
        address: String,
    },
    /// Hand over a generation that another router goes on with.
    TakeOver {
        /// Request key.
        key: String,
        /// Workspace of the caller.
        workspace: String,
        /// The router that takes it.
        router: String,
    },
    /// Run or join a call whose home is the peer.
    Call(CallWire),
    /// Configuration newer than this number?
    NewerVersion {
        /// Number that the sender has.
        number: u64,
    },
    /// What does the store say, as far as the peer knows?
    StoreView {
        /// Version number that the sender has; newer ones come with their row.
        above: u64,
        /// Digest of all rows of endpoints that the sender has; digests by part are told if it differs.
        digest: u64,
    },
    /// Which rows of endpoints does the sender lack?
    EndpointRows {
        /// Parts that differ, with the digests of the rows that the sender has in each.
        parts: Vec<(u8, Vec<u64>)>,
    },
}

/// A reply from a peer.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct PeerReply {
    /// Clock of the replying router.
    pub stamp: timeline::HybridStamp,
    /// The answer.
    pub body: ReplyBody,
}

/// An answer to a query.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum ReplyBody {
    /// Facts that the sender lacks.
    Gossip(GossipWire),
    /// Whether the probed router is alive.
    Alive(bool),
    /// The generation's state; `None` when the peer does not hold it.
    TakeOver(Option<TakeOverWire>),
    /// What became of the call.
    Call(CallOutcomeWire),
    /// The newer configuration, if any.
    NewerVersion(Option<VersionWire>),
    /// The query cannot be answered.
    Refused(String),
    /// What the peer knows of the store; `None` when it knows nothing.
    StoreView(Option<Box<StoreViewWire>>),
    /// Rows of endpoints that the sender lacks.
    EndpointRows(EndpointDeltaWire),
}

/// What a router knows of the platform's store.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct StoreViewWire {
    /// Number of the version in force.
    pub number: u64,
    /// Age of the knowledge that it is the newest, in microseconds.
    pub age_micros: u64,
    /// Key and content of its row, when it is newer than what was asked for.
    pub row: Option<(String, Vec<u8>)>,
    /// Time since the store last answered the sender, or those whom it leaves reading to, in
    /// microseconds; `None` when it knows of none.
    pub answer_age_micros: Option<u64>,
    /// Age of the knowledge that the endpoints' rows are complete, in microseconds.
    pub endpoint_age_micros: u64,
    /// Digests of the sender's rows of endpoints by part; empty when the asker has the same rows.
    pub digests: Vec<u64>,
}

/// What an asker lacks of some parts of the rows of endpoints.
#[derive(Clone, Debug, Default)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct EndpointDeltaWire {
    /// The parts.
    pub parts: Vec<PartDeltaWire>,
    /// Keys of rows in these parts that the store has removed while its answers were disturbed; the
    /// endpoint may come back.
    pub lapsed: Vec<String>,
}

/// What an asker lacks of one part of the rows of endpoints.
#[derive(Clone, Debug, Default)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct PartDeltaWire {
    /// Number of the part.
    pub part: u8,
    /// Keys and contents of rows that the asker lacks.
    pub rows: Vec<(String, Vec<u8>)>,
    /// Digests of rows that the asker has and the sender does not.
    pub gone: Vec<u64>,
    /// Digest of the part's rows at the sender.
    pub digest: u64,
}

/// Facts exchanged by gossip; the reply to one is another.
///
/// Each side numbers its own changes. `have` asks for the changes after that number, and `upto` says
/// which number the facts of this message bring the receiver to.
#[derive(Clone, Debug, Default)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct GossipWire {
    /// Sender's own router name.
    pub from: String,
    /// Sender's own incarnation.
    pub incarnation: u64,
    /// Digest of all state facts that the sender holds after this exchange.
    pub digest: u64,
    /// Newest configuration number that the sender has.
    pub version: u64,
    /// Number of the receiver's changes that the sender has seen; `None` when it has seen none.
    pub have: Option<u64>,
    /// Number of the sender's changes that this message completes.
    pub upto: u64,
    /// Digests by bucket, to find the buckets that differ; empty when they are not compared.
    pub buckets: Vec<u64>,
    /// Bit set of buckets whose facts the sender wants.
    pub wanted: u64,
    /// State facts of members.
    pub members: Vec<MemberWire>,
    /// Endpoints that take no new work.
    pub leaving: Vec<LeavingWire>,
    /// Loads of members, as far as the byte budget goes.
    pub loads: Vec<LoadWire>,
    /// Number of the receiver's load changes that the sender has seen; `None` when it wants none now.
    pub load_have: Option<u64>,
    /// Number of the sender's load changes that this message completes.
    pub load_upto: u64,
}

/// Part of the load of one router; on the way its member fact carries none.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct LoadWire {
    /// Router name.
    pub router: String,
    /// Incarnation of the router.
    pub incarnation: u64,
    /// Grows with each load that the incarnation tells.
    pub sequence: u64,
    /// Which part of the workspaces the demand is about.
    pub part: u16,
    /// Parts that the workspaces are divided in.
    pub parts: u16,
    /// Configuration number in force at the router.
    pub config: u64,
    /// Requests running and waiting, by workspace.
    pub demand: Vec<DemandWire>,
}

/// One fact about one router.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct MemberWire {
    /// Router name.
    pub router: String,
    /// Incarnation of the router.
    pub incarnation: u64,
    /// Life stage in the low four bits, verdict of peers in the high four; see
    /// `process::members::member_rank::MemberRank`.
    pub rank: u8,
    /// Version of the fact within the incarnation, made by the router itself.
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
    /// When the fact was first told, in microseconds since the Unix epoch.
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
    /// Running attempt.
    pub attempt: u128,
    /// Endpoint of the attempt.
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
    pub body: Vec<u8>,
    /// The caller states that it has never sent this key before.
    pub first_send: bool,
    /// Time that the caller still waits, in milliseconds.
    pub deadline_millis: u64,
}

/// What became of a call.
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
        body: Vec<u8>,
    },
    /// The call was refused or failed.
    Refused(RefusalWire),
}

/// A refusal in bincode form.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RefusalWire {
    /// HTTP status code.
    pub status: u16,
    /// Machine-readable reason.
    pub code: crate::request::verdict::RefusalCode,
    /// Whether the request may have run.
    pub verdict: crate::request::verdict::RunVerdict,
    /// One plain sentence with the next step.
    pub message: String,
    /// When asking again can help, in milliseconds.
    pub retry_after_millis: Option<u64>,
    /// Present home name for a new key.
    pub home: Option<String>,
}

/// A configuration version.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct VersionWire {
    /// Its number.
    pub number: u64,
    /// Its declarations.
    pub text: VersionText,
}

/// The declarations of a version in YAML.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum VersionText {
    /// The whole text.
    Whole(String),
    /// What changed since a version that the receiver has, step by step.
    Deltas {
        /// Number of that version.
        from: u64,
        /// Each makes the next text.
        deltas: Vec<crate::version::delta::TextDelta>,
    },
}
