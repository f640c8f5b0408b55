//! Idempotency keys: `<router>-<incarnation>.<uuid v7>`, or any other string chosen by the client.

use std::fmt;
use std::str;
use std::time;

/// Result of parsing a key or home name.
pub type Result<T> = std::result::Result<T, KeyError>;

/// Maximum length of a key, in bytes.
pub const MAX_KEY_BYTES: usize = 255;

/// Why a key or home name is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyError {
    /// The key is empty or longer than [`MAX_KEY_BYTES`].
    Length,
    /// The key contains a byte outside visible ASCII.
    Character,
    /// The home name is not `<router>-<incarnation in hexadecimal>`.
    Home,
}

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Length => "idempotency key must be 1 to 255 bytes long",
            Self::Character => "idempotency key must be visible ASCII, for example a UUID",
            Self::Home => "home name must be <router>-<incarnation>, as listed by /v1/addresses",
        })
    }
}

impl std::error::Error for KeyError {}

/// Identifies one incarnation of a router, from process start to exit.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct HomeName {
    /// Router name from the settings: lower-case letters, digits and hyphens.
    pub router: String,
    /// Start time in microseconds since the Unix epoch, increased if necessary to exceed every
    /// incarnation of this router that peers know.
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

/// Idempotency key of a request, with the home name parsed from it, if any.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RequestKey {
    home: Option<HomeName>,
    text: String,
}

impl RequestKey {
    /// Generates a new key whose home is the given router incarnation.
    #[must_use]
    pub fn mint(home: &HomeName) -> Self {
        let text = format!("{home}.{}", uuid::Uuid::now_v7());
        Self {
            home: Some(home.clone()),
            text,
        }
    }

    /// Home named in the key; `None` for a key chosen by the client.
    #[must_use]
    pub fn home(&self) -> Option<&HomeName> {
        self.home.as_ref()
    }

    /// Full text of the key, as sent by the caller.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// Creation time of the key since the Unix epoch; `None` for a key chosen by the client.
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
