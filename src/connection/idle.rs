//! Detects idle connections: no request is running and no bytes are being written.

use std::sync;
use std::time;

use async_std::net;
use async_std::task as std_task;

use crate::connection::head_limit;
use crate::connection::observed;

/// Tracks running requests and the last activity of one connection.
#[derive(Clone, Debug)]
pub struct ConnectionActivity {
    state: sync::Arc<parking_lot::Mutex<ActivityState>>,
}

#[derive(Debug)]
struct ActivityState {
    last_active: time::Instant,
    running_requests: u32,
}

impl ConnectionActivity {
    fn touch(&self) {
        self.state.lock().last_active = time::Instant::now();
    }

    /// Marks the connection as busy until the guard is dropped.
    #[must_use]
    pub fn begin(&self) -> ActivityGuard {
        let mut state = self.state.lock();
        state.running_requests += 1;
        state.last_active = time::Instant::now();
        ActivityGuard {
            activity: self.clone(),
        }
    }

    /// Waits until the connection has been idle for `limit`.
    pub async fn expired(&self, limit: time::Duration) {
        loop {
            let left = {
                let state = self.state.lock();
                let idle = if state.running_requests > 0 {
                    time::Duration::ZERO
                } else {
                    state.last_active.elapsed()
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

/// Marks a request as running on its connection until dropped.
#[derive(Debug)]
pub struct ActivityGuard {
    activity: ConnectionActivity,
}

impl Drop for ActivityGuard {
    fn drop(&mut self) {
        let mut state = self.activity.state.lock();
        state.running_requests -= 1;
        state.last_active = time::Instant::now();
    }
}

/// TCP stream whose writes count as activity.
///
/// Reads do not count, so that a request head that arrives byte by byte also times out.
pub type WatchedStream = observed::ObservedStream<ConnectionActivity>;

/// Wraps `stream` and returns the wrapper with its activity, which starts now.
#[must_use]
pub fn watch(stream: net::TcpStream) -> (WatchedStream, ConnectionActivity) {
    let state = ActivityState {
        last_active: time::Instant::now(),
        running_requests: 0,
    };
    let activity = ConnectionActivity {
        state: sync::Arc::new(parking_lot::Mutex::new(state)),
    };
    (
        observed::ObservedStream::new(stream, activity.clone())
            .limit_head(head_limit::HeadKind::Request),
        activity,
    )
}

impl observed::StreamObserver for ConnectionActivity {
    fn wrote(&self, _count: usize) {
        self.touch();
    }
}
