//! Recovery steps of the generation driver: reattach, replace, restart, give up.

use std::time;

use crate::connection::engine_wire;
use crate::process::telemetry::timeline;
use crate::process::view;
use crate::request::cursor;
use crate::request::driver;
use crate::request::generation;
use crate::request::recovery;
use crate::request::source;
use crate::request::suspicion;
use crate::request::verdict;

/// Time without a token after a lost stream until the generation is given up and the caller is
/// told to retry.
pub const GIVE_UP_LIMIT: time::Duration = time::Duration::from_secs(10);

/// Timeout for a new generation to find a reachable engine.
pub const NEW_LIMIT: time::Duration = time::Duration::from_millis(700);

/// Delay after which a caller whose generation was given up may retry.
pub const RETRY_DELAY: time::Duration = time::Duration::from_secs(2);

/// Timeout between two tokens of an engine that still sends keep-alives.
const STALL_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Timeout for a recovery step to connect to its engine.
const STEP_TIMEOUT: time::Duration = time::Duration::from_millis(800);

/// Delay before the next attempt when no engine can serve.
const NO_ENGINE_DELAY: time::Duration = time::Duration::from_millis(100);

/// Maximum number of concurrently open streams of one generation.
const MAX_SOURCES: usize = 4;

impl driver::GenerationDriver {
    /// Returns how long to wait for a message before the next recovery step is due.
    pub(super) fn wait_limit(&self) -> time::Duration {
        let Some(newest) = self.sources.last() else {
            return NO_ENGINE_DELAY;
        };
        let is_opened = self.sources.iter().any(|source| source.is_opened);
        let deadline = if self.round > 0 {
            let limit = if newest.is_opened {
                STALL_TIMEOUT
            } else {
                STEP_TIMEOUT
            };
            self.last_activity + limit
        } else if self.has_token && is_opened {
            let limit = newest.endpoint.silence_limit();
            (self.last_activity + limit).min(self.last_token + STALL_TIMEOUT.max(limit))
        } else {
            self.last_activity + suspicion::FIRST_TOKEN_SILENCE
        };
        deadline.saturating_duration_since(time::Instant::now())
    }

    /// Takes the next recovery step after `attempt` at `endpoint` was lost or went silent.
    pub(super) fn recover_from(&mut self, attempt: cursor::AttemptId, endpoint: &str) {
        let lost_since = *self.lost_since.get_or_insert_with(time::Instant::now);
        let limit = if self.may_have_run {
            GIVE_UP_LIMIT
        } else {
            NEW_LIMIT
        };
        if lost_since.elapsed() > limit {
            self.give_up();
            return;
        }
        let step = self.policy.step(self.round);
        self.round += 1;
        match step {
            recovery::RecoveryStep::Probe => {
                if !self.attach(attempt, endpoint) {
                    self.replace();
                }
            }
            recovery::RecoveryStep::ProbeAndReplace => {
                self.attach(attempt, endpoint);
                self.replace();
            }
            recovery::RecoveryStep::Replace => self.replace(),
            recovery::RecoveryStep::RestartFromZero => {
                if self.record.position() > 0 {
                    let version = self.record.requirement().version;
                    self.restart(&version, "the engine was lost");
                }
                self.replace();
            }
        }
    }

    /// Attaches to an attempt's stream over a new connection; returns false if the endpoint is
    /// unknown.
    pub(super) fn attach(&mut self, attempt: cursor::AttemptId, endpoint: &str) -> bool {
        let service = &self.record.spec.service;
        let Some(lease) = self.context.engines.find(service, endpoint) else {
            return false;
        };
        let from = self.record.position();
        self.open_source(
            attempt,
            lease,
            source::SourceOpening::Attach { attempt, from },
        );
        true
    }

    /// Starts a new attempt that continues after the tokens held, on the same model version if an
    /// engine has it loaded.
    pub(super) fn replace(&mut self) {
        let mut need = self.record.requirement();
        let mut lease = self.context.engines.pick(&need, &self.excluded);
        if lease.is_none() && !self.excluded.is_empty() {
            self.excluded.clear();
            lease = self.context.engines.pick(&need, &self.excluded);
        }
        if lease.is_none() {
            lease = self.pick_other_version(&mut need);
        }
        let Some(lease) = lease else {
            self.last_activity = time::Instant::now();
            self.context.counters.count("generation.no_engine");
            return;
        };
        if self.lacks_prefix {
            self.lacks_prefix = false;
            self.restart(
                &need.version,
                "the engine and the tokens before the cursor are lost",
            );
        }
        self.start_attempt(lease, &need);
    }

    /// Selects an engine with another model version: the declared one, else the most loaded one.
    ///
    /// An answer that already holds tokens restarts, because versions are never mixed.
    fn pick_other_version(
        &mut self,
        need: &mut view::EngineRequirement,
    ) -> Option<Box<dyn view::EndpointLease>> {
        let declared = self.context.engines.declared_model(&need.service);
        let declared = declared.map(|model| model.version);
        let versions = declared
            .into_iter()
            .chain(self.context.engines.most_loaded_version(need));
        for version in versions {
            if version == need.version {
                continue;
            }
            let other = view::EngineRequirement {
                version,
                ..need.clone()
            };
            let Some(lease) = self.context.engines.pick(&other, &[]) else {
                continue;
            };
            if self.record.position() > 0 {
                self.restart(&other.version, "no engine holds the model version any more");
            } else {
                self.record.set_version(&other.version);
            }
            *need = other;
            return Some(lease);
        }
        None
    }

    fn start_attempt(
        &mut self,
        lease: Box<dyn view::EndpointLease>,
        need: &view::EngineRequirement,
    ) {
        let attempt = cursor::AttemptId::random();
        let prefix = self.record.tokens();
        let position = self.record.position();
        let is_resumed = self.round > 0 || position > 0;
        let priority = if is_resumed {
            engine_wire::PRIORITY_RESUMED
        } else {
            engine_wire::PRIORITY_NEW
        };
        let request = engine_wire::EngineRequest {
            attempt: attempt.to_string(),
            model: need.model.clone(),
            version: need.version.clone(),
            adapter: need.adapter.clone(),
            prompt: need.prompt.to_string(),
            prefix,
            max_tokens: self.record.spec.max_tokens,
            priority,
        };
        self.record_event(timeline::EventKind::AttemptStarted {
            attempt: timeline::attempt_text(attempt),
            endpoint: lease.name().to_owned(),
            position,
        });
        self.context.counters.count("generation.attempt");
        self.record.open(attempt);
        self.open_source(
            attempt,
            lease,
            source::SourceOpening::Start(Box::new(request)),
        );
    }

    fn open_source(
        &mut self,
        attempt: cursor::AttemptId,
        endpoint: Box<dyn view::EndpointLease>,
        opening: source::SourceOpening,
    ) {
        if self.sources.len() == MAX_SOURCES {
            let oldest = self.sources.remove(0);
            let is_shared = self
                .sources
                .iter()
                .any(|source| source.attempt == oldest.attempt);
            if !is_shared {
                self.record.retire(oldest.attempt);
                self.cancel(&oldest);
            }
        }
        let id = source::SourceId(self.next_source);
        self.next_source += 1;
        let stop = stop_token::StopSource::new();
        let address = endpoint.address().to_owned();
        let attached_at = match &opening {
            source::SourceOpening::Attach { from, .. } => Some(*from),
            source::SourceOpening::Start(_) => None,
        };
        source::spawn(id, address, opening, self.record.sender(), stop.token());
        self.last_activity = time::Instant::now();
        let round = self.round;
        let source = driver::OpenSource {
            id,
            attempt,
            endpoint,
            round,
            is_opened: false,
            attached_at,
            _stop: stop,
        };
        self.sources.push(source);
    }

    fn restart(&mut self, version: &str, reason: &str) {
        for lost in std::mem::take(&mut self.sources) {
            self.cancel(&lost);
        }
        self.has_token = false;
        self.record.restart(version, reason);
        self.record_event(timeline::EventKind::Restarted {
            cause: reason.to_owned(),
        });
        self.context.counters.count("generation.restart");
    }

    fn give_up(&mut self) {
        let (verdict, message) = if self.may_have_run {
            let message = "no engine can go on with the generation; ask again with the last cursor";
            (verdict::RunVerdict::MayHaveRun, message)
        } else {
            (
                verdict::RunVerdict::NotRun,
                "no engine can serve the model now; ask again later",
            )
        };
        let code = verdict::RefusalCode::NoEndpoint;
        let refusal =
            verdict::RequestRefusal::new(503, code, verdict, message).retry_after(RETRY_DELAY);
        self.record_event(timeline::EventKind::Refused {
            code: "no-endpoint".to_owned(),
            verdict: refusal.verdict.to_string(),
        });
        self.context.counters.count("generation.given_up");
        self.record
            .end(generation::GenerationPhase::Failed(refusal));
        for lost in std::mem::take(&mut self.sources) {
            self.cancel(&lost);
        }
    }
}
