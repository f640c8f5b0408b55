//! Traits that separate the routers' logic from the transport between them.

use std::fmt;
use std::time;

use futures::future;

use crate::connection::peer_wire;

/// Result of a query to a peer.
pub type Result<T> = std::result::Result<T, PeerError>;

/// Why a peer gave no reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerError {
    /// The query did not leave this router.
    NotSent(String),
    /// The query may have reached the peer.
    NoReply(String),
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(message) => write!(f, "peer not reached: {message}"),
            Self::NoReply(message) => write!(f, "peer gave no reply: {message}"),
        }
    }
}

impl std::error::Error for PeerError {}

/// Sends queries to peers.
pub trait PeerLink: fmt::Debug + Send + Sync {
    /// Sends `query` to the peer at `address` (host and port) and waits at most `limit`.
    fn ask<'a>(
        &'a self,
        address: &'a str,
        query: peer_wire::QueryBody,
        limit: time::Duration,
    ) -> future::BoxFuture<'a, Result<peer_wire::ReplyBody>>;
}

/// Handles queries from peers.
pub trait PeerHandler: fmt::Debug + Send + Sync {
    /// Returns the reply to `query`.
    fn handle(&self, query: peer_wire::QueryBody) -> future::BoxFuture<'_, peer_wire::ReplyBody>;
}
