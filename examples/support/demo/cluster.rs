//! The processes of the demo: platform, engines, plain service and routers.

use std::env;
use std::fs;
use std::net;
use std::path;
use std::time;

use kumquatpulley::connection::http;
use kumquatpulley::process::telemetry::timeline;

use super::children;
use crate::support::port_claim;

/// Outcome of a step.
pub type Result<T> = eyre::Result<T>;

const LIMITS: http::ExchangeLimits = http::ExchangeLimits {
    connect: time::Duration::from_millis(500),
    head: time::Duration::from_secs(2),
};
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Time between two tokens of an engine, in milliseconds.
const TOKEN_GAP_MS: &str = "10";

const ENGINE_ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-a"];
const ROUTER_ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-a"];
const ADDRESS_KEEP_MS: u64 = 2_000;

/// A model engine.
#[derive(Clone, Debug)]
pub struct DemoEngine {
    /// Endpoint name.
    pub name: String,
    address: children::StandInAddress,
}

/// A router.
#[derive(Debug)]
pub struct DemoRouter {
    /// Router name.
    pub name: String,
    /// Address for callers.
    pub listen: net::SocketAddr,
    /// Address for operators.
    pub admin: net::SocketAddr,
    peer: net::SocketAddr,
    _claims: [port_claim::PortClaim; 3],
}

/// Counts of an engine.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
pub struct EngineStats {
    /// Tokens that it computed.
    pub tokens_computed: u64,
    attempts: Vec<AttemptStats>,
}

#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
struct AttemptStats {
    state: String,
}

impl EngineStats {
    /// Whether it computes an answer now.
    pub fn is_running(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.state == "running")
    }
}

/// All processes.
#[derive(Debug)]
pub struct DemoCluster {
    /// Engines, in the order of the declarations.
    pub engines: Vec<DemoEngine>,
    /// Routers.
    pub routers: Vec<DemoRouter>,
    platform: children::StandInAddress,
    folder: path::PathBuf,
    group: children::ChildGroup,
}

impl DemoCluster {
    /// Starts all processes; settings and logs go into `folder`.
    ///
    /// # Errors
    /// Fails when a process does not start.
    pub fn start(folder: &path::Path) -> Result<Self> {
        let group = children::ChildGroup::new(folder)?;
        let platform = group.start_stand_in("platform", &example("platform")?, &[])?;
        let mut engines = Vec::new();
        for (index, zone) in ENGINE_ZONES.iter().enumerate() {
            engines.push(start_engine(&group, index + 1, zone)?);
        }
        let arguments = ["--name", "stock-1"];
        let service = group.start_stand_in("stock-1", &example("plain_service")?, &arguments)?;
        let mut cluster = Self {
            engines,
            routers: Vec::new(),
            platform,
            folder: folder.to_owned(),
            group,
        };
        cluster.write_declarations(service)?;
        cluster.start_routers()?;
        Ok(cluster)
    }

    /// The declarations with the addresses of this run in place of those in the file.
    fn write_declarations(&self, service: children::StandInAddress) -> Result<()> {
        let mut yaml = fs::read_to_string(declarations_file())?;
        let engines = self.engines.iter().map(|engine| engine.address.listen);
        let listens = engines.chain([service.listen]);
        for (port, listen) in (38_101..).zip(listens) {
            yaml = yaml.replace(&format!("127.0.0.1:{port}"), &listen.to_string());
        }
        fs::write(self.declarations(), yaml)?;
        Ok(())
    }

    /// File with the declarations of this run.
    pub fn declarations(&self) -> path::PathBuf {
        self.folder.join("demo.yaml")
    }

    fn start_routers(&mut self) -> Result<()> {
        for index in 1..=ROUTER_ZONES.len() {
            let listen = port_claim::PortClaim::take()?;
            let admin = port_claim::PortClaim::take()?;
            let peer = port_claim::PortClaim::take()?;
            self.routers.push(DemoRouter {
                name: format!("r{index}"),
                listen: listen.address,
                admin: admin.address,
                peer: peer.address,
                _claims: [listen, admin, peer],
            });
        }
        for (router, zone) in self.routers.iter().zip(ROUTER_ZONES) {
            let file = self.folder.join(format!("{}.yaml", router.name));
            fs::write(&file, self.settings(router, zone))?;
            let file = file.to_string_lossy();
            self.group.start(
                &router.name,
                &program("kumquatpulleyd")?,
                &["--config", &file],
            )?;
        }
        Ok(())
    }

    fn settings(&self, router: &DemoRouter, zone: &str) -> String {
        let peers = self.routers.iter().map(|router| router.peer.to_string());
        let seeds: Vec<String> = peers.collect();
        format!(
            "router: {}\nzone: {zone}\nlisten: {}\npeer_listen: {}\nadmin_listen: {}\n\
             platform: {}\nseeds: [{}]\naddress_keep_ms: {ADDRESS_KEEP_MS}\n",
            router.name,
            router.listen,
            router.peer,
            router.admin,
            self.platform.listen,
            seeds.join(", "),
        )
    }

    /// Applies the declarations with the command line and waits until they are in force.
    ///
    /// # Errors
    /// Fails when the command fails; its output is the error.
    pub fn apply(&self) -> Result<String> {
        let admins = self.routers.iter().map(|router| router.admin.to_string());
        let admins: Vec<String> = admins.collect();
        let file = self.declarations();
        let arguments = [
            "apply",
            &file.to_string_lossy(),
            "--wait",
            "--platform",
            &self.platform.listen.to_string(),
            "--router",
            &admins.join(","),
        ];
        self.group
            .run("apply", &program("kumquatpulley")?, &arguments)
    }

    /// The engine that computes an answer now.
    ///
    /// # Errors
    /// Fails when none does.
    pub async fn busy_engine(&self) -> Result<DemoEngine> {
        for engine in &self.engines {
            if self
                .engine_stats(engine)
                .await
                .is_ok_and(|stats| stats.is_running())
            {
                return Ok(engine.clone());
            }
        }
        Err(eyre::eyre!("no engine computes an answer"))
    }

    /// Counts of an engine.
    ///
    /// # Errors
    /// Fails when the engine is dead.
    pub async fn engine_stats(&self, engine: &DemoEngine) -> Result<EngineStats> {
        get(engine.address.admin, "/stats").await
    }

    /// Events of a router.
    ///
    /// # Errors
    /// Fails when the router is dead.
    pub async fn events(&self, router: &DemoRouter) -> Result<Vec<timeline::TimelineEvent>> {
        get(router.admin, "/admin/timeline").await
    }

    /// Kills a process without warning.
    ///
    /// # Errors
    /// Fails when there is no such process.
    pub fn kill(&self, name: &str) -> Result<()> {
        self.group.kill(name)
    }
}

fn start_engine(group: &children::ChildGroup, number: usize, zone: &str) -> Result<DemoEngine> {
    let name = format!("engine-{number}");
    let arguments = [
        "--name",
        &name,
        "--zone",
        zone,
        "--model",
        "quote-writer",
        "--version",
        "v1",
        "--token-ms",
        TOKEN_GAP_MS,
    ];
    let address = group.start_stand_in(&name, &example("model_engine")?, &arguments)?;
    Ok(DemoEngine { name, address })
}

async fn get<T: serde::de::DeserializeOwned>(address: net::SocketAddr, path: &str) -> Result<T> {
    let address = address.to_string();
    let method = http_types::Method::Get;
    let (_status, bytes) =
        http::send_json(method, &address, path, None, LIMITS, MAX_ANSWER_BYTES).await?;
    Ok(serde_json::from_slice(&bytes)?)
}

fn declarations_file() -> path::PathBuf {
    path::Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/demo.yaml")
}

/// A stand-in of this build; it lies beside the driver.
fn example(name: &str) -> Result<path::PathBuf> {
    Ok(env::current_exe()?.with_file_name(name))
}

/// A program of this build; it lies above the examples.
fn program(name: &str) -> Result<path::PathBuf> {
    let examples = env::current_exe()?;
    let folder = examples.parent().and_then(path::Path::parent);
    let folder = folder.ok_or_else(|| eyre::eyre!("the driver is not in a build folder"))?;
    Ok(folder.join(name))
}
