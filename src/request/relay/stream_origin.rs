//! Which software version began a stream that a caller takes up, behind a trait.

use std::fmt;

use futures::future;

/// What is known of the version that began a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamOrigin {
    /// The stream began at this version, and goes on there only.
    Version(String),
    /// The service has no endpoint.
    NoEndpoint,
    /// Several versions may have begun it, and nothing tells which one did.
    Unknown,
    /// The store, which may know it, does not answer.
    Unavailable,
}

/// Remembers which version began each stream, beyond the life of this process where need be.
pub trait OriginMemory: fmt::Debug + Send + Sync {
    /// Records that an endpoint of `version` sent the first event of the stream that `request` began.
    fn record(&self, service: &str, request: &str, version: &str);

    /// Records that a stream has reached its caller completely, so that nobody takes it up.
    fn forget(&self, request: &str);

    /// Looks up the stream of `service` that `request` began; `None` if the caller does not name it.
    fn origin<'a>(
        &'a self,
        service: &'a str,
        request: Option<&'a str>,
    ) -> future::BoxFuture<'a, StreamOrigin>;
}
