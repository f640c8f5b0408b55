//! Readiness of this router to accept and send work.

use std::sync;
use std::sync::atomic;
use std::time;

use crate::connection::service;
use crate::process::pause;
use crate::process::telemetry::timeline;

/// Readiness of one router.
#[derive(Debug)]
pub struct RouterReadiness {
    detector: parking_lot::Mutex<pause::PauseDetector>,
    pause: parking_lot::Mutex<Option<time::Duration>>,
    pause_gate: pause::PauseGate,
    has_version: atomic::AtomicBool,
    is_draining: atomic::AtomicBool,
    is_closed: atomic::AtomicBool,
    closing: parking_lot::Mutex<Option<stop_token::StopSource>>,
    closed: stop_token::StopToken,
}

impl Default for RouterReadiness {
    fn default() -> Self {
        let now = time::Instant::now();
        let micros = timeline::wall_micros();
        let closing = stop_token::StopSource::new();
        let detector = pause::PauseDetector::new(pause::PAUSE_THRESHOLD, now, micros);
        Self {
            detector: parking_lot::Mutex::new(detector),
            pause: parking_lot::Mutex::default(),
            pause_gate: pause::PauseGate::default(),
            has_version: atomic::AtomicBool::default(),
            is_draining: atomic::AtomicBool::default(),
            is_closed: atomic::AtomicBool::default(),
            closed: closing.token(),
            closing: parking_lot::Mutex::new(Some(closing)),
        }
    }
}

impl RouterReadiness {
    /// Records that a configuration version is active.
    pub fn set_version(&self) {
        self.has_version.store(true, atomic::Ordering::SeqCst);
    }

    /// Checks for a pause of the process since the last check and closes the pause gate after one.
    pub fn check_for_pause(&self) {
        let now = time::Instant::now();
        let Some(gap) = self.detector.lock().tick(now, timeline::wall_micros()) else {
            return;
        };
        self.pause_gate.close(now);
        *self.pause.lock() = Some(gap);
    }

    /// Takes the last detected pause, so that each is reported once.
    pub fn take_pause(&self) -> Option<time::Duration> {
        self.pause.lock().take()
    }

    /// Records an exchange that began at `began`; returns true if it reopens the pause gate.
    pub fn record_contact(&self, began: time::Instant) -> bool {
        self.pause_gate.record_contact(began)
    }

    /// Whether the local state is current, with no pause left to catch up from.
    #[must_use]
    pub fn is_caught_up(&self) -> bool {
        self.pause_gate.is_open()
    }

    /// Records that the router is draining.
    pub fn set_draining(&self) {
        self.is_draining.store(true, atomic::Ordering::SeqCst);
    }

    /// Records that no more requests are accepted, and cancels the token of [`Self::closed`].
    pub fn close(&self) {
        self.is_closed.store(true, atomic::Ordering::SeqCst);
        drop(self.closing.lock().take());
    }

    /// Token that is cancelled once no more requests are accepted.
    #[must_use]
    pub fn closed(&self) -> stop_token::StopToken {
        self.closed.clone()
    }

    /// Whether requests may be served.
    #[must_use]
    pub fn may_serve(&self) -> bool {
        self.has_version.load(atomic::Ordering::SeqCst)
            && self.is_caught_up()
            && !self.is_closed.load(atomic::Ordering::SeqCst)
    }

    /// Whether the router may be listed in address answers.
    #[must_use]
    pub fn may_be_listed(&self) -> bool {
        self.may_serve() && !self.is_draining()
    }

    /// Whether the router is draining.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(atomic::Ordering::SeqCst)
    }

    /// State name shown to operators.
    #[must_use]
    pub fn name(&self) -> &'static str {
        if self.is_draining() {
            return "draining";
        }
        if self.may_serve() { "ready" } else { "joining" }
    }
}

impl service::SendGate for RouterReadiness {
    fn may_send(&self) -> bool {
        // The process may have just resumed, before the next periodic check.
        self.check_for_pause();
        self.is_caught_up()
    }

    fn may_start(&self) -> bool {
        !self.is_closed.load(atomic::Ordering::SeqCst)
    }
}

/// Counter of requests in flight.
///
/// A request is counted first and then asks [`service::SendGate::may_start`]; a drain closes the
/// router first and then reads the counter. So the drain sees each request that may start work.
#[derive(Debug, Default)]
pub struct RequestCounter {
    in_flight: sync::Arc<atomic::AtomicU32>,
}

impl RequestCounter {
    /// Counts one request until the guard is dropped.
    #[must_use]
    pub fn enter(&self) -> RequestGuard {
        self.in_flight.fetch_add(1, atomic::Ordering::SeqCst);
        RequestGuard {
            in_flight: sync::Arc::clone(&self.in_flight),
        }
    }

    /// Number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(atomic::Ordering::SeqCst)
    }
}

/// Guard of one request in flight; dropping it decrements the counter.
#[derive(Debug)]
pub struct RequestGuard {
    in_flight: sync::Arc<atomic::AtomicU32>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.in_flight.fetch_sub(1, atomic::Ordering::SeqCst);
    }
}
