//! Single streams: straight from an engine, or through the router.

use std::net;
use std::time;

use kumquatpulley::connection::caller_stream;
use kumquatpulley::connection::engine;
use kumquatpulley::connection::engine_wire;
use kumquatpulley::request::cursor;

use crate::WORKSPACE;
use crate::bench;
use crate::numbers;
use crate::process;
use crate::system;

/// Outcome of a stream.
pub type Result<T> = eyre::Result<T>;

/// Tokens of each answer.
pub const MAX_TOKENS: u32 = 200;

const SILENCE: time::Duration = time::Duration::from_secs(5);
const DEADLINE: time::Duration = time::Duration::from_secs(30);

/// Times of one stream.
#[derive(Clone, Debug)]
pub struct StreamTimes {
    /// Time from asking to the first token.
    pub first: time::Duration,
    /// Times between tokens.
    pub gaps: Vec<time::Duration>,
}

/// Arrival times while a stream runs.
#[derive(Debug)]
struct StreamClock {
    last: time::Instant,
    first: Option<time::Duration>,
    gaps: Vec<time::Duration>,
}

impl StreamClock {
    fn start() -> Self {
        Self {
            last: time::Instant::now(),
            first: None,
            gaps: Vec::with_capacity(MAX_TOKENS as usize),
        }
    }

    fn tick(&mut self) {
        let now = time::Instant::now();
        let gap = now - self.last;
        self.last = now;
        match self.first {
            None => self.first = Some(gap),
            Some(_first) => self.gaps.push(gap),
        }
    }

    fn finish(self, count: u32) -> Result<StreamTimes> {
        let first = self.first.unwrap_or_default();
        let tokens = self.gaps.len() + 1;
        let is_whole = count == MAX_TOKENS && tokens == MAX_TOKENS as usize;
        eyre::ensure!(is_whole, "{tokens} tokens came, {count} were computed");
        Ok(StreamTimes {
            first,
            gaps: self.gaps,
        })
    }
}

fn prompt() -> String {
    format!("{} {}", "venue notes ".repeat(32), fastrand::u64(..))
}

/// Reads one answer from the engine at `address`.
pub async fn read_engine(address: net::SocketAddr) -> Result<StreamTimes> {
    let request = engine_wire::EngineRequest {
        attempt: cursor::AttemptId::random().to_string(),
        model: bench::MODEL.to_owned(),
        version: "v1".to_owned(),
        adapter: None,
        prompt: prompt(),
        prefix: Vec::new(),
        max_tokens: MAX_TOKENS,
        priority: engine_wire::PRIORITY_NEW,
    };
    let mut clock = StreamClock::start();
    let mut stream = Box::pin(engine::start(&address.to_string(), &request)).await?;
    loop {
        match stream.next().await? {
            engine::EngineItem::Alive => {}
            engine::EngineItem::Event(engine_wire::EngineEvent::Token { .. }) => clock.tick(),
            engine::EngineItem::Event(engine_wire::EngineEvent::Finished { count, .. }) => {
                return clock.finish(count);
            }
        }
    }
}

/// Reads one answer through the router at `address`.
pub async fn read_router(address: net::SocketAddr, home: String) -> Result<StreamTimes> {
    let request = caller_stream::AnswerRequest {
        key: format!("{home}.{}", uuid::Uuid::now_v7()),
        bearer: WORKSPACE.to_owned(),
        body: serde_json::json!({
            "model": bench::MODEL,
            "prompt": prompt(),
            "max_tokens": MAX_TOKENS,
            "stream": true,
        }),
        cursor: None,
        deadline: DEADLINE,
        idle_timeout: SILENCE,
    };
    let mut clock = StreamClock::start();
    let mut stream = Box::pin(caller_stream::open(&address.to_string(), &request)).await?;
    loop {
        match stream.next().await? {
            caller_stream::AnswerItem::Token { .. } => clock.tick(),
            caller_stream::AnswerItem::Restart { reason } => eyre::bail!("restarted: {reason}"),
            caller_stream::AnswerItem::Finished { count, .. } => return clock.finish(count),
        }
    }
}

/// Home name of the only router.
pub async fn home(system: &system::BenchSystem) -> Result<String> {
    let address = system.base.routers[0].listen;
    let answer = process::get_json(address, "/v1/addresses").await?;
    let home = answer["addresses"][0]["home"].as_str();
    Ok(home
        .ok_or_else(|| eyre::eyre!("no home in {answer}"))?
        .to_owned())
}

/// Bytes between caller and router, both ways, for each token of one answer.
pub async fn bytes_per_token(system: &system::BenchSystem) -> Result<f64> {
    let relay = system.base.routers[0].relay.as_ref();
    let relay = relay.ok_or_else(|| eyre::eyre!("no relay before the router"))?;
    let bytes = async || -> Result<u64> {
        let stats = relay.stats().await?;
        Ok(stats["bytes"].as_u64().unwrap_or_default())
    };
    let before = bytes().await?;
    read_router(relay.listen, home(system).await?).await?;
    Ok(numbers::float(bytes().await? - before) / f64::from(MAX_TOKENS))
}
