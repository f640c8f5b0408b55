//! State of a generation, shared by its driver and its readers.

use std::sync;
use std::task;

use async_std::channel;

use crate::connection::peer_wire;
use crate::process::view;
use crate::request::cursor;
use crate::request::sequencer;
use crate::request::source;
use crate::request::verdict;
use crate::version::declaration;

/// Capacity of the message queue of a driver; a full queue applies backpressure to its streams.
pub const DRIVER_QUEUE: usize = 256;

/// Generation request of a caller.
#[derive(Clone, Debug)]
pub struct GenerationSpec {
    /// Request key, unique within the workspace.
    pub key: String,
    /// Workspace of the caller.
    pub workspace: String,
    /// Service name.
    pub service: String,
    /// Model name.
    pub model: String,
    /// Adapter applied to the model, if any.
    pub adapter: Option<String>,
    /// Prompt text.
    pub prompt: sync::Arc<str>,
    /// Maximum number of tokens in the whole answer.
    pub max_tokens: u32,
    /// Recovery policy for lost streams.
    pub recovery: declaration::RecoveryKind,
}

impl GenerationSpec {
    /// Returns the hash before the first token; it is equal for equal requests of one workspace.
    #[must_use]
    pub fn start_hash(&self) -> cursor::PrefixHash {
        let request = format!("{}\n{}\n{}", self.model, self.max_tokens, self.prompt);
        cursor::PrefixHash::start(&self.workspace, request.as_bytes())
    }
}

/// Phase of a generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GenerationPhase {
    /// The generation has not ended.
    Running,
    /// The answer is complete.
    Finished {
        /// `stop` or `length`.
        reason: String,
    },
    /// No engine could serve it.
    Failed(verdict::RequestRefusal),
    /// The generation continues at another router: the named one, or any if `None`.
    Moved {
        /// Name of the router that took it.
        router: Option<String>,
    },
    /// The generation had no readers for too long.
    Cancelled,
}

/// Mutable state of a generation.
#[derive(Debug)]
pub(super) struct RecordState {
    pub(super) epoch: u32,
    pub(super) restart_reason: String,
    pub(super) sequencer: sequencer::TokenSequencer,
    pub(super) model_version: String,
    pub(super) attempt: cursor::AttemptId,
    pub(super) endpoint: String,
    pub(super) phase: GenerationPhase,
    pub(super) readers: u32,
    pub(super) wakers: Vec<task::Waker>,
}

/// One answer, shared by its driver and its readers.
#[derive(Debug)]
pub struct GenerationRecord {
    /// Generation request of the caller.
    pub spec: GenerationSpec,
    /// Identifier of the answer.
    pub id: cursor::GenerationId,
    sender: channel::Sender<source::DriverMessage>,
    pub(super) state: parking_lot::Mutex<RecordState>,
}

impl GenerationRecord {
    /// Creates an answer that already holds `tokens`, and the receiver for its driver.
    #[must_use]
    pub fn new(
        spec: GenerationSpec,
        id: cursor::GenerationId,
        model_version: String,
        tokens: Vec<String>,
    ) -> (sync::Arc<Self>, channel::Receiver<source::DriverMessage>) {
        let (sender, receiver) = channel::bounded(DRIVER_QUEUE);
        let state = RecordState {
            epoch: 0,
            restart_reason: String::new(),
            sequencer: sequencer::TokenSequencer::new(tokens),
            model_version,
            attempt: cursor::AttemptId(0),
            endpoint: "none".to_owned(),
            phase: GenerationPhase::Running,
            readers: 0,
            wakers: Vec::new(),
        };
        let record = Self {
            spec,
            id,
            sender,
            state: parking_lot::Mutex::new(state),
        };
        (sync::Arc::new(record), receiver)
    }

    /// Returns a sender of messages to the driver.
    #[must_use]
    pub fn sender(&self) -> channel::Sender<source::DriverMessage> {
        self.sender.clone()
    }

    /// Current phase of the generation.
    pub fn phase(&self) -> GenerationPhase {
        self.state.lock().phase.clone()
    }

    /// Number of callers currently reading the answer.
    pub fn readers(&self) -> u32 {
        self.state.lock().readers
    }

    /// Number of tokens held.
    pub fn position(&self) -> u32 {
        self.state.lock().sequencer.len()
    }

    /// Tokens held, from position 0.
    pub fn tokens(&self) -> Vec<String> {
        self.state.lock().sequencer.tokens().to_vec()
    }

    /// Requirements on an engine that continues the generation.
    pub fn requirement(&self) -> view::EngineRequirement {
        view::EngineRequirement {
            service: self.spec.service.clone(),
            model: self.spec.model.clone(),
            version: self.state.lock().model_version.clone(),
            adapter: self.spec.adapter.clone(),
            prompt: sync::Arc::clone(&self.spec.prompt),
        }
    }

    /// Opens an attempt, so that its tokens are accepted.
    pub fn open(&self, attempt: cursor::AttemptId) {
        self.state.lock().sequencer.open(attempt);
    }

    /// Closes an attempt: no more of its tokens are accepted.
    pub fn retire(&self, attempt: cursor::AttemptId) {
        self.state.lock().sequencer.retire(attempt);
    }

    /// Offers a token of an attempt at an endpoint and wakes the readers if it is accepted.
    pub fn offer(
        &self,
        attempt: cursor::AttemptId,
        endpoint: &str,
        index: u32,
        text: &str,
    ) -> sequencer::TokenOffer {
        let mut state = self.state.lock();
        let offer = state.sequencer.offer(attempt, index, text);
        if !matches!(offer, sequencer::TokenOffer::Accepted(_)) {
            return offer;
        }
        state.attempt = attempt;
        if state.endpoint != endpoint {
            endpoint.clone_into(&mut state.endpoint);
        }
        wake(state);
        offer
    }

    /// Offers the end of an attempt; if it is accepted, the generation is finished.
    pub fn offer_end(
        &self,
        attempt: cursor::AttemptId,
        count: u32,
        reason: &str,
    ) -> sequencer::EndOffer {
        let mut state = self.state.lock();
        let offer = state.sequencer.offer_end(attempt, count);
        if offer == sequencer::EndOffer::Whole {
            state.phase = GenerationPhase::Finished {
                reason: reason.to_owned(),
            };
            wake(state);
        }
        offer
    }

    /// Sets the model version of an answer that holds no token yet.
    pub fn set_version(&self, model_version: &str) {
        model_version.clone_into(&mut self.state.lock().model_version);
    }

    /// Restarts the answer with `model_version`; readers are told the reason.
    pub fn restart(&self, model_version: &str, reason: &str) {
        let mut state = self.state.lock();
        state.epoch += 1;
        reason.clone_into(&mut state.restart_reason);
        model_version.clone_into(&mut state.model_version);
        state.sequencer.restart();
        wake(state);
    }

    /// Ends a running generation in `phase`; has no effect on the phase of one that has ended.
    pub fn end(&self, phase: GenerationPhase) {
        let mut state = self.state.lock();
        if state.phase == GenerationPhase::Running {
            state.phase = phase;
        }
        wake(state);
    }

    /// Returns the state that another router needs to take over the generation.
    pub fn hand_over(&self) -> peer_wire::TakeOverWire {
        let state = self.state.lock();
        let finish_reason = match &state.phase {
            GenerationPhase::Finished { reason } => Some(reason.clone()),
            _ => None,
        };
        peer_wire::TakeOverWire {
            generation: self.id.0,
            tokens: state.sequencer.tokens().to_vec(),
            attempt: state.attempt.0,
            endpoint: state.endpoint.clone(),
            model_version: state.model_version.clone(),
            finish_reason,
        }
    }
}

fn wake(mut state: parking_lot::MutexGuard<'_, RecordState>) {
    let wakers = std::mem::take(&mut state.wakers);
    drop(state);
    for waker in wakers {
        waker.wake();
    }
}
