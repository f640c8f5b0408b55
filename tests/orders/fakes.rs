//! In-memory engines that execute orders immediately.

use std::sync;

use futures::future;
use futures::future::FutureExt as _;
use kumquatpulley::connection::engine_wire;
use kumquatpulley::connection::order_client;
use kumquatpulley::process::orders::order_planner;
use kumquatpulley::version::declaration;

pub const SERVICE: &str = "quotes";

pub fn model(version: &str) -> declaration::DeclaredModel {
    declaration::DeclaredModel {
        name: "quote-writer".to_owned(),
        version: version.to_owned(),
        adapter: None,
    }
}

pub fn loaded(version: &str) -> engine_wire::LoadedModel {
    order_planner::loaded_model(&model(version))
}

/// Engines whose loads take no time; `received` lists engine and fence of each accepted order.
#[derive(Debug, Default)]
pub struct FakeEngines {
    pub engines: parking_lot::Mutex<Vec<FakeEngine>>,
    pub received: parking_lot::Mutex<Vec<(String, u64)>>,
}

#[derive(Clone, Debug)]
pub struct FakeEngine {
    pub name: String,
    pub checks_fencing: bool,
    pub highest_fence: u64,
    pub leaving: bool,
    pub report: Option<engine_wire::EngineReport>,
}

impl FakeEngines {
    /// Creates `count` engines without a model; none of them checks fencing numbers.
    pub fn shared(count: usize) -> sync::Arc<Self> {
        let engine = |index: usize| FakeEngine {
            name: format!("e-{index}"),
            checks_fencing: false,
            highest_fence: 0,
            leaving: false,
            report: Some(engine_wire::EngineReport {
                incarnation: 1,
                ..engine_wire::EngineReport::default()
            }),
        };
        sync::Arc::new(Self {
            engines: parking_lot::Mutex::new((0..count).map(engine).collect()),
            received: parking_lot::Mutex::default(),
        })
    }

    pub fn change(&self, index: usize, change: impl FnOnce(&mut FakeEngine)) {
        change(&mut self.engines.lock()[index]);
    }

    pub fn loaded(&self, index: usize) -> Vec<engine_wire::LoadedModel> {
        let engines = self.engines.lock();
        let report = engines[index].report.as_ref();
        report.map_or_else(Vec::new, |report| report.loaded.clone())
    }

    pub fn all_hold(&self, version: &str) -> bool {
        let count = self.engines.lock().len();
        (0..count).all(|index| self.loaded(index).contains(&loaded(version)))
    }

    pub fn statuses(&self) -> Vec<order_planner::EngineStatus> {
        let engines = self.engines.lock();
        let status = |engine: &FakeEngine| order_planner::EngineStatus {
            name: engine.name.clone(),
            address: engine.name.clone(),
            leaving: engine.leaving,
            report: engine.report.clone(),
        };
        engines.iter().map(status).collect()
    }

    pub fn receive(
        &self,
        address: &str,
        order: &engine_wire::EngineOrder,
    ) -> order_client::Result<()> {
        let mut engines = self.engines.lock();
        let engine = engines.iter_mut().find(|engine| engine.name == address);
        let engine = engine.expect("orders are sent to known engines");
        if engine.checks_fencing && order.fence < engine.highest_fence {
            return Err(order_client::OrderError::StaleFence);
        }
        engine.highest_fence = engine.highest_fence.max(order.fence);
        self.received.lock().push((address.to_owned(), order.fence));
        let report = engine
            .report
            .as_mut()
            .expect("engines that get orders have a report");
        report.loaded.clone_from(&order.wanted.loaded);
        report.role.clone_from(&order.wanted.role);
        Ok(())
    }
}

impl order_client::OrderSink for FakeEngines {
    fn send<'a>(
        &'a self,
        address: &'a str,
        order: &'a engine_wire::EngineOrder,
    ) -> future::BoxFuture<'a, order_client::Result<()>> {
        future::ready(self.receive(address, order)).boxed()
    }
}
