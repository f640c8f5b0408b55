//! A caller that goes on at another router, written against the HTTP contract alone.

use std::sync;
use std::sync::atomic;
use std::time;

use async_std::future;
use async_std::task;
use kumquatpulley::connection::caller_wire;
use kumquatpulley::connection::http;
use kumquatpulley::connection::sse;
use kumquatpulley::request::key;

use crate::bench;
use crate::oracle;
use crate::process;

/// Outcome of a step of the caller.
pub type Result<T> = eyre::Result<T>;

/// Tokens of each answer.
pub const MAX_TOKENS: usize = 60;

/// Output goes on within this time after any single loss.
pub const RESUME_BOUND: time::Duration = time::Duration::from_secs(4);

/// Silence after which a stream counts as dead; routers send a comment each second.
const SILENCE_LIMIT: time::Duration = time::Duration::from_secs(2);

const LIMITS: http::ExchangeLimits = http::ExchangeLimits {
    connect: time::Duration::from_millis(500),
    head: SILENCE_LIMIT,
};

/// Time for a whole answer, faults included.
const ANSWER_LIMIT: time::Duration = time::Duration::from_secs(25);

/// Longest pause between two tries.
const MAX_PAUSE: time::Duration = time::Duration::from_secs(1);
const MIN_PAUSE: time::Duration = time::Duration::from_millis(50);
const MAX_TRIES: usize = 100;

/// What the caller has seen so far.
#[derive(Clone, Debug, Default)]
pub struct CallerProgress {
    /// Tokens held.
    pub tokens: Vec<String>,
    /// When each token came, over restarts.
    pub arrivals: Vec<time::Instant>,
    /// The router asked last, as host and port.
    pub router: String,
    /// Times that the answer began again.
    pub restarts: usize,
    /// Refusals, with their verdict.
    pub refusals: Vec<String>,
    /// What was seen of lost connections.
    pub losses: Vec<String>,
    /// Whether the whole answer came.
    pub is_done: bool,
    cursor: Option<String>,
}

/// Progress that the one who brings about faults watches.
pub type SharedProgress = sync::Arc<parking_lot::Mutex<CallerProgress>>;

/// One request and the routers to send it to.
#[derive(Debug)]
pub struct StreamCaller {
    addresses: Vec<String>,
    key: String,
    prompt: String,
    progress: SharedProgress,
    drops: sync::Arc<atomic::AtomicBool>,
}

/// How one connection ended.
#[derive(Clone, Debug, PartialEq, Eq)]
enum StreamEnd {
    Done,
    /// Go on elsewhere; with addresses where the router named some.
    Lost(String, Vec<String>),
}

impl StreamCaller {
    /// Asks the routers of the bench for addresses, each in turn, and makes a key.
    pub async fn prepare(bench: &bench::TestBench) -> Result<Self> {
        let started = time::Instant::now();
        loop {
            for router in &bench.routers {
                let asked = bench.caller_address(&router.listen.to_string());
                if let Some(caller) = Self::ask(bench, &asked).await {
                    return Ok(caller);
                }
            }
            eyre::ensure!(started.elapsed() < RESUME_BOUND, "no router gave addresses");
            task::sleep(MIN_PAUSE).await;
        }
    }

    async fn ask(bench: &bench::TestBench, router: &str) -> Option<Self> {
        let answer = process::get_json(router.parse().ok()?, "/v1/addresses");
        let answer = future::timeout(SILENCE_LIMIT, answer).await.ok()?.ok()?;
        let answer: caller_wire::AddressAnswer = serde_json::from_value(answer).ok()?;
        let home = answer.addresses.first()?.home.parse().ok()?;
        let addresses = answer.addresses.iter();
        Some(Self {
            addresses: addresses
                .map(|entry| bench.caller_address(&entry.address))
                .collect(),
            key: key::RequestKey::mint(&home).to_string(),
            prompt: format!("{} {}", "venue notes ".repeat(32), fastrand::u64(..)),
            progress: SharedProgress::default(),
            drops: sync::Arc::default(),
        })
    }

    /// The router that the caller asks first.
    pub fn first_router(&self) -> &str {
        &self.addresses[0]
    }

    /// The progress to watch.
    pub fn progress(&self) -> SharedProgress {
        sync::Arc::clone(&self.progress)
    }

    /// Set to make the caller go away and come back.
    pub fn drops(&self) -> sync::Arc<atomic::AtomicBool> {
        sync::Arc::clone(&self.drops)
    }

    /// Runs the request to its end and checks that the answer is whole and its own.
    pub async fn run(mut self) -> Result<()> {
        let running = self.run_tries();
        let ended = future::timeout(ANSWER_LIMIT, running).await;
        let progress = self.progress.lock().clone();
        let seen = format!(
            "{} tokens, lost {:?}, refused {:?}",
            progress.tokens.len(),
            progress.losses,
            progress.refusals
        );
        ended
            .map_err(|_elapsed| eyre::eyre!("no whole answer within {ANSWER_LIMIT:?}: {seen}"))?
            .map_err(|error| eyre::eyre!("{error}: {seen}"))?;
        oracle::TokenOracle::check(&self.prompt, &progress.tokens)?;
        eyre::ensure!(progress.tokens.len() == MAX_TOKENS, "cut short: {seen}");
        Ok(())
    }

    async fn run_tries(&mut self) -> Result<()> {
        for index in 0..MAX_TRIES {
            let router = self.addresses[index % self.addresses.len()].clone();
            match self.try_router(&router).await? {
                StreamEnd::Done => {
                    self.progress.lock().is_done = true;
                    return Ok(());
                }
                StreamEnd::Lost(cause, addresses) => {
                    self.progress.lock().losses.push(cause);
                    self.prefer(&addresses);
                }
            }
            task::sleep(MIN_PAUSE).await;
        }
        Err(eyre::eyre!("{MAX_TRIES} tries brought no whole answer"))
    }

    fn prefer(&mut self, addresses: &[String]) {
        if let Some(first) = addresses.first() {
            self.addresses.retain(|address| address != first);
            self.addresses.insert(0, first.clone());
        }
    }

    async fn try_router(&self, router: &str) -> Result<StreamEnd> {
        router.clone_into(&mut self.progress.lock().router);
        let mut response = match Box::pin(http::send(router, self.request(router), LIMITS)).await {
            Ok(response) => response,
            Err(error) => return Ok(StreamEnd::Lost(error.to_string(), Vec::new())),
        };
        if !response.status().is_success() {
            return self.take_refusal(&mut response).await;
        }
        let mut reader = sse::EventReader::new(response.take_body());
        loop {
            let item = match future::timeout(SILENCE_LIMIT, reader.next()).await {
                Ok(Ok(Some(item))) => item,
                Ok(Ok(None)) => return Ok(StreamEnd::Lost("end".to_owned(), Vec::new())),
                Ok(Err(error)) => return Ok(StreamEnd::Lost(error.to_string(), Vec::new())),
                Err(_elapsed) => return Ok(StreamEnd::Lost("silence".to_owned(), Vec::new())),
            };
            if self.drops.swap(false, atomic::Ordering::SeqCst) {
                return Ok(StreamEnd::Lost("went away".to_owned(), Vec::new()));
            }
            if let sse::StreamItem::Event(event) = item
                && let Some(end) = self.take_event(event)?
            {
                return Ok(end);
            }
        }
    }

    fn request(&self, router: &str) -> http_types::Request {
        let progress = self.progress.lock();
        let mut body = serde_json::json!({
            "model": bench::MODEL,
            "prompt": self.prompt,
            "max_tokens": MAX_TOKENS,
            "stream": true,
        });
        let mut request = http::request(http_types::Method::Post, router, "/v1/completions");
        if let Some(cursor) = &progress.cursor {
            request.insert_header("last-event-id", cursor.as_str());
            body["received"] = serde_json::json!(progress.tokens);
        }
        request.insert_header("authorization", format!("Bearer {}", bench::BEARER));
        request.insert_header("idempotency-key", self.key.as_str());
        request.set_body(body.to_string());
        request.insert_header("content-type", "application/json");
        request
    }

    async fn take_refusal(&self, response: &mut http_types::Response) -> Result<StreamEnd> {
        let status = u16::from(response.status());
        let header = response.header("retry-after");
        let delay = header.and_then(|values| values.as_str().parse().ok());
        let bytes = http::read_body(&mut response.take_body(), SILENCE_LIMIT, 64 * 1024).await?;
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let refusal: caller_wire::RefusalBody = serde_json::from_slice(&bytes)
            .map_err(|error| eyre::eyre!("{status} without a verdict: {error}: {text}"))?;
        let verdict = refusal.error.verdict;
        self.progress.lock().refusals.push(text.clone());
        let delay = delay.map(time::Duration::from_secs);
        let delay = delay.ok_or_else(|| eyre::eyre!("refused for good, {verdict}: {text}"))?;
        task::sleep(delay.min(MAX_PAUSE)).await;
        Ok(StreamEnd::Lost(format!("refused, {verdict}"), Vec::new()))
    }

    fn take_event(&self, event: sse::StreamEvent) -> Result<Option<StreamEnd>> {
        let mut progress = self.progress.lock();
        if event.data == sse::DONE {
            return Ok(Some(StreamEnd::Done));
        }
        match event.name.as_deref() {
            Some("restart") => {
                progress.restarts += 1;
                progress.tokens.clear();
                progress.cursor = event.id;
                return Ok(None);
            }
            Some("moved") => {
                let moved: caller_wire::MovedNotice = serde_json::from_str(&event.data)?;
                return Ok(Some(StreamEnd::Lost("moved".to_owned(), moved.addresses)));
            }
            _ => {}
        }
        let chunk: caller_wire::AnswerChunk = serde_json::from_str(&event.data)?;
        if event.id.is_some() {
            progress.cursor = event.id;
        }
        if let Some(usage) = chunk.usage {
            let count = usage.completion_tokens as usize;
            let held = progress.tokens.len();
            eyre::ensure!(
                count == held,
                "the router counts {count}, the caller {held}"
            );
            return Ok(None);
        }
        let text = chunk.choices.into_iter().next().map(|choice| choice.text);
        progress.tokens.push(text.unwrap_or_default());
        progress.arrivals.push(time::Instant::now());
        Ok(None)
    }
}

/// Longest wait for a token after `fault`.
pub fn resume_latency(progress: &CallerProgress, fault: time::Instant) -> time::Duration {
    let mut last = fault;
    let mut longest = time::Duration::ZERO;
    for &arrival in progress.arrivals.iter().filter(|&&arrival| arrival > fault) {
        longest = longest.max(arrival - last);
        last = arrival;
    }
    longest
}
