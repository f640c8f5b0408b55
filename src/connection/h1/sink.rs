//! Writes the answer to one caller's request.

use async_std::io::WriteExt as _;
use async_std::net;

use crate::connection::h1::{head, wire};

/// How far an answer has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SinkState {
    /// Nothing was written.
    NotStarted,
    /// The head and a part of the body were written.
    Started,
    /// The whole answer was written.
    Complete,
}

/// One answer on a caller's connection.
#[derive(Debug)]
pub struct AnswerSink {
    stream: net::TcpStream,
    state: SinkState,
    keeps: bool,
    is_http11: bool,
}

impl AnswerSink {
    /// A sink for the answer to `request`; `keeps` says whether the connection stays open after it.
    #[must_use]
    pub fn new(stream: net::TcpStream, request: &head::RequestHead, keeps: bool) -> Self {
        Self {
            stream,
            state: SinkState::NotStarted,
            keeps: keeps && request.is_http11,
            is_http11: request.is_http11,
        }
    }

    /// How far the answer has come.
    #[must_use]
    pub const fn state(&self) -> SinkState {
        self.state
    }

    /// Whether the connection can carry another request after this answer.
    #[must_use]
    pub fn may_reuse(&self) -> bool {
        self.keeps && self.state == SinkState::Complete
    }

    /// Writes a whole answer.
    ///
    /// # Errors
    /// The socket's error; the caller has gone.
    pub async fn send(&mut self, head: &head::ResponseHead, body: &[u8]) -> wire::Result<()> {
        let framing = head::BodyFraming::Length(body.len() as u64);
        let mut bytes = head::write_response(head, framing, self.keeps);
        bytes.extend_from_slice(body);
        self.state = SinkState::Started;
        self.stream.write_all(&bytes).await?;
        self.state = SinkState::Complete;
        Ok(())
    }

    /// Writes the head of a stream together with its first bytes, or more of its bytes.
    ///
    /// # Errors
    /// The socket's error; the caller has gone.
    pub async fn push(&mut self, head: &head::ResponseHead, data: &[u8]) -> wire::Result<()> {
        let mut bytes = Vec::with_capacity(data.len() + 16);
        self.begin(head, &mut bytes);
        if self.is_http11 && !data.is_empty() {
            head::write_chunk(&mut bytes, data);
        } else {
            bytes.extend_from_slice(data);
        }
        self.stream.write_all(&bytes).await
    }

    /// Ends a stream as whole.
    ///
    /// # Errors
    /// The socket's error; the caller has gone.
    pub async fn finish(&mut self, head: &head::ResponseHead) -> wire::Result<()> {
        let mut bytes = Vec::new();
        self.begin(head, &mut bytes);
        if self.is_http11 {
            bytes.extend_from_slice(head::LAST_CHUNK);
        }
        self.stream.write_all(&bytes).await?;
        self.state = SinkState::Complete;
        Ok(())
    }

    fn begin(&mut self, head: &head::ResponseHead, bytes: &mut Vec<u8>) {
        if self.state != SinkState::NotStarted {
            return;
        }
        self.state = SinkState::Started;
        let framing = if self.is_http11 {
            head::BodyFraming::Chunked
        } else {
            head::BodyFraming::UntilClose
        };
        bytes.extend_from_slice(&head::write_response(head, framing, self.keeps));
    }
}
