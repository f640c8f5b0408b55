//! Two engine processes with a relay before each, for one run after the other.

use std::path;
use std::sync;

use kumquatpulley::request::suspicion;

use crate::bench;
use crate::engine_view;
use crate::process;

/// Outcome of a step of a lane.
pub type Result<T> = eyre::Result<T>;

/// Time between two tokens of an engine, and time for each token that it reads.
const ENGINE_PACE: [&str; 2] = ["--token-ms=20", "--prefill-us-per-token=3000"];

const ENGINES: usize = 2;

/// Work that an engine has done since its start.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineWork {
    /// Tokens computed.
    pub tokens: u64,
    /// Prompt and prefix tokens read.
    pub prefill: u64,
}

/// Work that an engine reports.
pub async fn engine_work(engine: &process::StandIn) -> Result<EngineWork> {
    let stats = engine.stats().await?;
    let number = |name: &str| stats[name].as_u64().unwrap_or_default();
    Ok(EngineWork {
        tokens: number("tokens_computed"),
        prefill: number("prefill_computed"),
    })
}

/// One engine and the relay before it.
#[derive(Debug)]
pub struct LaneEngine {
    /// What a driver knows of it.
    pub place: sync::Arc<engine_view::EnginePlace>,
    /// The engine.
    pub engine: process::StandIn,
    /// The relay.
    pub relay: process::StandIn,
}

/// The engines of one lane.
#[derive(Debug)]
pub struct EngineLane {
    /// The engines.
    pub engines: Vec<LaneEngine>,
}

impl EngineLane {
    /// Starts the processes; logs go into `folder`.
    pub fn start(folder: &path::Path, lane: usize) -> Result<Self> {
        let start = |index| LaneEngine::start(folder, &format!("lane-{lane}-engine-{index}"));
        let engines = (0..ENGINES).map(start).collect::<Result<Vec<_>>>()?;
        Ok(Self { engines })
    }

    /// Starts the engines again, so that nothing of an earlier run is cached or still computed.
    pub fn reset(&mut self) -> Result<()> {
        for engine in &mut self.engines {
            engine.engine.restart()?;
        }
        Ok(())
    }

    /// Work of each engine.
    pub async fn work(&self) -> Result<Vec<EngineWork>> {
        let mut all = Vec::new();
        for engine in &self.engines {
            all.push(engine_work(&engine.engine).await?);
        }
        Ok(all)
    }

    /// Bytes that passed the relays both ways.
    pub async fn bytes(&self) -> Result<u64> {
        let mut sum = 0;
        for engine in &self.engines {
            let stats = engine.relay.stats().await?;
            sum += stats["bytes"].as_u64().unwrap_or_default();
        }
        Ok(sum)
    }
}

impl LaneEngine {
    fn start(folder: &path::Path, name: &str) -> Result<Self> {
        let log = |suffix: &str| folder.join(format!("{name}{suffix}.log"));
        let model = format!("--model={}", bench::MODEL);
        let name_argument = format!("--name={name}");
        let mut arguments = vec![name_argument.as_str(), model.as_str(), "--version=v1"];
        arguments.extend(ENGINE_PACE);
        let engine = process::StandIn::start("model_engine", log(""), &arguments)?;
        let to = format!("--to={}", engine.listen);
        let relay = process::StandIn::start("fault_relay", log("-relay"), &[&to])?;
        let place = sync::Arc::new(engine_view::EnginePlace {
            name: name.to_owned(),
            address: relay.listen.to_string(),
            gaps: parking_lot::Mutex::new(suspicion::GapEstimator::default()),
        });
        Ok(Self {
            place,
            engine,
            relay,
        })
    }
}
