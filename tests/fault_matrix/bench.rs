//! One small system of real processes: platform, endpoints and routers on loopback ports.

use std::fs;
use std::io;
use std::net;
use std::path;
use std::process as std_process;
use std::time;

use async_std::task;

use crate::process;

/// Outcome of a step on the bench.
pub type Result<T> = eyre::Result<T>;

/// Bearer key of the only workspace.
pub const BEARER: &str = "matrix-key";

/// Model that the engines run.
pub const MODEL: &str = "quote-writer";

/// Workspace limit of the first declarations.
pub const FIRST_LIMIT: usize = 100;

/// Availability zones, taken in turn.
pub const ZONES: [&str; 2] = ["zone-a", "zone-b"];
const TOKEN_GAP_MS: &str = "--token-ms=20";
const PREFILL_US: &str = "--prefill-us-per-token=3000";
const READY_LIMIT: time::Duration = time::Duration::from_secs(20);
const READY_TICK: time::Duration = time::Duration::from_millis(50);
const ADDRESS_KEEP_MS: u64 = 1_000;

/// Where relays stand that cut connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct RelayPlaces {
    /// Before each engine and the plain service.
    pub endpoints: bool,
    /// Before the caller port of each router.
    pub callers: bool,
    /// Before the platform.
    pub platform: bool,
}

/// What a bench consists of.
#[derive(Clone, Copy, Debug)]
pub struct BenchPlan {
    /// Routers.
    pub routers: usize,
    /// Model engines.
    pub engines: usize,
    /// Where relays stand.
    pub relays: RelayPlaces,
    /// Whether there is a plain service.
    pub service: bool,
    /// Whether engines refuse orders with an old fencing number.
    pub checks_fencing: bool,
    /// Drain timeout of routers, in milliseconds.
    pub drain_timeout_ms: u64,
}

impl Default for BenchPlan {
    fn default() -> Self {
        Self {
            routers: 2,
            engines: 2,
            relays: RelayPlaces::default(),
            service: false,
            checks_fencing: true,
            drain_timeout_ms: 300,
        }
    }
}

/// An endpoint, and the relay before it if there is one.
#[derive(Debug)]
pub struct EndpointUnit {
    /// Endpoint name.
    pub name: String,
    /// The endpoint.
    pub stand_in: process::StandIn,
    /// The relay before it.
    pub relay: Option<process::StandIn>,
}

impl EndpointUnit {
    /// Address at which routers reach the endpoint.
    pub fn address(&self) -> net::SocketAddr {
        let relay = self.relay.as_ref();
        relay.map_or(self.stand_in.listen, |relay| relay.listen)
    }

    /// Brings about a fault of the relay.
    pub async fn relay_fault(&self, fault: serde_json::Value) -> Result<()> {
        let relay = self.relay.as_ref();
        let relay = relay.ok_or_else(|| eyre::eyre!("the plan has no endpoint relays"))?;
        relay.fault(fault).await
    }
}

/// A router, and the relay before its caller port if there is one.
#[derive(Debug)]
pub struct RouterUnit {
    /// Address for callers.
    pub listen: net::SocketAddr,
    /// Address for operators.
    pub admin: net::SocketAddr,
    /// The process.
    pub process: process::TestProcess,
    /// The relay before the caller port.
    pub relay: Option<process::StandIn>,
    _claims: Vec<process::PortClaim>,
}

/// The system.
#[derive(Debug)]
pub struct TestBench {
    /// The platform.
    pub platform: process::StandIn,
    /// The relay before the platform.
    pub platform_relay: Option<process::StandIn>,
    /// Model engines.
    pub engines: Vec<EndpointUnit>,
    /// The plain service.
    pub service: Option<EndpointUnit>,
    /// Routers.
    pub routers: Vec<RouterUnit>,
    /// Settings, declarations and logs.
    pub folder: tempfile::TempDir,
}

impl TestBench {
    /// Starts all processes, applies the declarations and waits until all routers serve.
    pub async fn start(plan: BenchPlan) -> Result<Self> {
        let folder = tempfile::tempdir()?;
        let log = |name: &str| folder.path().join(format!("{name}.log"));
        let platform = process::StandIn::start("platform", log("platform"), &[])?;
        let platform_relay = plan
            .relays
            .platform
            .then(|| start_relay(platform.listen, log("platform-relay")))
            .transpose()?;
        let mut bench = Self {
            platform,
            platform_relay,
            engines: Vec::new(),
            service: None,
            routers: Vec::new(),
            folder,
        };
        for index in 0..plan.engines {
            let unit = bench.start_engine(index, plan)?;
            bench.engines.push(unit);
        }
        if plan.service {
            bench.service = Some(bench.start_service(plan)?);
        }
        bench.start_routers(plan)?;
        let file = bench.write_declarations("v1", FIRST_LIMIT)?;
        let output = bench.apply_file(&file, &[]).await?;
        let errors = String::from_utf8_lossy(&output.stderr);
        eyre::ensure!(output.status.success(), "apply failed: {errors}");
        bench.wait_ready().await?;
        Ok(bench)
    }

    fn start_engine(&self, index: usize, plan: BenchPlan) -> Result<EndpointUnit> {
        let name = format!("engine-{}", index + 1);
        let name_argument = format!("--name={name}");
        let model = format!("--model={MODEL}");
        let mut arguments = vec![
            name_argument.as_str(),
            model.as_str(),
            "--version=v1",
            TOKEN_GAP_MS,
            PREFILL_US,
        ];
        if plan.checks_fencing {
            arguments.push("--checks-fencing");
        }
        let stand_in = process::StandIn::start("model_engine", self.log(&name), &arguments)?;
        self.endpoint(name, stand_in, plan)
    }

    fn start_service(&self, plan: BenchPlan) -> Result<EndpointUnit> {
        let name = "stock-1".to_owned();
        let journal = format!("--journal={}", self.journal().display());
        let stand_in = process::StandIn::start("plain_service", self.log(&name), &[&journal])?;
        self.endpoint(name, stand_in, plan)
    }

    fn endpoint(
        &self,
        name: String,
        stand_in: process::StandIn,
        plan: BenchPlan,
    ) -> Result<EndpointUnit> {
        let log = self.log(&format!("{name}-relay"));
        let relay = plan
            .relays
            .endpoints
            .then(|| start_relay(stand_in.listen, log))
            .transpose()?;
        Ok(EndpointUnit {
            name,
            stand_in,
            relay,
        })
    }

    fn start_routers(&mut self, plan: BenchPlan) -> Result<()> {
        let mut places = Vec::new();
        for _index in 0..plan.routers {
            let claims = [(); 3].map(|()| process::PortClaim::take());
            let claims: Vec<_> = claims.into_iter().collect::<Result<_>>()?;
            places.push(claims);
        }
        let seeds = places.iter().map(|claims| claims[1].address.to_string());
        let seeds: Vec<String> = seeds.collect();
        for (index, claims) in places.into_iter().enumerate() {
            let [listen, peer, admin] = [0, 1, 2].map(|port: usize| claims[port].address);
            let name = format!("r{}", index + 1);
            let yaml = format!(
                "router: {name}\nzone: {}\nlisten: {listen}\npeer_listen: {peer}\n\
                 admin_listen: {admin}\nplatform: {}\nseeds: [{}]\n\
                 address_keep_ms: {ADDRESS_KEEP_MS}\ndrain_timeout_ms: {}\n",
                ZONES[index % ZONES.len()],
                self.platform_address(),
                seeds.join(", "),
                plan.drain_timeout_ms,
            );
            let file = self.folder.path().join(format!("{name}.yaml"));
            fs::write(&file, yaml)?;
            let arguments = vec!["--config".to_owned(), file.display().to_string()];
            let program = process::program("kumquatpulleyd");
            let started = process::TestProcess::start(program, arguments, self.log(&name))?;
            let relay_log = self.log(&format!("{name}-relay"));
            let relay = plan
                .relays
                .callers
                .then(|| start_relay(listen, relay_log))
                .transpose()?;
            self.routers.push(RouterUnit {
                listen,
                admin,
                process: started,
                relay,
                _claims: claims,
            });
        }
        Ok(())
    }

    /// Address at which routers and operators reach the platform.
    fn platform_address(&self) -> net::SocketAddr {
        let relay = self.platform_relay.as_ref();
        relay.map_or(self.platform.listen, |relay| relay.listen)
    }

    fn log(&self, name: &str) -> path::PathBuf {
        self.folder.path().join(format!("{name}.log"))
    }

    /// Applies a declaration file with the command line.
    pub fn apply_file(
        &self,
        file: &path::Path,
        more: &[&str],
    ) -> task::JoinHandle<io::Result<std_process::Output>> {
        let mut command = std_process::Command::new(process::program("kumquatpulley"));
        command
            .arg("apply")
            .arg(file)
            .arg(format!("--platform={}", self.platform_address()))
            .args(more);
        task::spawn_blocking(move || command.output())
    }

    /// Waits until every router names all routers and knows what all endpoints hold.
    pub async fn wait_ready(&self) -> Result<()> {
        let started = time::Instant::now();
        for router in &self.routers {
            while !self.serves(router).await {
                if started.elapsed() > READY_LIMIT {
                    return Err(eyre::eyre!("{} is not ready", router.listen));
                }
                task::sleep(READY_TICK).await;
            }
        }
        Ok(())
    }

    async fn serves(&self, router: &RouterUnit) -> bool {
        let Ok(answer) = process::get_json(router.listen, "/v1/addresses").await else {
            return false;
        };
        let named = answer["addresses"].as_array().map_or(0, Vec::len);
        let Ok(status) = process::get_json(router.admin, "/admin/status").await else {
            return false;
        };
        let empty = Vec::new();
        let endpoints = status["endpoints"].as_array().unwrap_or(&empty);
        let known = endpoints
            .iter()
            .filter(|endpoint| endpoint["versions"][0].is_string())
            .count();
        let knows_service = self.service.as_ref().is_none_or(|service| {
            endpoints
                .iter()
                .any(|endpoint| endpoint["name"] == service.name)
        });
        named == self.routers.len() && known == self.engines.len() && knows_service
    }

    /// Argument that names the operator addresses of all routers.
    pub fn admin_argument(&self) -> String {
        let admins = self.routers.iter().map(|router| router.admin.to_string());
        format!("--router={}", admins.collect::<Vec<_>>().join(","))
    }

    /// The router with the given caller address, as the caller sees it.
    pub fn router_at(&self, address: &str) -> Option<usize> {
        self.routers.iter().position(|router| {
            let relay = router.relay.as_ref().map(|relay| relay.listen.to_string());
            router.listen.to_string() == address || relay.as_deref() == Some(address)
        })
    }

    /// The address at which a caller reaches the router that listens on `listen`.
    pub fn caller_address(&self, listen: &str) -> String {
        let router = self
            .routers
            .iter()
            .find(|router| router.listen.to_string() == listen);
        let relay = router.and_then(|router| router.relay.as_ref());
        relay.map_or_else(|| listen.to_owned(), |relay| relay.listen.to_string())
    }

    /// File to which the plain service adds each execution.
    fn journal(&self) -> path::PathBuf {
        self.folder.path().join("executions")
    }

    /// Arrival times of the executions with the given key, in microseconds since the Unix epoch.
    pub fn executions(&self, key: &str) -> Result<Vec<u64>> {
        let journal = fs::read_to_string(self.journal()).unwrap_or_default();
        let mut arrivals = Vec::new();
        for line in journal.lines() {
            let record: serde_json::Value = serde_json::from_str(line)?;
            if record["key"] == key {
                arrivals.push(record["arrived_micros"].as_u64().unwrap_or_default());
            }
        }
        Ok(arrivals)
    }

    /// Log of a process, for the report of a failed cell.
    pub fn read_log(&self, name: &str) -> String {
        fs::read_to_string(self.log(name)).unwrap_or_default()
    }
}

fn start_relay(to: net::SocketAddr, log: path::PathBuf) -> Result<process::StandIn> {
    process::StandIn::start("fault_relay", log, &[&format!("--to={to}")])
}
