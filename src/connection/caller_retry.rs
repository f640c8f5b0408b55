//! When and where a caller asks again: pure decisions over refusals, failures and randomness.

use std::time;

use crate::request::verdict;

/// Connections in a row that may bring no token.
pub const MAX_FRUITLESS_TRIES: u32 = 24;

/// Shortest pause before a router is asked again.
pub const MIN_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Longest pause that is chosen without a `Retry-After`.
pub const MAX_PAUSE: time::Duration = time::Duration::from_secs(2);

/// What a refusal means for the next try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryAdvice {
    /// Asking again cannot help.
    Never,
    /// Another router may serve the request at once.
    Elsewhere,
    /// Any router would refuse now; ask after a pause.
    Later,
}

/// What to do after `refusal`.
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
        | verdict::RefusalCode::KeyReused => RetryAdvice::Never,
        verdict::RefusalCode::NotReady
        | verdict::RefusalCode::NoEndpoint
        | verdict::RefusalCode::EndpointFailed => RetryAdvice::Elsewhere,
        verdict::RefusalCode::WorkspaceLimit
        | verdict::RefusalCode::Overloaded
        | verdict::RefusalCode::DeadlineExceeded
        | verdict::RefusalCode::PlatformUnavailable => RetryAdvice::Later,
    }
}

/// Exponential pause with jitter; never shorter than what the router asked for.
#[must_use]
pub fn pause(
    failures: u32,
    retry_after: Option<time::Duration>,
    random: &mut fastrand::Rng,
) -> time::Duration {
    const MAX_DOUBLINGS: u32 = 16;
    let doublings = failures.saturating_sub(1).min(MAX_DOUBLINGS);
    let ceiling = MAX_PAUSE.min(MIN_PAUSE * 2_u32.saturating_pow(doublings));
    let jittered = ceiling.mul_f64(0.5 + random.f64() / 2.0);
    retry_after.map_or(jittered, |asked| asked + jittered)
}
