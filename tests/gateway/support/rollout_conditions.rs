//! Conditions of the replays of roll-outs.

/// How the new version behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Behaviour {
    /// Part of the answers that are bad.
    pub bad: f64,
    /// Part of the answers that are slow, and by which factor.
    pub slow: (f64, f64),
    /// Time since the order from which it behaves so.
    pub from_ms: u64,
    /// Share of requests from which it behaves so, in thousandths.
    pub from_share: u16,
    /// Whether it behaves so on the last route only, which gets a tenth of the requests.
    pub on_one_route: bool,
}

/// A version that is as good as the old one.
pub const GOOD: Behaviour = Behaviour {
    bad: 0.0,
    slow: (0.0, 1.0),
    from_ms: 0,
    from_share: 0,
    on_one_route: false,
};

/// What happens to routers during the ramp.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disturbance {
    Calm,
    /// A tenth of the routers starts again, one after the other, counting from zero.
    Restarts,
    /// A third of the routers is cut off from the coordinator for 4 s.
    CutOff,
    /// The coordinator's router is lost, and another one takes over.
    LostCoordinator,
    /// The store gives no answers from 3 s after the order on.
    StoreAway,
}

/// Conditions of one replay.
#[derive(Clone, Copy, Debug)]
pub struct Conditions {
    pub routers: u32,
    /// Requests a second to the service, over all routers.
    pub rate: f64,
    /// Usual time of an answer.
    pub latency_ms: f64,
    /// Part of all answers that are bad, of either version.
    pub noise: f64,
    pub behaviour: Behaviour,
    pub disturbance: Disturbance,
}
