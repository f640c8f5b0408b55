//! A system under load of sound requests and of one that crashes endpoints, and what its callers
//! have to see.

use std::collections;
use std::fmt;
use std::net;
use std::ops;
use std::thread;
use std::time;

use crate::support::system::System;
use crate::support::{caller, crash_judge, deadly_calls, fakes, limit_judge, load};

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

/// Crashes after which a request has to be known.
const CRASHES_TO_LEARN: usize = 3;

/// A system with three gateways under load.
pub struct CallLoad {
    pub system: System,
    sound: Vec<load::SteadyLoad>,
    deadly: Vec<load::SteadyLoad>,
    /// Requests that crash endpoints, of loads that have ended.
    past_deadly: Vec<load::SentRequest>,
    /// Gateways that were killed or started again, and when.
    restarts: Vec<(net::IpAddr, time::Instant)>,
    /// End of the last time that the store was away.
    store_returned: Option<time::Instant>,
}

impl CallLoad {
    /// Starts callers of `sound` and of a request that crashes endpoints, each at all gateways.
    pub fn start(
        system: System,
        deadly: deadly_calls::DeadlyCall,
        sound: &[load::LoadPlan],
    ) -> Self {
        for endpoint in system.endpoints() {
            endpoint.calls().set_deadly(Some(deadly));
        }
        Self::start_sound(system, sound)
    }

    /// Starts callers of `sound` alone.
    pub fn start_sound(system: System, sound: &[load::LoadPlan]) -> Self {
        for endpoint in system.endpoints() {
            endpoint.calls().set_run_time(RUN_TIME);
        }
        let mut load = Self {
            sound: Vec::new(),
            system,
            deadly: Vec::new(),
            past_deadly: Vec::new(),
            restarts: Vec::new(),
            store_returned: None,
        };
        for plan in sound {
            load.send_sound(*plan);
        }
        load
    }

    /// Starts more callers of sound requests at all gateways.
    pub fn send_sound(&mut self, plan: load::LoadPlan) {
        let ips = self.system.gateway_ips();
        self.sound.push(load::SteadyLoad::start(&ips, plan));
    }

    /// Starts a caller at each gateway of a request that crashes endpoints.
    pub fn send_deadly(&mut self, call: caller::CallText) {
        let plan = load::LoadPlan {
            callers: 1,
            pause: DEADLY_PAUSE,
            call,
            shared_parts: None,
        };
        let ips = self.system.gateway_ips();
        self.deadly.push(load::SteadyLoad::start(&ips, plan));
    }

    /// Ends the callers of requests that crash endpoints.
    pub fn stop_deadly(&mut self) {
        let requests = self.deadly.drain(..).flat_map(load::SteadyLoad::stop);
        self.past_deadly.extend(requests);
    }

    /// Waits for the crash after which the request has to be known; returns its time.
    pub fn wait_for_last_crash(&self) -> time::Instant {
        let crashes = || crash_judge::crashes(&self.system.endpoints());
        self.system
            .wait_for("the third crash", || crashes().len() >= CRASHES_TO_LEARN);
        crashes()[CRASHES_TO_LEARN - 1]
    }

    /// Gives an endpoint in the store that crashes a new name, as a process that replaces another one
    /// has, until `time` has passed.
    pub fn replace_crashed(&self, time: time::Duration) {
        let until = time::Instant::now() + time;
        let mut replaced = [0; 2];
        while time::Instant::now() < until {
            let endpoints = self.system.endpoints().into_iter().zip(["z1", "z2"]);
            for ((endpoint, zone), replaced) in endpoints.zip(&mut replaced) {
                let crashes = endpoint.crashes().len();
                let names = (life_name(endpoint, *replaced), life_name(endpoint, crashes));
                let store = &self.system.store;
                if crashes > *replaced && store.keys("servers").contains(&names.0) {
                    endpoint.rename(&names.1);
                    store.remove("servers", &names.0);
                    store.put("servers", &names.1, &endpoint.entry("m", zone, "ready"));
                    *replaced = crashes;
                }
            }
            thread::sleep(time::Duration::from_millis(20));
        }
    }

    /// Makes the store unavailable to all gateways for `time`.
    pub fn take_store_away(&mut self, time: time::Duration) {
        self.set_store_unavailable(true);
        thread::sleep(time);
        self.set_store_unavailable(false);
        self.store_returned = Some(time::Instant::now());
    }

    fn set_store_unavailable(&self, is_unavailable: bool) {
        for gateway in &self.system.gateways {
            let store = &self.system.store;
            store.set_unavailable(gateway.store_address, is_unavailable);
        }
    }

    /// Kills the gateways with these indices, then starts them again.
    pub fn restart(&mut self, indices: ops::Range<usize>) {
        self.restarts.extend(self.system.restart(indices));
    }

    /// Ends the load; calm time began at `calm`.
    pub fn finish(mut self, calm: time::Instant) -> CallResult {
        self.stop_deadly();
        let sound = self.sound.into_iter().flat_map(load::SteadyLoad::stop);
        CallResult {
            sound: sound.collect(),
            deadly: self.past_deadly,
            calm,
            system: self.system,
            restarts: self.restarts,
            store_returned: self.store_returned,
        }
    }
}

/// Name of an endpoint after a number of crashes.
fn life_name(endpoint: &fakes::FakeEndpoint, crashes: usize) -> String {
    if crashes == 0 {
        return endpoint.name.clone();
    }
    format!("{}-{crashes}", endpoint.name)
}

/// What callers saw, and when calm time began.
pub struct CallResult {
    sound: Vec<load::SentRequest>,
    deadly: Vec<load::SentRequest>,
    calm: time::Instant,
    system: System,
    restarts: Vec<(net::IpAddr, time::Instant)>,
    store_returned: Option<time::Instant>,
}

impl CallResult {
    /// The request was kept from endpoints in time, and refused at once in calm time.
    pub fn check_deadly(&self) {
        self.check_deadly_within(REFUSAL_BOUND);
    }

    /// As [`CallResult::check_deadly`], where sound requests have bodies as large: the transfer of these
    /// takes its time, so a refusal may come as late as the slowest sound answer in calm time.
    pub fn check_large_deadly(&self) {
        let calm = self.sound.iter().filter(|request| self.is_calm(request));
        let slowest = calm.map(|request| request.elapsed).max();
        self.check_deadly_within(REFUSAL_BOUND.max(slowest.unwrap_or_default()));
    }

    fn check_deadly_within(&self, refusal_bound: time::Duration) {
        let endpoints = self.system.endpoints();
        let crashes = crash_judge::crashes(&endpoints).len();
        assert!(crashes >= CRASHES_TO_LEARN, "{crashes} crashes; {self}");
        let views: Vec<limit_judge::CallerView> = self
            .deadly
            .iter()
            .map(|request| request.view.clone())
            .collect();
        let finding = crash_judge::find_late_calls(&endpoints, &views, |gateway, at| {
            let stable = self.store_returned.map(|at| at + limit_judge::CONTACT_TIME);
            stable.is_some_and(|stable| at < stable)
                || limit_judge::was_restarted(&self.restarts, gateway, at)
        });
        assert!(finding.is_none(), "{finding:?}; {self}");
        self.check_refusals(refusal_bound);
    }

    fn check_refusals(&self, bound: time::Duration) {
        let mut unlearned = self.deadly.iter().filter(|request| !self.is_calm(request));
        assert!(
            unlearned.any(|request| request.status == Some(502)),
            "no crash was reported; {self}"
        );
        for request in self.deadly.iter().filter(|request| self.is_calm(request)) {
            assert!(
                request.status == Some(503) && request.has_retry_delay && request.elapsed < bound,
                "{request:?}; {self}"
            );
        }
    }

    /// No sound request is blocked, and enough of those that were sent in calm time are served by
    /// their first endpoint.
    pub fn check_sound(&self) {
        let mut codes = self.sound.iter().map(|request| request.code.as_deref());
        assert!(
            codes.all(|code| code != Some(BLOCK_CODE)),
            "a sound request was blocked; {self}"
        );
        let arrivals = self.arrival_counts();
        let calm = self.sound.iter().filter(|request| self.is_calm(request));
        let (all, served) = calm.fold((0_u32, 0_u32), |(all, served), request| {
            let is_served = request.status == Some(200)
                && request.is_complete
                && arrivals.get(&request.view.id) == Some(&1);
            (all + 1, served + u32::from(is_served))
        });
        let share = f64::from(served) / f64::from(all.max(1));
        assert!(
            share >= MIN_SOUND_SHARE,
            "{served} of {all} sound requests; {self}"
        );
    }

    fn is_calm(&self, request: &load::SentRequest) -> bool {
        self.calm < request.sent
    }

    /// How often each request reached an endpoint.
    fn arrival_counts(&self) -> collections::HashMap<String, u32> {
        let mut counts = collections::HashMap::new();
        for request in self
            .system
            .endpoints()
            .into_iter()
            .flat_map(fakes::FakeEndpoint::received)
        {
            let id = request
                .field("Kumquatpulley-Request-Id")
                .unwrap_or_default();
            *counts.entry(id).or_insert(0) += 1;
        }
        counts
    }
}

/// Counts of answers before and in calm time.
impl fmt::Display for CallResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let statuses = |requests: &[load::SentRequest], is_calm: bool| {
            let mut counts = collections::BTreeMap::new();
            for request in requests {
                if self.is_calm(request) == is_calm {
                    let code = request.code.clone().unwrap_or_default();
                    *counts
                        .entry((request.status.unwrap_or(0), code))
                        .or_insert(0) += 1;
                }
            }
            counts
        };
        let crashes = crash_judge::crashes(&self.system.endpoints()).len();
        let slowest = |requests: &[load::SentRequest]| {
            let calm = requests.iter().filter(|request| self.is_calm(request));
            calm.map(|request| request.elapsed).max()
        };
        write!(
            f,
            "slowest answers in calm time: sound {:?}, crashing {:?}; {crashes} crashes; statuses before and in calm time: sound {:?}, {:?}; crashing {:?}, {:?}",
            slowest(&self.sound),
            slowest(&self.deadly),
            statuses(&self.sound, false),
            statuses(&self.sound, true),
            statuses(&self.deadly, false),
            statuses(&self.deadly, true)
        )
    }
}
