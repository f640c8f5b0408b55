//! Admission control: a concurrency limit and a queue per workspace, with priority for resumed
//! requests.
//!
//! A request whose expected wait exceeds its deadline is refused immediately. Queued and recently
//! refused requests count as demand, by which the routers divide the workspace's limit.

use std::collections;
use std::fmt;
use std::sync;
use std::time;

use futures::channel::oneshot;
use xxhash_rust::xxh3;

use crate::process::limits::{admission_params, admission_queue};
use crate::request::verdict;

const SHARD_COUNT: usize = 16;

/// Demand for one workspace at this router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkspaceDemand {
    /// Workspace name.
    pub workspace: String,
    /// Number of running, queued and recently refused requests.
    pub requests: u32,
}

/// Admits requests up to this router's share of their workspace's limit.
#[derive(Debug)]
pub struct AdmissionGate {
    shards: Vec<parking_lot::Mutex<GateShard>>,
}

#[derive(Debug, Default)]
struct GateShard {
    workspaces: collections::HashMap<String, admission_queue::WorkspaceState<AdmissionPermit>>,
    last_request_id: u64,
}

/// Permit of a running request; dropping it releases the slot.
pub struct AdmissionPermit {
    gate: sync::Arc<AdmissionGate>,
    workspace: String,
    started: time::Instant,
}

impl fmt::Debug for AdmissionPermit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AdmissionPermit")
            .field("workspace", &self.workspace)
            .finish_non_exhaustive()
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        self.gate.release(&self.workspace, self.started.elapsed());
    }
}

/// Removes a queued request from the queue when its future is dropped.
#[derive(Debug)]
struct QueuedRequestGuard {
    gate: sync::Arc<AdmissionGate>,
    workspace: String,
    id: u64,
}

impl Drop for QueuedRequestGuard {
    fn drop(&mut self) {
        let mut shard = self.gate.shard(&self.workspace).lock();
        if let Some(state) = shard.workspaces.get_mut(&self.workspace) {
            state.resumed_requests.retain(|entry| entry.id != self.id);
            state.new_requests.retain(|entry| entry.id != self.id);
        }
    }
}

/// Result of handling a new request.
#[derive(Debug)]
enum Arrival {
    Run,
    Wait(
        QueuedRequestGuard,
        oneshot::Receiver<admission_params::Result<AdmissionPermit>>,
    ),
    Refuse(verdict::RequestRefusal),
}

impl AdmissionGate {
    /// Creates a gate without running or queued requests.
    #[must_use]
    pub fn new() -> sync::Arc<Self> {
        let shards = (0..SHARD_COUNT)
            .map(|_index| parking_lot::Mutex::default())
            .collect();
        sync::Arc::new(Self { shards })
    }

    /// Waits for a slot of `workspace` until `deadline`.
    ///
    /// # Errors
    /// A refusal with verdict `NotRun` and a `Retry-After` delay; immediate if the expected wait
    /// exceeds `deadline`.
    pub fn admit(
        self: &sync::Arc<Self>,
        workspace: &str,
        limit: admission_params::LocalLimit,
        priority: admission_params::Priority,
        deadline: time::Instant,
    ) -> impl Future<Output = admission_params::Result<AdmissionPermit>> + Send + use<> {
        let gate = sync::Arc::clone(self);
        let workspace = workspace.to_owned();
        async move {
            let now = time::Instant::now();
            match gate.handle_arrival(&workspace, limit, priority, deadline, now) {
                Arrival::Run => Ok(gate.permit(&workspace)),
                Arrival::Refuse(refusal) => Err(refusal),
                Arrival::Wait(guard, receiver) => {
                    let remaining = deadline.saturating_duration_since(now);
                    let granted = async_std::future::timeout(remaining, receiver).await;
                    drop(guard);
                    let Ok(Ok(permit)) = granted else {
                        return Err(gate.refuse_queued(&workspace));
                    };
                    permit
                }
            }
        }
    }

    /// Sets the share of a workspace and admits queued requests if it grew.
    pub fn update_share(
        self: &sync::Arc<Self>,
        workspace: &str,
        limit: admission_params::LocalLimit,
    ) {
        let granted = {
            let mut shard = self.shard(workspace).lock();
            let Some(state) = shard.workspaces.get_mut(workspace) else {
                return;
            };
            state.share = limit.share;
            state.dequeue_runnable()
        };
        self.grant(workspace, granted);
    }

    /// Demand of each workspace that has any, sorted by workspace name.
    #[must_use]
    pub fn demand(&self, now: time::Instant) -> Vec<WorkspaceDemand> {
        let mut demands = Vec::new();
        for shard in &self.shards {
            let shard = shard.lock();
            for (workspace, state) in &shard.workspaces {
                let requests = state.demand(now);
                if requests > 0 {
                    let workspace = workspace.clone();
                    demands.push(WorkspaceDemand {
                        workspace,
                        requests,
                    });
                }
            }
        }
        demands.sort_unstable_by(|left, right| left.workspace.cmp(&right.workspace));
        demands
    }

    fn shard(&self, workspace: &str) -> &parking_lot::Mutex<GateShard> {
        let hash = xxh3::xxh3_64(workspace.as_bytes());
        let index = hash % SHARD_COUNT as u64;
        &self.shards[usize::try_from(index).unwrap_or_default()]
    }

    fn permit(self: &sync::Arc<Self>, workspace: &str) -> AdmissionPermit {
        AdmissionPermit {
            gate: sync::Arc::clone(self),
            workspace: workspace.to_owned(),
            started: time::Instant::now(),
        }
    }

    fn handle_arrival(
        self: &sync::Arc<Self>,
        workspace: &str,
        limit: admission_params::LocalLimit,
        priority: admission_params::Priority,
        deadline: time::Instant,
        now: time::Instant,
    ) -> Arrival {
        let mut evicted = None;
        let (arrival, granted) = {
            let mut shard = self.shard(workspace).lock();
            shard.last_request_id += 1;
            let id = shard.last_request_id;
            let state = shard.workspaces.entry(workspace.to_owned()).or_default();
            state.share = limit.share;
            let granted = state.dequeue_runnable();
            let arrival = match state.decide(limit, priority, deadline, now) {
                admission_queue::QueueDecision::Run => {
                    state.running += 1;
                    Arrival::Run
                }
                admission_queue::QueueDecision::Refuse(refusal) => {
                    state.record_refusal(now);
                    Arrival::Refuse(refusal)
                }
                admission_queue::QueueDecision::Wait { should_evict } => {
                    if should_evict {
                        evicted = state.new_requests.pop_back();
                    }
                    let receiver = state.enqueue(id, priority);
                    let guard = QueuedRequestGuard {
                        gate: sync::Arc::clone(self),
                        workspace: workspace.to_owned(),
                        id,
                    };
                    Arrival::Wait(guard, receiver)
                }
            };
            (arrival, granted)
        };
        self.grant(workspace, granted);
        if let Some(entry) = evicted {
            // The send fails if the evicted request has already timed out.
            drop(entry.reply.send(Err(self.refuse_queued(workspace))));
        }
        arrival
    }

    fn release(self: &sync::Arc<Self>, workspace: &str, service_time: time::Duration) {
        let granted = {
            let mut shard = self.shard(workspace).lock();
            let Some(state) = shard.workspaces.get_mut(workspace) else {
                return;
            };
            state.running = state.running.saturating_sub(1);
            state.record_service_time(service_time);
            state.dequeue_runnable()
        };
        self.grant(workspace, granted);
    }

    /// Sends permits to dequeued entries, whose slots are already counted as running.
    fn grant(
        self: &sync::Arc<Self>,
        workspace: &str,
        entries: Vec<admission_queue::QueueEntry<AdmissionPermit>>,
    ) {
        for entry in entries {
            // If the request has already timed out, the permit is dropped and releases the slot.
            drop(entry.reply.send(Ok(self.permit(workspace))));
        }
    }

    fn refuse_queued(&self, workspace: &str) -> verdict::RequestRefusal {
        let mut shard = self.shard(workspace).lock();
        let state = shard.workspaces.entry(workspace.to_owned()).or_default();
        state.record_refusal(time::Instant::now());
        admission_queue::refuse_overload(state.expected_wait(admission_params::Priority::New))
    }
}
