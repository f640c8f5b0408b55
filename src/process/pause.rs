//! Notices that this process was paused, and keeps it from acting on what it knew before.

use std::fmt;
use std::sync::atomic;
use std::time;

use async_std::task;
use stop_token::future::FutureExt as _;

use crate::process::telemetry::timeline;

/// Time between two ticks of the detector.
pub const TICK_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Time between two ticks from which on the process counts as paused.
pub const PAUSE_THRESHOLD: time::Duration = time::Duration::from_millis(700);

/// Finds gaps between ticks.
///
/// The wall clock is watched beside the monotonic one, which stands still on some VMs while they are
/// suspended. A wall clock that is set forward looks like a pause; that costs one exchange.
#[derive(Clone, Copy, Debug)]
pub struct PauseDetector {
    threshold: time::Duration,
    last_tick: time::Instant,
    last_micros: u64,
}

impl PauseDetector {
    /// A detector that starts now: `now` on the monotonic clock, `micros` since the Unix epoch.
    #[must_use]
    pub const fn new(threshold: time::Duration, now: time::Instant, micros: u64) -> Self {
        Self {
            threshold,
            last_tick: now,
            last_micros: micros,
        }
    }

    /// Takes a tick; gives the length of the pause before it, if there was one.
    pub fn tick(&mut self, now: time::Instant, micros: u64) -> Option<time::Duration> {
        let monotonic = now.saturating_duration_since(self.last_tick);
        let wall = time::Duration::from_micros(micros.saturating_sub(self.last_micros));
        self.last_tick = now;
        self.last_micros = micros;
        let gap = monotonic.max(wall);
        (gap >= self.threshold).then_some(gap)
    }
}

/// Is told of each pause.
pub trait PauseListener: fmt::Debug + Send + Sync {
    /// The process ran again after a pause of this length.
    fn on_pause(&self, gap: time::Duration);
}

/// Ticks until `token` stops it, and tells `listener` of each pause.
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

/// Closed from a pause until one exchange with a peer or the table service that began after it.
#[derive(Debug, Default)]
pub struct PauseGate {
    closed_at: parking_lot::Mutex<Option<time::Instant>>,
    pauses: atomic::AtomicU64,
}

impl PauseGate {
    /// Closes the gate at `now`.
    pub fn close(&self, now: time::Instant) {
        *self.closed_at.lock() = Some(now);
        self.pauses.fetch_add(1, atomic::Ordering::Relaxed);
    }

    /// Opens the gate if an exchange that succeeded began after it was closed; `true` when it did.
    ///
    /// What was asked before the pause may be answered by a reply as old as the pause.
    pub fn record_contact(&self, began: time::Instant) -> bool {
        let mut closed_at = self.closed_at.lock();
        if closed_at.is_none_or(|closed_at| began < closed_at) {
            return false;
        }
        *closed_at = None;
        true
    }

    /// Whether the router may take callers and send calls and orders that waited.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.closed_at.lock().is_none()
    }

    /// Pauses so far.
    #[must_use]
    pub fn pauses(&self) -> u64 {
        self.pauses.load(atomic::Ordering::Relaxed)
    }
}
