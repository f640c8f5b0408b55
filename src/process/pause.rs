//! Detection of pauses of this process, and a gate against acting on stale state after one.

use std::fmt;
use std::sync::atomic;
use std::time;

use async_std::task;
use stop_token::future::FutureExt as _;

use crate::process::telemetry::timeline;

/// Interval between two ticks of the detector.
pub const TICK_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Minimum gap between two ticks that counts as a pause.
pub const PAUSE_THRESHOLD: time::Duration = time::Duration::from_millis(700);

/// Detects pauses as gaps between ticks.
///
/// The detector compares both clocks, because the monotonic clock stops on some VMs while they are
/// suspended. A forward step of the wall clock is mistaken for a pause, which costs one exchange.
#[derive(Clone, Copy, Debug)]
pub struct PauseDetector {
    threshold: time::Duration,
    last_tick: time::Instant,
    last_micros: u64,
}

impl PauseDetector {
    /// Creates a detector whose previous tick was at `now` on the monotonic clock and at `micros`,
    /// microseconds since the Unix epoch, on the wall clock.
    #[must_use]
    pub const fn new(threshold: time::Duration, now: time::Instant, micros: u64) -> Self {
        Self {
            threshold,
            last_tick: now,
            last_micros: micros,
        }
    }

    /// Records a tick and returns the length of the pause before it, if there was one.
    pub fn tick(&mut self, now: time::Instant, micros: u64) -> Option<time::Duration> {
        let monotonic = now.saturating_duration_since(self.last_tick);
        let wall = time::Duration::from_micros(micros.saturating_sub(self.last_micros));
        self.last_tick = now;
        self.last_micros = micros;
        let gap = monotonic.max(wall);
        (gap >= self.threshold).then_some(gap)
    }
}

/// Receives a notification of each pause.
pub trait PauseListener: fmt::Debug + Send + Sync {
    /// Called when the process runs again after a pause of length `gap`.
    fn on_pause(&self, gap: time::Duration);
}

/// Runs a detector until `token` stops it, and notifies `listener` of each pause.
pub async fn run(
    threshold: time::Duration,
    listener: std::sync::Arc<dyn PauseListener>,
    token: stop_token::StopToken,
) {
    let now = time::Instant::now();
    let mut detector = PauseDetector::new(threshold, now, timeline::wall_micros());
    while task::sleep(TICK_INTERVAL)
        .timeout_at(token.clone())
        .await
        .is_ok()
    {
        if let Some(gap) = detector.tick(time::Instant::now(), timeline::wall_micros()) {
            listener.on_pause(gap);
        }
    }
}

/// Gate that is closed from a pause until the success of an exchange, with a peer or the table
/// service, that began after the pause.
#[derive(Debug, Default)]
pub struct PauseGate {
    closed_at: parking_lot::Mutex<Option<time::Instant>>,
    pauses: atomic::AtomicU64,
}

impl PauseGate {
    /// Closes the gate because of a pause that ended at `now`.
    pub fn close(&self, now: time::Instant) {
        *self.closed_at.lock() = Some(now);
        self.pauses.fetch_add(1, atomic::Ordering::Relaxed);
    }

    /// Records an exchange that succeeded; returns `true` if it opened the gate.
    ///
    /// An exchange that began before the gate was closed does not open it, because its reply may
    /// be as old as the pause.
    pub fn record_contact(&self, began: time::Instant) -> bool {
        let mut closed_at = self.closed_at.lock();
        if closed_at.is_none_or(|closed_at| began < closed_at) {
            return false;
        }
        *closed_at = None;
        true
    }

    /// Whether the router may accept callers and send waiting calls and orders.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.closed_at.lock().is_none()
    }

    /// Number of pauses since startup.
    #[must_use]
    pub fn pauses(&self) -> u64 {
        self.pauses.load(atomic::Ordering::Relaxed)
    }
}
