//! Whether a request may be passed on: route and key, as far as the configuration's age allows.

use std::sync;
use std::time;

use async_std::task;

use crate::connection::h1::head;
use crate::process::gateway::{boot_clock, node};
use crate::request::relay::dialect;
use crate::request::verdict;
use crate::version::traffic;

/// Time for which a request waits for a router that has just woken and reads the configuration.
const FRESH_WAIT: time::Duration = time::Duration::from_millis(400);

/// Time between two looks at the configuration's age.
const FRESH_STEP: time::Duration = time::Duration::from_millis(20);

/// When a caller may come back that a router without fresh configuration refused; it then asks
/// another router.
pub(super) const STALE_DELAY: time::Duration = time::Duration::from_millis(100);

/// A request that was checked and may be passed on.
pub(super) struct CheckedRequest {
    pub(super) version: sync::Arc<traffic::TrafficVersion>,
    pub(super) route: traffic::TrafficRoute,
    pub(super) workspace: Option<traffic::WorkspaceProfile>,
}

impl node::GatewayNode {
    /// Checks route and key against the configuration, as far as its age allows.
    pub(super) async fn check(
        &self,
        head: &head::RequestHead,
        terms: &dialect::CallerTerms,
    ) -> verdict::Result<CheckedRequest> {
        let checked = self.check_now(head, terms);
        let is_stale =
            |refusal: &verdict::RequestRefusal| refusal.code == verdict::RefusalCode::NotReady;
        if !checked.as_ref().is_err_and(is_stale) {
            return checked;
        }
        let started = time::Instant::now();
        while started.elapsed() < FRESH_WAIT && !self.has_fresh_version() {
            task::sleep(FRESH_STEP).await;
        }
        self.check_now(head, terms)
    }

    fn check_now(
        &self,
        head: &head::RequestHead,
        terms: &dialect::CallerTerms,
    ) -> verdict::Result<CheckedRequest> {
        let now = boot_clock::BootInstant::now();
        let belief = self.belief.lock();
        let version = belief.version.clone().ok_or_else(refuse_stale)?;
        let clock = belief.clock;
        drop(belief);
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
        if route.is_public || !version.asks_for_keys() {
            return Ok(CheckedRequest {
                version,
                route,
                workspace: None,
            });
        }
        let key = terms.key.as_deref();
        let workspace = key.and_then(|key| version.workspace(key));
        let workspace = workspace.ok_or_else(|| deny(refuse_key()))?.clone();
        if !clock.may_accept_key(self.settings.bounds.key_age, now) {
            return Err(refuse_stale());
        }
        Ok(CheckedRequest {
            version,
            route,
            workspace: Some(workspace),
        })
    }
}

fn refuse_stale() -> verdict::RequestRefusal {
    let message = "this router does not know the newest configuration; use another address";
    verdict::RequestRefusal::not_run(503, verdict::RefusalCode::NotReady, message)
        .retry_after(STALE_DELAY)
}

fn refuse_route() -> verdict::RequestRefusal {
    let message = "no route leads to the path; check host and path";
    verdict::RequestRefusal::not_run(404, verdict::RefusalCode::NoRoute, message)
}

fn refuse_key() -> verdict::RequestRefusal {
    let message = "the bearer key is missing or unknown; send a key of your workspace";
    verdict::RequestRefusal::not_run(401, verdict::RefusalCode::Unauthorized, message)
}
