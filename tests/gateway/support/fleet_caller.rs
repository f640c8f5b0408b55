//! Callers that look up addresses, keep them and their connections, and retry a refusal once.

use std::collections;
use std::io::Write as _;
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use crate::support::{caller, fakes, stop_caller, stop_judge, timed_work};

/// Time for which callers keep addresses.
const ADDRESS_TTL: time::Duration = time::Duration::from_secs(2);

/// One in this many callers keeps addresses three times as long.
const CALLERS_A_LONG_TTL: u64 = 3;

/// Time for a lookup.
const LOOKUP_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Lookups that a caller tries in a row.
const LOOKUP_TRIES: usize = 3;

/// Longest pause of a caller after a request, in which it keeps its connection, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 500;

/// Part of the time left that a caller waits at most after a refusal.
const LONGEST_WAIT_FRACTION: f64 = 1.0 / 3.0;

/// One in this many streams takes several seconds.
const REQUESTS_A_LONG_STREAM: u32 = 3;

/// What all callers share.
#[derive(Debug, Default)]
pub struct FleetDesk {
    pub results: sync::Mutex<Vec<stop_caller::CallResult>>,
    pub is_over: atomic::AtomicBool,
    /// Streams that were served, at the first try or the second.
    pub served_streams: atomic::AtomicU64,
    /// Streams that were not.
    pub unserved_streams: atomic::AtomicU64,
}

/// One caller and what it knows.
#[derive(Debug)]
pub struct FleetCaller {
    desk: sync::Arc<FleetDesk>,
    gateways: Vec<net::IpAddr>,
    name: String,
    random: fastrand::Rng,
    ttl: time::Duration,
    addresses: Vec<net::IpAddr>,
    looked_up: Option<time::Instant>,
    failed: collections::HashSet<net::IpAddr>,
    kept: Option<(net::IpAddr, net::TcpStream)>,
}

impl FleetCaller {
    pub fn new(
        desk: &sync::Arc<FleetDesk>,
        gateways: &[net::IpAddr],
        number: u64,
        seed: u64,
    ) -> Self {
        let is_long = number.is_multiple_of(CALLERS_A_LONG_TTL);
        Self {
            desk: sync::Arc::clone(desk),
            gateways: gateways.to_vec(),
            name: format!("c{number}"),
            random: fastrand::Rng::with_seed(seed + number),
            ttl: ADDRESS_TTL * if is_long { 3 } else { 1 },
            addresses: Vec::new(),
            looked_up: None,
            failed: collections::HashSet::new(),
            kept: None,
        }
    }

    /// Sends requests in a thread until the desk says that it is over.
    pub fn spawn(mut self) -> thread::JoinHandle<()> {
        thread::spawn(move || {
            for number in 0.. {
                if self.desk.is_over.load(atomic::Ordering::SeqCst) {
                    return;
                }
                let request = self.draw_request(number);
                self.serve_request(&request);
                let pause = self.random.u64(..LONGEST_PAUSE_MS);
                thread::sleep(time::Duration::from_millis(pause));
            }
        })
    }

    fn draw_request(&mut self, number: u32) -> stop_caller::TimedRequest {
        let path =
            ["/stream/1", "/stream/1", "/stream/1", "/once/1", "/safe/1"][self.random.usize(..5)];
        let is_stream = path == "/stream/1";
        let is_long = self.random.u32(..REQUESTS_A_LONG_STREAM) == 0;
        let (silent, streamed) = match (is_stream, is_long) {
            (true, true) => (20..300, 4_000..6_000),
            (true, false) => (20..300, 200..600),
            (false, _) => (5..2_500, 0..1),
        };
        let timing = timed_work::WorkTiming {
            silent: time::Duration::from_millis(self.random.u64(silent)),
            streamed: time::Duration::from_millis(self.random.u64(streamed)),
            ..Default::default()
        };
        stop_caller::TimedRequest::new(format!("{}-{number}", self.name), path, timing)
    }

    /// Sends a request, and once more if it is refused with 503.
    fn serve_request(&mut self, request: &stop_caller::TimedRequest) {
        let began = time::Instant::now();
        let mut result = self.send(request);
        let refused = result.as_ref().filter(|call| call.view.status == Some(503));
        if let Some(refused) = refused {
            self.failed.insert(refused.view.gateway);
            let left = request.time_limit().saturating_sub(began.elapsed());
            let wait = refused.retry_after.unwrap_or_default();
            thread::sleep(wait.min(left.mul_f64(LONGEST_WAIT_FRACTION)));
            self.kept = None;
            let mut again = request.clone();
            again.id.push_str("-again");
            result = self.send(&again);
        }
        if request.is_stream() {
            let is_served = result.is_some_and(|call| call.is_served);
            let counter = if is_served {
                &self.desk.served_streams
            } else {
                &self.desk.unserved_streams
            };
            counter.fetch_add(1, atomic::Ordering::SeqCst);
        }
    }

    /// Sends a request on the kept connection or a new one; `None` without an address.
    fn send(&mut self, request: &stop_caller::TimedRequest) -> Option<stop_caller::CallResult> {
        self.renew_addresses();
        let (gateway, mut stream) = self.connection()?;
        let result = stop_caller::call(&mut stream, gateway, request);
        if matches!(
            result.view.end,
            stop_judge::CallEnd::Closed | stop_judge::CallEnd::Reset
        ) {
            self.failed.insert(gateway);
        }
        if result.is_kept {
            self.kept = Some((gateway, stream));
        }
        let mut results = self.desk.results.lock().expect("not poisoned");
        results.push(result.clone());
        Some(result)
    }

    fn connection(&mut self) -> Option<(net::IpAddr, net::TcpStream)> {
        if let Some((gateway, mut stream)) = self.kept.take()
            && !fakes::is_closed(&mut stream)
        {
            return Some((gateway, stream));
        }
        let mut usable = self.addresses.clone();
        usable.retain(|address| !self.failed.contains(address));
        while let Some(index) = (!usable.is_empty()).then(|| self.random.usize(..usable.len())) {
            let gateway = usable.swap_remove(index);
            if let Some(stream) = stop_caller::connect(gateway) {
                return Some((gateway, stream));
            }
            self.failed.insert(gateway);
        }
        // All addresses have failed; the next request looks them up anew.
        self.looked_up = None;
        None
    }

    /// Looks up addresses once the known ones are too old.
    fn renew_addresses(&mut self) {
        if self.looked_up.is_some_and(|at| at.elapsed() < self.ttl) {
            return;
        }
        for _try in 0..LOOKUP_TRIES {
            let gateway = self.gateways[self.random.usize(..self.gateways.len())];
            let Some(addresses) = look_up(gateway) else {
                continue;
            };
            self.addresses = addresses;
            self.looked_up = Some(time::Instant::now());
            self.failed.clear();
            break;
        }
        let addresses = &self.addresses;
        self.kept
            .take_if(|(gateway, _stream)| !addresses.contains(gateway));
    }
}

/// Addresses that a gateway tells; `None` when it does not answer.
fn look_up(gateway: net::IpAddr) -> Option<Vec<net::IpAddr>> {
    let address = net::SocketAddr::from((gateway, 8224));
    let mut stream = net::TcpStream::connect_timeout(&address, LOOKUP_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(LOOKUP_TIMEOUT)).ok()?;
    let question = b"GET /resolve?name=h&region=r&zone=z1 HTTP/1.1\r\nHost: h\r\n\r\n";
    stream.write_all(question).ok()?;
    let answer = caller::read_answer(&mut stream)?;
    let value: serde_json::Value = serde_json::from_slice(&answer.body).ok()?;
    let addresses = value["addrs"].as_array()?.iter();
    let addresses = addresses.filter_map(|text| text.as_str()?.parse::<net::SocketAddr>().ok());
    Some(addresses.map(|address| address.ip()).collect())
}
