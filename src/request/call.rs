//! Calls to plain services: sent at most once by their home router, or in turn when idempotent.

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

/// Outcome of a step of a call.
pub type Result<T> = verdict::Result<T>;

/// Time for which a waiter goes on past its deadline, so that the runner's own answer comes first.
const WAIT_GRACE: time::Duration = time::Duration::from_millis(50);

/// Limit for claiming a key in the table service.
const CLAIM_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Bounds of a [`CallRunner`].
#[derive(Clone, Copy, Debug)]
pub struct CallLimits {
    /// Bounds of the key table.
    pub table: outcome::TableLimits,
    /// Limit for making a connection to an endpoint.
    pub connect: time::Duration,
    /// Limit from the connection to the end of the answer.
    pub answer: time::Duration,
    /// Longest accepted answer body, in bytes.
    pub max_answer_bytes: usize,
    /// Endpoints tried for one call at most.
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

/// Runs calls to plain services.
#[derive(Clone, Debug)]
pub struct CallRunner {
    shared: sync::Arc<RunnerState>,
}

/// What all calls of one process share.
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
    /// A runner that has sent nothing yet.
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

    /// A runner that sends nothing while `gate` is closed.
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

    /// Runs a call that must not be repeated and that a caller sent to this router.
    ///
    /// An empty key stands for none: a new one is made.
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

    /// Runs or joins a call that a peer forwarded to this router as its home.
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

    /// Runs a call that may be repeated, on one endpoint after the other.
    #[must_use]
    pub fn run_idempotent(
        &self,
        call: peer_wire::CallWire,
    ) -> future::BoxFuture<'static, peer_wire::CallOutcomeWire> {
        let state = sync::Arc::clone(&self.shared);
        async move { attempt::run_idempotent(&state, call).await }.boxed()
    }

    /// Calls of this home that are running, whether or not anybody waits for them.
    #[must_use]
    pub fn running(&self) -> usize {
        self.shared.table.running_count()
    }

    /// The keys whose home is this process.
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

    /// The key's home is no longer alive under that name.
    fn refuse_stale_home(&self, copy: &copy::CallCopy) -> verdict::RequestRefusal {
        let code = verdict::RefusalCode::WrongHome;
        if copy.call.first_send {
            let message = "the key names a home that is gone; make a new key with the given home";
            return verdict::RequestRefusal::not_run(421, code, message)
                .home(self.members.home().to_string());
        }
        let message = "the key's home restarted; look up the effect of the call before a new key";
        verdict::RequestRefusal::may_have_run(409, code, message)
    }

    /// Runs a call whose key names this router in this life.
    async fn run_owned(self: sync::Arc<Self>, copy: copy::CallCopy) -> peer_wire::CallOutcomeWire {
        let entry = self.table.enter(copy.arrival(), self.clock.now());
        let outcome::TableEntry::New(ticket, pending) = entry else {
            return self.answer_entry(entry, &copy).await;
        };
        let state = sync::Arc::clone(&self);
        let runner = copy.clone();
        // The call goes on when its caller gives up, so that its outcome is there to ask for.
        task::spawn(async move {
            let outcome = attempt::run_once(&state, &runner).await;
            ticket.finish(state.with_current_home(outcome, &runner));
        });
        await_outcome(pending, &copy).await
    }

    /// Runs a call whose key is a client's own.
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
                let message = "the table service did not answer in time";
                ticket.release(refusal::refused(refusal::refuse_claim(copy, message)));
            }
        }
    }

    /// Asks the router that claimed the key.
    async fn forward_to_holder(
        &self,
        copy: &copy::CallCopy,
        holder: &key::HomeName,
    ) -> peer_wire::CallOutcomeWire {
        // The row shows that a copy of the call came before this one.
        let mut later = copy.clone();
        later.call.first_send = false;
        if self.members.is_own_home(holder) || holder.router == self.members.home().router {
            return refusal::refused(refusal::refuse_forgotten());
        }
        forward::forward(self, &later, holder).await
    }

    /// Answers for a claimed key; only the claimant itself ever sends the call.
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
            // A ticket is for its holder; dropping it here keeps the call from being sent.
            outcome::TableEntry::New(..) | outcome::TableEntry::Forgotten => {
                refusal::refused(refusal::refuse_forgotten())
            }
            outcome::TableEntry::Trimmed(status) => {
                refusal::refused(refusal::refuse_trimmed(status))
            }
            outcome::TableEntry::Reused => refusal::refused(verdict::RequestRefusal::not_run(
                422,
                verdict::RefusalCode::KeyReused,
                "the key was used for another request; make a new key for this one",
            )),
            outcome::TableEntry::Future => refusal::refused(copy.refuse(
                400,
                verdict::RefusalCode::BadRequest,
                "the key was made in the future; set the clock and make a new key",
            )),
            outcome::TableEntry::Full => refusal::refused(self.refuse_full(copy)),
        }
    }

    fn refuse_full(&self, copy: &copy::CallCopy) -> verdict::RequestRefusal {
        let code = verdict::RefusalCode::Overloaded;
        let message = "the router holds as many keys as it can; make a new key and ask again";
        // A key with a home is refused for good, so that no later copy of the call can run.
        let verdict = match copy.key.home() {
            Some(_home) => verdict::RunVerdict::NotRun,
            None => copy.refuse(503, code, message).verdict,
        };
        verdict::RequestRefusal::new(503, code, verdict, message)
            .retry_after(refusal::RETRY_DELAY)
            .home(self.members.home().to_string())
    }

    /// Names the home for a new key when a kept refusal bars this one.
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

/// Waits for the outcome until the deadline of `copy`.
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
                "no answer within the deadline; ask again with the same key",
            )
            .retry_after(refusal::RETRY_DELAY),
        ),
    }
}
