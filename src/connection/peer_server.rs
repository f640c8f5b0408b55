//! Server for peer queries over h2.

use std::sync;
use std::sync::atomic;
use std::time;

use async_std::{future as timer, net, task};
use stop_token::future::FutureExt as _;
use tokio_util::compat::FuturesAsyncReadCompatExt as _;

use crate::connection::{accept, peer, peer_stream, peer_wire};
use crate::process::telemetry::timeline;

/// Maximum number of connections from peers; further ones are closed at once.
pub const MAX_CONNECTIONS: usize = 4096;

/// Maximum number of concurrent queries on one connection.
pub const MAX_STREAMS: u32 = 128;

/// Idle time after which a connection is closed.
pub const IDLE_LIMIT: time::Duration = time::Duration::from_secs(60);

/// Timeout for the h2 handshake, and for receiving one query.
pub const RECEIVE_LIMIT: time::Duration = time::Duration::from_secs(10);

type Connection =
    h2::server::Connection<tokio_util::compat::Compat<peer_stream::MeteredStream>, bytes::Bytes>;

type Respond = h2::server::SendResponse<bytes::Bytes>;

#[derive(Clone, Debug)]
struct PeerService {
    handler: sync::Arc<dyn peer::PeerHandler>,
    ring: sync::Arc<timeline::EventRing>,
    meter: sync::Arc<peer_stream::PeerMeter>,
    token: stop_token::StopToken,
}

/// Serves peers that connect to `listener` until `token` is cancelled.
pub async fn serve(
    listener: net::TcpListener,
    handler: sync::Arc<dyn peer::PeerHandler>,
    ring: sync::Arc<timeline::EventRing>,
    token: stop_token::StopToken,
) {
    serve_metered(listener, handler, ring, token, sync::Arc::default()).await;
}

/// Like [`serve`], but counts bytes, connections, served and refused queries in `meter`.
pub async fn serve_metered(
    listener: net::TcpListener,
    handler: sync::Arc<dyn peer::PeerHandler>,
    ring: sync::Arc<timeline::EventRing>,
    token: stop_token::StopToken,
    meter: sync::Arc<peer_stream::PeerMeter>,
) {
    let service = PeerService {
        handler,
        ring,
        meter,
        token: token.clone(),
    };
    let serve = |stream| {
        let service = service.clone();
        async move {
            let token = service.token.clone();
            let _outcome = service.run(stream).timeout_at(token).await;
        }
    };
    accept::serve_connections(listener, MAX_CONNECTIONS, token, drop, serve).await;
}

impl PeerService {
    async fn run(self, stream: net::TcpStream) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let stream = peer_stream::metered(stream, sync::Arc::clone(&self.meter));
        let mut builder = h2::server::Builder::new();
        builder
            .initial_window_size(peer_stream::WINDOW_BYTES)
            .initial_connection_window_size(peer_stream::WINDOW_BYTES)
            .max_concurrent_streams(MAX_STREAMS);
        let handshake = builder.handshake(stream.compat());
        let Ok(Ok(connection)) = timer::timeout(RECEIVE_LIMIT, handshake).await else {
            return;
        };
        self.answer_all(connection).await;
    }

    async fn answer_all(&self, mut connection: Connection) {
        let running = sync::Arc::new(());
        loop {
            let Ok(accepted) = timer::timeout(IDLE_LIMIT, connection.accept()).await else {
                if sync::Arc::strong_count(&running) > 1 {
                    continue;
                }
                return;
            };
            let Some(Ok((request, respond))) = accepted else {
                return;
            };
            let slot = sync::Arc::clone(&running);
            let service = self.clone();
            task::spawn(async move {
                service.answer(request.into_body(), respond).await;
                drop(slot);
            });
        }
    }

    async fn answer(self, mut body: h2::RecvStream, mut respond: Respond) {
        let received = timer::timeout(RECEIVE_LIMIT, peer_stream::read_body(&mut body)).await;
        let received = received.unwrap_or_else(|_| Err("query did not arrive in time".to_owned()));
        let query = received.and_then(|bytes| peer_stream::decode::<peer_wire::PeerQuery>(&bytes));
        let reply = match query {
            Ok(query) => self.reply_to(query).await,
            Err(message) => self.refuse(message),
        };
        let stamped = |body| peer_wire::PeerReply {
            stamp: self.ring.stamp(),
            body,
        };
        let encoded = peer_stream::encode(&stamped(reply))
            .or_else(|message| peer_stream::encode(&stamped(self.refuse(message))));
        let Ok(encoded) = encoded else {
            return;
        };
        let Ok(mut body) = respond.send_response(http::Response::new(()), false) else {
            return;
        };
        // If the peer has disconnected, it no longer needs the reply.
        drop(body.send_data(encoded, true));
    }

    async fn reply_to(&self, query: peer_wire::PeerQuery) -> peer_wire::ReplyBody {
        self.ring.observe(query.stamp);
        let handling = self.handler.handle(query.body);
        let Ok(reply) = handling.timeout_at(self.token.clone()).await else {
            return peer_wire::ReplyBody::Refused("router stops; ask another router".to_owned());
        };
        self.meter.served.fetch_add(1, atomic::Ordering::Relaxed);
        reply
    }

    fn refuse(&self, message: String) -> peer_wire::ReplyBody {
        self.meter.refused.fetch_add(1, atomic::Ordering::Relaxed);
        peer_wire::ReplyBody::Refused(message)
    }
}
