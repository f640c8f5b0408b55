//! Which engine gets the next attempt of a stream, and which one keeps a copy of it.

use std::time;

use async_std::future;
use async_std::task;
use futures::future as futures_future;

use crate::connection::h1::sink;
use crate::request::relay::{attempt, context, dialect, fleet, kv_copy, selection, stream};

/// Time before an engine is looked for again when there is none for a broken stream.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Time for the reports before a choice; one round trip between availability zones and some work.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(40);

/// Tries to find an engine for a broken stream; together a second.
const MAX_PLACEMENT_TRIES: u32 = 20;

/// Which engines were asked for one prompt since the search last began.
#[derive(Debug, Default)]
struct EngineSearch {
    seen: Vec<fleet::EndpointKey>,
    rounds: u32,
}

impl EngineSearch {
    /// Takes note of engines that did not do; returns whether the search begins again, as all or
    /// enough were asked.
    fn restarts_after(&mut self, asked: &[fleet::ChosenEndpoint]) -> bool {
        self.seen.extend(asked.iter().map(|endpoint| endpoint.key));
        self.rounds += 1;
        if self.rounds < selection::MAX_PROBE_ROUNDS && !asked.is_empty() {
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
                context::RetryUrgency::Broken
            } else {
                context::RetryUrgency::Fresh
            };
            let now = time::Instant::now();
            let service = &self.request.service;
            if !self.context.budget.withdraw(service, urgency, now) {
                log::warn!(request = self.request.metadata.id.as_str(); "repeat budget is used up");
                return None;
            }
        }
        if let Some(copy) = self.copies.take() {
            let source = copy.source(&self.request.metadata.id);
            if let Some(lease) = self.acquire(Some(copy.holder.key)) {
                return Some((lease, Some(source)));
            }
        }
        for _look in 0..MAX_PLACEMENT_TRIES {
            if let Some(lease) = self.acquire_least_loaded().await {
                return Some((lease, None));
            }
            // Endpoints that were tried are better than none.
            if !self.excluded.is_empty() {
                self.excluded.clear();
            } else if !is_broken {
                return None;
            }
            task::sleep(RETRY_INTERVAL).await;
        }
        None
    }

    fn acquire(&self, only: Option<fleet::EndpointKey>) -> Option<context::EndpointLease> {
        let need = fleet::EndpointQuery {
            service: &self.request.service,
            excluded: &self.excluded,
            avoid_zone_of: None,
            only,
        };
        context::EndpointLease::acquire(&self.context.fleet, &need)
    }

    /// Asks a few engines how busy they are, and takes the one with the least load that has room. A prompt
    /// that fits nowhere waits, and goes to the least loaded one in the end.
    async fn acquire_least_loaded(&mut self) -> Option<context::EndpointLease> {
        let began = time::Instant::now();
        let until = self.wait_limit();
        let mut search = EngineSearch::default();
        loop {
            let (endpoints, asked) = self.probe_engines(&search.seen).await;
            let terms = selection::SelectionParams {
                tokens: self.request.metadata.tokens,
                may_wait: time::Instant::now() < until,
                is_first: search.seen.is_empty(),
            };
            match selection::choose_engine(&asked, terms) {
                selection::SelectionStep::NoEngine => return None,
                selection::SelectionStep::ProbeOthers => {
                    if search.restarts_after(&endpoints) {
                        task::sleep(selection::REPROBE_INTERVAL.mul_f64(1.0 + fastrand::f64()))
                            .await;
                    }
                }
                selection::SelectionStep::Send(index) => {
                    self.log_selection(&endpoints[index], &asked, index, began.elapsed());
                    return self.acquire(Some(endpoints[index].key));
                }
            }
        }
    }

    fn log_selection(
        &self,
        endpoint: &fleet::ChosenEndpoint,
        asked: &[selection::EngineCandidate],
        index: usize,
        elapsed: time::Duration,
    ) {
        let tokens = self.request.metadata.tokens;
        self.context.counters.time("relay.choice", elapsed);
        log::info!(
            request = self.request.metadata.id.as_str(),
            endpoint = endpoint.name.as_str(),
            load:? = asked[index].load(),
            room:? = asked[index].free_tokens(tokens),
            tokens,
            elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
            others:? = asked.iter().map(selection::EngineCandidate::load).collect::<Vec<_>>();
            "engine chosen"
        );
    }

    /// Until when a prompt that fits nowhere waits. A stream that broke off goes first, and does not.
    fn wait_limit(&self) -> time::Instant {
        let goal = self.request.route.goal.unwrap_or_default();
        if self.offered > 0 || self.sink.state() == sink::SinkState::Begun {
            return time::Instant::now();
        }
        self.request.arrived + goal.mul_f64(selection::MAX_WAIT_FRACTION)
    }

    /// Asks a few engines but those in `seen`.
    async fn probe_engines(
        &mut self,
        seen: &[fleet::EndpointKey],
    ) -> (Vec<fleet::ChosenEndpoint>, Vec<selection::EngineCandidate>) {
        let excluded = [self.excluded.as_slice(), seen].concat();
        let need = fleet::EndpointQuery {
            service: &self.request.service,
            excluded: &excluded,
            avoid_zone_of: None,
            only: None,
        };
        let fleet = &self.context.fleet;
        let endpoints = fleet.sample(&need, selection::PROBED_ENGINES);
        let dialect = self.context.dialect.as_ref();
        let asks = endpoints.iter().map(|endpoint| async {
            let report = attempt::report(endpoint.address, dialect);
            future::timeout(PROBE_TIMEOUT, report).await.ok().flatten()
        });
        let reports = futures_future::join_all(asks).await;
        let now = time::Instant::now();
        let asked = endpoints.iter().zip(reports);
        let asked = asked.map(|(endpoint, report)| selection::EngineCandidate {
            report,
            recent_requests: fleet.recent_requests(endpoint.key, now),
        });
        let asked: Vec<selection::EngineCandidate> = asked.collect();
        let order = selection::order_by_load(&asked, self.request.metadata.tokens);
        let answering = order.iter().filter(|index| asked[**index].report.is_some());
        self.answering = answering
            .map(|index| (endpoints[*index].clone(), asked[*index].clone()))
            .collect();
        (endpoints, asked)
    }

    pub(super) fn maintain_copy(&mut self, lease: &context::EndpointLease) {
        if !self.request.has_moves || !self.request.route.kind.may_repeat() {
            return;
        }
        let run = copied_run(self.context, self.request, lease, &self.excluded);
        self.copies.poll(run);
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
        let (zone, tokens) = (&lease.endpoint.zone, self.request.metadata.tokens);
        let mut answering = std::mem::take(&mut self.answering);
        answering.retain(|(endpoint, _asked)| endpoint.zone != *zone);
        let mut roomy = answering
            .iter()
            .filter(|(_endpoint, asked)| asked.has_room_for_copy(tokens));
        if let Some((endpoint, _asked)) = roomy.next() {
            return Some(endpoint.clone());
        }
        if !answering.is_empty() {
            // Memory is short. A copy is moved later, when there is room.
            self.context.counters.count("relay.copy_left_out");
            return None;
        }
        let run = copied_run(self.context, self.request, lease, &self.excluded);
        kv_copy::holders_in_other_zones(run, None, 1).pop()
    }
}

fn copied_run<'a>(
    context: &'a context::RelayContext,
    request: &'a context::RelayRequest,
    lease: &'a context::EndpointLease,
    excluded: &'a [fleet::EndpointKey],
) -> kv_copy::CopiedRun<'a> {
    kv_copy::CopiedRun {
        context,
        request: &request.metadata.id,
        service: &request.service,
        engine: &lease.endpoint,
        excluded,
        tokens: request.metadata.tokens,
    }
}
