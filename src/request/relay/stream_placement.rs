//! Chooses the engine for the next attempt of a stream, and the engine that holds its KV copy.

use std::time;

use async_std::task;
use futures::future as futures_future;

use crate::connection::h1::sink;
use crate::request::relay::{attempt, context, dialect, fleet, kv_copy, selection, stream};

/// Delay before the next search when no engine is available for an interrupted stream.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Timeout for the reports of a probe round; one round trip between availability zones plus
/// processing.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(40);

/// Maximum number of searches for an interrupted stream; a second in total.
const MAX_PLACEMENT_TRIES: u32 = 20;

/// Chosen engines without a permit after which a search is for engines without a request limit.
const MAX_REFUSALS: u32 = 3;

/// Engines probed for one prompt since its search last restarted.
#[derive(Debug, Default)]
struct EngineSearch {
    probed: Vec<fleet::EndpointKey>,
    rounds: u32,
    /// Chosen engines that got no permit.
    refusals: u32,
}

impl EngineSearch {
    /// Records engines that were probed and not chosen. Returns whether the search restarts
    /// because all engines, or enough of them, have been probed.
    fn restarts_after(&mut self, probed: &[fleet::ChosenEndpoint]) -> bool {
        self.probed
            .extend(probed.iter().map(|endpoint| endpoint.key));
        self.rounds += 1;
        if self.rounds < selection::MAX_PROBE_ROUNDS && !probed.is_empty() {
            return false;
        }
        self.restart();
        true
    }

    /// Records that the chosen engine got no permit or closed meanwhile.
    fn record_refusal(&mut self) {
        self.refusals += 1;
        self.restart();
    }

    fn restart(&mut self) {
        self.probed.clear();
        self.rounds = 0;
    }
}

impl stream::StreamRelay<'_> {
    /// Returns the endpoint for the next attempt, and the KV copy that it resumes from.
    pub(super) async fn next_endpoint(
        &mut self,
    ) -> Option<(context::EndpointLease, Option<dialect::CopySource>)> {
        let is_interrupted = self.sink.state() == sink::SinkState::Started;
        if self.attempts > 0 {
            let urgency = if is_interrupted {
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
            if let Some(lease) = self.acquire(Some(copy.holder.key)).await {
                return Some((lease, Some(source)));
            }
        }
        for _search in 0..MAX_PLACEMENT_TRIES {
            if let Some(lease) = self.acquire_least_loaded().await {
                return Some((lease, None));
            }
            // Falls back to endpoints that were already tried.
            if !self.excluded.is_empty() {
                self.excluded.clear();
            } else if !is_interrupted {
                return None;
            }
            task::sleep(RETRY_INTERVAL).await;
        }
        None
    }

    async fn acquire(&self, only: Option<fleet::EndpointKey>) -> Option<context::EndpointLease> {
        let query = fleet::EndpointQuery {
            service: &self.request.service,
            excluded: &self.excluded,
            avoid_zone_of: None,
            only,
            is_unlimited: false,
        };
        self.context
            .acquire(&self.request.metadata.id, &query)
            .await
    }

    /// Probes a few engines and acquires the least loaded one with room. A prompt that fits
    /// nowhere waits, and goes to the least loaded engine when its wait limit is over.
    async fn acquire_least_loaded(&mut self) -> Option<context::EndpointLease> {
        let began = time::Instant::now();
        let until = self.wait_limit();
        let mut search = EngineSearch::default();
        loop {
            let (endpoints, candidates) = self.probe_engines(&search).await;
            let params = selection::SelectionParams {
                tokens: self.request.metadata.tokens,
                may_wait: time::Instant::now() < until,
                is_first: search.probed.is_empty(),
            };
            match selection::choose_engine(&candidates, params) {
                selection::SelectionStep::NoEngine => return None,
                selection::SelectionStep::ProbeOthers => {
                    if search.restarts_after(&endpoints) {
                        task::sleep(selection::REPROBE_INTERVAL.mul_f64(1.0 + fastrand::f64()))
                            .await;
                    }
                }
                selection::SelectionStep::Send(index) => {
                    self.log_selection(&endpoints[index], &candidates, index, began.elapsed());
                    let lease = self.acquire(Some(endpoints[index].key)).await;
                    if lease.is_some() || search.refusals > MAX_REFUSALS {
                        return lease;
                    }
                    search.record_refusal();
                }
            }
        }
    }

    fn log_selection(
        &self,
        endpoint: &fleet::ChosenEndpoint,
        candidates: &[selection::EngineCandidate],
        index: usize,
        elapsed: time::Duration,
    ) {
        let tokens = self.request.metadata.tokens;
        self.context.counters.time("relay.choice", elapsed);
        log::info!(
            request = self.request.metadata.id.as_str(),
            endpoint = endpoint.name.as_str(),
            load:? = candidates[index].load(),
            room:? = candidates[index].free_tokens(tokens),
            tokens,
            elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
            others:? = candidates.iter().map(selection::EngineCandidate::load).collect::<Vec<_>>();
            "engine chosen"
        );
    }

    /// Time until which a prompt that fits nowhere waits. Retries and interrupted streams do not
    /// wait.
    fn wait_limit(&self) -> time::Instant {
        let goal = self.request.route.goal.unwrap_or_default();
        if self.attempts > 0 || self.sink.state() == sink::SinkState::Started {
            return time::Instant::now();
        }
        self.request.arrived + goal.mul_f64(selection::MAX_WAIT_FRACTION)
    }

    /// Probes a few engines that `search` has not probed yet.
    async fn probe_engines(
        &mut self,
        search: &EngineSearch,
    ) -> (Vec<fleet::ChosenEndpoint>, Vec<selection::EngineCandidate>) {
        let excluded = [self.excluded.as_slice(), search.probed.as_slice()].concat();
        let query = fleet::EndpointQuery {
            service: &self.request.service,
            excluded: &excluded,
            avoid_zone_of: None,
            only: None,
            is_unlimited: search.refusals >= MAX_REFUSALS,
        };
        let fleet = &self.context.fleet;
        let endpoints = fleet.sample(&query, selection::PROBED_ENGINES);
        let dialect = self.context.dialect.as_ref();
        let pending = endpoints
            .iter()
            .map(|endpoint| attempt::report(endpoint.address, dialect, PROBE_TIMEOUT));
        let reports = futures_future::join_all(pending).await;
        let now = time::Instant::now();
        let candidates = endpoints.iter().zip(reports);
        let candidates = candidates.map(|(endpoint, report)| selection::EngineCandidate {
            report,
            recent_requests: fleet.recent_requests(endpoint.key, now),
        });
        let candidates: Vec<selection::EngineCandidate> = candidates.collect();
        let order = selection::order_by_load(&candidates, self.request.metadata.tokens);
        let responding = order
            .iter()
            .filter(|index| candidates[**index].report.is_some());
        self.responding = responding
            .map(|index| (endpoints[*index].clone(), candidates[*index].clone()))
            .collect();
        (endpoints, candidates)
    }

    pub(super) fn maintain_copy(&mut self, lease: &context::EndpointLease) {
        if !self.request.has_moves || !self.request.route.kind.may_repeat() {
            return;
        }
        let run = copied_run(self.context, self.request, lease, &self.excluded);
        self.copies.poll(run);
    }

    /// Chooses an engine in another availability zone to hold the KV copy of the stream's run.
    pub(super) fn copy_holder(
        &mut self,
        lease: &context::EndpointLease,
    ) -> Option<fleet::ChosenEndpoint> {
        if !self.request.has_copies || !self.request.route.kind.may_repeat() {
            return None;
        }
        // Prefers engines that have just responded; the endpoint list may be seconds out of date.
        let (zone, tokens) = (&lease.endpoint.zone, self.request.metadata.tokens);
        let mut candidates = std::mem::take(&mut self.responding);
        candidates.retain(|(endpoint, _candidate)| endpoint.zone != *zone);
        let mut with_room = candidates
            .iter()
            .filter(|(_endpoint, candidate)| candidate.has_room_for_copy(tokens));
        if let Some((endpoint, _candidate)) = with_room.next() {
            return Some(endpoint.clone());
        }
        if !candidates.is_empty() {
            // Memory is short. A copy is made later, when there is room.
            self.context.counters.count("relay.copy_left_out");
            return None;
        }
        let run = copied_run(self.context, self.request, lease, &self.excluded);
        kv_copy::sample_holders(run, None, 1).pop()
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
