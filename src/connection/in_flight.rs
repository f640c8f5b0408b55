//! Middleware that counts a request until the last byte of its answer is written.

use std::io as std_io;
use std::pin;
use std::sync;
use std::task;

use async_std::io;
use futures::FutureExt as _;
use futures::future;

use crate::connection::service::SendGate as _;
use crate::process::node;
use crate::process::readiness;

/// Counts a request from its head to the end of its answer; once the router is closed, its
/// connection ends with it.
#[must_use]
pub fn count_request(
    request: tide::Request<sync::Arc<node::RouterNode>>,
    next: tide::Next<'_, sync::Arc<node::RouterNode>>,
) -> future::BoxFuture<'_, tide::Result> {
    let node = sync::Arc::clone(request.state());
    async move {
        let guard = node.requests.enter();
        let mut response = next.run(request).await;
        if !node.readiness.may_start() {
            response.insert_header("connection", "close");
        }
        let body = response.take_body();
        response.set_body(CountedBody::wrap(body, guard));
        Ok(response)
    }
    .boxed()
}

/// Body that holds the guard of its request.
///
/// The HTTP encoder drops a body only after all that it read from it is written to the socket.
#[derive(Debug)]
pub struct CountedBody {
    body: http_types::Body,
    _guard: readiness::RequestGuard,
}

impl CountedBody {
    /// Body that reads `body` and keeps `guard` until it is dropped.
    #[must_use]
    pub fn wrap(body: http_types::Body, guard: readiness::RequestGuard) -> http_types::Body {
        let length = body.len();
        let counted_body = Self {
            body,
            _guard: guard,
        };
        http_types::Body::from_reader(counted_body, length)
    }
}

impl io::Read for CountedBody {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut [u8],
    ) -> task::Poll<std_io::Result<usize>> {
        pin::Pin::new(&mut self.body).poll_read(cx, buf)
    }
}

impl io::BufRead for CountedBody {
    fn poll_fill_buf(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<std_io::Result<&[u8]>> {
        pin::Pin::new(&mut self.get_mut().body).poll_fill_buf(cx)
    }

    fn consume(mut self: pin::Pin<&mut Self>, amt: usize) {
        pin::Pin::new(&mut self.body).consume(amt);
    }
}
