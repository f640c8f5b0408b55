//! Client for completions: streams an answer and resumes it at another router after a failure.

use std::fmt;
use std::time;

use async_std::task;

use crate::connection::caller_address;
use crate::connection::caller_retry;
use crate::connection::caller_run;
use crate::request::key;
use crate::request::verdict;

/// Result of a generation.
pub type Result<T> = std::result::Result<T, CallerError>;

/// Default of [`CallerSettings::idle_timeout`]; routers send a keep-alive comment each second.
pub const DEFAULT_IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Default of [`CallerSettings::deadline`].
pub const DEFAULT_DEADLINE: time::Duration = time::Duration::from_secs(30);

/// Settings of a caller client.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// Routers to ask for addresses, as host and port.
    pub routers: Vec<String>,
    /// Availability zone to prefer; `None` for no preference.
    pub zone: Option<String>,
    /// Bearer key of the workspace.
    pub bearer: String,
    /// Time without a new token after which the caller gives up.
    pub deadline: time::Duration,
    /// Time without an event or comment after which a stream is abandoned.
    pub idle_timeout: time::Duration,
}

/// Parameters of a generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GenerationRequest {
    /// Name of the model to use.
    pub model: String,
    /// Text to complete.
    pub prompt: String,
    /// Most tokens to generate.
    pub max_tokens: u32,
}

/// Progress of a generation, reported to its caller.
#[derive(Clone, Debug)]
pub struct CallerEvent {
    /// Time at which the client observed the event.
    pub at: time::Instant,
    /// Kind of event, with its data.
    pub kind: CallerEventKind,
}

/// Kind of a [`CallerEvent`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerEventKind {
    /// A router accepted the request and will stream the answer.
    Connected {
        /// Address of the router, host and port.
        address: String,
        /// Tokens that the caller had at that time.
        token_count: usize,
    },
    /// A new token of the answer.
    Token {
        /// Position in the answer, from 0.
        index: usize,
        /// The token's text.
        text: String,
    },
    /// The answer starts over; earlier tokens are discarded.
    Restarted {
        /// Why the answer could not be resumed.
        reason: String,
    },
    /// A connection failed or ended before the answer was complete.
    Lost {
        /// Address of the router, host and port.
        address: String,
        /// Error that ended the connection.
        cause: String,
    },
}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct CallerAnswer {
    /// Request key.
    pub key: String,
    /// Tokens in order.
    pub tokens: Vec<String>,
    /// `stop` or `length`.
    pub finish_reason: String,
    /// Connections that streamed the answer after the first one.
    pub resumes: u32,
    /// How often the answer started over.
    pub restarts: u32,
    /// Longest times between two consecutive tokens, in descending order; at most eight.
    pub longest_gaps: Vec<time::Duration>,
}

/// Why there is no complete answer.
#[derive(Clone, Debug)]
pub enum CallerError {
    /// A router refused the request.
    Refused(verdict::RequestRefusal),
    /// The deadline passed, or too many attempts in a row brought no new token.
    GaveUp {
        /// Tokens received for the incomplete answer.
        token_count: usize,
        /// Last error.
        cause: String,
    },
}

impl fmt::Display for CallerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(refusal) => refusal.fmt(f),
            Self::GaveUp { token_count, cause } => write!(
                f,
                "the answer is incomplete after {token_count} tokens: {cause}; \
                 check `kumquatpulley status`"
            ),
        }
    }
}

impl std::error::Error for CallerError {}

/// Streams answers and resumes them at other routers after failures.
#[derive(Debug)]
pub struct CallerClient {
    settings: CallerSettings,
    addresses: caller_address::AddressBook,
}

impl CallerClient {
    /// Creates a client; sends nothing yet.
    #[must_use]
    pub fn new(settings: CallerSettings) -> Self {
        let addresses =
            caller_address::AddressBook::new(settings.routers.clone(), settings.zone.clone());
        Self {
            settings,
            addresses,
        }
    }

    /// Generates a complete answer; calls `observe` for each event as it happens.
    ///
    /// # Errors
    /// [`CallerError`] if there is no complete answer, even if some tokens were observed.
    pub async fn generate(
        &self,
        request: &GenerationRequest,
        observe: &mut (dyn FnMut(CallerEvent) + Send),
    ) -> Result<CallerAnswer> {
        let home = self.find_home().await?;
        let run = caller_run::GenerationRun::new(&self.settings, request, home.key, observe);
        run.drive(home.addresses, &self.addresses).await
    }

    /// Requests addresses until a router answers; creates a key with the home of the first address.
    async fn find_home(&self) -> Result<GenerationHome> {
        let started = time::Instant::now();
        let mut random = fastrand::Rng::new();
        for failures in 1..=caller_retry::MAX_FAILED_ATTEMPTS {
            let cause = match self.addresses.preferred(time::Instant::now()).await {
                Ok(entries) => match GenerationHome::new(&entries) {
                    Some(home) => return Ok(home),
                    None => {
                        "the address answer contains no router with a valid home name".to_owned()
                    }
                },
                Err(error) => error.to_string(),
            };
            let backoff = caller_retry::backoff(failures, None, &mut random);
            if started.elapsed() + backoff > self.settings.deadline {
                return Err(CallerError::GaveUp {
                    token_count: 0,
                    cause,
                });
            }
            task::sleep(backoff).await;
        }
        let cause = "no router answered".to_owned();
        Err(CallerError::GaveUp {
            token_count: 0,
            cause,
        })
    }
}

/// Key of a new request, and the addresses to try; the first belongs to the home in the key.
#[derive(Debug)]
struct GenerationHome {
    key: String,
    addresses: Vec<String>,
}

impl GenerationHome {
    fn new(entries: &[caller_address::RouterEntry]) -> Option<Self> {
        let home = &entries.first()?.home;
        Some(Self {
            key: key::RequestKey::mint(home).to_string(),
            addresses: entries.iter().map(|entry| entry.address.clone()).collect(),
        })
    }
}
