//! One answer while it is generated, shared by its driver and the callers that read it.

use std::sync;
use std::task;

use async_std::channel;
use futures::future;
use parking_lot::Mutex;

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
struct RecordState {
    epoch: u32,
    restart_reason: String,
    sequencer: sequencer::TokenSequencer,
    model_version: String,
    attempt: cursor::AttemptId,
    endpoint: String,
    phase: GenerationPhase,
    readers: u32,
    wakers: Vec<task::Waker>,
}

/// One answer, shared by its driver and its readers.
#[derive(Debug)]
pub struct GenerationRecord {
    /// What the caller asked for.
    pub spec: GenerationSpec,
    /// Identifier of the answer.
    pub id: cursor::GenerationId,
    sender: channel::Sender<source::DriverMessage>,
    state: Mutex<RecordState>,
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
            state: Mutex::new(state),
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
    pub fn need(&self) -> view::EngineNeed {
        view::EngineNeed {
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

/// What a reader gets next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReaderItem {
    /// A token and the cursor after it.
    Token {
        /// The token's text.
        text: String,
        /// Where the stream stands after it.
        cursor: cursor::StreamCursor,
    },
    /// The answer starts again at position 0.
    Restart {
        /// Why it could not go on.
        reason: String,
    },
    /// The generation ended.
    Ended {
        /// How it ended.
        phase: GenerationPhase,
        /// Tokens of the whole answer.
        count: u32,
    },
}

/// Reads one answer for one caller.
#[derive(Debug)]
pub struct GenerationReader {
    record: sync::Arc<GenerationRecord>,
    epoch: u32,
    position: u32,
    hash: cursor::PrefixHash,
    seek: Option<(u32, cursor::PrefixHash)>,
}

impl GenerationReader {
    /// A reader that delivers what follows `after`, or everything.
    #[must_use]
    pub fn new(record: &sync::Arc<GenerationRecord>, after: Option<&cursor::StreamCursor>) -> Self {
        let epoch = {
            let mut state = record.state.lock();
            state.readers += 1;
            state.epoch
        };
        let hash = record.spec.start_hash();
        let seek = after.map(|cursor| (cursor.position, cursor.hash));
        Self {
            record: sync::Arc::clone(record),
            epoch,
            position: 0,
            hash,
            seek,
        }
    }

    /// Tokens passed so far, delivered or skipped.
    #[must_use]
    pub fn position(&self) -> u32 {
        self.position
    }

    /// Waits for the next item; after [`ReaderItem::Ended`] it returns the same again.
    pub async fn next(&mut self) -> ReaderItem {
        future::poll_fn(|cx| self.poll_next(cx)).await
    }

    fn poll_next(&mut self, cx: &task::Context<'_>) -> task::Poll<ReaderItem> {
        let record = sync::Arc::clone(&self.record);
        let mut state = record.state.lock();
        if state.epoch != self.epoch {
            return task::Poll::Ready(self.restart(state.epoch, state.restart_reason.clone()));
        }
        if self.skip(state.sequencer.tokens()).is_err() {
            let reason = "the generation that the cursor names is lost".to_owned();
            return task::Poll::Ready(self.restart(state.epoch, reason));
        }
        let text = state
            .sequencer
            .tokens()
            .get(self.position as usize)
            .cloned();
        if let Some(text) = text.filter(|_text| self.seek.is_none()) {
            return task::Poll::Ready(self.take(text, &state));
        }
        if state.phase != GenerationPhase::Running {
            let phase = state.phase.clone();
            if self.seek.is_some() && matches!(phase, GenerationPhase::Finished { .. }) {
                let reason = "the cursor is past the end of the generation".to_owned();
                return task::Poll::Ready(self.restart(state.epoch, reason));
            }
            return task::Poll::Ready(ReaderItem::Ended {
                phase,
                count: state.sequencer.len(),
            });
        }
        if !state.wakers.iter().any(|waker| waker.will_wake(cx.waker())) {
            state.wakers.push(cx.waker().clone());
        }
        task::Poll::Pending
    }

    /// Skips to the wanted position; fails when the tokens are not those that were delivered.
    fn skip(&mut self, tokens: &[String]) -> std::result::Result<(), cursor::CursorError> {
        let Some((position, hash)) = self.seek else {
            return Ok(());
        };
        for text in tokens
            .iter()
            .take(position as usize)
            .skip(self.position as usize)
        {
            self.hash = self.hash.then(text);
            self.position += 1;
        }
        if self.position < position {
            return Ok(());
        }
        if self.hash != hash {
            return Err(cursor::CursorError);
        }
        self.seek = None;
        Ok(())
    }

    fn take(&mut self, text: String, state: &RecordState) -> ReaderItem {
        self.hash = self.hash.then(&text);
        self.position += 1;
        let cursor = cursor::StreamCursor {
            generation: self.record.id,
            position: self.position,
            attempt: state.attempt,
            hash: self.hash,
            endpoint: state.endpoint.clone(),
            model_version: state.model_version.clone(),
        };
        ReaderItem::Token { text, cursor }
    }

    fn restart(&mut self, epoch: u32, reason: String) -> ReaderItem {
        self.epoch = epoch;
        self.position = 0;
        self.hash = self.record.spec.start_hash();
        self.seek = None;
        ReaderItem::Restart { reason }
    }
}

impl Drop for GenerationReader {
    fn drop(&mut self) {
        self.record.state.lock().readers -= 1;
    }
}
