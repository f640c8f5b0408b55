//! Accepts connections up to a limit; connections to a tide application also have an idle timeout.

use std::net as std_net;
use std::pin;
use std::sync;
use std::time;

use async_std::future as async_future;
use async_std::io;
use async_std::io::ReadExt as _;
use async_std::io::WriteExt as _;
use async_std::net;
use async_std::task;
use futures::future;
use stop_token::future::FutureExt as _;

use crate::connection::idle;
use crate::connection::refusal;
use crate::process::view;
use crate::request::verdict;

/// Limits of a listener.
#[derive(Clone, Copy, Debug)]
pub struct AcceptLimits {
    /// Most connections open at the same time.
    pub max_connections: usize,
    /// Time within which the head of the next request must arrive.
    pub idle_timeout: time::Duration,
}

/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Most bytes of a refused request that are read and discarded.
const MAX_DISCARD_BYTES: u64 = 1024 * 1024;

/// Longest time spent on reading and discarding a refused request.
const DISCARD_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// `Retry-After` of a connection refused because of the connection limit.
const OVERLOADED_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// Serves `application` until `token` is cancelled; connections open by then run to their end.
pub async fn serve<State>(
    listener: net::TcpListener,
    application: tide::Server<State>,
    limits: AcceptLimits,
    counters: sync::Arc<dyn view::CounterSink>,
    token: stop_token::StopToken,
) where
    State: Clone + Send + Sync + 'static,
{
    let refuse_connection = |stream: net::TcpStream| {
        let _unsupported = stream.set_nodelay(true);
        counters.count("caller.connection_refused");
        task::spawn(refuse(stream, too_many_connections()));
    };
    let serve = |stream: net::TcpStream| {
        // With Nagle's algorithm, each token would wait for the acknowledgement of the last.
        let _unsupported = stream.set_nodelay(true);
        serve_connection(stream, application.clone(), limits)
    };
    serve_connections(
        listener,
        limits.max_connections,
        token,
        refuse_connection,
        serve,
    )
    .await;
}

/// Runs `serve` on each accepted connection until `token` is cancelled; connections open by then
/// run to their end. While `max_connections` are open, new ones go to `refuse_connection`.
pub async fn serve_connections<Serving>(
    listener: net::TcpListener,
    max_connections: usize,
    token: stop_token::StopToken,
    refuse_connection: impl Fn(net::TcpStream),
    serve: impl Fn(net::TcpStream) -> Serving,
) where
    Serving: Future<Output = ()> + Send + 'static,
{
    let open = sync::Arc::new(());
    while let Ok(accepted) = listener.accept().timeout_at(token.clone()).await {
        let Ok((stream, _peer)) = accepted else {
            task::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if sync::Arc::strong_count(&open) > max_connections {
            refuse_connection(stream);
            continue;
        }
        let slot = sync::Arc::clone(&open);
        let serving = serve(stream);
        task::spawn(async move {
            serving.await;
            drop(slot);
        });
    }
}

async fn serve_connection<State>(
    stream: net::TcpStream,
    application: tide::Server<State>,
    limits: AcceptLimits,
) where
    State: Clone + Send + Sync + 'static,
{
    let (watched, activity) = idle::watch(stream.clone());
    let respond = |request| {
        let application = application.clone();
        let busy = activity.begin();
        async move {
            let response = application.respond(request).await;
            drop(busy);
            response
        }
    };
    let serving = pin::pin!(async_h1::accept(watched, respond));
    let expiring = pin::pin!(activity.expired(limits.idle_timeout));
    let served = future::select(serving, expiring).await;
    match served {
        future::Either::Left((Err(error), _expired)) => {
            refuse(stream, bad_head(&error.to_string())).await;
        }
        future::Either::Left((Ok(()), _expired)) => {}
        future::Either::Right(((), _serving)) => {
            // The peer may have closed the connection already.
            let _closed = stream.shutdown(std_net::Shutdown::Both);
        }
    }
}

fn too_many_connections() -> verdict::RequestRefusal {
    let message = "the router has reached its connection limit; use another address";
    verdict::RequestRefusal::not_run(503, verdict::RefusalCode::Overloaded, message)
        .retry_after(OVERLOADED_RETRY_AFTER)
}

fn bad_head(message: &str) -> verdict::RequestRefusal {
    let status = if message.contains("8kb") { 431 } else { 400 };
    let message = format!("the request head cannot be read: {message}");
    verdict::RequestRefusal::not_run(status, verdict::RefusalCode::BadRequest, message)
}

/// Sends a refusal without reading a request, then closes the connection.
async fn refuse(mut stream: net::TcpStream, refusal: verdict::RequestRefusal) {
    let body = refusal::body(&refusal).to_string();
    let retry = refusal
        .retry_after_seconds()
        .map_or_else(String::new, |seconds| format!("retry-after: {seconds}\r\n"));
    let head = format!(
        "HTTP/1.1 {} Refused\r\ncontent-type: application/json\r\ncontent-length: {}\r\n{}: {}\r\n\
         {retry}connection: close\r\n\r\n",
        refusal.status,
        body.len(),
        verdict::VERDICT_HEADER,
        refusal.verdict,
    );
    let text = format!("{head}{body}");
    if stream.write_all(text.as_bytes()).await.is_err() {
        // The peer has closed the connection.
        return;
    }
    discard_request(stream).await;
}

/// Reads and discards what the peer still sends. Closing a socket with unread bytes resets the
/// connection, and the peer might lose the refusal.
async fn discard_request(stream: net::TcpStream) {
    if stream.shutdown(std_net::Shutdown::Write).is_err() {
        return;
    }
    let discarding = io::copy(stream.take(MAX_DISCARD_BYTES), io::sink());
    // Bytes that arrive after the timeout are not read.
    let _discarded = async_future::timeout(DISCARD_TIMEOUT, discarding).await;
}
