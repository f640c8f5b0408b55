//! Which engine gets the next attempt of a stream, and which one keeps a copy of it.

use std::time;

use async_std::future;
use async_std::task;
use futures::future as futures_future;

use crate::connection::h1::sink;
use crate::request::relay::{attempt, choice, context, copy, dialect, fleet, stream};

/// Time before an engine is looked for again when there is none for a broken stream.
const LOOK_AGAIN: time::Duration = time::Duration::from_millis(50);

/// Time for the reports before a choice; one round trip between availability zones and some work.
const ASK_LIMIT: time::Duration = time::Duration::from_millis(40);

/// Tries to find an engine for a broken stream; together a second.
const MAX_LOOKS: u32 = 20;

/// Which engines were asked for one prompt since the search last began.
#[derive(Debug, Default)]
struct EngineSearch {
    seen: Vec<fleet::EndpointKey>,
    rounds: u32,
}

impl EngineSearch {
    /// Takes note of engines that did not do; returns whether the search begins again, as all or
    /// enough were asked.
    fn starts_over(&mut self, asked: &[fleet::ChosenEndpoint]) -> bool {
        self.seen.extend(asked.iter().map(|endpoint| endpoint.key));
        self.rounds += 1;
        if self.rounds < choice::ROUNDS && !asked.is_empty() {
            return false;
        }
        *self = Self::default();
        true
    }
}

impl stream::StreamRelay<'_> {
    /// The endpoint for the next attempt, and the copy that it goes on from.
    pub(super) async fn next_endpoint(
        &mut self,
    ) -> Option<(context::EndpointLease, Option<dialect::CopySource>)> {
        let is_broken = self.sink.state() == sink::SinkState::Begun;
        if self.offered > 0 {
            let urgency = if is_broken {
                context::RepeatUrgency::Broken
            } else {
                context::RepeatUrgency::Fresh
            };
            let now = time::Instant::now();
            let service = &self.request.service;
            if !self.context.budget.withdraw(service, urgency, now) {
                log::warn!(request = self.request.terms.id.as_str(); "repeat budget is used up");
                return None;
            }
        }
        if let Some(copy) = self.copies.take() {
            let source = copy.source(&self.request.terms.id);
            if let Some(lease) = self.acquire(Some(copy.holder.key)) {
                return Some((lease, Some(source)));
            }
        }
        for _look in 0..MAX_LOOKS {
            if let Some(lease) = self.acquire_idle().await {
                return Some((lease, None));
            }
            // Endpoints that were tried are better than none.
            if !self.excluded.is_empty() {
                self.excluded.clear();
            } else if !is_broken {
                return None;
            }
            task::sleep(LOOK_AGAIN).await;
        }
        None
    }

    fn acquire(&self, only: Option<fleet::EndpointKey>) -> Option<context::EndpointLease> {
        let need = fleet::ChoiceNeed {
            service: &self.request.service,
            excluded: &self.excluded,
            apart_from: None,
            only,
        };
        context::EndpointLease::acquire(&self.context.fleet, &need)
    }

    /// Asks a few engines how busy they are, and takes the one with the least load that has room. A prompt
    /// that fits nowhere waits, and goes to the least loaded one in the end.
    async fn acquire_idle(&mut self) -> Option<context::EndpointLease> {
        let began = time::Instant::now();
        let until = self.wait_limit();
        let mut search = EngineSearch::default();
        loop {
            let (endpoints, asked) = self.ask_engines(&search.seen).await;
            let terms = choice::ChoiceTerms {
                tokens: self.request.terms.tokens,
                may_wait: time::Instant::now() < until,
                is_first: search.seen.is_empty(),
            };
            match choice::choose(&asked, terms) {
                choice::ChoiceStep::Nobody => return None,
                choice::ChoiceStep::AskOthers => {
                    if search.starts_over(&endpoints) {
                        task::sleep(choice::LOOK_INTERVAL.mul_f64(1.0 + fastrand::f64())).await;
                    }
                }
                choice::ChoiceStep::Send(index) => {
                    self.note_choice(&endpoints[index], &asked, index, began.elapsed());
                    return self.acquire(Some(endpoints[index].key));
                }
            }
        }
    }

    fn note_choice(
        &self,
        endpoint: &fleet::ChosenEndpoint,
        asked: &[choice::AskedEngine],
        index: usize,
        elapsed: time::Duration,
    ) {
        let tokens = self.request.terms.tokens;
        self.context.counters.time("relay.choice", elapsed);
        log::info!(
            request = self.request.terms.id.as_str(),
            endpoint = endpoint.name.as_str(),
            load:? = asked[index].load(),
            room:? = asked[index].room(tokens),
            tokens,
            elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
            others:? = asked.iter().map(choice::AskedEngine::load).collect::<Vec<_>>();
            "engine chosen"
        );
    }

    /// Until when a prompt that fits nowhere waits. A stream that broke off goes first, and does not.
    fn wait_limit(&self) -> time::Instant {
        let goal = self.request.route.goal.unwrap_or_default();
        if self.offered > 0 || self.sink.state() == sink::SinkState::Begun {
            return time::Instant::now();
        }
        self.request.arrived + goal.mul_f64(choice::WAIT_SHARE)
    }

    /// Asks a few engines but those in `seen`.
    async fn ask_engines(
        &mut self,
        seen: &[fleet::EndpointKey],
    ) -> (Vec<fleet::ChosenEndpoint>, Vec<choice::AskedEngine>) {
        let excluded = [self.excluded.as_slice(), seen].concat();
        let need = fleet::ChoiceNeed {
            service: &self.request.service,
            excluded: &excluded,
            apart_from: None,
            only: None,
        };
        let fleet = &self.context.fleet;
        let endpoints = fleet.sample(&need, choice::ASKED_ENGINES);
        let dialect = self.context.dialect.as_ref();
        let asks = endpoints.iter().map(|endpoint| async {
            let report = attempt::report(endpoint.address, dialect);
            future::timeout(ASK_LIMIT, report).await.ok().flatten()
        });
        let reports = futures_future::join_all(asks).await;
        let now = time::Instant::now();
        let asked = endpoints.iter().zip(reports);
        let asked = asked.map(|(endpoint, report)| choice::AskedEngine {
            report,
            recent: fleet.recent(endpoint.key, now),
        });
        let asked: Vec<choice::AskedEngine> = asked.collect();
        let order = choice::by_load(&asked, self.request.terms.tokens);
        let answering = order.iter().filter(|index| asked[**index].report.is_some());
        self.answering = answering
            .map(|index| (endpoints[*index].clone(), asked[*index].clone()))
            .collect();
        (endpoints, asked)
    }

    pub(super) fn look_after_copy(&mut self, lease: &context::EndpointLease) {
        if !self.request.has_moves || !self.request.route.kind.may_repeat() {
            return;
        }
        let run = copied_run(self.context, self.request, lease, &self.excluded);
        self.copies.look(run);
    }

    /// Another engine, in another availability zone, to keep a copy of the run's memory.
    pub(super) fn copy_holder(
        &mut self,
        lease: &context::EndpointLease,
    ) -> Option<fleet::ChosenEndpoint> {
        if !self.request.has_copies || !self.request.route.kind.may_repeat() {
            return None;
        }
        // One that has just answered is there; a list may be behind by seconds.
        let (zone, tokens) = (&lease.endpoint.zone, self.request.terms.tokens);
        let mut answering = std::mem::take(&mut self.answering);
        answering.retain(|(endpoint, _asked)| endpoint.zone != *zone);
        let mut roomy = answering
            .iter()
            .filter(|(_endpoint, asked)| asked.fits_copy(tokens));
        if let Some((endpoint, _asked)) = roomy.next() {
            return Some(endpoint.clone());
        }
        if !answering.is_empty() {
            // Memory is short. A copy is moved later, when there is room.
            self.context.counters.count("relay.copy_left_out");
            return None;
        }
        let run = copied_run(self.context, self.request, lease, &self.excluded);
        copy::holders_apart(run, None, 1).pop()
    }
}

fn copied_run<'a>(
    context: &'a context::RelayContext,
    request: &'a context::RelayRequest,
    lease: &'a context::EndpointLease,
    excluded: &'a [fleet::EndpointKey],
) -> copy::CopiedRun<'a> {
    copy::CopiedRun {
        context,
        request: &request.terms.id,
        service: &request.service,
        engine: &lease.endpoint,
        excluded,
        tokens: request.terms.tokens,
    }
}
