//! Reads the body of a caller's request, within the memory for callers.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use stop_token::future::FutureExt as _;

use crate::connection::body_intake;
use crate::connection::call_body;
use crate::process::limits::byte_budget;
use crate::process::node;
use crate::request::refusal;
use crate::request::verdict;

/// Time within which a request body must arrive.
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// `Retry-After` of a request for whose body there is no memory.
const MEMORY_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// Connection of a request.
#[derive(Clone, Debug)]
pub struct RequestOrigin {
    /// Source address of the caller.
    pub caller: net::IpAddr,
    /// Whether the body was read to its end.
    pub is_body_read: sync::Arc<atomic::AtomicBool>,
}

impl RequestOrigin {
    /// Origin of a request whose body has not been read.
    #[must_use]
    pub fn new(caller: net::IpAddr) -> Self {
        Self {
            caller,
            is_body_read: sync::Arc::default(),
        }
    }
}

/// Reads the whole body of `request`.
///
/// # Errors
/// A refusal if the body is too large, does not arrive or is not well-formed, if there is no memory for it,
/// or if the router leaves.
pub async fn read_body(
    request: &mut tide::Request<sync::Arc<node::RouterNode>>,
) -> verdict::Result<call_body::CallBody> {
    let node = sync::Arc::clone(request.state());
    let max_bytes = node.settings.max_body_bytes;
    let length = request.len();
    if length.is_some_and(|length| length > max_bytes) {
        return Err(too_large(max_bytes));
    }
    let origin = request.ext::<RequestOrigin>().cloned();
    let origin = origin.unwrap_or_else(|| RequestOrigin::new(net::Ipv4Addr::UNSPECIFIED.into()));
    let hold = node.caller_memory.open(origin.caller);
    let mut body = request.take_body();
    let body = body_intake::read(&mut body, hold, BODY_TIMEOUT, max_bytes)
        .timeout_at(node.readiness.closed())
        .await
        .map_err(|_closed| refusal::refuse_closed())?
        .map_err(|fault| refuse_fault(&node, origin.caller, fault))?;
    // `http_types` takes the end of the connection for that of the body.
    if length.is_some_and(|length| length != body.len()) {
        return Err(bad_request(
            "the body is shorter than its Content-Length; send all of it".to_owned(),
        ));
    }
    origin.is_body_read.store(true, atomic::Ordering::Relaxed);
    Ok(body)
}

fn refuse_fault(
    node: &node::RouterNode,
    caller: net::IpAddr,
    fault: body_intake::IntakeFault,
) -> verdict::RequestRefusal {
    match fault {
        body_intake::IntakeFault::TooLarge => too_large(node.settings.max_body_bytes),
        body_intake::IntakeFault::Memory(error) => refuse_memory(node, caller, error),
        body_intake::IntakeFault::Late => {
            bad_request(format!("body not complete within {BODY_TIMEOUT:?}"))
        }
        body_intake::IntakeFault::Broken(error) => {
            bad_request(format!("reading the body failed: {error}"))
        }
    }
}

fn refuse_memory(
    node: &node::RouterNode,
    caller: net::IpAddr,
    error: byte_budget::ByteError,
) -> verdict::RequestRefusal {
    let counter = match error {
        byte_budget::ByteError::Exhausted => "caller.body_refused",
        byte_budget::ByteError::Evicted => "caller.body_evicted",
    };
    node.metrics.count(counter);
    log::warn!(
        caller = caller.to_string().as_str(),
        cause = error.to_string().as_str(),
        held_bytes = node.caller_memory.held(),
        limit_bytes = node.caller_memory.limit();
        "request body refused"
    );
    verdict::RequestRefusal::not_run(503, verdict::RefusalCode::Overloaded, error.to_string())
        .retry_after(MEMORY_RETRY_AFTER)
}

fn too_large(max_bytes: usize) -> verdict::RequestRefusal {
    let message = format!("the request body is larger than {max_bytes} bytes; shorten it");
    verdict::RequestRefusal::not_run(413, verdict::RefusalCode::BodyTooLarge, message)
}

fn bad_request(message: String) -> verdict::RequestRefusal {
    verdict::RequestRefusal::not_run(400, verdict::RefusalCode::BadRequest, message)
}
