//! Tasks that read an engine's stream and forward its events to the driver of a generation.

use async_std::channel;
use async_std::task;
use stop_token::future::FutureExt as _;

use crate::connection::engine;
use crate::connection::engine_wire;
use crate::request::cursor;

/// Identifies one open stream of a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SourceId(pub u32);

/// Event of an engine stream.
#[derive(Clone, Debug)]
pub enum SourceEvent {
    /// The engine accepted the request and started to stream.
    Opened,
    /// A keep-alive without a token.
    Alive,
    /// A token and its position.
    Token {
        /// Position in the whole answer, from 0.
        index: u32,
        /// The token's text.
        text: String,
    },
    /// The engine reported the end of the answer.
    Finished {
        /// Number of tokens in the whole answer.
        count: u32,
        /// `stop` or `length`.
        finish_reason: String,
    },
    /// The stream failed; no further events follow.
    Lost(engine::EngineError),
}

/// Message to the driver of a generation.
#[derive(Clone, Debug)]
pub enum DriverMessage {
    /// Event of one of its streams.
    Source(SourceId, SourceEvent),
    /// Another router takes over the generation.
    HandOver {
        /// Name of that router.
        router: String,
    },
    /// The process is draining; callers resume at another router.
    Move,
}

/// How a stream is opened.
#[derive(Clone, Debug)]
pub enum SourceOpening {
    /// Starts a generation, or continues one after a prefix.
    Start(Box<engine_wire::EngineRequest>),
    /// Attaches to a running stream.
    Attach {
        /// Attempt whose stream is attached to.
        attempt: cursor::AttemptId,
        /// Position of the first token to receive.
        from: u32,
    },
}

/// Spawns a task that reads a stream until it ends or `token` is cancelled.
pub fn spawn(
    source: SourceId,
    address: String,
    opening: SourceOpening,
    sender: channel::Sender<DriverMessage>,
    token: stop_token::StopToken,
) {
    task::spawn(async move {
        let reading = read(source, &address, opening, &sender)
            .timeout_at(token)
            .await;
        let Ok(Err(error)) = reading else { return };
        // Sending fails only when the driver has ended, and then the message is not needed.
        let _closed = sender
            .send(DriverMessage::Source(source, SourceEvent::Lost(error)))
            .await;
    });
}

async fn read(
    source: SourceId,
    address: &str,
    opening: SourceOpening,
    sender: &channel::Sender<DriverMessage>,
) -> engine::Result<()> {
    let mut stream = match opening {
        SourceOpening::Start(request) => engine::start(address, &request).await?,
        SourceOpening::Attach { attempt, from } => engine::attach(address, attempt, from).await?,
    };
    let mut event = SourceEvent::Opened;
    loop {
        let is_end = matches!(event, SourceEvent::Finished { .. });
        if sender
            .send(DriverMessage::Source(source, event))
            .await
            .is_err()
            || is_end
        {
            return Ok(());
        }
        event = SourceEvent::from(stream.next().await?);
    }
}

impl From<engine::EngineItem> for SourceEvent {
    fn from(item: engine::EngineItem) -> Self {
        match item {
            engine::EngineItem::Alive => Self::Alive,
            engine::EngineItem::Event(engine_wire::EngineEvent::Token { index, text }) => {
                Self::Token { index, text }
            }
            engine::EngineItem::Event(engine_wire::EngineEvent::Finished {
                count,
                finish_reason,
            }) => Self::Finished {
                count,
                finish_reason,
            },
        }
    }
}
