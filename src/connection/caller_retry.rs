//! Retry policy of a caller: whether, where and after which backoff to retry; performs no I/O.

use std::time;

use crate::request::verdict;

/// Consecutive attempts without a new token after which the caller gives up.
pub const MAX_FAILED_ATTEMPTS: u32 = 24;

/// Upper bound of the first backoff; jitter may halve it.
pub const MIN_BACKOFF: time::Duration = time::Duration::from_millis(50);

/// Longest backoff, not counting `Retry-After`.
pub const MAX_BACKOFF: time::Duration = time::Duration::from_secs(2);

/// Whether and where to retry after a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryAdvice {
    /// A retry cannot succeed.
    Never,
    /// Another router may accept the request now.
    Elsewhere,
    /// Every router would refuse now; retry after a backoff.
    Later,
}

/// Classifies `refusal` by its code.
#[must_use]
pub fn advice(refusal: &verdict::RequestRefusal) -> RetryAdvice {
    match refusal.code {
        verdict::RefusalCode::BadRequest
        | verdict::RefusalCode::Unauthorized
        | verdict::RefusalCode::NoRoute
        | verdict::RefusalCode::BodyTooLarge
        | verdict::RefusalCode::WrongHome
        | verdict::RefusalCode::HomeUnreachable
        | verdict::RefusalCode::OutcomeForgotten
        | verdict::RefusalCode::KeyReused
        | verdict::RefusalCode::PromptBlocked
        | verdict::RefusalCode::RequestBlocked => RetryAdvice::Never,
        verdict::RefusalCode::NotReady
        | verdict::RefusalCode::NoEndpoint
        | verdict::RefusalCode::VersionGone
        | verdict::RefusalCode::EndpointFailed => RetryAdvice::Elsewhere,
        verdict::RefusalCode::WorkspaceLimit
        | verdict::RefusalCode::Overloaded
        | verdict::RefusalCode::DeadlineExceeded
        | verdict::RefusalCode::PlatformUnavailable => RetryAdvice::Later,
    }
}

/// Exponential backoff with jitter, added to `retry_after` if the router sent one.
#[must_use]
pub fn backoff(
    failures: u32,
    retry_after: Option<time::Duration>,
    random: &mut fastrand::Rng,
) -> time::Duration {
    const MAX_DOUBLINGS: u32 = 16;
    let doublings = failures.saturating_sub(1).min(MAX_DOUBLINGS);
    let ceiling = MAX_BACKOFF.min(MIN_BACKOFF * 2_u32.saturating_pow(doublings));
    let jittered = ceiling.mul_f64(0.5 + random.f64() / 2.0);
    retry_after.map_or(jittered, |delay| delay + jittered)
}
