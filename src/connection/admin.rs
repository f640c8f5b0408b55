//! HTTP API for operators: status, timeline and drain.

use std::sync;

use crate::process::node;

/// Builds the application with the operator API.
#[must_use]
pub fn application(node: sync::Arc<node::RouterNode>) -> tide::Server<sync::Arc<node::RouterNode>> {
    let mut application = tide::with_state(node);
    application.at("/admin/status").get(status);
    application.at("/admin/timeline").get(timeline);
    application.at("/admin/drain").post(drain);
    application
}

type NodeRequest = tide::Request<sync::Arc<node::RouterNode>>;

async fn status(request: NodeRequest) -> tide::Result {
    let status = request.state().status();
    Ok(tide::Response::builder(200)
        .body(tide::Body::from_json(&status)?)
        .build())
}

#[derive(Debug, Default)]
#[derive(serde::Deserialize)]
#[serde(default)]
struct TimelineQuery {
    request: Option<String>,
}

async fn timeline(request: NodeRequest) -> tide::Result {
    let query: TimelineQuery = request.query()?;
    let events = request.state().ring.events(query.request.as_deref());
    Ok(tide::Response::builder(200)
        .body(tide::Body::from_json(&events)?)
        .build())
}

async fn drain(request: NodeRequest) -> tide::Result {
    request.state().request_drain();
    Ok(tide::Response::new(202))
}
