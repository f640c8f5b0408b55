//! Operator pages of a gateway, which `kumquatpulley status` and `kumquatpulley timeline` read.

use std::sync::atomic;
use std::time;

use crate::process::gateway::{boot_clock, node};
use crate::process::telemetry::status;
use crate::process::view::MemberView as _;

/// The operator page at `target` as JSON; `None` for any other path.
#[must_use]
pub fn page(node: &node::GatewayNode, target: &str) -> Option<Vec<u8>> {
    // The base is a placeholder: only path and query of the URL are used.
    let address = http_types::Url::parse("http://router").ok()?;
    let address = address.join(target).ok()?;
    let page = match address.path() {
        "/admin/status" => serde_json::to_vec(&node.status()),
        "/admin/timeline" => {
            let mut pairs = address.query_pairs();
            let request = pairs.find(|(name, _value)| name == "request");
            let request = request.map(|(_name, value)| value);
            serde_json::to_vec(&node.ring.events(request.as_deref()))
        }
        _ => return None,
    };
    page.inspect_err(|error| {
        let cause = error.to_string();
        log::error!(cause = cause.as_str(); "cannot serialize an operator page");
    })
    .ok()
}

impl node::GatewayNode {
    /// State for operators. `workspaces` is empty, since gateways do not divide the limits of
    /// workspaces among themselves.
    #[must_use]
    pub fn status(&self) -> status::RouterStatus {
        let members = self.gossip.members().into_iter();
        let counters = self.metrics.snapshot().into_iter();
        status::RouterStatus {
            router: self.settings.router.clone(),
            home: self.gossip.home().to_string(),
            zone: self.settings.zone.clone(),
            state: self.state_name().to_owned(),
            config: self.version_number().unwrap_or_default(),
            members: members.map(status::MemberStatus::from).collect(),
            endpoints: self.fleet.statuses(time::Instant::now()),
            workspaces: Vec::new(),
            rollouts: self.rollout_statuses(),
            caller_bytes: u64::try_from(self.relay.memory.held()).unwrap_or(u64::MAX),
            counters: counters
                .map(|(name, count)| (name.to_owned(), count))
                .collect(),
        }
    }

    /// The plans that this router goes by now.
    pub(super) fn rollout_statuses(&self) -> Vec<status::RolloutStatus> {
        let plans = self.plans.all_plans(boot_clock::BootInstant::now());
        let statuses = plans.into_iter().map(|plan| status::RolloutStatus {
            service: plan.service,
            to: plan.to,
            phase: plan.phase.name().to_owned(),
            share_millis: plan.share_millis,
        });
        statuses.collect()
    }

    fn state_name(&self) -> &'static str {
        if self.is_draining.load(atomic::Ordering::SeqCst) {
            return "draining";
        }
        if self.is_ready() { "ready" } else { "joining" }
    }
}
