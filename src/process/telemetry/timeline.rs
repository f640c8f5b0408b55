//! Bounded ring buffer of typed events with hybrid logical clock timestamps.

use std::collections;
use std::fmt;
use std::time;

use crate::request::cursor;

/// Maximum number of events kept by one process; the oldest are evicted first.
pub const RING_CAPACITY: usize = 8192;

/// Field of a serialized [`EventKind`] that names the kind.
const KIND_FIELD: &str = "event";

/// Maximum amount by which a received timestamp may be ahead of the local wall clock.
pub const MAX_SKEW: time::Duration = time::Duration::from_secs(60);

/// Hybrid logical clock timestamp: wall time, then a counter that orders equal times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct HybridStamp {
    /// Microseconds since the Unix epoch; never decreases at one process.
    pub micros: u64,
    /// Orders events within one microsecond.
    pub counter: u32,
}

/// Type of an event and its fields.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum EventKind {
    /// The process started.
    ProcessStarted,
    /// The router became ready to serve.
    Ready,
    /// The router detected that its process had been paused.
    PauseNoticed {
        /// Length of the pause, in milliseconds.
        millis: u64,
    },
    /// The router started draining.
    Draining,
    /// A configuration version became active.
    VersionInForce {
        /// Number of the configuration version.
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
        /// Machine-readable error code.
        code: String,
        /// Whether the request may have been executed.
        verdict: String,
    },
    /// An attempt was sent to an endpoint.
    AttemptStarted {
        /// Attempt identifier.
        attempt: String,
        /// Endpoint name.
        endpoint: String,
        /// Token position at which the attempt continues.
        position: u32,
    },
    /// The first token of an attempt arrived.
    FirstToken {
        /// Attempt identifier.
        attempt: String,
    },
    /// An endpoint's stream was interrupted or timed out.
    AttemptLost {
        /// Attempt identifier.
        attempt: String,
        /// Endpoint name.
        endpoint: String,
        /// Number of tokens received so far.
        position: u32,
        /// Observed failure.
        cause: String,
    },
    /// The stream of an attempt was reattached over a new connection.
    Reattached {
        /// Attempt identifier.
        attempt: String,
        /// Token position at which the attempt continues.
        position: u32,
    },
    /// A caller resumed its request at this router with a cursor.
    Resumed {
        /// Token position of the cursor.
        position: u32,
    },
    /// The response was restarted from its first token.
    Restarted {
        /// Why the response could not be continued.
        cause: String,
    },
    /// The complete response was delivered.
    Finished {
        /// Number of tokens in the response.
        tokens: u32,
    },
    /// The caller disconnected.
    CallerGone {
        /// Number of tokens delivered.
        position: u32,
    },
    /// An attempt was cancelled at its endpoint.
    Cancelled {
        /// Attempt identifier.
        attempt: String,
    },
    /// A generation was handed over to another router.
    HandedOver {
        /// Name of the router that took over.
        router: String,
    },
    /// A call was sent to a plain service.
    CallSent {
        /// Endpoint name.
        endpoint: String,
    },
    /// A plain service responded to a call.
    CallAnswered {
        /// HTTP status code.
        status: u16,
    },
    /// A call was forwarded to its home router.
    CallForwarded {
        /// Home name of the call.
        home: String,
    },
    /// A lease was taken, renewed after a lapse, or lost.
    LeaseChanged {
        /// Lease name.
        lease: String,
        /// Fencing token.
        fence: u64,
        /// Whether this process holds the lease.
        held: bool,
    },
    /// A command was sent to an engine.
    OrderSent {
        /// Endpoint name.
        endpoint: String,
        /// Fencing token.
        fence: u64,
    },
}

/// An event with its timestamp and source.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct TimelineEvent {
    /// Timestamp; its order is consistent with causality.
    pub stamp: HybridStamp,
    /// Name of the process that recorded the event.
    pub process: String,
    /// Request key; `None` for events that concern no request.
    pub request: Option<String>,
    /// Event type and its fields.
    #[serde(flatten)]
    pub kind: EventKind,
}

impl fmt::Display for TimelineEvent {
    /// Formats one line: time, process, event name, fields, then the request key.
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

/// Formats a field value; quotes and escapes text that is empty or not printable ASCII without
/// spaces and quotes.
fn field_text(value: &serde_json::Value) -> String {
    let text = plain_text(value);
    let is_word = !text.is_empty() && text.chars().all(|c| c.is_ascii_graphic() && c != '"');
    if is_word {
        return text;
    }
    value.to_string()
}

/// Merges the events of several processes into one causal order.
///
/// Timestamps travel with messages between processes, so an event sorts after every event that
/// could have caused it. Events of one process keep their order. Duplicates, such as from a process
/// queried under two addresses, are removed.
#[must_use]
pub fn merge(lists: Vec<Vec<TimelineEvent>>) -> Vec<TimelineEvent> {
    let mut events: Vec<TimelineEvent> = lists.into_iter().flatten().collect();
    events.sort_by(|left, right| (left.stamp, &left.process).cmp(&(right.stamp, &right.process)));
    events.dedup();
    events
}

/// Ring buffer with the most recent events of one process.
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
    /// Creates an empty ring buffer for the process named `process`.
    #[must_use]
    pub fn new(process: impl Into<String>) -> Self {
        Self {
            process: process.into(),
            state: parking_lot::Mutex::default(),
        }
    }

    /// Records an event with the current timestamp; `request` is the request key.
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

    /// Advances the clock and returns a timestamp to send with a message.
    pub fn stamp(&self) -> HybridStamp {
        let mut state = self.state.lock();
        state.last = advance(state.last, wall_micros());
        state.last
    }

    /// Merges a timestamp received with a message, so that later events sort after it.
    ///
    /// A timestamp more than [`MAX_SKEW`] ahead is clamped to that bound and counted, so that one
    /// wrong clock cannot advance the clocks of all other processes.
    pub fn observe(&self, seen: HybridStamp) {
        let bounded = clamp(seen, wall_micros());
        let mut state = self.state.lock();
        state.last = state.last.max(bounded);
        state.skewed += u64::from(bounded != seen);
    }

    /// Number of received timestamps that were more than [`MAX_SKEW`] ahead of this process.
    pub fn skewed(&self) -> u64 {
        self.state.lock().skewed
    }

    /// Returns the buffered events, oldest first; only those of `request` when it is given.
    pub fn events(&self, request: Option<&str>) -> Vec<TimelineEvent> {
        let state = self.state.lock();
        let matches = |event: &&TimelineEvent| {
            request.is_none_or(|request| event.request.as_deref() == Some(request))
        };
        state.events.iter().filter(matches).cloned().collect()
    }
}

/// Returns the timestamp that follows `last` at wall time `now_micros`.
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

/// Limits `seen` to at most [`MAX_SKEW`] ahead of wall time `now_micros`.
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

/// Returns the system time in microseconds since the Unix epoch.
#[must_use]
pub fn wall_micros() -> u64 {
    let now = time::SystemTime::now();
    let elapsed = now.duration_since(time::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}

/// Formats an attempt identifier for use in events.
#[must_use]
pub fn attempt_text(attempt: cursor::AttemptId) -> String {
    attempt.to_string()
}
