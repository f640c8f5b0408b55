//! This router's share of the retry limit that applies to all routers together.
//!
//! Each router allows retries in proportion to its own requests, so the routers need no messages
//! to coordinate.

use std::collections;
use std::sync;
use std::time;

use crate::process::gateway::settings;
use crate::process::limits::budget;
use crate::process::view;
use crate::request::relay::context;

/// Fraction of the shared limit that the routers use. The rest is a margin for requests that are
/// counted elsewhere, or later than the limit counts them.
const USED_LIMIT_SHARE: f64 = 0.6;

/// Fraction of the retries that is reserved for streams that broke off.
const BROKEN_STREAM_SHARE: f64 = 0.5;

/// Maximum tokens saved for broken streams of one service. All engines of an availability zone can
/// fail at once and break their streams together.
const BROKEN_STREAM_MAX_TOKENS: f64 = 40.0;

/// Maximum tokens saved for other retries of one service.
const FRESH_MAX_TOKENS: f64 = 20.0;

/// Lower bound of a router's token maximum for broken streams, however many routers share the
/// limit. With many routers, each has only one or two streams at a time, and all of them break
/// when the engines of their availability zone fail.
const BROKEN_STREAM_MIN_CAPACITY_TOKENS: f64 = 3.0;

/// Lower bound of a router's token maximum for other retries.
const FRESH_MIN_CAPACITY_TOKENS: f64 = 2.0;

/// Retry budgets of this router, one per service.
#[derive(Debug)]
pub struct ServiceBudgets {
    bounds: settings::GatewayBounds,
    members: sync::Arc<dyn view::MemberView>,
    services: parking_lot::Mutex<collections::HashMap<String, ServiceBudget>>,
}

#[derive(Debug)]
struct ServiceBudget {
    /// Number of routers that the limits are shared among.
    routers: usize,
    broken_streams: budget::RetryBudget,
    fresh_requests: budget::RetryBudget,
}

impl ServiceBudgets {
    /// Creates budgets within the limits that the operators set; `members` counts the routers that
    /// share them.
    #[must_use]
    pub fn new(bounds: settings::GatewayBounds, members: sync::Arc<dyn view::MemberView>) -> Self {
        Self {
            bounds,
            members,
            services: parking_lot::Mutex::default(),
        }
    }

    /// The budget of `service`, with this router's share as of `now`.
    fn budget_of(
        &self,
        service: &str,
        now: time::Instant,
    ) -> parking_lot::MappedMutexGuard<'_, ServiceBudget> {
        let routers = self.members.sharing_routers(now).max(1);
        let [broken, fresh] = self.share_limits(routers);
        let services = self.services.lock();
        let mut budget = parking_lot::MutexGuard::map(services, |services| {
            services
                .entry(service.to_owned())
                .or_insert_with(|| ServiceBudget {
                    routers,
                    broken_streams: budget::RetryBudget::new(broken),
                    fresh_requests: budget::RetryBudget::new(fresh),
                })
        });
        if budget.routers != routers {
            budget.routers = routers;
            budget.broken_streams.set_limits(broken, now);
            budget.fresh_requests.set_limits(fresh, now);
        }
        budget
    }

    /// This router's share for broken streams and for other retries, among so many routers.
    fn share_limits(&self, routers: usize) -> [budget::BudgetLimits; 2] {
        let routers = u32::try_from(routers).map_or(f64::from(u32::MAX), f64::from);
        let slack = self.bounds.retry_slack * USED_LIMIT_SHARE / routers;
        let reserve = slack / self.bounds.retry_window.as_secs_f64() / 2.0;
        let ratio = self.bounds.retry_ratio * USED_LIMIT_SHARE;
        let limits = |share: f64, min_capacity: f64, max_tokens: f64| budget::BudgetLimits {
            retries_per_success: ratio * share,
            reserve_per_second: reserve * share,
            max_tokens: max_tokens.min((slack * share).max(min_capacity)),
        };
        [
            limits(
                BROKEN_STREAM_SHARE,
                BROKEN_STREAM_MIN_CAPACITY_TOKENS,
                BROKEN_STREAM_MAX_TOKENS,
            ),
            limits(
                1.0 - BROKEN_STREAM_SHARE,
                FRESH_MIN_CAPACITY_TOKENS,
                FRESH_MAX_TOKENS,
            ),
        ]
    }
}

impl context::RetryLimiter for ServiceBudgets {
    fn deposit(&self, service: &str, now: time::Instant) {
        let budget = self.budget_of(service, now);
        budget.broken_streams.deposit(now);
        budget.fresh_requests.deposit(now);
    }

    fn withdraw(&self, service: &str, urgency: context::RetryUrgency, now: time::Instant) -> bool {
        let budget = self.budget_of(service, now);
        match urgency {
            context::RetryUrgency::Broken => {
                budget.broken_streams.withdraw(now) || budget.fresh_requests.withdraw(now)
            }
            context::RetryUrgency::Fresh => budget.fresh_requests.withdraw(now),
        }
    }
}
