//! Counters and timings: kept in memory for operators, and sent as StatsD when an address is set.

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

/// Counters of one process; cheap enough to call from every request.
pub struct RouterMetrics {
    sender: Option<StatsdSender>,
    shards: [parking_lot::Mutex<collections::BTreeMap<&'static str, u64>>; SHARD_COUNT],
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
            shards: Default::default(),
        })
    }

    /// Adds one to a counter.
    pub fn count(&self, name: &'static str) {
        self.count_by(name, 1);
    }

    /// Adds `amount` to a counter.
    pub fn count_by(&self, name: &'static str, amount: u64) {
        *self.shard(name).lock().entry(name).or_default() += amount;
        if let Some(sender) = &self.sender {
            // A full queue loses StatsD lines, never the count in memory.
            let _dropped = sender.client.count(name, amount);
        }
    }

    /// Reports how long something took.
    pub fn time(&self, name: &'static str, elapsed: time::Duration) {
        if let Some(sender) = &self.sender {
            let _dropped = sender.client.time(name, elapsed);
        }
    }

    /// Reports a present value.
    pub fn gauge(&self, name: &'static str, value: u64) {
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
            counters.extend(shard.iter().map(|(name, count)| (*name, *count)));
        }
        counters
    }

    fn shard(&self, name: &str) -> &parking_lot::Mutex<collections::BTreeMap<&'static str, u64>> {
        let hash = xxhash_rust::xxh3::xxh3_64(name.as_bytes());
        let index = usize::from(hash.to_le_bytes()[0]) % SHARD_COUNT;
        &self.shards[index]
    }
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
