//! TCP stream with an observer that can reject writes and counts the bytes in each direction. Its reads
//! stay within the limit of a message head, and leave time to others.

use std::fmt;
use std::io as std_io;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;

use async_std::io;
use async_std::net;

use crate::connection::head_limit;

/// Consecutive reads after which other tasks and timers run first. A decoder goes on within one poll for
/// as long as bytes are there.
const MAX_READY_READS: u32 = 32;

/// Observes reads and writes of one connection.
pub trait StreamObserver: fmt::Debug + Send + Sync + Unpin {
    /// Called before each write, which is skipped on an error.
    ///
    /// # Errors
    /// Returned to the writer in place of the write.
    fn allow_write(&self) -> std_io::Result<()> {
        Ok(())
    }

    /// Called after `count` bytes were written to the socket.
    fn wrote(&self, _count: usize) {}

    /// Called after `count` bytes were read from the socket.
    fn read(&self, _count: usize) {}
}

/// TCP stream that reports reads and writes to an observer.
#[derive(Clone, Debug)]
pub struct ObservedStream<O> {
    stream: net::TcpStream,
    observer: O,
    head: Option<head_limit::HeadLimit>,
    /// Reads since the last one that had to wait.
    ready_reads: u32,
}

impl<O: StreamObserver> ObservedStream<O> {
    /// Wraps `stream`; earlier bytes are not reported.
    pub const fn new(stream: net::TcpStream, observer: O) -> Self {
        Self {
            stream,
            observer,
            head: None,
            ready_reads: 0,
        }
    }

    /// Limits the head that is read first. A clone made before any read limits a head of its own.
    #[must_use]
    pub fn limit_head(mut self, kind: head_limit::HeadKind) -> Self {
        self.head = Some(head_limit::HeadLimit::new(kind));
        self
    }
}

impl<O: StreamObserver> io::Read for ObservedStream<O> {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut [u8],
    ) -> task::Poll<std_io::Result<usize>> {
        if self.ready_reads >= MAX_READY_READS {
            self.ready_reads = 0;
            cx.waker().wake_by_ref();
            return task::Poll::Pending;
        }
        let poll = pin::Pin::new(&mut self.stream).poll_read(cx, buf);
        let task::Poll::Ready(Ok(count)) = poll else {
            self.ready_reads = 0;
            return poll;
        };
        self.ready_reads += 1;
        self.observer.read(count);
        if let Some(head) = &mut self.head {
            head.check(&buf[..count])?;
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

/// Counts the bytes written to the socket.
#[derive(Clone, Debug, Default)]
pub struct SentCounter {
    sent: sync::Arc<atomic::AtomicU64>,
}

impl SentCounter {
    /// Bytes written to the socket so far, including those that the peer has not received.
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
