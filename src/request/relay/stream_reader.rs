//! Reads an engine's stream and notices when it falls silent.

use std::sync;
use std::time;

use async_std::future;
use async_std::task;
use futures::future as futures_future;
use futures::future::Either;

use crate::connection::h1::{body, head};
use crate::request::relay::{attempt, dialect, events, report, stall};

/// Reads one engine's stream and notices its silence.
pub(super) struct StreamReader<'a> {
    pub(super) open: attempt::OpenAttempt,
    address: std::net::SocketAddr,
    dialect: sync::Arc<dyn dialect::RequestDialect>,
    request: &'a str,
    watch: report::RunTracker,
    /// When the last event came, or the request was sent. Other bytes do not count, so that an engine
    /// that sends some now and then is not taken for one that works.
    last_event_at: time::Instant,
    /// When the engine last gave a sign of life.
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
            watch: report::RunTracker::default(),
            last_event_at: now,
            last_alive_at: now,
        }
    }

    /// Takes note that an event came.
    pub(super) fn record_event(&mut self) {
        self.last_event_at = time::Instant::now();
        self.last_alive_at = self.last_event_at;
    }

    /// Leaves `time`, in which nothing was read, out of the engine's silence.
    pub(super) fn exclude_time(&mut self, time: time::Duration) {
        self.last_event_at += time;
        self.last_alive_at += time;
    }

    /// Time since the last event.
    pub(super) fn idle_time(&self) -> time::Duration {
        self.last_event_at.elapsed()
    }

    /// The head; `None` when the engine broke off or gives no sign of life.
    pub(super) async fn first_head(&mut self) -> Option<head::ResponseHead> {
        let reading = Box::pin(self.open.head());
        let signs = LivenessProbe {
            address: self.address,
            dialect: self.dialect.as_ref(),
            request: self.request,
            watch: &mut self.watch,
            last_alive_at: &mut self.last_alive_at,
        };
        signs.while_alive(reading).await?.ok()
    }

    /// Reads more of the body; `None` when the engine is lost, else whether more follows.
    pub(super) async fn more(
        &mut self,
        decoder: &mut body::BodyDecoder,
        splitter: &mut events::EventSplitter,
        limits: stall::StallLimits,
        is_first: bool,
    ) -> Option<bool> {
        let (quiet, last_event_at) = (self.idle_time(), self.last_event_at);
        let reading = Box::pin(self.open.more(decoder, splitter.buffer()));
        let mut signs = LivenessProbe {
            address: self.address,
            dialect: self.dialect.as_ref(),
            request: self.request,
            watch: &mut self.watch,
            last_alive_at: &mut self.last_alive_at,
        };
        if is_first {
            return signs.while_alive(reading).await?.ok();
        }
        let asked = task::sleep(limits.probe_after.saturating_sub(quiet));
        let reading = match futures_future::select(reading, Box::pin(asked)).await {
            Either::Left((read, _timer)) => return read.ok(),
            Either::Right(((), reading)) => reading,
        };
        let is_heard = *signs.last_alive_at > last_event_at;
        let asking = Box::pin(async { is_heard || signs.is_alive().await });
        let reading = match futures_future::select(reading, asking).await {
            Either::Left((read, _asking)) => return read.ok(),
            Either::Right((false, _reading)) => return None,
            Either::Right((true, reading)) => reading,
        };
        let rest = limits.abandon_after.saturating_sub(last_event_at.elapsed());
        future::timeout(rest, reading).await.ok()?.ok()
    }
}

/// Asks an engine whether it still works on a request.
struct LivenessProbe<'a> {
    address: std::net::SocketAddr,
    dialect: &'a dyn dialect::RequestDialect,
    request: &'a str,
    watch: &'a mut report::RunTracker,
    last_alive_at: &'a mut time::Instant,
}

impl LivenessProbe<'_> {
    async fn is_alive(&mut self) -> bool {
        let report = attempt::report(self.address, self.dialect).await;
        let is_held = report.is_some_and(|report| self.watch.is_held(&report, self.request));
        if is_held {
            *self.last_alive_at = time::Instant::now();
        }
        is_held
    }

    /// Awaits `reading` as long as the engine gives signs of life.
    async fn while_alive<Reading>(mut self, mut reading: Reading) -> Option<Reading::Output>
    where
        Reading: Future + Unpin,
    {
        loop {
            let wait = stall::PREFILL_PROBE_INTERVAL.saturating_sub(self.last_alive_at.elapsed());
            let timer = Box::pin(task::sleep(wait));
            reading = match futures_future::select(reading, timer).await {
                Either::Left((read, _timer)) => return Some(read),
                Either::Right(((), reading)) => reading,
            };
            let asking = Box::pin(self.is_alive());
            reading = match futures_future::select(reading, asking).await {
                Either::Left((read, _asking)) => return Some(read),
                Either::Right((true, reading)) => reading,
                Either::Right((false, _reading)) => return None,
            };
        }
    }
}
