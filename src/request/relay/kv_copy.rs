//! Copies of a running request's memory: which one there is, and when a new one is needed.
//!
//! Engines keep the first copy up themselves. The load it answers: availability zones of engines that
//! go one after the other, seconds apart, so that a stream often loses the engine that keeps its copy
//! before its own one. `copy_action` decides; a `CopyManager` carries it out beside the stream.

use std::net;
use std::sync;
use std::time;

use async_std::task;
use futures::FutureExt as _;
use futures::future;

use crate::request::relay::{attempt, context, dialect, fleet, report, selection};

/// Time between two looks at the copy; small against the seconds between two losses.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Age from which a moved copy is brought up to date: below the seconds for which engines keep one
/// that is not used.
const REFRESH_AGE: time::Duration = time::Duration::from_millis(2_500);

/// Time before the next try to move a copy when one failed: the engine has no room, or is being lost.
const RETRY_DELAY: time::Duration = time::Duration::from_secs(1);

/// Time for a move: the memory of a long prompt takes a tenth of a second, behind a few others.
const MOVE_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Engines asked for a sign of life before one of them gets a copy.
const PROBED_HOLDERS: usize = 2;

/// A copy that was moved because this router asked for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MovedCopy {
    /// Its name.
    pub name: String,
    /// The engine that ran the request.
    pub source: net::SocketAddr,
    /// When the move began.
    pub at: time::Instant,
}

/// The copy of a running request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldCopy {
    /// The engine that holds it.
    pub holder: fleet::ChosenEndpoint,
    /// `None` for a copy that the engines keep up themselves.
    pub moved: Option<MovedCopy>,
}

impl HeldCopy {
    /// How its holder finds the copy of `request`.
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

/// What to do about the copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyAction {
    /// It is there.
    Keep,
    /// Bring a moved copy up to date.
    Refresh,
    /// Move one to another engine.
    Replace,
}

/// The step for a copy whose holder is sound or not.
#[must_use]
pub fn copy_action(copy: Option<&HeldCopy>, is_sound: bool, now: time::Instant) -> CopyAction {
    let Some(copy) = copy.filter(|_copy| is_sound) else {
        return CopyAction::Replace;
    };
    let moved = copy.moved.as_ref();
    if moved.is_some_and(|moved| now.duration_since(moved.at) >= REFRESH_AGE) {
        return CopyAction::Refresh;
    }
    CopyAction::Keep
}

/// A run whose memory is copied.
#[derive(Clone, Copy, Debug)]
pub struct CopiedRun<'a> {
    /// What requests share.
    pub context: &'a context::RelayContext,
    /// Identifier of the request.
    pub request: &'a str,
    /// Its service.
    pub service: &'a str,
    /// The engine that runs it.
    pub engine: &'a fleet::ChosenEndpoint,
    /// Engines that failed it.
    pub excluded: &'a [fleet::EndpointKey],
    /// Tokens that it holds at its end.
    pub tokens: u64,
}

/// Keeps a copy of one run.
#[derive(Debug, Default)]
pub struct CopyManager {
    held: Option<HeldCopy>,
    moving: Option<task::JoinHandle<Option<HeldCopy>>>,
    next_poll: Option<time::Instant>,
}

impl CopyManager {
    /// A keeper of the copy that the engines keep up at `holder`, if there is one.
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

    /// Gives the copy away.
    pub fn take(&mut self) -> Option<HeldCopy> {
        self.moving = None;
        self.held.take()
    }

    /// Looks after the copy of `run`, now and then.
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
        let is_sound = holder.is_some_and(|key| run.context.fleet.is_healthy(key));
        let holders = match copy_action(self.held.as_ref(), is_sound, now) {
            CopyAction::Keep => return,
            CopyAction::Refresh => self.held.iter().map(|held| held.holder.clone()).collect(),
            CopyAction::Replace => holders_in_other_zones(run, holder, PROBED_HOLDERS),
        };
        let moving = move_copy(
            sync::Arc::clone(&run.context.dialect),
            run.engine.address,
            (run.request.to_owned(), run.tokens),
            holders,
        );
        self.moving = Some(task::spawn(moving));
    }

    /// Frees a moved copy, which takes memory and a slot at its holder for seconds.
    pub fn free(&mut self, dialect: &sync::Arc<dyn dialect::RequestDialect>) {
        let Some(moved) = self.take().and_then(|held| held.moved) else {
            return;
        };
        let head = dialect.free_copy(moved.source, &moved.name);
        task::spawn(async move {
            let freed =
                attempt::control_call(moved.source, &head, &[], attempt::REPORT_TIMEOUT).await;
            if freed.is_none() {
                log::info!(copy = moved.name.as_str(); "copy not freed; it lapses by itself");
            }
        });
    }

    fn finish_move(&mut self, moved: Option<HeldCopy>, run: CopiedRun<'_>, now: time::Instant) {
        let Some(moved) = moved else {
            self.next_poll = Some(now + RETRY_DELAY);
            run.context.counters.count("relay.copy_not_moved");
            log::info!(request = run.request; "copy not moved; tried again");
            return;
        };
        run.context.counters.count("relay.copy_moved");
        log::info!(
            request = run.request,
            endpoint = run.engine.name.as_str(),
            copy = moved.holder.name.as_str();
            "copy moved"
        );
        self.held = Some(moved);
    }
}

/// Up to `count` engines for a copy of `run`, in another availability zone where there is one.
pub(super) fn holders_in_other_zones(
    run: CopiedRun<'_>,
    lost: Option<fleet::EndpointKey>,
    count: usize,
) -> Vec<fleet::ChosenEndpoint> {
    let mut excluded = run.excluded.to_vec();
    excluded.push(run.engine.key);
    excluded.extend(lost);
    let need = fleet::EndpointQuery {
        service: run.service,
        excluded: &excluded,
        avoid_zone_of: Some(run.engine.key),
        only: None,
    };
    run.context.fleet.sample(&need, count)
}

/// Moves the memory of a run, named with the tokens that it holds at its end, to the first of `holders`
/// that has room.
async fn move_copy(
    dialect: sync::Arc<dyn dialect::RequestDialect>,
    source: net::SocketAddr,
    (request, tokens): (String, u64),
    holders: Vec<fleet::ChosenEndpoint>,
) -> Option<HeldCopy> {
    let asks = holders
        .iter()
        .map(|holder| attempt::report(holder.address, dialect.as_ref()));
    let reports = future::join_all(asks).await;
    let mut answering = holders.into_iter().zip(reports);
    let has_room = |report: &Option<report::EngineReport>| {
        let asked = selection::EngineCandidate {
            report: report.clone(),
            recent_requests: 0,
        };
        asked.has_room_for_copy(tokens)
    };
    let (holder, _report) = answering.find(|(_holder, report)| has_room(report))?;
    let at = time::Instant::now();
    let (head, body) = dialect.move_copy(source, &request, holder.address);
    let answer = attempt::control_call(source, &head, &body, MOVE_TIMEOUT).await?;
    let name = dialect.moved_copy(&answer)?;
    Some(HeldCopy {
        holder,
        moved: Some(MovedCopy { name, source, at }),
    })
}
