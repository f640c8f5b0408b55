//! One gateway: what it believes, and how it answers a caller's request.

use std::sync;
use std::sync::atomic;
use std::time;

use crate::connection::h1::{head, sink};
use crate::connection::peer;
use crate::process::gateway::{
    boot_clock, check, endpoint_fleet, endpoint_registry, endpoint_rows, freshness, outcome,
    readers, rows, settings, stopping,
};
use crate::process::members::{gossip, seed};
use crate::process::telemetry::{metrics, timeline};
use crate::process::view;
use crate::request::relay::{context, dialect, plain, stream};
use crate::request::verdict;
use crate::version::traffic;

/// What a gateway believes of the configuration.
#[derive(Debug, Default)]
pub struct TrafficBelief {
    /// The version in force.
    pub version: Option<sync::Arc<traffic::TrafficVersion>>,
    /// The row that holds it, for peers.
    pub row: Option<(String, Vec<u8>)>,
    /// How old the knowledge is.
    pub clock: freshness::FreshnessClock,
}

/// One gateway.
#[derive(Debug)]
pub struct GatewayNode {
    /// Settings.
    pub settings: settings::GatewaySettings,
    /// Events for the time line.
    pub ring: sync::Arc<timeline::EventRing>,
    /// Counters.
    pub metrics: sync::Arc<metrics::RouterMetrics>,
    /// Membership.
    pub gossip: sync::Arc<gossip::GossipNode>,
    /// The routers.
    pub members: sync::Arc<dyn view::MemberView>,
    /// Links to peers.
    pub link: sync::Arc<dyn peer::PeerLink>,
    /// Peer addresses to try.
    pub seeds: sync::Arc<seed::SeedList>,
    /// Endpoints as requests see them.
    pub fleet: sync::Arc<endpoint_fleet::RouterFleet>,
    /// Endpoints as the store tells of them.
    pub book: parking_lot::Mutex<endpoint_registry::EndpointRegistry>,
    /// Entries of endpoints as the store has them, for peers.
    pub endpoint_rows: parking_lot::Mutex<endpoint_rows::EndpointRows>,
    /// When the endpoints were last known to be complete.
    pub endpoint_clock: parking_lot::Mutex<freshness::FreshnessClock>,
    /// How often the store is read.
    pub pace: readers::ReadTiming,
    /// From when on this router reads the store if nobody has told it a configuration.
    pub reads_from: time::Instant,
    /// When the store last answered this router, for the configuration and for the endpoints.
    pub store_answers: parking_lot::Mutex<[boot_clock::BootInstant; 2]>,
    /// Word from routers that follow the store.
    pub reader_watch: parking_lot::Mutex<readers::ReaderLiveness>,
    /// The same, as far as the own zone told it.
    pub zone_watch: parking_lot::Mutex<readers::ReaderLiveness>,
    /// The configuration.
    pub belief: parking_lot::Mutex<TrafficBelief>,
    /// The platform's store.
    pub store: sync::Arc<dyn rows::RowStore>,
    /// Reads rows of the store.
    pub codec: sync::Arc<dyn rows::RowCodec>,
    /// What requests share.
    pub relay: context::RelayContext,
    /// Whether the process is stopping.
    pub is_draining: atomic::AtomicBool,
    /// Whether nothing new is passed on any more.
    pub is_closing: atomic::AtomicBool,
    /// When the process passes nothing new on any more.
    pub cut_at: parking_lot::Mutex<Option<time::Instant>>,
    /// How long streams take.
    pub stream_pace: parking_lot::Mutex<stopping::StreamPace>,
    /// Requests being answered.
    pub in_flight: atomic::AtomicU64,
    /// Bytes of request bodies held.
    pub body_bytes: atomic::AtomicU64,
}

/// Counts a request until it is dropped.
#[derive(Debug)]
pub struct FlightGuard<'a>(&'a atomic::AtomicU64);

impl Drop for FlightGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, atomic::Ordering::SeqCst);
    }
}

impl GatewayNode {
    /// Bounds for callers.
    #[must_use]
    pub fn limits(&self) -> traffic::CallerLimits {
        let belief = self.belief.lock();
        let version = belief.version.as_ref();
        version.map_or_else(traffic::CallerLimits::default, |version| *version.limits())
    }

    /// Whether this router follows the store, or leaves that to another one of its zone.
    #[must_use]
    pub fn reads_store(&self) -> bool {
        if self.version_number().is_none() && time::Instant::now() < self.reads_from {
            return false;
        }
        let now = boot_clock::BootInstant::now();
        self.is_reader() || !self.reader_watch.lock().has_recent_answer(self.pace, now)
    }

    /// Whether this router reads the store for its zone.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        readers::ZonePosition(self.gossip.ready_before_own()).is_reader()
    }

    /// Time since the store last answered this router, or as far as it was told any reader; `None`
    /// when it neither reads nor was told.
    #[must_use]
    pub fn word_age(&self) -> Option<time::Duration> {
        if self.reads_store() {
            return Some(self.answer_age());
        }
        self.reader_watch.lock().age(boot_clock::BootInstant::now())
    }

    /// Time since the store last answered both for the configuration and for the endpoints.
    fn answer_age(&self) -> time::Duration {
        let now = boot_clock::BootInstant::now();
        let answers = *self.store_answers.lock();
        let ages = answers.into_iter().map(|answer| now.since(answer));
        ages.max().unwrap_or_default()
    }

    /// Whether new callers should come here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_draining.load(atomic::Ordering::SeqCst)
            && self.fleet.is_initialized()
            && self.has_fresh_version()
    }

    /// Counts a request until the guard is dropped.
    pub fn enter(&self) -> FlightGuard<'_> {
        self.in_flight.fetch_add(1, atomic::Ordering::SeqCst);
        FlightGuard(&self.in_flight)
    }

    pub(super) fn has_fresh_version(&self) -> bool {
        let belief = self.belief.lock();
        let now = boot_clock::BootInstant::now();
        belief.version.is_some()
            && belief
                .clock
                .may_accept_key(self.settings.bounds.key_age, now)
    }

    /// Puts a version in force if it is newer; returns the number in force.
    pub fn take_version(&self, key: &str, value: &[u8], source: &str) -> Option<u64> {
        let held = self.version_number();
        let Some(version) = self.codec.traffic(key, value) else {
            return held;
        };
        if held.is_some_and(|held| held >= version.number()) {
            return held;
        }
        let number = version.number();
        log::info!(version = number, routes = version.route_count(), source; "version in force");
        let kind = timeline::EventKind::VersionInForce { number };
        self.ring.record(None, kind);
        let mut belief = self.belief.lock();
        if belief
            .version
            .as_ref()
            .is_some_and(|held| held.number() >= number)
        {
            return belief.version.as_ref().map(|held| held.number());
        }
        belief.version = Some(sync::Arc::new(version));
        belief.row = Some((key.to_owned(), value.to_vec()));
        drop(belief);
        self.gossip.set_config(number);
        Some(number)
    }

    /// Number of the version in force.
    #[must_use]
    pub fn version_number(&self) -> Option<u64> {
        let belief = self.belief.lock();
        belief.version.as_ref().map(|version| version.number())
    }

    /// Takes note that the version in force was the newest at `asked`.
    pub fn confirm_version(&self, asked: boot_clock::BootInstant) {
        self.belief.lock().clock.confirm(asked);
    }

    /// Age of the knowledge that the version in force is the newest.
    #[must_use]
    pub fn version_age(&self) -> Option<time::Duration> {
        let now = boot_clock::BootInstant::now();
        self.belief.lock().clock.age(now)
    }

    /// Hands the book's endpoints to the fleet if they changed or are the first; returns whether it
    /// did.
    pub fn publish_endpoints(&self, is_changed: bool) -> bool {
        if !is_changed && self.fleet.is_initialized() {
            return false;
        }
        let book = self.book.lock();
        self.fleet.update(book.records());
        drop(book);
        let (known, open) = self.fleet.counts();
        log::info!(known, open; "endpoints changed");
        true
    }

    /// Answers one request.
    pub async fn respond(
        &self,
        head: head::RequestHead,
        body: Vec<u8>,
        sink: &mut sink::AnswerSink,
    ) -> context::RelayEnd {
        let arrived = time::Instant::now();
        let terms = match self.relay.dialect.caller_terms(&head) {
            Ok(terms) => terms,
            Err(refusal) => return self.refuse(sink, &refusal, None).await,
        };
        let id = terms.id.clone();
        let checked = match self.check(&head, &terms).await {
            Ok(checked) => checked,
            Err(refusal) => return self.refuse(sink, &refusal, Some(&id)).await,
        };
        let number = checked.version.number();
        let Some(request) = relay_request(head, body, terms, checked, arrived) else {
            let refusal =
                context::refuse_unserved(verdict::RunVerdict::NotRun, context::NO_ENDPOINT_DELAY);
            return self.refuse(sink, &refusal, Some(&id)).await;
        };
        if let Some(refusal) = self.refuse_at_stop(&request) {
            return self.refuse(sink, &refusal, Some(&id)).await;
        }
        self.relay.budget.deposit(&request.service, arrived);
        let end = if request.route.kind.is_stream() {
            stream::relay(&self.relay, &request, sink).await
        } else {
            plain::relay(&self.relay, &request, sink).await
        };
        self.report(&request, number, &end);
        match end {
            context::RelayEnd::Refused(refusal) => self.refuse(sink, &refusal, Some(&id)).await,
            end => end,
        }
    }

    /// What would be cut by the end of this process is better begun elsewhere.
    fn refuse_at_stop(&self, request: &context::RelayRequest) -> Option<verdict::RequestRefusal> {
        let message = "this router stops before the request would end; use another address";
        let code = verdict::RefusalCode::NotReady;
        let refusal = verdict::RequestRefusal::not_run(503, code, message);
        let refusal = refusal.retry_after(check::STALE_DELAY);
        if self.is_closing.load(atomic::Ordering::SeqCst) {
            return Some(refusal);
        }
        if !request.route.kind.is_stream() {
            return None;
        }
        let cut_at = (*self.cut_at.lock())?;
        let left = cut_at.saturating_duration_since(request.arrived);
        if self.stream_pace.lock().fits(left) {
            return None;
        }
        Some(refusal)
    }

    fn report(&self, request: &context::RelayRequest, version: u64, end: &context::RelayEnd) {
        let elapsed = request.arrived.elapsed();
        let is_stream = request.route.kind.is_stream();
        let duration = if is_stream {
            "stream.duration"
        } else {
            "call.duration"
        };
        self.metrics.time(duration, elapsed);
        if is_stream && *end == context::RelayEnd::Served(200) {
            self.stream_pace.lock().record(elapsed);
        }
        self.metrics.count(outcome::end_counter(is_stream, end));
        log::info!(
            request = request.terms.id.as_str(),
            route = request.route.name.as_str(),
            version,
            elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
            end:? = end;
            "request ended"
        );
    }

    /// Writes a refusal.
    pub async fn refuse(
        &self,
        sink: &mut sink::AnswerSink,
        refusal: &verdict::RequestRefusal,
        request: Option<&str>,
    ) -> context::RelayEnd {
        self.metrics.count(outcome::refusal_counter(refusal.code));
        let age = self.version_age().unwrap_or_default();
        log::warn!(
            request = request.unwrap_or(""),
            status = refusal.status,
            code:? = refusal.code,
            verdict = refusal.verdict.as_str(),
            version = self.version_number().unwrap_or_default(),
            version_age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
            "request refused"
        );
        let head = self.relay.dialect.refusal_head(refusal, request);
        let body = crate::connection::refusal::body(refusal).to_string();
        match sink.send(&head, body.as_bytes()).await {
            Ok(()) => context::RelayEnd::Refused(refusal.clone()),
            Err(_gone) => context::RelayEnd::CallerGone,
        }
    }
}

fn relay_request(
    head: head::RequestHead,
    body: Vec<u8>,
    terms: dialect::CallerTerms,
    checked: check::CheckedRequest,
    arrived: time::Instant,
) -> Option<context::RelayRequest> {
    let check::CheckedRequest {
        version,
        route,
        workspace,
    } = checked;
    let service = route.choose_service(&mut fastrand::Rng::new())?.to_owned();
    let profile = version.service(&service);
    let limit = terms
        .patience
        .map_or(route.timeout, |patience| patience.min(route.timeout));
    let rank = workspace.as_ref().and_then(|workspace| workspace.priority);
    Some(context::RelayRequest {
        head,
        body,
        terms,
        has_copies: profile.is_some_and(|profile| profile.has_backups),
        has_moves: profile.is_some_and(|profile| profile.has_moves),
        priority: rank.unwrap_or(route.priority),
        workspace: workspace.map(|workspace| workspace.name),
        service,
        route,
        arrived,
        deadline: arrived + limit,
    })
}
