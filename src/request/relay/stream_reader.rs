//! Reads an engine's stream and detects when it stalls.

use std::sync;
use std::time;

use async_std::future;
use async_std::task;
use futures::future as futures_future;
use futures::future::Either;

use crate::connection::h1::{body, head};
use crate::request::relay::{attempt, dialect, events, report, stall, stream_loss};

/// Time in which the reset of a stream follows the refusal of a new connection.
const RESET_TIME: time::Duration = time::Duration::from_millis(20);

/// Reads one engine's stream and detects stalls.
pub(super) struct StreamReader<'a> {
    pub(super) open: attempt::OpenAttempt,
    address: std::net::SocketAddr,
    dialect: sync::Arc<dyn dialect::RequestDialect>,
    request: &'a str,
    tracker: report::RunTracker,
    /// When the last event arrived, or the request was sent. Other bytes do not count, so an
    /// engine that only sends keep-alives is detected as stalled.
    last_event_at: time::Instant,
    /// When the engine was last known to be alive.
    last_alive_at: time::Instant,
}

impl<'a> StreamReader<'a> {
    pub(super) fn new(
        open: attempt::OpenAttempt,
        address: std::net::SocketAddr,
        dialect: &sync::Arc<dyn dialect::RequestDialect>,
        request: &'a str,
    ) -> Self {
        let now = time::Instant::now();
        Self {
            open,
            address,
            dialect: sync::Arc::clone(dialect),
            request,
            tracker: report::RunTracker::default(),
            last_event_at: now,
            last_alive_at: now,
        }
    }

    /// Records that an event arrived.
    pub(super) fn record_event(&mut self) {
        self.last_event_at = time::Instant::now();
        self.last_alive_at = self.last_event_at;
    }

    /// Excludes `time`, during which nothing was read, from the engine's idle time.
    pub(super) fn exclude_time(&mut self, time: time::Duration) {
        self.last_event_at += time;
        self.last_alive_at += time;
    }

    /// Time since the last event.
    pub(super) fn idle_time(&self) -> time::Duration {
        self.last_event_at.elapsed()
    }

    /// Reads the head.
    ///
    /// # Errors
    /// Why the stream counts as lost.
    pub(super) async fn first_head(
        &mut self,
        limits: stall::StallLimits,
    ) -> stream_loss::Result<head::ResponseHead> {
        let reading = Box::pin(self.open.head());
        if !limits.may_abandon() {
            return Ok(reading.await?);
        }
        let probe = LivenessProbe {
            address: self.address,
            dialect: self.dialect.as_ref(),
            request: self.request,
            timeout: limits.probe_timeout,
            is_silence_loss: limits.is_silence_loss,
            tracker: &mut self.tracker,
            last_alive_at: &mut self.last_alive_at,
        };
        Ok(probe.while_alive(reading).await??)
    }

    /// Reads more of the body; returns whether more follows.
    ///
    /// # Errors
    /// Why the stream counts as lost.
    pub(super) async fn read_events(
        &mut self,
        decoder: &mut body::BodyDecoder,
        splitter: &mut events::EventSplitter,
        limits: stall::StallLimits,
        is_first: bool,
    ) -> stream_loss::Result<bool> {
        let (idle_time, last_event_at) = (self.idle_time(), self.last_event_at);
        let reading = Box::pin(self.open.read_body(decoder, splitter.buffer()));
        if !limits.may_abandon() {
            return Ok(reading.await?);
        }
        let mut probe = LivenessProbe {
            address: self.address,
            dialect: self.dialect.as_ref(),
            request: self.request,
            timeout: limits.probe_timeout,
            is_silence_loss: limits.is_silence_loss,
            tracker: &mut self.tracker,
            last_alive_at: &mut self.last_alive_at,
        };
        if is_first {
            return Ok(probe.while_alive(reading).await??);
        }
        let probe_timer = task::sleep(limits.probe_after.saturating_sub(idle_time));
        let reading = match futures_future::select(reading, Box::pin(probe_timer)).await {
            Either::Left((read, _timer)) => return Ok(read?),
            Either::Right(((), reading)) => reading,
        };
        let is_known_alive = *probe.last_alive_at > last_event_at;
        let probing = Box::pin(async { is_known_alive || probe.is_alive().await });
        let reading = match futures_future::select(reading, probing).await {
            Either::Left((read, _probing)) => return Ok(read?),
            Either::Right((false, reading)) => return Ok(last_read(reading).await??),
            Either::Right((true, reading)) => reading,
        };
        let remaining = limits.abandon_after.saturating_sub(last_event_at.elapsed());
        // A silence longer than an interval of probes is probed again.
        let read = future::timeout(remaining, probe.while_alive(reading)).await;
        Ok(read.map_err(|_elapsed| stream_loss::LossCause::Unresponsive)???)
    }
}

/// Awaits `reading` a little longer after a probe failed. An engine that crashed also resets the
/// stream, which tells the crash from an engine that fell silent.
async fn last_read<Reading: Future>(reading: Reading) -> stream_loss::Result<Reading::Output> {
    let read = future::timeout(RESET_TIME, reading).await;
    read.map_err(|_elapsed| stream_loss::LossCause::Unresponsive)
}

/// Probes whether an engine still holds a request.
struct LivenessProbe<'a> {
    address: std::net::SocketAddr,
    dialect: &'a dyn dialect::RequestDialect,
    request: &'a str,
    timeout: time::Duration,
    is_silence_loss: bool,
    tracker: &'a mut report::RunTracker,
    last_alive_at: &'a mut time::Instant,
}

impl LivenessProbe<'_> {
    async fn is_alive(&mut self) -> bool {
        let report = attempt::report(self.address, self.dialect, self.timeout).await;
        let is_held = report.map_or(!self.is_silence_loss, |report| {
            self.tracker.is_held(&report, self.request)
        });
        if is_held {
            *self.last_alive_at = time::Instant::now();
        }
        is_held
    }

    /// Awaits `reading`, probing the engine meanwhile; an error as soon as a probe fails.
    async fn while_alive<Reading>(
        mut self,
        mut reading: Reading,
    ) -> stream_loss::Result<Reading::Output>
    where
        Reading: Future + Unpin,
    {
        loop {
            let wait = stall::PREFILL_PROBE_INTERVAL.saturating_sub(self.last_alive_at.elapsed());
            let timer = Box::pin(task::sleep(wait));
            reading = match futures_future::select(reading, timer).await {
                Either::Left((read, _timer)) => return Ok(read),
                Either::Right(((), reading)) => reading,
            };
            let probing = Box::pin(self.is_alive());
            reading = match futures_future::select(reading, probing).await {
                Either::Left((read, _probing)) => return Ok(read),
                Either::Right((true, reading)) => reading,
                Either::Right((false, reading)) => return last_read(reading).await,
            };
        }
    }
}
