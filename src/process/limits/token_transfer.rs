//! Transfer of retry tokens between routers: how many to give, whom to ask and when; does no I/O.
//!
//! Load addressed: 75 routers with one request each 2 s, and a quarter of all streams breaking at once
//! every 3 s. A router's share of the retry limit then holds too few tokens for the streams that break
//! at it, while the shares of others lie unused.
//!
//! A router gives away only what it has left of its own share of the limit over the last window, so
//! all transfers together stay within the limit, however many tokens are saved.

use std::collections;
use std::time;

/// Slices that a window is counted in.
const SLICES: u64 = 10;

/// Tokens that a router keeps beyond its recent demand, for the next stream that breaks. More would
/// lie unused at most routers while streams wait at others.
const KEPT_TOKENS: u32 = 1;

/// Slices whose uses a router expects again: about the time between two crashes of engines.
const DEMAND_SLICES: u64 = 3;

/// Routers asked at a time.
pub const ASKED_ROUTERS: usize = 2;

/// Tokens asked of each router. Both may give, and the second token is for the next stream.
pub const WANTED_TOKENS: u32 = 1;

/// Interval of questions while they bring tokens; half of the streams resume within 160 ms.
const ASK_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Wait after a question that brought none, doubled each time, plus up to as much random jitter.
const INITIAL_WAIT: time::Duration = time::Duration::from_millis(200);

/// Longest wait, without jitter. A stream that waits must not miss a token for longer than the
/// seconds after which more engines crash.
const MAX_WAIT: time::Duration = time::Duration::from_millis(800);

/// Time for which received tokens can be used. Kept longer, they would count in a later window of the
/// limit than that of their giver.
const RECEIVED_RETENTION: time::Duration = time::Duration::from_secs(1);

#[derive(Clone, Copy, Debug, Default)]
struct SliceUse {
    index: u64,
    requests: u32,
    used: u32,
}

/// Requests, and tokens used or given away, over the last window of the limit.
#[derive(Debug)]
pub struct ShareUse {
    began: time::Instant,
    slice: time::Duration,
    slices: collections::VecDeque<SliceUse>,
}

impl ShareUse {
    /// Starts to count at `began` for a limit over `window`.
    #[must_use]
    pub fn new(began: time::Instant, window: time::Duration) -> Self {
        let slices = u32::try_from(SLICES).unwrap_or(u32::MAX);
        Self {
            began,
            slice: (window / slices).max(time::Duration::from_millis(1)),
            slices: collections::VecDeque::new(),
        }
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: time::Instant) {
        let slice = self.current(now);
        slice.requests = slice.requests.saturating_add(1);
    }

    /// Counts tokens that were used or given away.
    pub fn record_use(&mut self, tokens: u32, now: time::Instant) {
        let slice = self.current(now);
        slice.used = slice.used.saturating_add(tokens);
    }

    /// Requests within a window; those of its oldest, partial slice are left out.
    #[must_use]
    pub fn requests(&self, now: time::Instant) -> u32 {
        let recent = self.recent(now, SLICES);
        recent.map(|slice| slice.requests).sum()
    }

    /// Tokens used within a window; those of its oldest, partial slice are included.
    #[must_use]
    pub fn used(&self, now: time::Instant) -> u32 {
        let recent = self.recent(now, SLICES + 1);
        recent.map(|slice| slice.used).sum()
    }

    /// Tokens that the router is likely to need soon.
    #[must_use]
    pub fn expected_demand(&self, now: time::Instant) -> u32 {
        let recent = self.recent(now, DEMAND_SLICES);
        KEPT_TOKENS.saturating_add(recent.map(|slice| slice.used).sum())
    }

    fn recent(&self, now: time::Instant, count: u64) -> impl Iterator<Item = &SliceUse> {
        let oldest = (self.index(now) + 1).saturating_sub(count);
        self.slices
            .iter()
            .filter(move |slice| slice.index >= oldest)
    }

    fn index(&self, now: time::Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.began);
        let index = elapsed.as_nanos() / self.slice.as_nanos();
        u64::try_from(index).unwrap_or(u64::MAX)
    }

    fn current(&mut self, now: time::Instant) -> &mut SliceUse {
        let newest = self.slices.back().map_or(0, |slice| slice.index);
        let index = self.index(now).max(newest);
        while self
            .slices
            .front()
            .is_some_and(|slice| slice.index + SLICES < index)
        {
            self.slices.pop_front();
        }
        let is_new = self.slices.back().is_none_or(|slice| slice.index < index);
        if is_new {
            self.slices.push_back(SliceUse {
                index,
                ..SliceUse::default()
            });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}

/// State of a router that is asked for tokens.
#[derive(Clone, Copy, Debug)]
pub struct GiftParams {
    /// Tokens asked for.
    pub wanted: u32,
    /// Tokens that it holds.
    pub available: f64,
    /// Tokens that it used or gave away within the last window.
    pub used: u32,
    /// Its share of the limit over that window.
    pub share: f64,
    /// Tokens that it is likely to need itself.
    pub expected_demand: u32,
}

/// Returns how many tokens the router gives away.
#[must_use]
pub fn tokens_to_give(params: &GiftParams) -> u32 {
    let demand = f64::from(params.expected_demand);
    let spare = params.available - demand;
    let unused = params.share - f64::from(params.used) - demand;
    let most = spare.min(unused).max(0.0).min(f64::from(params.wanted));
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "between 0 and the tokens asked for"
    )]
    let given = most as u32;
    given.min(params.wanted)
}

/// Chooses the routers to ask among `count` others, by index.
#[must_use]
pub fn choose_routers(count: usize, random: &mut fastrand::Rng) -> Vec<usize> {
    random.choose_multiple(0..count, ASKED_ROUTERS)
}

/// When a router asks others for tokens of one service.
#[derive(Debug, Default)]
pub struct AskSchedule {
    is_asking: bool,
    next_at: Option<time::Instant>,
    /// Questions in succession that brought no token.
    failures: u32,
}

impl AskSchedule {
    /// Whether to ask now; if so, [`AskSchedule::finish`] has to follow.
    pub fn begin(&mut self, now: time::Instant) -> bool {
        if self.is_asking || self.next_at.is_some_and(|next| now < next) {
            return false;
        }
        self.is_asking = true;
        true
    }

    /// Records that a question brought `tokens`; `jitter` is between 0 and 1.
    pub fn finish(&mut self, tokens: u32, jitter: f64, now: time::Instant) {
        self.is_asking = false;
        if tokens > 0 {
            self.failures = 0;
            self.next_at = Some(now + ASK_INTERVAL);
            return;
        }
        let wait = INITIAL_WAIT * 2_u32.saturating_pow(self.failures.min(4));
        self.failures = self.failures.saturating_add(1);
        self.next_at = Some(now + wait.min(MAX_WAIT).mul_f64(1.0 + jitter));
    }
}

/// Tokens received from other routers, for streams that broke.
#[derive(Debug, Default)]
pub struct ReceivedTokens {
    expiries: collections::VecDeque<time::Instant>,
}

impl ReceivedTokens {
    /// Adds tokens; those beyond what was asked for are dropped.
    pub fn add(&mut self, tokens: u32, now: time::Instant) {
        for _token in 0..tokens.min(WANTED_TOKENS) {
            self.expiries.push_back(now + RECEIVED_RETENTION);
        }
    }

    /// Takes one token that has not expired; returns false if there is none.
    pub fn take(&mut self, now: time::Instant) -> bool {
        while let Some(expiry) = self.expiries.pop_front() {
            if now < expiry {
                return true;
            }
        }
        false
    }
}
