//! Accepts connections with a bound on their number; for a tide application also on head and idle time.

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

/// Bounds of a listener.
#[derive(Clone, Copy, Debug)]
pub struct AcceptLimits {
    /// Connections at the same time.
    pub max_connections: usize,
    /// Time within which the next request's head has to arrive.
    pub idle_timeout: time::Duration,
}

/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Bytes of a refused request that are read and dropped at most.
const DISCARD_BYTES: u64 = 1024 * 1024;

/// Time for which a refused request is read.
const DISCARD_LIMIT: time::Duration = time::Duration::from_secs(1);

/// When a caller that found no room may come back.
const ROOM_DELAY: time::Duration = time::Duration::from_secs(1);

/// Serves `application` until `token` is cancelled; open connections are left to end.
pub async fn serve<State>(
    listener: net::TcpListener,
    application: tide::Server<State>,
    limits: AcceptLimits,
    counters: sync::Arc<dyn view::CounterSink>,
    token: stop_token::StopToken,
) where
    State: Clone + Send + Sync + 'static,
{
    let turn_away = |stream: net::TcpStream| {
        let _unsupported = stream.set_nodelay(true);
        counters.count("caller.connection_refused");
        task::spawn(refuse(stream, no_room()));
    };
    let serve = |stream: net::TcpStream| {
        // Without this option each token would wait for the peer's acknowledgement.
        let _unsupported = stream.set_nodelay(true);
        serve_one(stream, application.clone(), limits)
    };
    serve_connections(listener, limits.max_connections, token, turn_away, serve).await;
}

/// Runs `serve` on each connection until `token` is cancelled, without ending what runs then; hands
/// those over `most` at the same time to `turn_away`.
pub async fn serve_connections<Serving>(
    listener: net::TcpListener,
    most: usize,
    token: stop_token::StopToken,
    turn_away: impl Fn(net::TcpStream),
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
        if sync::Arc::strong_count(&open) > most {
            turn_away(stream);
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

async fn serve_one<State>(
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

fn no_room() -> verdict::RequestRefusal {
    let message = "the router has no room for another connection; use another address";
    verdict::RequestRefusal::not_run(503, verdict::RefusalCode::Overloaded, message)
        .retry_after(ROOM_DELAY)
}

fn bad_head(message: &str) -> verdict::RequestRefusal {
    let status = if message.contains("8kb") { 431 } else { 400 };
    let message = format!("the request head cannot be read: {message}");
    verdict::RequestRefusal::not_run(status, verdict::RefusalCode::BadRequest, message)
}

/// Writes a refusal without reading a request and closes the connection.
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
        // A peer that has gone needs no refusal.
        return;
    }
    discard_request(stream).await;
}

/// Reads what the peer still sends: closing with unread bytes would reset the connection, and the
/// peer might lose the refusal.
async fn discard_request(stream: net::TcpStream) {
    if stream.shutdown(std_net::Shutdown::Write).is_err() {
        return;
    }
    let discarding = io::copy(stream.take(DISCARD_BYTES), io::sink());
    // What is left after the time limit is not worth waiting for.
    let _discarded = async_future::timeout(DISCARD_LIMIT, discarding).await;
}
