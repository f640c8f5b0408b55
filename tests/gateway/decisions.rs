//! What follows an attempt, which engine gets a prompt, and when a stream is lost.

use std::collections;
use std::time;

use kumquatpulley::connection::peer_wire;
use kumquatpulley::process::gateway::{boot_clock, readers, stopping};
use kumquatpulley::request::relay::{choice, copy, decision, events, fleet, report, silence};
use kumquatpulley::request::verdict;
use kumquatpulley::version::traffic;
use proptest::prelude::*;

use crate::common;

const IDEMPOTENT: traffic::RepeatKind = traffic::RepeatKind::Idempotent;
const ONCE: traffic::RepeatKind = traffic::RepeatKind::Once;
const RESUMABLE: traffic::RepeatKind = traffic::RepeatKind::Stream { is_resumable: true };
const BOUND_STREAM: traffic::RepeatKind = traffic::RepeatKind::Stream {
    is_resumable: false,
};
const NOT_RUN: decision::NextStep = decision::NextStep::GiveUp(verdict::RunVerdict::NotRun);
const MAY_HAVE_RUN: decision::NextStep =
    decision::NextStep::GiveUp(verdict::RunVerdict::MayHaveRun);

fn step_is(
    kind: traffic::RepeatKind,
    end: decision::AttemptEnd,
    ran: u32,
    offered: u32,
    step: decision::NextStep,
) {
    let terms = decision::RepeatTerms {
        kind,
        ran,
        offered,
        attempts: 2,
        has_time: true,
    };
    assert_eq!(decision::next_step(end, &terms), step);
}

fn no_repeat_without_time() {
    let terms = decision::RepeatTerms {
        kind: IDEMPOTENT,
        ran: 1,
        offered: 1,
        attempts: 2,
        has_time: false,
    };
    let step = decision::next_step(decision::AttemptEnd::Lost, &terms);
    assert_eq!(step, MAY_HAVE_RUN);
}

fn asked(waiting: u32, reading: u32, listed: u32, recent: u32) -> choice::AskedEngine {
    let run = report::EngineRun {
        request: "other".to_owned(),
        tokens: 8_000,
        events: 1,
    };
    choice::AskedEngine {
        report: Some(report::EngineReport {
            is_leaving: false,
            waiting,
            running: reading + listed,
            memory_used: 8_000,
            memory_total: 88_000,
            runs: Some(vec![run; listed as usize]),
        }),
        recent,
    }
}

fn chosen_is(engines: &[choice::AskedEngine], index: Option<usize>) {
    assert_eq!(choice::by_load(engines, 9_000).first().copied(), index);
}

/// Engines of a replay, the same number in each of two zones.
const ENGINES: usize = 18;

/// Time for which an engine reads one prompt, in milliseconds; of the order of the median time to a first
/// event on the users' bench.
const READ_MS: u64 = 1_030;

/// One arrival of a replay.
struct ReplayedArrival {
    now: u64,
    /// Key of the prompt; a hot one comes with every third arrival.
    key: usize,
}

/// Replays arrivals of prompts at engines that read one at a time: the load that the choice answers.
///
/// `choose` gets the arrival and when each engine is free, and names an engine. Returns the mean wait in
/// milliseconds.
fn replayed_wait(
    mut choose: impl FnMut(&ReplayedArrival, &[u64; ENGINES], &mut fastrand::Rng) -> usize,
) -> u64 {
    const ARRIVALS: u64 = 400;
    const GAP_MS: u64 = 210;
    let mut random = fastrand::Rng::with_seed(7);
    let mut free_at = [0_u64; ENGINES];
    let mut waited = 0;
    for number in 0..ARRIVALS {
        let is_hot = number % 3 == 0;
        let arrival = ReplayedArrival {
            // Callers come in clumps of three.
            now: number / 3 * 3 * GAP_MS,
            key: if is_hot { 0 } else { random.usize(1..1_000) },
        };
        let engine = choose(&arrival, &free_at, &mut random);
        let begins = free_at[engine].max(arrival.now);
        waited += begins - arrival.now;
        free_at[engine] = begins + READ_MS;
    }
    waited / ARRIVALS
}

/// The least loaded of three engines that are asked.
fn least_loaded(
    arrival: &ReplayedArrival,
    free_at: &[u64; ENGINES],
    random: &mut fastrand::Rng,
) -> usize {
    let sample = random.choose_multiple(0..ENGINES, choice::ASKED_ENGINES);
    let engines: Vec<choice::AskedEngine> = sample
        .iter()
        .map(|engine| {
            let backlog = free_at[*engine].saturating_sub(arrival.now);
            asked(
                u32::try_from(backlog.div_ceil(READ_MS)).unwrap_or(u32::MAX),
                0,
                0,
                0,
            )
        })
        .collect();
    sample[choice::by_load(&engines, 0)[0]]
}

/// A hot key: a third of all prompts. The baseline sends each key to an engine of its own, which may hold
/// its prefix.
fn a_hot_key_is_spread_over_engines() {
    let baseline = replayed_wait(|arrival, _free_at, _random| arrival.key % ENGINES);
    let chosen = replayed_wait(least_loaded);
    assert!(
        chosen * 3 < baseline,
        "mean wait {chosen} ms by load, {baseline} ms by key"
    );
}

/// A shift: all callers come to routers of one zone. The baseline keeps to the engines of that zone.
fn a_shift_to_one_zone_is_spread_over_all() {
    let baseline = replayed_wait(|_arrival, _free_at, random| random.usize(0..ENGINES / 2));
    let chosen = replayed_wait(least_loaded);
    assert!(
        chosen * 3 < baseline,
        "mean wait {chosen} ms in all zones, {baseline} ms in one"
    );
}

fn asking_engines_shortens_the_wait_for_clumps_of_prompts() {
    let baseline = replayed_wait(|_arrival, _free_at, random| random.usize(0..ENGINES));
    let chosen = replayed_wait(least_loaded);
    assert!(
        chosen * 3 < baseline,
        "mean wait {chosen} ms with reports, {baseline} ms without"
    );
}

fn report_of(running: u32, waiting: u32, listed: &[&str]) -> report::EngineReport {
    let runs = listed.iter().map(|request| report::EngineRun {
        request: (*request).to_owned(),
        tokens: 1,
        events: 1,
    });
    report::EngineReport {
        is_leaving: false,
        waiting,
        running,
        memory_used: 0,
        memory_total: 1,
        runs: Some(runs.collect()),
    }
}

fn held(reports: &[report::EngineReport], expected: &[bool]) {
    let mut watch = report::RunWatch::default();
    let seen: Vec<bool> = reports
        .iter()
        .map(|report| watch.is_held(report, "own"))
        .collect();
    assert_eq!(seen, expected);
}

fn silence_leaves_time_to_go_on_within_the_wanted_pause() {
    let goal = time::Duration::from_millis(700);
    let limits = silence::SilenceLimits::new(Some(goal));
    // The report's answer and the way to another engine have to fit behind the limits.
    assert!(limits.ask + time::Duration::from_millis(400) < goal);
    assert!(limits.leave + time::Duration::from_millis(150) < goal);
    assert!(limits.ask < limits.leave);
}

fn a_stopping_router_takes_streams_that_end_in_time() {
    let mut pace = stopping::StreamPace::default();
    let seconds = time::Duration::from_secs;
    assert!(pace.fits(seconds(1)), "nothing is known yet");
    for _stream in 0..20 {
        pace.record(seconds(5));
    }
    assert!(pace.fits(seconds(7)));
    assert!(!pace.fits(seconds(6)));
    assert!(!pace.fits(seconds(3)));
}

fn member(router: &str, zone: &str) -> peer_wire::MemberWire {
    peer_wire::MemberWire {
        router: router.to_owned(),
        incarnation: 1,
        rank: 0,
        version: 1,
        zone: zone.to_owned(),
        caller_address: String::new(),
        peer_address: String::new(),
        admin_address: String::new(),
        config: 0,
        demand: Vec::new(),
    }
}

fn zone_of(zone: &str, count: usize) -> Vec<peer_wire::MemberWire> {
    let numbers = 0..count;
    let members = numbers.map(|number| member(&format!("{zone}-{number:04}"), zone));
    members.collect()
}

fn asked_by(
    router: &str,
    ready: &[peer_wire::MemberWire],
    has_zone_word: bool,
) -> (Vec<String>, time::Duration) {
    let mut random = fastrand::Rng::with_seed(7);
    let asked = readers::choose_peers(router, "a", ready.to_vec(), has_zone_word, &mut random);
    let names = asked.peers.into_iter().map(|peer| peer.router);
    (names.collect(), asked.interval)
}

fn one_router_of_a_zone_reads() {
    let reads = |place| readers::ZonePosition(place).is_reader();
    assert_eq!((0..300).filter(|place| reads(*place)).count(), 1);
    // The routers of a small zone ask the reader; a router that is not ready yet is not listed, and
    // the listed ones read for it.
    let zone = zone_of("a", 4);
    for router in ["a-0001", "a-0003", "a-0009"] {
        assert_eq!(asked_by(router, &zone, true).0, ["a-0000"]);
    }
    assert_eq!(asked_by("a-0000", &[], true).0, Vec::<String>::new());
}

/// Found by a sweep of 300 routers: all 75 of a zone asked its reader, and a quarter of those of the
/// other zones besides; it sent 2.9 MB/s, most of it between zones. The routers of a zone aimed at
/// (2,800 in 15 zones), and the questions that each gets.
fn no_router_answers_a_whole_zone() {
    let zone = zone_of("a", 187);
    let mut asks = collections::HashMap::new();
    for router in &zone {
        let (names, interval) = asked_by(&router.router, &zone, true);
        for name in names.iter().filter(|_name| router.router != "a-0000") {
            *asks.entry(name.clone()).or_insert(0) += 1;
            assert!(*name < router.router, "asked of one that is nearer");
        }
        // Two questions in a row take no longer than one in a small zone.
        let depth = readers::ZonePosition(187 - 1).depth();
        assert_eq!(depth, 2);
        assert!(interval * depth <= asked_by("a-0001", &zone_of("a", 4), true).1);
    }
    assert_eq!(asks.values().copied().max(), Some(16));
}

/// What the own zone tells is enough until its word grows old; a reader has none of its own zone.
fn another_zone_is_asked_when_the_own_word_is_old() {
    let mut ready = zone_of("a", 4);
    ready.extend(zone_of("b", 4));
    assert_eq!(asked_by("a-0002", &ready, true).0, ["a-0000"]);
    assert_eq!(asked_by("a-0002", &ready, false).0, ["a-0000", "b-0000"]);
    assert_eq!(asked_by("a-0000", &ready, true).0, ["b-0000"]);
    let pace = readers::ReadTiming::new(time::Duration::from_secs(2));
    let mut watch = readers::ReaderLiveness::default();
    let at = |millis| boot_clock::BootInstant(time::Duration::from_millis(millis));
    assert!(!watch.has_recent_zone_answer(pace, at(0)));
    watch.record_answer(at(1_000));
    assert!(watch.has_recent_zone_answer(pace, at(1_900)));
    // Another zone is asked before the store is, and well within the two seconds in which a change
    // has to be known.
    assert!(
        !watch.has_recent_zone_answer(pace, at(2_000)) && watch.has_recent_answer(pace, at(2_000))
    );
}

fn event(text: &str) -> events::WholeEvent {
    let mut splitter = events::EventSplitter::default();
    splitter.input().extend_from_slice(text.as_bytes());
    splitter.next_event().expect("the event is whole")
}

fn an_event_comes_once() {
    let mut cursor = events::EventCursor::after(Some(4));
    assert_eq!(
        cursor.offer(&event("id: 4\ndata: a\n\n")),
        events::EventOffer::Repeated
    );
    assert_eq!(
        cursor.offer(&event("id: 5\ndata: b\n\n")),
        events::EventOffer::Accepted
    );
    assert_eq!(
        cursor.offer(&event("id: 5\ndata: b\n\n")),
        events::EventOffer::Repeated
    );
    assert_eq!(cursor.last(), Some(5));
    assert!(cursor.can_resume());
}

fn an_unnumbered_event_ends_resumption() {
    let mut cursor = events::EventCursor::default();
    assert_eq!(
        cursor.offer(&event("data: a\n\n")),
        events::EventOffer::Accepted
    );
    assert!(!cursor.can_resume());
}

fn a_comment_is_no_event() {
    let mut cursor = events::EventCursor::after(Some(4));
    let comment = event(": still there\r\n\r\n");
    assert_eq!(cursor.offer(&comment), events::EventOffer::Comment);
    assert!(cursor.can_resume());
}

/// Found by reading: such a block was passed on, and the stream could not go on elsewhere any more.
fn an_unnumbered_event_among_numbered_ones_is_not_passed_on() {
    let mut cursor = events::EventCursor::after(Some(4));
    let foreign = event("data: of another stream\n\n");
    assert_eq!(cursor.offer(&foreign), events::EventOffer::Malformed);
    assert!(cursor.can_resume());
}

/// A stream that cannot go on elsewhere is not cut for a pause that its engine explains.
fn a_bound_stream_is_borne_longer() {
    let goal = time::Duration::from_millis(700);
    let resumable = silence::SilenceLimits::new(Some(goal));
    let bound = silence::SilenceLimits::bound();
    assert!(resumable.leave < goal);
    assert!(bound.leave > time::Duration::from_secs(5));
}

fn a_torn_event_is_held_back() {
    let mut splitter = events::EventSplitter::default();
    splitter
        .input()
        .extend_from_slice(b"id: 1\ndata: a\n\nid: 2\nda");
    let first = splitter.next_event().expect("whole");
    assert_eq!(first.id, Some(1));
    assert_eq!(splitter.next_event(), None);
    assert!(splitter.is_torn());
}

fn held_copy(moved_at: Option<time::Instant>) -> copy::HeldCopy {
    let address = "10.0.0.1:80".parse().expect("an address");
    copy::HeldCopy {
        holder: fleet::ChosenEndpoint {
            key: fleet::EndpointKey::default(),
            name: "e1".to_owned(),
            address,
            zone: "z1".to_owned(),
        },
        moved: moved_at.map(|at| copy::MovedCopy {
            name: "h1".to_owned(),
            source: address,
            at,
        }),
    }
}

fn copy_step_is(age: Option<time::Duration>, is_sound: bool, step: copy::CopyStep) {
    let moved_at = time::Instant::now();
    let now = moved_at + age.unwrap_or_default();
    let held = held_copy(age.map(|_age| moved_at));
    assert_eq!(copy::copy_step(Some(&held), is_sound, now), step);
    let none = copy::copy_step(None, is_sound, now);
    assert_eq!(none, copy::CopyStep::Replace);
}

/// Streams of which an own engine is lost while they have no copy, of 10,000 that last eight seconds;
/// four zones of engines go one after the other, every six and a half seconds.
fn streams_without_a_copy(replaces: bool) -> usize {
    const LOST_AT: [u64; 5] = [4_000, 11_000, 17_000, 24_000, 30_000];
    const LIFE: u64 = 8_000;
    // A look every 200 ms, two questions, and the move.
    const MOVE: u64 = 500;
    let mut random = fastrand::Rng::with_seed(11);
    let stream = |random: &mut fastrand::Rng| {
        let lost_zones = LOST_AT.map(|_at| random.u8(0..4));
        let begins = random.u64(0..30_000);
        let zone = random.u8(0..4);
        let mut holder = (zone + random.u8(1..4)) % 4;
        let mut sound_from = begins;
        for (at, lost) in LOST_AT.into_iter().zip(lost_zones) {
            if at < begins || at >= begins + LIFE {
                continue;
            }
            if lost == zone {
                return at < sound_from;
            }
            if lost == holder {
                let step = copy::copy_step(Some(&held_copy(None)), false, time::Instant::now());
                sound_from = u64::MAX;
                if replaces && step == copy::CopyStep::Replace {
                    holder = (zone + random.u8(1..4)) % 4;
                    sound_from = at + MOVE;
                }
            }
        }
        false
    };
    let streams = (0..10_000).filter(|_stream| stream(&mut random));
    streams.count()
}

fn moved_copies_outlive_zones_that_go_one_after_the_other() {
    let (before, after) = (streams_without_a_copy(false), streams_without_a_copy(true));
    assert!(before > 20, "the load shows nothing: {before}");
    assert!(after * 10 < before, "{after} of 10,000, {before} before");
}

common::cases! {
    comment: a_comment_is_no_event();
    foreign_event: an_unnumbered_event_among_numbered_ones_is_not_passed_on();
    bound_stream: a_bound_stream_is_borne_longer();
    copy_kept_by_engines: copy_step_is(None, true, copy::CopyStep::Keep);
    copy_lost: copy_step_is(None, false, copy::CopyStep::Replace);
    copy_moved_just_now: copy_step_is(Some(time::Duration::from_secs(1)), true, copy::CopyStep::Keep);
    copy_moved_long_ago: copy_step_is(Some(time::Duration::from_secs(3)), true, copy::CopyStep::Refresh);
    copy_moved_and_lost: copy_step_is(Some(time::Duration::from_secs(3)), false, copy::CopyStep::Replace);
    zones_in_turn: moved_copies_outlive_zones_that_go_one_after_the_other();
    success_is_delivered: step_is(IDEMPOTENT, decision::AttemptEnd::Answered(200), 1, 1, decision::NextStep::Deliver);
    caller_error_is_delivered: step_is(IDEMPOTENT, decision::AttemptEnd::Answered(404), 1, 1, decision::NextStep::Deliver);
    server_error_is_repeated: step_is(IDEMPOTENT, decision::AttemptEnd::Answered(500), 1, 1, decision::NextStep::Repeat);
    second_server_error_is_delivered: step_is(IDEMPOTENT, decision::AttemptEnd::Answered(500), 2, 2, decision::NextStep::Deliver);
    server_error_of_one_run_is_delivered: step_is(ONCE, decision::AttemptEnd::Answered(500), 1, 1, decision::NextStep::Deliver);
    lost_idempotent_is_repeated: step_is(IDEMPOTENT, decision::AttemptEnd::Lost, 1, 1, decision::NextStep::Repeat);
    lost_once_is_given_up: step_is(ONCE, decision::AttemptEnd::Lost, 1, 1, MAY_HAVE_RUN);
    lost_stream_goes_on: step_is(RESUMABLE, decision::AttemptEnd::Lost, 1, 1, decision::NextStep::Repeat);
    lost_bound_stream_is_given_up: step_is(BOUND_STREAM, decision::AttemptEnd::Lost, 1, 1, MAY_HAVE_RUN);
    attempts_are_bounded: step_is(IDEMPOTENT, decision::AttemptEnd::Lost, 2, 2, MAY_HAVE_RUN);
    refused_once_is_offered_elsewhere: step_is(ONCE, decision::AttemptEnd::NotRun, 0, 1, decision::NextStep::Repeat);
    offers_are_bounded: step_is(ONCE, decision::AttemptEnd::NotRun, 0, decision::MAX_OFFERS, NOT_RUN);
    refused_after_a_run_is_not_called_not_run: step_is(IDEMPOTENT, decision::AttemptEnd::NotRun, 2, 3, MAY_HAVE_RUN);
    no_time: no_repeat_without_time();
    idle_engine: chosen_is(&[asked(1, 0, 0, 0), asked(0, 0, 3, 0), asked(0, 1, 0, 0)], Some(1));
    own_recent_request: chosen_is(&[asked(0, 0, 0, 1), asked(0, 0, 2, 0)], Some(1));
    mute_engine: chosen_is(&[choice::AskedEngine::default(), asked(5, 1, 0, 0)], Some(1));
    only_mute_engines: chosen_is(&[choice::AskedEngine::default()], Some(0));
    no_engine: chosen_is(&[], None);
    hot_key: a_hot_key_is_spread_over_engines();
    shift: a_shift_to_one_zone_is_spread_over_all();
    clumps: asking_engines_shortens_the_wait_for_clumps_of_prompts();
    prompt_being_read: held(&[report_of(1, 0, &[]), report_of(1, 0, &[])], &[true, true]);
    prompt_that_waits: held(&[report_of(1, 1, &["other"]), report_of(1, 1, &["other"])], &[true, true]);
    answer_lost_after_listing: held(&[report_of(1, 0, &["own"]), report_of(1, 0, &["other"])], &[true, false]);
    answer_lost_unseen: held(&[report_of(1, 0, &["other"]), report_of(1, 0, &["other"])], &[true, false]);
    pause: silence_leaves_time_to_go_on_within_the_wanted_pause();
    stopping_router: a_stopping_router_takes_streams_that_end_in_time();
    readers: one_router_of_a_zone_reads();
    asked_in_a_large_zone: no_router_answers_a_whole_zone();
    asked_across_zones: another_zone_is_asked_when_the_own_word_is_old();
    repeated_event: an_event_comes_once();
    unnumbered_event: an_unnumbered_event_ends_resumption();
    torn_event: a_torn_event_is_held_back();
}

proptest! {
    #[test]
    fn events_are_whole_and_in_order_however_they_are_cut(
        count in 1_u64..20,
        cut in 1_usize..30,
        resumed_at in 0_u64..20,
    ) {
        let text = |id| format!("id: {id}\ndata: piece {id}\n\n");
        let mut stream: String = (1..=count).map(text).collect();
        // A second engine goes on from an earlier event, as a copy may lag.
        stream.extend((resumed_at.min(count) + 1..=count + 2).map(text));
        let mut splitter = events::EventSplitter::default();
        let mut cursor = events::EventCursor::default();
        let mut passed = Vec::new();
        for part in stream.as_bytes().chunks(cut) {
            splitter.input().extend_from_slice(part);
            while let Some(event) = splitter.next_event() {
                if cursor.offer(&event) == events::EventOffer::Accepted {
                    passed.extend(event.bytes);
                }
            }
        }
        let whole: String = (1..=count + 2).map(text).collect();
        prop_assert_eq!(passed, whole.into_bytes());
        prop_assert!(!splitter.is_torn());
    }

    #[test]
    fn what_may_have_run_is_never_called_not_run(
        ran in 1_u32..5,
        offered in 1_u32..9,
        kind in prop_oneof![Just(IDEMPOTENT), Just(ONCE), Just(RESUMABLE), Just(BOUND_STREAM)],
        end in prop_oneof![
            Just(decision::AttemptEnd::NotRun),
            Just(decision::AttemptEnd::Lost),
            Just(decision::AttemptEnd::Answered(500)),
        ],
    ) {
        let terms = decision::RepeatTerms { kind, ran, offered, attempts: 3, has_time: true };
        let step = decision::next_step(end, &terms);
        prop_assert_ne!(step, NOT_RUN);
        if !kind.may_repeat() {
            prop_assert_ne!(step, decision::NextStep::Repeat);
        }
    }
}
