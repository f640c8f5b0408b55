//! Relays event streams, and goes on at another engine when one is lost.

use std::time;

use async_std::future;

use crate::connection::h1::{body, head, sink};
use crate::request::relay::{
    attempt, buffered, context, dialect, events, fleet, kv_copy, retry, selection, stall,
    stream_reader,
};
use crate::request::verdict;

/// Rank of work that goes on, before all work that begins.
const RESUMED_RANK: u8 = 0;

/// Lowest rank that engines know.
const LAST_RANK: u8 = 9;

/// How one attempt at an engine ended.
#[derive(Debug)]
enum StreamEnd {
    Complete,
    /// The endpoint answered with something else than a stream.
    Answer(attempt::FullResponse),
    /// The endpoint states that the request did not run there, which is a sign of this kind.
    NotRun(fleet::EndpointObservation),
    /// No byte left for the endpoint.
    Unsent,
    Lost,
    CallerGone,
}

/// State of one relayed stream.
pub(super) struct StreamRelay<'a> {
    pub(super) context: &'a context::RelayContext,
    pub(super) request: &'a context::RelayRequest,
    pub(super) sink: &'a mut sink::AnswerSink,
    cursor: events::EventCursor,
    /// Head of the engine whose events the caller got first.
    head: Option<head::ResponseHead>,
    pub(super) excluded: Vec<fleet::EndpointKey>,
    pub(super) copies: kv_copy::CopyManager,
    /// Engines that answered when the running one was chosen, the least loaded first.
    pub(super) answering: Vec<(fleet::ChosenEndpoint, selection::EngineCandidate)>,
    ran: u32,
    pub(super) offered: u32,
    lost_at: Option<time::Instant>,
    is_sent: bool,
}

/// Relays `request` and writes the events, or tells why there are none.
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
        copies: kv_copy::CopyManager::default(),
        answering: Vec::new(),
        ran: 0,
        offered: 0,
        lost_at: None,
        is_sent: false,
    };
    match future::timeout(time_left, relay.run()).await {
        Ok(end) => end,
        Err(_elapsed) => {
            let ran = relay.verdict(relay.is_sent);
            relay.give_up(context.refuse_expired(&request.service, ran))
        }
    }
}

impl StreamRelay<'_> {
    async fn run(&mut self) -> context::RelayOutcome {
        loop {
            let Some((lease, source)) = self.next_endpoint().await else {
                let ran = self.verdict(false);
                return self.give_up(self.refuse_unserved(ran));
            };
            self.offered += 1;
            let end = self.attempt(&lease, source.as_ref()).await;
            self.is_sent = false;
            let step = match self.conclude(&lease, end, source.is_some()) {
                Conclusion::Served => return context::RelayOutcome::Served(200),
                Conclusion::Gone => return context::RelayOutcome::CallerGone,
                Conclusion::Answer(answer) => return self.deliver(answer).await,
                Conclusion::Step(step) => step,
            };
            match step {
                retry::NextStep::Repeat => {}
                retry::NextStep::Deliver => {
                    let ran = self.verdict(false);
                    return self.give_up(self.refuse_unserved(ran));
                }
                retry::NextStep::GiveUp(ran) => {
                    return self.give_up(self.refuse_unserved(ran));
                }
            }
        }
    }

    fn verdict(&self, is_sent: bool) -> verdict::RunVerdict {
        if self.ran == 0 && !is_sent {
            return verdict::RunVerdict::NotRun;
        }
        verdict::RunVerdict::MayHaveRun
    }

    fn refuse_unserved(&self, ran: verdict::RunVerdict) -> verdict::RequestRefusal {
        self.context.refuse_unserved(&self.request.service, ran)
    }

    fn give_up(&self, refusal: verdict::RequestRefusal) -> context::RelayOutcome {
        if self.sink.state() == sink::SinkState::Untouched {
            return context::RelayOutcome::Refused(refusal);
        }
        context::RelayOutcome::BrokenOff
    }

    async fn deliver(&mut self, answer: attempt::FullResponse) -> context::RelayOutcome {
        if self.sink.state() != sink::SinkState::Untouched {
            return context::RelayOutcome::BrokenOff;
        }
        buffered::deliver(self.sink, answer).await
    }

    async fn attempt(
        &mut self,
        lease: &context::EndpointLease,
        source: Option<&dialect::CopySource>,
    ) -> StreamEnd {
        let holder = self.copy_holder(lease);
        let is_repeated = self.offered > 1 || self.cursor.last().is_some();
        let rank = if is_repeated {
            RESUMED_RANK
        } else {
            self.request.priority.saturating_add(1).min(LAST_RANK)
        };
        let terms = dialect::ForwardParams {
            time_left: self.request.time_left(),
            endpoint: &lease.endpoint.name,
            workspace: self.request.workspace.as_deref(),
            rank: Some(rank),
            copy_holder: holder.as_ref().map(|holder| holder.address),
            copy_source: source,
            last_event: self.cursor.last(),
        };
        let bytes = self.request.bytes(self.context.dialect.as_ref(), &terms);
        log::info!(
            request = self.request.metadata.id.as_str(),
            endpoint = lease.endpoint.name.as_str(),
            copy = holder.as_ref().map_or("", |holder| holder.name.as_str()),
            from_copy = source.is_some(),
            last_event:? = self.cursor.last();
            "stream attempt"
        );
        self.is_sent = true;
        self.context.counters.count("relay.attempt");
        let sent = attempt::send(lease.endpoint.address, &bytes).await;
        let Ok(open) = sent else {
            return StreamEnd::Unsent;
        };
        let mut reader = stream_reader::StreamReader::new(
            open,
            lease.endpoint.address,
            &self.context.dialect,
            &self.request.metadata.id,
        );
        self.read(&mut reader, lease, holder).await
    }

    async fn read(
        &mut self,
        reader: &mut stream_reader::StreamReader<'_>,
        lease: &context::EndpointLease,
        holder: Option<fleet::ChosenEndpoint>,
    ) -> StreamEnd {
        let Some(head) = reader.first_head().await else {
            return StreamEnd::Lost;
        };
        let marks = self.context.dialect.response_metadata(&head);
        lease.observe_notice(head.status, marks.notice);
        if marks.is_not_run || head.status == 421 {
            return StreamEnd::NotRun(buffered::refusal_observation(head.status));
        }
        let is_own = marks.request.as_deref() == Some(self.request.metadata.id.as_str());
        if head.status != 200 {
            let answer = reader
                .open
                .whole(&self.request.head.method, head, &self.context.memory)
                .await;
            return answer.map_or(StreamEnd::Lost, StreamEnd::Answer);
        }
        let Ok(framing) = head.framing(&self.request.head.method) else {
            return StreamEnd::Lost;
        };
        if !is_own || !marks.is_sealed || marks.is_altered {
            return StreamEnd::Lost;
        }
        let mut kept = head;
        kept.headers.remove_hop_fields();
        if self.sink.state() == sink::SinkState::Untouched {
            self.head = Some(kept);
        }
        let decoder = body::BodyDecoder::new(framing);
        self.pass_events(reader, lease, holder, decoder).await
    }

    async fn pass_events(
        &mut self,
        reader: &mut stream_reader::StreamReader<'_>,
        lease: &context::EndpointLease,
        mut holder: Option<fleet::ChosenEndpoint>,
        mut decoder: body::BodyDecoder,
    ) -> StreamEnd {
        let mut splitter = events::EventSplitter::default();
        let mut is_first = true;
        let mut idle_bytes = 0;
        loop {
            let limits = self.stall_limits();
            let more = reader.more(&mut decoder, &mut splitter, limits, is_first);
            let Some(is_open) = more.await else {
                return StreamEnd::Lost;
            };
            let mut fresh = Vec::new();
            while let Some(event) = splitter.next_event() {
                if !event.is_comment && std::mem::take(&mut is_first) {
                    // The engine copies nothing before it has read the whole prompt.
                    self.copies = kv_copy::CopyManager::new(holder.take());
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
                        fresh.extend_from_slice(&event.bytes);
                    }
                    // Before the first event it would only take away the choice to refuse.
                    events::EventStatus::Comment if is_first => idle_bytes += event.bytes.len(),
                    events::EventStatus::Comment => {
                        idle_bytes += event.bytes.len();
                        fresh.extend_from_slice(&event.bytes);
                    }
                    events::EventStatus::Repeated => idle_bytes += event.bytes.len(),
                    events::EventStatus::Malformed => return StreamEnd::Lost,
                }
            }
            let is_stalled = !is_first && reader.idle_time() >= limits.abandon_after;
            if splitter.is_oversized() || idle_bytes > events::MAX_EVENT_BYTES || is_stalled {
                return StreamEnd::Lost;
            }
            if !fresh.is_empty() {
                let began = time::Instant::now();
                if self.push(&fresh).await.is_err() {
                    return StreamEnd::CallerGone;
                }
                // Nothing is read while the caller is slow; that is not the engine's silence.
                reader.exclude_time(began.elapsed());
            }
            if !is_open {
                break;
            }
            if !is_first {
                self.maintain_copy(lease);
            }
        }
        if splitter.has_partial_event() {
            return StreamEnd::Lost;
        }
        let Some(head) = self.head.as_ref() else {
            return StreamEnd::Lost;
        };
        match self.sink.finish(head).await {
            Ok(()) => StreamEnd::Complete,
            Err(_gone) => StreamEnd::CallerGone,
        }
    }

    /// Silence is borne longer where leaving the engine would end the answer.
    fn stall_limits(&self) -> stall::StallLimits {
        if self.request.route.kind.may_repeat() && self.cursor.can_resume() {
            return stall::StallLimits::new(self.request.route.gap_goal);
        }
        stall::StallLimits::unresumable()
    }

    async fn push(&mut self, events: &[u8]) -> std::io::Result<()> {
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
            return Err(std::io::Error::other("no head was read"));
        };
        self.sink.push(head, events).await
    }

    fn conclude(
        &mut self,
        lease: &context::EndpointLease,
        end: StreamEnd,
        is_from_copy: bool,
    ) -> Conclusion {
        let end = match end {
            StreamEnd::Complete => {
                self.copies.free(&self.context.dialect);
                lease.observe(fleet::EndpointObservation::Answered);
                return Conclusion::Served;
            }
            StreamEnd::CallerGone => {
                self.copies.free(&self.context.dialect);
                return Conclusion::Gone;
            }
            StreamEnd::NotRun(sign) => {
                // A holder without the copy is still a sound engine for the whole prompt.
                if !is_from_copy || sign == fleet::EndpointObservation::Replaced {
                    self.excluded.push(lease.endpoint.key);
                    lease.observe(sign);
                }
                retry::AttemptOutcome::NotRun
            }
            StreamEnd::Unsent => {
                self.excluded.push(lease.endpoint.key);
                lease.observe(fleet::EndpointObservation::Failed);
                retry::AttemptOutcome::NotRun
            }
            StreamEnd::Lost => {
                self.ran += 1;
                self.lost_at.get_or_insert_with(time::Instant::now);
                self.excluded.push(lease.endpoint.key);
                lease.observe(fleet::EndpointObservation::Failed);
                self.context.counters.count("relay.stream_lost");
                retry::AttemptOutcome::Lost
            }
            StreamEnd::Answer(answer) => {
                self.ran += 1;
                self.excluded.push(lease.endpoint.key);
                let end = buffered::classify_response(self.context, self.request, &answer);
                let terms = self.retry_state();
                if retry::next_step(end, &terms) == retry::NextStep::Deliver {
                    return Conclusion::Answer(answer);
                }
                end
            }
        };
        let step = retry::next_step(end, &self.retry_state());
        log::info!(
            request = self.request.metadata.id.as_str(),
            endpoint = lease.endpoint.name.as_str(),
            end:? = end,
            step:? = step,
            last_event:? = self.cursor.last();
            "stream attempt ended"
        );
        Conclusion::Step(step)
    }

    fn retry_state(&self) -> retry::RetryState {
        let mut kind = self.request.route.kind;
        if !self.cursor.can_resume() {
            kind = crate::version::traffic::RepeatKind::Once;
        }
        retry::RetryState {
            kind,
            possible_runs: self.ran,
            attempts: self.offered,
            max_runs: self.request.route.attempts,
            has_time: !self.request.time_left().is_zero(),
        }
    }
}

enum Conclusion {
    Served,
    Gone,
    Answer(attempt::FullResponse),
    Step(retry::NextStep),
}
