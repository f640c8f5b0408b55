//! Bincode messages between routers about requests that crash endpoints.

/// An endpoint that crashed while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RequestCrashWire {
    /// Hash of the request identifier.
    pub request: u64,
    /// Hash of the endpoint's name.
    pub endpoint: u64,
    /// Features of the request.
    pub features: Vec<u64>,
    /// Time since the crash, in microseconds.
    pub age_micros: u64,
    /// Time from the sending of the request to the crash, in microseconds.
    pub running_micros: u64,
}

/// What a router knows of some features of requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct CrashEvidenceWire {
    /// Crashes of requests that have one of the features, and others that bear on these.
    pub crashes: Vec<RequestCrashWire>,
    /// Features with the time since a request with it was last answered, in microseconds.
    pub successes: Vec<(u64, u64)>,
}

/// Requests with certain features that are blocked for a time.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct BlockedRequestWire {
    /// Features that a request must have to be blocked.
    pub features: Vec<u64>,
    /// End of the block, in milliseconds since the Unix epoch.
    pub until_ms: u64,
    /// Number of times that the request was blocked.
    pub count: u32,
}
