//! Engine selection while a burst of prompts fills the engines' KV caches.

use std::thread;
use std::time;

use kumquatpulley::request::relay::{report, selection};

use crate::common;
use crate::support::system::System;
use crate::support::{caller, fakes};

/// Engines in the replay.
const ENGINES: usize = 18;

/// KV cache of each engine, and what each run of the replay occupies, in tokens.
const ENGINE_TOKENS: u64 = 88_000;
const RUN_TOKENS: u64 = 9_000;

/// Duration of a run, and of its prefill, in milliseconds.
const RUN_MS: u64 = 8_000;
const PREFILL_MS: u64 = 1_000;

/// An engine without runs.
fn idle_candidate() -> selection::EngineCandidate {
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

/// An engine whose KV cache is full.
fn full_candidate() -> selection::EngineCandidate {
    let mut engine = idle_candidate();
    engine
        .report
        .as_mut()
        .expect("the engine has a report")
        .memory_used = ENGINE_TOKENS;
    engine
}

/// Runs (`true`) and copies (`false`) at one engine, each with its start time.
type HeldRuns = Vec<(bool, u64)>;

fn held_tokens(held: &HeldRuns, now: u64) -> u64 {
    let present = held.iter().filter(|(_is_run, began)| now < began + RUN_MS);
    let tokens = present.map(|(_is_run, began)| {
        RUN_TOKENS * (now.saturating_sub(*began)).min(PREFILL_MS) / PREFILL_MS
    });
    tokens.sum()
}

fn candidate_at(held: &HeldRuns, now: u64) -> selection::EngineCandidate {
    let mut engine = idle_candidate();
    let report = engine.report.as_mut().expect("the engine has a report");
    let runs = held
        .iter()
        .filter(|(is_run, began)| *is_run && now < began + RUN_MS);
    let (read, reading): (HeldRuns, HeldRuns) = runs
        .copied()
        .partition(|(_is_run, began)| now >= began + PREFILL_MS);
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

fn params(tokens: u64, may_wait: bool) -> selection::SelectionParams {
    selection::SelectionParams {
        tokens,
        may_wait,
        is_first: true,
    }
}

/// Replays five seconds of a burst with four times the usual prompts at 18 engines, with reports
/// that are 200 ms old. Returns how often an engine's KV cache was overfilled, summed over steps
/// of 50 ms, and how many prompts were never sent.
fn replayed_burst(checks_memory: bool) -> (usize, usize) {
    const LAG_MS: u64 = 200;
    const GAP_MS: u64 = 53;
    const MAX_WAIT_MS: u64 = 1_485;
    let mut random = fastrand::Rng::with_seed(9);
    let mut engines: Vec<HeldRuns> = vec![Vec::new(); ENGINES];
    let mut waiting: Vec<u64> = (0..5_000 / GAP_MS).map(|number| number * GAP_MS).collect();
    let mut overfilled = 0;
    for now in (0..20_000).step_by(50) {
        let mut deferred = Vec::new();
        for arrived in std::mem::take(&mut waiting) {
            if arrived > now {
                deferred.push(arrived);
                continue;
            }
            let sampled = random.choose_multiple(0..ENGINES, selection::PROBED_ENGINES);
            let reported_at = now.saturating_sub(LAG_MS);
            let candidates: Vec<selection::EngineCandidate> = sampled
                .iter()
                .map(|engine| candidate_at(&engines[*engine], reported_at))
                .collect();
            let tokens = if checks_memory { RUN_TOKENS } else { 0 };
            let may_wait = now < arrived + MAX_WAIT_MS;
            let selection::SelectionStep::Send(best) =
                selection::choose_engine(&candidates, params(tokens, may_wait))
            else {
                deferred.push(arrived);
                continue;
            };
            let holder = (0..candidates.len())
                .find(|at| *at != best && candidates[*at].has_room_for_copy(tokens));
            engines[sampled[best]].push((true, now));
            if let Some(holder) = holder {
                engines[sampled[holder]].push((false, now));
            }
        }
        let full = engines
            .iter()
            .filter(|held| held_tokens(held, now) > ENGINE_TOKENS);
        overfilled += full.count();
        waiting = deferred;
    }
    (overfilled, waiting.len())
}

/// Without the memory check, engines stay overfilled for long and evict runs, which then repeat
/// prefill.
fn a_burst_overfills_no_engine() {
    let (baseline, _never_sent) = replayed_burst(false);
    let (overfilled, never_sent) = replayed_burst(true);
    assert!(baseline > 100, "{baseline}");
    assert!(overfilled * 10 <= baseline, "{overfilled} of {baseline}");
    assert_eq!(never_sent, 0);
}

/// Full engines are probed again only while the prompt may wait, and never when the run exceeds
/// their KV cache.
fn a_full_engine_is_used_as_a_last_resort() {
    let full = full_candidate();
    let engines = [full];
    let step = |tokens, may_wait| selection::choose_engine(&engines, params(tokens, may_wait));
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
        selection::choose_engine(&[], params(RUN_TOKENS, true)),
        selection::SelectionStep::NoEngine
    );
    assert!(!engines[0].has_room_for_copy(RUN_TOKENS));
    assert!(idle_candidate().has_room_for_copy(RUN_TOKENS));
}

/// An engine that is shutting down gets nothing, and one without a report ranks after a full one.
fn leaving_and_unreported_engines_rank_last() {
    let mut leaving = idle_candidate();
    leaving
        .report
        .as_mut()
        .expect("the engine has a report")
        .is_leaving = true;
    let full = full_candidate();
    let unreported = selection::EngineCandidate::default();
    assert_eq!(
        selection::order_by_load(&[unreported, leaving.clone(), full], RUN_TOKENS),
        [2, 0]
    );
    assert_eq!(
        selection::choose_engine(&[leaving], params(RUN_TOKENS, true)),
        selection::SelectionStep::NoEngine
    );
}

/// An engine without a report is not chosen once an earlier probe round found full engines that
/// are alive.
fn full_engines_are_preferred_to_unreported_ones() {
    let unreported = [selection::EngineCandidate::default()];
    let first = params(RUN_TOKENS, false);
    let later = selection::SelectionParams {
        is_first: false,
        ..first
    };
    assert_eq!(
        selection::choose_engine(&unreported, first),
        selection::SelectionStep::Send(0)
    );
    assert_eq!(
        selection::choose_engine(&unreported, later),
        selection::SelectionStep::ProbeOthers
    );
    assert_eq!(
        selection::choose_engine(&[], later),
        selection::SelectionStep::ProbeOthers
    );
}

/// A prompt is not queued behind two others while another engine has none, even if that one has no
/// room yet; once it may not wait any more, it is.
fn no_prompt_waits_behind_two_while_an_engine_is_free() {
    let mut busy = idle_candidate();
    busy.recent_requests = 2;
    let step = |engines: &[selection::EngineCandidate], may_wait| {
        selection::choose_engine(engines, params(RUN_TOKENS, may_wait))
    };
    let engines = [full_candidate(), busy.clone()];
    assert_eq!(step(&engines, true), selection::SelectionStep::ProbeOthers);
    assert_eq!(step(&engines, false), selection::SelectionStep::Send(1));
    assert_eq!(
        step(&[busy.clone(), busy], true),
        selection::SelectionStep::Send(0)
    );
}

/// Starts a thread that requests a stream whose run occupies 9,000 tokens.
fn start_stream(system: &System) -> thread::JoinHandle<Option<caller::Answer>> {
    let ip = system.ip();
    let text = caller::request("/stream/1", "r1", "k");
    let tokens = "Kumquatpulley-Token-Counts: 8000,2000\r\nKumquatpulley-Length-Hint: 1000\r\n";
    let text = text.replace("Content-Length", &format!("{tokens}Content-Length"));
    thread::spawn(move || caller::exchange((ip, 8227).into(), text.as_bytes()))
}

/// The prompt is held back while both engines' KV caches are full, and sent to the first one with
/// room.
fn a_prompt_waits_for_room() {
    let system = System::start(1);
    system.set_modes(fakes::EndpointMode::MemoryInUse);
    let stream = start_stream(&system);
    thread::sleep(time::Duration::from_millis(500));
    assert!(system.arrivals("r1").is_empty(), "{}", system.logs());
    system.first.set_mode(fakes::EndpointMode::Healthy);
    let answer = stream.join().expect("no panic").expect("an answer");
    assert!(answer.is_complete, "{}", system.logs());
    let seen = system.arrivals("r1");
    assert_eq!((seen.len(), system.second.received().len()), (1, 0));
    // The other engine has no room for a KV copy.
    assert_eq!(seen[0].field("Kumquatpulley-Kv-Backup"), None);
}

/// A prompt that fits nowhere waits for at most a third of the time-to-first-event goal.
fn a_prompt_without_room_is_sent_after_the_wait_limit() {
    let system = System::start(1);
    system.set_modes(fakes::EndpointMode::MemoryInUse);
    let began = time::Instant::now();
    let answer = start_stream(&system).join().expect("no panic");
    assert!(answer.expect("an answer").is_complete, "{}", system.logs());
    let sent = system.arrivals("r1")[0].at.duration_since(began);
    let goal = time::Duration::from_millis(4_500);
    assert!(
        sent > time::Duration::from_secs(1) && sent < goal / 2,
        "{sent:?}"
    );
}

common::cases! {
    waits_for_room: a_prompt_waits_for_room();
    no_room: a_prompt_without_room_is_sent_after_the_wait_limit();
    burst: a_burst_overfills_no_engine();
    behind_two: no_prompt_waits_behind_two_while_an_engine_is_free();
    full_engine: a_full_engine_is_used_as_a_last_resort();
    unreported_engine: full_engines_are_preferred_to_unreported_ones();
    leaving_engine: leaving_and_unreported_engines_rank_last();
}
