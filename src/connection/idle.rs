//! Notices connections on which nothing happens: no request runs and no byte can be written.

use std::io as std_io;
use std::pin;
use std::sync;
use std::task;
use std::time;

use async_std::io;
use async_std::net;
use async_std::task as std_task;
use parking_lot::Mutex;

/// What happens on one connection.
#[derive(Clone, Debug)]
pub struct ConnectionActivity {
    state: sync::Arc<Mutex<ActivityState>>,
}

#[derive(Debug)]
struct ActivityState {
    last: time::Instant,
    running: u32,
}

impl ConnectionActivity {
    fn touch(&self) {
        self.state.lock().last = time::Instant::now();
    }

    /// Keeps the connection from being idle until the guard is dropped.
    #[must_use]
    pub fn begin(&self) -> ActivityGuard {
        let mut state = self.state.lock();
        state.running += 1;
        state.last = time::Instant::now();
        ActivityGuard {
            activity: self.clone(),
        }
    }

    /// Waits until the connection has been idle for `limit`.
    pub async fn expired(&self, limit: time::Duration) {
        loop {
            let left = {
                let state = self.state.lock();
                let idle = if state.running > 0 {
                    time::Duration::ZERO
                } else {
                    state.last.elapsed()
                };
                limit.saturating_sub(idle)
            };
            if left.is_zero() {
                return;
            }
            std_task::sleep(left).await;
        }
    }
}

/// A request that runs on a connection.
#[derive(Debug)]
pub struct ActivityGuard {
    activity: ConnectionActivity,
}

impl Drop for ActivityGuard {
    fn drop(&mut self) {
        let mut state = self.activity.state.lock();
        state.running -= 1;
        state.last = time::Instant::now();
    }
}

/// TCP stream whose writes count as activity.
///
/// Reads do not count, so that a request head that trickles in is bounded as well.
#[derive(Clone, Debug)]
pub struct WatchedStream {
    stream: net::TcpStream,
    activity: ConnectionActivity,
}

impl WatchedStream {
    /// Watches `stream` from now on.
    #[must_use]
    pub fn new(stream: net::TcpStream) -> Self {
        let state = ActivityState {
            last: time::Instant::now(),
            running: 0,
        };
        let activity = ConnectionActivity {
            state: sync::Arc::new(Mutex::new(state)),
        };
        Self { stream, activity }
    }

    /// What happens on the connection.
    #[must_use]
    pub fn activity(&self) -> ConnectionActivity {
        self.activity.clone()
    }
}

impl io::Read for WatchedStream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut [u8],
    ) -> task::Poll<std_io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl io::Write for WatchedStream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<std_io::Result<usize>> {
        let poll = pin::Pin::new(&mut self.stream).poll_write(cx, buf);
        if let task::Poll::Ready(Ok(_count)) = poll {
            self.activity.touch();
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
