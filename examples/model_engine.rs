//! Stand-in for a model engine: answers whose tokens show any mix-up, and fault switches.

use std::sync;
use std::time;

use async_std::future as async_future;
use async_std::task;
use futures::channel::mpsc;
use futures::future;
use futures::sink::SinkExt as _;
use futures::stream::StreamExt as _;
use futures::stream::TryStreamExt as _;
use kumquatpulley::connection::engine_wire;
use kumquatpulley::connection::sse;

use crate::support::engine::options;
use crate::support::engine::state;
use crate::support::engine::stream;
use crate::support::server;
use crate::support::service;

#[path = "support/oracle.rs"]
mod oracle;

mod support {
    pub mod engine;
    pub mod server;
    pub mod service;
}

/// Interval of comment lines while no token flows.
const COMMENT_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Interval at which load reports are sampled.
const SAMPLE_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Events on their way to one connection.
const CONNECTION_BUFFER: usize = 16;

/// Faults to bring about; absent fields change nothing.
#[derive(Debug, Default)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
struct EngineFault {
    die: bool,
    die_after_tokens: Option<u64>,
    freeze_ms: Option<u64>,
    silent: bool,
    ignore_fencing: Option<bool>,
    report_lag_ms: Option<u64>,
    token_ms: Option<u64>,
    leaving: Option<bool>,
}

#[derive(Debug)]
struct EngineHandler {
    engine: sync::Arc<state::EngineState>,
}

impl service::ServiceHandler for EngineHandler {
    fn serve(
        self: sync::Arc<Self>,
        mut request: http_types::Request,
    ) -> future::BoxFuture<'static, server::Result<http_types::Response>> {
        Box::pin(async move {
            self.engine.thaw().await;
            let path = request.url().path().to_owned();
            match (request.method(), path.as_str()) {
                (http_types::Method::Post, "/v1/completions") => self.complete(&mut request).await,
                (http_types::Method::Post, "/orders") => self.order(&mut request).await,
                (http_types::Method::Get, "/load") => server::json(200, &self.engine.report()),
                (http_types::Method::Get, "/cache-events") => {
                    let after = query_number(&request, "after");
                    server::json(200, &self.engine.cache_events(after))
                }
                (method, path) => match path.strip_prefix("/v1/streams/") {
                    Some(attempt) => self.answer_stream(method, attempt, &request),
                    None => server::refuse(404, "no such path"),
                },
            }
        })
    }
}

impl server::AdminHandler for EngineHandler {
    fn administer(
        self: sync::Arc<Self>,
        mut request: http_types::Request,
    ) -> future::BoxFuture<'static, server::Result<http_types::Response>> {
        Box::pin(async move {
            match (request.method(), request.url().path()) {
                (http_types::Method::Get, "/stats") => server::json(200, &self.engine.stats()),
                (http_types::Method::Post, "/fault") => {
                    match server::read_json::<EngineFault>(&mut request).await {
                        Ok(fault) => self.bring_about(&fault),
                        Err(answer) => answer,
                    }
                }
                _ => server::refuse(404, "no such path"),
            }
        })
    }
}

impl EngineHandler {
    async fn complete(
        &self,
        request: &mut http_types::Request,
    ) -> server::Result<http_types::Response> {
        let body = match server::read_json::<engine_wire::EngineRequest>(request).await {
            Ok(body) => body,
            Err(answer) => return answer,
        };
        let from = body.prefix.len();
        match self.engine.start(body) {
            Ok(attempt) => Ok(self.stream(&attempt, from)),
            Err((status, message)) => server::refuse(status, &message),
        }
    }

    async fn order(
        &self,
        request: &mut http_types::Request,
    ) -> server::Result<http_types::Response> {
        let order = match server::read_json::<engine_wire::EngineOrder>(request).await {
            Ok(order) => order,
            Err(answer) => return answer,
        };
        match self.engine.order(order) {
            Ok(()) => server::json(200, &serde_json::json!({})),
            Err(fence) => server::json(
                409,
                &serde_json::json!({ "error": "the fencing number is old", "fence": fence }),
            ),
        }
    }

    fn answer_stream(
        &self,
        method: http_types::Method,
        attempt: &str,
        request: &http_types::Request,
    ) -> server::Result<http_types::Response> {
        match method {
            http_types::Method::Get => match self.engine.find(attempt) {
                Some(found) => {
                    let from = usize::try_from(query_number(request, "from")).unwrap_or(usize::MAX);
                    Ok(self.stream(&found, from))
                }
                None => server::refuse(404, "no such stream"),
            },
            http_types::Method::Delete => {
                self.engine.cancel(attempt);
                Ok(http_types::Response::new(204))
            }
            _ => server::refuse(405, "use GET or DELETE instead"),
        }
    }

    fn stream(&self, attempt: &stream::AttemptStream, from: usize) -> http_types::Response {
        let (sender, receiver) = mpsc::channel(CONNECTION_BUFFER);
        let engine = sync::Arc::clone(&self.engine);
        task::spawn(pass_events(engine, attempt.attach(from), sender));
        let reader = receiver.map(Ok::<String, std::io::Error>).into_async_read();
        let mut response = http_types::Response::new(200);
        response.set_body(http_types::Body::from_reader(reader, None));
        response.insert_header("content-type", "text/event-stream");
        response.insert_header("cache-control", "no-store");
        response
    }

    fn bring_about(&self, fault: &EngineFault) -> server::Result<http_types::Response> {
        if fault.die {
            std::process::exit(1);
        }
        if fault.silent {
            self.engine.silence();
        }
        let now = time::Instant::now();
        self.engine.change(|switches| {
            if let Some(count) = fault.die_after_tokens {
                switches.tokens_left = Some(count);
            }
            if let Some(millis) = fault.freeze_ms {
                switches.frozen_until = Some(now + time::Duration::from_millis(millis));
            }
            if let Some(ignore) = fault.ignore_fencing {
                switches.checks_fencing = !ignore;
            }
            if let Some(millis) = fault.report_lag_ms {
                switches.report_lag = time::Duration::from_millis(millis);
            }
            if let Some(millis) = fault.token_ms {
                switches.token_gap = time::Duration::from_millis(millis);
            }
            if let Some(leaving) = fault.leaving {
                switches.leaving = leaving;
            }
        });
        server::json(200, &serde_json::json!({}))
    }
}

async fn pass_events(
    engine: sync::Arc<state::EngineState>,
    mut events: mpsc::UnboundedReceiver<String>,
    mut sender: mpsc::Sender<String>,
) {
    let silences = engine.silences();
    loop {
        let event = match async_future::timeout(COMMENT_INTERVAL, events.next()).await {
            Ok(Some(event)) => event,
            Ok(None) => return,
            Err(_elapsed) => sse::KEEP_ALIVE.to_owned(),
        };
        engine.thaw().await;
        if engine.silences() != silences {
            wait_closed(&sender).await;
            return;
        }
        if sender.send(event).await.is_err() {
            return;
        }
    }
}

/// Keeps the connection open without data until the other end closes it.
async fn wait_closed(sender: &mpsc::Sender<String>) {
    while !sender.is_closed() {
        task::sleep(COMMENT_INTERVAL).await;
    }
}

fn query_number(request: &http_types::Request, name: &str) -> u64 {
    request
        .url()
        .query_pairs()
        .find(|(key, _value)| key == name)
        .and_then(|(_key, value)| value.parse().ok())
        .unwrap_or(0)
}

fn number(id: &'static str, default: &'static str, help: &'static str) -> clap::Arg {
    clap::Arg::new(id)
        .long(id)
        .default_value(default)
        .value_parser(clap::value_parser!(u64))
        .help(help)
}

fn many(id: &'static str, help: &'static str) -> clap::Arg {
    clap::Arg::new(id)
        .long(id)
        .action(clap::ArgAction::Append)
        .help(help)
}

fn command() -> clap::Command {
    server::command("model_engine", "Stand-in for a model engine")
        .arg(
            clap::Arg::new("name")
                .long("name")
                .default_value("engine")
                .help("Endpoint name"),
        )
        .arg(
            clap::Arg::new("zone")
                .long("zone")
                .default_value("z1")
                .help("Availability zone"),
        )
        .arg(many("model", "Model loaded at the start; may be repeated"))
        .arg(many(
            "version",
            "Version of each --model, in the same order",
        ))
        .arg(
            clap::Arg::new("weights")
                .long("weights")
                .value_name("ADDR")
                .help("Weight store to load models from"),
        )
        .arg(
            clap::Arg::new("checks-fencing")
                .long("checks-fencing")
                .action(clap::ArgAction::SetTrue)
                .help("Refuse orders with an old fencing number"),
        )
        .arg(number("slots", "64", "Requests that run together"))
        .arg(number("token-ms", "20", "Gap between tokens"))
        .arg(number(
            "prefill-us-per-token",
            "50",
            "Time for each prompt token that is not cached",
        ))
        .arg(number(
            "cache-blocks",
            "1024",
            "Blocks of the prefix cache, 64 bytes each",
        ))
        .arg(number("load-ms", "100", "Time to load a model"))
        .arg(number(
            "report-lag-ms",
            "200",
            "Age of load reports and cache events",
        ))
}

fn engine_from(matches: &clap::ArgMatches) -> state::EngineState {
    let text = |id: &str| matches.get_one::<String>(id).cloned();
    let count = |id: &str| matches.get_one::<u64>(id).copied().unwrap_or_default();
    let list = |id: &str| {
        let values = matches.get_many::<String>(id).unwrap_or_default();
        values.cloned().collect::<Vec<_>>()
    };
    let options = options::EngineOptions {
        name: text("name").unwrap_or_default(),
        zone: text("zone").unwrap_or_default(),
        slots: u32::try_from(count("slots")).unwrap_or(u32::MAX),
        prefill_us_per_token: count("prefill-us-per-token"),
        cache_blocks: usize::try_from(count("cache-blocks")).unwrap_or(usize::MAX),
        load_ms: count("load-ms"),
        weights: text("weights"),
    };
    let switches = options::EngineSwitches {
        token_gap: time::Duration::from_millis(count("token-ms")),
        report_lag: time::Duration::from_millis(count("report-lag-ms")),
        checks_fencing: matches.get_flag("checks-fencing"),
        tokens_left: None,
        frozen_until: None,
        leaving: false,
    };
    let loaded = list("model")
        .into_iter()
        .zip(list("version"))
        .map(|(model, version)| engine_wire::LoadedModel {
            model,
            version,
            adapter: None,
        })
        .collect();
    state::EngineState::new(options, switches, loaded)
}

fn main() -> std::io::Result<()> {
    let matches = command().get_matches();
    let engine = sync::Arc::new(engine_from(&matches));
    let sampled = sync::Arc::clone(&engine);
    task::spawn(async move {
        loop {
            sampled.sample_report();
            task::sleep(SAMPLE_INTERVAL).await;
        }
    });
    let handler = sync::Arc::new(EngineHandler { engine });
    task::block_on(service::run(&matches, handler))
}
