//! HTTP API for callers: router addresses, completions and calls to plain services.

use std::str;
use std::sync;
use std::time;

use stop_token::future::FutureExt as _;

use crate::connection::caller_intake;
use crate::connection::completion;
use crate::connection::in_flight;
use crate::connection::peer_wire;
use crate::connection::refusal;
use crate::connection::service::SendGate as _;
use crate::process::limits::admission;
use crate::process::limits::admission_params;
use crate::process::node;
use crate::process::telemetry::timeline;
use crate::request::cursor;
use crate::request::generation;
use crate::request::intake;
use crate::request::key;
use crate::request::refusal as request_refusal;
use crate::request::verdict;
use crate::version::route;

/// Request header with the caller's timeout, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-kumquatpulley-deadline-ms";

/// Request header that is `true` if the caller has never sent this key before.
pub const FIRST_SEND_HEADER: &str = "x-kumquatpulley-first-send";

/// Request header with the request key.
pub const KEY_HEADER: &str = "idempotency-key";

/// Timeout of a request without [`DEADLINE_HEADER`].
const DEFAULT_DEADLINE: time::Duration = time::Duration::from_secs(30);

/// Longest accepted timeout; longer ones are shortened to it.
const MAX_DEADLINE: time::Duration = time::Duration::from_secs(3_600);

/// `Retry-After` while the router, or every router, is not ready.
const NOT_READY_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

type NodeRequest = tide::Request<sync::Arc<node::RouterNode>>;

/// Builds the application with the caller API.
#[must_use]
pub fn application(node: sync::Arc<node::RouterNode>) -> tide::Server<sync::Arc<node::RouterNode>> {
    let mut application = tide::with_state(node);
    application.with(in_flight::count_request);
    application.at("/v1/addresses").get(addresses);
    application
        .at("/v1/completions")
        .post(|request| answer(request, AnswerKind::Completion));
    application
        .at("/s/:service")
        .all(|request| answer(request, AnswerKind::Service));
    application
        .at("/s/:service/*path")
        .all(|request| answer(request, AnswerKind::Service));
    application.at("/").all(no_such_path);
    application.at("/*path").all(no_such_path);
    application
}

#[derive(Clone, Copy, Debug)]
enum AnswerKind {
    Completion,
    Service,
}

async fn answer(request: NodeRequest, kind: AnswerKind) -> tide::Result {
    let node = sync::Arc::clone(request.state());
    let answered = match kind {
        AnswerKind::Completion => complete(request).await,
        AnswerKind::Service => call(request).await,
    };
    Ok(answered.unwrap_or_else(|refusal| {
        node.record_refusal(&refusal);
        refusal::response(&refusal)
    }))
}

/// Whether no earlier attempt can have run at an endpoint, or running the call twice is harmless.
fn is_known_unsent(request: &NodeRequest) -> bool {
    let is_safe = matches!(
        request.method(),
        http_types::Method::Get | http_types::Method::Head
    );
    let is_keyed = header(request, KEY_HEADER).is_some();
    is_safe || !is_keyed || header(request, FIRST_SEND_HEADER) == Some("true")
}

async fn no_such_path(_request: NodeRequest) -> tide::Result {
    let message = "no such path; use /v1/addresses, /v1/completions or /s/<service>/…";
    let refusal = verdict::RequestRefusal::not_run(404, verdict::RefusalCode::NoRoute, message);
    Ok(refusal::response(&refusal))
}

#[derive(Debug, Default)]
#[derive(serde::Deserialize)]
#[serde(default)]
struct AddressQuery {
    zone: Option<String>,
}

async fn addresses(request: NodeRequest) -> tide::Result {
    let query: AddressQuery = request.query().unwrap_or_default();
    let node = request.state();
    let answer = node.address_answer(query.zone.as_deref());
    if answer.addresses.is_empty() {
        let message = "no router is ready; retry later";
        let refusal =
            verdict::RequestRefusal::not_run(503, verdict::RefusalCode::NotReady, message)
                .retry_after(NOT_READY_RETRY_AFTER);
        return Ok(refusal::response(&refusal));
    }
    Ok(tide::Response::builder(200)
        .body(tide::Body::from_json(&answer)?)
        .build())
}

/// A request whose bearer key belongs to a workspace.
struct AuthorizedRequest {
    request: NodeRequest,
    node: sync::Arc<node::RouterNode>,
    version: sync::Arc<route::ActiveVersion>,
    workspace: String,
    deadline: time::Instant,
}

fn authorize(request: NodeRequest) -> verdict::Result<AuthorizedRequest> {
    let node = sync::Arc::clone(request.state());
    let version = node.serving_version().ok_or_else(|| {
        let message = "the router is not ready; use another address";
        verdict::RequestRefusal::not_run(503, verdict::RefusalCode::NotReady, message)
            .retry_after(NOT_READY_RETRY_AFTER)
    })?;
    let workspace = bearer_key(&request)
        .and_then(|bearer| version.workspace_of(bearer))
        .map(|workspace| workspace.name.clone())
        .ok_or_else(|| {
            let message = "the bearer key is missing or unknown; send Authorization: Bearer <key>";
            verdict::RequestRefusal::not_run(401, verdict::RefusalCode::Unauthorized, message)
        })?;
    let deadline = time::Instant::now() + parse_deadline(&request)?;
    Ok(AuthorizedRequest {
        request,
        node,
        version,
        workspace,
        deadline,
    })
}

fn header<'a>(request: &'a NodeRequest, name: &str) -> Option<&'a str> {
    request.header(name).map(|values| values.last().as_str())
}

fn bearer_key(request: &NodeRequest) -> Option<&str> {
    let value = header(request, "authorization")?;
    let (scheme, bearer) = value.split_once(' ')?;
    scheme
        .eq_ignore_ascii_case("bearer")
        .then_some(bearer.trim())
}

fn parse_deadline(request: &NodeRequest) -> verdict::Result<time::Duration> {
    let Some(text) = header(request, DEADLINE_HEADER) else {
        return Ok(DEFAULT_DEADLINE);
    };
    let millis: u64 = text.parse().map_err(|_error| {
        bad_request(format!(
            "{DEADLINE_HEADER} must be a whole number of milliseconds"
        ))
    })?;
    Ok(time::Duration::from_millis(millis).min(MAX_DEADLINE))
}

fn bad_request(message: String) -> verdict::RequestRefusal {
    verdict::RequestRefusal::not_run(400, verdict::RefusalCode::BadRequest, message)
}

fn parse_header<T>(request: &NodeRequest, name: &str) -> verdict::Result<Option<T>>
where
    T: str::FromStr<Err: std::fmt::Display>,
{
    let Some(text) = header(request, name) else {
        return Ok(None);
    };
    text.parse()
        .map(Some)
        .map_err(|error: T::Err| bad_request(error.to_string()))
}

impl AuthorizedRequest {
    /// Waits until the request is admitted, unless the router closes before.
    async fn admit(
        &self,
        priority: admission_params::Priority,
    ) -> verdict::Result<admission::AdmissionPermit> {
        let permit = self
            .node
            .admit(&self.workspace, priority, self.deadline)
            .timeout_at(self.node.readiness.closed())
            .await
            .map_err(|_closed| request_refusal::refuse_closed())??;
        if !self.node.readiness.may_start() {
            return Err(request_refusal::refuse_closed());
        }
        Ok(permit)
    }

    fn no_route(&self, what: &str) -> verdict::RequestRefusal {
        let message = format!("workspace {} has no route to {what}", self.workspace);
        verdict::RequestRefusal::not_run(404, verdict::RefusalCode::NoRoute, message)
    }
}

async fn complete(request: NodeRequest) -> verdict::Result<tide::Response> {
    let mut authorized = authorize(request)?;
    let body = caller_intake::read_body(&mut authorized.request).await?;
    let completion = completion::parse(&body.to_vec())?;
    // The prompt is a copy of bytes in the body, whose reserved memory stays in use for it.
    let hold = body.hold();
    drop(body);
    let node = sync::Arc::clone(&authorized.node);
    let what = format!("model {}", completion.model);
    let version = sync::Arc::clone(&authorized.version);
    let service = version
        .model_route(&authorized.workspace, &completion.model)
        .ok_or_else(|| authorized.no_route(&what))?;
    let model = service
        .model
        .as_ref()
        .ok_or_else(|| authorized.no_route(&what))?;
    let cursor: Option<cursor::StreamCursor> =
        parse_header(&authorized.request, cursor::CURSOR_HEADER)?;
    let key = match parse_header(&authorized.request, KEY_HEADER)? {
        Some(key) => key,
        None => key::RequestKey::mint(&node.home()),
    };
    let priority = match cursor {
        Some(_) => admission_params::Priority::Resumed,
        None => admission_params::Priority::New,
    };
    let permit = authorized.admit(priority).await?;
    node.ring
        .record(Some(key.as_str()), timeline::EventKind::Admitted);
    let context = completion::ResponseContext {
        key: key.to_string(),
        model: completion.model.clone(),
        members: sync::Arc::clone(&node.members),
        permit: Box::new((permit, hold)),
    };
    let spec = generation::GenerationSpec {
        key: key.to_string(),
        workspace: authorized.workspace,
        service: service.name.clone(),
        model: completion.model,
        adapter: model.adapter.clone(),
        prompt: completion.prompt.into(),
        max_tokens: completion.max_tokens,
        recovery: service.recovery,
    };
    let received = completion.received;
    let request = intake::IntakeRequest {
        spec,
        key,
        version: model.version.clone(),
        cursor,
        received,
    };
    let reader = node.intake.open(request).await?;
    if completion.stream {
        return completion::stream(reader, context).await;
    }
    completion::collect(reader, context).await
}

/// A call that passed admission and is ready to be sent.
struct AdmittedCall {
    node: sync::Arc<node::RouterNode>,
    wire: peer_wire::CallWire,
    is_idempotent: bool,
    permit: admission::AdmissionPermit,
}

async fn call(request: NodeRequest) -> verdict::Result<tide::Response> {
    let is_known_unsent = is_known_unsent(&request);
    let admitted = admit_call(request)
        .await
        .map_err(|refusal| request_refusal::qualify_refusal(refusal, is_known_unsent))?;
    let node = admitted.node;
    let outcome = if admitted.is_idempotent {
        node.calls.run_idempotent(admitted.wire).await
    } else {
        node.calls.run(admitted.wire).await
    };
    drop(admitted.permit);
    call_response(outcome)
}

async fn admit_call(request: NodeRequest) -> verdict::Result<AdmittedCall> {
    let mut authorized = authorize(request)?;
    let service = authorized
        .request
        .param("service")
        .unwrap_or_default()
        .to_owned();
    let method = authorized.request.method().to_string();
    let url = authorized.request.url().clone();
    let prefix = format!("/s/{service}");
    let path = url.path().strip_prefix(&prefix).unwrap_or_default();
    let path = if path.is_empty() { "/" } else { path };
    let version = sync::Arc::clone(&authorized.version);
    let route = version
        .path_route(&authorized.workspace, &service, &method, path)
        .ok_or_else(|| authorized.no_route(&format!("{method} {prefix}{path}")))?;
    let key: Option<key::RequestKey> = parse_header(&authorized.request, KEY_HEADER)?;
    let body = caller_intake::read_body(&mut authorized.request).await?;
    let node = sync::Arc::clone(&authorized.node);
    let priority = admission_params::Priority::New;
    let permit = authorized.admit(priority).await?;
    let left = authorized
        .deadline
        .saturating_duration_since(time::Instant::now());
    let query = url
        .query()
        .map_or_else(String::new, |query| format!("?{query}"));
    let wire = peer_wire::CallWire {
        key: key.map_or_else(String::new, |key| key.to_string()),
        workspace: authorized.workspace.clone(),
        service: route.service.name.clone(),
        method,
        path: format!("{path}{query}"),
        content_type: header(&authorized.request, "content-type").map(str::to_owned),
        body,
        first_send: header(&authorized.request, FIRST_SEND_HEADER) == Some("true"),
        deadline_millis: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
    };
    Ok(AdmittedCall {
        node,
        wire,
        is_idempotent: route.idempotent,
        permit,
    })
}

fn call_response(outcome: peer_wire::CallOutcomeWire) -> verdict::Result<tide::Response> {
    match outcome {
        peer_wire::CallOutcomeWire::Answered {
            status,
            content_type,
            body,
        } => {
            let content_type =
                content_type.unwrap_or_else(|| "application/octet-stream".to_owned());
            let status = tide::StatusCode::try_from(status).unwrap_or(tide::StatusCode::BadGateway);
            Ok(tide::Response::builder(status)
                .content_type(content_type.as_str())
                .body(body.message_body())
                .build())
        }
        peer_wire::CallOutcomeWire::Refused(wire) => Err(verdict::RequestRefusal::from(wire)),
    }
}
