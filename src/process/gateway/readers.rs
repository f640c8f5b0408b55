//! Chooses which routers read the platform's store, so that the number of calls grows with the
//! number of availability zones and not of routers.
//!
//! One ready router of each zone is its reader. The others poll it; in large zones they form a
//! tree, so that no router has to answer all others. A router that hears of no recent answer of
//! the store reads the store itself, so that updates are not delayed for long when a reader fails.

use std::time;

use crate::connection::peer_wire;
use crate::process::gateway::boot_clock;

/// Time that a router needs to read the store itself after its reader has gone silent.
const DIRECT_READ_TIME: time::Duration = time::Duration::from_millis(700);

/// How long a router also polls another availability zone before it reads the store itself.
const CROSS_ZONE_LEAD: time::Duration = time::Duration::from_millis(300);

/// Part of the time allowed for a change that a reader must not spend waiting in a call. It covers
/// the pause after the call, the polls within a zone, and the takeover by another router.
const PROPAGATION_TIME: time::Duration = time::Duration::from_millis(800);

/// Range to which the time allowed for a change is clamped. With more, the cached configuration
/// would come near the age at which API keys are no longer accepted.
const CHANGE_TIME_RANGE: [time::Duration; 2] =
    [time::Duration::from_secs(2), time::Duration::from_secs(4)];

/// Timeouts for reading the store, derived from the time within which a change must be known.
///
/// They keep the number of calls low while nothing changes, as the store charges for calls and
/// limits them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadTiming {
    /// Long-poll timeout of a reader's call for changes.
    pub long_poll_wait: time::Duration,
    /// Time since the store last answered a reader after which a router reads the store itself. It
    /// covers a long poll, the pause after it and the time to the next poll of the reader, and
    /// leaves enough of the time allowed for a change to read the store.
    pub takeover_age: time::Duration,
    /// Time since the store last answered a reader, as known in this router's zone, after which
    /// another zone is polled too. The store may stop answering one reader without that reader
    /// noticing. Until then, another zone knows no more than this one, and polling it would only
    /// add cross-zone traffic.
    pub cross_zone_age: time::Duration,
}

impl ReadTiming {
    /// Derives the timeouts from `change_time`, within which every router must know a change.
    #[must_use]
    pub fn new(change_time: time::Duration) -> Self {
        let [shortest, longest] = CHANGE_TIME_RANGE;
        let change_time = change_time.clamp(shortest, longest);
        let takeover_age = change_time.saturating_sub(DIRECT_READ_TIME);
        Self {
            long_poll_wait: change_time.saturating_sub(PROPAGATION_TIME) / 2,
            takeover_age,
            cross_zone_age: takeover_age.saturating_sub(CROSS_ZONE_LEAD),
        }
    }
}

/// Time between two polls of a router that has no configuration yet.
pub const STARTUP_POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Number of routers that poll the same one in their zone. Two levels then serve 272 routers, more
/// than the 187 of a zone at the target size of the system.
const TREE_FANOUT: usize = 16;

/// Time within which an answer of the store spreads by polls from a reader to its whole zone.
const ZONE_SPREAD_TIME: time::Duration = time::Duration::from_millis(300);

/// Index of a router among the ready routers of its zone, sorted by name. Index 0 is the reader,
/// and each other router polls its parent, which has a lower index.
///
/// Routers may disagree for a moment about who is ready. Then two of them read the store, or none
/// does until [`ReaderLiveness`] shows that the answers are too old.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZonePosition(pub usize);

impl ZonePosition {
    /// Whether this router reads the store for its zone.
    #[must_use]
    pub const fn is_reader(self) -> bool {
        self.0 == 0
    }

    /// Index of the router to poll; `None` for the reader.
    #[must_use]
    pub fn parent(self) -> Option<usize> {
        Some(self.0.checked_sub(1)? / TREE_FANOUT)
    }

    /// Number of polls from this router up to the reader, 0 for the reader itself.
    #[must_use]
    pub fn depth(self) -> u32 {
        self.parent().map_or(0, |parent| 1 + Self(parent).depth())
    }
}

/// Time between two polls in a zone of `routers`. It gets shorter as the tree gets deeper, so that
/// updates arrive no later in a large zone than in a small one.
#[must_use]
pub fn poll_interval(routers: usize) -> time::Duration {
    ZONE_SPREAD_TIME / ZonePosition(routers.saturating_sub(1)).depth().max(1)
}

/// The peers that a router polls, and how often.
#[derive(Clone, Debug)]
pub struct PeerSelection {
    /// At most one router of the same zone and one more, normally of another zone.
    pub peers: Vec<peer_wire::MemberWire>,
    /// Pause between two polls.
    pub interval: time::Duration,
}

/// Chooses the peers to poll among the ready routers `ready`.
///
/// These are the parent in this router's zone and the reader of one other zone, picked at random,
/// or any other router if there is no other zone. With a recent answer from its own zone, a router
/// that is not the reader polls the parent alone.
#[must_use]
pub fn choose_peers(
    router: &str,
    zone: &str,
    ready: Vec<peer_wire::MemberWire>,
    has_recent_zone_answer: bool,
    random: &mut fastrand::Rng,
) -> PeerSelection {
    let (mut near, mut far): (Vec<_>, Vec<_>) = ready
        .into_iter()
        .filter(|member| member.router != router)
        .partition(|member| member.zone == zone);
    near.sort_unstable_by(|one, other| one.router.cmp(&other.router));
    let position = near.partition_point(|member| member.router.as_str() < router);
    let interval = poll_interval(near.len() + 1);
    let parent = ZonePosition(position).parent();
    let parent = parent.map(|index| near[index].clone());
    if parent.is_some() && has_recent_zone_answer {
        let peers = parent.into_iter().collect();
        return PeerSelection { peers, interval };
    }
    far.sort_unstable_by(|one, other| (&one.zone, &one.router).cmp(&(&other.zone, &other.router)));
    far.dedup_by(|later, first| later.zone == first.zone);
    let other = random.choice(&far).or_else(|| random.choice(&near));
    let peers = parent.into_iter().chain(other.cloned()).collect();
    PeerSelection { peers, interval }
}

/// When the store last answered a reader, as far as this router knows.
///
/// A reader that the store has stopped answering only notices when its call times out. So the time
/// of the last answer counts, not whether the reader assumes that it is up to date.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReaderLiveness {
    answered_at: Option<boot_clock::BootInstant>,
}

impl ReaderLiveness {
    /// Records that the store answered a reader at `answered_at` or later.
    pub fn record_answer(&mut self, answered_at: boot_clock::BootInstant) {
        self.answered_at = self.answered_at.max(Some(answered_at));
    }

    /// Whether the last answer is recent enough to leave reading the store to others.
    #[must_use]
    pub fn has_recent_answer(&self, timing: ReadTiming, now: boot_clock::BootInstant) -> bool {
        self.age(now).is_some_and(|age| age < timing.takeover_age)
    }

    /// Whether the last answer is recent enough to poll no other zone, if only answers known in
    /// this router's zone were recorded.
    #[must_use]
    pub fn has_recent_zone_answer(&self, timing: ReadTiming, now: boot_clock::BootInstant) -> bool {
        self.age(now).is_some_and(|age| age < timing.cross_zone_age)
    }

    /// Time since the store last answered a reader; `None` if no answer is known.
    #[must_use]
    pub fn age(&self, now: boot_clock::BootInstant) -> Option<time::Duration> {
        Some(now.since(self.answered_at?))
    }
}

/// Pause after the first failed call to the store; doubles with each consecutive failure.
const INITIAL_PAUSE: time::Duration = time::Duration::from_millis(200);

/// Longest pause of a reader, whose calls detect for its zone that the store is back.
const MAX_READER_PAUSE: time::Duration = time::Duration::from_millis(800);

/// Longest pause of other routers. If the store answers some of them while it rejects their
/// reader, the rest of the zone learns of it from them.
const MAX_OTHER_PAUSE: time::Duration = time::Duration::from_secs(3);

/// Exponential backoff between calls to a store that does not answer. Without it, an outage would
/// cause more calls than the rest of the day, from all routers at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreBackoff {
    failures: u32,
}

impl StoreBackoff {
    /// Records one more consecutive failure and returns the pause before the next call.
    pub fn next_pause(&mut self, is_reader: bool) -> time::Duration {
        let longest = if is_reader {
            MAX_READER_PAUSE
        } else {
            MAX_OTHER_PAUSE
        };
        let pause = INITIAL_PAUSE.saturating_mul(2_u32.saturating_pow(self.failures));
        self.failures = self.failures.saturating_add(1);
        pause.min(longest)
    }
}
