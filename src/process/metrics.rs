//! Counters and timings: kept in memory for operators, and sent as StatsD when an address is set.

use std::collections;
use std::fmt;
use std::io;
use std::net;
use std::time;

use cadence::Counted as _;
use cadence::Gauged as _;
use cadence::Timed as _;
use parking_lot::Mutex;

use crate::process::view;

/// Outcome of setting up metrics.
pub type Result<T> = std::result::Result<T, io::Error>;

/// Name before every StatsD metric.
pub const METRIC_PREFIX: &str = "kumquatpulley";

/// StatsD lines that may wait to be sent; more are dropped.
pub const QUEUE_CAPACITY: usize = 4096;

const SHARD_COUNT: usize = 16;

/// Counters of one process; cheap enough to call from every request.
pub struct RouterMetrics {
    client: cadence::StatsdClient,
    shards: [Mutex<collections::BTreeMap<&'static str, u64>>; SHARD_COUNT],
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
        let client = match statsd {
            Some(address) => statsd_client(address)?,
            None => cadence::StatsdClient::from_sink(METRIC_PREFIX, cadence::NopMetricSink),
        };
        Ok(Self {
            client,
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
        // A full queue loses StatsD lines, never the count in memory.
        let _dropped = self.client.count(name, amount);
    }

    /// Reports how long something took.
    pub fn time(&self, name: &'static str, elapsed: time::Duration) {
        let _dropped = self.client.time(name, elapsed);
    }

    /// Reports a present value.
    pub fn gauge(&self, name: &'static str, value: u64) {
        let _dropped = self.client.gauge(name, value);
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

    fn shard(&self, name: &str) -> &Mutex<collections::BTreeMap<&'static str, u64>> {
        let hash = xxhash_rust::xxh3::xxh3_64(name.as_bytes());
        let index = usize::from(hash.to_le_bytes()[0]) % SHARD_COUNT;
        &self.shards[index]
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
