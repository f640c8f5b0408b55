//! Chooses the engine for the next attempt of a stream, and the engine that holds its KV copy.

use std::time;

use async_std::task;
use futures::future as futures_future;

use crate::request::relay::{
    attempt, context, dialect, fleet, incarnation, kv_copy, report, retry, selection, stream,
    trunk_reservation, version_choice,
};

/// Delay before the next search when no engine is available for an interrupted stream.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Timeout for the reports of a probe round; one round trip between availability zones plus
/// processing.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(40);

/// Delay before an interrupted stream is sent again after so many refusals as end a new one.
const REFUSED_RETRY_INTERVAL: time::Duration = time::Duration::from_millis(500);

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
    /// Returns the endpoint for the next attempt, and the KV copy that it resumes from. For an
    /// interrupted stream, searches until the deadline.
    pub(super) async fn next_endpoint(
        &mut self,
    ) -> Option<(context::EndpointLease, Option<dialect::CopySource>)> {
        if self.attempts > 0 && !self.withdraw_retry().await {
            return None;
        }
        let copy = self.copies.take();
        let copy = copy.filter(|copy| !self.context.fleet.is_replaced(copy.holder.key));
        if let Some(copy) = copy {
            let source = copy.source(&self.request.metadata.id);
            if let Some(lease) = self.acquire(Some(copy.holder.key)).await {
                return Some((lease, Some(source)));
            }
        }
        loop {
            if let Some(lease) = self.acquire_least_loaded().await {
                return Some((lease, None));
            }
            if self.is_interrupted() && self.has_only_other_versions() {
                log::warn!(
                    request = self.request.metadata.id.as_str(),
                    versions:? = self.allowed_versions().drawn;
                    "no endpoint is left of the version that began the stream"
                );
                return None;
            }
            // Falls back to endpoints that were already tried.
            if !self.excluded.is_empty() {
                self.excluded.clear();
            } else if !self.is_interrupted() {
                return None;
            }
            task::sleep(RETRY_INTERVAL).await;
        }
    }

    /// Takes a retry from the budget; an interrupted stream waits for one.
    async fn withdraw_retry(&self) -> bool {
        let (budget, service) = (&self.context.budget, &self.request.service);
        let request = self.request.metadata.id.as_str();
        if !self.is_interrupted() {
            let urgency = context::RetryUrgency::Fresh;
            let is_granted = budget.withdraw(service, urgency, time::Instant::now());
            if !is_granted {
                log::warn!(request; "repeat budget is used up");
            }
            return is_granted;
        }
        if self.attempts >= retry::MAX_ATTEMPTS {
            task::sleep(REFUSED_RETRY_INTERVAL).await;
        }
        let urgency = context::RetryUrgency::Broken;
        let mut is_logged = false;
        while !budget.withdraw(service, urgency, time::Instant::now()) {
            if !std::mem::replace(&mut is_logged, true) {
                log::warn!(request; "repeat budget is used up; the stream waits");
            }
            task::sleep(RETRY_INTERVAL).await;
        }
        true
    }

    async fn acquire(&self, only: Option<fleet::EndpointKey>) -> Option<context::EndpointLease> {
        let query = fleet::EndpointQuery {
            service: &self.request.service,
            excluded: &self.excluded,
            avoid_zone_of: None,
            only,
            is_unlimited: false,
            versions: &self.allowed_versions(),
        };
        self.context
            .acquire(&self.request.metadata.id, &query)
            .await
    }

    /// Probes a few engines and acquires the least loaded one with room. A prompt that fits
    /// nowhere waits, and goes to the least loaded engine when its wait limit is over.
    async fn acquire_least_loaded(&mut self) -> Option<context::EndpointLease> {
        let began = time::Instant::now();
        let mut until = self.wait_limit();
        let mut search = EngineSearch::default();
        let is_ranked = self.request.stream_rank.is_some();
        let prompts = &self.context.loads.prompts;
        if is_ranked && prompts.count() >= trunk_reservation::MAX_WAITING_PROMPTS {
            self.context.counters.count("relay.prompt_not_held");
            until = began;
        }
        let mut waiting = None;
        loop {
            let (endpoints, candidates) = self.probe_engines(&search).await;
            let params = selection::SelectionParams {
                tokens: self.request.metadata.tokens,
                may_wait: time::Instant::now() < until,
                is_first: search.probed.is_empty(),
            };
            let rule = self.selection_rule(until);
            match selection::choose_engine_by(rule.as_ref(), &candidates, params) {
                selection::SelectionStep::NoEngine => return None,
                selection::SelectionStep::ProbeOthers => {
                    if waiting.is_none() {
                        waiting = Some(is_ranked.then(|| prompts.start()));
                        self.log_hold(&candidates, rule.as_ref());
                    }
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

    /// Which engines the prompt may go to while it may wait until `until`.
    fn selection_rule(&self, until: time::Instant) -> Box<dyn selection::SelectionRule> {
        let Some(rank) = self.request.stream_rank else {
            return Box::new(selection::RoomRule);
        };
        let left = until.saturating_duration_since(time::Instant::now());
        let limit = until.saturating_duration_since(self.request.arrived);
        Box::new(trunk_reservation::TrunkReservation::new(rank, left, limit))
    }

    fn log_hold(
        &self,
        candidates: &[selection::EngineCandidate],
        rule: &dyn selection::SelectionRule,
    ) {
        self.context.counters.count("relay.prompt_held");
        log::info!(
            request = self.request.metadata.id.as_str(),
            priority = self.request.priority,
            rule:? = rule,
            tokens = self.request.metadata.tokens,
            pending:? = candidates.iter().map(selection::EngineCandidate::pending_prompts).collect::<Vec<_>>();
            "prompt searches further engines"
        );
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
        if self.attempts > 0 || self.is_interrupted() {
            return time::Instant::now();
        }
        self.request.arrived + goal.mul_f64(selection::MAX_WAIT_FRACTION)
    }

    /// Software versions that the next attempt may use, by the newest plan.
    fn allowed_versions(&self) -> version_choice::VersionFilter {
        let rules = self.context.versions.as_ref();
        self.versions.filter(rules, &self.request.service)
    }

    /// Whether the service has endpoints, and none that the stream may go on at. A service without any
    /// may get some again.
    pub(super) fn has_only_other_versions(&self) -> bool {
        let (fleet, service) = (&self.context.fleet, &self.request.service);
        fleet.has_version(service, &version_choice::VersionFilter::ANY)
            && !fleet.has_version(service, &self.allowed_versions())
    }

    /// Probes a few engines that `search` has not probed yet.
    async fn probe_engines(
        &mut self,
        search: &EngineSearch,
    ) -> (Vec<fleet::ChosenEndpoint>, Vec<selection::EngineCandidate>) {
        let (endpoints, reports) = self.probe_current(search).await;
        let (fleet, now) = (&self.context.fleet, time::Instant::now());
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

    /// Probes engines until one of them is still the one of its entry, or none is left.
    async fn probe_current(
        &self,
        search: &EngineSearch,
    ) -> (
        Vec<fleet::ChosenEndpoint>,
        Vec<Option<report::EngineReport>>,
    ) {
        let mut excluded = [self.excluded.as_slice(), search.probed.as_slice()].concat();
        let (fleet, counters) = (&self.context.fleet, &self.context.counters);
        let dialect = self.context.dialect.as_ref();
        let versions = self.allowed_versions();
        loop {
            let query = fleet::EndpointQuery {
                service: &self.request.service,
                excluded: &excluded,
                avoid_zone_of: None,
                only: None,
                is_unlimited: search.refusals >= MAX_REFUSALS,
                versions: &versions,
            };
            let endpoints = fleet.sample(&query, selection::PROBED_ENGINES);
            let keys: Vec<fleet::EndpointKey> =
                endpoints.iter().map(|endpoint| endpoint.key).collect();
            let pending = endpoints
                .iter()
                .map(|endpoint| attempt::report(endpoint.address, dialect, PROBE_TIMEOUT));
            let reports = futures_future::join_all(pending).await;
            let probed = endpoints.into_iter().zip(reports).collect();
            let request = self.request.metadata.id.as_str();
            let current =
                incarnation::drop_replaced(fleet.as_ref(), counters.as_ref(), request, probed);
            if !current.is_empty() || keys.is_empty() {
                return current.into_iter().unzip();
            }
            excluded.extend(keys);
        }
    }

    pub(super) fn maintain_copy(&mut self, lease: &context::EndpointLease) {
        if !self.request.has_moves || !self.request.route.kind.may_repeat() {
            return;
        }
        let shared = (self.context, self.request);
        let run = copied_run(shared, lease, &self.excluded, &self.versions);
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
        let shared = (self.context, self.request);
        let run = copied_run(shared, lease, &self.excluded, &self.versions);
        let versions = run.holder_versions();
        candidates.retain(|(endpoint, _candidate)| {
            endpoint.zone != *zone && versions.drawn.allows(&endpoint.version)
        });
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
        kv_copy::sample_holders(run, None, 1).pop()
    }
}

fn copied_run<'a>(
    (context, request): (&'a context::RelayContext, &'a context::RelayRequest),
    lease: &'a context::EndpointLease,
    excluded: &'a [fleet::EndpointKey],
    versions: &'a version_choice::VersionChoice,
) -> kv_copy::CopiedRun<'a> {
    kv_copy::CopiedRun {
        context,
        request: &request.metadata.id,
        service: &request.service,
        engine: &lease.endpoint,
        excluded,
        tokens: request.metadata.tokens,
        versions,
    }
}
