//! Converts plans, orders and counts to and from the messages between routers.

use std::time;

use crate::connection::rollout_wire;
use crate::process::gateway::rollout::{evidence, order, plan};

impl From<plan::RolloutPhase> for rollout_wire::PhaseWire {
    fn from(phase: plan::RolloutPhase) -> Self {
        match phase {
            plan::RolloutPhase::Waiting => Self::Waiting,
            plan::RolloutPhase::Ramping => Self::Ramping,
            plan::RolloutPhase::Draining => Self::Draining,
            plan::RolloutPhase::Complete => Self::Complete,
            plan::RolloutPhase::Reverted => Self::Reverted,
        }
    }
}

impl From<rollout_wire::PhaseWire> for plan::RolloutPhase {
    fn from(wire: rollout_wire::PhaseWire) -> Self {
        match wire {
            rollout_wire::PhaseWire::Waiting => Self::Waiting,
            rollout_wire::PhaseWire::Ramping => Self::Ramping,
            rollout_wire::PhaseWire::Draining => Self::Draining,
            rollout_wire::PhaseWire::Complete => Self::Complete,
            rollout_wire::PhaseWire::Reverted => Self::Reverted,
        }
    }
}

impl From<plan::RolloutPlan> for rollout_wire::RolloutPlanWire {
    fn from(plan: plan::RolloutPlan) -> Self {
        Self {
            service: plan.service,
            to: plan.to,
            order_version: plan.order_version,
            phase: plan.phase.into(),
            share_millis: plan.share_millis,
        }
    }
}

impl From<rollout_wire::RolloutPlanWire> for plan::RolloutPlan {
    fn from(wire: rollout_wire::RolloutPlanWire) -> Self {
        Self {
            service: wire.service,
            to: wire.to,
            order_version: wire.order_version,
            phase: wire.phase.into(),
            share_millis: wire.share_millis.min(plan::FULL_SHARE),
        }
    }
}

impl From<evidence::AnswerCounts> for rollout_wire::AnswerCountsWire {
    fn from(counts: evidence::AnswerCounts) -> Self {
        Self {
            sent: counts.sent,
            bad: counts.bad,
            buckets: counts.latencies.buckets.to_vec(),
            sum_micros: counts.latencies.sum_micros,
        }
    }
}

impl From<rollout_wire::AnswerCountsWire> for evidence::AnswerCounts {
    fn from(wire: rollout_wire::AnswerCountsWire) -> Self {
        let mut latencies = evidence::LatencyHistogram {
            sum_micros: wire.sum_micros,
            ..evidence::LatencyHistogram::default()
        };
        for (bucket, count) in latencies.buckets.iter_mut().zip(wire.buckets) {
            *bucket = count;
        }
        Self {
            sent: wire.sent,
            bad: wire.bad,
            latencies,
        }
    }
}

impl From<evidence::RouterReport> for rollout_wire::RouterReportWire {
    fn from(report: evidence::RouterReport) -> Self {
        let routes = report.routes.into_iter();
        let routes = routes.map(|route| rollout_wire::RouteEvidenceWire {
            route: route.route,
            old: route.old.into(),
            new: route.new.into(),
        });
        Self {
            router: report.router,
            service: report.service,
            order_version: report.order_version,
            routes: routes.collect(),
            in_flight_old: report.in_flight_old,
            requests_total: report.requests_total,
        }
    }
}

impl From<rollout_wire::RouterReportWire> for evidence::RouterReport {
    fn from(wire: rollout_wire::RouterReportWire) -> Self {
        let routes = wire.routes.into_iter().take(evidence::MAX_ROUTES + 1);
        let routes = routes.map(|route| evidence::RouteEvidence {
            route: route.route,
            old: route.old.into(),
            new: route.new.into(),
        });
        Self {
            router: wire.router,
            service: wire.service,
            order_version: wire.order_version,
            routes: routes.collect(),
            in_flight_old: wire.in_flight_old,
            requests_total: wire.requests_total,
        }
    }
}

/// Encodes an entry, with the final phase of its roll-out.
pub(super) fn sent_order(
    entry: &order::OrderEntry,
    ended: Option<plan::RolloutPhase>,
) -> rollout_wire::OrderWire {
    let content = entry.content.as_ref().map(|content| {
        let ramp_ms = u64::try_from(content.ramp.as_millis()).unwrap_or(u64::MAX);
        (content.to.clone(), ramp_ms)
    });
    rollout_wire::OrderWire {
        service: entry.service.clone(),
        version: entry.version,
        content,
        ended: ended.map(rollout_wire::PhaseWire::from),
    }
}

/// Decodes an entry.
pub(super) fn received_order(wire: &rollout_wire::OrderWire) -> order::OrderEntry {
    let content = wire.content.as_ref();
    order::OrderEntry {
        service: wire.service.clone(),
        content: content.map(|(to, ramp_ms)| order::OrderContent {
            to: to.clone(),
            ramp: time::Duration::from_millis(*ramp_ms),
        }),
        version: wire.version,
    }
}
