//! State of the model engine stand-in, and the computing of tokens.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use async_std::task;
use kumquatpulley::connection::engine_wire;
use kumquatpulley::connection::http;
use kumquatpulley::process::telemetry::timeline;

use super::cache;
use super::options;
use super::records;
use super::slots;
use super::stream;
use crate::oracle;

/// Time for which an ended stream can still be read.
const KEEP_ENDED: time::Duration = time::Duration::from_secs(30);

/// Pause between two tries to load weights over the rate.
const WEIGHTS_RETRY: time::Duration = time::Duration::from_millis(200);

/// Interval at which a frozen engine looks at the time.
const THAW_TICK: time::Duration = time::Duration::from_millis(5);

/// Reports kept until their lag has passed.
const KEPT_REPORTS: usize = 256;

#[derive(Debug)]
struct EngineCore {
    records: Vec<records::AttemptRecord>,
    streams: collections::HashMap<String, (usize, sync::Arc<stream::AttemptStream>)>,
    cache: cache::PrefixCache,
    loaded: Vec<engine_wire::LoadedModel>,
    role: String,
    fence: u64,
    orders: Vec<records::OrderRecord>,
    reports: collections::VecDeque<(time::Instant, engine_wire::EngineReport)>,
}

/// The engine.
#[derive(Debug)]
pub struct EngineState {
    options: options::EngineOptions,
    incarnation: u64,
    slots: sync::Arc<slots::SlotQueue>,
    switches: parking_lot::Mutex<options::EngineSwitches>,
    core: parking_lot::Mutex<EngineCore>,
    running: atomic::AtomicU32,
    silences: atomic::AtomicU64,
}

impl EngineState {
    /// An engine that holds the given models.
    pub fn new(
        options: options::EngineOptions,
        switches: options::EngineSwitches,
        loaded: Vec<engine_wire::LoadedModel>,
    ) -> Self {
        Self {
            incarnation: timeline::wall_micros(),
            slots: sync::Arc::new(slots::SlotQueue::new(options.slots)),
            switches: parking_lot::Mutex::new(switches),
            core: parking_lot::Mutex::new(EngineCore {
                records: Vec::new(),
                streams: collections::HashMap::new(),
                cache: cache::PrefixCache::new(options.cache_blocks),
                loaded,
                role: engine_wire::ROLE_SERVE.to_owned(),
                fence: 0,
                orders: Vec::new(),
                reports: collections::VecDeque::new(),
            }),
            options,
            running: atomic::AtomicU32::new(0),
            silences: atomic::AtomicU64::new(0),
        }
    }

    /// Changes properties by a fault.
    pub fn change(&self, change: impl FnOnce(&mut options::EngineSwitches)) {
        change(&mut self.switches.lock());
    }

    /// Stops the data of all present attachments.
    pub fn silence(&self) {
        self.silences.fetch_add(1, atomic::Ordering::SeqCst);
    }

    /// Number of silences so far; an attachment of an earlier number passes nothing.
    pub fn silences(&self) -> u64 {
        self.silences.load(atomic::Ordering::SeqCst)
    }

    /// Waits until the engine is not frozen.
    pub async fn thaw(&self) {
        loop {
            let until = self.switches.lock().frozen_until;
            if until.is_none_or(|until| time::Instant::now() >= until) {
                return;
            }
            task::sleep(THAW_TICK).await;
        }
    }

    /// Starts an attempt, or says why not: status and sentence.
    pub fn start(
        self: &sync::Arc<Self>,
        request: engine_wire::EngineRequest,
    ) -> Result<sync::Arc<stream::AttemptStream>, (u16, String)> {
        let attempt = sync::Arc::new(stream::AttemptStream::new(request.prefix.clone()));
        let mut core = self.core.lock();
        core.admit(&request)?;
        let index = core.records.len();
        core.records.push(records::AttemptRecord::new(&request));
        core.streams
            .insert(request.attempt.clone(), (index, sync::Arc::clone(&attempt)));
        drop(core);
        let engine = sync::Arc::clone(self);
        let stream = sync::Arc::clone(&attempt);
        task::spawn(async move { engine.run(request, index, stream).await });
        Ok(attempt)
    }

    /// The stream of a known attempt, for one more attachment.
    pub fn find(&self, attempt: &str) -> Option<sync::Arc<stream::AttemptStream>> {
        let mut core = self.core.lock();
        let (index, stream) = core.streams.get(attempt).cloned()?;
        core.records[index].attachments += 1;
        Some(stream)
    }

    /// Cancels an attempt if it is known.
    pub fn cancel(&self, attempt: &str) {
        let core = self.core.lock();
        if let Some((_index, stream)) = core.streams.get(attempt) {
            stream.cancel();
        }
    }

    async fn run(
        self: sync::Arc<Self>,
        request: engine_wire::EngineRequest,
        index: usize,
        stream: sync::Arc<stream::AttemptStream>,
    ) {
        let slot = sync::Arc::clone(&self.slots)
            .acquire(request.priority)
            .await;
        if stream.start() {
            self.running.fetch_add(1, atomic::Ordering::SeqCst);
            self.prefill(&request, index).await;
            self.compute(&request, index, &stream).await;
            self.running.fetch_sub(1, atomic::Ordering::SeqCst);
        }
        drop(slot);
        task::sleep(KEEP_ENDED).await;
        let mut core = self.core.lock();
        core.records[index].state = stream.state();
        core.streams.remove(&request.attempt);
    }

    async fn prefill(&self, request: &engine_wire::EngineRequest, index: usize) {
        let tokens = self.count_prefill(request, index);
        let micros = self.options.prefill_us_per_token * tokens as u64;
        task::sleep(time::Duration::from_micros(micros)).await;
    }

    fn count_prefill(&self, request: &engine_wire::EngineRequest, index: usize) -> usize {
        let mut core = self.core.lock();
        let prompt = core.cache.load(&request.prompt, time::Instant::now());
        let tokens = prompt + request.prefix.len();
        core.records[index].prefill = tokens;
        tokens
    }

    async fn compute(
        &self,
        request: &engine_wire::EngineRequest,
        index: usize,
        stream: &stream::AttemptStream,
    ) {
        let oracle = oracle_for(request);
        let mut due = time::Instant::now();
        for position in request.prefix.len()..request.max_tokens as usize {
            due = self.wait_gap(due).await;
            if !stream.push(oracle.token(position)) {
                return;
            }
            self.core.lock().records[index].tokens += 1;
            self.count_down();
        }
        stream.finish();
    }

    async fn wait_gap(&self, last: time::Instant) -> time::Instant {
        let due = last + self.switches.lock().token_gap;
        let now = time::Instant::now();
        task::sleep(due.saturating_duration_since(now)).await;
        self.thaw().await;
        // Lost time is not made up for: a paused engine goes on at its usual pace.
        due.max(now)
    }

    fn count_down(&self) {
        let mut switches = self.switches.lock();
        let Some(left) = switches.tokens_left.as_mut() else {
            return;
        };
        *left = left.saturating_sub(1);
        if *left == 0 {
            std::process::exit(1);
        }
    }

    /// Takes an order, or gives the newer fencing number that stands against it.
    pub fn order(self: &sync::Arc<Self>, order: engine_wire::EngineOrder) -> Result<(), u64> {
        let checks_fencing = self.switches.lock().checks_fencing;
        let mut core = self.core.lock();
        let accepted = !checks_fencing || order.fence >= core.fence;
        core.orders
            .push(records::OrderRecord::new(order.clone(), accepted));
        if !accepted {
            return Err(core.fence);
        }
        core.fence = core.fence.max(order.fence);
        core.role = order.wanted.role;
        core.loaded
            .retain(|model| order.wanted.loaded.contains(model));
        let missing: Vec<_> = order
            .wanted
            .loaded
            .into_iter()
            .filter(|model| !core.loaded.contains(model))
            .collect();
        let count = core.orders.len();
        drop(core);
        let engine = sync::Arc::clone(self);
        task::spawn(async move { engine.load(missing, count).await });
        Ok(())
    }

    /// Loads models, unless a later order came meanwhile.
    async fn load(&self, missing: Vec<engine_wire::LoadedModel>, order_count: usize) {
        for model in missing {
            self.fetch_weights(&model).await;
            task::sleep(time::Duration::from_millis(self.options.load_ms)).await;
            let mut core = self.core.lock();
            let superseded = core.orders[order_count..]
                .iter()
                .any(|record| record.accepted);
            if superseded {
                return;
            }
            core.loaded.push(model);
        }
    }

    async fn fetch_weights(&self, model: &engine_wire::LoadedModel) {
        let Some(store) = &self.options.weights else {
            return;
        };
        let path = format!("/weights/{}/{}", model.model, model.version);
        loop {
            let request = http::request(http_types::Method::Get, store, &path);
            let sent = http::send(store, request, http::ExchangeLimits::default()).await;
            if sent.is_ok_and(|response| response.status().is_success()) {
                return;
            }
            task::sleep(WEIGHTS_RETRY).await;
        }
    }

    /// The report as it was one lag ago.
    pub fn report(&self) -> engine_wire::EngineReport {
        let lag = self.switches.lock().report_lag;
        let now = time::Instant::now();
        let core = self.core.lock();
        let is_due = |made: time::Instant| now.saturating_duration_since(made) >= lag;
        let kept = core.reports.iter().rev().find(|(made, _)| is_due(*made));
        match kept {
            Some((_made, report)) if !lag.is_zero() => report.clone(),
            _ => self.present_report(&core),
        }
    }

    /// Keeps the present report until its lag has passed.
    pub fn sample_report(&self) {
        let mut core = self.core.lock();
        let report = self.present_report(&core);
        if core.reports.len() == KEPT_REPORTS {
            core.reports.pop_front();
        }
        core.reports.push_back((time::Instant::now(), report));
    }

    fn present_report(&self, core: &EngineCore) -> engine_wire::EngineReport {
        engine_wire::EngineReport {
            incarnation: self.incarnation,
            running: self.running.load(atomic::Ordering::SeqCst),
            waiting: u32::try_from(self.slots.waiting()).unwrap_or(u32::MAX),
            slots: self.options.slots,
            loaded: core.loaded.clone(),
            role: core.role.clone(),
            leaving: self.switches.lock().leaving,
        }
    }

    /// Cache events numbered above `after`, late and with gaps.
    pub fn cache_events(&self, after: u64) -> Vec<engine_wire::CacheEvent> {
        let lag = self.switches.lock().report_lag;
        self.core
            .lock()
            .cache
            .events(after, time::Instant::now(), lag)
    }

    /// All counts and logs.
    pub fn stats(&self) -> serde_json::Value {
        let core = self.core.lock();
        let mut records = core.records.clone();
        for record in &mut records {
            if let Some((_index, stream)) = core.streams.get(&record.attempt) {
                record.state = stream.state();
            }
        }
        serde_json::json!({
            "name": self.options.name,
            "zone": self.options.zone,
            "tokens_computed": records.iter().map(|record| record.tokens).sum::<usize>(),
            "prefill_computed": records.iter().map(|record| record.prefill).sum::<usize>(),
            "fence": core.fence,
            "report": self.present_report(&core),
            "attempts": records,
            "orders": core.orders,
        })
    }
}

impl EngineCore {
    fn admit(&self, request: &engine_wire::EngineRequest) -> Result<(), (u16, String)> {
        let wanted = engine_wire::LoadedModel {
            model: request.model.clone(),
            version: request.version.clone(),
            adapter: request.adapter.clone(),
        };
        if !self.loaded.contains(&wanted) {
            let message = format!("{} {} is not loaded", wanted.model, wanted.version);
            return Err((409, message));
        }
        if self.role != engine_wire::ROLE_SERVE {
            return Err((503, format!("role {} takes no new work", self.role)));
        }
        if self.streams.contains_key(&request.attempt) {
            return Err((409, format!("attempt {} exists", request.attempt)));
        }
        Ok(())
    }
}

fn oracle_for(request: &engine_wire::EngineRequest) -> oracle::TokenOracle {
    let version = match &request.adapter {
        Some(adapter) => format!("{}+{adapter}", request.version),
        None => request.version.clone(),
    };
    let fresh = || oracle::TokenOracle::new(&request.prompt, &version, fastrand::u64(..));
    let Some(first) = request.prefix.first() else {
        return fresh();
    };
    oracle::TokenOracle::from_first(&request.prompt, first, Some(&version))
        .unwrap_or_else(|_error| fresh())
}
