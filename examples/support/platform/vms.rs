//! VM list that lags behind the truth.

use std::collections;
use std::time;

use kumquatpulley::connection::platform_wire;

/// Lists as they were put, oldest first.
#[derive(Debug, Default)]
pub struct VmHistory {
    lists: collections::VecDeque<(time::Instant, Vec<platform_wire::VmEntry>)>,
}

impl VmHistory {
    /// Sets the true list.
    pub fn put(&mut self, list: Vec<platform_wire::VmEntry>, now: time::Instant) {
        self.lists.push_back((now, list));
    }

    /// The list as it was one `lag` ago; the first one is visible at once.
    pub fn visible(
        &mut self,
        now: time::Instant,
        lag: time::Duration,
    ) -> Vec<platform_wire::VmEntry> {
        let is_due = |made: time::Instant| now.saturating_duration_since(made) >= lag;
        let newest = self.lists.iter().rposition(|(made, _)| is_due(*made));
        self.lists.drain(..newest.unwrap_or(0));
        let first = self.lists.front();
        first.map(|(_made, list)| list.clone()).unwrap_or_default()
    }
}
