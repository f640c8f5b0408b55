//! Counters, latency histograms and gauges: kept in one registry for operators, and sent as StatsD when
//! an address is set.

use std::collections;
use std::fmt;
use std::io;
use std::net;
use std::sync;
use std::sync::mpsc;
use std::thread;
use std::time;

use cadence::Counted as _;
use cadence::Gauged as _;
use cadence::Timed as _;

use crate::process::view;

/// Outcome of setting up metrics.
pub type Result<T> = std::result::Result<T, io::Error>;

/// Name before every StatsD metric.
pub const METRIC_PREFIX: &str = "kumquatpulley";

/// StatsD lines that may wait to be sent; more are dropped.
pub const QUEUE_CAPACITY: usize = 4096;

/// Longest time for which StatsD lines are collected into one packet.
pub const FLUSH_INTERVAL: time::Duration = time::Duration::from_secs(1);

const SHARD_COUNT: usize = 16;

/// Upper bounds of the latency buckets, in seconds: from an answer inside a zone to the longest time
/// that a route gives a request.
const LATENCY_BUCKETS: [f64; 12] = [
    0.005, 0.025, 0.1, 0.25, 0.5, 0.7, 1.0, 2.0, 4.5, 8.0, 15.0, 25.0,
];

/// Metrics of one kind by name.
type NamedMetrics<Metric> = parking_lot::Mutex<collections::BTreeMap<&'static str, Metric>>;

/// Metrics of one process; cheap enough to call from every request.
pub struct RouterMetrics {
    sender: Option<StatsdSender>,
    registry: prometheus::Registry,
    shards: [NamedMetrics<prometheus::IntCounter>; SHARD_COUNT],
    timings: NamedMetrics<prometheus::Histogram>,
    gauges: NamedMetrics<prometheus::IntGauge>,
}

impl fmt::Debug for RouterMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RouterMetrics")
            .field("counters", &self.snapshot())
            .finish_non_exhaustive()
    }
}

impl RouterMetrics {
    /// Metrics that are sent to `statsd`, or only kept in memory when it is `None`.
    ///
    /// # Errors
    /// The socket error when no UDP socket can be opened.
    pub fn new(statsd: Option<net::SocketAddr>) -> Result<Self> {
        Ok(Self {
            sender: statsd.map(StatsdSender::new).transpose()?,
            registry: prometheus::Registry::new(),
            shards: Default::default(),
            timings: parking_lot::Mutex::default(),
            gauges: parking_lot::Mutex::default(),
        })
    }

    /// Adds one to a counter.
    pub fn count(&self, name: &'static str) {
        self.count_by(name, 1);
    }

    /// Adds `amount` to a counter.
    pub fn count_by(&self, name: &'static str, amount: u64) {
        let mut counters = self.shard(name).lock();
        if !counters.contains_key(name) {
            let text = format!("{}_total", text_name(name));
            let counter = prometheus::IntCounter::new(text, name);
            counters.extend(self.registered(name, counter));
        }
        if let Some(counter) = counters.get(name) {
            counter.inc_by(amount);
        }
        drop(counters);
        if let Some(sender) = &self.sender {
            // A full queue loses StatsD lines, never the count in memory.
            let _dropped = sender.client.count(name, amount);
        }
    }

    /// Reports how long something took.
    pub fn time(&self, name: &'static str, elapsed: time::Duration) {
        let mut timings = self.timings.lock();
        if !timings.contains_key(name) {
            let options = prometheus::HistogramOpts::new(text_name(name) + "_seconds", name);
            let options = options.buckets(LATENCY_BUCKETS.to_vec());
            let timing = prometheus::Histogram::with_opts(options);
            timings.extend(self.registered(name, timing));
        }
        if let Some(timing) = timings.get(name) {
            timing.observe(elapsed.as_secs_f64());
        }
        drop(timings);
        if let Some(sender) = &self.sender {
            let _dropped = sender.client.time(name, elapsed);
        }
    }

    /// Reports a present value.
    pub fn gauge(&self, name: &'static str, value: u64) {
        let mut gauges = self.gauges.lock();
        if !gauges.contains_key(name) {
            let gauge = prometheus::IntGauge::new(text_name(name), name);
            gauges.extend(self.registered(name, gauge));
        }
        if let Some(gauge) = gauges.get(name) {
            gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        }
        drop(gauges);
        if let Some(sender) = &self.sender {
            let _dropped = sender.client.gauge(name, value);
        }
    }

    /// All counters since the start of the process.
    #[must_use]
    pub fn snapshot(&self) -> collections::BTreeMap<&'static str, u64> {
        let mut counters = collections::BTreeMap::new();
        for shard in &self.shards {
            let shard = shard.lock();
            counters.extend(shard.iter().map(|(name, counter)| (*name, counter.get())));
        }
        counters
    }

    /// All metrics as Prometheus text.
    #[must_use]
    pub fn text(&self) -> String {
        let encoded = prometheus::TextEncoder::new().encode_to_string(&self.registry.gather());
        encoded.unwrap_or_else(|error| {
            log::error!(cause = error.to_string().as_str(); "metrics cannot be written as text");
            String::new()
        })
    }

    /// A new metric under its name, once the registry has it too.
    fn registered<Metric: prometheus::core::Collector + Clone + 'static>(
        &self,
        name: &'static str,
        metric: prometheus::Result<Metric>,
    ) -> Option<(&'static str, Metric)> {
        let registered = metric.and_then(|metric| {
            self.registry.register(Box::new(metric.clone()))?;
            Ok((name, metric))
        });
        if let Err(error) = &registered {
            log::error!(name, cause = error.to_string().as_str(); "metric left out");
        }
        registered.ok()
    }

    fn shard(&self, name: &str) -> &NamedMetrics<prometheus::IntCounter> {
        let hash = xxhash_rust::xxh3::xxh3_64(name.as_bytes());
        let index = usize::from(hash.to_le_bytes()[0]) % SHARD_COUNT;
        &self.shards[index]
    }
}

/// Name of a metric in Prometheus text.
fn text_name(name: &str) -> String {
    format!("{METRIC_PREFIX}_{}", name.replace(['.', '-'], "_"))
}

/// Sends StatsD lines, several in a packet, none kept longer than [`FLUSH_INTERVAL`].
struct StatsdSender {
    client: sync::Arc<cadence::StatsdClient>,
    /// Its drop ends the thread that sends what is left in the buffer.
    _stop: mpsc::Sender<()>,
}

impl StatsdSender {
    fn new(address: net::SocketAddr) -> Result<Self> {
        let client = sync::Arc::new(statsd_client(address)?);
        let (stop, stopped) = mpsc::channel();
        let flushed = sync::Arc::clone(&client);
        thread::Builder::new()
            .name("statsd-flush".to_owned())
            .spawn(move || flush_until(&stopped, &flushed))?;
        Ok(Self {
            client,
            _stop: stop,
        })
    }
}

fn flush_until(stopped: &mpsc::Receiver<()>, client: &cadence::StatsdClient) {
    while stopped.recv_timeout(FLUSH_INTERVAL) == Err(mpsc::RecvTimeoutError::Timeout) {
        // Counters are lossy by nature; the next flush tries again.
        let _lost = client.flush();
    }
}

fn statsd_client(address: net::SocketAddr) -> Result<cadence::StatsdClient> {
    let local: net::SocketAddr = match address {
        net::SocketAddr::V4(_) => (net::Ipv4Addr::UNSPECIFIED, 0).into(),
        net::SocketAddr::V6(_) => (net::Ipv6Addr::UNSPECIFIED, 0).into(),
    };
    let socket = net::UdpSocket::bind(local)?;
    socket.set_nonblocking(true)?;
    let sink = cadence::BufferedUdpMetricSink::from(address, socket).map_err(io::Error::other)?;
    let queue = cadence::QueuingMetricSink::with_capacity(sink, QUEUE_CAPACITY);
    Ok(cadence::StatsdClient::from_sink(METRIC_PREFIX, queue))
}

impl view::CounterSink for RouterMetrics {
    fn count(&self, name: &'static str) {
        self.count_by(name, 1);
    }

    fn time(&self, name: &'static str, duration: time::Duration) {
        Self::time(self, name, duration);
    }
}
