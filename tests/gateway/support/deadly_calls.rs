//! Requests under which a fake endpoint crashes before it has sent a byte of an answer.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use crate::support::fakes;

/// A request that crashes an endpoint; `None` stands for any value.
#[derive(Clone, Copy, Debug)]
pub struct DeadlyCall {
    pub path: &'static str,
    pub body: Option<&'static [u8]>,
    pub workspace: Option<&'static str>,
}

impl DeadlyCall {
    /// Any request with this path.
    pub const fn of_path(path: &'static str) -> Self {
        Self {
            path,
            body: None,
            workspace: None,
        }
    }

    fn matches(&self, request: &fakes::ReceivedRequest) -> bool {
        let workspace = request.field("Kumquatpulley-Tenant");
        request.head.target == self.path
            && self.body.is_none_or(|body| body == request.body)
            && self
                .workspace
                .is_none_or(|known| workspace.as_deref() == Some(known))
    }
}

/// What an endpoint does with requests that have no prompt.
#[derive(Debug, Default)]
pub struct CallState {
    deadly: sync::Mutex<Option<DeadlyCall>>,
    /// Time that a plain request runs, in milliseconds.
    run_ms: atomic::AtomicU64,
    /// Connections of requests in flight, each with a number of its own.
    open: sync::Mutex<Vec<(u64, net::TcpStream)>>,
    next_number: atomic::AtomicU64,
}

impl CallState {
    pub fn set_deadly(&self, call: Option<DeadlyCall>) {
        *self.deadly.lock().expect("not poisoned") = call;
    }

    pub fn is_deadly(&self, request: &fakes::ReceivedRequest) -> bool {
        let deadly = self.deadly.lock().expect("not poisoned");
        deadly.is_some_and(|call| call.matches(request))
    }

    pub fn set_run_time(&self, run_time: time::Duration) {
        let millis = u64::try_from(run_time.as_millis()).expect("a short time");
        self.run_ms.store(millis, atomic::Ordering::SeqCst);
    }

    pub fn run_time(&self) -> time::Duration {
        time::Duration::from_millis(self.run_ms.load(atomic::Ordering::SeqCst))
    }

    /// Keeps a handle of the connection until [`CallState::close`].
    pub fn open(&self, stream: &net::TcpStream) -> u64 {
        let number = self.next_number.fetch_add(1, atomic::Ordering::SeqCst);
        let stream = stream.try_clone().expect("a free descriptor");
        let mut open = self.open.lock().expect("not poisoned");
        open.push((number, stream));
        number
    }

    pub fn close(&self, number: u64) {
        let mut open = self.open.lock().expect("not poisoned");
        open.retain(|(known, _stream)| *known != number);
    }

    /// Resets the connections of all requests in flight.
    pub fn reset_all(&self) {
        let mut open = self.open.lock().expect("not poisoned");
        for (_number, stream) in open.drain(..) {
            fakes::reset(&stream);
        }
    }
}
