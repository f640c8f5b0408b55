//! Stand-in for the platform: table service, VM list, object store and weight store.

use std::collections;
use std::sync;
use std::time;

use async_std::task;
use futures::future;
use kumquatpulley::connection::platform_wire;

use crate::support::platform::rate;
use crate::support::platform::table;
use crate::support::platform::vms;
use crate::support::server;
use crate::support::service;

mod support {
    pub mod platform;
    pub mod server;
    pub mod service;
}

/// Table writes a second under the `throttle` fault.
const WRITES_PER_SECOND: f64 = 400.0;

/// Table reads a second under the `throttle` fault.
const READS_PER_SECOND: f64 = 2000.0;

/// Faults to bring about; absent fields change nothing.
#[derive(Debug, Default)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
struct PlatformFault {
    down: Option<bool>,
    slow_ms: Option<u64>,
    lose_answers: Option<u64>,
    throttle: Option<bool>,
    vm_lag_ms: Option<u64>,
}

#[derive(Debug)]
struct PlatformSwitches {
    down: bool,
    slow: time::Duration,
    answers_to_lose: u64,
    throttle: bool,
    vm_lag: time::Duration,
}

/// Calls by kind.
#[derive(Clone, Debug, Default)]
#[derive(serde::Serialize)]
struct CallCounts {
    reads: u64,
    writes: u64,
    rows_written: u64,
    conflicts: u64,
    answers_lost: u64,
    throttled: u64,
    vm_reads: u64,
    weights: u64,
    weights_refused: u64,
}

#[derive(Debug)]
struct PlatformStores {
    table: table::RowTable,
    vms: vms::VmHistory,
    objects: collections::HashMap<String, Vec<u8>>,
    reads: rate::RateBucket,
    writes: rate::RateBucket,
    weights: rate::RateBucket,
    counts: CallCounts,
}

#[derive(Debug)]
struct PlatformHandler {
    switches: parking_lot::Mutex<PlatformSwitches>,
    stores: parking_lot::Mutex<PlatformStores>,
}

impl service::ServiceHandler for PlatformHandler {
    fn serve(
        self: sync::Arc<Self>,
        mut request: http_types::Request,
    ) -> future::BoxFuture<'static, server::Result<http_types::Response>> {
        Box::pin(async move {
            self.refuse_when_down()?;
            let slow = self.switches.lock().slow;
            task::sleep(slow).await;
            // An outage that began meanwhile ends this call too.
            self.refuse_when_down()?;
            let path = request.url().path().to_owned();
            match (request.method(), path.as_str()) {
                (http_types::Method::Post, "/table/read") => self.read(&mut request).await,
                (http_types::Method::Post, "/table/write") => self.write(&mut request).await,
                (http_types::Method::Get, "/vms") => self.list_vms(),
                (method, path) => {
                    if let Some(name) = path.strip_prefix("/objects/") {
                        return self.object(method, name, &mut request).await;
                    }
                    if path.starts_with("/weights/") {
                        return self.fetch_weights();
                    }
                    server::refuse(404, "no such path")
                }
            }
        })
    }
}

impl server::AdminHandler for PlatformHandler {
    fn administer(
        self: sync::Arc<Self>,
        mut request: http_types::Request,
    ) -> future::BoxFuture<'static, server::Result<http_types::Response>> {
        Box::pin(async move {
            match (request.method(), request.url().path()) {
                (http_types::Method::Get, "/stats") => {
                    server::json(200, &self.stores.lock().counts)
                }
                (http_types::Method::Get, "/rows") => {
                    server::json(200, &self.stores.lock().table.all())
                }
                (http_types::Method::Put, "/vms") => self.put_vms(&mut request).await,
                (http_types::Method::Post, "/fault") => {
                    match server::read_json::<PlatformFault>(&mut request).await {
                        Ok(fault) => self.bring_about(&fault),
                        Err(answer) => answer,
                    }
                }
                _ => server::refuse(404, "no such path"),
            }
        })
    }
}

impl PlatformHandler {
    fn refuse_when_down(&self) -> server::Result<()> {
        if self.switches.lock().down {
            return Err(http_types::Error::from_str(503, "outage"));
        }
        Ok(())
    }

    async fn read(
        &self,
        request: &mut http_types::Request,
    ) -> server::Result<http_types::Response> {
        let query = match server::read_json::<platform_wire::ReadQuery>(request).await {
            Ok(query) => query,
            Err(answer) => return answer,
        };
        let throttle = self.switches.lock().throttle;
        let mut stores = self.stores.lock();
        if throttle && !stores.reads.take(1.0, time::Instant::now()) {
            return too_many(&mut stores.counts);
        }
        stores.counts.reads += 1;
        let rows = stores.table.read(&query.keys);
        server::json(200, &platform_wire::ReadReply { rows })
    }

    async fn write(
        &self,
        request: &mut http_types::Request,
    ) -> server::Result<http_types::Response> {
        let query = match server::read_json::<platform_wire::WriteQuery>(request).await {
            Ok(query) => query,
            Err(answer) => return answer,
        };
        let throttle = self.switches.lock().throttle;
        let mut stores = self.stores.lock();
        if throttle && !stores.writes.take(1.0, time::Instant::now()) {
            return too_many(&mut stores.counts);
        }
        let count = query.writes.len() as u64;
        match stores.table.write(query.writes) {
            Ok(versions) => {
                stores.counts.writes += 1;
                stores.counts.rows_written += count;
                self.lose_answer(&mut stores.counts)?;
                server::json(200, &platform_wire::WriteReply { versions })
            }
            Err(table::TableError::Conflict(rows)) => {
                stores.counts.conflicts += 1;
                server::json(409, &platform_wire::ConflictReply { rows })
            }
            Err(table::TableError::DoubledKey(key)) => {
                server::refuse(400, &format!("row {key} is written twice"))
            }
        }
    }

    fn lose_answer(&self, counts: &mut CallCounts) -> server::Result<()> {
        let mut switches = self.switches.lock();
        if switches.answers_to_lose == 0 {
            return Ok(());
        }
        switches.answers_to_lose -= 1;
        counts.answers_lost += 1;
        Err(http_types::Error::from_str(500, "answer lost"))
    }

    fn list_vms(&self) -> server::Result<http_types::Response> {
        let lag = self.switches.lock().vm_lag;
        let mut stores = self.stores.lock();
        stores.counts.vm_reads += 1;
        let list = stores.vms.visible(time::Instant::now(), lag);
        server::json(200, &list)
    }

    async fn put_vms(
        &self,
        request: &mut http_types::Request,
    ) -> server::Result<http_types::Response> {
        match server::read_json::<Vec<platform_wire::VmEntry>>(request).await {
            Ok(list) => {
                self.stores.lock().vms.put(list, time::Instant::now());
                server::json(200, &serde_json::json!({}))
            }
            Err(answer) => answer,
        }
    }

    async fn object(
        &self,
        method: http_types::Method,
        name: &str,
        request: &mut http_types::Request,
    ) -> server::Result<http_types::Response> {
        let name = name.to_owned();
        match method {
            http_types::Method::Put => {
                let bytes = request.body_bytes().await?;
                self.stores.lock().objects.insert(name, bytes);
                Ok(http_types::Response::new(204))
            }
            http_types::Method::Get => {
                let Some(bytes) = self.stores.lock().objects.get(&name).cloned() else {
                    return server::refuse(404, "no such object");
                };
                let mut response = http_types::Response::new(200);
                response.set_body(bytes);
                Ok(response)
            }
            _ => server::refuse(405, "use GET or PUT instead"),
        }
    }

    fn fetch_weights(&self) -> server::Result<http_types::Response> {
        let mut stores = self.stores.lock();
        if !stores.weights.take(1.0, time::Instant::now()) {
            stores.counts.weights_refused += 1;
            return server::refuse(429, "over the rate of the weight store");
        }
        stores.counts.weights += 1;
        server::json(200, &serde_json::json!({}))
    }

    fn bring_about(&self, fault: &PlatformFault) -> server::Result<http_types::Response> {
        let mut switches = self.switches.lock();
        if let Some(down) = fault.down {
            switches.down = down;
        }
        if let Some(millis) = fault.slow_ms {
            switches.slow = time::Duration::from_millis(millis);
        }
        if let Some(count) = fault.lose_answers {
            switches.answers_to_lose = count;
        }
        if let Some(throttle) = fault.throttle {
            switches.throttle = throttle;
        }
        if let Some(millis) = fault.vm_lag_ms {
            switches.vm_lag = time::Duration::from_millis(millis);
        }
        server::json(200, &serde_json::json!({}))
    }
}

fn too_many(counts: &mut CallCounts) -> server::Result<http_types::Response> {
    counts.throttled += 1;
    server::refuse(429, "over the rate of the table service")
}

fn command() -> clap::Command {
    server::command("platform", "Stand-in for the platform")
        .arg(
            clap::Arg::new("vm-lag-ms")
                .long("vm-lag-ms")
                .default_value("500")
                .value_parser(clap::value_parser!(u64))
                .help("Time until a change of the VM list is visible"),
        )
        .arg(
            clap::Arg::new("weights-per-second")
                .long("weights-per-second")
                .default_value("10")
                .value_parser(clap::value_parser!(u32).range(1..))
                .help("Loads a second that the weight store allows"),
        )
}

fn handler_from(matches: &clap::ArgMatches) -> PlatformHandler {
    let lag = matches.get_one::<u64>("vm-lag-ms").copied();
    let weights = matches.get_one::<u32>("weights-per-second").copied();
    let now = time::Instant::now();
    PlatformHandler {
        switches: parking_lot::Mutex::new(PlatformSwitches {
            down: false,
            slow: time::Duration::ZERO,
            answers_to_lose: 0,
            throttle: false,
            vm_lag: time::Duration::from_millis(lag.unwrap_or_default()),
        }),
        stores: parking_lot::Mutex::new(PlatformStores {
            table: table::RowTable::default(),
            vms: vms::VmHistory::default(),
            objects: collections::HashMap::new(),
            reads: rate::RateBucket::new(READS_PER_SECOND, now),
            writes: rate::RateBucket::new(WRITES_PER_SECOND, now),
            weights: rate::RateBucket::new(f64::from(weights.unwrap_or(1)), now),
            counts: CallCounts::default(),
        }),
    }
}

fn main() -> std::io::Result<()> {
    let matches = command().get_matches();
    let handler = sync::Arc::new(handler_from(&matches));
    task::block_on(service::run(&matches, handler))
}
