//! Decides which share of the new requests goes to the new version while nothing speaks against it.
//!
//! Load addressed: the ramp of a good version has to end in the time that the order gives it, while a
//! bad one must not get more than a tenth of all requests, few or many, until it is known.

use std::time;

use crate::process::gateway::rollout::plan;

/// Shares of the steps, in thousandths. The first one is half of the share that a bad version may get.
const STEP_SHARES: [u16; 5] = [50, 100, 250, 500, plan::FULL_SHARE];

/// Parts of the ramp's time before which the steps do not start. The larger shares come late and are
/// short, so that a version that turns bad has got little. The rest of the time covers the delay with
/// which the order and the replies arrive.
const STEP_STARTS: [f64; 5] = [0.0, 0.6, 0.7, 0.78, 0.86];

/// Shortest time of a step: two reports of each router, with the answers to the first requests.
const MIN_STEP_TIME: time::Duration = time::Duration::from_secs(1);

/// Answers of the new version that a step needs, where there are enough requests.
const STEP_ANSWERS: f64 = 20.0;

/// Time whose expected answers a step needs where that is less than [`STEP_ANSWERS`].
const EVIDENCE_TIME: f64 = 0.5;

/// Answers that each step needs in any case while the exposure matters.
const MIN_STEP_ANSWERS: f64 = 3.0;

/// Answers since the order without which the new version does not get all requests. With fewer, a
/// version of which a third of the answers is bad may not have shown.
const MIN_ANSWERS: u64 = 10;

/// Share of the ramp's time in which the answers of the first step should come.
const FIRST_STEP_PART: f64 = 0.4;

/// Largest share that is used to get answers where there are few requests, in thousandths.
const MAX_EARLY_SHARE: f64 = 500.0;

/// Time until the coordinator can know of a request: a report, and the plan that follows from it.
const REPORT_DELAY_S: f64 = 1.5;

/// Longest wait for the old version's requests to end.
pub const MAX_DRAIN: time::Duration = time::Duration::from_secs(10);

/// Bounds of the operators on what a bad version may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureBounds {
    /// Share of all requests since the order.
    pub share: f64,
    /// Requests beyond the share.
    pub slack: f64,
}

/// What is known at a decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RampInput {
    /// Time since the start of the ramp.
    pub elapsed: time::Duration,
    /// Time that the order gives the ramp.
    pub ramp: time::Duration,
    /// Requests sent since the order, of all versions.
    pub requests: u64,
    /// Requests sent to the new version.
    pub sent_new: u64,
    /// Answers of the new version.
    pub answers_new: u64,
    /// Whether over half of the routers report.
    pub has_quorum: bool,
    /// Whether the store answers, so that the end of the ramp can be written.
    pub is_store_reachable: bool,
    /// Whether no router has requests in flight at the old version.
    pub is_drained: bool,
}

/// What the routers should do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RampDecision {
    /// `Waiting`, `Ramping` or `Draining`.
    pub phase: plan::RolloutPhase,
    /// Share of new requests for the new version, in thousandths.
    pub share_millis: u16,
    /// Whether the new version may take over for good.
    pub may_complete: bool,
}

/// Progress of one ramp.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RampState {
    step: usize,
    /// When the step began, as time since the start of the ramp.
    step_began: time::Duration,
    /// Answers of the new version before the step.
    answers_before: u64,
    /// Whether the share was 0 at the last decision, so that the step begins again.
    is_paused: bool,
}

impl RampState {
    /// Decides at `input.elapsed`, which never decreases.
    pub fn advance(&mut self, input: &RampInput, bounds: ExposureBounds) -> RampDecision {
        if !input.has_quorum {
            self.is_paused = true;
            return waiting();
        }
        if std::mem::take(&mut self.is_paused) {
            self.begin_step(self.step, input);
        }
        if self.may_step(input, bounds) {
            self.begin_step(self.step + 1, input);
        }
        if self.step == 0 && is_overexposed(input, bounds) {
            return waiting();
        }
        if self.is_last() {
            let time = input.elapsed.saturating_sub(self.step_began);
            let is_done = input.is_drained && self.has_evidence(input, bounds);
            return RampDecision {
                phase: plan::RolloutPhase::Draining,
                share_millis: plan::FULL_SHARE,
                may_complete: (is_done && time >= MIN_STEP_TIME) || time >= MAX_DRAIN,
            };
        }
        RampDecision {
            phase: plan::RolloutPhase::Ramping,
            share_millis: self.share(input, bounds),
            may_complete: false,
        }
    }

    /// Whether the next step, or the end, needs the store.
    #[must_use]
    pub const fn needs_store(&self) -> bool {
        self.step + 2 >= STEP_SHARES.len()
    }

    const fn is_last(&self) -> bool {
        self.step + 1 >= STEP_SHARES.len()
    }

    fn begin_step(&mut self, step: usize, input: &RampInput) {
        self.step = step;
        self.step_began = input.elapsed;
        self.answers_before = input.answers_new;
    }

    fn may_step(&self, input: &RampInput, bounds: ExposureBounds) -> bool {
        let Some(start) = STEP_STARTS.get(self.step + 1) else {
            return false;
        };
        let is_late_enough = input.elapsed >= input.ramp.mul_f64(*start)
            && input.elapsed.saturating_sub(self.step_began) >= MIN_STEP_TIME;
        let is_before_last = self.needs_store();
        let may_end = input.is_store_reachable && input.answers_new >= MIN_ANSWERS;
        is_late_enough && self.has_evidence(input, bounds) && (!is_before_last || may_end)
    }

    /// Whether the new version has answered enough in this step.
    fn has_evidence(&self, input: &RampInput, bounds: ExposureBounds) -> bool {
        // So few requests are within the bound whichever version gets them.
        if number(input.requests) <= bounds.slack {
            return input.answers_new > 0;
        }
        let share = f64::from(STEP_SHARES[self.step]) / f64::from(plan::FULL_SHARE);
        let expected = rate(input) * share * EVIDENCE_TIME;
        let needed = expected.clamp(MIN_STEP_ANSWERS, STEP_ANSWERS);
        number(input.answers_new.saturating_sub(self.answers_before)) >= needed
    }

    /// Share of this step; more where so few requests come that there would be no answers in time.
    fn share(&self, input: &RampInput, bounds: ExposureBounds) -> u16 {
        let step_share = STEP_SHARES[self.step];
        // Without any request nothing is known of the rate, which may be high soon.
        if input.requests == 0 {
            return step_share;
        }
        let wanted = STEP_ANSWERS / (rate(input) * input.ramp.as_secs_f64() * FIRST_STEP_PART);
        let early = (wanted * f64::from(plan::FULL_SHARE)).min(MAX_EARLY_SHARE);
        let unknown = rate(input) * early / f64::from(plan::FULL_SHARE) * REPORT_DELAY_S;
        if number(input.sent_new) + unknown > bounds.slack / 2.0 {
            return step_share;
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "it lies between 0 and `MAX_EARLY_SHARE`"
        )]
        let early = early as u16;
        early.max(step_share)
    }
}

const fn waiting() -> RampDecision {
    RampDecision {
        phase: plan::RolloutPhase::Waiting,
        share_millis: 0,
        may_complete: false,
    }
}

/// Whether the new version has got as much as it may before there is evidence; half of the slack is
/// left for requests that are not reported yet.
fn is_overexposed(input: &RampInput, bounds: ExposureBounds) -> bool {
    number(input.sent_new) >= bounds.share * number(input.requests) + bounds.slack / 2.0
}

/// Requests a second since the order.
fn rate(input: &RampInput) -> f64 {
    let elapsed = input.elapsed.max(MIN_STEP_TIME);
    number(input.requests) / elapsed.as_secs_f64()
}

/// A count as a number; counts stay far below the range that a float holds exactly.
fn number(count: u64) -> f64 {
    u32::try_from(count).map_or(f64::from(u32::MAX), f64::from)
}
