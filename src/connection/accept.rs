//! Accepts connections up to a limit; connections to a tide application also have an idle timeout.

use std::net as std_net;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::time;

use async_std::channel;
use async_std::net;
use async_std::task;
use futures::future;
use http_types::headers;
use stop_token::future::FutureExt as _;

use crate::connection::caller_intake;
use crate::connection::idle;
use crate::connection::refused_connection;
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

/// Serves `application` until `token` is cancelled; connections open by then run to their end. While
/// `max_connections` are open, new ones are refused.
pub async fn serve<State>(
    listener: net::TcpListener,
    application: tide::Server<State>,
    limits: AcceptLimits,
    counters: sync::Arc<dyn view::CounterSink>,
    token: stop_token::StopToken,
) where
    State: Clone + Send + Sync + 'static,
{
    let refuser = refused_connection::ConnectionRefuser::new(limits.max_connections, counters);
    let open = sync::Arc::new(());
    while let Ok(accepted) = listener.accept().timeout_at(token.clone()).await {
        let Ok((stream, peer)) = accepted else {
            task::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // With Nagle's algorithm, each token would wait for the acknowledgement of the last.
        let _unsupported = stream.set_nodelay(true);
        let slot = sync::Arc::clone(&open);
        // Connections that are being refused count as well.
        if sync::Arc::strong_count(&open) > limits.max_connections + 1 {
            refuser.refuse(stream, slot);
            continue;
        }
        let serving = serve_connection(stream, peer.ip(), application.clone(), limits);
        task::spawn(async move {
            serving.await;
            drop(slot);
        });
    }
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
    caller: std_net::IpAddr,
    application: tide::Server<State>,
    limits: AcceptLimits,
) where
    State: Clone + Send + Sync + 'static,
{
    let (watched, activity) = idle::watch(stream.clone());
    let (unread_sender, unread_receiver) = channel::bounded(1);
    let respond = |mut request: http_types::Request| {
        let application = application.clone();
        let unread_sender = unread_sender.clone();
        let busy = activity.begin();
        let origin = caller_intake::RequestOrigin::new(caller);
        let is_empty = request.len() == Some(0);
        origin
            .is_body_read
            .store(is_empty, atomic::Ordering::Relaxed);
        request.ext_mut().insert(origin.clone());
        async move {
            let mut response: http_types::Result<http_types::Response> =
                application.respond(request).await;
            drop(busy);
            if let Ok(response) = &mut response
                && !origin.is_body_read.load(atomic::Ordering::Relaxed)
            {
                response.insert_header(headers::CONNECTION, "close");
                // A full channel means that the connection already ends.
                let _sent_before = unread_sender.try_send(());
            }
            response
        }
    };
    let serving = pin::pin!(async_h1::accept(watched, respond));
    // `async_h1` discards the rest of a request body after the response, for as long as it arrives.
    let discarded = pin::pin!(async {
        let _unread = unread_receiver.recv().await;
        task::sleep(refused_connection::DISCARD_TIMEOUT).await;
    });
    let expired = pin::pin!(activity.expired(limits.idle_timeout));
    let expiring = future::select(discarded, expired);
    let served = future::select(serving, expiring).await;
    match served {
        future::Either::Left((Err(error), _expired)) => {
            refused_connection::refuse(stream, &bad_head(&error.to_string())).await;
        }
        future::Either::Left((Ok(()), _expired)) => {}
        future::Either::Right((_expired, _serving)) => {
            // The peer may have closed the connection already.
            let _closed = stream.shutdown(std_net::Shutdown::Both);
        }
    }
}

fn bad_head(message: &str) -> verdict::RequestRefusal {
    let status = if message.contains("8kb") { 431 } else { 400 };
    let message = format!("the request head cannot be read: {message}");
    verdict::RequestRefusal::not_run(status, verdict::RefusalCode::BadRequest, message)
}
