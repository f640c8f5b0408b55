//! Client for peer queries over h2: one pooled connection per peer, one stream per query.

use std::collections;
use std::fmt;
use std::sync;
use std::sync::atomic;
use std::time;

use async_std::{future as timer, net, task};
use futures::future;
use stop_token::future::FutureExt as _;
use tokio_util::compat::FuturesAsyncReadCompatExt as _;

use crate::connection::{peer, peer_stream, peer_wire};
use crate::process::telemetry::timeline;

/// Maximum number of pooled connections.
pub const MAX_CONNECTIONS: usize = 128;

/// Idle time after which a connection is not reused; shorter than the server's idle limit.
pub const IDLE_LIMIT: time::Duration = time::Duration::from_secs(20);

/// A query that must not run twice reuses a pooled connection only this soon after its last reply.
pub const ONCE_ONLY_IDLE_LIMIT: time::Duration = time::Duration::from_secs(1);

type Sender = h2::client::SendRequest<bytes::Bytes>;

/// Sends queries to peers over h2.
#[derive(Debug)]
pub struct PeerClient {
    ring: sync::Arc<timeline::EventRing>,
    meter: sync::Arc<peer_stream::PeerMeter>,
    pool: parking_lot::Mutex<collections::HashMap<String, sync::Arc<PooledConnection>>>,
}

/// One connection; its task ends when the pool and all running queries have dropped it.
struct PooledConnection {
    sender: Sender,
    replied_at: parking_lot::Mutex<time::Instant>,
    _stop: stop_token::StopSource,
}

impl fmt::Debug for PooledConnection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PooledConnection").finish_non_exhaustive()
    }
}

impl PooledConnection {
    fn idle_for(&self) -> time::Duration {
        self.replied_at.lock().elapsed()
    }
}

impl PeerClient {
    /// Creates a client with an empty pool; its messages carry the clock stamps of `ring`.
    #[must_use]
    pub fn new(ring: sync::Arc<timeline::EventRing>) -> Self {
        Self {
            ring,
            meter: sync::Arc::default(),
            pool: parking_lot::Mutex::default(),
        }
    }

    /// Counters of bytes and connections.
    #[must_use]
    pub fn meter(&self) -> &sync::Arc<peer_stream::PeerMeter> {
        &self.meter
    }

    async fn ask_within(
        &self,
        address: &str,
        query: peer_wire::QueryBody,
        limit: time::Duration,
    ) -> peer::Result<peer_wire::ReplyBody> {
        let is_once_only = may_run_only_once(&query);
        let query = peer_wire::PeerQuery {
            stamp: self.ring.stamp(),
            body: query,
        };
        let encoded = peer_stream::encode(&query).map_err(peer::PeerError::NotSent)?;
        let sent = atomic::AtomicBool::new(false);
        let exchange = self.exchange(address, encoded, is_once_only, &sent);
        if let Ok(outcome) = timer::timeout(limit, exchange).await {
            return outcome;
        }
        self.discard(address);
        let message = format!("{address} gave no reply within {} ms", limit.as_millis());
        if sent.load(atomic::Ordering::Relaxed) {
            return Err(peer::PeerError::NoReply(message));
        }
        Err(peer::PeerError::NotSent(message))
    }

    async fn exchange(
        &self,
        address: &str,
        encoded: bytes::Bytes,
        is_once_only: bool,
        sent: &atomic::AtomicBool,
    ) -> peer::Result<peer_wire::ReplyBody> {
        let connection = self.connection(address, is_once_only).await?;
        let sender = self.ready_sender(address, connection).await?;
        sent.store(true, atomic::Ordering::Relaxed);
        let outcome = self.send_query(address, sender, encoded).await;
        if outcome.is_err() {
            self.discard(address);
        }
        outcome
    }

    /// Returns a sender that is ready for a query; reconnects when the pooled connection is closed.
    async fn ready_sender(
        &self,
        address: &str,
        connection: sync::Arc<PooledConnection>,
    ) -> peer::Result<(Sender, sync::Arc<PooledConnection>)> {
        if let Ok(sender) = connection.sender.clone().ready().await {
            return Ok((sender, connection));
        }
        self.discard(address);
        let connection = self.connect(address).await?;
        let sender = connection.sender.clone().ready().await;
        let sender = sender.map_err(|error| not_sent(address, &error))?;
        Ok((sender, connection))
    }

    async fn send_query(
        &self,
        address: &str,
        (mut sender, connection): (Sender, sync::Arc<PooledConnection>),
        encoded: bytes::Bytes,
    ) -> peer::Result<peer_wire::ReplyBody> {
        let request = http::Request::post("http://peer/")
            .body(())
            .map_err(|error| no_reply(address, &error))?;
        let (response, mut body) = sender
            .send_request(request, false)
            .map_err(|error| no_reply(address, &error))?;
        body.send_data(encoded, true)
            .map_err(|error| no_reply(address, &error))?;
        let response = response.await.map_err(|error| no_reply(address, &error))?;
        let mut body = response.into_body();
        let bytes = peer_stream::read_body(&mut body)
            .await
            .map_err(|error| no_reply(address, &error))?;
        let reply: peer_wire::PeerReply =
            peer_stream::decode(&bytes).map_err(|error| no_reply(address, &error))?;
        self.ring.observe(reply.stamp);
        *connection.replied_at.lock() = time::Instant::now();
        Ok(reply.body)
    }

    async fn connection(
        &self,
        address: &str,
        is_once_only: bool,
    ) -> peer::Result<sync::Arc<PooledConnection>> {
        let limit = if is_once_only {
            ONCE_ONLY_IDLE_LIMIT
        } else {
            IDLE_LIMIT
        };
        let pooled = self.pool.lock().get(address).cloned();
        if let Some(connection) = pooled.filter(|connection| connection.idle_for() < limit) {
            return Ok(connection);
        }
        self.connect(address).await
    }

    async fn connect(&self, address: &str) -> peer::Result<sync::Arc<PooledConnection>> {
        let stream = net::TcpStream::connect(address)
            .await
            .map_err(|error| not_sent(address, &error))?;
        stream
            .set_nodelay(true)
            .map_err(|error| not_sent(address, &error))?;
        let stream = peer_stream::metered(stream, sync::Arc::clone(&self.meter));
        let (sender, connection) = h2::client::Builder::new()
            .initial_window_size(peer_stream::WINDOW_BYTES)
            .initial_connection_window_size(peer_stream::WINDOW_BYTES)
            .enable_push(false)
            .handshake(stream.compat())
            .await
            .map_err(|error| not_sent(address, &error))?;
        let stop = stop_token::StopSource::new();
        task::spawn(connection.timeout_at(stop.token()));
        let connection = sync::Arc::new(PooledConnection {
            sender,
            replied_at: parking_lot::Mutex::new(time::Instant::now()),
            _stop: stop,
        });
        self.add_to_pool(address, &connection);
        Ok(connection)
    }

    fn add_to_pool(&self, address: &str, connection: &sync::Arc<PooledConnection>) {
        let mut pool = self.pool.lock();
        pool.retain(|_, pooled| pooled.idle_for() < IDLE_LIMIT);
        if pool.len() >= MAX_CONNECTIONS {
            let most_idle = pool.iter().max_by_key(|(_, pooled)| pooled.idle_for());
            let most_idle = most_idle.map(|(address, _)| address.clone());
            most_idle.and_then(|address| pool.remove(&address));
        }
        pool.insert(address.to_owned(), sync::Arc::clone(connection));
    }

    fn discard(&self, address: &str) {
        self.pool.lock().remove(address);
    }
}

impl peer::PeerLink for PeerClient {
    fn ask<'a>(
        &'a self,
        address: &'a str,
        query: peer_wire::QueryBody,
        limit: time::Duration,
    ) -> future::BoxFuture<'a, peer::Result<peer_wire::ReplyBody>> {
        Box::pin(self.ask_within(address, query, limit))
    }
}

const fn may_run_only_once(query: &peer_wire::QueryBody) -> bool {
    matches!(
        query,
        peer_wire::QueryBody::Call(_) | peer_wire::QueryBody::TakeOver { .. }
    )
}

fn not_sent(address: &str, error: &dyn fmt::Display) -> peer::PeerError {
    peer::PeerError::NotSent(format!("{address}: {error}"))
}

fn no_reply(address: &str, error: &dyn fmt::Display) -> peer::PeerError {
    peer::PeerError::NoReply(format!("{address}: {error}"))
}
