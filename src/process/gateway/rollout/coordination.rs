//! What the coordinator of one roll-out decides, without I/O.

use std::time;

use crate::process::gateway::boot_clock;
use crate::process::gateway::rollout::{
    evidence, evidence_ledger, judge, order, plan, ramp, record,
};

/// Time after a successful call to the store for which it is taken to be reachable.
const STORE_AGE: time::Duration = time::Duration::from_secs(2);

/// Time after which the store is asked again while the end of the ramp needs it.
const STORE_REFRESH: time::Duration = time::Duration::from_secs(1);

/// The routers at a decision.
#[derive(Clone, Debug, Default)]
pub struct RouterSet {
    /// Names of the routers that accept callers.
    pub ready: Vec<String>,
    /// Share of the routers that run, among those and the ones that were lost recently.
    pub reachable_share: f64,
}

/// Rows of the store about a roll-out, as read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredRows {
    /// The system's own row; `None` if there is none that can be decoded.
    pub record: Option<record::RolloutRecord>,
    /// Version of that row; 0 if there is none.
    pub record_version: u64,
    /// Version of the row for operators; 0 if there is none.
    pub status_version: u64,
    /// Clock of the store.
    pub now_ms: u64,
}

/// A row to write in place of the rows that were read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WantedRecord {
    /// Its new content.
    pub record: record::RolloutRecord,
    /// Rows that it replaces.
    pub replaces: StoredRows,
}

/// Counts of a roll-out for a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CoordinationSummary {
    /// Requests to the service since the order.
    pub requests: u64,
    /// Requests sent to the new version.
    pub sent_new: u64,
    /// Answers of the new version.
    pub answers_new: u64,
    /// Failures of the new version.
    pub bad_new: u64,
    /// Answers of the old version.
    pub answers_old: u64,
    /// Failures of the old version.
    pub bad_old: u64,
    /// Routers that reported recently.
    pub routers: usize,
}

/// What to ask the store next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreTask {
    /// Read the rows.
    Read,
    /// Write the record if the rows still are as they were read.
    Write(WantedRecord),
}

/// One roll-out as its coordinator sees it.
#[derive(Clone, Debug)]
pub struct Coordination {
    order: order::RolloutOrder,
    started_at: boot_clock::BootInstant,
    ledger: evidence_ledger::EvidenceLedger,
    ramp: ramp::RampState,
    plan: plan::RolloutPlan,
    /// Final state that was decided here or that the store has.
    decided: Option<record::RecordState>,
    fault: Option<judge::BadVersion>,
    summary: CoordinationSummary,
    /// Rows as last read; `None` when they have to be read again.
    stored: Option<StoredRows>,
    /// Whether a read has ended, with rows or without.
    has_asked_store: bool,
    store_answered_at: Option<boot_clock::BootInstant>,
}

impl Coordination {
    /// Starts to coordinate an order. The ramp begins now unless the store has an earlier start.
    #[must_use]
    pub fn new(order: order::RolloutOrder, now: boot_clock::BootInstant) -> Self {
        let plan = plan::RolloutPlan {
            service: order.service.clone(),
            to: order.content.to.clone(),
            order_version: order.version,
            phase: plan::RolloutPhase::Waiting,
            share_millis: 0,
        };
        Self {
            order,
            started_at: now,
            ledger: evidence_ledger::EvidenceLedger::default(),
            ramp: ramp::RampState::default(),
            plan,
            decided: None,
            fault: None,
            summary: CoordinationSummary::default(),
            stored: None,
            has_asked_store: false,
            store_answered_at: None,
        }
    }

    /// The order that is coordinated.
    #[must_use]
    pub const fn order(&self) -> &order::RolloutOrder {
        &self.order
    }

    /// The plan as of the last decision.
    #[must_use]
    pub const fn plan(&self) -> &plan::RolloutPlan {
        &self.plan
    }

    /// Why the version was found to be bad here.
    #[must_use]
    pub const fn fault(&self) -> Option<&judge::BadVersion> {
        self.fault.as_ref()
    }

    /// The counts as of the last decision.
    #[must_use]
    pub const fn summary(&self) -> CoordinationSummary {
        self.summary
    }

    /// Takes a router's report of this order.
    pub fn take_report(&mut self, report: evidence::RouterReport, now: boot_clock::BootInstant) {
        if report.order_version == self.order.version {
            let is_draining = self.plan.phase == plan::RolloutPhase::Draining;
            self.ledger.take(report, is_draining, now);
        }
    }

    /// Ends the roll-out, unless the store has it as complete: the version is bad, or the order was
    /// withdrawn. A `complete` that is being written holds if the store turns out to have it.
    pub fn revert(&mut self) {
        if !self.is_settled() {
            self.decided = Some(record::RecordState::Reverted);
        }
    }

    /// Decides anew; returns the plan.
    pub fn decide(
        &mut self,
        routers: &RouterSet,
        bounds: ramp::ExposureBounds,
        now: boot_clock::BootInstant,
    ) -> &plan::RolloutPlan {
        let totals = self.ledger.totals();
        let periods = self.ledger.periods(&totals, now);
        self.summary = self.summarize(&totals, now);
        self.ledger.keep_snapshot(&totals, now);
        if !self.is_settled() && self.decided != Some(record::RecordState::Reverted) {
            self.fault = judge::find_fault(&periods);
            if self.fault.is_some() {
                self.revert();
            }
        }
        let (phase, share_millis) = match self.decided {
            Some(record::RecordState::Reverted) => (plan::RolloutPhase::Reverted, 0),
            Some(record::RecordState::Complete)
                if self.is_stored(record::RecordState::Complete) =>
            {
                (plan::RolloutPhase::Complete, plan::FULL_SHARE)
            }
            // Not written yet, so the old version's endpoints still run.
            Some(_complete) => (plan::RolloutPhase::Draining, plan::FULL_SHARE),
            None => {
                let input = self.ramp_input(&totals, routers, now);
                let decision = self.ramp.advance(&input, bounds);
                if decision.may_complete && input.is_store_reachable {
                    self.decided = Some(record::RecordState::Complete);
                }
                (decision.phase, decision.share_millis)
            }
        };
        self.plan.phase = phase;
        self.plan.share_millis = share_millis;
        &self.plan
    }

    /// What to ask the store next; `None` while there is nothing.
    #[must_use]
    pub fn store_task(&self, now: boot_clock::BootInstant) -> Option<StoreTask> {
        let Some(stored) = &self.stored else {
            return Some(StoreTask::Read);
        };
        let state = self.decided.unwrap_or(record::RecordState::Running);
        if !self.is_stored(state) {
            let known = self.known_record();
            let record = record::RolloutRecord {
                order_row: order::row_of(self.order.version),
                to: self.order.content.to.clone(),
                started_ms: known.map_or(stored.now_ms, |known| known.started_ms),
                state,
            };
            return Some(StoreTask::Write(WantedRecord {
                record,
                replaces: stored.clone(),
            }));
        }
        let needs_store = self.decided.is_none() && self.ramp.needs_store();
        let is_old = self
            .store_answered_at
            .is_none_or(|answered_at| now.since(answered_at) >= STORE_REFRESH);
        (needs_store && is_old).then_some(StoreTask::Read)
    }

    /// Takes the outcome of a read that was sent at `asked_at`; `None` if the store did not answer.
    pub fn take_rows(&mut self, rows: Option<StoredRows>, asked_at: boot_clock::BootInstant) {
        let is_first = self.stored.is_none();
        self.has_asked_store = true;
        let Some(rows) = rows else {
            return;
        };
        self.store_answered_at = Some(asked_at);
        self.stored = Some(rows);
        let Some(known) = self.known_record() else {
            return;
        };
        match known.state {
            // What was decided here is written, unless another router's `complete` was first.
            record::RecordState::Running => {}
            state => self.decided = Some(state),
        }
        let now_ms = self.stored.as_ref().map_or(0, |stored| stored.now_ms);
        let elapsed =
            time::Duration::from_millis(now_ms.saturating_sub(known_start(self.stored.as_ref())));
        if is_first {
            self.started_at = self.started_at.min(asked_at.before(elapsed));
        }
    }

    /// Records that a write ended, with success or not. The rows have to be read back.
    pub fn end_write(&mut self) {
        self.stored = None;
    }

    /// Whether the store has the final state, so that nothing is left to do.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.decided.is_some_and(|state| self.is_stored(state))
    }

    fn known_record(&self) -> Option<&record::RolloutRecord> {
        let record = self.stored.as_ref()?.record.as_ref()?;
        let is_own = record.order_row == order::row_of(self.order.version)
            && record.to == self.order.content.to;
        is_own.then_some(record)
    }

    fn is_stored(&self, state: record::RecordState) -> bool {
        self.known_record()
            .is_some_and(|known| known.state == state)
    }

    fn is_store_reachable(&self, now: boot_clock::BootInstant) -> bool {
        self.store_answered_at
            .is_some_and(|answered_at| now.since(answered_at) < STORE_AGE)
    }

    fn summarize(
        &self,
        totals: &evidence_ledger::EvidenceTotals,
        now: boot_clock::BootInstant,
    ) -> CoordinationSummary {
        let counts = totals.all_routes();
        CoordinationSummary {
            requests: totals.requests,
            sent_new: counts.new.sent,
            answers_new: counts.new.answers(),
            bad_new: counts.new.bad,
            answers_old: counts.old.answers(),
            bad_old: counts.old.bad,
            routers: self.ledger.fresh_count(now),
        }
    }

    fn ramp_input(
        &self,
        totals: &evidence_ledger::EvidenceTotals,
        routers: &RouterSet,
        now: boot_clock::BootInstant,
    ) -> ramp::RampInput {
        let new = totals.all_routes().new;
        let has_majority = is_majority(self.ledger.fresh_count(now), routers);
        ramp::RampInput {
            elapsed: now.since(self.started_at),
            ramp: self.order.content.ramp,
            requests: totals.requests,
            sent_new: new.sent,
            answers_new: new.answers(),
            // Before the first answer of the store, the order may have ended long ago.
            has_quorum: has_majority && self.has_asked_store,
            is_store_reachable: self.is_store_reachable(now),
            is_drained: self.ledger.is_drained(&routers.ready, now),
        }
    }
}

fn known_start(stored: Option<&StoredRows>) -> u64 {
    let record = stored.and_then(|stored| stored.record.as_ref());
    record.map_or(0, |record| record.started_ms)
}

/// Whether `reporting` routers are over half of all, those included that may run out of reach.
fn is_majority(reporting: usize, routers: &RouterSet) -> bool {
    let number = |count: usize| u32::try_from(count).map_or(f64::from(u32::MAX), f64::from);
    let all = number(routers.ready.len()) / routers.reachable_share.max(f64::EPSILON);
    number(reporting) * 2.0 > all
}
