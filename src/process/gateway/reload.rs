//! Takes in settings that changed while the process runs.

use std::fmt;
use std::sync;
use std::time;

use async_std::channel;
use async_std::future;
use stop_token::future::FutureExt as _;

use crate::process::gateway::{node, settings};

/// Outcome of reading settings: the faults, one a line.
pub type Result<T> = std::result::Result<T, Vec<String>>;

/// Time between two looks at the file, which may change without a signal.
const CHECK_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// Reads the settings again.
pub trait SettingsSource: fmt::Debug + Send + Sync {
    /// The settings as they are now.
    ///
    /// # Errors
    /// All faults at once, each with what to do about it.
    fn read(&self) -> Result<settings::GatewaySettings>;
}

/// Reads the settings after each signal and now and then, until `token` is cancelled.
///
/// Only peer addresses are taken over; all else holds from the next start. Faulty settings are
/// reported and change nothing.
pub async fn watch_settings(
    node: sync::Arc<node::GatewayNode>,
    source: sync::Arc<dyn SettingsSource>,
    signal: channel::Receiver<()>,
    token: stop_token::StopToken,
) {
    let watching = async {
        let mut current = node.settings.clone();
        loop {
            let is_signalled = future::timeout(CHECK_INTERVAL, signal.recv()).await.is_ok();
            match source.read() {
                Ok(settings) if settings == current && !is_signalled => {}
                Ok(settings) => {
                    let needs_restart = settings::GatewaySettings {
                        seeds: current.seeds.clone(),
                        is_first_start: current.is_first_start,
                        ..settings.clone()
                    } != current;
                    log::info!(by_signal = is_signalled, needs_restart; "settings reloaded");
                    node.seeds.set_settings(settings.seeds.clone());
                    current = settings;
                }
                Err(faults) => {
                    let faults = faults.join("; ");
                    log::error!(faults = faults.as_str(); "settings not taken, the old ones hold");
                }
            }
        }
    };
    // Ends with the process only.
    let _stopped = watching.timeout_at(token).await;
}
