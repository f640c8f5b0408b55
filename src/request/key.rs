//! Idempotency keys: `<router>-<incarnation>.<uuid v7>`, or any other string of a client's own.

use std::fmt;
use std::str;
use std::time;

/// Outcome of parsing a key.
pub type Result<T> = std::result::Result<T, KeyError>;

/// Longest accepted key, in bytes.
pub const MAX_KEY_BYTES: usize = 255;

/// Why a key was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyError {
    /// The key is empty or longer than [`MAX_KEY_BYTES`].
    Length,
    /// The key holds a byte outside visible ASCII.
    Character,
    /// The home name is not `<router>-<incarnation in hexadecimal>`.
    Home,
}

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Length => "idempotency key must have 1 to 255 bytes; shorten it",
            Self::Character => "idempotency key must be visible ASCII; use a UUID instead",
            Self::Home => "home name must be <router>-<incarnation>; take it from /v1/addresses",
        })
    }
}

impl std::error::Error for KeyError {}

/// One life of one router: its name and the incarnation made at its start.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct HomeName {
    /// Router name from its settings: lower-case letters, digits and hyphens.
    pub router: String,
    /// Microseconds since the Unix epoch at the start, raised past any that peers know.
    pub incarnation: u64,
}

impl fmt::Display for HomeName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}", self.router, self.incarnation)
    }
}

impl str::FromStr for HomeName {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self> {
        let (router, incarnation) = text.rsplit_once('-').ok_or(KeyError::Home)?;
        if router.is_empty() {
            return Err(KeyError::Home);
        }
        let incarnation = u64::from_str_radix(incarnation, 16).or(Err(KeyError::Home))?;
        Ok(Self {
            router: router.to_owned(),
            incarnation,
        })
    }
}

/// Idempotency key of one request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RequestKey {
    home: Option<HomeName>,
    text: String,
}

impl RequestKey {
    /// A new key whose home is the given router.
    #[must_use]
    pub fn mint(home: &HomeName) -> Self {
        let text = format!("{home}.{}", uuid::Uuid::now_v7());
        Self {
            home: Some(home.clone()),
            text,
        }
    }

    /// The home named in the key; `None` for a client's own key.
    #[must_use]
    pub fn home(&self) -> Option<&HomeName> {
        self.home.as_ref()
    }

    /// The whole key as sent by the caller.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// When the key was made, as time since the Unix epoch; `None` for a client's own key.
    #[must_use]
    pub fn made_at(&self) -> Option<time::Duration> {
        self.home.as_ref()?;
        let (_, id) = self.text.rsplit_once('.')?;
        let (seconds, nanos) = uuid::Uuid::parse_str(id).ok()?.get_timestamp()?.to_unix();
        Some(time::Duration::new(seconds, nanos))
    }
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

impl str::FromStr for RequestKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self> {
        if text.is_empty() || text.len() > MAX_KEY_BYTES {
            return Err(KeyError::Length);
        }
        if !text.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(KeyError::Character);
        }
        Ok(Self {
            home: parse_home(text),
            text: text.to_owned(),
        })
    }
}

fn parse_home(text: &str) -> Option<HomeName> {
    let (home, id) = text.rsplit_once('.')?;
    let id = uuid::Uuid::parse_str(id).ok()?;
    if id.get_version_num() != 7 {
        return None;
    }
    home.parse().ok()
}
