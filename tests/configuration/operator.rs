//! Helpers that act as operators.

use std::sync;

use async_std::task;
use kumquatpulley::connection::platform;
use kumquatpulley::version::store;

use crate::common_platform;

/// Returns declarations of one service.
pub fn declared(name: &str) -> String {
    format!("services:\n  - name: {name}\n")
}

/// Returns the version store on a fake table service.
pub fn store_on(platform: &sync::Arc<common_platform::FakePlatform>) -> store::VersionStore {
    let platform = sync::Arc::clone(platform);
    store::VersionStore::new(platform as sync::Arc<dyn platform::PlatformService>)
}

/// Applies declarations of one service.
pub fn apply(
    store: &store::VersionStore,
    name: &str,
    base: Option<u64>,
) -> store::Result<store::ApplyOutcome> {
    task::block_on(store.apply(&declared(name), base))
}
