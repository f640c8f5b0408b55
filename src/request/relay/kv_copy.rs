//! KV copies of running requests: tracks the current copy and replaces it when it is lost.
//!
//! The engines maintain the first copy themselves. When the engines of several availability zones
//! fail seconds apart, a stream often loses the engine with its copy before its own engine, and
//! then needs a new copy. `copy_action` makes the decision without I/O; `CopyManager` carries it
//! out in the background.

use std::net;
use std::sync;
use std::time;

use async_std::task;
use futures::FutureExt as _;
use futures::future;

use crate::process::view;
use crate::request::relay::{
    attempt, context, dialect, fleet, incarnation, report, selection, version_choice,
};

/// Interval between checks of the copy; short compared with the seconds between two failures.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Age at which a moved copy is refreshed; below the few seconds after which engines drop an
/// unused copy.
const REFRESH_AGE: time::Duration = time::Duration::from_millis(2_500);

/// Delay after a failed move; its cause is an engine that has no room or is failing.
const RETRY_DELAY: time::Duration = time::Duration::from_secs(1);

/// Timeout of a move; a long prompt's KV cache takes a tenth of a second, behind a few other
/// moves.
const MOVE_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Engines probed before one of them gets a copy.
const PROBED_HOLDERS: usize = 2;

/// A copy that was made at this router's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MovedCopy {
    /// Handle that the source engine assigned.
    pub name: String,
    /// Engine that ran the request and made the copy.
    pub source: net::SocketAddr,
    /// When the move started; the copy holds the state of about that time.
    pub at: time::Instant,
}

/// The current copy of a running request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldCopy {
    /// Engine that holds the copy.
    pub holder: fleet::ChosenEndpoint,
    /// Details of a moved copy; `None` for one that the engines maintain.
    pub moved: Option<MovedCopy>,
}

impl HeldCopy {
    /// Returns how the holder finds the copy of `request`.
    #[must_use]
    pub fn source(&self, request: &str) -> dialect::CopySource {
        match &self.moved {
            None => dialect::CopySource {
                address: self.holder.address,
                name: request.to_owned(),
            },
            Some(moved) => dialect::CopySource {
                address: moved.source,
                name: moved.name.clone(),
            },
        }
    }
}

/// Action for the copy of a running request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyAction {
    /// The copy is current.
    Keep,
    /// Move a newer state to the same holder.
    Refresh,
    /// Move a copy to another engine.
    Replace,
}

/// Returns the action for `copy`; `is_healthy` tells whether its holder is.
#[must_use]
pub fn copy_action(copy: Option<&HeldCopy>, is_healthy: bool, now: time::Instant) -> CopyAction {
    let Some(copy) = copy.filter(|_copy| is_healthy) else {
        return CopyAction::Replace;
    };
    let moved = copy.moved.as_ref();
    if moved.is_some_and(|moved| now.duration_since(moved.at) >= REFRESH_AGE) {
        return CopyAction::Refresh;
    }
    CopyAction::Keep
}

/// A running request whose KV cache is copied.
#[derive(Clone, Copy, Debug)]
pub struct CopiedRun<'a> {
    /// Dependencies shared by all requests.
    pub context: &'a context::RelayContext,
    /// Request identifier.
    pub request: &'a str,
    /// Service name.
    pub service: &'a str,
    /// Engine that runs the request.
    pub engine: &'a fleet::ChosenEndpoint,
    /// Engines that must not hold the copy.
    pub excluded: &'a [fleet::EndpointKey],
    /// Tokens that the run occupies at its end.
    pub tokens: u64,
    /// Software versions that the request may use.
    pub versions: &'a version_choice::VersionChoice,
}

impl CopiedRun<'_> {
    /// Software versions that may hold the copy.
    #[must_use]
    pub fn holder_versions(&self) -> version_choice::VersionFilter {
        let rules = self.context.versions.as_ref();
        let version = &self.engine.version;
        self.versions.copy_filter(rules, self.service, version)
    }
}

/// Maintains the copy of one running request.
#[derive(Debug, Default)]
pub struct CopyManager {
    held: Option<HeldCopy>,
    moving: Option<task::JoinHandle<Option<HeldCopy>>>,
    next_poll: Option<time::Instant>,
}

impl CopyManager {
    /// Starts with the copy that the engines maintain at `holder`; `None` when there is none.
    #[must_use]
    pub fn new(holder: Option<fleet::ChosenEndpoint>) -> Self {
        let held = holder.map(|holder| HeldCopy {
            holder,
            moved: None,
        });
        Self {
            held,
            ..Self::default()
        }
    }

    /// Engine that holds the copy, if there is one.
    #[must_use]
    pub fn holder(&self) -> Option<fleet::EndpointKey> {
        self.held.as_ref().map(|held| held.holder.key)
    }

    /// Returns the copy and stops tracking it and any move in progress.
    pub fn take(&mut self) -> Option<HeldCopy> {
        self.moving = None;
        self.held.take()
    }

    /// Checks the copy of `run` every [`POLL_INTERVAL`] and starts a move if one is needed; does
    /// not wait.
    pub fn poll(&mut self, run: CopiedRun<'_>) {
        let now = time::Instant::now();
        if self.next_poll.is_some_and(|next| now < next) {
            return;
        }
        self.next_poll = Some(now + POLL_INTERVAL);
        if let Some(moving) = &mut self.moving {
            let Some(moved) = moving.now_or_never() else {
                return;
            };
            self.moving = None;
            self.finish_move(moved, run, now);
        }
        let holder = self.held.as_ref().map(|held| held.holder.key);
        let versions = run.holder_versions();
        let is_allowed = |held: &HeldCopy| versions.allows(&held.holder.version);
        let is_healthy = holder.is_some_and(|key| run.context.fleet.is_healthy(key))
            && self.held.as_ref().is_some_and(is_allowed);
        let holders = match copy_action(self.held.as_ref(), is_healthy, now) {
            CopyAction::Keep => return,
            CopyAction::Refresh => self.held.iter().map(|held| held.holder.clone()).collect(),
            CopyAction::Replace => sample_holders(run, holder, PROBED_HOLDERS),
        };
        let moving = move_copy(
            MoveContext::of(run.context),
            run.engine.address,
            (run.request.to_owned(), run.tokens),
            holders,
        );
        self.moving = Some(task::spawn(moving));
    }

    /// Releases a moved copy, which would otherwise occupy memory and a slot at its holder for
    /// seconds.
    pub fn release(&mut self, dialect: &sync::Arc<dyn dialect::RequestDialect>) {
        let Some(moved) = self.take().and_then(|held| held.moved) else {
            return;
        };
        let head = dialect.free_copy(moved.source, &moved.name);
        task::spawn(async move {
            let released =
                attempt::control_call(moved.source, &head, &[], attempt::REPORT_TIMEOUT).await;
            if released.is_none() {
                log::info!(copy = moved.name.as_str(); "KV copy not released; it will expire");
            }
        });
    }

    fn finish_move(&mut self, moved: Option<HeldCopy>, run: CopiedRun<'_>, now: time::Instant) {
        let Some(moved) = moved else {
            self.next_poll = Some(now + RETRY_DELAY);
            run.context.counters.count("relay.copy_not_moved");
            log::info!(request = run.request; "moving the KV copy failed; will retry");
            return;
        };
        run.context.counters.count("relay.copy_moved");
        log::info!(
            request = run.request,
            endpoint = run.engine.name.as_str(),
            copy = moved.holder.name.as_str();
            "KV copy moved"
        );
        self.held = Some(moved);
    }
}

/// Samples up to `count` engines to hold a copy of `run`, in another availability zone if
/// possible.
pub(super) fn sample_holders(
    run: CopiedRun<'_>,
    lost_holder: Option<fleet::EndpointKey>,
    count: usize,
) -> Vec<fleet::ChosenEndpoint> {
    let mut excluded = run.excluded.to_vec();
    excluded.push(run.engine.key);
    excluded.extend(lost_holder);
    let query = fleet::EndpointQuery {
        service: run.service,
        excluded: &excluded,
        avoid_zone_of: Some(run.engine.key),
        only: None,
        is_unlimited: false,
        versions: &run.holder_versions(),
    };
    run.context.fleet.sample(&query, count)
}

/// What a move needs of the [`context::RelayContext`]; it runs beside the request.
struct MoveContext {
    dialect: sync::Arc<dyn dialect::RequestDialect>,
    fleet: sync::Arc<dyn fleet::EndpointFleet>,
    counters: sync::Arc<dyn view::CounterSink>,
}

impl MoveContext {
    fn of(context: &context::RelayContext) -> Self {
        Self {
            dialect: sync::Arc::clone(&context.dialect),
            fleet: sync::Arc::clone(&context.fleet),
            counters: sync::Arc::clone(&context.counters),
        }
    }
}

/// Copies the KV cache of `request`, which occupies `tokens` at its end, from `source` to the
/// first of `holders` with room.
async fn move_copy(
    context: MoveContext,
    source: net::SocketAddr,
    (request, tokens): (String, u64),
    holders: Vec<fleet::ChosenEndpoint>,
) -> Option<HeldCopy> {
    let dialect = &context.dialect;
    let probes = holders
        .iter()
        .map(|holder| attempt::report(holder.address, dialect.as_ref(), attempt::REPORT_TIMEOUT));
    let reports = future::join_all(probes).await;
    let engines = holders.into_iter().zip(reports).collect();
    let (fleet, counters) = (context.fleet.as_ref(), context.counters.as_ref());
    let candidates = incarnation::drop_replaced(fleet, counters, &request, engines);
    let mut candidates = candidates.into_iter();
    let has_room = |report: &Option<report::EngineReport>| {
        let candidate = selection::EngineCandidate {
            report: report.clone(),
            recent_requests: 0,
        };
        candidate.has_room_for_copy(tokens)
    };
    let (holder, _report) = candidates.find(|(_holder, report)| has_room(report))?;
    let at = time::Instant::now();
    let (head, body) = dialect.move_copy(source, &request, holder.address);
    let response = attempt::control_call(source, &head, &body, MOVE_TIMEOUT).await?;
    let name = dialect.moved_copy(&response)?;
    Some(HeldCopy {
        holder,
        moved: Some(MovedCopy { name, source, at }),
    })
}
