//! Faults that strike a running system, and how they end.

use std::sync;
use std::sync::atomic;

use serde_json::json;

use crate::bench;

/// Outcome of bringing about a fault.
pub type Result<T> = eyre::Result<T>;

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SystemFault {
    /// The endpoint that works on the request is killed.
    EndpointKilled,
    /// It is paused, and woken later.
    EndpointFrozen,
    /// It is killed and started again.
    EndpointRestarted,
    /// Its open connections go silent for good, new ones work.
    EndpointSilent,
    /// Its connections are reset.
    EndpointCut,
    /// Nothing passes between it and the routers, in the given direction.
    EndpointPartition(&'static str),
    /// The router that answers is killed.
    RouterKilled,
    /// It is paused, and woken later.
    RouterFrozen,
    /// It is killed and started again.
    RouterRestarted,
    /// It is stopped as planned.
    RouterStopped,
    /// The caller goes away and comes back.
    CallerGone,
    /// Connections of callers to the router that answers are reset.
    CallerCut,
    /// Nothing passes between caller and that router, in the given direction.
    CallerPartition(&'static str),
    /// The table service is down.
    TableDown,
    /// The table service is slow.
    TableSlow,
    /// The table service closes one connection after the effect of a write.
    TableAnswerLost,
    /// Nothing passes between routers and platform, in the given direction.
    TablePartition(&'static str),
    /// The endpoint dies, which the VM list does not show.
    VmListBehind,
    /// A plain service closes one connection after it executed the request.
    ServiceAnswerLost,
}

/// Faults that strike generations and calls alike.
pub const COMMON: [SystemFault; 23] = [
    SystemFault::EndpointKilled,
    SystemFault::EndpointFrozen,
    SystemFault::EndpointRestarted,
    SystemFault::EndpointSilent,
    SystemFault::EndpointCut,
    SystemFault::EndpointPartition("both"),
    SystemFault::EndpointPartition("forward"),
    SystemFault::EndpointPartition("backward"),
    SystemFault::RouterKilled,
    SystemFault::RouterFrozen,
    SystemFault::RouterRestarted,
    SystemFault::RouterStopped,
    SystemFault::CallerGone,
    SystemFault::CallerCut,
    SystemFault::CallerPartition("both"),
    SystemFault::CallerPartition("forward"),
    SystemFault::CallerPartition("backward"),
    SystemFault::TableDown,
    SystemFault::TableSlow,
    SystemFault::TablePartition("both"),
    SystemFault::TablePartition("forward"),
    SystemFault::TablePartition("backward"),
    SystemFault::VmListBehind,
];

/// Faults of the endpoint alone.
pub const ENDPOINT: [SystemFault; 4] = [
    SystemFault::EndpointKilled,
    SystemFault::EndpointFrozen,
    SystemFault::EndpointRestarted,
    SystemFault::EndpointSilent,
];

/// Faults of the router alone.
pub const ROUTER: [SystemFault; 4] = [
    SystemFault::RouterKilled,
    SystemFault::RouterFrozen,
    SystemFault::RouterRestarted,
    SystemFault::RouterStopped,
];

/// Faults of the table service, for requests that need it.
pub const TABLE: [SystemFault; 6] = [
    SystemFault::TableDown,
    SystemFault::TableSlow,
    SystemFault::TableAnswerLost,
    SystemFault::TablePartition("both"),
    SystemFault::TablePartition("forward"),
    SystemFault::TablePartition("backward"),
];

/// The endpoint that works on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointChoice {
    /// The engine with this index.
    Engine(usize),
    /// The plain service.
    Service,
}

/// The processes that a fault strikes.
#[derive(Debug)]
pub struct FaultTarget {
    /// The system.
    pub bench: bench::TestBench,
    /// The endpoint that works on the request.
    pub endpoint: EndpointChoice,
    /// Index of the router that answers it.
    pub router: usize,
    /// Set to make the caller drop its connection.
    pub caller_drops: sync::Arc<atomic::AtomicBool>,
}

impl FaultTarget {
    /// The endpoint that works on the request.
    pub fn endpoint(&mut self) -> &mut bench::EndpointUnit {
        match self.endpoint {
            EndpointChoice::Engine(index) => &mut self.bench.engines[index],
            EndpointChoice::Service => self.bench.service.as_mut().expect("planned"),
        }
    }

    /// The router that answers the request.
    pub fn router(&mut self) -> &mut bench::RouterUnit {
        &mut self.bench.routers[self.router]
    }

    async fn caller_fault(&mut self, fault: serde_json::Value) -> Result<()> {
        let relay = self.router().relay.as_ref();
        let relay = relay.ok_or_else(|| eyre::eyre!("the plan has no caller relays"))?;
        relay.fault(fault).await
    }

    async fn platform_fault(&self, fault: serde_json::Value) -> Result<()> {
        let relay = self.bench.platform_relay.as_ref();
        let relay = relay.ok_or_else(|| eyre::eyre!("the plan has no platform relay"))?;
        relay.fault(fault).await
    }

    async fn table_fault(&self, fault: serde_json::Value) -> Result<()> {
        self.bench.platform.fault(fault).await
    }
}

impl SystemFault {
    /// Name in the table.
    pub fn name(self) -> String {
        match self {
            Self::EndpointKilled => "endpoint killed".to_owned(),
            Self::EndpointFrozen => "endpoint frozen and woken".to_owned(),
            Self::EndpointRestarted => "endpoint restarted".to_owned(),
            Self::EndpointSilent => "endpoint connections silent, new ones work".to_owned(),
            Self::EndpointCut => "router-endpoint cut".to_owned(),
            Self::EndpointPartition(direction) => format!("router-endpoint silent {direction}"),
            Self::RouterKilled => "router killed".to_owned(),
            Self::RouterFrozen => "router frozen and woken".to_owned(),
            Self::RouterRestarted => "router restarted".to_owned(),
            Self::RouterStopped => "router stopped as planned".to_owned(),
            Self::CallerGone => "caller gone and back".to_owned(),
            Self::CallerCut => "caller-router cut".to_owned(),
            Self::CallerPartition(direction) => format!("caller-router silent {direction}"),
            Self::TableDown => "table service down".to_owned(),
            Self::TableSlow => "table service slow".to_owned(),
            Self::TableAnswerLost => "table answer lost after effect".to_owned(),
            Self::TablePartition(direction) => format!("router-platform silent {direction}"),
            Self::VmListBehind => "VM list behind".to_owned(),
            Self::ServiceAnswerLost => "service answer lost after effect".to_owned(),
        }
    }

    /// Adds to `plan` what the fault needs.
    pub fn extend(self, plan: &mut bench::BenchPlan) {
        match self {
            Self::EndpointSilent | Self::EndpointCut | Self::EndpointPartition(_) => {
                plan.relays.endpoints = true;
            }
            Self::CallerCut | Self::CallerPartition(_) => plan.relays.callers = true,
            Self::TablePartition(_) => plan.relays.platform = true,
            _ => {}
        }
    }

    /// Brings the fault about.
    pub async fn strike(self, target: &mut FaultTarget) -> Result<()> {
        match self {
            Self::EndpointKilled => target.endpoint().stand_in.process.kill(),
            Self::EndpointFrozen => target.endpoint().stand_in.process.signal("STOP")?,
            Self::EndpointRestarted => target.endpoint().stand_in.restart()?,
            Self::EndpointSilent => {
                let fault = json!({"fault": "silence", "reach": "existing"});
                target.endpoint().relay_fault(fault).await?;
            }
            Self::EndpointCut => target.endpoint().relay_fault(cut()).await?,
            Self::EndpointPartition(direction) => {
                target.endpoint().relay_fault(silence(direction)).await?;
            }
            Self::RouterKilled => target.router().process.kill(),
            Self::RouterFrozen => target.router().process.signal("STOP")?,
            Self::RouterRestarted => target.router().process.restart()?,
            Self::RouterStopped => target.router().process.signal("TERM")?,
            Self::CallerGone => target.caller_drops.store(true, atomic::Ordering::SeqCst),
            Self::CallerCut => target.caller_fault(cut()).await?,
            Self::CallerPartition(direction) => target.caller_fault(silence(direction)).await?,
            Self::TableDown => target.table_fault(json!({"down": true})).await?,
            Self::TableSlow => target.table_fault(json!({"slow_ms": 1_500})).await?,
            Self::TableAnswerLost => target.table_fault(json!({"lose_answers": 1})).await?,
            Self::TablePartition(direction) => target.platform_fault(silence(direction)).await?,
            Self::VmListBehind => {
                target.table_fault(json!({"vm_lag_ms": 10_000})).await?;
                target.endpoint().stand_in.process.kill();
            }
            Self::ServiceAnswerLost => {
                let fault = json!({"lose_answers": 1});
                target.endpoint().stand_in.fault(fault).await?;
            }
        }
        Ok(())
    }

    /// Whether the fault lasts until it is healed.
    pub const fn lasts(self) -> bool {
        matches!(
            self,
            Self::EndpointFrozen
                | Self::RouterFrozen
                | Self::EndpointPartition(_)
                | Self::CallerPartition(_)
                | Self::TablePartition(_)
                | Self::TableDown
                | Self::TableSlow
        )
    }

    /// Whether the endpoint is gone for good.
    pub const fn ends_endpoint(self) -> bool {
        matches!(self, Self::EndpointKilled | Self::VmListBehind)
    }

    /// Ends what the fault does not end by itself.
    pub async fn heal(self, target: &mut FaultTarget) -> Result<()> {
        match self {
            Self::EndpointFrozen => target.endpoint().stand_in.process.signal("CONT"),
            Self::RouterFrozen => target.router().process.signal("CONT"),
            Self::EndpointPartition(_) => target.endpoint().relay_fault(restore()).await,
            Self::CallerPartition(_) => target.caller_fault(restore()).await,
            Self::TablePartition(_) => target.platform_fault(restore()).await,
            Self::TableDown => target.table_fault(json!({"down": false})).await,
            Self::TableSlow => target.table_fault(json!({"slow_ms": 0})).await,
            _ => Ok(()),
        }
    }
}

fn cut() -> serde_json::Value {
    json!({"fault": "cut"})
}

fn restore() -> serde_json::Value {
    json!({"fault": "restore"})
}

/// Silence in a direction, until restored.
pub fn silence(direction: &str) -> serde_json::Value {
    json!({"fault": "silence", "reach": "all", "direction": direction})
}
