//! Which peers have stopped answering polls, so that only a change is logged.

use std::collections;

use crate::connection::peer;
use crate::process::gateway::{boot_clock, node};

/// Consecutive failed polls by peer address. Peers that answer have no entry.
#[derive(Debug, Default)]
pub struct PollFailures {
    by_address: collections::HashMap<String, u32>,
}

impl PollFailures {
    /// Records a failed poll; returns whether the poll before it had been answered.
    pub fn record_failure(&mut self, address: &str) -> bool {
        if let Some(failures) = self.by_address.get_mut(address) {
            *failures = failures.saturating_add(1);
            return false;
        }
        self.by_address.insert(address.to_owned(), 1);
        true
    }

    /// Records an answer; returns the number of failed polls just before it, if there were any.
    pub fn record_answer(&mut self, address: &str) -> Option<u32> {
        self.by_address.remove(address)
    }
}

impl node::GatewayNode {
    /// Counts a poll, and logs when a peer stops answering or answers again.
    pub(super) fn record_poll(
        &self,
        address: &str,
        asked_at: boot_clock::BootInstant,
        error: Option<&peer::PeerError>,
    ) {
        let elapsed = boot_clock::BootInstant::now().since(asked_at);
        self.metrics.time("peer.poll", elapsed);
        let Some(error) = error else {
            let failures = self.poll_failures.lock().record_answer(address);
            if let Some(failures) = failures {
                log::info!(peer = address, failures; "peer answers again");
            }
            return;
        };
        self.metrics.count("peer.poll_failed");
        if self.poll_failures.lock().record_failure(address) {
            log::warn!(
                peer = address,
                elapsed_ms = node::whole_millis(elapsed),
                version = self.version_number().unwrap_or_default(),
                version_age_ms = node::whole_millis(self.version_age().unwrap_or_default()),
                cause = error.to_string().as_str();
                "peer does not answer"
            );
        }
    }
}
