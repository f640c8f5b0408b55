//! Whether a request may have run, and the refusals that report it to the caller.

use std::fmt;
use std::time;

/// Result of a request step that can be refused.
pub type Result<T> = std::result::Result<T, RequestRefusal>;

/// Response header that contains the verdict of a refusal.
pub const VERDICT_HEADER: &str = "x-kumquatpulley-verdict";

/// Whether a request may have taken effect at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunVerdict {
    /// No byte of the request reached an endpoint; sending it again is safe.
    NotRun,
    /// The request may have run; it must not be sent again unless it is idempotent.
    MayHaveRun,
}

impl RunVerdict {
    /// Value used in headers and JSON bodies.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
        }
    }

    /// Verdict for a request of which `bytes_sent` bytes were written to the socket.
    #[must_use]
    pub const fn from_bytes_sent(bytes_sent: u64) -> Self {
        if bytes_sent == 0 {
            return Self::NotRun;
        }
        Self::MayHaveRun
    }
}

impl fmt::Display for RunVerdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Stable, machine-readable reason for a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalCode {
    /// The request is malformed.
    BadRequest,
    /// The bearer key is missing or unknown.
    Unauthorized,
    /// No route matches the requested model, service or path.
    NoRoute,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The workspace has reached its limit of concurrent requests.
    WorkspaceLimit,
    /// The expected wait exceeds the caller's deadline.
    Overloaded,
    /// No endpoint is currently able to serve the request.
    NoEndpoint,
    /// The key names an earlier incarnation or another home router.
    WrongHome,
    /// The home router of the key is unreachable.
    HomeUnreachable,
    /// The outcome for the key is no longer stored.
    OutcomeForgotten,
    /// The endpoint failed before it sent a complete response.
    EndpointFailed,
    /// The deadline of the request expired.
    DeadlineExceeded,
    /// The table service is unreachable.
    PlatformUnavailable,
    /// The router is not ready or is draining.
    NotReady,
    /// The same key was used for another request.
    KeyReused,
    /// Engines crash on a part of the prompt.
    PromptBlocked,
    /// Endpoints crash on this request.
    RequestBlocked,
    /// No endpoint can go on with the stream, as none has the software version that began it.
    VersionGone,
}

/// Error response to a request that was not served.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RequestRefusal {
    /// HTTP status code.
    pub status: u16,
    /// Machine-readable reason for the refusal.
    pub code: RefusalCode,
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// Error message for the caller, with the next step to take.
    pub message: String,
    /// Delay before a retry; `None` sends no `Retry-After` header.
    pub retry_after: Option<time::Duration>,
    /// Current home name to use in a new key; `None` if the key need not change.
    pub home: Option<String>,
}

impl RequestRefusal {
    /// Creates a refusal of a request that did not run.
    pub fn not_run(status: u16, code: RefusalCode, message: impl Into<String>) -> Self {
        Self::new(status, code, RunVerdict::NotRun, message)
    }

    /// Creates a refusal of a request that may have run.
    pub fn may_have_run(status: u16, code: RefusalCode, message: impl Into<String>) -> Self {
        Self::new(status, code, RunVerdict::MayHaveRun, message)
    }

    /// Creates a refusal with the given verdict and no retry delay.
    pub fn new(
        status: u16,
        code: RefusalCode,
        verdict: RunVerdict,
        message: impl Into<String>,
    ) -> Self {
        Self {
            status,
            code,
            verdict,
            message: message.into(),
            retry_after: None,
            home: None,
        }
    }

    /// Sets the delay before a retry.
    #[must_use]
    pub fn retry_after(mut self, delay: time::Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Sets the home name to use in a new key.
    #[must_use]
    pub fn home(mut self, home: impl Into<String>) -> Self {
        self.home = Some(home.into());
        self
    }

    /// Value of the `Retry-After` header: the delay in whole seconds, rounded up, at least 1.
    #[must_use]
    pub fn retry_after_seconds(&self) -> Option<u64> {
        let delay = self.retry_after?;
        let seconds = delay.as_secs() + u64::from(delay.subsec_nanos() > 0);
        Some(seconds.max(1))
    }
}

impl fmt::Display for RequestRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.message, self.verdict)
    }
}

impl std::error::Error for RequestRefusal {}
