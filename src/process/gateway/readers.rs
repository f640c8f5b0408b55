//! Which routers follow the platform's store, so that calls grow with zones and not with routers.
//!
//! One ready router in each availability zone does, and the others ask it; in large zones through one
//! another, so that no router answers all others. A router that gets no word reads the store itself,
//! so that a lost reader delays nothing for long.

use std::time;

use crate::connection::peer_wire;
use crate::process::gateway::boot_clock;

/// Time that a router needs to read the store itself once it gets no word any more.
const OWN_READ: time::Duration = time::Duration::from_millis(700);

/// Time before a router reads the store itself in which it asks another zone.
const OTHER_ZONE_LEAD: time::Duration = time::Duration::from_millis(300);

/// Part of the time for a change that is no wait of a reader's call: the pause behind the call, the way
/// through a zone, and another router that steps in.
const WAY_TIME: time::Duration = time::Duration::from_millis(800);

/// Shortest and longest time for a change that the paces follow. Above it, keys would come near the age
/// at which they are not taken any more.
const CHANGE_RANGE: [time::Duration; 2] =
    [time::Duration::from_secs(2), time::Duration::from_secs(4)];

/// Waits and limits of following the store, from the time in which a change has to be known.
///
/// The load it answers: calls to the store, which are priced and limited, on a calm day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadTiming {
    /// Longest wait of a call of a reader for changes.
    pub long_poll_wait: time::Duration,
    /// Time since the store last answered a reader after which a router follows the store itself. The
    /// wait of a call, the pause behind it and the time to the next question fit in; and the rest of
    /// the time for a change is enough to read it.
    pub takeover_age: time::Duration,
    /// Time since the store last answered a reader, as the own zone tells, after which another zone is
    /// asked too. The store may turn away a reader without its notice; until then, what the own zone
    /// tells is the same and crosses no zone.
    pub cross_zone_age: time::Duration,
}

impl ReadTiming {
    /// The pace where a change has to be known within `change`.
    #[must_use]
    pub fn new(change: time::Duration) -> Self {
        let [shortest, longest] = CHANGE_RANGE;
        let change = change.clamp(shortest, longest);
        let takeover_age = change.saturating_sub(OWN_READ);
        Self {
            long_poll_wait: change.saturating_sub(WAY_TIME) / 2,
            takeover_age,
            cross_zone_age: takeover_age.saturating_sub(OTHER_ZONE_LEAD),
        }
    }
}

/// Longest time that a router leaves reading to others at the first start of all, when nobody has callers
/// yet.
const FIRST_START_DELAY: time::Duration = time::Duration::from_millis(1_600);

/// Longest time that a router leaves reading to others at another start, at which callers may wait.
const START_DELAY: time::Duration = time::Duration::from_millis(500);

/// Time after its start from which a router reads the store itself, if no other router has told it what
/// the store holds by then.
///
/// The load it answers: many routers that start at once, as all do at first. Routers that others are
/// told to ask first begin at once; the rest by chance, so that few of them read before one can tell.
#[must_use]
pub fn first_read_delay(
    is_seed: bool,
    is_first_start: bool,
    random: &mut fastrand::Rng,
) -> time::Duration {
    if is_seed {
        return time::Duration::ZERO;
    }
    let longest = if is_first_start {
        FIRST_START_DELAY
    } else {
        START_DELAY
    };
    longest.mul_f64(0.5 + random.f64() / 2.0)
}

/// Time between two questions of a router that knows no configuration yet.
pub const STARTUP_POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Routers that ask the same one of their zone: two questions in a row then reach 272 routers, more than
/// the 187 that a zone of the size aimed at has.
const ASKERS: usize = 16;

/// Time from the store's answer at a reader to the last router of its zone.
const ZONE_DELAY: time::Duration = time::Duration::from_millis(300);

/// Where a router stands among the ready routers of its zone, by name: the first reads the store, and
/// each of the others asks one that stands before it. Holds how many stand before.
///
/// Routers may disagree for a moment about who is ready; then two read, or none does and
/// [`ReaderLiveness`] steps in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZonePosition(pub usize);

impl ZonePosition {
    /// Whether this router reads for its zone.
    #[must_use]
    pub const fn is_reader(self) -> bool {
        self.0 == 0
    }

    /// The place of the router to ask; `None` for the reader.
    #[must_use]
    pub fn parent(self) -> Option<usize> {
        Some(self.0.checked_sub(1)? / ASKERS)
    }

    /// Questions in a row from this place to the reader.
    #[must_use]
    pub fn depth(self) -> u32 {
        self.parent().map_or(0, |place| 1 + Self(place).depth())
    }
}

/// Time between two questions in a zone of `routers`: what one of them passes on is not older in a
/// large zone than in a small one.
#[must_use]
pub fn poll_interval(routers: usize) -> time::Duration {
    ZONE_DELAY / ZonePosition(routers.saturating_sub(1)).depth().max(1)
}

/// Whom a router asks, and how long it waits until it asks again.
#[derive(Clone, Debug)]
pub struct PeerSelection {
    /// One of the own zone and one of another zone, if any.
    pub peers: Vec<peer_wire::MemberWire>,
    /// Pause before the questions.
    pub interval: time::Duration,
}

/// One router of the own zone that is nearer to its reader, and the reader of one other zone, or any
/// router where there is no other zone, unless the own zone's word is young.
///
/// `ready` are the ready routers.
#[must_use]
pub fn choose_peers(
    router: &str,
    zone: &str,
    ready: Vec<peer_wire::MemberWire>,
    has_zone_word: bool,
    random: &mut fastrand::Rng,
) -> PeerSelection {
    let (mut near, mut far): (Vec<_>, Vec<_>) = ready
        .into_iter()
        .filter(|member| member.router != router)
        .partition(|member| member.zone == zone);
    near.sort_unstable_by(|one, other| one.router.cmp(&other.router));
    let place = near.partition_point(|member| member.router.as_str() < router);
    let interval = poll_interval(near.len() + 1);
    let asked = ZonePosition(place).parent();
    let asked = asked.map(|place| near[place].clone());
    if asked.is_some() && has_zone_word {
        let peers = asked.into_iter().collect();
        return PeerSelection { peers, interval };
    }
    far.sort_unstable_by(|one, other| (&one.zone, &one.router).cmp(&(&other.zone, &other.router)));
    far.dedup_by(|later, first| later.zone == first.zone);
    let other = random.choice(&far).or_else(|| random.choice(&near));
    let peers = asked.into_iter().chain(other.cloned()).collect();
    PeerSelection { peers, interval }
}

/// When the store last answered a reader, as far as this router was told.
///
/// A reader that the store has stopped to answer does not know it before its call has waited in
/// vain; so what counts is the answer, and not that the reader believes to follow.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReaderLiveness {
    word: Option<boot_clock::BootInstant>,
}

impl ReaderLiveness {
    /// Takes note that the store answered a reader at `answered` or later.
    pub fn record_answer(&mut self, answered: boot_clock::BootInstant) {
        self.word = self.word.max(Some(answered));
    }

    /// Whether the last word is young enough to leave reading to others.
    #[must_use]
    pub fn has_recent_answer(&self, pace: ReadTiming, now: boot_clock::BootInstant) -> bool {
        self.age(now).is_some_and(|age| age < pace.takeover_age)
    }

    /// Whether the last word, all of it from the own zone, is young enough to ask no other zone.
    #[must_use]
    pub fn has_recent_zone_answer(&self, pace: ReadTiming, now: boot_clock::BootInstant) -> bool {
        self.age(now).is_some_and(|age| age < pace.cross_zone_age)
    }

    /// Time since the store last answered a reader.
    #[must_use]
    pub fn age(&self, now: boot_clock::BootInstant) -> Option<time::Duration> {
        Some(now.since(self.word?))
    }
}

/// First pause after a call to the store that failed.
const FIRST_PAUSE: time::Duration = time::Duration::from_millis(200);

/// Longest pause of a reader, which finds out for its zone that the store is back.
const READER_PAUSE: time::Duration = time::Duration::from_millis(800);

/// Longest pause of other routers. Those that the store serves while it turns their reader away are
/// found by one another.
const OTHER_PAUSE: time::Duration = time::Duration::from_secs(3);

/// Pauses between calls to a store that gives no answers: without them, an outage would draw more
/// calls than the whole day, from every router at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreBackoff {
    failures: u32,
}

impl StoreBackoff {
    /// The pause after one more failure in a row.
    pub fn next_pause(&mut self, is_reader: bool) -> time::Duration {
        let longest = if is_reader { READER_PAUSE } else { OTHER_PAUSE };
        let pause = FIRST_PAUSE.saturating_mul(2_u32.saturating_pow(self.failures));
        self.failures = self.failures.saturating_add(1);
        pause.min(longest)
    }
}
