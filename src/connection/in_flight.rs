//! Middleware that counts the requests in flight.

use std::sync;

use futures::FutureExt as _;
use futures::future;

use crate::connection::service::SendGate as _;
use crate::process::node;

/// Counts a request from its head on; once the router is closed, its connection ends with it.
#[must_use]
pub fn count_request(
    request: tide::Request<sync::Arc<node::RouterNode>>,
    next: tide::Next<'_, sync::Arc<node::RouterNode>>,
) -> future::BoxFuture<'_, tide::Result> {
    let node = sync::Arc::clone(request.state());
    async move {
        let _request = node.requests.enter();
        let mut response = next.run(request).await;
        if !node.readiness.may_start() {
            response.insert_header("connection", "close");
        }
        Ok(response)
    }
    .boxed()
}
