//! Checks a request's route and API key before it is forwarded, given the configuration's age.

use std::sync;
use std::time;

use async_std::task;

use crate::connection::h1::head;
use crate::process::gateway::{boot_clock, node};
use crate::request::relay::dialect;
use crate::request::verdict;
use crate::version::traffic;

/// Longest time that a request waits while a router that was just resumed reads the configuration.
const FRESH_CONFIG_WAIT: time::Duration = time::Duration::from_millis(400);

/// Interval between checks of the configuration's age.
const FRESH_CONFIG_POLL: time::Duration = time::Duration::from_millis(20);

/// `Retry-After` for callers refused because the configuration is stale. They then use another
/// router.
pub(super) const STALE_RETRY_DELAY: time::Duration = time::Duration::from_millis(100);

/// What the configuration says about a request that passed the checks.
pub(super) struct CheckedRequest {
    pub(super) version: sync::Arc<traffic::TrafficVersion>,
    pub(super) route: traffic::TrafficRoute,
    pub(super) workspace: Option<traffic::WorkspaceProfile>,
    /// Whether the request's key must not reach endpoints.
    pub(super) drops_key: bool,
}

impl node::GatewayNode {
    /// Checks route and key. If the configuration is stale, waits briefly for a fresh one.
    pub(super) async fn check_request(
        &self,
        head: &head::RequestHead,
        terms: &dialect::RequestMetadata,
    ) -> verdict::Result<CheckedRequest> {
        let checked = self.check_once(head, terms);
        let is_stale =
            |refusal: &verdict::RequestRefusal| refusal.code == verdict::RefusalCode::NotReady;
        if !checked.as_ref().is_err_and(is_stale) {
            return checked;
        }
        let started = time::Instant::now();
        while started.elapsed() < FRESH_CONFIG_WAIT && !self.has_fresh_version() {
            task::sleep(FRESH_CONFIG_POLL).await;
        }
        self.check_once(head, terms)
    }

    fn check_once(
        &self,
        head: &head::RequestHead,
        terms: &dialect::RequestMetadata,
    ) -> verdict::Result<CheckedRequest> {
        let now = boot_clock::BootInstant::now();
        let state = self.config_state.lock();
        let version = state.version.clone().ok_or_else(refuse_stale)?;
        let clock = state.clock;
        let drops_key = state.has_known_keys;
        drop(state);
        let deny = |refusal: verdict::RequestRefusal| {
            if clock.may_deny(now) {
                return refusal;
            }
            refuse_stale()
        };
        let route = version
            .route(&terms.host, &head.target)
            .ok_or_else(|| deny(refuse_route()))?
            .clone();
        let key = terms.key.as_deref();
        let workspace = key.and_then(|key| version.workspace(key)).cloned();
        let may_accept_key = clock.may_accept_key(self.settings.bounds.max_key_age, now);
        if version.requires_keys() && !route.is_public {
            if workspace.is_none() {
                return Err(deny(refuse_key()));
            }
            if !may_accept_key {
                return Err(refuse_stale());
            }
        }
        Ok(CheckedRequest {
            version,
            route,
            // On a public route, a key that may have been taken away names no workspace.
            workspace: workspace.filter(|_workspace| may_accept_key),
            drops_key,
        })
    }
}

fn refuse_stale() -> verdict::RequestRefusal {
    let message = "this router's configuration is stale; use another address";
    verdict::RequestRefusal::not_run(503, verdict::RefusalCode::NotReady, message)
        .retry_after(STALE_RETRY_DELAY)
}

fn refuse_route() -> verdict::RequestRefusal {
    let message = "no route matches the request; check host and path";
    verdict::RequestRefusal::not_run(404, verdict::RefusalCode::NoRoute, message)
}

fn refuse_key() -> verdict::RequestRefusal {
    let message = "the bearer key is missing or unknown; send one of your workspace's keys";
    verdict::RequestRefusal::not_run(401, verdict::RefusalCode::Unauthorized, message)
}
