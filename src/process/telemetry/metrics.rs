//! Counters, latency histograms and gauges, exposed as Prometheus text and optionally sent to a
//! StatsD server.

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

/// Result of opening the StatsD socket and starting its thread.
pub type Result<T> = std::result::Result<T, io::Error>;

/// Prefix of every StatsD and Prometheus metric name.
pub const METRIC_PREFIX: &str = "kumquatpulley";

/// Capacity of the StatsD send queue, in lines; when it is full, new lines are dropped.
pub const QUEUE_CAPACITY: usize = 4096;

/// Maximum time that StatsD lines are buffered into one packet.
pub const FLUSH_INTERVAL: time::Duration = time::Duration::from_secs(1);

const SHARD_COUNT: usize = 16;

/// Upper bounds of the latency buckets, in seconds. They range from a response within one
/// availability zone to the longest request timeout of a route.
const LATENCY_BUCKETS: [f64; 12] = [
    0.005, 0.025, 0.1, 0.25, 0.5, 0.7, 1.0, 2.0, 4.5, 8.0, 15.0, 25.0,
];

/// Metrics of one type, by name.
type NamedMetrics<Metric> = parking_lot::Mutex<collections::BTreeMap<&'static str, Metric>>;

/// Metrics of one process, cheap enough to update on every request.
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
    /// Creates metrics that are also sent to `statsd`, or only kept in memory when it is `None`.
    ///
    /// # Errors
    /// Returns the I/O error when the UDP socket or the flush thread cannot be created.
    pub fn new(statsd: Option<net::SocketAddr>) -> Result<Self> {
        Ok(Self {
            sender: statsd.map(StatsdSender::new).transpose()?,
            registry: prometheus::Registry::new(),
            shards: Default::default(),
            timings: parking_lot::Mutex::default(),
            gauges: parking_lot::Mutex::default(),
        })
    }

    /// Increments the counter `name` by one.
    pub fn count(&self, name: &'static str) {
        self.count_by(name, 1);
    }

    /// Increments the counter `name` by `amount`.
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
            // A full queue drops the StatsD line; the in-memory count stays correct.
            let _dropped = sender.client.count(name, amount);
        }
    }

    /// Records `elapsed` in the latency histogram `name`.
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

    /// Sets the gauge `name` to `value`.
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

    /// Returns all counter values since process start, by name.
    #[must_use]
    pub fn snapshot(&self) -> collections::BTreeMap<&'static str, u64> {
        let mut counters = collections::BTreeMap::new();
        for shard in &self.shards {
            let shard = shard.lock();
            counters.extend(shard.iter().map(|(name, counter)| (*name, counter.get())));
        }
        counters
    }

    /// Returns all metrics in the Prometheus text format.
    #[must_use]
    pub fn text(&self) -> String {
        encode(&self.registry.gather())
    }

    /// Returns all metrics as [`Self::text`], and a gauge with labels whose values are `samples`. Values
    /// of labels that are not among them any more are left out.
    #[must_use]
    pub fn text_with<const LABELS: usize>(
        &self,
        name: &'static str,
        labels: [&str; LABELS],
        samples: impl Iterator<Item = ([String; LABELS], u64)>,
    ) -> String {
        let options = prometheus::Opts::new(text_name(name), name);
        let gauge = match prometheus::IntGaugeVec::new(options, &labels) {
            Ok(gauge) => gauge,
            Err(error) => {
                log::error!(name, cause = error.to_string().as_str(); "metric left out");
                return self.text();
            }
        };
        for (values, sample) in samples {
            let values: Vec<&str> = values.iter().map(String::as_str).collect();
            let sample = i64::try_from(sample).unwrap_or(i64::MAX);
            gauge.with_label_values(&values).set(sample);
        }
        let mut families = self.registry.gather();
        families.extend(prometheus::core::Collector::collect(&gauge));
        families.retain(|family| !family.get_metric().is_empty());
        encode(&families)
    }

    /// Registers a new metric and returns it with its name, or logs the error.
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

/// Encodes metrics in the Prometheus text format.
fn encode(families: &[prometheus::proto::MetricFamily]) -> String {
    let encoded = prometheus::TextEncoder::new().encode_to_string(families);
    encoded.unwrap_or_else(|error| {
        log::error!(cause = error.to_string().as_str(); "metrics cannot be written as text");
        String::new()
    })
}

/// Converts a metric name to its Prometheus form.
fn text_name(name: &str) -> String {
    format!("{METRIC_PREFIX}_{}", name.replace(['.', '-'], "_"))
}

/// Sends StatsD lines in batches and flushes them every [`FLUSH_INTERVAL`].
struct StatsdSender {
    client: sync::Arc<cadence::StatsdClient>,
    /// Stops the periodic flush thread when dropped.
    _stop: mpsc::Sender<()>,
}

impl StatsdSender {
    fn new(address: net::SocketAddr) -> Result<Self> {
        let client = sync::Arc::new(statsd_client(address)?);
        let (stop, stopped) = mpsc::channel();
        let flush_client = sync::Arc::clone(&client);
        thread::Builder::new()
            .name("statsd-flush".to_owned())
            .spawn(move || flush_until(&stopped, &flush_client))?;
        Ok(Self {
            client,
            _stop: stop,
        })
    }
}

fn flush_until(stopped: &mpsc::Receiver<()>, client: &cadence::StatsdClient) {
    while stopped.recv_timeout(FLUSH_INTERVAL) == Err(mpsc::RecvTimeoutError::Timeout) {
        // StatsD delivery is best effort; the next flush tries again.
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
