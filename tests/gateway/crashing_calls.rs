//! A request crashes each endpoint that begins to run it, and comes again at every gateway. All
//! gateways together have to keep it from endpoints, and to serve all other requests.

use std::collections;
use std::net;
use std::thread;
use std::time;

use crate::common;
use crate::support::system::System;
use crate::support::{caller, crash_judge, deadly_calls, limit_judge, load};

/// Time of load in which the request is learned: the contact time, and as much for the crashes.
const LEARNING_TIME: time::Duration = time::Duration::from_secs(7);

/// Time of load in which sound requests have to be served.
const CALM_TIME: time::Duration = time::Duration::from_secs(7);

/// Time in which a caller learns that it is refused.
const REFUSAL_BOUND: time::Duration = time::Duration::from_millis(200);

/// Part of the sound requests that must be served by their first endpoint.
const MIN_SOUND_SHARE: f64 = 0.9;

/// Pause of a caller between two requests that crash endpoints.
const DEADLY_PAUSE: time::Duration = time::Duration::from_millis(300);

/// Time that a sound request runs.
const RUN_TIME: time::Duration = time::Duration::from_millis(30);

/// Name of the reason in refusals of a request that crashes endpoints.
const BLOCK_CODE: &str = "request-blocked";

/// A system with three gateways under load of sound requests and of one that crashes endpoints.
struct CallLoad {
    system: System,
    sound: Vec<load::SteadyLoad>,
    deadly: load::SteadyLoad,
    /// Gateways that were killed or started again, and when.
    restarts: Vec<(net::IpAddr, time::Instant)>,
}

/// What callers saw, and when calm time began.
struct CallResult {
    sound: Vec<load::SentRequest>,
    deadly: Vec<load::SentRequest>,
    calm: time::Instant,
}

impl CallLoad {
    fn start(deadly: caller::CallText, sound: &[load::LoadPlan]) -> Self {
        Self::start_in(System::start(3), deadly, sound)
    }

    fn start_in(system: System, deadly: caller::CallText, sound: &[load::LoadPlan]) -> Self {
        for endpoint in [&system.first, &system.second] {
            let call = deadly_calls::DeadlyCall::of_path(deadly.path);
            endpoint.calls().set_deadly(Some(call));
            endpoint.calls().set_run_time(RUN_TIME);
        }
        let ips: Vec<net::IpAddr> = system.gateways.iter().map(|gateway| gateway.ip).collect();
        let plan = load::LoadPlan {
            callers: 1,
            pause: DEADLY_PAUSE,
            call: deadly,
            shared_parts: None,
        };
        let sound = sound
            .iter()
            .map(|plan| load::SteadyLoad::start(&ips, *plan));
        Self {
            sound: sound.collect(),
            deadly: load::SteadyLoad::start(&ips, plan),
            system,
            restarts: Vec::new(),
        }
    }

    /// Ends the load, and checks that the request was kept from endpoints and refused at once from
    /// `calm` on.
    fn finish(self, calm: time::Instant) -> (System, CallResult) {
        let sound = self.sound.into_iter().flat_map(load::SteadyLoad::stop);
        let result = CallResult {
            sound: sound.collect(),
            deadly: self.deadly.stop(),
            calm,
        };
        result.check_late_arrivals(&self.system, &self.restarts);
        result.check_refusals();
        (self.system, result)
    }
}

impl CallResult {
    fn check_late_arrivals(&self, system: &System, restarts: &[(net::IpAddr, time::Instant)]) {
        let endpoints = [&system.first, &system.second];
        let crashes = crash_judge::crashes(&endpoints).len();
        assert!(crashes >= 3, "{crashes} crashes; {:?}", self.deadly);
        let views: Vec<limit_judge::CallerView> = self
            .deadly
            .iter()
            .map(|request| request.view.clone())
            .collect();
        let is_excused = |ip, at| limit_judge::was_restarted(restarts, ip, at);
        let finding = crash_judge::find_late_calls(&endpoints, &views, is_excused);
        assert!(finding.is_none(), "{finding:?}; {}", self.summary());
    }

    /// The request is answered always, and refused at once in calm time.
    fn check_refusals(&self) {
        let mut unlearned = self
            .deadly
            .iter()
            .filter(|request| request.sent < self.calm);
        assert!(
            unlearned.any(|request| request.status == Some(502)),
            "{}",
            self.summary()
        );
        for request in self
            .deadly
            .iter()
            .filter(|request| self.calm < request.sent)
        {
            assert!(
                request.status == Some(503)
                    && request.has_retry_delay
                    && request.elapsed < REFUSAL_BOUND,
                "{request:?}; {}",
                self.summary()
            );
        }
    }

    /// No sound request is blocked, and enough of those that were sent in calm time are served by
    /// their first endpoint.
    fn check_sound(&self, system: &System) {
        let mut codes = self.sound.iter().map(|request| request.code.as_deref());
        assert!(
            codes.all(|code| code != Some(BLOCK_CODE)),
            "a sound request was blocked; {}",
            self.summary()
        );
        let calm = self.sound.iter().filter(|request| self.calm < request.sent);
        let (all, served) = calm.fold((0_u32, 0_u32), |(all, served), request| {
            let is_served = request.status == Some(200)
                && request.is_complete
                && system.arrivals(&request.view.id).len() == 1;
            (all + 1, served + u32::from(is_served))
        });
        let share = f64::from(served) / f64::from(all.max(1));
        assert!(
            share >= MIN_SOUND_SHARE,
            "{served} of {all} sound requests; {}",
            self.summary()
        );
    }

    /// Counts of answers in and before calm time, for messages.
    fn summary(&self) -> String {
        let count = |requests: &[load::SentRequest], is_calm: bool| {
            let mut counts = collections::BTreeMap::new();
            for request in requests {
                if (self.calm < request.sent) == is_calm {
                    *counts.entry(request.status.unwrap_or(0)).or_insert(0) += 1;
                }
            }
            counts
        };
        format!(
            "statuses before and in calm time: sound {:?}, {:?}; crashing {:?}, {:?}",
            count(&self.sound, false),
            count(&self.sound, true),
            count(&self.deadly, false),
            count(&self.deadly, true)
        )
    }
}

fn a_request_that_crashes_endpoints_is_kept_from_them(path: &'static str, sound: &'static str) {
    let load = CallLoad::start(
        caller::CallText::plain(path),
        &[load::LoadPlan::plain(sound)],
    );
    thread::sleep(LEARNING_TIME);
    let calm = time::Instant::now();
    thread::sleep(CALM_TIME);
    let (system, result) = load.finish(calm);
    result.check_sound(&system);
}

common::cases! {
    safe: a_request_that_crashes_endpoints_is_kept_from_them("/safe/deadly", "/safe/1");
    once: a_request_that_crashes_endpoints_is_kept_from_them("/once/deadly", "/once/1");
}
