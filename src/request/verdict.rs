//! Whether a request may have run, and the refusals that carry that answer to the caller.

use std::fmt;
use std::time;

/// Outcome of a fallible request step.
pub type Result<T> = std::result::Result<T, RequestRefusal>;

/// Response header that carries the verdict of a refusal.
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
    /// The value used in headers and JSON bodies.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
        }
    }

    /// Verdict for a request of which `bytes_sent` bytes were handed to the socket.
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

/// Stable machine-readable reason of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalCode {
    /// The request is malformed.
    BadRequest,
    /// The bearer key is missing or unknown.
    Unauthorized,
    /// No route leads to the named model, service or path.
    NoRoute,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The workspace uses its whole share of concurrent requests.
    WorkspaceLimit,
    /// The expected wait exceeds the deadline of the caller.
    Overloaded,
    /// No endpoint can serve the request now.
    NoEndpoint,
    /// The key names an earlier incarnation or another home.
    WrongHome,
    /// The home router of the key cannot be reached.
    HomeUnreachable,
    /// The outcome of the key is no longer kept.
    OutcomeForgotten,
    /// The endpoint failed before it answered.
    EndpointFailed,
    /// The request outlived its deadline.
    DeadlineExceeded,
    /// The table service cannot be reached.
    PlatformUnavailable,
    /// The router is not ready or is draining.
    NotReady,
    /// The same key was used for another request.
    KeyReused,
}

/// A final answer to a request that is not served.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RequestRefusal {
    /// HTTP status code.
    pub status: u16,
    /// Machine-readable reason.
    pub code: RefusalCode,
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// One plain sentence with the next step.
    pub message: String,
    /// When asking again can help.
    pub retry_after: Option<time::Duration>,
    /// Present home name for a new key, where the key has to change.
    pub home: Option<String>,
}

impl RequestRefusal {
    /// A refusal of a request that did not run.
    pub fn not_run(status: u16, code: RefusalCode, message: impl Into<String>) -> Self {
        Self::new(status, code, RunVerdict::NotRun, message)
    }

    /// A refusal of a request that may have run.
    pub fn may_have_run(status: u16, code: RefusalCode, message: impl Into<String>) -> Self {
        Self::new(status, code, RunVerdict::MayHaveRun, message)
    }

    /// A refusal with the given verdict and no hint when to ask again.
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

    /// Adds when to ask again.
    #[must_use]
    pub fn retry_after(mut self, delay: time::Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Adds the home name with which to make a new key.
    #[must_use]
    pub fn home(mut self, home: impl Into<String>) -> Self {
        self.home = Some(home.into());
        self
    }

    /// Value of the `Retry-After` header in whole seconds, at least one.
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
