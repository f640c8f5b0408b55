//! Routers before engines of a chosen number and size, with workspaces of a chosen limit.

use std::fmt::Write as _;
use std::fs;
use std::time;

use async_std::task;
use sha2::Digest as _;

use crate::bench;
use crate::process;

/// Outcome of a step.
pub type Result<T> = eyre::Result<T>;

const ZONES: [&str; 2] = ["zone-a", "zone-b"];
const READY_LIMIT: time::Duration = time::Duration::from_secs(20);
const READY_TICK: time::Duration = time::Duration::from_millis(50);

/// Configuration number after the one that the test bench applies.
const OWN_CONFIG: u64 = 2;

/// The engines of a system.
#[derive(Clone, Copy, Debug)]
pub struct EnginePlan {
    /// Engines.
    pub count: usize,
    /// Requests that each takes at the same time.
    pub slots: usize,
    /// Time to read one prompt token, in microseconds.
    pub prefill_us: u64,
    /// Blocks of each engine's prefix cache.
    pub cache_blocks: usize,
}

/// One workspace.
#[derive(Clone, Debug)]
pub struct WorkspacePlan {
    /// Its name, which is its bearer key too.
    pub name: String,
    /// Requests in flight over all routers at most.
    pub max_in_flight: usize,
    /// Requests waiting at one router at most.
    pub max_queue: usize,
}

/// A running system.
#[derive(Debug)]
pub struct BenchSystem {
    /// Platform, routers and, if planned, the plain service.
    pub base: bench::TestBench,
    /// The engines that are declared.
    pub engines: Vec<process::StandIn>,
    folder: tempfile::TempDir,
}

impl BenchSystem {
    /// Starts all processes and waits until every router knows all engines.
    pub async fn start(
        plan: bench::BenchPlan,
        engines: EnginePlan,
        workspaces: &[WorkspacePlan],
    ) -> Result<Self> {
        let base = bench::TestBench::start(plan).await?;
        let mut system = Self {
            base,
            engines: Vec::new(),
            folder: tempfile::tempdir()?,
        };
        for index in 0..engines.count {
            let engine = system.start_engine(index, engines)?;
            system.engines.push(engine);
        }
        system.declare(engines, workspaces).await?;
        system.wait_ready().await?;
        Ok(system)
    }

    fn start_engine(&self, index: usize, plan: EnginePlan) -> Result<process::StandIn> {
        let name = format!("runner-{index}");
        let log = self.folder.path().join(format!("{name}.log"));
        let arguments = [
            format!("--name={name}"),
            format!("--model={}", bench::MODEL),
            "--version=v1".to_owned(),
            "--token-ms=20".to_owned(),
            format!("--slots={}", plan.slots),
            format!("--prefill-us-per-token={}", plan.prefill_us),
            format!("--cache-blocks={}", plan.cache_blocks),
        ];
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        process::StandIn::start("model_engine", log, &arguments)
    }

    async fn declare(&self, engines: EnginePlan, workspaces: &[WorkspacePlan]) -> Result<()> {
        let file = self.folder.path().join("system.yaml");
        fs::write(&file, self.declarations(engines, workspaces)?)?;
        let output = self.base.apply_file(&file, &[]).await?;
        let errors = String::from_utf8_lossy(&output.stderr);
        eyre::ensure!(output.status.success(), "apply failed: {errors}");
        Ok(())
    }

    fn declarations(&self, engines: EnginePlan, workspaces: &[WorkspacePlan]) -> Result<String> {
        let mut yaml = format!(
            "services:\n  - name: quotes\n    model: {{name: {}, version: v1}}\n    endpoints:\n",
            bench::MODEL
        );
        for (index, engine) in self.engines.iter().enumerate() {
            writeln!(
                yaml,
                "      - {{name: runner-{index}, address: \"{}\", zone: {}, slots: {}}}",
                engine.listen,
                ZONES[index % ZONES.len()],
                engines.slots,
            )?;
        }
        if let Some(service) = &self.base.service {
            writeln!(
                yaml,
                "  - name: stock\n    endpoints:\n      - {{name: {}, address: \"{}\", zone: {}}}",
                service.name, service.stand_in.listen, ZONES[0],
            )?;
        }
        yaml.push_str("workspaces:\n");
        for workspace in workspaces {
            writeln!(
                yaml,
                "  - {{name: {}, key_hashes: [{:x}], max_in_flight: {}, max_queue: {}}}",
                workspace.name,
                sha2::Sha256::digest(workspace.name.as_bytes()),
                workspace.max_in_flight,
                workspace.max_queue,
            )?;
        }
        writeln!(
            yaml,
            "routes:\n  - {{model: {}, service: quotes}}",
            bench::MODEL
        )?;
        if self.base.service.is_some() {
            yaml.push_str("  - {path: /, service: stock}\n");
        }
        Ok(yaml)
    }

    /// Waits until every router knows what each engine holds.
    pub async fn wait_ready(&self) -> Result<()> {
        let started = time::Instant::now();
        for router in &self.base.routers {
            loop {
                let status = process::get_json(router.admin, "/admin/status").await?;
                if self.is_known(&status) {
                    break;
                }
                eyre::ensure!(started.elapsed() < READY_LIMIT, "not ready: {status}");
                task::sleep(READY_TICK).await;
            }
        }
        Ok(())
    }

    fn is_known(&self, status: &serde_json::Value) -> bool {
        let empty = Vec::new();
        let endpoints = status["endpoints"].as_array().unwrap_or(&empty);
        let is_serving = |endpoint: &&serde_json::Value| {
            endpoint["versions"][0].is_string() && endpoint["state"] == "serving"
        };
        let known = endpoints.iter().filter(is_serving).count();
        status["config"] == OWN_CONFIG && known == self.engines.len()
    }
}
