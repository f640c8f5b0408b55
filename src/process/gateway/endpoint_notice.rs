//! What endpoints say of themselves in their answers: that they leave, or want no requests for a while.
//!
//! The load it answers: endpoints that go while the store is silent or its list is old, and endpoints
//! that are full for seconds. Such word holds for one life of an endpoint, also when its entry is
//! removed and comes back. Time is an argument, and no I/O is done.

use std::collections;
use std::time;

/// Longest pause that an endpoint is believed; a longer one is cut to this, so that one broken answer
/// does not shut an endpoint out for good.
pub const MAX_PAUSE: time::Duration = time::Duration::from_secs(60);

/// Time for which word of an endpoint is kept after its entry was removed; well above the time in which
/// entries that lapsed with the store come back.
const KEPT_AFTER_REMOVAL: time::Duration = time::Duration::from_secs(120);

/// Removed endpoints whose word is kept at most; the oldest goes first.
const MAX_REMOVED: usize = 4_096;

/// One life of an endpoint: its name and its start in milliseconds since the Unix epoch.
pub type EndpointIncarnation = (String, u64);

/// What one life of an endpoint said of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointNotice {
    /// Whether it is about to go; final for this life.
    pub is_leaving: bool,
    /// Until when it wants no requests.
    pub paused_until: Option<time::Instant>,
}

impl EndpointNotice {
    /// Takes note of a pause that begins at `now`; a later end of an earlier pause stays.
    pub fn pause(&mut self, pause: time::Duration, now: time::Instant) {
        let until = now + pause.min(MAX_PAUSE);
        self.paused_until = Some(self.paused_until.map_or(until, |held| held.max(until)));
    }

    /// Time until the endpoint takes requests again; `None` when it does not pause.
    #[must_use]
    pub fn pause_left(&self, now: time::Instant) -> Option<time::Duration> {
        let left = self.paused_until?.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Whether the endpoint may get a request.
    #[must_use]
    pub fn accepts_requests(&self, now: time::Instant) -> bool {
        !self.is_leaving && self.pause_left(now).is_none()
    }
}

/// Word of endpoints whose entries were removed.
#[derive(Debug, Default)]
pub struct RemovedNotices {
    words: collections::HashMap<EndpointIncarnation, EndpointNotice>,
    order: collections::VecDeque<(time::Instant, EndpointIncarnation)>,
}

impl RemovedNotices {
    /// Keeps `word`, if it says anything, of an endpoint whose entry was removed.
    pub fn keep(&mut self, life: EndpointIncarnation, word: EndpointNotice, now: time::Instant) {
        if word == EndpointNotice::default() {
            return;
        }
        self.words.insert(life.clone(), word);
        self.order.push_back((now, life));
        self.forget(now);
    }

    /// Gives back the word of an endpoint whose entry is there again.
    pub fn take(&mut self, life: &EndpointIncarnation) -> EndpointNotice {
        self.words.remove(life).unwrap_or_default()
    }

    fn forget(&mut self, now: time::Instant) {
        let is_old = |at: &time::Instant| now.duration_since(*at) > KEPT_AFTER_REMOVAL;
        while let Some((at, _life)) = self.order.front() {
            if !is_old(at) && self.order.len() <= MAX_REMOVED {
                return;
            }
            if let Some((_at, life)) = self.order.pop_front() {
                self.words.remove(&life);
            }
        }
    }
}
