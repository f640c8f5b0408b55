//! Reads the endpoints' load reports and the platform's VM list.

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

/// Time between two load reports of one engine.
pub const REPORT_PERIOD: time::Duration = time::Duration::from_secs(1);

/// Time between two readings of the VM list.
pub const VM_LIST_PERIOD: time::Duration = time::Duration::from_secs(2);

/// Reports read at the same time.
const MAX_CONCURRENT_REPORTS: usize = 32;

const ENDPOINT_ROLE: &str = "endpoint";

const ROUTER_ROLE: &str = "router";

/// Watches the endpoints of one process.
#[derive(Clone, Debug)]
pub struct EndpointWatcher {
    /// The endpoints.
    pub endpoints: sync::Arc<endpoint_table::EndpointTable>,
    /// Where leaving endpoints are spread.
    pub leaving: sync::Arc<dyn view::LeavingView>,
    /// Where router VMs of the list are kept.
    pub seeds: sync::Arc<seed::SeedList>,
    /// The VM list.
    pub platform: sync::Arc<dyn platform::PlatformService>,
    /// Events of this process.
    pub ring: sync::Arc<timeline::EventRing>,
}

impl EndpointWatcher {
    /// Reads load reports until `token` is cancelled.
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

    /// Reads every engine's report once, as a task of its own.
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
        // Without events placement goes by load alone.
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

    /// Reads the VM list while `is_reader` holds, until `token` is cancelled.
    ///
    /// What one router reads reaches the others by gossip.
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
            .set_listed(routers.map(|vm| vm.address.clone()).collect());
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
