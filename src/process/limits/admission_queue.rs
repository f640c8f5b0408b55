//! Admission queue of one workspace at one router, as a state machine without a clock of its own.

use std::collections;
use std::time;

use futures::channel::oneshot;

use crate::process::limits::admission_params;
use crate::request::verdict;

/// Weight of the latest service time in the exponential moving average.
const SERVICE_TIME_WEIGHT: f64 = 0.2;

/// Time during which refused requests count as demand.
const REFUSED_DEMAND_DURATION: time::Duration = time::Duration::from_secs(2);

/// `Retry-After` delay while no service time has been measured.
const DEFAULT_RETRY_DELAY: time::Duration = time::Duration::from_secs(1);

/// Maximum `Retry-After` delay.
const MAX_RETRY_DELAY: time::Duration = time::Duration::from_secs(600);

/// Slots and queue of one workspace; `P` is the permit type sent to admitted requests.
#[derive(Debug)]
pub(crate) struct WorkspaceState<P> {
    pub(crate) share: u32,
    pub(crate) running: u32,
    pub(crate) resumed_requests: collections::VecDeque<QueueEntry<P>>,
    pub(crate) new_requests: collections::VecDeque<QueueEntry<P>>,
    mean_service_seconds: Option<f64>,
    refused: u32,
    refused_at: Option<time::Instant>,
}

/// A queued request.
#[derive(Debug)]
pub(crate) struct QueueEntry<P> {
    pub(crate) id: u64,
    pub(crate) reply: oneshot::Sender<admission_params::Result<P>>,
}

/// Decision on a new request; `should_evict` means that the last queued new request makes room.
#[derive(Debug)]
pub(crate) enum QueueDecision {
    Run,
    Wait { should_evict: bool },
    Refuse(verdict::RequestRefusal),
}

impl<P> Default for WorkspaceState<P> {
    fn default() -> Self {
        Self {
            share: 0,
            running: 0,
            resumed_requests: collections::VecDeque::new(),
            new_requests: collections::VecDeque::new(),
            mean_service_seconds: None,
            refused: 0,
            refused_at: None,
        }
    }
}

impl<P> WorkspaceState<P> {
    pub(crate) fn decide(
        &self,
        limit: admission_params::LocalLimit,
        priority: admission_params::Priority,
        deadline: time::Instant,
        now: time::Instant,
    ) -> QueueDecision {
        if self.running < self.share && self.queue_len() == 0 {
            return QueueDecision::Run;
        }
        let wait = self.expected_wait(priority);
        if self.share == 0 {
            return QueueDecision::Refuse(refuse_limit(wait));
        }
        if wait > deadline.saturating_duration_since(now) {
            return QueueDecision::Refuse(refuse_overload(wait));
        }
        if self.queue_len() < limit.max_queue as usize {
            return QueueDecision::Wait {
                should_evict: false,
            };
        }
        if priority == admission_params::Priority::Resumed && !self.new_requests.is_empty() {
            return QueueDecision::Wait { should_evict: true };
        }
        QueueDecision::Refuse(refuse_limit(wait))
    }

    fn queue_len(&self) -> usize {
        self.resumed_requests.len() + self.new_requests.len()
    }

    /// Expected wait of a request that arrives now; zero while no service time is known.
    pub(crate) fn expected_wait(&self, priority: admission_params::Priority) -> time::Duration {
        let ahead = match priority {
            admission_params::Priority::Resumed => self.resumed_requests.len(),
            admission_params::Priority::New => self.queue_len(),
        };
        let Some(seconds) = self.mean_service_seconds else {
            return time::Duration::ZERO;
        };
        let ahead = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        let rounds = f64::from(ahead) / f64::from(self.share.max(1));
        let wait = time::Duration::try_from_secs_f64(seconds * rounds);
        wait.unwrap_or(MAX_RETRY_DELAY).min(MAX_RETRY_DELAY)
    }

    pub(crate) fn enqueue(
        &mut self,
        id: u64,
        priority: admission_params::Priority,
    ) -> oneshot::Receiver<admission_params::Result<P>> {
        let (reply, receiver) = oneshot::channel();
        let queue = match priority {
            admission_params::Priority::Resumed => &mut self.resumed_requests,
            admission_params::Priority::New => &mut self.new_requests,
        };
        queue.push_back(QueueEntry { id, reply });
        receiver
    }

    /// Removes the entries that can run now from the queue and counts them as running.
    pub(crate) fn dequeue_runnable(&mut self) -> Vec<QueueEntry<P>> {
        let mut entries = Vec::new();
        while self.running < self.share {
            let next = self.resumed_requests.pop_front();
            let Some(entry) = next.or_else(|| self.new_requests.pop_front()) else {
                break;
            };
            self.running += 1;
            entries.push(entry);
        }
        entries
    }

    pub(crate) fn record_service_time(&mut self, service_time: time::Duration) {
        let newest = service_time.as_secs_f64();
        let average = self.mean_service_seconds.unwrap_or(newest);
        self.mean_service_seconds = Some(average + SERVICE_TIME_WEIGHT * (newest - average));
    }

    pub(crate) fn record_refusal(&mut self, now: time::Instant) {
        if !self.is_refusal_recent(now) {
            self.refused = 0;
            self.refused_at = Some(now);
        }
        self.refused = self.refused.saturating_add(1);
    }

    fn is_refusal_recent(&self, now: time::Instant) -> bool {
        self.refused_at
            .is_some_and(|at| now.saturating_duration_since(at) < REFUSED_DEMAND_DURATION)
    }

    pub(crate) fn demand(&self, now: time::Instant) -> u32 {
        let waiting = u32::try_from(self.queue_len()).unwrap_or(u32::MAX);
        let refused = if self.is_refusal_recent(now) {
            self.refused
        } else {
            0
        };
        self.running.saturating_add(waiting).saturating_add(refused)
    }
}

fn retry_delay(wait: time::Duration) -> time::Duration {
    if wait.is_zero() {
        return DEFAULT_RETRY_DELAY;
    }
    wait
}

fn refuse_limit(wait: time::Duration) -> verdict::RequestRefusal {
    let message = "the workspace uses its whole share and queue; ask again later";
    verdict::RequestRefusal::not_run(429, verdict::RefusalCode::WorkspaceLimit, message)
        .retry_after(retry_delay(wait))
}

/// Refusal because the expected wait exceeds the deadline.
pub(crate) fn refuse_overload(wait: time::Duration) -> verdict::RequestRefusal {
    let message = "the expected wait exceeds the deadline; ask again later or allow more time";
    verdict::RequestRefusal::not_run(503, verdict::RefusalCode::Overloaded, message)
        .retry_after(retry_delay(wait))
}
