//! Router addresses of a caller: the configured ones, and the cached answer of `/v1/addresses`.

use std::fmt;
use std::time;

use crate::connection::caller_wire;
use crate::connection::http;
use crate::request::key;

/// Result of an address request.
pub type Result<T> = std::result::Result<T, AddressError>;

const ADDRESS_TIMEOUTS: http::ExchangeLimits = http::ExchangeLimits {
    connect: time::Duration::from_millis(500),
    head: time::Duration::from_secs(2),
};
const MAX_ANSWER_BYTES: usize = 64 * 1024;
const STATUS_OK: u16 = 200;

/// Every known router failed to return addresses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressError {
    /// Failure of the last router that was asked.
    pub cause: String,
}

impl fmt::Display for AddressError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no router returned addresses: {}", self.cause)
    }
}

impl std::error::Error for AddressError {}

/// A router that accepts new requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouterEntry {
    /// Host and port.
    pub address: String,
    /// Home name to put into new request keys.
    pub home: key::HomeName,
}

/// Cached routers and when they expire.
#[derive(Clone, Debug)]
struct CachedAnswer {
    entries: Vec<RouterEntry>,
    expires_at: time::Instant,
}

/// Configured router addresses and the cached address answer.
#[derive(Debug)]
pub struct AddressBook {
    routers: Vec<String>,
    path: String,
    cached: parking_lot::Mutex<Option<CachedAnswer>>,
}

impl AddressBook {
    /// Creates a book that asks `routers` (host and port each) and prefers routers in `zone`.
    #[must_use]
    pub fn new(routers: Vec<String>, zone: Option<String>) -> Self {
        let query = zone.map(|zone| format!("?zone={zone}"));
        Self {
            routers,
            path: format!("/v1/addresses{}", query.unwrap_or_default()),
            cached: parking_lot::Mutex::default(),
        }
    }

    /// Routers for a new request, in order of preference; sends a request only if the cached
    /// answer has expired.
    ///
    /// # Errors
    /// [`AddressError`] if no router returns addresses.
    pub async fn preferred(&self, now: time::Instant) -> Result<Vec<RouterEntry>> {
        let cached = self.cached.lock().clone();
        if let Some(cached) = cached.filter(|cached| now < cached.expires_at) {
            return Ok(cached.entries);
        }
        let mut cause = "no router is configured".to_owned();
        for router in self.all() {
            match request_addresses(&router, &self.path).await {
                Ok(answer) => return Ok(self.cache(now, answer)),
                Err(error) => cause = error.cause,
            }
        }
        Err(AddressError { cause })
    }

    /// Every known address, those of the cached answer first, even if it has expired.
    #[must_use]
    pub fn all(&self) -> Vec<String> {
        let cached = self.cached.lock();
        let entries = cached.iter().flat_map(|cached| &cached.entries);
        let mut addresses: Vec<String> = entries.map(|entry| entry.address.clone()).collect();
        for router in &self.routers {
            if !addresses.contains(router) {
                addresses.push(router.clone());
            }
        }
        addresses
    }

    fn cache(&self, now: time::Instant, answer: caller_wire::AddressAnswer) -> Vec<RouterEntry> {
        let entries: Vec<RouterEntry> = answer
            .addresses
            .into_iter()
            .filter_map(|entry| RouterEntry::try_from(entry).ok())
            .collect();
        let expires_at = now + time::Duration::from_millis(answer.keep_ms);
        *self.cached.lock() = Some(CachedAnswer {
            entries: entries.clone(),
            expires_at,
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

async fn request_addresses(router: &str, path: &str) -> Result<caller_wire::AddressAnswer> {
    let fail = |cause: String| AddressError { cause };
    let (status, bytes) = http::send_json(
        http_types::Method::Get,
        router,
        path,
        None,
        ADDRESS_TIMEOUTS,
        MAX_ANSWER_BYTES,
    )
    .await
    .map_err(|error| fail(error.to_string()))?;
    if status != STATUS_OK {
        return Err(fail(format!("{router} answered with status {status}")));
    }
    serde_json::from_slice(&bytes).map_err(|error| fail(format!("{router}: {error}")))
}
