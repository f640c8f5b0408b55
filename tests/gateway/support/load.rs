//! Callers that send requests to given gateways at a steady rate and keep what they saw.

use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use crate::support::{caller, limit_judge};

/// Text that stands for a part with a random ID in [`LoadPlan::shared_parts`].
pub const OWN_PART: &str = "*";

static NEXT_LOAD: atomic::AtomicU64 = atomic::AtomicU64::new(0);

/// Requests that callers send.
#[derive(Clone, Copy, Debug)]
pub struct LoadPlan {
    /// Callers at each gateway.
    pub callers: u64,
    /// Pause of a caller between two requests.
    pub pause: time::Duration,
    pub call: caller::CallText,
    /// Shared parts of each prompt, to which a part of its own is added; `None` sends no prompt. Each
    /// [`OWN_PART`] among them stands for a part that each prompt has of its own.
    pub shared_parts: Option<&'static str>,
}

impl LoadPlan {
    /// Four callers at each gateway, who send requests without a prompt to `path`.
    pub const fn plain(path: &'static str) -> Self {
        Self {
            callers: 4,
            pause: time::Duration::from_millis(80),
            call: caller::CallText::plain(path),
            shared_parts: None,
        }
    }

    /// Name of a caller, the beginning of its request IDs, which may have 200 bytes.
    fn caller_name(gateway: net::IpAddr, number: u64) -> String {
        let load = NEXT_LOAD.fetch_add(1, atomic::Ordering::SeqCst);
        format!("{gateway}-{number}-{load}")
    }

    /// The parts of a new prompt; `None` without one.
    fn prompt(&self) -> Option<String> {
        let shared = self.shared_parts?.split(',');
        let parts = shared.chain([OWN_PART]).map(|part| {
            if part == OWN_PART {
                return format!("{:x}:100", fastrand::u64(..));
            }
            part.to_owned()
        });
        Some(parts.collect::<Vec<String>>().join(","))
    }
}

/// A request that was answered or not, and how.
#[derive(Clone, Debug)]
pub struct SentRequest {
    pub view: limit_judge::CallerView,
    pub sent: time::Instant,
    pub elapsed: time::Duration,
    /// `None` if there was no answer.
    pub status: Option<u16>,
    pub is_complete: bool,
    /// Whether a refusal said when to come back.
    pub has_retry_delay: bool,
    /// Name of the reason in the body of a refusal.
    pub code: Option<String>,
}

/// Callers that send requests until this is stopped.
#[derive(Debug)]
pub struct SteadyLoad {
    is_over: sync::Arc<atomic::AtomicBool>,
    callers: Vec<thread::JoinHandle<Vec<SentRequest>>>,
}

impl SteadyLoad {
    /// Starts callers of `plan` at each gateway.
    pub fn start(gateways: &[net::IpAddr], plan: LoadPlan) -> Self {
        let is_over = sync::Arc::new(atomic::AtomicBool::new(false));
        let places = gateways
            .iter()
            .flat_map(|ip| (0..plan.callers).map(move |number| (*ip, number)));
        let callers = places.map(|(ip, number)| {
            let is_over = sync::Arc::clone(&is_over);
            thread::spawn(move || {
                send_until(&is_over, ip, &LoadPlan::caller_name(ip, number), plan)
            })
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
    plan: LoadPlan,
) -> Vec<SentRequest> {
    let mut requests = Vec::new();
    while !is_over.load(atomic::Ordering::SeqCst) {
        let id = format!("{name}-{}", requests.len());
        let sent = time::Instant::now();
        let request = plan.call.bytes(&id, plan.prompt().as_deref());
        let answer = caller::exchange((ip, 8227).into(), &request);
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
            is_complete: answer.as_ref().is_some_and(|answer| answer.is_complete),
            code: answer.as_ref().and_then(refusal_code),
            has_retry_delay: answer
                .is_some_and(|answer| answer.head.headers.get("Retry-After").is_some()),
        });
        thread::sleep(plan.pause);
    }
    requests
}

fn refusal_code(answer: &caller::Answer) -> Option<String> {
    let body: serde_json::Value = serde_json::from_slice(&answer.body).ok()?;
    body["error"]["code"].as_str().map(str::to_owned)
}
