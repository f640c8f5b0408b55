//! What endpoints say of themselves in their answers is acted on, whatever the store says.

use std::thread;
use std::time;

use crate::common;
use crate::support::system::System;
use crate::support::{caller, stand_in};

/// Requests of each wave; by chance alone an endpoint would get many of them.
const WAVE: usize = 12;

/// Sends a wave of requests to `path`, one after the other.
fn wave(system: &System, path: &str, name: &str) -> Vec<caller::Answer> {
    let ids = (0..WAVE).map(|number| format!("{name}{number}"));
    let answers = ids.map(|id| System::send(system.ip(), path, &id));
    answers.map(|answer| answer.expect("an answer")).collect()
}

fn seen_of(endpoint: &stand_in::EndpointStandIn, name: &str) -> usize {
    let ids = endpoint.seen().into_iter();
    let ids = ids.filter_map(|seen| seen.field("Kumquatpulley-Request-Id"));
    ids.filter(|id| id.starts_with(name)).count()
}

/// The store goes on to say that the endpoint is ready.
fn an_endpoint_that_says_it_leaves_gets_nothing_new(path: &str) {
    let system = System::start(1);
    system.first.set_mood(stand_in::EndpointMood::Leaves);
    system.second.set_mood(stand_in::EndpointMood::Full);
    let heard = System::send(system.ip(), path, "heard").expect("an answer");
    assert_eq!(heard.head.status, 200, "{}", system.logs());
    system.second.set_mood(stand_in::EndpointMood::Sound);
    let answers = wave(&system, path, "later");
    assert!(answers.iter().all(|answer| answer.is_whole));
    assert_eq!(seen_of(&system.first, "later"), 0, "{}", system.logs());
    // A new life of it is another endpoint.
    let entry = system.first.entry("m", "z1", "ready");
    let entry = String::from_utf8(entry).expect("text");
    let entry = entry.replace(r#""born":1"#, r#""born":2"#);
    system.first.set_mood(stand_in::EndpointMood::Sound);
    system.store.put("servers", "e1", entry.as_bytes());
    system.wait_for("the new life is used", || {
        System::send(system.ip(), path, "new").expect("an answer");
        seen_of(&system.first, "new") > 0
    });
}

/// Nobody stays: the request is refused at once, and has not run.
fn nothing_is_sent_when_all_endpoints_leave() {
    let system = System::start(1);
    system.set_moods(stand_in::EndpointMood::Leaves);
    system.wait_for("both have said so", || {
        let answer = System::send(system.ip(), "/once/1", "heard").expect("an answer");
        answer.head.status == 503
    });
    let began = time::Instant::now();
    let answer = System::send(system.ip(), "/once/1", "late").expect("an answer");
    assert_eq!(answer.head.status, 503);
    assert!(answer.head.headers.get("Retry-After").is_some());
    assert!(began.elapsed() < time::Duration::from_millis(500));
    assert!(system.arrivals("late").is_empty());
}

/// All endpoints are full for two seconds: callers are told so at once, and nothing reaches an endpoint
/// before the time that it gave is over.
fn pausing_endpoints_get_nothing_and_callers_learn_when_to_return(path: &str) {
    let system = System::start(1);
    system.set_moods(stand_in::EndpointMood::Pauses);
    let first = System::send(system.ip(), path, "first").expect("an answer");
    let paused = time::Instant::now();
    assert_eq!(first.head.status, 503);
    assert_eq!(system.arrivals("first").len(), 2, "{}", system.logs());
    let answers = wave(&system, path, "soon");
    // The wave must lie inside the pause for the rest to mean anything.
    assert!(paused.elapsed() < stand_in::PAUSE, "{}", system.logs());
    for answer in answers {
        assert_eq!(answer.head.status, 503);
        let delay = answer.head.headers.get("Retry-After").expect("a delay");
        let delay: f64 = delay.parse().expect("seconds");
        assert!(
            delay > 0.0 && delay <= 1.25 * stand_in::PAUSE.as_secs_f64(),
            "{delay}"
        );
    }
    assert_eq!(
        seen_of(&system.first, "soon") + seen_of(&system.second, "soon"),
        0
    );
    thread::sleep(stand_in::PAUSE.saturating_sub(paused.elapsed()));
    system.set_moods(stand_in::EndpointMood::Sound);
    let back = System::send(system.ip(), path, "back").expect("an answer");
    assert_eq!(back.head.status, 200, "{}", system.logs());
}

common::cases! {
    leaving_call: an_endpoint_that_says_it_leaves_gets_nothing_new("/once/1");
    leaving_stream: an_endpoint_that_says_it_leaves_gets_nothing_new("/stream/1");
    all_leaving: nothing_is_sent_when_all_endpoints_leave();
    pausing_call: pausing_endpoints_get_nothing_and_callers_learn_when_to_return("/once/1");
    pausing_stream: pausing_endpoints_get_nothing_and_callers_learn_when_to_return("/stream/1");
}
