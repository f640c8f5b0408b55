//! TCP stream with an observer that may refuse writes and is told of every byte.

use std::fmt;
use std::io as std_io;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;

use async_std::io;
use async_std::net;

/// Watches the bytes of one connection.
pub trait StreamObserver: fmt::Debug + Send + Sync + Unpin {
    /// Asked before each write.
    ///
    /// # Errors
    /// The error that the writer gets in place of its write.
    fn allow_write(&self) -> std_io::Result<()> {
        Ok(())
    }

    /// Told of bytes that were handed to the socket.
    fn wrote(&self, _count: usize) {}

    /// Told of bytes that came from the socket.
    fn read(&self, _count: usize) {}
}

/// TCP stream that tells an observer what passes.
#[derive(Clone, Debug)]
pub struct ObservedStream<O> {
    stream: net::TcpStream,
    observer: O,
}

impl<O: StreamObserver> ObservedStream<O> {
    /// Watches `stream` from now on.
    pub const fn new(stream: net::TcpStream, observer: O) -> Self {
        Self { stream, observer }
    }
}

impl<O: StreamObserver> io::Read for ObservedStream<O> {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut [u8],
    ) -> task::Poll<std_io::Result<usize>> {
        let poll = pin::Pin::new(&mut self.stream).poll_read(cx, buf);
        if let task::Poll::Ready(Ok(count)) = poll {
            self.observer.read(count);
        }
        poll
    }
}

impl<O: StreamObserver> io::Write for ObservedStream<O> {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<std_io::Result<usize>> {
        if let Err(error) = self.observer.allow_write() {
            return task::Poll::Ready(Err(error));
        }
        let poll = pin::Pin::new(&mut self.stream).poll_write(cx, buf);
        if let task::Poll::Ready(Ok(count)) = poll {
            self.observer.wrote(count);
        }
        poll
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<std_io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<std_io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_close(cx)
    }
}

/// Counts the bytes that were handed to the socket.
#[derive(Clone, Debug, Default)]
pub struct SentCounter {
    sent: sync::Arc<atomic::AtomicU64>,
}

impl SentCounter {
    /// Bytes handed to the socket so far.
    #[must_use]
    pub fn sent(&self) -> u64 {
        self.sent.load(atomic::Ordering::Relaxed)
    }
}

impl StreamObserver for SentCounter {
    fn wrote(&self, count: usize) {
        self.sent.fetch_add(count as u64, atomic::Ordering::Relaxed);
    }
}
