//! What a router holds and does for the endpoints of a version, apart from gossip.

use std::sync;
use std::time;

use async_std::task;
use futures::future;
use kumquatpulley::connection::{platform, platform_wire};
use kumquatpulley::process::endpoints::{endpoint_table, placement, watch};
use kumquatpulley::process::members::seed;
use kumquatpulley::process::telemetry::timeline;
use kumquatpulley::process::view;
use kumquatpulley::version::{check, route};

use crate::{core_seconds, group, resident_bytes};

#[derive(Debug)]
struct NoneLeaving;

impl view::LeavingView for NoneLeaving {
    fn is_leaving(&self, _endpoint: &str, _incarnation: u64) -> bool {
        false
    }

    fn mark_leaving(&self, _endpoint: &str, _incarnation: u64) {}
}

/// A VM list of the declared endpoints; no table service.
#[derive(Debug)]
struct ListedPlatform(Vec<platform_wire::VmEntry>);

impl platform::PlatformService for ListedPlatform {
    fn read(
        &self,
        _keys: Vec<String>,
    ) -> future::BoxFuture<'_, platform::Result<Vec<Option<platform_wire::TableRow>>>> {
        let down = platform::PlatformError::Unreachable("no table service here".to_owned());
        Box::pin(future::ready(Err(down)))
    }

    fn write(
        &self,
        _writes: Vec<platform_wire::RowWrite>,
    ) -> future::BoxFuture<'_, platform::Result<platform::WriteOutcome>> {
        let down = platform::PlatformError::Unreachable("no table service here".to_owned());
        Box::pin(future::ready(Err(down)))
    }

    fn vms(&self) -> future::BoxFuture<'_, platform::Result<Vec<platform_wire::VmEntry>>> {
        Box::pin(future::ready(Ok(self.0.clone())))
    }
}

/// Memory of a version in force, time to put it in force over itself, and cost of the VM list.
pub async fn measure(endpoints: usize, window: time::Duration) -> serde_json::Value {
    let yaml = group::declarations(endpoints);
    let before = resident_bytes();
    let version = route::ActiveVersion::build(1, &yaml).expect("declarations are wrong");
    let set = check::parse("bench", version.yaml()).expect("declarations are wrong");
    let table = sync::Arc::new(endpoint_table::EndpointTable::new(
        "router-0".to_owned(),
        "zone-0".to_owned(),
        Box::new(placement::PrefixPlacement::default()),
        sync::Arc::new(NoneLeaving),
    ));
    table.replace(&set.services);
    let memory = resident_bytes() - before;
    let began = time::Instant::now();
    table.replace(&set.services);
    let replaced = began.elapsed();
    let listed = vm_list_core(table, window).await;
    serde_json::json!({
        "name": format!("version of {endpoints} endpoints held by one router"),
        "memory_bytes": memory,
        "replace_seconds": replaced.as_secs_f64(),
        "vm_list_core": listed,
    })
}

/// Processor time of reading the VM list, as a part of one core.
async fn vm_list_core(
    table: sync::Arc<endpoint_table::EndpointTable>,
    window: time::Duration,
) -> f64 {
    let entries = table.all().into_iter().map(|entry| platform_wire::VmEntry {
        name: entry.declared.name.clone(),
        address: entry.declared.address.clone(),
        zone: entry.declared.zone.clone(),
        role: "endpoint".to_owned(),
        leaving: false,
    });
    let watcher = watch::EndpointWatcher {
        endpoints: sync::Arc::clone(&table),
        leaving: sync::Arc::new(NoneLeaving),
        seeds: sync::Arc::new(seed::SeedList::new(Vec::new())),
        platform: sync::Arc::new(ListedPlatform(entries.collect())),
        ring: sync::Arc::new(timeline::EventRing::new("router-0")),
    };
    let stop = stop_token::StopSource::new();
    let (core, began) = (core_seconds(), time::Instant::now());
    task::spawn(watcher.watch_vms(|| true, stop.token()));
    task::sleep(window).await;
    drop(stop);
    (core_seconds() - core) / began.elapsed().as_secs_f64()
}
