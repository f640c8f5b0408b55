//! Cancels attempts that nobody reads any more.

use std::time;

use async_std::task;

use crate::connection::engine;
use crate::request::cursor;

const CANCEL_TRIES: u32 = 4;
const CANCEL_PAUSE: time::Duration = time::Duration::from_secs(3);

/// Cancels an attempt, also when its engine answers only after a while.
pub(super) async fn cancel_attempt(address: String, attempt: cursor::AttemptId) {
    for _try in 0..CANCEL_TRIES {
        if engine::cancel(&address, attempt).await.is_ok() {
            return;
        }
        task::sleep(CANCEL_PAUSE).await;
    }
}
