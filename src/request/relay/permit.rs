//! Permits for requests to endpoints that limit the rate of all routers together, behind a trait.

use std::fmt;
use std::sync;

use futures::future;

use crate::request::relay::fleet;

/// Grants permits and spreads what answers revealed about limits.
pub trait PermitSource: fmt::Debug + Send + Sync {
    /// Whether `request` may be sent to the endpoint now. After a refusal the fleet does not offer
    /// the endpoint for a while.
    fn obtain<'a>(
        &'a self,
        request: &'a str,
        endpoint: &'a fleet::ChosenEndpoint,
    ) -> future::BoxFuture<'a, bool>;

    /// Tells the router that grants the endpoint's permits that its limit changed; does not wait.
    fn announce(self: sync::Arc<Self>, endpoint: &fleet::ChosenEndpoint);
}
