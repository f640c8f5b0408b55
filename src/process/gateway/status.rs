//! What a gateway tells operators about itself, in the form that `kumquatpulley status` and `timeline`
//! read.

use std::sync::atomic;
use std::time;

use crate::process::gateway::node;
use crate::process::telemetry::status;
use crate::process::view::MemberView as _;

/// The page at `target` as JSON; `None` for a path that is no operators' page.
#[must_use]
pub fn page(node: &node::GatewayNode, target: &str) -> Option<Vec<u8>> {
    // Only the path and the query of the address are looked at.
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
        log::error!(cause = cause.as_str(); "page for operators cannot be written");
    })
    .ok()
}

impl node::GatewayNode {
    /// State for operators. Limits of workspaces are not divided among gateways, so that none is told.
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
            counters: counters
                .map(|(name, count)| (name.to_owned(), count))
                .collect(),
        }
    }

    fn state_name(&self) -> &'static str {
        if self.is_draining.load(atomic::Ordering::SeqCst) {
            return "draining";
        }
        if self.is_ready() { "ready" } else { "joining" }
    }
}
