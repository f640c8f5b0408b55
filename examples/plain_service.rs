//! Stand-in for a plain service: logs each execution before it answers, and fault switches.

use std::collections;
use std::fs;
use std::io::Write as _;
use std::path;
use std::sync;
use std::time;

use async_std::task;
use futures::future;
use kumquatpulley::process::telemetry::timeline;

use crate::support::server;
use crate::support::service;

mod support {
    pub mod server;
    pub mod service;
}

/// Request header with the idempotency key.
const KEY_HEADER: &str = "idempotency-key";

/// Faults to bring about; absent fields change nothing.
#[derive(Debug, Default)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
struct ServiceFault {
    die: bool,
    die_before_execute: Option<bool>,
    die_after_execute: Option<bool>,
    late_ms: Option<u64>,
    lose_answers: Option<u64>,
    close_before_execute: Option<u64>,
}

#[derive(Debug, Default)]
struct ServiceSwitches {
    die_before_execute: bool,
    die_after_execute: bool,
    late: time::Duration,
    answers_to_lose: u64,
    requests_to_close: u64,
}

/// One execution.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
struct ExecutionRecord {
    key: String,
    method: String,
    path: String,
    body: String,
    arrived_micros: u64,
}

#[derive(Debug)]
struct PlainHandler {
    name: String,
    work: time::Duration,
    switches: parking_lot::Mutex<ServiceSwitches>,
    executions: parking_lot::Mutex<Vec<ExecutionRecord>>,
    journal: Option<path::PathBuf>,
}

impl service::ServiceHandler for PlainHandler {
    fn serve(
        self: sync::Arc<Self>,
        mut request: http_types::Request,
    ) -> future::BoxFuture<'static, server::Result<http_types::Response>> {
        Box::pin(async move {
            let body = request.body_string().await?;
            self.fail_before()?;
            let (number, record) = self.execute(&request, body);
            task::sleep(self.work).await;
            let late = self.switches.lock().late;
            task::sleep(late).await;
            self.fail_after()?;
            let answer = serde_json::json!({
                "result": format!("{}-{number}", self.name),
                "method": record.method,
                "path": record.path,
                "body": record.body,
            });
            server::json(200, &answer)
        })
    }
}

impl server::AdminHandler for PlainHandler {
    fn administer(
        self: sync::Arc<Self>,
        mut request: http_types::Request,
    ) -> future::BoxFuture<'static, server::Result<http_types::Response>> {
        Box::pin(async move {
            match (request.method(), request.url().path()) {
                (http_types::Method::Get, "/stats") => server::json(200, &self.stats()),
                (http_types::Method::Post, "/fault") => {
                    match server::read_json::<ServiceFault>(&mut request).await {
                        Ok(fault) => self.bring_about(&fault),
                        Err(answer) => answer,
                    }
                }
                _ => server::refuse(404, "no such path"),
            }
        })
    }
}

impl PlainHandler {
    fn fail_before(&self) -> server::Result<()> {
        let mut switches = self.switches.lock();
        if switches.die_before_execute {
            std::process::exit(1);
        }
        if switches.requests_to_close > 0 {
            switches.requests_to_close -= 1;
            return Err(closed());
        }
        Ok(())
    }

    fn fail_after(&self) -> server::Result<()> {
        let mut switches = self.switches.lock();
        if switches.die_after_execute {
            std::process::exit(1);
        }
        if switches.answers_to_lose > 0 {
            switches.answers_to_lose -= 1;
            return Err(closed());
        }
        Ok(())
    }

    fn execute(&self, request: &http_types::Request, body: String) -> (usize, ExecutionRecord) {
        let key = request.header(KEY_HEADER).map(|values| values.as_str());
        let record = ExecutionRecord {
            key: key.unwrap_or_default().to_owned(),
            method: request.method().to_string(),
            path: path_and_query(request),
            body,
            arrived_micros: timeline::wall_micros(),
        };
        let mut executions = self.executions.lock();
        executions.push(record.clone());
        self.write_journal(&record);
        (executions.len(), record)
    }

    /// Adds a line to the journal, which outlives the process.
    fn write_journal(&self, record: &ExecutionRecord) {
        let Some(journal) = &self.journal else { return };
        let line = serde_json::to_string(record).expect("records are plain data");
        let file = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(journal);
        let written = file.and_then(|mut file| writeln!(file, "{line}"));
        written.expect("an execution that cannot be logged must not be answered");
    }

    fn stats(&self) -> serde_json::Value {
        let executions = self.executions.lock();
        let mut keys = collections::BTreeMap::new();
        for record in executions.iter() {
            *keys.entry(record.key.as_str()).or_insert(0_u64) += 1;
        }
        serde_json::json!({ "name": self.name, "keys": keys, "executions": *executions })
    }

    fn bring_about(&self, fault: &ServiceFault) -> server::Result<http_types::Response> {
        if fault.die {
            std::process::exit(1);
        }
        let mut switches = self.switches.lock();
        if let Some(die) = fault.die_before_execute {
            switches.die_before_execute = die;
        }
        if let Some(die) = fault.die_after_execute {
            switches.die_after_execute = die;
        }
        if let Some(millis) = fault.late_ms {
            switches.late = time::Duration::from_millis(millis);
        }
        if let Some(count) = fault.lose_answers {
            switches.answers_to_lose = count;
        }
        if let Some(count) = fault.close_before_execute {
            switches.requests_to_close = count;
        }
        server::json(200, &serde_json::json!({}))
    }
}

fn path_and_query(request: &http_types::Request) -> String {
    let url = request.url();
    match url.query() {
        Some(query) => format!("{}?{query}", url.path()),
        None => url.path().to_owned(),
    }
}

fn closed() -> http_types::Error {
    http_types::Error::from_str(500, "closed without an answer")
}

fn command() -> clap::Command {
    server::command("plain_service", "Stand-in for a plain service")
        .arg(
            clap::Arg::new("name")
                .long("name")
                .default_value("service")
                .help("Endpoint name"),
        )
        .arg(
            clap::Arg::new("work-ms")
                .long("work-ms")
                .default_value("5")
                .value_parser(clap::value_parser!(u64))
                .help("Time between an execution and its answer"),
        )
        .arg(
            clap::Arg::new("journal")
                .long("journal")
                .value_name("FILE")
                .value_parser(clap::value_parser!(path::PathBuf))
                .help("File to which each execution is added as a JSON line"),
        )
}

fn main() -> std::io::Result<()> {
    let matches = command().get_matches();
    let name = matches.get_one::<String>("name").cloned();
    let work = matches.get_one::<u64>("work-ms").copied();
    let handler = sync::Arc::new(PlainHandler {
        name: name.unwrap_or_default(),
        work: time::Duration::from_millis(work.unwrap_or_default()),
        switches: parking_lot::Mutex::default(),
        executions: parking_lot::Mutex::default(),
        journal: matches.get_one::<path::PathBuf>("journal").cloned(),
    });
    task::block_on(service::run(&matches, handler))
}
