//! Calls to plain services: sent at most once by their home router, or retried if idempotent.

use std::sync;
use std::time;

use async_std::task;
use futures::FutureExt as _;
use futures::future;

use crate::connection::peer;
use crate::connection::peer_wire;
use crate::connection::platform;
use crate::connection::service;
use crate::process::limits::budget;
use crate::process::telemetry::timeline;
use crate::process::telemetry::wall_clock;
use crate::process::view;
use crate::request::attempt;
use crate::request::claim;
use crate::request::copy;
use crate::request::forward;
use crate::request::key;
use crate::request::outcome;
use crate::request::refusal;
use crate::request::verdict;

/// Result of a step of a call.
pub type Result<T> = verdict::Result<T>;

/// Extra time a waiter allows past its deadline, so that the runner's own timeout fires first.
const WAIT_GRACE: time::Duration = time::Duration::from_millis(50);

/// Timeout for claiming a key in the table service.
const CLAIM_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Limits of a [`CallRunner`].
#[derive(Clone, Copy, Debug)]
pub struct CallLimits {
    /// Limits of the key table.
    pub table: outcome::TableLimits,
    /// Timeout for connecting to an endpoint.
    pub connect: time::Duration,
    /// Timeout from the established connection to the end of the response.
    pub answer: time::Duration,
    /// Maximum size of a response body, in bytes.
    pub max_answer_bytes: usize,
    /// Maximum number of endpoints tried per call.
    pub max_tries: usize,
}

impl Default for CallLimits {
    fn default() -> Self {
        Self {
            table: outcome::TableLimits::default(),
            connect: time::Duration::from_millis(500),
            answer: time::Duration::from_secs(120),
            max_answer_bytes: 4 * 1024 * 1024,
            max_tries: 3,
        }
    }
}

/// Runs calls to plain services; clones share their state.
#[derive(Clone, Debug)]
pub struct CallRunner {
    shared: sync::Arc<RunnerState>,
}

/// State shared by all calls of a process.
#[derive(Debug)]
pub(crate) struct RunnerState {
    pub(crate) link: sync::Arc<dyn peer::PeerLink>,
    pub(crate) members: sync::Arc<dyn view::MemberView>,
    pub(crate) endpoints: sync::Arc<dyn view::EndpointView>,
    pub(crate) ring: sync::Arc<timeline::EventRing>,
    pub(crate) gate: sync::Arc<dyn service::SendGate>,
    pub(crate) budget: budget::RetryBudget,
    pub(crate) limits: CallLimits,
    claims: sync::Arc<claim::ClaimBatcher>,
    table: sync::Arc<outcome::KeyTable>,
    clock: wall_clock::WallClock,
}

impl CallRunner {
    /// Creates a runner whose send gate is always open.
    #[must_use]
    pub fn new(
        link: sync::Arc<dyn peer::PeerLink>,
        members: sync::Arc<dyn view::MemberView>,
        endpoints: sync::Arc<dyn view::EndpointView>,
        platform: sync::Arc<dyn platform::PlatformService>,
        ring: sync::Arc<timeline::EventRing>,
        limits: CallLimits,
    ) -> Self {
        let gate = sync::Arc::new(service::OpenGate);
        Self::with_gate(link, members, endpoints, platform, ring, limits, gate)
    }

    /// Creates a runner that sends nothing while `gate` is closed.
    #[must_use]
    pub fn with_gate(
        link: sync::Arc<dyn peer::PeerLink>,
        members: sync::Arc<dyn view::MemberView>,
        endpoints: sync::Arc<dyn view::EndpointView>,
        platform: sync::Arc<dyn platform::PlatformService>,
        ring: sync::Arc<timeline::EventRing>,
        limits: CallLimits,
        gate: sync::Arc<dyn service::SendGate>,
    ) -> Self {
        let state = RunnerState {
            link,
            members,
            endpoints,
            ring,
            gate,
            budget: budget::RetryBudget::default(),
            limits,
            claims: claim::ClaimBatcher::new(platform, limits.table.retention),
            table: outcome::KeyTable::new(limits.table),
            clock: wall_clock::WallClock::new(),
        };
        Self {
            shared: sync::Arc::new(state),
        }
    }

    /// Runs a non-idempotent call that a caller sent to this router.
    ///
    /// An empty key means that the caller sent none; a new key is generated.
    #[must_use]
    pub fn run(
        &self,
        mut call: peer_wire::CallWire,
    ) -> future::BoxFuture<'static, peer_wire::CallOutcomeWire> {
        let state = sync::Arc::clone(&self.shared);
        async move {
            if call.key.is_empty() {
                call.key = key::RequestKey::mint(&state.members.home()).to_string();
                call.first_send = true;
            }
            match copy::CallCopy::new(call) {
                Ok(copy) => state.run(copy).await,
                Err(refusal) => refusal::refused(refusal),
            }
        }
        .boxed()
    }

    /// Runs or joins a call that a peer forwarded to this router, the call's home.
    #[must_use]
    pub fn run_at_home(
        &self,
        call: peer_wire::CallWire,
    ) -> future::BoxFuture<'static, peer_wire::CallOutcomeWire> {
        let state = sync::Arc::clone(&self.shared);
        async move {
            match copy::CallCopy::new(call) {
                Ok(copy) => state.run_forwarded(copy).await,
                Err(refusal) => refusal::refused(refusal),
            }
        }
        .boxed()
    }

    /// Runs an idempotent call, retrying on other endpoints.
    #[must_use]
    pub fn run_idempotent(
        &self,
        call: peer_wire::CallWire,
    ) -> future::BoxFuture<'static, peer_wire::CallOutcomeWire> {
        let state = sync::Arc::clone(&self.shared);
        async move { attempt::run_idempotent(&state, call).await }.boxed()
    }

    /// Number of unfinished calls that this router runs or claims, even without a waiter.
    #[must_use]
    pub fn running(&self) -> usize {
        self.shared.table.running_count()
    }

    /// Table of the keys whose home is this process.
    #[must_use]
    pub fn table(&self) -> &sync::Arc<outcome::KeyTable> {
        &self.shared.table
    }
}

impl RunnerState {
    async fn run(self: sync::Arc<Self>, copy: copy::CallCopy) -> peer_wire::CallOutcomeWire {
        let Some(home) = copy.key.home().cloned() else {
            return self.run_client_key(copy).await;
        };
        if self.members.is_own_home(&home) {
            return self.run_owned(copy).await;
        }
        if home.router == self.members.home().router {
            return refusal::refused(self.refuse_stale_home(&copy));
        }
        forward::forward(&self, &copy, &home).await
    }

    async fn run_forwarded(
        self: sync::Arc<Self>,
        copy: copy::CallCopy,
    ) -> peer_wire::CallOutcomeWire {
        let Some(home) = copy.key.home() else {
            return self.look_up_claimed(&copy).await;
        };
        if !self.members.is_own_home(home) {
            return refusal::refused(self.refuse_stale_home(&copy));
        }
        self.run_owned(copy).await
    }

    /// Refuses a key that names a home other than this incarnation of this router.
    fn refuse_stale_home(&self, copy: &copy::CallCopy) -> verdict::RequestRefusal {
        let code = verdict::RefusalCode::WrongHome;
        if copy.call.first_send {
            let message =
                "the home in the key no longer exists; create a new key with the given home";
            return verdict::RequestRefusal::not_run(421, code, message)
                .home(self.members.home().to_string());
        }
        let message =
            "the key's home restarted; check whether the call took effect before using a new key";
        verdict::RequestRefusal::may_have_run(409, code, message)
    }

    /// Runs a call whose key names this incarnation of this router.
    async fn run_owned(self: sync::Arc<Self>, copy: copy::CallCopy) -> peer_wire::CallOutcomeWire {
        let entry = self.table.enter(copy.arrival(), self.clock.now());
        let outcome::TableEntry::New(ticket, pending) = entry else {
            return self.answer_entry(entry, &copy).await;
        };
        let state = sync::Arc::clone(&self);
        let runner = copy.clone();
        // The call continues after its caller disconnects, so that a retry can fetch the outcome.
        task::spawn(async move {
            let outcome = attempt::run_once(&state, &runner).await;
            ticket.finish(state.with_current_home(outcome, &runner));
        });
        await_outcome(pending, &copy).await
    }

    /// Runs a call whose key was chosen by the client and names no home.
    async fn run_client_key(
        self: sync::Arc<Self>,
        copy: copy::CallCopy,
    ) -> peer_wire::CallOutcomeWire {
        let entry = self.table.enter(copy.arrival(), self.clock.now());
        let outcome::TableEntry::New(ticket, pending) = entry else {
            return self.answer_entry(entry, &copy).await;
        };
        let state = sync::Arc::clone(&self);
        let runner = copy.clone();
        task::spawn(async move { state.claim_and_run(ticket, &runner).await });
        await_outcome(pending, &copy).await
    }

    async fn claim_and_run(&self, ticket: outcome::RunTicket, copy: &copy::CallCopy) {
        let home = self.members.home();
        let digest = copy.arrival().key.to_hex();
        let row = claim::row_key(&copy.call.workspace, &digest);
        let claimed = self.claims.claim(row, &home, self.clock.now());
        let limit = CLAIM_TIMEOUT.min(copy.remaining());
        match async_std::future::timeout(limit, claimed).await {
            Ok(Ok(claim::ClaimHolder::Claimant)) => {
                let outcome = attempt::run_once(self, copy).await;
                ticket.finish(self.with_current_home(outcome, copy));
            }
            Ok(Ok(claim::ClaimHolder::Other(holder))) => {
                ticket.release(self.forward_to_holder(copy, &holder).await);
            }
            Ok(Err(error)) => ticket.release(refusal::refused(refusal::refuse_claim(
                copy,
                &error.to_string(),
            ))),
            Err(_elapsed) => {
                let message = "the table service did not respond in time";
                ticket.release(refusal::refused(refusal::refuse_claim(copy, message)));
            }
        }
    }

    /// Forwards the call to the router that claimed the key.
    async fn forward_to_holder(
        &self,
        copy: &copy::CallCopy,
        holder: &key::HomeName,
    ) -> peer_wire::CallOutcomeWire {
        // The claim row shows that another copy of the call arrived before this one.
        let mut later = copy.clone();
        later.call.first_send = false;
        if self.members.is_own_home(holder) || holder.router == self.members.home().router {
            return refusal::refused(refusal::refuse_forgotten());
        }
        forward::forward(self, &later, holder).await
    }

    /// Returns the outcome for a claimed key; only the claimant ever sends the call.
    async fn look_up_claimed(&self, copy: &copy::CallCopy) -> peer_wire::CallOutcomeWire {
        match self.table.look_up(copy.arrival()) {
            Some(entry) => self.answer_entry(entry, copy).await,
            None => refusal::refused(refusal::refuse_forgotten()),
        }
    }

    async fn answer_entry(
        &self,
        entry: outcome::TableEntry,
        copy: &copy::CallCopy,
    ) -> peer_wire::CallOutcomeWire {
        match entry {
            outcome::TableEntry::Running(pending) => await_outcome(pending, copy).await,
            outcome::TableEntry::Kept(outcome) => (*outcome).clone(),
            // Only the ticket holder may send; dropping it here keeps the call from being sent.
            outcome::TableEntry::New(..) | outcome::TableEntry::Forgotten => {
                refusal::refused(refusal::refuse_forgotten())
            }
            outcome::TableEntry::Trimmed(status) => {
                refusal::refused(refusal::refuse_trimmed(status))
            }
            outcome::TableEntry::Reused => refusal::refused(verdict::RequestRefusal::not_run(
                422,
                verdict::RefusalCode::KeyReused,
                "the key was used for another request; create a new key for this one",
            )),
            outcome::TableEntry::Future => refusal::refused(copy.refuse(
                400,
                verdict::RefusalCode::BadRequest,
                "the key's creation time is in the future; correct the clock and create a new key",
            )),
            outcome::TableEntry::Full => refusal::refused(self.refuse_full(copy)),
        }
    }

    fn refuse_full(&self, copy: &copy::CallCopy) -> verdict::RequestRefusal {
        let code = verdict::RefusalCode::Overloaded;
        let message = "the router's key table is full; create a new key and retry";
        // A key with a home is refused permanently, so that no later copy of the call can run.
        let verdict = match copy.key.home() {
            Some(_home) => verdict::RunVerdict::NotRun,
            None => copy.refuse(503, code, message).verdict,
        };
        verdict::RequestRefusal::new(503, code, verdict, message)
            .retry_after(refusal::RETRY_DELAY)
            .home(self.members.home().to_string())
    }

    /// Adds the current home to a stored not-run refusal, since the call now needs a new key.
    fn with_current_home(
        &self,
        mut outcome: peer_wire::CallOutcomeWire,
        copy: &copy::CallCopy,
    ) -> peer_wire::CallOutcomeWire {
        if let peer_wire::CallOutcomeWire::Refused(refusal) = &mut outcome
            && refusal.verdict == verdict::RunVerdict::NotRun
            && !copy.call.first_send
        {
            refusal.home = Some(self.members.home().to_string());
        }
        outcome
    }
}

/// Waits for the outcome until [`WAIT_GRACE`] after the deadline of `copy`.
async fn await_outcome(
    pending: outcome::PendingOutcome,
    copy: &copy::CallCopy,
) -> peer_wire::CallOutcomeWire {
    let limit = copy.remaining() + WAIT_GRACE;
    match async_std::future::timeout(limit, pending).await {
        Ok(Ok(outcome)) => (*outcome).clone(),
        Ok(Err(_cancelled)) => refusal::refused(refusal::refuse_forgotten()),
        Err(_elapsed) => refusal::refused(
            verdict::RequestRefusal::may_have_run(
                504,
                verdict::RefusalCode::DeadlineExceeded,
                "no response within the deadline; retry with the same key",
            )
            .retry_after(refusal::RETRY_DELAY),
        ),
    }
}
