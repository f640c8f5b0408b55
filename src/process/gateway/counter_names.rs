//! Names of the counters for the outcomes of requests.

use crate::request::relay::context;
use crate::request::verdict;

/// Counter for requests with this outcome; streams and plain calls are counted separately.
#[must_use]
pub fn end_counter(is_stream: bool, end: &context::RelayOutcome) -> &'static str {
    match (is_stream, end) {
        (true, context::RelayOutcome::Served(_)) => "stream.served",
        (true, context::RelayOutcome::Refused(_)) => "stream.unserved",
        (true, context::RelayOutcome::BrokenOff) => "stream.broken_off",
        (true, context::RelayOutcome::CallerGone) => "stream.caller_gone",
        (false, context::RelayOutcome::Served(_)) => "call.served",
        (false, context::RelayOutcome::Refused(_)) => "call.unserved",
        (false, context::RelayOutcome::BrokenOff) => "call.broken_off",
        (false, context::RelayOutcome::CallerGone) => "call.caller_gone",
    }
}

/// Counter for refusals with this code.
#[must_use]
pub fn refusal_counter(code: verdict::RefusalCode) -> &'static str {
    match code {
        verdict::RefusalCode::BadRequest => "refused.bad_request",
        verdict::RefusalCode::Unauthorized => "refused.unauthorized",
        verdict::RefusalCode::NoRoute => "refused.no_route",
        verdict::RefusalCode::BodyTooLarge => "refused.body_too_large",
        verdict::RefusalCode::WorkspaceLimit => "refused.workspace_limit",
        verdict::RefusalCode::Overloaded => "refused.overloaded",
        verdict::RefusalCode::NoEndpoint => "refused.no_endpoint",
        verdict::RefusalCode::WrongHome => "refused.wrong_home",
        verdict::RefusalCode::HomeUnreachable => "refused.home_unreachable",
        verdict::RefusalCode::OutcomeForgotten => "refused.outcome_forgotten",
        verdict::RefusalCode::EndpointFailed => "refused.endpoint_failed",
        verdict::RefusalCode::DeadlineExceeded => "refused.deadline_exceeded",
        verdict::RefusalCode::PlatformUnavailable => "refused.platform_unavailable",
        verdict::RefusalCode::NotReady => "refused.not_ready",
        verdict::RefusalCode::KeyReused => "refused.key_reused",
        verdict::RefusalCode::PromptBlocked => "refused.prompt_blocked",
        verdict::RefusalCode::RequestBlocked => "refused.request_blocked",
        verdict::RefusalCode::VersionGone => "refused.version_gone",
    }
}
