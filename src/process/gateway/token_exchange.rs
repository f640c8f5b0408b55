//! Asks other routers for retry tokens when this router's share is used up, and gives away those that
//! it does not need.

use std::sync;
use std::time;

use async_std::task;
use futures::future;

use crate::connection::{peer, peer_wire, token_wire};
use crate::process::gateway::budgets;
use crate::process::limits::token_transfer;
use crate::process::view;
use crate::request::relay::context;

/// Timeout for a router's answer; a few round trips within a region.
const ASK_TIMEOUT: time::Duration = time::Duration::from_millis(150);

/// Retry budgets of one router, with the exchange of tokens.
#[derive(Clone, Debug)]
pub struct TokenExchange {
    budgets: sync::Arc<budgets::ServiceBudgets>,
    members: sync::Arc<dyn view::MemberView>,
    link: sync::Arc<dyn peer::PeerLink>,
    counters: sync::Arc<dyn view::CounterSink>,
}

impl TokenExchange {
    /// Exchanges tokens of `budgets` with the ready routers among `members`.
    #[must_use]
    pub fn new(
        budgets: sync::Arc<budgets::ServiceBudgets>,
        members: sync::Arc<dyn view::MemberView>,
        link: sync::Arc<dyn peer::PeerLink>,
        counters: sync::Arc<dyn view::CounterSink>,
    ) -> Self {
        Self {
            budgets,
            members,
            link,
            counters,
        }
    }

    /// Withdraws tokens for a router that asks, before the reply is sent.
    #[must_use]
    pub fn answer_ask(&self, query: &token_wire::RetryTokensWire) -> u32 {
        let service = query.service.as_str();
        let gift = self
            .budgets
            .give(service, query.wanted, time::Instant::now());
        if gift.given > 0 {
            self.counters.count("relay.retry_tokens_given");
        }
        log::info!(
            service,
            given = gift.given,
            available = gift.params.available,
            used = gift.params.used,
            share = gift.params.share,
            expected_demand = gift.params.expected_demand;
            "asked for retry tokens"
        );
        gift.given
    }

    async fn ask(self, service: String) {
        let own = self.members.home().router;
        let mut peers = self.members.ready_members();
        peers.retain(|member| member.router != own);
        let chosen = token_transfer::choose_routers(peers.len(), &mut fastrand::Rng::new());
        let pending = chosen
            .iter()
            .map(|index| self.ask_router(&peers[*index].peer_address, &service));
        let began = time::Instant::now();
        let given = future::join_all(pending).await;
        self.budgets
            .finish_ask(&service, &given, time::Instant::now());
        let total: u32 = given.iter().sum();
        self.counters.count(if total > 0 {
            "relay.retry_tokens_received"
        } else {
            "relay.retry_tokens_not_found"
        });
        log::info!(
            service = service.as_str(),
            asked = chosen.len(),
            received = total,
            elapsed_ms = u64::try_from(began.elapsed().as_millis()).unwrap_or(u64::MAX);
            "retry tokens of other routers"
        );
    }

    async fn ask_router(&self, address: &str, service: &str) -> u32 {
        let query = peer_wire::QueryBody::RetryTokens(token_wire::RetryTokensWire {
            service: service.to_owned(),
            wanted: token_transfer::WANTED_TOKENS,
        });
        // A router of an earlier version refuses the query. A lost reply loses the tokens.
        match self.link.ask(address, query, ASK_TIMEOUT).await {
            Ok(peer_wire::ReplyBody::RetryTokens(given)) => {
                given.min(token_transfer::WANTED_TOKENS)
            }
            _ => 0,
        }
    }
}

impl context::RetryLimiter for TokenExchange {
    fn deposit(&self, service: &str, now: time::Instant) {
        self.budgets.deposit(service, now);
    }

    fn withdraw(&self, service: &str, urgency: context::RetryUrgency, now: time::Instant) -> bool {
        if self.budgets.withdraw(service, urgency, now) {
            return true;
        }
        if urgency == context::RetryUrgency::Broken && self.budgets.begin_ask(service, now) {
            task::spawn(self.clone().ask(service.to_owned()));
        }
        false
    }
}
