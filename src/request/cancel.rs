//! Cancels engine attempts that have no reader left.

use std::time;

use async_std::task;

use crate::connection::engine;
use crate::request::cursor;

const CANCEL_TRIES: u32 = 4;
const CANCEL_RETRY_DELAY: time::Duration = time::Duration::from_secs(3);

/// Cancels an attempt on its engine, and retries while the engine does not confirm.
pub(super) async fn cancel_attempt(address: String, attempt: cursor::AttemptId) {
    for _try in 0..CANCEL_TRIES {
        if engine::cancel(&address, attempt).await.is_ok() {
            return;
        }
        task::sleep(CANCEL_RETRY_DELAY).await;
    }
}
