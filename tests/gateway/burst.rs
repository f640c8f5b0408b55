//! How prompts are placed while a burst fills the engines' memory.

use std::thread;
use std::time;

use kumquatpulley::request::relay::{report, selection};

use crate::common;
use crate::support::system::System;
use crate::support::{caller, stand_in};

/// Engines of the replay.
const ENGINES: usize = 18;

/// Memory of each engine and of each run of a replayed burst, in tokens.
const ENGINE_TOKENS: u64 = 88_000;
const RUN_TOKENS: u64 = 9_000;

/// How long a run stays at its engine in a burst, and its prompt is being read, in milliseconds.
const RUN_MS: u64 = 8_000;
const PROMPT_MS: u64 = 1_000;

/// An engine that does nothing.
fn idle() -> selection::EngineCandidate {
    let report = report::EngineReport {
        memory_total: ENGINE_TOKENS,
        runs: Some(Vec::new()),
        ..report::EngineReport::default()
    };
    selection::EngineCandidate {
        report: Some(report),
        recent_requests: 0,
    }
}

/// An engine without any room.
fn full() -> selection::EngineCandidate {
    let mut engine = idle();
    engine.report.as_mut().expect("it is there").memory_used = ENGINE_TOKENS;
    engine
}

/// Runs (true) and copies (false) at one engine, each with when it began.
type HeldRuns = Vec<(bool, u64)>;

fn held_tokens(held: &HeldRuns, now: u64) -> u64 {
    let present = held.iter().filter(|(_is_run, began)| now < began + RUN_MS);
    let tokens = present.map(|(_is_run, began)| {
        RUN_TOKENS * (now.saturating_sub(*began)).min(PROMPT_MS) / PROMPT_MS
    });
    tokens.sum()
}

fn seen_of(held: &HeldRuns, now: u64) -> selection::EngineCandidate {
    let mut engine = idle();
    let report = engine.report.as_mut().expect("it is there");
    let runs = held
        .iter()
        .filter(|(is_run, began)| *is_run && now < began + RUN_MS);
    let (read, reading): (HeldRuns, HeldRuns) = runs
        .copied()
        .partition(|(_is_run, began)| now >= began + PROMPT_MS);
    report.running = u32::try_from(read.len() + reading.len()).expect("few");
    report.runs = Some(vec![
        report::EngineRun {
            request: "other".to_owned(),
            tokens: RUN_TOKENS,
            events: 1,
        };
        read.len()
    ]);
    report.memory_used = held_tokens(held, now);
    report.memory_total = ENGINE_TOKENS;
    engine
}

fn terms(tokens: u64, may_wait: bool) -> selection::SelectionParams {
    selection::SelectionParams {
        tokens,
        may_wait,
        is_first: true,
    }
}

/// Replays a burst of four times the usual prompts for five seconds at 18 engines, where reports are 200 ms
/// old. Returns prompts after which an engine's memory did not suffice, and those that never began.
fn replayed_burst(looks_at_memory: bool) -> (usize, usize) {
    const LAG_MS: u64 = 200;
    const GAP_MS: u64 = 53;
    const PATIENCE_MS: u64 = 1_485;
    let mut random = fastrand::Rng::with_seed(9);
    let mut engines: Vec<HeldRuns> = vec![Vec::new(); ENGINES];
    let mut waiting: Vec<u64> = (0..5_000 / GAP_MS).map(|number| number * GAP_MS).collect();
    let mut overfilled = 0;
    for now in (0..20_000).step_by(50) {
        let mut later = Vec::new();
        for arrived in std::mem::take(&mut waiting) {
            if arrived > now {
                later.push(arrived);
                continue;
            }
            let places = random.choose_multiple(0..ENGINES, selection::PROBED_ENGINES);
            let seen = now.saturating_sub(LAG_MS);
            let sample: Vec<selection::EngineCandidate> = places
                .iter()
                .map(|place| seen_of(&engines[*place], seen))
                .collect();
            let tokens = if looks_at_memory { RUN_TOKENS } else { 0 };
            let may_wait = now < arrived + PATIENCE_MS;
            let selection::SelectionStep::Send(best) =
                selection::choose_engine(&sample, terms(tokens, may_wait))
            else {
                later.push(arrived);
                continue;
            };
            let holder =
                (0..sample.len()).find(|at| *at != best && sample[*at].has_room_for_copy(tokens));
            engines[places[best]].push((true, now));
            if let Some(holder) = holder {
                engines[places[holder]].push((false, now));
            }
        }
        let full = engines
            .iter()
            .filter(|held| held_tokens(held, now) > ENGINE_TOKENS);
        overfilled += full.count();
        waiting = later;
    }
    (overfilled, waiting.len())
}

/// Without a look at memory, engines are overfilled for a long time, and push runs out that are read again.
fn a_burst_overfills_no_engine() {
    let (baseline, _begun) = replayed_burst(false);
    let (overfilled, never_begun) = replayed_burst(true);
    assert!(baseline > 100, "{baseline}");
    assert!(overfilled * 10 <= baseline, "{overfilled} of {baseline}");
    assert_eq!(never_begun, 0);
}

/// Full engines are asked again only while there is time, and never when the run fits in no memory.
fn a_full_engine_is_better_than_none() {
    let full = full();
    let engines = [full];
    let step = |tokens, may_wait| selection::choose_engine(&engines, terms(tokens, may_wait));
    assert_eq!(
        step(RUN_TOKENS, true),
        selection::SelectionStep::ProbeOthers
    );
    assert_eq!(step(RUN_TOKENS, false), selection::SelectionStep::Send(0));
    assert_eq!(
        step(10 * RUN_TOKENS, true),
        selection::SelectionStep::Send(0)
    );
    assert_eq!(
        selection::choose_engine(&[], terms(RUN_TOKENS, true)),
        selection::SelectionStep::NoEngine
    );
    assert!(!engines[0].has_room_for_copy(RUN_TOKENS));
    assert!(idle().has_room_for_copy(RUN_TOKENS));
}

/// An engine that leaves gets nothing, and one that gives no sign comes after a full one.
fn leaving_and_silent_engines_come_last() {
    let mut leaving = idle();
    leaving.report.as_mut().expect("it is there").is_leaving = true;
    let full = full();
    let silent = selection::EngineCandidate::default();
    assert_eq!(
        selection::order_by_load(&[silent, leaving.clone(), full], RUN_TOKENS),
        [2, 0]
    );
    assert_eq!(
        selection::choose_engine(&[leaving], terms(RUN_TOKENS, true)),
        selection::SelectionStep::NoEngine
    );
}

/// After full engines that live, engines that give no sign are not the way out.
fn a_silent_engine_is_no_way_out_of_full_ones() {
    let silent = [selection::EngineCandidate::default()];
    let first = terms(RUN_TOKENS, false);
    let later = selection::SelectionParams {
        is_first: false,
        ..first
    };
    assert_eq!(
        selection::choose_engine(&silent, first),
        selection::SelectionStep::Send(0)
    );
    assert_eq!(
        selection::choose_engine(&silent, later),
        selection::SelectionStep::ProbeOthers
    );
    assert_eq!(
        selection::choose_engine(&[], later),
        selection::SelectionStep::ProbeOthers
    );
}

/// Sends a stream whose run holds 9,000 tokens, in a thread of its own.
fn begin_stream(system: &System) -> thread::JoinHandle<Option<caller::Answer>> {
    let ip = system.ip();
    let text = caller::request("/stream/1", "r1", "k");
    let tokens = "Kumquatpulley-Token-Counts: 8000,2000\r\nKumquatpulley-Length-Hint: 1000\r\n";
    let text = text.replace("Content-Length", &format!("{tokens}Content-Length"));
    thread::spawn(move || caller::exchange((ip, 8227).into(), text.as_bytes()))
}

/// Nothing is sent while both engines' memory is in use; once one has room, the prompt goes there.
fn a_prompt_waits_for_room() {
    let system = System::start(1);
    system.set_moods(stand_in::EndpointMood::MemoryInUse);
    let stream = begin_stream(&system);
    thread::sleep(time::Duration::from_millis(500));
    assert!(system.arrivals("r1").is_empty(), "{}", system.logs());
    system.first.set_mood(stand_in::EndpointMood::Sound);
    let answer = stream.join().expect("no panic").expect("an answer");
    assert!(answer.is_whole, "{}", system.logs());
    let seen = system.arrivals("r1");
    assert_eq!((seen.len(), system.second.seen().len()), (1, 0));
    // The other engine has no room for a copy.
    assert_eq!(seen[0].field("Kumquatpulley-Kv-Backup"), None);
}

/// A prompt that fits nowhere is not held back for longer than a third of the wanted time.
fn a_prompt_that_finds_no_room_is_sent_in_the_end() {
    let system = System::start(1);
    system.set_moods(stand_in::EndpointMood::MemoryInUse);
    let began = time::Instant::now();
    let answer = begin_stream(&system).join().expect("no panic");
    assert!(answer.expect("an answer").is_whole, "{}", system.logs());
    let sent = system.arrivals("r1")[0].at.duration_since(began);
    let goal = time::Duration::from_millis(4_500);
    assert!(
        sent > time::Duration::from_secs(1) && sent < goal / 2,
        "{sent:?}"
    );
}

common::cases! {
    waits_for_room: a_prompt_waits_for_room();
    no_room: a_prompt_that_finds_no_room_is_sent_in_the_end();
    burst: a_burst_overfills_no_engine();
    full_engine: a_full_engine_is_better_than_none();
    silent_engine: a_silent_engine_is_no_way_out_of_full_ones();
    leaving_engine: leaving_and_silent_engines_come_last();
}
