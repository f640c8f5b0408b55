//! Conversion between the platform's HTTP headers and request and response metadata.

use std::collections;
use std::net;
use std::time;

use crate::connection::h1::head;
use crate::platform::report_wire;
use crate::request::relay::{attempt, dialect, report, request_feature, request_rate};
use crate::request::verdict;

const REQUEST_ID: &str = "Kumquatpulley-Request-Id";
/// Time that the caller waits, in milliseconds after it sends the request.
const DEADLINE: &str = "Kumquatpulley-Deadline-Ms";
/// Name of the only endpoint that may serve the request.
const EXPECT_ENDPOINT: &str = "Kumquatpulley-Expect-Runner";
/// Proves that the endpoint itself generated the response.
const SEAL: &str = "Kumquatpulley-Runner-Seal";
const NOT_RUN: &str = "Kumquatpulley-Not-Run";
/// Name of the workspace that the request belongs to.
const WORKSPACE: &str = "Kumquatpulley-Tenant";
/// Priority at the engine, from 0 (highest) to 9.
const PRIORITY: &str = "Kumquatpulley-Request-Priority";
/// Address of the engine that keeps a KV cache backup of the request.
const COPY_HOLDER: &str = "Kumquatpulley-Kv-Backup";
/// Address of the engine that holds a KV cache copy, a slash, and the name of the copy.
const COPY_SOURCE: &str = "Kv-From";
const LAST_EVENT: &str = "Last-Event-Id";
/// ID of the caller's attempt that brought the first event of a stream that goes on.
const RESUMES: &str = "Resumes";
/// Prompt tokens, a comma, and the maximum number of output tokens.
const TOKENS: &str = "Kumquatpulley-Token-Counts";
/// Number of output tokens that the caller expects.
const LENGTH_HINT: &str = "Kumquatpulley-Length-Hint";
/// Parts of the prompt in order, each an ID, a colon and its number of tokens, separated by commas.
const PROMPT_PARTS: &str = "Kumquatpulley-Prompt-Prefix";
/// `1` on every response of an endpoint that is about to shut down.
const LEAVING: &str = "Server-Leaving";
/// Seconds, possibly fractional, during which an endpoint that returned 503 wants no requests.
const RETRY_AFTER: &str = "Retry-After";

/// Requests a second, possibly fractional, that an endpoint accepts from all routers together.
const LIMIT: &str = "Server-Limit";

/// Headers that only the system may set; values from callers are dropped.
const SYSTEM_HEADERS: [&str; 11] = [
    DEADLINE,
    EXPECT_ENDPOINT,
    WORKSPACE,
    PRIORITY,
    COPY_HOLDER,
    COPY_SOURCE,
    NOT_RUN,
    "Kumquatpulley-Expect-Version",
    "Kumquatpulley-Pin-Ms",
    "Kumquatpulley-Hold",
    "Kv-Fetch",
];

/// Maximum length of a request ID.
const MAX_REQUEST_ID_BYTES: usize = 200;

/// [`dialect::RequestDialect`] for the platform's headers.
#[derive(Clone, Copy, Debug)]
pub struct HeaderDialect;

impl dialect::RequestDialect for HeaderDialect {
    fn request_metadata(
        &self,
        head: &head::RequestHead,
    ) -> verdict::Result<dialect::RequestMetadata> {
        let headers = &head.headers;
        for name in [REQUEST_ID, DEADLINE, LAST_EVENT, "Host", "Authorization"] {
            if headers.count(name) > 1 {
                return Err(bad_request(format!(
                    "{name} is given more than once; send it once"
                )));
            }
        }
        let id = headers.get(REQUEST_ID).unwrap_or_default();
        if id.is_empty() || id.len() > MAX_REQUEST_ID_BYTES {
            return Err(bad_request(format!("{REQUEST_ID} is missing or too long")));
        }
        let host = headers.get("Host").unwrap_or_default();
        if host.is_empty() {
            return Err(bad_request("Host is missing; name the host".to_owned()));
        }
        Ok(dialect::RequestMetadata {
            id: id.to_owned(),
            host: host.to_owned(),
            caller_timeout: parse_number(headers, DEADLINE)?.map(time::Duration::from_millis),
            key: headers.get("Authorization").and_then(bearer_key),
            last_event: parse_number(headers, LAST_EVENT)?,
            resumes: resumed_request(headers),
            tokens: expected_tokens(headers),
            shared_parts: shared_parts(headers),
        })
    }

    fn request_head(
        &self,
        head: &head::RequestHead,
        params: &dialect::ForwardParams<'_>,
    ) -> head::RequestHead {
        let mut sent = head.clone();
        let headers = &mut sent.headers;
        headers.remove_hop_fields();
        for name in SYSTEM_HEADERS {
            headers.remove(name);
        }
        headers.push(DEADLINE, params.time_left.as_millis().to_string());
        headers.push(EXPECT_ENDPOINT, params.endpoint);
        if params.drops_key {
            headers.remove("Authorization");
        }
        if let Some(workspace) = params.workspace {
            headers.push(WORKSPACE, workspace);
        }
        if let Some(rank) = params.rank {
            headers.push(PRIORITY, rank.to_string());
        }
        if let Some(holder) = params.copy_holder {
            headers.push(COPY_HOLDER, holder.to_string());
        }
        if let Some(source) = params.copy_source {
            headers.push(COPY_SOURCE, format!("{}/{}", source.address, source.name));
        }
        headers.remove(LAST_EVENT);
        if let Some(event) = params.last_event {
            headers.push(LAST_EVENT, event.to_string());
        }
        sent
    }

    fn response_metadata(&self, head: &head::ResponseHead) -> dialect::ResponseMetadata {
        dialect::ResponseMetadata {
            request: named_request(&head.headers),
            is_sealed: head.headers.count(SEAL) == 1,
            is_not_run: is_not_run(head),
            is_altered: head.headers.count("Content-Encoding") > 0,
            notice: dialect::EndpointNotice {
                is_leaving: is_leaving(&head.headers),
                pause: retry_pause(head),
                limit: request_limit(&head.headers),
            },
        }
    }

    fn refusal_head(
        &self,
        refusal: &verdict::RequestRefusal,
        request: Option<&str>,
    ) -> head::ResponseHead {
        let mut headers = head::HeaderList::default();
        headers.push("Content-Type", "application/json");
        if let Some(request) = request {
            headers.push(REQUEST_ID, request);
        }
        if let Some(delay) = refusal.retry_after {
            headers.push(RETRY_AFTER, format!("{:.3}", delay.as_secs_f64()));
        }
        if refusal.status == 401 {
            headers.push("WWW-Authenticate", "Bearer");
        }
        head::ResponseHead {
            status: refusal.status,
            headers,
        }
    }

    fn report_path(&self) -> &'static str {
        "/report"
    }

    fn move_copy(
        &self,
        source: net::SocketAddr,
        request: &str,
        holder: net::SocketAddr,
    ) -> (head::RequestHead, Vec<u8>) {
        let mut head = attempt::control_head("POST", "/kv-move", source);
        head.headers.push("Content-Type", "application/json");
        (head, report_wire::encode_move(request, holder))
    }

    fn moved_copy(&self, response: &attempt::FullResponse) -> Option<String> {
        let decoded = report_wire::decode_moved(&response.body);
        if let Err(error) = &decoded {
            log::warn!(cause = error.to_string().as_str(); "cannot decode the KV copy response");
        }
        decoded.ok()
    }

    fn free_copy(&self, source: net::SocketAddr, name: &str) -> head::RequestHead {
        attempt::control_head("DELETE", &format!("/kv-handle/{name}"), source)
    }

    fn report(&self, response: &attempt::FullResponse) -> Option<report::EngineReport> {
        let decoded = report_wire::decode(&response.body);
        if let Err(error) = &decoded {
            log::warn!(cause = error.to_string().as_str(); "cannot decode the engine report");
        }
        let mut report = decoded.ok()?;
        report.is_leaving |= is_leaving(&response.head.headers);
        Some(report)
    }
}

/// The request that is resumed, if exactly one with a valid ID is named.
fn resumed_request(headers: &head::HeaderList) -> Option<String> {
    let id = headers.get(RESUMES).map(str::trim)?;
    let is_valid = headers.count(RESUMES) == 1 && !id.is_empty();
    (is_valid && id.len() <= MAX_REQUEST_ID_BYTES).then(|| id.to_owned())
}

/// Estimates the tokens that the request holds at its end, from the caller's headers. Fields that
/// cannot be parsed count as 0; rejecting them is left to the endpoint.
fn expected_tokens(headers: &head::HeaderList) -> u64 {
    let text = headers.get(TOKENS).unwrap_or_default();
    let (prompt, max_output) = text.split_once(',').unwrap_or((text, ""));
    let parse = |text: &str| text.trim().parse::<u64>().ok();
    let output = headers
        .get(LENGTH_HINT)
        .and_then(parse)
        .or(parse(max_output));
    let prompt = parse(prompt).unwrap_or_default();
    prompt.saturating_add(output.unwrap_or_default())
}

/// All parts of the prompt without the last one, each once: any of them may crash engines. The maximum
/// size of a request head bounds their number.
fn shared_parts(headers: &head::HeaderList) -> Vec<request_feature::RequestFeature> {
    let text = headers.get(PROMPT_PARTS).unwrap_or_default();
    let Some((shared, _last)) = text.rsplit_once(',') else {
        return Vec::new();
    };
    let ids = shared.split(',').map(|part| {
        let (id, _tokens) = part.split_once(':').unwrap_or((part, ""));
        id.trim()
    });
    let mut known = collections::HashSet::new();
    ids.filter(|id| !id.is_empty())
        .map(request_feature::RequestFeature::part)
        .filter(|part| known.insert(*part))
        .collect()
}

/// IDs of the requests that a response names, joined with commas; bytes that are not UTF-8 are
/// replaced. `None` if it names none.
fn named_request(headers: &head::HeaderList) -> Option<String> {
    let values = headers.values(REQUEST_ID);
    let ids: Vec<_> = values.map(String::from_utf8_lossy).collect();
    (!ids.is_empty()).then(|| ids.join(","))
}

/// Whether a response states that the request did not run. Other statuses come from requests that
/// ran, so they contradict such a statement.
fn is_not_run(head: &head::ResponseHead) -> bool {
    match head.status {
        421 => true,
        400 | 408 | 429 | 503 => head.headers.count(NOT_RUN) > 0,
        _ => false,
    }
}

fn is_leaving(headers: &head::HeaderList) -> bool {
    headers
        .get(LEAVING)
        .is_some_and(|value| value.trim() == "1")
}

fn retry_pause(head: &head::ResponseHead) -> Option<time::Duration> {
    let text = head.headers.get(RETRY_AFTER)?;
    if head.status != 503 {
        return None;
    }
    let seconds = text.trim().parse::<f64>().ok();
    let pause = seconds.and_then(|seconds| time::Duration::try_from_secs_f64(seconds).ok());
    if pause.is_none() {
        log::warn!(value = text; "endpoint sent an invalid Retry-After; ignored");
    }
    pause
}

fn request_limit(headers: &head::HeaderList) -> Option<request_rate::RequestRate> {
    let text = headers.get(LIMIT)?;
    let requests = text.trim().parse::<f64>().ok();
    let rate = requests.and_then(request_rate::RequestRate::from_per_second);
    if rate.is_none() {
        log::warn!(value = text; "endpoint sent an invalid Server-Limit; ignored");
    }
    rate
}

fn parse_number(headers: &head::HeaderList, name: &str) -> verdict::Result<Option<u64>> {
    if headers.count(name) == 0 {
        return Ok(None);
    }
    let text = headers.get(name).unwrap_or_default();
    let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    let parsed = text.parse().ok().filter(|_number| is_number);
    let parsed = parsed.ok_or_else(|| bad_request(format!("{name} is not a whole number")))?;
    Ok(Some(parsed))
}

fn bearer_key(value: &str) -> Option<String> {
    let (scheme, key) = value.split_once(' ')?;
    scheme
        .eq_ignore_ascii_case("bearer")
        .then(|| key.trim().to_owned())
}

fn bad_request(message: String) -> verdict::RequestRefusal {
    verdict::RequestRefusal::not_run(400, verdict::RefusalCode::BadRequest, message)
}
