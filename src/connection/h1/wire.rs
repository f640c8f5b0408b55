//! A TCP connection with a read buffer that is kept between messages.

use std::io;
use std::pin;
use std::task;

use async_std::io::Read as _;
use async_std::io::WriteExt as _;
use async_std::net;
use futures::future;

use crate::connection::h1::body;

/// Result of reading or writing.
pub type Result<T> = std::result::Result<T, io::Error>;

/// Size of one read from the socket, in bytes.
pub const READ_BYTES: usize = 8 * 1024;

/// Most parts in one write; systems take at least 1,024.
const MAX_WRITE_PARTS: usize = 1024;

/// Limit of bytes buffered while an answer is in flight; the rest stays in the socket.
const MAX_AHEAD_BYTES: usize = 16 * 1024;

/// Writes all bytes of `parts` in order, in one write as far as the socket takes them, without copying
/// them.
///
/// # Errors
/// The socket's error.
pub async fn write_parts(stream: &mut net::TcpStream, parts: &[&[u8]]) -> Result<()> {
    let slices = parts.iter().filter(|part| !part.is_empty());
    let mut slices: Vec<io::IoSlice<'_>> = slices.map(|part| io::IoSlice::new(part)).collect();
    let mut left = slices.as_mut_slice();
    while !left.is_empty() {
        let batch = left.len().min(MAX_WRITE_PARTS);
        let written = stream.write_vectored(&left[..batch]).await?;
        if written == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        io::IoSlice::advance_slices(&mut left, written);
    }
    Ok(())
}

/// A connection and the bytes read from it but not yet consumed.
#[derive(Debug)]
pub struct BufferedWire {
    stream: net::TcpStream,
    buffer: Vec<u8>,
}

impl BufferedWire {
    /// Wraps a connection from which nothing has been read.
    #[must_use]
    pub fn new(stream: net::TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Another handle to the connection, for writing or closing.
    #[must_use]
    pub fn stream(&self) -> net::TcpStream {
        self.stream.clone()
    }

    /// Bytes read but not yet consumed.
    #[must_use]
    pub fn buffered(&self) -> &[u8] {
        &self.buffer
    }

    /// Drops the first `count` buffered bytes.
    pub fn consume(&mut self, count: usize) {
        self.buffer.drain(..count);
    }

    /// Reads more bytes; 0 at the end of the connection.
    ///
    /// # Errors
    /// The socket's error.
    pub async fn fill(&mut self) -> Result<usize> {
        // The chunk is on the stack during a poll, so the future of an idle connection stays small.
        future::poll_fn(|context| {
            let mut chunk = [0_u8; READ_BYTES];
            let reading = pin::Pin::new(&mut self.stream).poll_read(context, &mut chunk);
            let count = std::task::ready!(reading)?;
            if self.buffer.capacity() - self.buffer.len() < count {
                // Grows by one read, as doubling takes more than what is announced to a budget.
                self.buffer.reserve_exact(READ_BYTES);
            }
            self.buffer.extend_from_slice(&chunk[..count]);
            task::Poll::Ready(Ok(count))
        })
        .await
    }

    /// Reads and discards bytes; returns their number, 0 at the end of the connection.
    ///
    /// # Errors
    /// The socket's error.
    pub async fn discard(&mut self) -> Result<usize> {
        future::poll_fn(|context| {
            let mut chunk = [0_u8; READ_BYTES];
            pin::Pin::new(&mut self.stream).poll_read(context, &mut chunk)
        })
        .await
    }

    /// Memory that the read buffer takes.
    #[must_use]
    pub const fn capacity(&self) -> usize {
        self.buffer.capacity()
    }

    /// Frees the read buffer if it is empty, so that an idle connection holds none.
    pub fn free_empty_buffer(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = Vec::new();
        }
    }

    /// Frees the read buffer and discards what it holds.
    pub fn free_buffer(&mut self) {
        self.buffer = Vec::new();
    }

    /// Completes when the peer has closed or reset the connection.
    ///
    /// Bytes of a following request are buffered. Once `MAX_AHEAD_BYTES` are buffered, it stops
    /// reading and never completes.
    pub async fn closed(&mut self) {
        loop {
            if self.buffer.len() >= MAX_AHEAD_BYTES {
                return future::pending().await;
            }
            if matches!(self.fill().await, Ok(0) | Err(_)) {
                return;
            }
        }
    }

    /// Writes all bytes.
    ///
    /// # Errors
    /// The socket's error.
    pub async fn write_all(&mut self, bytes: &[u8]) -> Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Writes all bytes of `parts` in order, in one write as far as the socket takes them.
    ///
    /// # Errors
    /// The socket's error.
    pub async fn write_parts(&mut self, parts: &[&[u8]]) -> Result<()> {
        write_parts(&mut self.stream, parts).await
    }

    /// Decodes the buffered bytes of a body into `output`.
    ///
    /// # Errors
    /// [`body::BodyError`] when the framing of the body is invalid.
    pub fn decode_buffered(
        &mut self,
        decoder: &mut body::BodyDecoder,
        output: &mut Vec<u8>,
    ) -> body::Result<()> {
        let used = decoder.decode(&self.buffer, output)?;
        self.consume(used);
        Ok(())
    }
}
