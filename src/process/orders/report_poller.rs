//! Polls the load reports of engines that this router sends orders but no requests to.
//!
//! Every second, a router polls the engines in its own subset (see `endpoints::watch`). The holder
//! of a service's lease also sends orders to the other engines, and polls those in groups, more
//! slowly.

use std::sync;
use std::time;

use async_std::task;
use futures::StreamExt as _;
use futures::stream;
use stop_token::future::FutureExt as _;

use crate::connection::engine;
use crate::process::endpoints::endpoint_entry;
use crate::process::endpoints::endpoint_table;
use crate::process::orders::issuer;

/// Interval between groups.
pub const GROUP_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// Maximum number of reports in one group; polling 372 engines takes 30 s.
pub const GROUP_SIZE: usize = 64;

/// Maximum number of reports requested concurrently.
const MAX_CONCURRENT_REPORTS: usize = 8;

/// Polls the engines outside the router's subset in groups, ordered by name.
#[derive(Debug)]
pub struct EngineReportPoller {
    endpoints: sync::Arc<endpoint_table::EndpointTable>,
    issuer: sync::Arc<issuer::OrderIssuer>,
    /// Name of the last endpoint polled; the next group starts after it.
    last_read: String,
}

impl EngineReportPoller {
    /// Creates a poller that starts with the first engine by name.
    #[must_use]
    pub fn new(
        endpoints: sync::Arc<endpoint_table::EndpointTable>,
        issuer: sync::Arc<issuer::OrderIssuer>,
    ) -> Self {
        Self {
            endpoints,
            issuer,
            last_read: String::new(),
        }
    }

    /// Polls one group every [`GROUP_INTERVAL`] until `token` is cancelled.
    pub async fn run(mut self, token: stop_token::StopToken) {
        while task::sleep(GROUP_INTERVAL)
            .timeout_at(token.clone())
            .await
            .is_ok()
        {
            self.read_group().await;
        }
    }

    /// Polls the next [`GROUP_SIZE`] engines at most.
    pub async fn read_group(&mut self) {
        let group = self.next_group();
        if let Some(entry) = group.last() {
            self.last_read.clone_from(&entry.declared.name);
        }
        stream::iter(group)
            .for_each_concurrent(MAX_CONCURRENT_REPORTS, |entry| async move {
                read_report(&entry).await;
            })
            .await;
    }

    fn next_group(&self) -> Vec<sync::Arc<endpoint_entry::EndpointEntry>> {
        let subset = self.endpoints.subset_entries();
        let is_in_subset = |entry: &sync::Arc<endpoint_entry::EndpointEntry>| {
            subset.iter().any(|other| sync::Arc::ptr_eq(other, entry))
        };
        let mut entries = self.endpoints.all();
        entries.retain(|entry| {
            entry.is_engine && !is_in_subset(entry) && self.issuer.fence(&entry.service).is_some()
        });
        entries.sort_by(|left, right| left.declared.name.cmp(&right.declared.name));
        let next = entries.partition_point(|entry| entry.declared.name <= self.last_read);
        entries.rotate_left(next);
        entries.truncate(GROUP_SIZE);
        entries
    }
}

async fn read_report(entry: &endpoint_entry::EndpointEntry) {
    match engine::report(&entry.declared.address).await {
        Ok(report) => entry.set_report(report),
        Err(_unreachable) => entry.mark_suspect(),
    }
}
