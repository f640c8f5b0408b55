//! Log line for requests that end without an outcome.

use std::sync::atomic;

use crate::process::gateway::node;
use crate::request::relay::context;

/// Logs a request that is dropped before its end: its caller left, or the process exits.
pub(super) struct UnfinishedRequest<'a> {
    node: &'a node::GatewayNode,
    request: &'a context::RelayRequest,
}

impl<'a> UnfinishedRequest<'a> {
    /// Watches a request that begins to be relayed.
    pub(super) const fn new(
        node: &'a node::GatewayNode,
        request: &'a context::RelayRequest,
    ) -> Self {
        Self { node, request }
    }

    /// The request has an outcome, so nothing is logged.
    pub(super) fn finish(self) {
        std::mem::forget(self);
    }
}

impl Drop for UnfinishedRequest<'_> {
    fn drop(&mut self) {
        log::warn!(
            request = self.request.metadata.id.as_str(),
            route = self.request.route.name.as_str(),
            elapsed_ms = node::whole_millis(self.request.arrived.elapsed()),
            is_closing = self.node.is_closing.load(atomic::Ordering::SeqCst);
            "request abandoned"
        );
    }
}
