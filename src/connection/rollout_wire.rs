//! Bincode messages between routers about roll-outs.

/// A query about roll-outs.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum RolloutQueryWire {
    /// Asks for the orders that the peer knows.
    Orders {
        /// Digest of the sender's orders; the reply holds orders if it differs.
        digest: u64,
    },
    /// Reports the counts of one service to its coordinator, and asks for the plan.
    Report(RouterReportWire),
    /// Tells that a roll-out ended.
    Plan(RolloutPlanWire),
}

/// Reply to a query about roll-outs.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum RolloutReplyWire {
    /// What the peer knows of orders.
    Orders {
        /// All of them; empty if both sides have the same.
        orders: Vec<OrderWire>,
        /// Time since they were known to be complete, in microseconds; `None` if they never were.
        age_micros: Option<u64>,
    },
    /// The plan; `None` from a router that does not coordinate the service.
    Plan(Option<RolloutPlanWire>),
    /// The plan was taken.
    Taken,
    /// The peer does not follow roll-outs.
    NotFollowed,
}

/// Phase of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum PhaseWire {
    /// The new version gets nothing for the time being.
    Waiting,
    /// The new version gets a share.
    Ramping,
    /// The new version gets all new requests.
    Draining,
    /// The new version has taken over.
    Complete,
    /// The new version gets nothing any more.
    Reverted,
}

/// An order, or that there is none any more.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct OrderWire {
    /// Service name.
    pub service: String,
    /// Version of the order.
    pub version: u64,
    /// Version that the traffic moves to, and the time for the ramp in milliseconds; `None` if the
    /// order was withdrawn.
    pub content: Option<(String, u64)>,
    /// Phase of its roll-out, if that has ended.
    pub ended: Option<PhaseWire>,
}

/// What routers do with the new requests of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RolloutPlanWire {
    /// Service name.
    pub service: String,
    /// Version that the traffic moves to.
    pub to: String,
    /// Version of the order.
    pub order_version: u64,
    /// Phase of the roll-out.
    pub phase: PhaseWire,
    /// Share of new requests for `to`, in thousandths.
    pub share_millis: u16,
}

/// What became of the requests that were sent to one version on one route.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct AnswerCountsWire {
    /// Requests sent.
    pub sent: u64,
    /// Failures and lost requests.
    pub bad: u64,
    /// Other answers by latency.
    pub buckets: Vec<u64>,
    /// Sum of their latencies, in microseconds.
    pub sum_micros: u64,
}

/// Counts of one route.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RouteEvidenceWire {
    /// Route name; empty for those that are not counted by themselves.
    pub route: String,
    /// Counts of all versions but the new one.
    pub old: AnswerCountsWire,
    /// Counts of the new version.
    pub new: AnswerCountsWire,
}

/// What one router has counted since it learned of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RouterReportWire {
    /// Router name.
    pub router: String,
    /// Service name.
    pub service: String,
    /// Version of the order.
    pub order_version: u64,
    /// Counts by route.
    pub routes: Vec<RouteEvidenceWire>,
    /// Requests in flight at other versions than the new one.
    pub in_flight_old: u64,
    /// Requests to the service.
    pub requests_total: u64,
}
