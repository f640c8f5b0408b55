//! Notices connections on which nothing happens: no request runs and no byte can be written.

use std::sync;
use std::time;

use async_std::net;
use async_std::task as std_task;

use crate::connection::observed;

/// What happens on one connection.
#[derive(Clone, Debug)]
pub struct ConnectionActivity {
    state: sync::Arc<parking_lot::Mutex<ActivityState>>,
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
pub type WatchedStream = observed::ObservedStream<ConnectionActivity>;

/// Watches `stream` from now on, and the activity on it.
#[must_use]
pub fn watch(stream: net::TcpStream) -> (WatchedStream, ConnectionActivity) {
    let state = ActivityState {
        last: time::Instant::now(),
        running: 0,
    };
    let activity = ConnectionActivity {
        state: sync::Arc::new(parking_lot::Mutex::new(state)),
    };
    (
        observed::ObservedStream::new(stream, activity.clone()),
        activity,
    )
}

impl observed::StreamObserver for ConnectionActivity {
    fn wrote(&self, _count: usize) {
        self.touch();
    }
}
