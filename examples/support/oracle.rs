//! Token texts that show by themselves to which answer and position they belong.
//!
//! Token 0 spells the random seed of the generation and the model version. Each later token is a
//! function of prompt, version, seed and position. A checker that knows only the prompt can
//! therefore tell a missing, repeated, foreign or mixed token.

use std::fmt;

use xxhash_rust::xxh3;

/// Outcome of checking an answer.
pub type Result<T> = std::result::Result<T, OracleError>;

/// Why an answer is not one whole generation of the prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OracleError {
    /// Token 0 does not spell a seed and a model version.
    FirstToken(String),
    /// A token differs from the only right one at its position.
    WrongToken {
        /// Position in the answer, from 0.
        position: usize,
        /// The right text.
        wanted: String,
        /// The text found.
        found: String,
    },
}

impl fmt::Display for OracleError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::FirstToken(found) => write!(f, "token 0 is {found:?} and spells no seed"),
            Self::WrongToken {
                position,
                wanted,
                found,
            } => write!(f, "token {position} is {found:?}, not {wanted:?}"),
        }
    }
}

impl std::error::Error for OracleError {}

/// Knows every token of one generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenOracle {
    seed: u64,
    version: String,
    base: u64,
}

impl TokenOracle {
    /// The oracle of a generation with the given random `seed`.
    pub fn new(prompt: &str, version: &str, seed: u64) -> Self {
        let base = xxh3::xxh3_64_with_seed(prompt.as_bytes(), seed);
        Self {
            seed,
            version: version.to_owned(),
            base: xxh3::xxh3_64_with_seed(version.as_bytes(), base),
        }
    }

    /// The oracle of the generation whose token 0 is `first`, computed by model `version`.
    ///
    /// With `None` the version is the one that `first` spells.
    ///
    /// # Errors
    /// [`OracleError::FirstToken`] when `first` spells no seed.
    pub fn from_first(prompt: &str, first: &str, version: Option<&str>) -> Result<Self> {
        let fail = || OracleError::FirstToken(first.to_owned());
        let spelt = first.strip_prefix('s').ok_or_else(fail)?;
        let (seed, spelt_version) = spelt.split_once('@').ok_or_else(fail)?;
        let seed = u64::from_str_radix(seed, 16).map_err(|_error| fail())?;
        Ok(Self::new(prompt, version.unwrap_or(spelt_version), seed))
    }

    /// Text of the token at `position`.
    pub fn token(&self, position: usize) -> String {
        if position == 0 {
            return format!("s{:016x}@{}", self.seed, self.version);
        }
        let hash = xxh3::xxh3_64_with_seed(&position.to_le_bytes(), self.base);
        format!(" t{position}-{:08x}", hash >> 32)
    }

    /// Checks that `tokens` are the first tokens of one generation of `prompt`.
    ///
    /// # Errors
    /// [`OracleError`] that names the first wrong token.
    pub fn check<S: AsRef<str>>(prompt: &str, tokens: &[S]) -> Result<()> {
        let Some(first) = tokens.first() else {
            return Ok(());
        };
        let oracle = Self::from_first(prompt, first.as_ref(), None)?;
        for (position, found) in tokens.iter().enumerate() {
            let wanted = oracle.token(position);
            if wanted != found.as_ref() {
                return Err(OracleError::WrongToken {
                    position,
                    wanted,
                    found: found.as_ref().to_owned(),
                });
            }
        }
        Ok(())
    }
}
