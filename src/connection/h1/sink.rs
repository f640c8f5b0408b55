//! Writes the answer to one caller's request.

use std::time;

use async_std::io::WriteExt as _;
use async_std::net;

use crate::connection::h1::{head, wire};

/// Progress of writing an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SinkState {
    /// Nothing has been written.
    NotStarted,
    /// Writing has begun; the head and part of the body may have been sent.
    Started,
    /// The whole answer has been written.
    Complete,
}

/// Writer for one answer on a caller's connection.
#[derive(Debug)]
pub struct AnswerSink {
    stream: net::TcpStream,
    state: SinkState,
    is_kept_alive: bool,
    is_http11: bool,
}

impl AnswerSink {
    /// Creates a sink for the answer to `request`; `is_kept_alive` asks for connection reuse.
    #[must_use]
    pub fn new(stream: net::TcpStream, request: &head::RequestHead, is_kept_alive: bool) -> Self {
        Self {
            stream,
            state: SinkState::NotStarted,
            is_kept_alive: is_kept_alive && request.is_http11,
            is_http11: request.is_http11,
        }
    }

    /// Progress of the answer.
    #[must_use]
    pub const fn state(&self) -> SinkState {
        self.state
    }

    /// Whether the connection can be reused after this answer.
    #[must_use]
    pub fn may_reuse(&self) -> bool {
        self.is_kept_alive && self.state == SinkState::Complete
    }

    /// Whether the connection has to be reset, as the caller takes its orderly end for the end of the
    /// answer.
    #[must_use]
    pub fn must_reset(&self) -> bool {
        !self.is_http11 && self.state == SinkState::Started
    }

    /// Writes a complete answer.
    ///
    /// # Errors
    /// The socket's error; the caller has disconnected.
    pub async fn send(&mut self, head: &head::ResponseHead, body: &[u8]) -> wire::Result<()> {
        let framing = head::BodyFraming::Length(body.len() as u64);
        let bytes = head::write_response(head, framing, self.is_kept_alive);
        self.state = SinkState::Started;
        wire::write_parts(&mut self.stream, &[&bytes, body]).await?;
        self.state = SinkState::Complete;
        Ok(())
    }

    /// Writes part of a streamed body; the first call also writes the head.
    ///
    /// # Errors
    /// The socket's error; the caller has disconnected.
    pub async fn push(&mut self, head: &head::ResponseHead, data: &[u8]) -> wire::Result<()> {
        let mut bytes = Vec::with_capacity(data.len() + 16);
        self.begin(head, &mut bytes)?;
        if self.is_http11 && !data.is_empty() {
            head::write_chunk(&mut bytes, data);
        } else {
            bytes.extend_from_slice(data);
        }
        self.stream.write_all(&bytes).await
    }

    /// Completes a streamed body.
    ///
    /// # Errors
    /// The socket's error; the caller has disconnected.
    pub async fn finish(&mut self, head: &head::ResponseHead) -> wire::Result<()> {
        let mut bytes = Vec::new();
        self.begin(head, &mut bytes)?;
        if self.is_http11 {
            bytes.extend_from_slice(head::LAST_CHUNK);
        }
        self.stream.write_all(&bytes).await?;
        if !self.is_http11 {
            self.set_reset_on_close(false)?;
        }
        self.state = SinkState::Complete;
        Ok(())
    }

    fn begin(&mut self, head: &head::ResponseHead, bytes: &mut Vec<u8>) -> wire::Result<()> {
        if self.state != SinkState::NotStarted {
            return Ok(());
        }
        let framing = if self.is_http11 {
            head::BodyFraming::Chunked
        } else {
            // The caller takes an orderly end of the connection for the end of the body. Set before
            // the first byte, so that it also holds when the process is killed.
            self.set_reset_on_close(true)?;
            head::BodyFraming::UntilClose
        };
        self.state = SinkState::Started;
        bytes.extend_from_slice(&head::write_response(head, framing, self.is_kept_alive));
        Ok(())
    }

    fn set_reset_on_close(&self, is_reset: bool) -> wire::Result<()> {
        let linger = is_reset.then_some(time::Duration::ZERO);
        socket2::SockRef::from(&self.stream).set_linger(linger)
    }
}
