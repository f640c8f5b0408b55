//! Bounded ring of typed events, stamped by a hybrid logical clock.

use std::collections;
use std::fmt;
use std::time;

use crate::request::cursor;

/// Events kept by one process.
pub const RING_CAPACITY: usize = 8192;

/// Field of a serialized [`EventKind`] that names the kind.
const KIND_FIELD: &str = "event";

/// How far a stamp from elsewhere may be ahead of the wall clock.
pub const MAX_SKEW: time::Duration = time::Duration::from_secs(60);

/// Hybrid logical clock reading: wall time, then a counter that orders equal times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct HybridStamp {
    /// Microseconds since the Unix epoch, never behind any stamp seen.
    pub micros: u64,
    /// Orders events within one microsecond.
    pub counter: u32,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum EventKind {
    /// The process started.
    ProcessStarted,
    /// The router became ready to serve.
    Ready,
    /// The router noticed that it had been paused.
    PauseNoticed {
        /// Length of the pause.
        millis: u64,
    },
    /// The router began to drain.
    Draining,
    /// A configuration version came into force.
    VersionInForce {
        /// Its number.
        number: u64,
    },
    /// A member's state changed.
    MemberChanged {
        /// Router name and incarnation.
        member: String,
        /// New state.
        state: String,
    },
    /// An endpoint's state changed.
    EndpointChanged {
        /// Endpoint name.
        endpoint: String,
        /// New state.
        state: String,
    },
    /// A request was admitted.
    Admitted,
    /// A request was refused.
    Refused {
        /// Machine-readable reason.
        code: String,
        /// Whether it may have run.
        verdict: String,
    },
    /// An attempt was sent to an endpoint.
    AttemptStarted {
        /// Attempt identifier.
        attempt: String,
        /// Endpoint name.
        endpoint: String,
        /// Position at which it goes on.
        position: u32,
    },
    /// The first token of an attempt arrived.
    FirstToken {
        /// Attempt identifier.
        attempt: String,
    },
    /// An endpoint's stream broke off or went silent.
    AttemptLost {
        /// Attempt identifier.
        attempt: String,
        /// Endpoint name.
        endpoint: String,
        /// Tokens held.
        position: u32,
        /// What was seen.
        cause: String,
    },
    /// The stream of an attempt was attached again over a new connection.
    Reattached {
        /// Attempt identifier.
        attempt: String,
        /// Position at which it goes on.
        position: u32,
    },
    /// A caller went on at this router by its cursor.
    Resumed {
        /// Position of the cursor.
        position: u32,
    },
    /// The answer started again from its first token.
    Restarted {
        /// Why it could not go on.
        cause: String,
    },
    /// The answer was delivered whole.
    Finished {
        /// Tokens of the answer.
        tokens: u32,
    },
    /// The caller went away.
    CallerGone {
        /// Tokens delivered.
        position: u32,
    },
    /// An attempt was cancelled at its endpoint.
    Cancelled {
        /// Attempt identifier.
        attempt: String,
    },
    /// A generation was handed over to another router.
    HandedOver {
        /// The router that took it.
        router: String,
    },
    /// A call was sent to a plain service.
    CallSent {
        /// Endpoint name.
        endpoint: String,
    },
    /// A call was answered by a plain service.
    CallAnswered {
        /// HTTP status code.
        status: u16,
    },
    /// A call was forwarded to its home router.
    CallForwarded {
        /// The home.
        home: String,
    },
    /// A lease was taken, renewed after a lapse, or lost.
    LeaseChanged {
        /// Name of the lease.
        lease: String,
        /// Fencing number.
        fence: u64,
        /// Whether this process holds it.
        held: bool,
    },
    /// An order was sent to an engine.
    OrderSent {
        /// Endpoint name.
        endpoint: String,
        /// Fencing number.
        fence: u64,
    },
}

/// One event.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct TimelineEvent {
    /// When, in causal order.
    pub stamp: HybridStamp,
    /// Process name.
    pub process: String,
    /// Request key, for events of a request.
    pub request: Option<String>,
    /// What happened.
    #[serde(flatten)]
    pub kind: EventKind,
}

impl fmt::Display for TimelineEvent {
    /// One line: time, process, event, its fields, then the request key.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at = time::UNIX_EPOCH + time::Duration::from_micros(self.stamp.micros);
        let at = humantime::format_rfc3339_micros(at);
        let Ok(serde_json::Value::Object(fields)) = serde_json::to_value(&self.kind) else {
            return Err(fmt::Error);
        };
        let name = fields.get(KIND_FIELD).map(plain_text).unwrap_or_default();
        write!(f, "{at} {} {name}", self.process)?;
        for (field, value) in fields.iter().filter(|(field, _)| *field != KIND_FIELD) {
            write!(f, " {field}={}", field_text(value))?;
        }
        if let Some(request) = &self.request {
            write!(f, " request={request}")?;
        }
        Ok(())
    }
}

fn plain_text(value: &serde_json::Value) -> String {
    let text = value.as_str();
    text.map_or_else(|| value.to_string(), str::to_owned)
}

/// Text that would not read as one word, or could break the line, keeps quotes and escapes.
fn field_text(value: &serde_json::Value) -> String {
    let text = plain_text(value);
    let is_word = !text.is_empty() && text.chars().all(|c| c.is_ascii_graphic() && c != '"');
    if is_word {
        return text;
    }
    value.to_string()
}

/// Puts the events of many processes in one causal order.
///
/// An event that another could have caused, by a message between their processes, comes after it, as
/// stamps travel with messages. Events of one process keep their order. The same event told twice,
/// such as by a process that was asked under two addresses, is kept once.
#[must_use]
pub fn merge(lists: Vec<Vec<TimelineEvent>>) -> Vec<TimelineEvent> {
    let mut events: Vec<TimelineEvent> = lists.into_iter().flatten().collect();
    events.sort_by(|left, right| (left.stamp, &left.process).cmp(&(right.stamp, &right.process)));
    events.dedup();
    events
}

/// The events of one process, newest kept.
#[derive(Debug)]
pub struct EventRing {
    process: String,
    state: parking_lot::Mutex<RingState>,
}

#[derive(Debug, Default)]
struct RingState {
    last: HybridStamp,
    skewed: u64,
    events: collections::VecDeque<TimelineEvent>,
}

impl EventRing {
    /// An empty ring of the named process.
    #[must_use]
    pub fn new(process: impl Into<String>) -> Self {
        Self {
            process: process.into(),
            state: parking_lot::Mutex::default(),
        }
    }

    /// Records an event now; `request` is the request key.
    pub fn record(&self, request: Option<&str>, kind: EventKind) {
        let mut state = self.state.lock();
        let stamp = advance(state.last, wall_micros());
        state.last = stamp;
        if state.events.len() == RING_CAPACITY {
            state.events.pop_front();
        }
        let process = self.process.clone();
        let request = request.map(str::to_owned);
        state.events.push_back(TimelineEvent {
            stamp,
            process,
            request,
            kind,
        });
    }

    /// A stamp to send along with a message.
    pub fn stamp(&self) -> HybridStamp {
        let mut state = self.state.lock();
        state.last = advance(state.last, wall_micros());
        state.last
    }

    /// Takes note of a stamp that came with a message, so that later events follow it.
    ///
    /// A stamp further ahead than [`MAX_SKEW`] is cut to that bound and counted, so that one wrong
    /// clock does not run away with all others.
    pub fn observe(&self, seen: HybridStamp) {
        let bounded = clamp(seen, wall_micros());
        let mut state = self.state.lock();
        state.last = state.last.max(bounded);
        state.skewed += u64::from(bounded != seen);
    }

    /// Stamps so far that were ahead of this process by more than [`MAX_SKEW`].
    pub fn skewed(&self) -> u64 {
        self.state.lock().skewed
    }

    /// The kept events, oldest first; only those of `request` when it is given.
    pub fn events(&self, request: Option<&str>) -> Vec<TimelineEvent> {
        let state = self.state.lock();
        let matches = |event: &&TimelineEvent| {
            request.is_none_or(|request| event.request.as_deref() == Some(request))
        };
        state.events.iter().filter(matches).cloned().collect()
    }
}

/// The stamp after `last` at wall time `now_micros`.
#[must_use]
pub fn advance(last: HybridStamp, now_micros: u64) -> HybridStamp {
    if now_micros > last.micros {
        return HybridStamp {
            micros: now_micros,
            counter: 0,
        };
    }
    let Some(counter) = last.counter.checked_add(1) else {
        return HybridStamp {
            micros: last.micros.saturating_add(1),
            counter: 0,
        };
    };
    HybridStamp {
        micros: last.micros,
        counter,
    }
}

/// `seen`, or the latest acceptable stamp at wall time `now_micros` when it is beyond that.
#[must_use]
pub fn clamp(seen: HybridStamp, now_micros: u64) -> HybridStamp {
    let skew = u64::try_from(MAX_SKEW.as_micros()).unwrap_or(u64::MAX);
    let latest = now_micros.saturating_add(skew);
    if seen.micros <= latest {
        return seen;
    }
    HybridStamp {
        micros: latest,
        counter: 0,
    }
}

/// Wall time in microseconds since the Unix epoch.
#[must_use]
pub fn wall_micros() -> u64 {
    let now = time::SystemTime::now();
    let elapsed = now.duration_since(time::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}

/// Text form of an attempt in events.
#[must_use]
pub fn attempt_text(attempt: cursor::AttemptId) -> String {
    attempt.to_string()
}
