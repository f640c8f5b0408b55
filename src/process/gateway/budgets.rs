//! Shares of the limit on repeats that all routers keep together.
//!
//! Each router allows repeats in proportion to its own requests, so that no messages are needed.

use std::collections;
use std::sync;
use std::time;

use crate::process::gateway::settings;
use crate::process::limits::budget;
use crate::process::view;
use crate::request::relay::context;

/// Part of the shared limit that routers use; the rest covers requests that are counted elsewhere
/// or later than the bound counts them.
const USED_SHARE: f64 = 0.6;

/// Part of the ratio that is kept for streams that broke off.
const BROKEN_SHARE: f64 = 0.5;

/// Tokens saved up for the broken streams of one service; a zone of engines fails at once.
const BROKEN_TOKENS: f64 = 40.0;

/// Tokens saved up for other repeats of one service.
const FRESH_TOKENS: f64 = 20.0;

/// Tokens that a router saves up for broken streams however many routers share the limit. With many
/// routers each has one stream or two at a time, which all break when their zone of engines fails.
const FEWEST_BROKEN: f64 = 3.0;

/// The same for other repeats.
const FEWEST_FRESH: f64 = 2.0;

/// Budgets of this router by service.
#[derive(Debug)]
pub struct ServiceBudgets {
    bounds: settings::GatewayBounds,
    members: sync::Arc<dyn view::MemberView>,
    services: parking_lot::Mutex<collections::HashMap<String, sync::Arc<ServiceBudget>>>,
}

#[derive(Debug)]
struct ServiceBudget {
    broken: budget::RetryBudget,
    fresh: budget::RetryBudget,
}

impl ServiceBudgets {
    /// Budgets within the operators' bounds.
    #[must_use]
    pub fn new(bounds: settings::GatewayBounds, members: sync::Arc<dyn view::MemberView>) -> Self {
        Self {
            bounds,
            members,
            services: parking_lot::Mutex::default(),
        }
    }

    fn service(&self, name: &str) -> sync::Arc<ServiceBudget> {
        let mut services = self.services.lock();
        if let Some(budget) = services.get(name) {
            return sync::Arc::clone(budget);
        }
        let budget = sync::Arc::new(self.build());
        services.insert(name.to_owned(), sync::Arc::clone(&budget));
        budget
    }

    fn build(&self) -> ServiceBudget {
        let routers = self.members.ready_members().len().max(1);
        let routers = u32::try_from(routers).map_or(f64::from(u32::MAX), f64::from);
        let slack = self.bounds.retry_slack * USED_SHARE / routers;
        let reserve = slack / self.bounds.retry_window.as_secs_f64() / 2.0;
        let ratio = self.bounds.retry_ratio * USED_SHARE;
        let limits = |share: f64, fewest: f64, max_tokens: f64| budget::BudgetLimits {
            retries_per_success: ratio * share,
            reserve_per_second: reserve * share,
            max_tokens: max_tokens.min((slack * share).max(fewest)),
        };
        ServiceBudget {
            broken: budget::RetryBudget::new(limits(BROKEN_SHARE, FEWEST_BROKEN, BROKEN_TOKENS)),
            fresh: budget::RetryBudget::new(limits(1.0 - BROKEN_SHARE, FEWEST_FRESH, FRESH_TOKENS)),
        }
    }
}

impl context::RetryLimiter for ServiceBudgets {
    fn deposit(&self, service: &str, now: time::Instant) {
        let budget = self.service(service);
        budget.broken.deposit(now);
        budget.fresh.deposit(now);
    }

    fn withdraw(&self, service: &str, urgency: context::RetryUrgency, now: time::Instant) -> bool {
        let budget = self.service(service);
        match urgency {
            context::RetryUrgency::Broken => {
                budget.broken.withdraw(now) || budget.fresh.withdraw(now)
            }
            context::RetryUrgency::Fresh => budget.fresh.withdraw(now),
        }
    }
}
