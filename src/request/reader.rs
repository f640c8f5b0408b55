//! Readers of a generation: each delivers the answer to one caller, starting at its cursor.

use std::sync;
use std::task;

use futures::future;

use crate::request::cursor;
use crate::request::generation;

/// Item delivered by a reader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReaderItem {
    /// A token and the cursor after it.
    Token {
        /// The token's text.
        text: String,
        /// Position of the stream after the token.
        cursor: cursor::StreamCursor,
    },
    /// The answer restarts at position 0.
    Restart {
        /// Why the answer could not be resumed.
        reason: String,
    },
    /// The generation ended.
    Ended {
        /// How it ended.
        phase: generation::GenerationPhase,
        /// Number of tokens held when the generation ended.
        count: u32,
    },
}

/// Delivers one answer to one caller.
#[derive(Debug)]
pub struct GenerationReader {
    record: sync::Arc<generation::GenerationRecord>,
    epoch: u32,
    position: u32,
    hash: cursor::PrefixHash,
    seek: Option<(u32, cursor::PrefixHash)>,
}

impl GenerationReader {
    /// Creates a reader that delivers the tokens after the cursor `after`, or all tokens.
    #[must_use]
    pub fn new(
        record: &sync::Arc<generation::GenerationRecord>,
        after: Option<&cursor::StreamCursor>,
    ) -> Self {
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

    /// Number of tokens delivered or skipped so far.
    #[must_use]
    pub fn position(&self) -> u32 {
        self.position
    }

    /// Waits for the next item; after [`ReaderItem::Ended`] it returns the same item again.
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
        if state.phase != generation::GenerationPhase::Running {
            let phase = state.phase.clone();
            if self.seek.is_some() && matches!(phase, generation::GenerationPhase::Finished { .. })
            {
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

    /// Skips to the cursor's position; fails when the skipped tokens differ from those delivered.
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

    fn take(&mut self, text: String, state: &generation::RecordState) -> ReaderItem {
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
