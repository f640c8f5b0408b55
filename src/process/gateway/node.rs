//! The state of one gateway, and how it answers a caller's request.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use async_std::channel;

use crate::connection::h1::{head, segments, sink};
use crate::connection::peer;
use crate::process::gateway::rollout::{control, plan_book, version_policy};
use crate::process::gateway::stream_versions::keeper;
use crate::process::gateway::{
    boot_clock, config_pull, config_state, counter_names, endpoint_fleet, endpoint_registry,
    first_read, freshness, parted_rows, peer_polls, permits, readers, request_check, request_guard,
    rows, settings, stop, stop_schedule, stream_duration, token_exchange, unfinished_request,
};
use crate::process::members::{gossip, seed};
use crate::process::telemetry::{metrics, timeline};
use crate::process::view;
use crate::request::relay::{buffered, context, dialect, request_feature, stream};
use crate::request::verdict;
use crate::version::traffic;

/// One gateway and the state that its tasks share.
#[derive(Debug)]
pub struct GatewayNode {
    /// Settings as read at the start.
    pub settings: settings::GatewaySettings,
    /// Recent events for the timeline.
    pub ring: sync::Arc<timeline::EventRing>,
    /// Counters, gauges and durations.
    pub metrics: sync::Arc<metrics::RouterMetrics>,
    /// Gossip about the routers of the system.
    pub gossip: sync::Arc<gossip::GossipNode>,
    /// The known routers.
    pub members: sync::Arc<dyn view::MemberView>,
    /// Connections to peers.
    pub link: sync::Arc<dyn peer::PeerLink>,
    /// Peer addresses to contact first.
    pub seeds: sync::Arc<seed::SeedList>,
    /// Endpoints that requests can be sent to.
    pub fleet: sync::Arc<endpoint_fleet::RouterFleet>,
    /// Endpoint entries of the store, and when they expire.
    pub registry: parking_lot::Mutex<endpoint_registry::EndpointRegistry>,
    /// The store's rows with endpoint entries, to be passed on to peers.
    pub endpoint_rows: parking_lot::Mutex<parted_rows::PartedRows>,
    /// Era of the store that the list of endpoints is of; `None` until there is a list.
    pub endpoint_era: parking_lot::Mutex<Option<u64>>,
    /// When the list of endpoints was last known to be complete.
    pub endpoint_clock: parking_lot::Mutex<freshness::FreshnessClock>,
    /// Waits and limits for reading the store.
    pub pace: readers::ReadTiming,
    /// When this router begins to read the store if no peer has sent it a configuration by then.
    pub first_read: first_read::FirstRead,
    /// When the store last answered this router: for the configuration, then for the endpoints.
    pub store_answered_at: parking_lot::Mutex<[boot_clock::BootInstant; 2]>,
    /// When the store last answered a reader, as reported by peers of all zones.
    pub reader_watch: parking_lot::Mutex<readers::ReaderLiveness>,
    /// When the store last answered a reader, as reported by peers of this router's zone.
    pub zone_watch: parking_lot::Mutex<readers::ReaderLiveness>,
    /// Polls of peers that failed.
    pub poll_failures: parking_lot::Mutex<peer_polls::PollFailures>,
    /// A peer with a newer version, as noticed by a poll.
    pub newer_versions: (
        channel::Sender<config_pull::VersionSource>,
        channel::Receiver<config_pull::VersionSource>,
    ),
    /// The configuration in force and its age.
    pub config_state: parking_lot::Mutex<config_state::ConfigState>,
    /// Client of the platform's store.
    pub store: sync::Arc<dyn rows::RowStore>,
    /// Decodes rows of the store.
    pub codec: sync::Arc<dyn rows::RowCodec>,
    /// Permits for requests to endpoints that limit their rate.
    pub permits: sync::Arc<permits::RouterPermits>,
    /// Exchange of retry tokens with other routers.
    pub tokens: sync::Arc<token_exchange::TokenExchange>,
    /// Requests that are blocked because they crash endpoints.
    pub guard: sync::Arc<request_guard::RouterRequestGuard>,
    /// Software versions that began streams.
    pub origins: sync::Arc<keeper::OriginKeeper>,
    /// Plans of the roll-outs; empty where none are followed.
    pub plans: sync::Arc<plan_book::PlanBook>,
    /// Draws versions and counts how they do; `None` where roll-outs are not followed.
    pub versions: Option<sync::Arc<version_policy::RolloutPolicy>>,
    /// Orders and plans of roll-outs; `None` where they are not followed.
    pub rollouts: Option<control::RolloutControl>,
    /// Resources that all relayed requests share.
    pub relay: context::RelayContext,
    /// Whether the process is stopping; requests are still relayed until `is_closing`.
    pub is_draining: atomic::AtomicBool,
    /// Whether all new requests are refused, as the process is about to exit.
    pub is_closing: atomic::AtomicBool,
    /// Grace period of a planned stop, by the newest settings.
    pub stop_grace: parking_lot::Mutex<time::Duration>,
    /// Times of the planned stop; `None` while the process is not stopping.
    pub stop_schedule: parking_lot::Mutex<Option<stop_schedule::StopSchedule>>,
    /// Estimate of how long streams take.
    pub stream_duration: parking_lot::Mutex<stream_duration::DurationEstimate>,
    /// Number of requests in flight, from the first byte read to the end of the answer.
    pub in_flight: atomic::AtomicU64,
}

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard<'a>(&'a atomic::AtomicU64);

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, atomic::Ordering::SeqCst);
    }
}

impl GatewayNode {
    /// Limits for callers: those of the version in force, or the defaults if there is none.
    #[must_use]
    pub fn limits(&self) -> traffic::CallerLimits {
        let state = self.config_state.lock();
        let version = state.version.as_ref();
        version.map_or_else(traffic::CallerLimits::default, |version| *version.limits())
    }

    /// Records that the list of endpoints is of this era of the store; returns whether the list before
    /// it was of another one, so that the store was restored meanwhile.
    pub(super) fn enter_endpoint_era(&self, era: u64) -> bool {
        let before = self.endpoint_era.lock().replace(era);
        let is_restored = before.is_some_and(|before| before != era);
        if is_restored {
            self.origins.mark_restored();
        }
        is_restored
    }

    /// Whether new callers should use this router.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_draining.load(atomic::Ordering::SeqCst)
            && self.fleet.is_initialized()
            && self.has_fresh_version()
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn start_request(&self) -> InFlightGuard<'_> {
        self.in_flight.fetch_add(1, atomic::Ordering::SeqCst);
        InFlightGuard(&self.in_flight)
    }

    /// Updates the fleet from the registry if entries changed or the fleet was never filled; returns
    /// whether it did.
    pub fn publish_endpoints(&self, is_changed: bool) -> bool {
        if !is_changed && self.fleet.is_initialized() {
            return false;
        }
        let registry = self.registry.lock();
        self.origins.observe(registry.records());
        self.fleet.update(registry.records());
        drop(registry);
        let (known, open) = self.fleet.counts();
        log::info!(known, open; "endpoints changed");
        true
    }

    /// Checks one request, relays it and answers the caller.
    pub async fn respond(
        &self,
        head: head::RequestHead,
        (body, caller): (segments::SegmentedBody, net::IpAddr),
        sink: &mut sink::AnswerSink,
    ) -> context::RelayOutcome {
        let arrived = time::Instant::now();
        let terms = match self.relay.dialect.request_metadata(&head) {
            Ok(terms) => terms,
            Err(refusal) => return self.refuse(sink, &refusal, None).await,
        };
        let id = terms.id.clone();
        if self.is_closing.load(atomic::Ordering::SeqCst) {
            return self.refuse(sink, &stop::refuse_stopping(), Some(&id)).await;
        }
        let checked = match self.check_request(&head, &terms).await {
            Ok(checked) => checked,
            Err(refusal) => return self.refuse(sink, &refusal, Some(&id)).await,
        };
        let number = checked.version.number();
        let Some(request) = relay_request(head, (body, caller), terms, checked, arrived) else {
            let refusal =
                context::refuse_unserved(verdict::RunVerdict::NotRun, context::NO_ENDPOINT_DELAY);
            return self.refuse(sink, &refusal, Some(&id)).await;
        };
        if let Some(refusal) = self.refuse_if_stopping(&request) {
            return self.refuse(sink, &refusal, Some(&id)).await;
        }
        self.relay.budget.deposit(&request.service, arrived);
        self.relay.versions.record_request(&request.service);
        let unfinished = unfinished_request::UnfinishedRequest::new(self, &request);
        let end = if request.route.kind.is_stream() {
            stream::relay(&self.relay, &request, sink).await
        } else {
            buffered::relay(&self.relay, &request, sink).await
        };
        unfinished.finish();
        self.record_outcome(&request, number, &end);
        match end {
            context::RelayOutcome::Refused(refusal) => self.refuse(sink, &refusal, Some(&id)).await,
            end => end,
        }
    }

    fn record_outcome(
        &self,
        request: &context::RelayRequest,
        version: u64,
        end: &context::RelayOutcome,
    ) {
        let elapsed = request.arrived.elapsed();
        let is_stream = request.route.kind.is_stream();
        let duration = if is_stream {
            "stream.duration"
        } else {
            "call.duration"
        };
        self.metrics.time(duration, elapsed);
        // A resumed stream is only the rest of one.
        let is_full = is_stream && request.metadata.last_event.is_none();
        if is_full && *end == context::RelayOutcome::Served(200) {
            self.stream_duration.lock().record(elapsed);
        }
        self.metrics
            .count(counter_names::end_counter(is_stream, end));
        log::info!(
            request = request.metadata.id.as_str(),
            route = request.route.name.as_str(),
            version,
            elapsed_ms = whole_millis(elapsed),
            end:? = end;
            "request ended"
        );
    }

    /// Counts, logs and sends a refusal.
    pub async fn refuse(
        &self,
        sink: &mut sink::AnswerSink,
        refusal: &verdict::RequestRefusal,
        request: Option<&str>,
    ) -> context::RelayOutcome {
        self.metrics
            .count(counter_names::refusal_counter(refusal.code));
        let age = self.version_age().unwrap_or_default();
        log::warn!(
            request = request.unwrap_or(""),
            status = refusal.status,
            code:? = refusal.code,
            verdict = refusal.verdict.as_str(),
            version = self.version_number().unwrap_or_default(),
            version_age_ms = whole_millis(age);
            "request refused"
        );
        let head = self.relay.dialect.refusal_head(refusal, request);
        let body = crate::connection::refusal::body(refusal).to_string();
        match sink.send(&head, body.as_bytes()).await {
            Ok(()) => context::RelayOutcome::Refused(refusal.clone()),
            Err(_gone) => context::RelayOutcome::CallerGone,
        }
    }
}

/// Whole milliseconds for a log line.
pub(super) fn whole_millis(time: time::Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn relay_request(
    head: head::RequestHead,
    (body, caller): (segments::SegmentedBody, net::IpAddr),
    mut terms: dialect::RequestMetadata,
    checked: request_check::CheckedRequest,
    arrived: time::Instant,
) -> Option<context::RelayRequest> {
    let request_check::CheckedRequest {
        version,
        route,
        workspace,
        drops_key,
    } = checked;
    if drops_key {
        // The fingerprint below is logged, told to other routers and stored.
        terms.key = None;
    }
    let service = route.choose_service(&mut fastrand::Rng::new())?.to_owned();
    let profile = version.service(&service);
    let timeout = terms
        .caller_timeout
        .map_or(route.timeout, |caller_timeout| {
            caller_timeout.min(route.timeout)
        });
    let priority = workspace.as_ref().and_then(|workspace| workspace.priority);
    let priority = priority.unwrap_or(route.priority);
    let stream_rank = version
        .stream_rank(&service, priority)
        .filter(|_rank| route.kind.is_stream());
    let features = features(&head, &body.parts(), &terms, workspace.as_ref());
    Some(context::RelayRequest {
        head,
        body,
        caller,
        metadata: terms,
        has_copies: profile.is_some_and(|profile| profile.has_backups),
        has_moves: profile.is_some_and(|profile| profile.has_moves),
        health_path: profile.and_then(|profile| profile.health_path.clone()),
        features,
        priority,
        stream_rank,
        workspace: workspace.map(|workspace| workspace.name),
        drops_key,
        service,
        route,
        arrived,
        deadline: arrived + timeout,
    })
}

/// What a request has in common with others. Endpoints see the workspace in place of its key, so all
/// keys of a workspace are one caller, and so are keys without a workspace on a public route.
fn features(
    head: &head::RequestHead,
    body: &[&[u8]],
    terms: &dialect::RequestMetadata,
    workspace: Option<&traffic::WorkspaceProfile>,
) -> Vec<request_feature::RequestFeature> {
    let workspace = workspace.map(|workspace| workspace.name.as_str());
    let whole = request_feature::RequestFeature::whole(&request_feature::RequestContent {
        caller: workspace.or(terms.key.as_deref()),
        method: &head.method,
        host: &terms.host,
        target: &head.target,
        body,
    });
    let parts = terms.shared_parts.iter().copied();
    std::iter::once(whole).chain(parts).collect()
}
