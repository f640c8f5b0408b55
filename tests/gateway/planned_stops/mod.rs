//! Requests around the SIGTERM of real gateway processes, judged by the rule LOST.

mod admission;
mod brief_grace;
mod changed_grace;
mod last_moments;
mod late_requests;
mod series;
mod unanswered;
mod unread_bytes;

use std::time;

/// Grace period of the users' sites.
const LONG_GRACE: time::Duration = time::Duration::from_secs(8);

const fn millis(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}
