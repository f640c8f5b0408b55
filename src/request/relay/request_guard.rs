//! Keeps requests from endpoints that would crash on them, behind a trait.

use std::fmt;
use std::sync;
use std::time;

use futures::future;

use crate::request::relay::request_feature;

/// Events of an attempt up to which a crash counts as caused by the request. An engine that works on
/// a prompt for longer has crashed for another reason.
pub const MAX_CRASH_EVENTS: u64 = 2;

/// A request that lost its endpoint in a crash.
#[derive(Clone, Copy, Debug)]
pub struct RequestCrash<'a> {
    /// Request identifier.
    pub request: &'a str,
    /// Name of the endpoint.
    pub endpoint: &'a str,
    /// Features of the request that may have caused the crash.
    pub features: &'a [request_feature::RequestFeature],
    /// Time from the sending of the request to the crash.
    pub running: time::Duration,
    /// Time since the crash.
    pub lost_for: time::Duration,
}

/// Learns which features of requests crash endpoints.
pub trait RequestGuard: fmt::Debug + Send + Sync {
    /// Time for which a request with these features is blocked; `None` if it may be sent.
    fn block_left(&self, features: &[request_feature::RequestFeature]) -> Option<time::Duration>;

    /// Records that an endpoint answers a request with these features.
    fn record_success(&self, features: &[request_feature::RequestFeature]);

    /// Records a crash and tells the other routers. Completes when it is known whether the request is
    /// blocked now, within a few hundred milliseconds.
    fn report_crash(self: sync::Arc<Self>, crash: RequestCrash<'_>) -> future::BoxFuture<'_, ()>;
}
