//! One attempt's tokens, read by any number of attachments.

use futures::channel::mpsc;
use kumquatpulley::connection::engine_wire;
use kumquatpulley::connection::sse;

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptState {
    /// Waits for a slot.
    Waiting,
    /// Computes.
    Running,
    /// Computed its last token.
    Finished,
    /// Cancelled before its last token.
    Cancelled,
}

/// One attempt.
#[derive(Debug)]
pub struct AttemptStream {
    core: parking_lot::Mutex<StreamCore>,
}

#[derive(Debug)]
struct StreamCore {
    tokens: Vec<String>,
    state: AttemptState,
    readers: Vec<mpsc::UnboundedSender<String>>,
}

impl AttemptStream {
    /// An attempt that goes on after `prefix`.
    pub fn new(prefix: Vec<String>) -> Self {
        Self {
            core: parking_lot::Mutex::new(StreamCore {
                tokens: prefix,
                state: AttemptState::Waiting,
                readers: Vec::new(),
            }),
        }
    }

    /// Present state.
    pub fn state(&self) -> AttemptState {
        self.core.lock().state
    }

    /// Marks the attempt as computing, unless it was cancelled.
    pub fn start(&self) -> bool {
        let mut core = self.core.lock();
        if core.state != AttemptState::Waiting {
            return false;
        }
        core.state = AttemptState::Running;
        true
    }

    /// Encoded events from position `from`, then those to come.
    pub fn attach(&self, from: usize) -> mpsc::UnboundedReceiver<String> {
        let (sender, receiver) = mpsc::unbounded();
        let mut core = self.core.lock();
        for (index, text) in core.tokens.iter().enumerate().skip(from) {
            let _ = sender.unbounded_send(encode_token(index, text));
        }
        match core.state {
            AttemptState::Finished => {
                let _ = sender.unbounded_send(encode_end(core.tokens.len()));
            }
            AttemptState::Cancelled => {}
            AttemptState::Waiting | AttemptState::Running => core.readers.push(sender),
        }
        receiver
    }

    /// Adds a token; false when the attempt was cancelled.
    pub fn push(&self, text: String) -> bool {
        let mut core = self.core.lock();
        if core.state != AttemptState::Running {
            return false;
        }
        let event = encode_token(core.tokens.len(), &text);
        core.tokens.push(text);
        core.readers
            .retain(|reader| reader.unbounded_send(event.clone()).is_ok());
        true
    }

    /// Ends the stream after its last token.
    pub fn finish(&self) {
        let mut core = self.core.lock();
        if core.state != AttemptState::Running {
            return;
        }
        core.state = AttemptState::Finished;
        let event = encode_end(core.tokens.len());
        for reader in core.readers.drain(..) {
            let _ = reader.unbounded_send(event.clone());
        }
    }

    /// Ends the stream where it is; false when it had ended.
    pub fn cancel(&self) -> bool {
        let mut core = self.core.lock();
        if !matches!(core.state, AttemptState::Waiting | AttemptState::Running) {
            return false;
        }
        core.state = AttemptState::Cancelled;
        core.readers.clear();
        true
    }
}

fn encode_token(index: usize, text: &str) -> String {
    encode(&engine_wire::EngineEvent::Token {
        index: u32::try_from(index).unwrap_or(u32::MAX),
        text: text.to_owned(),
    })
}

fn encode_end(count: usize) -> String {
    encode(&engine_wire::EngineEvent::Finished {
        count: u32::try_from(count).unwrap_or(u32::MAX),
        finish_reason: "length".to_owned(),
    })
}

fn encode(event: &engine_wire::EngineEvent) -> String {
    let data = serde_json::to_string(event).expect("engine events are plain data");
    let event = sse::StreamEvent {
        data,
        ..sse::StreamEvent::default()
    };
    event.encode()
}
