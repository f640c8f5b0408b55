//! This router's share of the retry limit that applies to all routers together.
//!
//! Each router allows retries in proportion to its own requests, so the routers need no messages
//! to coordinate. Tokens that one of them does not need may be given to another; see
//! `token_exchange`.

use std::collections;
use std::sync;
use std::time;

use crate::process::gateway::settings;
use crate::process::limits::{budget, token_transfer};
use crate::process::view;
use crate::request::relay::context;

/// Fraction of the shared limit that the routers use. The rest is a margin for requests that are
/// counted elsewhere, or later than the limit counts them.
const USED_LIMIT_SHARE: f64 = 0.6;

/// Fraction of this router's whole share of the limit up to which it gives tokens away. What it used
/// itself and is likely to need counts too; the rest is the margin for the time that a token travels.
const GIFT_LIMIT_SHARE: f64 = 0.9;

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
    uses: token_transfer::ShareUse,
    received: token_transfer::ReceivedTokens,
    asks: token_transfer::AskSchedule,
}

/// Tokens that were withdrawn for another router.
#[derive(Clone, Copy, Debug)]
pub struct TokenGift {
    /// Number of tokens.
    pub given: u32,
    /// What decided about it.
    pub params: token_transfer::GiftParams,
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
                    uses: token_transfer::ShareUse::new(now, self.bounds.retry_window),
                    received: token_transfer::ReceivedTokens::default(),
                    asks: token_transfer::AskSchedule::default(),
                })
        });
        if budget.routers != routers {
            budget.routers = routers;
            budget.broken_streams.set_limits(broken, now);
            budget.fresh_requests.set_limits(fresh, now);
        }
        budget
    }

    /// Whether to ask other routers for tokens for broken streams of `service` now; if so,
    /// [`ServiceBudgets::finish_ask`] has to follow.
    #[must_use]
    pub fn begin_ask(&self, service: &str, now: time::Instant) -> bool {
        self.budget_of(service, now).asks.begin(now)
    }

    /// Records the tokens that each of the asked routers gave.
    pub fn finish_ask(&self, service: &str, given: &[u32], now: time::Instant) {
        let mut budget = self.budget_of(service, now);
        let mut total = 0;
        for tokens in given {
            budget.received.add(*tokens, now);
            total += (*tokens).min(token_transfer::WANTED_TOKENS);
        }
        budget.asks.finish(total, fastrand::f64(), now);
    }

    /// Withdraws tokens for another router that asks for `wanted`; returns how many it gets.
    #[must_use]
    pub fn give(&self, service: &str, wanted: u32, now: time::Instant) -> TokenGift {
        let mut budget = self.budget_of(service, now);
        let routers = f64::from(u32::try_from(budget.routers).unwrap_or(u32::MAX));
        let requests = f64::from(budget.uses.requests(now));
        let share = self.bounds.retry_slack / routers + self.bounds.retry_ratio * requests;
        let params = token_transfer::GiftParams {
            wanted: wanted.min(token_transfer::WANTED_TOKENS),
            available: budget.broken_streams.available(now) + budget.fresh_requests.available(now),
            used: budget.uses.used(now),
            share: share * GIFT_LIMIT_SHARE,
            expected_demand: budget.uses.expected_demand(now),
        };
        let count = token_transfer::tokens_to_give(&params);
        let mut given = 0;
        for _token in 0..count {
            let is_withdrawn =
                budget.fresh_requests.withdraw(now) || budget.broken_streams.withdraw(now);
            given += u32::from(is_withdrawn);
        }
        budget.uses.record_use(given, now);
        TokenGift { given, params }
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
        let mut budget = self.budget_of(service, now);
        budget.uses.record_request(now);
        budget.broken_streams.deposit(now);
        budget.fresh_requests.deposit(now);
    }

    fn withdraw(&self, service: &str, urgency: context::RetryUrgency, now: time::Instant) -> bool {
        let mut budget = self.budget_of(service, now);
        let is_broken = urgency == context::RetryUrgency::Broken;
        // Its giver has counted a received token.
        if is_broken && budget.received.take(now) {
            return true;
        }
        let is_granted = (is_broken && budget.broken_streams.withdraw(now))
            || budget.fresh_requests.withdraw(now);
        budget.uses.record_use(u32::from(is_granted), now);
        is_granted
    }
}
