//! A part of some prompts crashes each engine that begins to answer them. All gateways together have
//! to learn which part it is, and to serve all other prompts.

use std::net;
use std::ops;
use std::thread;
use std::time;

use crate::common;
use crate::support::system::System;
use crate::support::{caller, crash_judge, fakes, limit_judge, load, router};

/// Time of load in which the part is learned; three seconds more than the crashes need.
const LEARNING_TIME: time::Duration = time::Duration::from_secs(8);

/// Time of load after the fault that a test adds.
const FAULT_TIME: time::Duration = time::Duration::from_secs(6);

/// Time in which a caller learns that it is refused.
const REFUSAL_BOUND: time::Duration = time::Duration::from_millis(200);

/// Part of the sound prompts that must be served by their first engine, of those sent in calm time.
const MIN_SOUND_SHARE: f64 = 0.9;

/// Shared parts of a long prompt besides the one that crashes engines.
const MANY_PARTS: usize = 60;

/// The other shared parts of long prompts.
#[derive(Clone, Copy, Debug)]
enum PromptFilling {
    /// The same in all prompts.
    Common,
    /// Only the first is the same in all prompts, the others differ.
    Own,
}

impl PromptFilling {
    fn parts(self, count: usize) -> Vec<String> {
        let parts = (0..count).map(|place| match self {
            Self::Own if place > 0 => load::OWN_PART.to_owned(),
            Self::Common | Self::Own => format!("c{place:03x}:200"),
        });
        parts.collect()
    }
}

/// A system with three gateways under load of prompts, some of which crash engines.
struct CrashLoad {
    system: System,
    sound: load::SteadyLoad,
    deadly: load::SteadyLoad,
    /// Gateways that were killed or started again, and when.
    restarts: Vec<(net::IpAddr, time::Instant)>,
}

impl CrashLoad {
    fn start() -> Self {
        Self::start_prompts(crash_judge::DEADLY_PROMPT, crash_judge::SOUND_PROMPT)
    }

    /// Starts the load of prompts with these shared parts.
    fn start_prompts(deadly: &'static str, sound: &'static str) -> Self {
        let system = System::start(3);
        for endpoint in [&system.first, &system.second] {
            endpoint.set_deadly_part(Some(crash_judge::DEADLY_PART));
        }
        let ips: Vec<net::IpAddr> = system.gateways.iter().map(|gateway| gateway.ip).collect();
        let plan = |callers, pause_ms, shared_parts| load::LoadPlan {
            callers,
            pause: time::Duration::from_millis(pause_ms),
            call: caller::CallText::plain("/stream/1"),
            shared_parts: Some(shared_parts),
        };
        Self {
            sound: load::SteadyLoad::start(&ips, plan(2, 80, sound)),
            deadly: load::SteadyLoad::start(&ips, plan(1, 150, deadly)),
            system,
            restarts: Vec::new(),
        }
    }

    /// Kills the gateways with these indices, then starts them again.
    fn restart(&mut self, indices: ops::Range<usize>) {
        self.restarts.extend(self.system.restart(indices));
    }

    /// Ends the load, and checks that the part was kept from endpoints and that sound prompts sent
    /// from `calm_since` on were served.
    fn finish(self, calm_since: time::Instant) {
        let (sound, deadly) = (self.sound.stop(), self.deadly.stop());
        let endpoints = [&self.system.first, &self.system.second];
        let is_excused = |ip, at| limit_judge::was_restarted(&self.restarts, ip, at);
        let views: Vec<limit_judge::CallerView> =
            deadly.iter().map(|request| request.view.clone()).collect();
        let finding = crash_judge::find_late_sends(&endpoints, &views, is_excused);
        assert!(finding.is_none(), "{finding:?}; {}", self.system.logs());
        let calm = sound.iter().filter(|request| calm_since < request.sent);
        let (all, served) = calm.fold((0_u32, 0_u32), |(all, served), request| {
            let is_served = request.status == Some(200)
                && request.is_complete
                && self.system.arrivals(&request.view.id).len() == 1;
            (all + 1, served + u32::from(is_served))
        });
        let share = f64::from(served) / f64::from(all.max(1));
        assert!(share >= MIN_SOUND_SHARE, "{served} of {all} sound prompts");
        let refused = deadly.iter().filter(|request| calm_since < request.sent);
        for request in refused {
            assert!(
                request.status == Some(503) && request.elapsed < REFUSAL_BOUND,
                "{request:?}"
            );
        }
    }
}

fn a_part_that_crashes_engines_is_kept_from_them() {
    let load = CrashLoad::start();
    thread::sleep(LEARNING_TIME);
    let calm = time::Instant::now();
    thread::sleep(FAULT_TIME);
    load.finish(calm);
}

/// A part of a long prompt is found wherever it stands, and what its prompts share with others is not
/// blocked. `place` is the number of shared parts before it.
fn a_part_of_many_is_kept_from_engines(filling: PromptFilling, place: usize, is_before_head: bool) {
    let (first, rest) = (filling.parts(place), filling.parts(MANY_PARTS - place));
    let deadly = [
        first.as_slice(),
        &[format!("{}:50", crash_judge::DEADLY_PART)],
        &rest,
    ];
    let sound = filling.parts(MANY_PARTS);
    let load = CrashLoad::start_prompts(deadly.concat().join(",").leak(), sound.join(",").leak());
    if is_before_head {
        for endpoint in [&load.system.first, &load.system.second] {
            endpoint.set_crash_before_head();
        }
    }
    thread::sleep(LEARNING_TIME);
    let calm = time::Instant::now();
    thread::sleep(FAULT_TIME);
    load.finish(calm);
}

/// A loss before the head says as much about the parts of a prompt as a later one.
fn a_part_that_crashes_engines_before_the_head_is_kept_from_them() {
    let load = CrashLoad::start();
    for endpoint in [&load.system.first, &load.system.second] {
        endpoint.set_crash_before_head();
    }
    thread::sleep(LEARNING_TIME);
    let calm = time::Instant::now();
    thread::sleep(FAULT_TIME);
    load.finish(calm);
}

/// The gateways that learned the part are replaced one after the other, then all at once.
fn a_crashing_part_is_known_after_restarts() {
    let mut load = CrashLoad::start();
    thread::sleep(LEARNING_TIME);
    for index in 0..3 {
        load.restart(index..index + 1);
        thread::sleep(time::Duration::from_secs(2));
    }
    load.restart(0..3);
    thread::sleep(FAULT_TIME);
    let calm = time::Instant::now();
    thread::sleep(FAULT_TIME);
    load.finish(calm);
}

/// The store is away while the part is learned.
fn a_crashing_part_is_learned_without_the_store() {
    let load = CrashLoad::start();
    for gateway in &load.system.gateways {
        load.system
            .store
            .set_unavailable(gateway.store_address, true);
    }
    thread::sleep(time::Duration::from_secs(2));
    for gateway in &load.system.gateways {
        load.system
            .store
            .set_unavailable(gateway.store_address, false);
    }
    thread::sleep(LEARNING_TIME);
    let calm = time::Instant::now();
    thread::sleep(FAULT_TIME);
    load.finish(calm);
}

/// Both endpoints cut off answers that have just begun, and do not crash.
fn prompts_are_not_blocked_while_endpoints_cut_off_answers() {
    let system = System::start(2);
    system.set_modes(fakes::EndpointMode::Truncates);
    let ips: Vec<net::IpAddr> = system.gateways.iter().map(|gateway| gateway.ip).collect();
    let plan = load::LoadPlan {
        callers: 2,
        pause: time::Duration::from_millis(30),
        call: caller::CallText::plain("/stream/1"),
        shared_parts: Some(crash_judge::SOUND_PROMPT),
    };
    let load = load::SteadyLoad::start(&ips, plan);
    thread::sleep(time::Duration::from_secs(3));
    system.set_modes(fakes::EndpointMode::Healthy);
    thread::sleep(time::Duration::from_secs(2));
    let calm = time::Instant::now();
    thread::sleep(time::Duration::from_secs(2));
    let requests = load.stop();
    let calm = requests.iter().filter(|request| calm < request.sent);
    let (all, served) = calm.fold((0, 0), |(all, served), request| {
        (
            all + 1,
            served + u32::from(request.is_complete && request.status == Some(200)),
        )
    });
    assert!(
        all > 0 && served == all,
        "{served} of {all}; {}",
        system.logs()
    );
}

/// The deadline passes while the gateway waits for others, which are paused, to tell what they know.
fn a_crash_just_before_the_deadline_is_not_reported_as_not_run() {
    let system = System::start(3);
    for endpoint in [&system.first, &system.second] {
        endpoint.set_deadly_part(Some(crash_judge::DEADLY_PART));
    }
    // The first gateway has to know the others as ready.
    thread::sleep(time::Duration::from_secs(2));
    for gateway in &system.gateways[1..] {
        router::signal(gateway, rustix::process::Signal::STOP);
    }
    let prompt = format!("{},1:9", crash_judge::DEADLY_PROMPT);
    let request = caller::prompt_request("/stream/1", "r1", "k", Some(&prompt));
    let request = request.replace("Deadline-Ms: 8000", "Deadline-Ms: 120");
    let answer = caller::exchange((system.ip(), 8227).into(), request.as_bytes());
    let status = answer.map(|answer| answer.head.status);
    assert_eq!(system.arrivals("r1").len(), 1, "{}", system.logs());
    assert_eq!(status, Some(504), "{}", system.logs());
}

common::cases! {
    deadline: a_crash_just_before_the_deadline_is_not_reported_as_not_run();
    truncated_answers: prompts_are_not_blocked_while_endpoints_cut_off_answers();
    before_head: a_part_that_crashes_engines_before_the_head_is_kept_from_them();
    first_of_many_common: a_part_of_many_is_kept_from_engines(PromptFilling::Common, 0, false);
    first_of_many_own: a_part_of_many_is_kept_from_engines(PromptFilling::Own, 0, false);
    first_of_many_before_head: a_part_of_many_is_kept_from_engines(PromptFilling::Own, 0, true);
    behind_many_common: a_part_of_many_is_kept_from_engines(PromptFilling::Common, 50, false);
    behind_many_own: a_part_of_many_is_kept_from_engines(PromptFilling::Own, 50, false);
    behind_many_before_head: a_part_of_many_is_kept_from_engines(PromptFilling::Common, 50, true);
    steady: a_part_that_crashes_engines_is_kept_from_them();
    restarts: a_crashing_part_is_known_after_restarts();
    store_away: a_crashing_part_is_learned_without_the_store();
}
