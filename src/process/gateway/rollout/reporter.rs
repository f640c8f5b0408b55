//! Reports this router's counts to the coordinators of open roll-outs, and takes their plans.

use std::sync;
use std::time;

use async_std::task;
use futures::future;
use stop_token::future::FutureExt as _;

use crate::connection::{peer, peer_wire, rollout_wire};
use crate::process::gateway::boot_clock;
use crate::process::gateway::rollout::{coordinator, evidence, plan, plan_book};
use crate::process::view;

/// Interval of the reports. A bad version has to be without requests 5 s after it showed.
pub const REPORT_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Timeout for the reply; a report that is late is repeated by the next one.
const REPORT_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// Reports the counts of one router.
#[derive(Debug)]
pub struct RolloutReporter {
    /// Name of this router.
    pub router: String,
    /// Chooses the coordinators.
    pub owners: sync::Arc<dyn view::OwnerView>,
    /// Connections to them.
    pub link: sync::Arc<dyn peer::PeerLink>,
    /// Counts of this router.
    pub evidence: sync::Arc<dyn evidence::EvidenceSource>,
    /// The plans that this router goes by.
    pub plans: sync::Arc<plan_book::PlanBook>,
    /// Coordinator of the services that this router owns.
    pub coordinator: sync::Arc<coordinator::RolloutCoordinator>,
}

impl RolloutReporter {
    /// Reports on all open roll-outs once, and takes the plans of their coordinators.
    pub async fn report_all(&self) {
        let open = self.plans.open_services();
        future::join_all(open.iter().map(|plan| self.report(plan))).await;
    }

    async fn report(&self, plan: &plan::RolloutPlan) {
        let report = self.evidence.report(&self.router, plan);
        let sent_at = boot_clock::BootInstant::now();
        // The age of the reply counts from the sending, as it may have been on the way for long.
        if let Some(answer) = self.ask_coordinator(report).await {
            self.plans.take_plan(answer, sent_at);
        }
    }

    async fn ask_coordinator(&self, report: evidence::RouterReport) -> Option<plan::RolloutPlan> {
        let owner = self
            .owners
            .owner_of(coordinator::owner_seed(&report.service))?;
        if owner.is_own {
            return self.coordinator.answer_report(report);
        }
        let query = rollout_wire::RolloutQueryWire::Report(report.into());
        let query = peer_wire::QueryBody::Rollout(Box::new(query));
        let reply = self
            .link
            .ask(&owner.peer_address, query, REPORT_TIMEOUT)
            .await;
        let Ok(peer_wire::ReplyBody::Rollout(reply)) = reply else {
            return None;
        };
        match *reply {
            rollout_wire::RolloutReplyWire::Plan(answer) => answer.map(plan::RolloutPlan::from),
            _other => None,
        }
    }

    /// Reports until `token` is cancelled.
    pub async fn run(self, token: stop_token::StopToken) {
        let reporting = async {
            loop {
                self.report_all().await;
                task::sleep(REPORT_INTERVAL).await;
            }
        };
        let _stopped = reporting.timeout_at(token).await;
    }
}
