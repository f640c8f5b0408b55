//! Leases stored in the table service, each with a fencing number that grows with every new holder.
//!
//! Clocks of different routers are never compared. The holder measures the lease from when it sent
//! the write that acquired or renewed it. Other routers measure from when they first saw that
//! write, which is later, and wait an extra margin. So the holder always stops first, even if it
//! was paused or its renewal was lost.

use std::time;

use crate::connection::platform;
use crate::connection::platform_wire;

/// Duration of a lease, from when the write that acquired or renewed it was sent.
pub const LEASE_DURATION: time::Duration = time::Duration::from_secs(10);

/// Time after which the holder renews; early enough for two more attempts.
pub const RENEW_AFTER: time::Duration = time::Duration::from_secs(3);

/// Extra time that other routers wait before a takeover, because clock rates differ.
pub const TAKEOVER_MARGIN: time::Duration = time::Duration::from_secs(1);

/// Interval between reads of a lease that another router holds.
pub const POLL_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// Delay after a failed call to the table service.
pub const FAILURE_BACKOFF: time::Duration = time::Duration::from_secs(1);

/// Key of the row that stores the lease `name`.
#[must_use]
pub fn lease_row(name: &str) -> String {
    format!("leases/{name}")
}

/// JSON value of a lease row.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
struct LeaseWire {
    holder: String,
    fence: u64,
    /// Unique per write; identifies the write that stored this value.
    nonce: String,
    /// Whether the holder released the lease.
    released: bool,
}

/// Next action for a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Read the row and pass it to [`LeaseState::on_read`].
    Read,
    /// Write the row and pass the outcome to [`LeaseState::on_write`].
    Write(platform_wire::RowWrite),
    /// Call [`LeaseState::next`] again after this time.
    Wait(time::Duration),
}

/// State machine for one lease at one router; the caller performs the steps.
#[derive(Clone, Debug)]
pub struct LeaseState {
    name: String,
    router: String,
    observed: Option<ObservedRow>,
    held: Option<HeldLease>,
    pending: Option<PendingWrite>,
    backoff_until: Option<time::Instant>,
}

/// The row as last read or written.
#[derive(Clone, Debug)]
struct ObservedRow {
    /// Version of the row; 0 if there is no row.
    version: u64,
    value: Option<LeaseWire>,
    /// When this router first saw this version.
    first_seen: time::Instant,
    /// When this router last read or wrote the row.
    last_seen: time::Instant,
}

#[derive(Clone, Copy, Debug)]
struct HeldLease {
    fence: u64,
    /// When the write that acquired or renewed the lease was sent.
    sent_at: time::Instant,
}

/// A write whose outcome is unknown.
#[derive(Clone, Debug)]
struct PendingWrite {
    value: LeaseWire,
    sent_at: time::Instant,
}

impl LeaseState {
    /// Creates the state of the lease `name` at `router`, before the first read.
    #[must_use]
    pub fn new(name: impl Into<String>, router: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            router: router.into(),
            observed: None,
            held: None,
            pending: None,
            backoff_until: None,
        }
    }

    /// Whether this router holds the lease at `now`; check it right before each protected action.
    #[must_use]
    pub fn may_act(&self, now: time::Instant) -> bool {
        self.fence(now).is_some()
    }

    /// Fencing number for an action at `now`; `None` if the lease is not held.
    #[must_use]
    pub fn fence(&self, now: time::Instant) -> Option<u64> {
        let held = self
            .held
            .filter(|held| now < held.sent_at + LEASE_DURATION)?;
        Some(held.fence)
    }

    /// The next step. `is_wanted` tells whether this router should hold the lease, and `nonce` must
    /// be unique for each call.
    pub fn next(&mut self, now: time::Instant, is_wanted: bool, nonce: &str) -> LeaseStep {
        if let Some(until) = self.backoff_until.filter(|until| now < *until) {
            return LeaseStep::Wait(until - now);
        }
        if self.fence(now).is_none() {
            self.held = None;
        }
        if self.pending.is_some() {
            return LeaseStep::Read;
        }
        let Some(observed) = self.observed.clone() else {
            return step_if_wanted(is_wanted, LeaseStep::Read);
        };
        if let Some(held) = self.held {
            return self.next_as_holder(now, is_wanted, nonce, held, &observed);
        }
        if !is_wanted {
            return LeaseStep::Wait(POLL_INTERVAL);
        }
        self.next_as_standby(now, nonce, &observed)
    }

    fn next_as_holder(
        &mut self,
        now: time::Instant,
        is_wanted: bool,
        nonce: &str,
        held: HeldLease,
        observed: &ObservedRow,
    ) -> LeaseStep {
        if !is_wanted {
            // Give up the lease locally before the release is sent.
            self.held = None;
            return self.write(now, held.fence, nonce, true, observed.version);
        }
        let renew_at = held.sent_at + RENEW_AFTER;
        if now < renew_at {
            return LeaseStep::Wait(renew_at - now);
        }
        self.write(now, held.fence, nonce, false, observed.version)
    }

    fn next_as_standby(
        &mut self,
        now: time::Instant,
        nonce: &str,
        observed: &ObservedRow,
    ) -> LeaseStep {
        let next_read = observed.last_seen + POLL_INTERVAL;
        if now >= next_read {
            return LeaseStep::Read;
        }
        let free_at = observed.first_seen + LEASE_DURATION + TAKEOVER_MARGIN;
        let is_free = observed.value.as_ref().is_none_or(|value| value.released);
        if !is_free && now < free_at {
            return LeaseStep::Wait(next_read.min(free_at) - now);
        }
        let fence = observed.value.as_ref().map_or(0, |value| value.fence) + 1;
        self.write(now, fence, nonce, false, observed.version)
    }

    fn write(
        &mut self,
        now: time::Instant,
        fence: u64,
        nonce: &str,
        released: bool,
        if_version: u64,
    ) -> LeaseStep {
        let value = LeaseWire {
            holder: self.router.clone(),
            fence,
            nonce: nonce.to_owned(),
            released,
        };
        let Ok(text) = serde_json::to_string(&value) else {
            return LeaseStep::Wait(FAILURE_BACKOFF);
        };
        self.pending = Some(PendingWrite {
            value,
            sent_at: now,
        });
        LeaseStep::Write(platform_wire::RowWrite {
            key: lease_row(&self.name),
            if_version: Some(if_version),
            value: Some(text),
        })
    }

    /// Processes the result of a read, which also shows whether a pending write was applied.
    pub fn on_read(
        &mut self,
        now: time::Instant,
        answer: &platform::Result<Option<platform_wire::TableRow>>,
    ) {
        let Ok(row) = answer else {
            self.backoff_until = Some(now + FAILURE_BACKOFF);
            return;
        };
        self.observe(now, row.as_ref());
        let Some(pending) = self.pending.take() else {
            return;
        };
        let value = self
            .observed
            .as_ref()
            .and_then(|observed| observed.value.as_ref());
        if value.is_some_and(|value| value.nonce == pending.value.nonce) {
            self.apply_write(&pending);
        }
    }

    /// Processes the result of a write.
    pub fn on_write(
        &mut self,
        now: time::Instant,
        outcome: &platform::Result<platform::WriteOutcome>,
    ) {
        match outcome {
            Ok(platform::WriteOutcome::Applied(versions)) => {
                let Some(pending) = self.pending.take() else {
                    return;
                };
                self.observed = Some(ObservedRow {
                    version: versions.first().copied().unwrap_or_default(),
                    value: Some(pending.value.clone()),
                    first_seen: now,
                    last_seen: now,
                });
                self.apply_write(&pending);
            }
            Ok(platform::WriteOutcome::Conflict(rows)) => {
                self.pending = None;
                self.held = None;
                let row = rows.first().and_then(Option::as_ref);
                self.observe(now, row);
            }
            Err(platform::PlatformError::Unreachable(_message)) => {
                self.pending = None;
                self.backoff_until = Some(now + FAILURE_BACKOFF);
            }
            // The write stays pending until the next read shows whether it was applied.
            Err(platform::PlatformError::Unknown(_message)) => {}
        }
    }

    /// Starts the lease at the time the write was sent, not when its outcome became known.
    fn apply_write(&mut self, pending: &PendingWrite) {
        if pending.value.released {
            return;
        }
        self.held = Some(HeldLease {
            fence: pending.value.fence,
            sent_at: pending.sent_at,
        });
    }

    fn observe(&mut self, now: time::Instant, row: Option<&platform_wire::TableRow>) {
        let version = row.map_or(0, |row| row.version);
        if let Some(observed) = self
            .observed
            .as_mut()
            .filter(|observed| observed.version == version)
        {
            observed.last_seen = now;
            return;
        }
        // The row has a new version, so another router may hold the lease.
        self.held = None;
        // An unparsable row counts as held and expires like any other.
        let value = row.map(|row| {
            serde_json::from_str(&row.value).unwrap_or_else(|_error| LeaseWire {
                holder: String::new(),
                fence: row.version,
                nonce: String::new(),
                released: false,
            })
        });
        self.observed = Some(ObservedRow {
            version,
            value,
            first_seen: now,
            last_seen: now,
        });
    }
}

fn step_if_wanted(is_wanted: bool, step: LeaseStep) -> LeaseStep {
    if is_wanted {
        return step;
    }
    LeaseStep::Wait(POLL_INTERVAL)
}
