//! What this router measured of the calls of each service, and the requests that wait here.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use crate::request::relay::{call_wait, retry_delay};

/// Durations and ends of calls, by service.
#[derive(Debug, Default)]
pub struct ServiceLoads {
    services: parking_lot::Mutex<collections::HashMap<String, ServiceLoad>>,
    /// Calls that wait now, for all services.
    pub calls: WaitCounter,
    /// Prompts that search further engines now, at services with several priorities.
    pub prompts: WaitCounter,
}

/// Number of requests that wait at this router.
#[derive(Clone, Debug, Default)]
pub struct WaitCounter(sync::Arc<atomic::AtomicUsize>);

impl WaitCounter {
    /// Requests that wait now.
    #[must_use]
    pub fn count(&self) -> usize {
        self.0.load(atomic::Ordering::Relaxed)
    }

    /// Counts a request as waiting until the result is dropped.
    #[must_use]
    pub fn start(&self) -> WaitGuard {
        self.0.fetch_add(1, atomic::Ordering::Relaxed);
        WaitGuard(sync::Arc::clone(&self.0))
    }
}

#[derive(Debug, Default)]
struct ServiceLoad {
    /// From sending an attempt to its complete response.
    durations: call_wait::RecentDurations,
    recent: retry_delay::RecentCalls,
}

/// Counts a request as waiting until it is dropped.
#[derive(Debug)]
pub struct WaitGuard(sync::Arc<atomic::AtomicUsize>);

impl Drop for WaitGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

impl ServiceLoads {
    /// Records a call that an endpoint of `service` answered within `duration`.
    pub fn record_answer(&self, service: &str, duration: time::Duration, now: time::Instant) {
        let mut services = self.services.lock();
        let load = services.entry(service.to_owned()).or_default();
        load.durations.record(duration);
        load.recent.record(false, now);
    }

    /// Records a call that is refused as endpoints of `service` are full; returns the calls of the
    /// last second with it.
    pub fn record_refusal(&self, service: &str, now: time::Instant) -> retry_delay::CallCount {
        let mut services = self.services.lock();
        let load = services.entry(service.to_owned()).or_default();
        load.recent.record(true, now);
        load.recent.count(now)
    }

    /// Usual duration of a call of `service`; `None` before the first answer.
    #[must_use]
    pub fn usual_duration(&self, service: &str) -> Option<time::Duration> {
        self.services.lock().get(service)?.durations.longest()
    }
}
