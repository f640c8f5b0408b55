//! Whether this router may take and send work.

use std::sync::atomic;

use crate::connection::service;

/// Readiness of one router.
#[derive(Debug, Default)]
pub struct RouterReadiness {
    has_version: atomic::AtomicBool,
    is_behind: atomic::AtomicBool,
    is_draining: atomic::AtomicBool,
    is_closed: atomic::AtomicBool,
}

impl RouterReadiness {
    /// Takes note that a configuration version is in force.
    pub fn set_version(&self) {
        self.has_version.store(true, atomic::Ordering::SeqCst);
    }

    /// Takes note that the process was paused and has not caught up yet, or has.
    pub fn set_behind(&self, is_behind: bool) {
        self.is_behind.store(is_behind, atomic::Ordering::SeqCst);
    }

    /// Takes note that the router is leaving.
    pub fn set_draining(&self) {
        self.is_draining.store(true, atomic::Ordering::SeqCst);
    }

    /// Takes note that no request is accepted any more.
    pub fn close(&self) {
        self.is_closed.store(true, atomic::Ordering::SeqCst);
    }

    /// Whether requests are served.
    #[must_use]
    pub fn may_serve(&self) -> bool {
        self.has_version.load(atomic::Ordering::SeqCst)
            && !self.is_behind.load(atomic::Ordering::SeqCst)
            && !self.is_closed.load(atomic::Ordering::SeqCst)
    }

    /// Whether the router may be named to callers.
    #[must_use]
    pub fn may_be_named(&self) -> bool {
        self.may_serve() && !self.is_draining()
    }

    /// Whether the router is leaving.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(atomic::Ordering::SeqCst)
    }

    /// The state's name for operators.
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
        !self.is_behind.load(atomic::Ordering::SeqCst)
    }
}

/// Number of calls that run.
#[derive(Debug, Default)]
pub struct CallCounter {
    running: atomic::AtomicU32,
}

impl CallCounter {
    /// Counts one call until the guard is dropped.
    pub fn enter(&self) -> CallGuard<'_> {
        self.running.fetch_add(1, atomic::Ordering::SeqCst);
        CallGuard { counter: self }
    }

    /// Calls that run now.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running.load(atomic::Ordering::SeqCst)
    }
}

/// One running call.
#[derive(Debug)]
pub struct CallGuard<'a> {
    counter: &'a CallCounter,
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.counter.running.fetch_sub(1, atomic::Ordering::SeqCst);
    }
}
