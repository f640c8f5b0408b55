//! Writes which version began a stream to the store, and looks it up there.

use std::sync;
use std::sync::atomic;
use std::time;

use async_std::{channel, future as timer, task};
use futures::FutureExt as _;
use futures::future;
use stop_token::future::FutureExt as _;

use crate::process::gateway::stream_versions::{ledger, row};
use crate::process::gateway::{boot_clock, endpoint_registry, rows};
use crate::process::telemetry::timeline;
use crate::process::view;
use crate::request::relay::stream_origin;

/// Time for which rows are collected, so that streams that begin together take one write.
const GROUP_TIME: time::Duration = time::Duration::from_millis(50);

/// Interval at which rows are removed that no caller needs any more.
const REMOVAL_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// Interval at which a router that writes rows removes those that routers left when they were killed.
const SWEEP_INTERVAL: time::Duration = time::Duration::from_secs(300);

/// Age from which a row is certainly of no use, whatever the clocks of the routers say.
const MAX_ROW_AGE: time::Duration = ledger::RETENTION.saturating_mul(5);

/// Pause after a failed call; doubles with each consecutive failure up to the longest one.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(500);
const MAX_RETRY_INTERVAL: time::Duration = time::Duration::from_secs(4);

/// Longest wait of a take-up for the store. A slow store takes a few hundred milliseconds.
const LOOKUP_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// Rows of streams in one write, and rows removed with it. The store accepts 100 in all; each row of a
/// stream may come with one of its version.
const MAX_WRITTEN: usize = 30;
const MAX_REMOVED: usize = 30;

/// Remembers the versions of streams; see [`ledger`].
#[derive(Debug)]
pub struct OriginKeeper {
    ledger: parking_lot::Mutex<ledger::VersionLedger>,
    store: sync::Arc<dyn rows::RowStore>,
    counters: sync::Arc<dyn view::CounterSink>,
    started_at: boot_clock::BootInstant,
    /// Whether the versions are known that services had before this router started.
    is_informed: atomic::AtomicBool,
    wake_signal: (channel::Sender<()>, channel::Receiver<()>),
}

impl OriginKeeper {
    /// Creates a keeper. `is_first_start` tells that no router ran before, so that no stream began.
    #[must_use]
    pub fn new(
        store: sync::Arc<dyn rows::RowStore>,
        counters: sync::Arc<dyn view::CounterSink>,
        is_first_start: bool,
    ) -> Self {
        Self {
            ledger: parking_lot::Mutex::default(),
            store,
            counters,
            started_at: boot_clock::BootInstant::now(),
            is_informed: atomic::AtomicBool::new(is_first_start),
            wake_signal: channel::bounded(1),
        }
    }

    /// Records the endpoints of all services.
    pub fn observe<'a>(
        &self,
        records: impl Iterator<Item = &'a endpoint_registry::EndpointRecord>,
    ) {
        let now = boot_clock::BootInstant::now();
        let endpoints = records.map(|record| (record.service.as_str(), record.version.as_str()));
        if self.ledger.lock().observe(endpoints, now) {
            self.wake_up();
        }
    }

    /// Records that the store was restored from a copy.
    pub fn mark_restored(&self) {
        self.ledger.lock().set_restored();
        self.wake_up();
    }

    /// Writes and removes rows until `token` is cancelled.
    pub async fn run(self: sync::Arc<Self>, token: stop_token::StopToken) {
        let running = async {
            let mut pause = RETRY_INTERVAL;
            while !self.is_informed() && self.read_versions().await.is_err() {
                task::sleep(pause).await;
                pause = MAX_RETRY_INTERVAL.min(pause * 2);
            }
            pause = RETRY_INTERVAL;
            // Routers that started together do not sweep together.
            let mut sweep_at = time::Instant::now() + SWEEP_INTERVAL.mul_f64(fastrand::f64());
            loop {
                let _idle = timer::timeout(REMOVAL_INTERVAL, self.wake_signal.1.recv()).await;
                task::sleep(GROUP_TIME).await;
                self.ledger.lock().expire(boot_clock::BootInstant::now());
                let mut has_written = false;
                while let Some(result) = self.write_batch().await {
                    has_written = result.is_ok();
                    if has_written {
                        pause = RETRY_INTERVAL;
                        continue;
                    }
                    task::sleep(pause).await;
                    pause = MAX_RETRY_INTERVAL.min(pause * 2);
                }
                if has_written && sweep_at <= time::Instant::now() {
                    sweep_at = time::Instant::now() + SWEEP_INTERVAL;
                    self.sweep().await;
                }
            }
        };
        let _stopped = running.timeout_at(token).await;
    }

    /// Writes one batch; `None` if there is nothing to write.
    async fn write_batch(&self) -> Option<rows::Result<()>> {
        let now = boot_clock::BootInstant::now();
        let (streams, removed) = {
            let ledger = self.ledger.lock();
            let streams = ledger.unwritten(now, MAX_WRITTEN);
            (streams, ledger.removable(now, MAX_REMOVED))
        };
        if streams.is_empty() && removed.is_empty() {
            return None;
        }
        let wall = time::Duration::from_micros(timeline::wall_micros());
        let mut puts = std::collections::BTreeMap::new();
        for stream in &streams {
            let row = row::VersionRow {
                service: stream.service.clone(),
                version: stream.version.clone(),
                began: wall.saturating_sub(stream.age),
            };
            puts.insert(row.version_key(), row.encode());
            puts.insert(row::VersionRow::stream_key(&stream.request), row.encode());
        }
        let puts: Vec<(String, Vec<u8>)> = puts.into_iter().collect();
        let removed_keys = removed.iter();
        let removed_keys = removed_keys.map(|request| row::VersionRow::stream_key(request));
        let removed_keys: Vec<String> = removed_keys.collect();
        let topic = rows::RowTopic::StreamVersions;
        self.counters.count("store.called");
        if let Err(error) = self.store.write_rows(topic, &puts, &removed_keys).await {
            self.counters.count("store.failed");
            let (cause, waiting) = (error.to_string(), streams.len());
            log::warn!(cause = cause.as_str(), waiting; "cannot write versions of streams; retrying");
            return Some(Err(error));
        }
        self.record_batch(&streams, &removed);
        log::info!(written = streams.len(), removed = removed.len(); "versions of streams written");
        Some(Ok(()))
    }

    /// Removes rows of streams that can no longer be taken up.
    async fn sweep(&self) {
        let [from, to] = row::STREAM_KEYS;
        let topic = rows::RowTopic::StreamVersions;
        self.counters.count("store.called");
        let Ok(batch) = self.store.read_range(topic, from, to).await else {
            self.counters.count("store.failed");
            return;
        };
        let wall = time::Duration::from_micros(timeline::wall_micros());
        let is_old = |row: &&rows::RowChange| {
            let row = row.value.as_deref().and_then(row::VersionRow::decode);
            row.is_none_or(|row| wall.saturating_sub(row.began) >= MAX_ROW_AGE)
        };
        let old = batch.rows.iter().filter(is_old);
        let old: Vec<String> = old.map(|row| row.key.clone()).collect();
        for keys in old.chunks(MAX_REMOVED) {
            self.counters.count("store.called");
            if let Err(error) = self.store.write_rows(topic, &[], keys).await {
                self.counters.count("store.failed");
                log::warn!(cause = error.to_string().as_str(); "cannot remove versions of old streams");
                return;
            }
        }
        log::info!(removed = old.len(); "versions of old streams removed");
    }

    fn record_batch(&self, written: &[ledger::UnwrittenStream], removed: &[String]) {
        let mut ledger = self.ledger.lock();
        ledger.set_written(written);
        ledger.set_removed(removed);
    }

    /// Whether the versions are known that any stream may have begun at that can be taken up.
    fn is_informed(&self) -> bool {
        let age = boot_clock::BootInstant::now().since(self.started_at);
        age >= ledger::RETENTION || self.is_informed.load(atomic::Ordering::SeqCst)
    }

    /// Reads the versions that services had before this router started.
    async fn read_versions(&self) -> rows::Result<()> {
        let [from, to] = row::VERSION_KEYS;
        self.counters.count("store.called");
        let batch = self
            .store
            .read_range(rows::RowTopic::StreamVersions, from, to)
            .await
            .inspect_err(|_error| self.counters.count("store.failed"))?;
        let now = boot_clock::BootInstant::now();
        let wall = time::Duration::from_micros(timeline::wall_micros());
        let mut ledger = self.ledger.lock();
        let values = batch.rows.iter().filter_map(|row| row.value.as_deref());
        for row in values.filter_map(row::VersionRow::decode) {
            // The version may have begun further streams until its row is written again.
            let age = wall.saturating_sub(row.began);
            ledger.add_departed(&row.service, &row.version, now.before(age));
        }
        ledger.expire(now);
        drop(ledger);
        self.is_informed.store(true, atomic::Ordering::SeqCst);
        Ok(())
    }

    /// Looks up the row of a stream.
    async fn read_stream(&self, service: &str, request: &str) -> stream_origin::StreamOrigin {
        let key = row::VersionRow::stream_key(request);
        let end = format!("{key}0");
        self.counters.count("store.called");
        let read = self
            .store
            .read_range(rows::RowTopic::StreamVersions, &key, &end);
        let Ok(Ok(batch)) = timer::timeout(LOOKUP_TIMEOUT, read).await else {
            self.counters.count("store.failed");
            return stream_origin::StreamOrigin::Unavailable;
        };
        let own = batch.rows.iter().filter(|row| row.key == key);
        let values = own.filter_map(|row| row.value.as_deref());
        let mut found = values.filter_map(row::VersionRow::decode);
        let found = found.find(|row| row.service == service);
        found.map_or(stream_origin::StreamOrigin::Unknown, |row| {
            stream_origin::StreamOrigin::Version(row.version)
        })
    }

    async fn look_up(&self, service: &str, request: Option<&str>) -> stream_origin::StreamOrigin {
        let local = || {
            let now = boot_clock::BootInstant::now();
            self.ledger.lock().origin(service, request, now)
        };
        let mut known = local();
        if !matches!(known, ledger::LedgerOrigin::Known(_)) && !self.is_informed() {
            let read = timer::timeout(LOOKUP_TIMEOUT, self.read_versions()).await;
            if !matches!(read, Ok(Ok(()))) {
                return stream_origin::StreamOrigin::Unavailable;
            }
            known = local();
        }
        match (known, request) {
            (ledger::LedgerOrigin::Known(version) | ledger::LedgerOrigin::Sole(version), _) => {
                stream_origin::StreamOrigin::Version(version)
            }
            (ledger::LedgerOrigin::NoEndpoint, _) => stream_origin::StreamOrigin::NoEndpoint,
            (ledger::LedgerOrigin::Mixed, None) => stream_origin::StreamOrigin::Unknown,
            (ledger::LedgerOrigin::Mixed, Some(request)) => {
                self.read_stream(service, request).await
            }
        }
    }

    fn wake_up(&self) {
        // A full channel already holds a wake-up.
        let _is_full = self.wake_signal.0.try_send(());
    }
}

impl stream_origin::OriginMemory for OriginKeeper {
    fn record(&self, service: &str, request: &str, version: &str) {
        let now = boot_clock::BootInstant::now();
        let is_mixed = self.ledger.lock().record(request, (service, version), now);
        if is_mixed {
            self.wake_up();
        }
    }

    fn forget(&self, request: &str) {
        self.ledger.lock().complete(request);
    }

    fn origin<'a>(
        &'a self,
        service: &'a str,
        request: Option<&'a str>,
    ) -> future::BoxFuture<'a, stream_origin::StreamOrigin> {
        self.look_up(service, request).boxed()
    }
}
