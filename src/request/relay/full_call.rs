//! Holds a call that endpoints refused as full, or refuses it with a measured `Retry-After`.

use std::time;

use async_std::task;

use crate::request::relay::{call_wait, context, retry_delay};
use crate::request::verdict;

impl context::RelayContext {
    /// Waits until the call may be tried again after all tried endpoints refused it as full;
    /// `false` if it is to be refused.
    pub(super) async fn wait_for_capacity(
        &self,
        request: &context::RelayRequest,
        waits: u32,
    ) -> bool {
        let call = self.full_call(request, waits);
        let wait = call_wait::next_wait(&call, fastrand::f64());
        let may_try = match wait {
            None => false,
            Some(wait) => {
                let _waiting = self.loads.calls.start();
                task::sleep(wait).await;
                call_wait::can_meet_goal(&self.full_call(request, waits))
            }
        };
        let millis = |time: time::Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        log::info!(
            request = request.metadata.id.as_str(),
            service = request.service.as_str(),
            waited_ms:? = wait.map(millis),
            goal_left_ms:? = call.goal_left.map(millis),
            usual_ms:? = call.usual_duration.map(millis),
            waiting = call.waiting_calls,
            is_tried_again = may_try;
            "endpoints are full"
        );
        self.counters.count(if may_try {
            "relay.call_waited"
        } else {
            "relay.call_not_held"
        });
        may_try
    }

    fn full_call(&self, request: &context::RelayRequest, waits: u32) -> call_wait::FullCall {
        let goal = request.route.goal;
        call_wait::FullCall {
            goal_left: goal.map(|goal| goal.saturating_sub(request.arrived.elapsed())),
            time_left: request.time_left(),
            usual_duration: self.loads.usual_duration(&request.service),
            waits,
            waiting_calls: self.loads.calls.count(),
        }
    }

    /// Refusal for a call that endpoints refused as full and that has not run. The pause that the
    /// endpoints ask for, if any, comes before the measured delay.
    pub(super) fn refuse_full(&self, request: &context::RelayRequest) -> verdict::RequestRefusal {
        let now = time::Instant::now();
        let service = request.service.as_str();
        let count = self.loads.record_refusal(service, now);
        let verdict = verdict::RunVerdict::NotRun;
        let time_left = request.time_left();
        if time_left.is_zero() || self.fleet.pause_left(service, now).is_some() {
            return self.refuse_unserved(service, verdict);
        }
        let delay = retry_delay::retry_delay(count, time_left, fastrand::f64());
        log::info!(
            request = request.metadata.id.as_str(),
            service,
            answered = count.answered,
            refused = count.refused,
            delay_ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
            "call refused as endpoints are full"
        );
        self.counters.count("relay.call_refused_full");
        context::refuse_unserved(verdict, delay)
    }
}
