//! Addresses that a caller knows: the routers it was given, and their newest address answer.

use std::fmt;
use std::time;

use crate::connection::caller_wire;
use crate::connection::http;
use crate::request::key;

/// Outcome of asking for addresses.
pub type Result<T> = std::result::Result<T, AddressError>;

const ADDRESS_LIMITS: http::ExchangeLimits = http::ExchangeLimits {
    connect: time::Duration::from_millis(500),
    head: time::Duration::from_secs(2),
};
const MAX_ANSWER_BYTES: usize = 64 * 1024;
const STATUS_OK: u16 = 200;

/// No router gave addresses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressError {
    /// What the last router did.
    pub cause: String,
}

impl fmt::Display for AddressError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no router gave addresses: {}", self.cause)
    }
}

impl std::error::Error for AddressError {}

/// A router that takes new requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouterEntry {
    /// Host and port.
    pub address: String,
    /// Home name for new keys.
    pub home: key::HomeName,
}

/// An address answer and when it ends.
#[derive(Clone, Debug)]
struct KeptAnswer {
    entries: Vec<RouterEntry>,
    until: time::Instant,
}

/// The addresses that a caller knows.
#[derive(Debug)]
pub struct AddressBook {
    routers: Vec<String>,
    path: String,
    kept: parking_lot::Mutex<Option<KeptAnswer>>,
}

impl AddressBook {
    /// A book that asks `routers`, host and port each, and prefers those in `zone`.
    #[must_use]
    pub fn new(routers: Vec<String>, zone: Option<String>) -> Self {
        let query = zone.map(|zone| format!("?zone={zone}"));
        Self {
            routers,
            path: format!("/v1/addresses{}", query.unwrap_or_default()),
            kept: parking_lot::Mutex::default(),
        }
    }

    /// Routers for a new request in order of preference; asks only when the kept answer has ended.
    ///
    /// # Errors
    /// [`AddressError`] when no router answers.
    pub async fn preferred(&self, now: time::Instant) -> Result<Vec<RouterEntry>> {
        let kept = self.kept.lock().clone();
        if let Some(kept) = kept.filter(|kept| now < kept.until) {
            return Ok(kept.entries);
        }
        let mut cause = "no router was given".to_owned();
        for router in self.all() {
            match ask(&router, &self.path).await {
                Ok(answer) => return Ok(self.keep(now, answer)),
                Err(error) => cause = error.cause,
            }
        }
        Err(AddressError { cause })
    }

    /// Every known address, those of the newest answer first.
    #[must_use]
    pub fn all(&self) -> Vec<String> {
        let kept = self.kept.lock();
        let entries = kept.iter().flat_map(|kept| &kept.entries);
        let mut addresses: Vec<String> = entries.map(|entry| entry.address.clone()).collect();
        for router in &self.routers {
            if !addresses.contains(router) {
                addresses.push(router.clone());
            }
        }
        addresses
    }

    fn keep(&self, now: time::Instant, answer: caller_wire::AddressAnswer) -> Vec<RouterEntry> {
        let entries: Vec<RouterEntry> = answer
            .addresses
            .into_iter()
            .filter_map(|entry| RouterEntry::try_from(entry).ok())
            .collect();
        let until = now + time::Duration::from_millis(answer.keep_ms);
        *self.kept.lock() = Some(KeptAnswer {
            entries: entries.clone(),
            until,
        });
        entries
    }
}

impl TryFrom<caller_wire::RouterAddress> for RouterEntry {
    type Error = key::KeyError;

    fn try_from(wire: caller_wire::RouterAddress) -> key::Result<Self> {
        Ok(Self {
            address: wire.address,
            home: wire.home.parse()?,
        })
    }
}

async fn ask(router: &str, path: &str) -> Result<caller_wire::AddressAnswer> {
    let fail = |cause: String| AddressError { cause };
    let (status, bytes) = http::send_json(
        http_types::Method::Get,
        router,
        path,
        None,
        ADDRESS_LIMITS,
        MAX_ANSWER_BYTES,
    )
    .await
    .map_err(|error| fail(error.to_string()))?;
    if status != STATUS_OK {
        return Err(fail(format!("{router} answered with status {status}")));
    }
    serde_json::from_slice(&bytes).map_err(|error| fail(format!("{router}: {error}")))
}
