//! Sends SIGTERM to a gateway process while callers send requests, and judges what was seen.

use std::net;
use std::sync;
use std::thread;
use std::time;

use rustix::process as unix;

use crate::support::system::System;
use crate::support::{limit_judge, router, stop_caller, stop_judge, timed_work};

/// Time in which a connection may end after a request that is not passed on.
pub const LOSS_SLACK: time::Duration = time::Duration::from_millis(200);

/// Time for which a gateway keeps an idle connection; longer than any case.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Time from the start of a case to its SIGTERM, in which connections are opened.
pub const LEAD_TIME: time::Duration = time::Duration::from_secs(1);

/// Interval between checks whether a stopped gateway has exited.
const EXIT_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// A gateway that gets SIGTERM, and callers that send requests at times relative to it.
#[derive(Debug)]
pub struct PlannedStop {
    pub system: System,
    results: sync::Arc<sync::Mutex<Vec<stop_caller::CallResult>>>,
    callers: Vec<thread::JoinHandle<()>>,
    /// When SIGTERM is sent.
    pub stops_at: time::Instant,
    /// Time for which the process is paused, relative to the SIGTERM.
    pub pause: Option<ProcessPause>,
}

/// A time for which a process is paused.
#[derive(Clone, Copy, Debug)]
pub struct ProcessPause {
    pub from: time::Duration,
    pub until: time::Duration,
}

impl PlannedStop {
    /// Starts a gateway that gets SIGTERM [`LEAD_TIME`] after it is ready, unless that is changed.
    pub fn start(grace: time::Duration) -> Self {
        let system = System::start_with_grace(1, grace);
        let config = System::config(2, r#""k""#);
        let config = config.replace(
            r#""idle_timeout_ms":5000"#,
            &format!(r#""idle_timeout_ms":{}"#, IDLE_TIMEOUT.as_millis()),
        );
        system.store.put("op", "config", config.as_bytes());
        system.wait_for("connections may be idle for long", || {
            system.logs().contains(r#""version":2"#)
        });
        Self {
            system,
            results: sync::Arc::default(),
            callers: Vec::new(),
            stops_at: time::Instant::now() + LEAD_TIME,
            pause: None,
        }
    }

    /// Sends `request` at `at`, on a connection that has served a call before.
    pub fn send_on_kept(&mut self, at: time::Instant, request: stop_caller::TimedRequest) {
        let gateway = self.system.ip();
        let mut connection = self.kept_connection(&request.id);
        self.send_later(at, move || {
            vec![stop_caller::call(&mut connection, gateway, &request)]
        });
    }

    /// Sends a stream that runs until the gateway exits, as one without requests exits early.
    pub fn keep_running(&mut self) {
        let timing = timed_work::WorkTiming {
            streamed: self.system.grace + LEAD_TIME,
            ..Default::default()
        };
        let request = stop_caller::TimedRequest::new("keeper".to_owned(), "/stream/1", timing);
        self.send_on_kept(time::Instant::now(), request);
    }

    /// Opens a connection and sends a call named after `id` on it.
    pub fn kept_connection(&self, id: &str) -> net::TcpStream {
        let gateway = self.system.ip();
        let mut connection = stop_caller::connect(gateway).expect("a connection");
        let id = format!("{id}-first");
        let timing = timed_work::WorkTiming::default();
        let first = stop_caller::TimedRequest::new(id, "/safe/1", timing);
        let first = stop_caller::call(&mut connection, gateway, &first);
        assert!(first.is_served && first.is_kept, "{first:?}");
        connection
    }

    /// Sends `request` now, on a connection of its own; it has to be served.
    pub fn send_now(&self, request: &stop_caller::TimedRequest) {
        let gateway = self.system.ip();
        let mut connection = stop_caller::connect(gateway).expect("a connection");
        let result = stop_caller::call(&mut connection, gateway, request);
        assert!(result.is_served, "{result:?}");
    }

    /// Runs `send` in a thread of its own at `at`.
    pub fn send_later(
        &mut self,
        at: time::Instant,
        send: impl FnOnce() -> Vec<stop_caller::CallResult> + Send + 'static,
    ) {
        let results = sync::Arc::clone(&self.results);
        self.callers.push(thread::spawn(move || {
            sleep_until(at);
            let seen = send();
            results.lock().expect("not poisoned").extend(seen);
        }));
    }

    /// Sends SIGTERM, and SIGKILL once the grace period is over; returns what was seen.
    pub fn finish(mut self) -> StopReport {
        sleep_until(self.stops_at);
        let gateway = &mut self.system.gateways[0];
        let signal = stop_judge::StopSignal {
            gateway: gateway.ip,
            at: time::Instant::now(),
        };
        router::signal(gateway, unix::Signal::TERM);
        if let Some(pause) = self.pause {
            sleep_until(signal.at + pause.from);
            router::signal(gateway, unix::Signal::STOP);
            sleep_until(signal.at + pause.until);
            router::signal(gateway, unix::Signal::CONT);
        }
        let exited = wait_for_exit(gateway, signal.at + self.system.grace);
        for caller in self.callers {
            caller.join().expect("a caller does not panic");
        }
        let results = self.results.lock().expect("not poisoned").clone();
        let mut runs = self.system.first.runs();
        runs.extend(self.system.second.runs());
        let bounds = stop_judge::StopBounds {
            grace: self.system.grace,
            loss_slack: LOSS_SLACK,
        };
        StopReport {
            results,
            runs,
            signals: vec![signal],
            bounds,
            disruption: self
                .pause
                .map(|pause| (signal.at + pause.from, signal.at + pause.until)),
            exited: Some(exited.duration_since(signal.at)),
        }
    }
}

pub fn sleep_until(at: time::Instant) {
    thread::sleep(at.saturating_duration_since(time::Instant::now()));
}

/// Waits until the gateway has exited, and kills it at `until`; returns when it had ended.
pub fn wait_for_exit(gateway: &mut router::GatewayProcess, until: time::Instant) -> time::Instant {
    while time::Instant::now() < until {
        if gateway.child.try_wait().expect("a process").is_some() {
            return time::Instant::now();
        }
        thread::sleep(EXIT_CHECK_INTERVAL);
    }
    gateway.child.kill().expect("it was not waited for");
    gateway.child.wait().expect("a process");
    time::Instant::now()
}

/// What callers and endpoints saw around planned stops.
#[derive(Debug)]
pub struct StopReport {
    pub results: Vec<stop_caller::CallResult>,
    pub runs: Vec<stop_judge::EndpointRun>,
    pub signals: Vec<stop_judge::StopSignal>,
    pub bounds: stop_judge::StopBounds,
    /// From when until when the process was paused.
    pub disruption: Option<(time::Instant, time::Instant)>,
    /// Time from the SIGTERM to the end of the process, if there was one stop.
    pub exited: Option<time::Duration>,
}

impl StopReport {
    /// Checks that no request was lost, answered wrongly or refused although it ran.
    pub fn check(&self) {
        let lost = self.find_lost(|view| self.is_excused(view)).into_iter();
        let mut findings: Vec<String> = lost.map(|request| request.text).collect();
        let unsafe_calls = self.results.iter().filter(|call| call.path == "/once/1");
        let unsafe_calls = unsafe_calls.map(|result| result.view.clone());
        let unsafe_calls: Vec<stop_judge::CallerView> = unsafe_calls.collect();
        let refused = stop_judge::find_false_refusals(&unsafe_calls, &self.runs);
        findings.extend(refused.iter().map(|id| format!("{id}: refused, and ran")));
        findings.extend(self.results.iter().filter_map(|call| call.fault.clone()));
        let unexcused = self.find_lost(|_view| false).len();
        println!("{}; {unexcused} cut, excused ones included", self.summary());
        assert!(
            findings.is_empty(),
            "{} findings; {}\n{}",
            findings.len(),
            self.summary(),
            findings.join("\n")
        );
    }

    fn find_lost(
        &self,
        is_excused: impl Fn(&stop_judge::CallerView) -> bool,
    ) -> Vec<stop_judge::LostRequest> {
        let views = self.results.iter().map(|result| result.view.clone());
        let views: Vec<stop_judge::CallerView> = views.collect();
        stop_judge::find_lost(&views, &self.runs, &self.signals, self.bounds, is_excused)
    }

    /// Whether the process was paused from the contact time before the request to its end.
    fn is_excused(&self, view: &stop_judge::CallerView) -> bool {
        self.disruption.is_some_and(|(from, until)| {
            from <= view.ended && view.sent < until + limit_judge::CONTACT_TIME
        })
    }

    /// Checks that no request ended before the head of an answer, excused ones included. One that
    /// crossed the close of its connection and was not passed on is not answered.
    pub fn check_answered(&self) {
        let results = self.results.iter();
        let cut = results.filter(|call| {
            let crossed = call.view.ended.duration_since(call.view.last_byte) <= LOSS_SLACK
                && self.runs.iter().all(|run| run.id != call.view.id);
            !crossed && call.view.end != stop_judge::CallEnd::Answered && call.view.status.is_none()
        });
        let cut: Vec<&str> = cut.map(|call| call.view.id.as_str()).collect();
        assert!(cut.is_empty(), "{}; not answered: {cut:?}", self.summary());
    }

    /// How many requests ended in which way.
    fn summary(&self) -> String {
        let count = |is_counted: &dyn Fn(&stop_caller::CallResult) -> bool| {
            self.results.iter().filter(|call| is_counted(call)).count()
        };
        let ends_with = |end| count(&|call: &stop_caller::CallResult| call.view.end == end);
        format!(
            "exit after {:?}; {} requests, {} served, {} refused with 503, {} closed, {} reset, \
             {} given up",
            self.exited,
            self.results.len(),
            count(&|call| call.is_served),
            count(&|call| call.view.status == Some(503)),
            ends_with(stop_judge::CallEnd::Closed),
            ends_with(stop_judge::CallEnd::Reset),
            ends_with(stop_judge::CallEnd::GivenUp),
        )
    }
}
