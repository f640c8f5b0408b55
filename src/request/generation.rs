//! One answer while it is generated, shared by its driver and the callers that read it.

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

/// Messages that may wait for a driver before its streams are held back.
pub const DRIVER_QUEUE: usize = 256;

/// What a caller asked for.
#[derive(Clone, Debug)]
pub struct GenerationSpec {
    /// Request key.
    pub key: String,
    /// Workspace of the caller.
    pub workspace: String,
    /// Service that answers.
    pub service: String,
    /// Model name.
    pub model: String,
    /// Adapter on top of the model, if any.
    pub adapter: Option<String>,
    /// The prompt.
    pub prompt: sync::Arc<str>,
    /// Tokens of the whole answer at most.
    pub max_tokens: u32,
    /// How a lost generation goes on.
    pub recovery: declaration::RecoveryKind,
}

impl GenerationSpec {
    /// Hash before the first token; equal for equal requests of one workspace.
    #[must_use]
    pub fn start_hash(&self) -> cursor::PrefixHash {
        let request = format!("{}\n{}\n{}", self.model, self.max_tokens, self.prompt);
        cursor::PrefixHash::start(&self.workspace, request.as_bytes())
    }
}

/// How far a generation is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GenerationPhase {
    /// Tokens arrive.
    Running,
    /// The answer is whole.
    Finished {
        /// `stop` or `length`.
        reason: String,
    },
    /// No engine could serve it.
    Failed(verdict::RequestRefusal),
    /// It goes on at another router: at the named one, or at any.
    Moved {
        /// Name of the router that took it.
        router: Option<String>,
    },
    /// Nobody came back for it.
    Cancelled,
}

/// State of one answer.
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
    /// What the caller asked for.
    pub spec: GenerationSpec,
    /// Identifier of the answer.
    pub id: cursor::GenerationId,
    sender: channel::Sender<source::DriverMessage>,
    pub(super) state: parking_lot::Mutex<RecordState>,
}

impl GenerationRecord {
    /// An answer that holds `tokens` already, and the receiver for its driver.
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

    /// Where the driver's streams and other tasks send messages.
    #[must_use]
    pub fn sender(&self) -> channel::Sender<source::DriverMessage> {
        self.sender.clone()
    }

    /// How far the generation is.
    pub fn phase(&self) -> GenerationPhase {
        self.state.lock().phase.clone()
    }

    /// Callers that read the answer now.
    pub fn readers(&self) -> u32 {
        self.state.lock().readers
    }

    /// Tokens held.
    pub fn position(&self) -> u32 {
        self.state.lock().sequencer.len()
    }

    /// Tokens held, from position 0.
    pub fn tokens(&self) -> Vec<String> {
        self.state.lock().sequencer.tokens().to_vec()
    }

    /// What an engine must hold to go on.
    pub fn need(&self) -> view::EngineRequirement {
        view::EngineRequirement {
            service: self.spec.service.clone(),
            model: self.spec.model.clone(),
            version: self.state.lock().model_version.clone(),
            adapter: self.spec.adapter.clone(),
            prompt: sync::Arc::clone(&self.spec.prompt),
        }
    }

    /// Opens an attempt.
    pub fn open(&self, attempt: cursor::AttemptId) {
        self.state.lock().sequencer.open(attempt);
    }

    /// Closes an attempt for good.
    pub fn retire(&self, attempt: cursor::AttemptId) {
        self.state.lock().sequencer.retire(attempt);
    }

    /// Offers a token of an attempt at an endpoint and wakes readers when it is taken.
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

    /// Offers the end of an attempt.
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

    /// Starts the answer again with another model version; readers are told the reason.
    pub fn restart(&self, model_version: &str, reason: &str) {
        let mut state = self.state.lock();
        state.epoch += 1;
        reason.clone_into(&mut state.restart_reason);
        model_version.clone_into(&mut state.model_version);
        state.sequencer.restart();
        wake(state);
    }

    /// Ends the generation in another way than by its last token.
    pub fn end(&self, phase: GenerationPhase) {
        let mut state = self.state.lock();
        if state.phase == GenerationPhase::Running {
            state.phase = phase;
        }
        wake(state);
    }

    /// State for a router that goes on with the generation.
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
