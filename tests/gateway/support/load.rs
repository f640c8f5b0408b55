//! Callers that send requests to given gateways at a steady rate and keep what they saw.

use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use crate::support::system::System;
use crate::support::{caller, limit_judge};

/// Callers at each gateway.
const CALLERS: u64 = 4;

/// Pause of a caller between two requests.
const PAUSE: time::Duration = time::Duration::from_millis(80);

/// A request that was answered or not, and how.
#[derive(Clone, Debug)]
pub struct SentRequest {
    pub view: limit_judge::CallerView,
    pub sent: time::Instant,
    pub elapsed: time::Duration,
    /// `None` if there was no answer.
    pub status: Option<u16>,
    /// Whether a refusal said when to come back.
    pub has_retry_delay: bool,
}

/// Callers that send requests until this is stopped.
#[derive(Debug)]
pub struct SteadyLoad {
    is_over: sync::Arc<atomic::AtomicBool>,
    callers: Vec<thread::JoinHandle<Vec<SentRequest>>>,
}

impl SteadyLoad {
    /// Starts [`CALLERS`] callers at each gateway; each sends requests to `path`.
    pub fn start(gateways: &[net::IpAddr], path: &'static str) -> Self {
        let is_over = sync::Arc::new(atomic::AtomicBool::new(false));
        let places = gateways
            .iter()
            .flat_map(|ip| (0..CALLERS).map(move |number| (*ip, number)));
        let callers = places.map(|(ip, number)| {
            let is_over = sync::Arc::clone(&is_over);
            thread::spawn(move || send_until(&is_over, ip, &format!("{ip}-{number}"), path))
        });
        Self {
            callers: callers.collect(),
            is_over,
        }
    }

    /// Stops the callers and returns all requests.
    pub fn stop(self) -> Vec<SentRequest> {
        self.is_over.store(true, atomic::Ordering::SeqCst);
        let callers = self.callers.into_iter();
        let requests = callers.map(|caller| caller.join().expect("a caller does not panic"));
        requests.flatten().collect()
    }
}

fn send_until(
    is_over: &atomic::AtomicBool,
    ip: net::IpAddr,
    name: &str,
    path: &str,
) -> Vec<SentRequest> {
    let mut requests = Vec::new();
    while !is_over.load(atomic::Ordering::SeqCst) {
        let id = format!("{name}-{}", requests.len());
        let sent = time::Instant::now();
        let answer: Option<caller::Answer> = System::send(ip, path, &id);
        let answered = answer.as_ref().map(|_answer| time::Instant::now());
        requests.push(SentRequest {
            view: limit_judge::CallerView {
                id,
                gateway: ip,
                answered,
            },
            sent,
            elapsed: sent.elapsed(),
            status: answer.as_ref().map(|answer| answer.head.status),
            has_retry_delay: answer
                .is_some_and(|answer| answer.head.headers.get("Retry-After").is_some()),
        });
        thread::sleep(PAUSE);
    }
    requests
}
