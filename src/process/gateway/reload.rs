//! Reloads settings while the process runs.

use std::fmt;
use std::sync;
use std::time;

use async_std::channel;
use async_std::future;
use stop_token::future::FutureExt as _;

use crate::process::gateway::{node, settings};

/// Result of reading settings; the error holds one message for each invalid setting.
pub type Result<T> = std::result::Result<T, Vec<String>>;

/// Interval at which the settings are read again, since the file may change without a signal.
const CHECK_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// Where the settings are read from.
pub trait SettingsSource: fmt::Debug + Send + Sync {
    /// Reads the current settings.
    ///
    /// # Errors
    /// All errors at once, each with a hint on how to fix it.
    fn read(&self) -> Result<settings::GatewaySettings>;
}

/// Reads the settings after each signal and periodically, until `token` is cancelled.
///
/// Only changed peer addresses and the grace period take effect at once; all other changes need a
/// restart. Invalid
/// settings are logged and change nothing.
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
                        bounds: settings::GatewayBounds {
                            stop_grace: current.bounds.stop_grace,
                            ..settings.bounds
                        },
                        ..settings.clone()
                    } != current;
                    log::info!(by_signal = is_signalled, needs_restart; "settings reloaded");
                    node.seeds.set_configured(settings.seeds.clone());
                    *node.stop_grace.lock() = settings.bounds.stop_grace;
                    current = settings;
                }
                Err(faults) => {
                    let faults = faults.join("; ");
                    log::error!(faults = faults.as_str(); "settings rejected; nothing changed");
                }
            }
        }
    };
    // The watch runs until the process stops.
    let _stopped = watching.timeout_at(token).await;
}
