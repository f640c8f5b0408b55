//! Polls the engines' load reports and the platform's VM list.

use std::collections;
use std::sync;
use std::time;

use async_std::task;
use futures::StreamExt as _;
use futures::stream;
use stop_token::future::FutureExt as _;

use crate::connection::engine;
use crate::connection::platform;
use crate::connection::platform_wire;
use crate::process::endpoints::endpoint_entry;
use crate::process::endpoints::endpoint_table;
use crate::process::members::seed;
use crate::process::telemetry::timeline;
use crate::process::view;

/// Interval between polls of an engine's load report.
pub const REPORT_PERIOD: time::Duration = time::Duration::from_secs(1);

/// Interval between polls of the VM list.
pub const VM_LIST_PERIOD: time::Duration = time::Duration::from_secs(2);

/// Maximum number of load reports requested concurrently.
const MAX_CONCURRENT_REPORTS: usize = 32;

const ENDPOINT_ROLE: &str = "endpoint";

const ROUTER_ROLE: &str = "router";

/// Keeps the endpoint table of one router up to date.
#[derive(Clone, Debug)]
pub struct EndpointWatcher {
    /// Table that holds the endpoints' state.
    pub endpoints: sync::Arc<endpoint_table::EndpointTable>,
    /// Distributes leaving endpoints to the other routers.
    pub leaving: sync::Arc<dyn view::LeavingView>,
    /// Receives the addresses of the router VMs in the VM list.
    pub seeds: sync::Arc<seed::SeedList>,
    /// Source of the VM list.
    pub platform: sync::Arc<dyn platform::PlatformService>,
    /// Timeline of this process.
    pub ring: sync::Arc<timeline::EventRing>,
}

impl EndpointWatcher {
    /// Polls load reports every [`REPORT_PERIOD`] until `token` is cancelled.
    pub async fn watch_reports(self, token: stop_token::StopToken) {
        loop {
            self.read_reports().await;
            if task::sleep(REPORT_PERIOD)
                .timeout_at(token.clone())
                .await
                .is_err()
            {
                return;
            }
        }
    }

    /// Polls every engine of this router's subsets once, without waiting for the next period.
    pub async fn read_reports_now(self) {
        self.read_reports().await;
    }

    async fn read_reports(&self) {
        let engines = self
            .endpoints
            .subset_entries()
            .into_iter()
            .filter(|entry| entry.is_engine);
        stream::iter(engines)
            .for_each_concurrent(MAX_CONCURRENT_REPORTS, |entry| async move {
                self.read_report(&entry).await;
            })
            .await;
    }

    async fn read_report(&self, entry: &endpoint_entry::EndpointEntry) {
        let before = self.endpoints.state(entry);
        match engine::report(&entry.declared.address).await {
            Ok(report) => {
                if report.leaving {
                    self.leaving
                        .mark_leaving(&entry.declared.name, report.incarnation);
                }
                entry.set_report(report);
                self.read_cache_events(entry).await;
            }
            Err(_unreachable) => entry.mark_suspect(),
        }
        let after = self.endpoints.state(entry);
        if before != after {
            self.record_state_change(entry, after);
        }
    }

    async fn read_cache_events(&self, entry: &endpoint_entry::EndpointEntry) {
        let after = entry.cache_sequence();
        // If the events cannot be read, placement uses load alone.
        if let Ok(events) = engine::cache_events(&entry.declared.address, after).await {
            entry.apply_cache_events(&events);
        }
    }

    fn record_state_change(
        &self,
        entry: &endpoint_entry::EndpointEntry,
        state: endpoint_entry::EndpointState,
    ) {
        let endpoint = entry.declared.name.clone();
        let state = format!("{state:?}").to_lowercase();
        log::info!("endpoint {endpoint} is {state}");
        self.ring.record(
            None,
            timeline::EventKind::EndpointChanged { endpoint, state },
        );
    }

    /// Polls the VM list while `is_reader` returns true, until `token` is cancelled.
    ///
    /// Leaving endpoints found by one router reach the others through gossip.
    pub async fn watch_vms(
        self,
        is_reader: impl Fn() -> bool + Send + Sync,
        token: stop_token::StopToken,
    ) {
        loop {
            if is_reader() {
                self.poll_vm_list().await;
            }
            if task::sleep(VM_LIST_PERIOD)
                .timeout_at(token.clone())
                .await
                .is_err()
            {
                return;
            }
        }
    }

    async fn poll_vm_list(&self) {
        let Ok(vms) = self.platform.vms().await else {
            return;
        };
        let routers = vms
            .iter()
            .filter(|vm| vm.role == ROUTER_ROLE && !vm.leaving);
        self.seeds
            .set_vm_addresses(routers.map(|vm| vm.address.clone()).collect());
        let listed: collections::HashMap<&str, &platform_wire::VmEntry> = vms
            .iter()
            .filter(|vm| vm.role == ENDPOINT_ROLE)
            .map(|vm| (vm.name.as_str(), vm))
            .collect();
        for entry in self.endpoints.all() {
            let listed = listed.get(entry.declared.name.as_str());
            let is_leaving = listed.is_some_and(|vm| vm.leaving);
            entry.set_vm_leaving(is_leaving);
            if is_leaving {
                self.leaving
                    .mark_leaving(&entry.declared.name, entry.incarnation());
            }
        }
    }
}
