//! A caller that goes on: streams an answer and continues it at another router after a loss.

use std::fmt;
use std::time;

use async_std::task;

use crate::connection::caller_address;
use crate::connection::caller_retry;
use crate::connection::caller_run;
use crate::request::key;
use crate::request::verdict;

/// Outcome of a generation.
pub type Result<T> = std::result::Result<T, CallerError>;

/// Silence after which a stream counts as dead; routers send a comment each second.
pub const DEFAULT_IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Time without a new token after which the caller gives up.
pub const DEFAULT_DEADLINE: time::Duration = time::Duration::from_secs(30);

/// How a caller reaches the system.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// Routers to ask for addresses, host and port.
    pub routers: Vec<String>,
    /// Availability zone to prefer; none prefers no zone.
    pub zone: Option<String>,
    /// Bearer key of the workspace.
    pub bearer: String,
    /// Time without a new token after which the caller gives up.
    pub deadline: time::Duration,
    /// Silence after which a stream counts as dead.
    pub idle_timeout: time::Duration,
}

/// What to generate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GenerationRequest {
    /// Model name.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Tokens of the answer at most.
    pub max_tokens: u32,
}

/// Something that happened to a generation, as its caller sees it.
#[derive(Clone, Debug)]
pub struct CallerEvent {
    /// When.
    pub at: time::Instant,
    /// What.
    pub kind: CallerEventKind,
}

/// What happened to a generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerEventKind {
    /// A router streams the answer.
    Connected {
        /// Its address, host and port.
        address: String,
        /// Tokens held at that time.
        token_count: usize,
    },
    /// One token.
    Token {
        /// Position in the answer, from 0.
        index: usize,
        /// The token's text.
        text: String,
    },
    /// The answer begins again; earlier tokens no longer count.
    Restarted {
        /// Why it could not go on.
        reason: String,
    },
    /// A connection gives no more of the answer.
    Lost {
        /// Address of the router, host and port.
        address: String,
        /// What was seen.
        cause: String,
    },
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct CallerAnswer {
    /// Key of the request.
    pub key: String,
    /// The tokens.
    pub tokens: Vec<String>,
    /// `stop` or `length`.
    pub finish_reason: String,
    /// Times that the answer went on at another connection.
    pub resumes: u32,
    /// Times that the answer began again.
    pub restarts: u32,
    /// Longest times between two tokens, the longest first.
    pub longest_gaps: Vec<time::Duration>,
}

/// Why there is no whole answer.
#[derive(Clone, Debug)]
pub enum CallerError {
    /// The system refused the request.
    Refused(verdict::RequestRefusal),
    /// No router brought the answer on within the deadline.
    GaveUp {
        /// Tokens held.
        token_count: usize,
        /// What was seen last.
        cause: String,
    },
}

impl fmt::Display for CallerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(refusal) => refusal.fmt(f),
            Self::GaveUp { token_count, cause } => write!(
                f,
                "no router brought the answer on after {token_count} tokens: {cause}; \
                 look at `kumquatpulley status`"
            ),
        }
    }
}

impl std::error::Error for CallerError {}

/// Streams answers and goes on after losses.
#[derive(Debug)]
pub struct CallerClient {
    settings: CallerSettings,
    addresses: caller_address::AddressBook,
}

impl CallerClient {
    /// A caller with the given settings.
    #[must_use]
    pub fn new(settings: CallerSettings) -> Self {
        let addresses =
            caller_address::AddressBook::new(settings.routers.clone(), settings.zone.clone());
        Self {
            settings,
            addresses,
        }
    }

    /// Generates a whole answer; `observe` is told of every event as it happens.
    ///
    /// # Errors
    /// [`CallerError`] when there is no whole answer; tokens that were observed are not one.
    pub async fn generate(
        &self,
        request: &GenerationRequest,
        observe: &mut (dyn FnMut(CallerEvent) + Send),
    ) -> Result<CallerAnswer> {
        let home = self.find_home().await?;
        let run = caller_run::GenerationRun::new(&self.settings, request, home.key, observe);
        run.drive(home.addresses, &self.addresses).await
    }

    /// Asks for addresses until a router answers, and makes a key with the first one's home.
    async fn find_home(&self) -> Result<GenerationHome> {
        let started = time::Instant::now();
        let mut random = fastrand::Rng::new();
        for failures in 1..=caller_retry::MAX_FRUITLESS_TRIES {
            let cause = match self.addresses.preferred(time::Instant::now()).await {
                Ok(entries) => match GenerationHome::new(&entries) {
                    Some(home) => return Ok(home),
                    None => "address answer holds no home name".to_owned(),
                },
                Err(error) => error.to_string(),
            };
            let pause = caller_retry::pause(failures, None, &mut random);
            if started.elapsed() + pause > self.settings.deadline {
                return Err(CallerError::GaveUp {
                    token_count: 0,
                    cause,
                });
            }
            task::sleep(pause).await;
        }
        let cause = "no router answered".to_owned();
        Err(CallerError::GaveUp {
            token_count: 0,
            cause,
        })
    }
}

/// Key of a new request and the addresses to send it to, its home's first.
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
