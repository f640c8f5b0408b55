//! Relays event streams and resumes them at another engine when one is lost.

use std::time;

use async_std::future;
use stop_token::future::FutureExt as _;

use crate::connection::h1::{body, head, sink};
use crate::request::relay::{
    attempt, buffered, context, dialect, events, fleet, kv_copy, request_feature, request_guard,
    retry, rollout, selection, stall, stream_end, stream_loss, stream_reader, version_choice,
    version_trial,
};
use crate::request::verdict;

/// Priority of retried and resumed requests; precedes that of all new requests.
const RETRY_RANK: u8 = 0;

/// Lowest priority that engines accept.
const LOWEST_RANK: u8 = 9;

/// State of one relayed stream.
pub(super) struct StreamRelay<'a> {
    pub(super) context: &'a context::RelayContext,
    pub(super) request: &'a context::RelayRequest,
    pub(super) sink: &'a mut sink::AnswerSink,
    pub(super) cursor: events::EventCursor,
    /// Response head for the caller, from the first engine whose events were relayed.
    head: Option<head::ResponseHead>,
    pub(super) excluded: Vec<fleet::EndpointKey>,
    /// Software versions that the attempts may use.
    pub(super) versions: version_choice::VersionChoice,
    pub(super) copies: kv_copy::CopyManager,
    /// Engines that responded to the last probe round, least loaded first.
    pub(super) responding: Vec<(fleet::ChosenEndpoint, selection::EngineCandidate)>,
    /// Time from the first attempt that had an event to that event.
    first_event: Option<time::Duration>,
    pub(super) possible_runs: u32,
    pub(super) attempts: u32,
    /// Attempts that were lost because the engine was silent.
    pub(super) silences: u32,
    lost_at: Option<time::Instant>,
    is_sent: bool,
    pub(super) progress: stream_loss::AttemptProgress,
}

/// Relays `request` and writes its events; nothing is written when the outcome is a refusal.
pub async fn relay(
    context: &context::RelayContext,
    request: &context::RelayRequest,
    sink: &mut sink::AnswerSink,
) -> context::RelayOutcome {
    let time_left = request.time_left();
    let mut relay = StreamRelay {
        context,
        request,
        sink,
        cursor: events::EventCursor::after(request.metadata.last_event),
        head: None,
        excluded: Vec::new(),
        versions: version_choice::VersionChoice::new(fastrand::f64()),
        copies: kv_copy::CopyManager::default(),
        responding: Vec::new(),
        first_event: None,
        possible_runs: 0,
        attempts: 0,
        silences: 0,
        lost_at: None,
        is_sent: false,
        progress: stream_loss::AttemptProgress::new(),
    };
    let running = future::timeout(time_left, relay.run());
    match running.timeout_at(context.aborting.clone()).await {
        Ok(Ok(end)) => end,
        Ok(Err(_elapsed)) => {
            let verdict = relay.verdict(relay.is_sent);
            relay.give_up(context.refuse_expired(&request.service, verdict))
        }
        Err(_aborted) => relay.give_up(context::refuse_aborted(relay.verdict(relay.is_sent))),
    }
}

impl StreamRelay<'_> {
    async fn run(&mut self) -> context::RelayOutcome {
        if let Some(refusal) = self.pin_taken_up().await {
            return context::RelayOutcome::Refused(refusal);
        }
        loop {
            if let Some(refusal) = self.refuse_blocked() {
                return self.give_up(refusal);
            }
            let Some((lease, source)) = self.next_endpoint().await else {
                let verdict = self.verdict(false);
                return self.give_up(self.refuse_unserved(verdict));
            };
            // The request may have been blocked while it waited for an engine.
            if let Some(refusal) = self.refuse_blocked() {
                return self.give_up(refusal);
            }
            self.attempts += 1;
            let end = self.attempt(&lease, source.as_ref()).await;
            if let stream_end::StreamEnd::Lost(cause) = &end {
                self.lost_at.get_or_insert_with(time::Instant::now);
                self.silences += u32::from(*cause == stream_loss::LossCause::Unresponsive);
                self.report_crash(&lease, *cause).await;
            }
            let conclusion = self.finish_attempt(&lease, end, source.is_some());
            // Until here a timeout has to count this attempt as a possible run.
            self.is_sent = false;
            let step = match conclusion {
                stream_end::AttemptConclusion::Served => {
                    self.context.origins.forget(self.origin_request());
                    return context::RelayOutcome::Served(200);
                }
                stream_end::AttemptConclusion::CallerGone => {
                    return context::RelayOutcome::CallerGone;
                }
                stream_end::AttemptConclusion::Response(response) => {
                    return self.deliver(response).await;
                }
                stream_end::AttemptConclusion::Step(step) => step,
            };
            match step {
                retry::NextStep::Repeat => {}
                retry::NextStep::Deliver => {
                    let verdict = self.verdict(false);
                    return self.give_up(self.refuse_unserved(verdict));
                }
                retry::NextStep::GiveUp(verdict) => {
                    return self.give_up(self.refuse_unserved(verdict));
                }
            }
        }
    }

    fn refuse_unserved(&self, verdict: verdict::RunVerdict) -> verdict::RequestRefusal {
        self.context.refuse_unserved(&self.request.service, verdict)
    }

    fn give_up(&self, refusal: verdict::RequestRefusal) -> context::RelayOutcome {
        if self.is_interrupted() {
            return context::RelayOutcome::BrokenOff;
        }
        context::RelayOutcome::Refused(refusal)
    }

    async fn deliver(&mut self, response: attempt::FullResponse) -> context::RelayOutcome {
        if self.is_interrupted() {
            return context::RelayOutcome::BrokenOff;
        }
        buffered::deliver(self.context, self.sink, response).await
    }

    async fn attempt(
        &mut self,
        lease: &context::EndpointLease,
        source: Option<&dialect::CopySource>,
    ) -> stream_end::StreamEnd {
        let holder = self.copy_holder(lease);
        let is_retry = self.attempts > 1 || self.cursor.last().is_some();
        let rank = if is_retry {
            RETRY_RANK
        } else {
            self.request.priority.saturating_add(1).min(LOWEST_RANK)
        };
        let params = dialect::ForwardParams {
            time_left: self.request.time_left(),
            endpoint: &lease.endpoint.name,
            workspace: self.request.workspace.as_deref(),
            drops_key: self.request.drops_key,
            rank: Some(rank),
            copy_holder: holder.as_ref().map(|holder| holder.address),
            copy_source: source,
            last_event: self.cursor.last(),
        };
        let bytes = self
            .request
            .encode_head(self.context.dialect.as_ref(), &params);
        log::info!(
            request = self.request.metadata.id.as_str(),
            endpoint = lease.endpoint.name.as_str(),
            copy = holder.as_ref().map_or("", |holder| holder.name.as_str()),
            version = lease.endpoint.version.as_str(),
            from_copy = source.is_some(),
            features = request_feature::join(&self.request.features).as_str(),
            last_event:? = self.cursor.last(),
            resumes = self.request.metadata.resumes.as_deref().unwrap_or_default();
            "stream attempt"
        );
        self.is_sent = true;
        self.progress = stream_loss::AttemptProgress::new();
        self.context.counters.count("relay.attempt");
        let mut trial = version_trial::VersionTrial::begin(self.context, self.request, lease);
        let sent = self.request.send(lease.endpoint.address, &bytes).await;
        let Ok(open) = sent else {
            trial.record(rollout::VersionOutcome::Lost);
            return stream_end::StreamEnd::Unsent;
        };
        let mut reader = stream_reader::StreamReader::new(
            open,
            lease.endpoint.address,
            &self.context.dialect,
            &self.request.metadata.id,
        );
        let reading = self.read_response(&mut reader, lease, holder, &mut trial);
        let end = reading.await.unwrap_or_else(stream_end::StreamEnd::Lost);
        trial.record_end(&end);
        end
    }

    async fn read_response(
        &mut self,
        reader: &mut stream_reader::StreamReader<'_>,
        lease: &context::EndpointLease,
        holder: Option<fleet::ChosenEndpoint>,
        trial: &mut version_trial::VersionTrial<'_>,
    ) -> stream_loss::Result<stream_end::StreamEnd> {
        let head = reader.first_head(self.stall_limits()).await?;
        self.progress.has_head = true;
        let metadata = self.context.observe_head(self.request, lease, &head);
        if metadata.refuses(&self.request.metadata.id) {
            let observation = buffered::refusal_observation(head.status);
            return Ok(stream_end::StreamEnd::NotRun(observation));
        }
        let is_own = metadata.request.as_deref() == Some(self.request.metadata.id.as_str());
        if head.status != 200 {
            let response = reader
                .open
                .read_whole(
                    &self.request.head.method,
                    head,
                    &self.context.response_memory(self.request),
                )
                .await;
            return Ok(stream_end::StreamEnd::Response(response?));
        }
        let framing = head.framing(&self.request.head.method);
        let framing = framing.map_err(|_ambiguous| stream_loss::LossCause::Invalid)?;
        if !is_own || !metadata.is_sealed || metadata.is_altered {
            return Err(stream_loss::LossCause::Invalid);
        }
        let mut relayed = head;
        relayed.headers.remove_hop_fields();
        if self.sink.state() == sink::SinkState::NotStarted {
            self.head = Some(relayed);
        }
        let decoder = body::BodyDecoder::new(framing);
        self.relay_events(reader, lease, (holder, trial), decoder)
            .await
    }

    async fn relay_events(
        &mut self,
        reader: &mut stream_reader::StreamReader<'_>,
        lease: &context::EndpointLease,
        (mut holder, trial): (
            Option<fleet::ChosenEndpoint>,
            &mut version_trial::VersionTrial<'_>,
        ),
        mut decoder: body::BodyDecoder,
    ) -> stream_loss::Result<stream_end::StreamEnd> {
        let mut splitter = events::EventSplitter::default();
        let mut is_first = true;
        let mut idle_bytes = 0;
        loop {
            let limits = self.stall_limits();
            let reading = reader.read_events(&mut decoder, &mut splitter, limits, is_first);
            let is_open = reading.await?;
            let mut accepted = Vec::new();
            let mut fault = None;
            while let Some(event) = splitter.next_event() {
                self.progress.events += u64::from(!event.is_comment);
                if !event.is_comment && self.progress.events == request_guard::MAX_CRASH_EVENTS + 1
                {
                    self.record_success();
                }
                if !event.is_comment && std::mem::take(&mut is_first) {
                    trial.record_first_event(self.cursor.last().is_some());
                    self.record_origin(&lease.endpoint.version);
                    // The engine makes the copy only after prefill, which the first event marks.
                    self.copies = kv_copy::CopyManager::new(holder.take());
                    self.first_event
                        .get_or_insert(self.progress.sent_at.elapsed());
                    let elapsed = self.request.arrived.elapsed();
                    self.context.counters.time("relay.first_event", elapsed);
                    log::info!(
                        request = self.request.metadata.id.as_str(),
                        elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
                        "first event"
                    );
                }
                match self.cursor.advance(&event) {
                    events::EventStatus::Accepted => {
                        reader.record_event();
                        idle_bytes = 0;
                        accepted.extend_from_slice(&event.bytes);
                    }
                    // Relaying a comment before the first event would rule out a refusal.
                    events::EventStatus::Comment if is_first => idle_bytes += event.bytes.len(),
                    events::EventStatus::Comment => {
                        idle_bytes += event.bytes.len();
                        accepted.extend_from_slice(&event.bytes);
                    }
                    events::EventStatus::Repeated => idle_bytes += event.bytes.len(),
                    events::EventStatus::Malformed => {
                        fault = Some(stream_loss::LossCause::Invalid);
                        break;
                    }
                }
            }
            self.progress.partial_bytes = splitter.partial_bytes();
            let is_stalled = !is_first && reader.idle_time() >= limits.abandon_after;
            if splitter.is_oversized() || idle_bytes > events::MAX_EVENT_BYTES {
                fault = Some(stream_loss::LossCause::Invalid);
            }
            if is_stalled {
                fault.get_or_insert(stream_loss::LossCause::Unresponsive);
            }
            // The next engine goes on after these events, so they are written before a fault ends
            // the attempt.
            if !accepted.is_empty() {
                let began = time::Instant::now();
                if self.write_events(&accepted).await.is_err() {
                    return Ok(stream_end::StreamEnd::CallerGone);
                }
                // Time spent waiting for a slow caller does not count as a stall.
                reader.exclude_time(began.elapsed());
            }
            if let Some(cause) = fault {
                return Err(cause);
            }
            if !is_open {
                break;
            }
            if !is_first {
                self.maintain_copy(lease);
            }
        }
        // Only the connection marks the end of a body without framing, so an empty one may be that
        // of an engine that crashed.
        let is_empty = self.progress.events == 0 && decoder.ends_unmarked();
        if splitter.has_partial_event() || is_empty {
            return Err(stream_loss::LossCause::Closed);
        }
        let head = self.head.as_ref();
        let head = head.ok_or(stream_loss::LossCause::Invalid)?;
        Ok(match self.sink.finish(head).await {
            Ok(()) => stream_end::StreamEnd::Complete,
            Err(_gone) => stream_end::StreamEnd::CallerGone,
        })
    }

    /// The caller has a part of the answer, which only a further run can complete if the engine is
    /// abandoned.
    pub(super) fn is_interrupted(&self) -> bool {
        self.sink.state() == sink::SinkState::Started
    }

    /// A stream that has begun and cannot resume elsewhere stays with its engine; one that may run once
    /// only also does before it begins, unless a report shows that it is lost.
    fn stall_limits(&self) -> stall::StallLimits {
        if self.is_interrupted() && !self.may_resume_elsewhere() {
            return stall::StallLimits::unresumable();
        }
        let limits = stall::StallLimits::new(self.request.route.gap_goal);
        if !self.request.route.kind.may_repeat() {
            return limits.until_reported();
        }
        let limits = limits.after_silences(self.silences);
        if self.has_healthy_copy() {
            return limits;
        }
        limits.without_copy(self.first_event)
    }

    /// Whether the stream can resume from a KV copy at an engine that is healthy.
    pub(super) fn has_healthy_copy(&self) -> bool {
        let holder = self.copies.holder();
        holder.is_some_and(|holder| self.context.fleet.is_healthy(holder))
    }

    async fn write_events(&mut self, events: &[u8]) -> std::io::Result<()> {
        if let Some(lost_at) = self.lost_at.take() {
            let pause = lost_at.elapsed();
            self.context.counters.time("relay.resumed", pause);
            log::info!(
                request = self.request.metadata.id.as_str(),
                pause_ms = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
                "stream goes on"
            );
        }
        let Some(head) = self.head.as_ref() else {
            return Err(std::io::Error::other("the response head is missing"));
        };
        self.sink.push(head, events).await
    }
}
