//! Driver that runs one generation to its end, across all its attempts and streams.

use std::sync;
use std::time;

use async_std::channel;
use async_std::future;
use async_std::task;

use crate::connection::engine;
use crate::process::telemetry::timeline;
use crate::process::view;
use crate::request::cancel;
use crate::request::cursor;
use crate::request::generation;
use crate::request::recovery;
use crate::request::sequencer;
use crate::request::source;

/// Time for which a generation without readers keeps running before it is cancelled.
pub const ORPHAN_GRACE: time::Duration = time::Duration::from_secs(10);

/// Maximum time without readers counted per check, so that a pause of the process does not count
/// in full.
const ORPHAN_STEP: time::Duration = time::Duration::from_millis(250);

/// Dependencies shared by all drivers.
#[derive(Clone, Debug)]
pub struct DriverContext {
    /// Engines to choose from.
    pub engines: sync::Arc<dyn view::EngineView>,
    /// Events of this process.
    pub ring: sync::Arc<timeline::EventRing>,
    /// Counters of this process.
    pub counters: sync::Arc<dyn view::CounterSink>,
}

/// How a driver starts its generation.
#[derive(Clone, Debug)]
pub enum GenerationStart {
    /// With a new attempt, after the tokens that the record holds.
    Fresh,
    /// By attaching to a running attempt, after the tokens that the record holds.
    Attach {
        /// Attempt to attach to.
        attempt: cursor::AttemptId,
        /// Name of the endpoint that runs the attempt.
        endpoint: String,
    },
}

/// One open stream.
#[derive(Debug)]
pub(super) struct OpenSource {
    pub(super) id: source::SourceId,
    pub(super) attempt: cursor::AttemptId,
    pub(super) endpoint: Box<dyn view::EndpointLease>,
    pub(super) round: u32,
    pub(super) is_opened: bool,
    /// Position at which the stream was attached; `None` if the stream started its attempt.
    pub(super) attached_at: Option<u32>,
    /// Stops the stream's task when dropped.
    pub(super) _stop: stop_token::StopSource,
}

/// Drives one generation.
#[derive(Debug)]
pub struct GenerationDriver {
    pub(super) context: DriverContext,
    pub(super) record: sync::Arc<generation::GenerationRecord>,
    pub(super) policy: &'static dyn recovery::RecoveryPolicy,
    pub(super) receiver: channel::Receiver<source::DriverMessage>,
    pub(super) sources: Vec<OpenSource>,
    pub(super) next_source: u32,
    pub(super) round: u32,
    pub(super) excluded: Vec<String>,
    pub(super) last_activity: time::Instant,
    pub(super) last_token: time::Instant,
    pub(super) has_token: bool,
    /// Whether tokens were delivered that this router does not hold; a new attempt then restarts
    /// the answer.
    pub(super) lacks_prefix: bool,
    /// Whether an engine may have started to generate.
    pub(super) may_have_run: bool,
    /// When the current recovery began; `None` while tokens arrive.
    pub(super) lost_since: Option<time::Instant>,
    pub(super) orphan_checked: time::Instant,
    pub(super) orphaned: time::Duration,
}

impl GenerationDriver {
    /// Creates a driver for `record` that is not yet running.
    #[must_use]
    pub fn new(
        context: DriverContext,
        record: sync::Arc<generation::GenerationRecord>,
        policy: &'static dyn recovery::RecoveryPolicy,
        receiver: channel::Receiver<source::DriverMessage>,
    ) -> Self {
        let now = time::Instant::now();
        Self {
            context,
            record,
            policy,
            receiver,
            sources: Vec::new(),
            next_source: 0,
            round: 0,
            excluded: Vec::new(),
            last_activity: now,
            last_token: now,
            has_token: false,
            lacks_prefix: false,
            may_have_run: false,
            lost_since: None,
            orphan_checked: now,
            orphaned: time::Duration::ZERO,
        }
    }

    /// Runs until the generation ends.
    pub async fn run(mut self, start: GenerationStart) {
        if self.record.phase() == generation::GenerationPhase::Running {
            self.begin(start);
        }
        while self.record.phase() == generation::GenerationPhase::Running {
            let wait = self.wait_limit();
            match future::timeout(wait, self.receiver.recv()).await {
                Ok(Ok(message)) => self.on_message(message),
                Ok(Err(_closed)) => return,
                Err(_elapsed) => self.on_timeout(),
            }
            self.check_readers();
        }
    }

    fn begin(&mut self, start: GenerationStart) {
        match start {
            GenerationStart::Fresh => self.replace(),
            GenerationStart::Attach { attempt, endpoint } => {
                self.lacks_prefix = self.record.position() == 0;
                self.may_have_run = true;
                self.record.open(attempt);
                if !self.attach(attempt, &endpoint) {
                    self.recover();
                }
            }
        }
    }

    fn on_message(&mut self, message: source::DriverMessage) {
        match message {
            source::DriverMessage::Source(id, event) => self.on_event(id, event),
            source::DriverMessage::HandOver { router } => {
                let event = timeline::EventKind::HandedOver {
                    router: router.clone(),
                };
                self.record_event(event);
                self.record.end(generation::GenerationPhase::Moved {
                    router: Some(router),
                });
            }
            source::DriverMessage::Move => {
                self.record
                    .end(generation::GenerationPhase::Moved { router: None });
            }
        }
    }

    fn on_event(&mut self, id: source::SourceId, event: source::SourceEvent) {
        let Some(index) = self.sources.iter().position(|source| source.id == id) else {
            self.context.counters.count("generation.late_event");
            return;
        };
        match event {
            source::SourceEvent::Opened => self.on_opened(index),
            source::SourceEvent::Alive => self.last_activity = time::Instant::now(),
            source::SourceEvent::Token {
                index: position,
                text,
            } => {
                self.on_token(index, position, &text);
            }
            source::SourceEvent::Finished {
                count,
                finish_reason,
            } => {
                self.on_finished(index, count, &finish_reason);
            }
            source::SourceEvent::Lost(error) => self.on_lost(index, &error),
        }
    }

    fn on_opened(&mut self, index: usize) {
        self.last_activity = time::Instant::now();
        self.sources[index].is_opened = true;
        self.may_have_run = true;
        if let Some(position) = self.sources[index].attached_at {
            let attempt = timeline::attempt_text(self.sources[index].attempt);
            self.record_event(timeline::EventKind::Reattached { attempt, position });
            self.context.counters.count("generation.reattach");
        }
    }

    fn on_token(&mut self, index: usize, position: u32, text: &str) {
        let attempt = self.sources[index].attempt;
        let endpoint = self.sources[index].endpoint.name().to_owned();
        match self.record.offer(attempt, &endpoint, position, text) {
            sequencer::TokenOffer::Accepted(_count) => self.on_accepted(index),
            sequencer::TokenOffer::Repeated => {
                self.last_activity = time::Instant::now();
                self.context.counters.count("generation.token_repeated");
            }
            sequencer::TokenOffer::Foreign => {
                self.context.counters.count("generation.token_foreign");
            }
            sequencer::TokenOffer::Gap | sequencer::TokenOffer::Mismatch => {
                self.context.counters.count("generation.token_out_of_order");
                let error = engine::EngineError::Malformed("token out of order".to_owned());
                self.on_lost(index, &error);
            }
        }
    }

    fn on_accepted(&mut self, index: usize) {
        let now = time::Instant::now();
        if self.has_token && self.round == 0 {
            self.sources[index]
                .endpoint
                .record_gap(now - self.last_token);
        } else {
            let attempt = timeline::attempt_text(self.sources[index].attempt);
            self.record_event(timeline::EventKind::FirstToken { attempt });
        }
        if self.round > 0 {
            self.context
                .counters
                .time("generation.resume", now - self.last_token);
        }
        self.has_token = true;
        self.lacks_prefix = false;
        self.last_token = now;
        self.last_activity = now;
        self.round = 0;
        self.lost_since = None;
        self.excluded.clear();
        if self.sources.len() > 1 {
            self.keep_only(index);
        }
        self.sources[0].round = 0;
    }

    /// Closes all other streams and cancels their attempts, if different, at their engines.
    fn keep_only(&mut self, index: usize) {
        let winner = self.sources.swap_remove(index);
        for loser in std::mem::take(&mut self.sources) {
            if loser.attempt != winner.attempt {
                self.cancel(&loser);
            }
        }
        self.sources.push(winner);
    }

    fn on_finished(&mut self, index: usize, count: u32, reason: &str) {
        let attempt = self.sources[index].attempt;
        match self.record.offer_end(attempt, count, reason) {
            sequencer::EndOffer::Whole => {
                self.keep_only(index);
                self.record_event(timeline::EventKind::Finished { tokens: count });
                self.context.counters.count("generation.finished");
            }
            sequencer::EndOffer::CountMismatch => {
                let error = engine::EngineError::Malformed("token count differs".to_owned());
                self.on_lost(index, &error);
            }
            sequencer::EndOffer::Foreign => {}
        }
    }

    fn on_lost(&mut self, index: usize, error: &engine::EngineError) {
        let lost = self.sources.swap_remove(index);
        let name = lost.endpoint.name().to_owned();
        self.record_event(timeline::EventKind::AttemptLost {
            attempt: timeline::attempt_text(lost.attempt),
            endpoint: name.clone(),
            position: self.record.position(),
            cause: error.to_string(),
        });
        self.context.counters.count("generation.stream_lost");
        match error {
            engine::EngineError::NotSent(_) => lost.endpoint.report_failure(),
            engine::EngineError::Unreachable(_) => {
                self.may_have_run = true;
                lost.endpoint.report_failure();
            }
            engine::EngineError::Refused(_) | engine::EngineError::Malformed(_) => {}
        }
        if matches!(error, engine::EngineError::Refused(_)) {
            self.record.retire(lost.attempt);
        }
        self.exclude(&name);
        if self.sources.iter().any(|source| source.round == self.round) {
            return;
        }
        if self.round == 0 && !lost.is_opened {
            // A stream that never opened cannot be reattached to.
            self.round = 1;
        }
        self.recover_from(lost.attempt, &name);
    }

    fn on_timeout(&mut self) {
        let Some(newest) = self.sources.last() else {
            self.recover();
            return;
        };
        let attempt = newest.attempt;
        let name = newest.endpoint.name().to_owned();
        self.context.counters.count("generation.stream_silent");
        self.record_event(timeline::EventKind::AttemptLost {
            attempt: timeline::attempt_text(attempt),
            endpoint: name.clone(),
            position: self.record.position(),
            cause: "silent".to_owned(),
        });
        newest.endpoint.report_failure();
        self.may_have_run = true;
        self.exclude(&name);
        self.recover_from(attempt, &name);
    }

    pub(super) fn exclude(&mut self, endpoint: &str) {
        if !self.excluded.iter().any(|name| name == endpoint) {
            self.excluded.push(endpoint.to_owned());
        }
    }

    fn recover(&mut self) {
        let attempt = cursor::AttemptId(0);
        self.recover_from(attempt, "");
    }

    /// Cancels the generation once it has had no readers for [`ORPHAN_GRACE`].
    fn check_readers(&mut self) {
        let now = time::Instant::now();
        let step = (now - self.orphan_checked).min(ORPHAN_STEP);
        self.orphan_checked = now;
        if self.record.readers() > 0 {
            self.orphaned = time::Duration::ZERO;
            return;
        }
        self.orphaned += step;
        if self.orphaned < ORPHAN_GRACE {
            return;
        }
        self.record_event(timeline::EventKind::CallerGone {
            position: self.record.position(),
        });
        self.record.end(generation::GenerationPhase::Cancelled);
        for unread in std::mem::take(&mut self.sources) {
            self.cancel(&unread);
        }
    }

    pub(super) fn cancel(&self, source: &OpenSource) {
        self.record_event(timeline::EventKind::Cancelled {
            attempt: timeline::attempt_text(source.attempt),
        });
        self.context.counters.count("generation.cancel");
        let address = source.endpoint.address().to_owned();
        task::spawn(cancel::cancel_attempt(address, source.attempt));
    }

    pub(super) fn record_event(&self, kind: timeline::EventKind) {
        self.context.ring.record(Some(&self.record.spec.key), kind);
    }
}
