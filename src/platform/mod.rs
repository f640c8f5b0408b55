//! Adapters for the platform: convert its names, formats and calls to this crate's types.
//!
//! They make no routing decisions, and no other module depends on the platform's names.

pub mod block_wire;
pub mod config_rows;
pub mod config_wire;
pub mod entry_wire;
pub mod info_dialect;
pub mod report_wire;
pub mod request_header;
pub mod rollout_wire;
pub mod settings_wire;
pub mod store_client;
pub mod store_wire;

use std::sync;

use crate::process::gateway::{settings, start};

/// Creates the adapters that connect a gateway to the platform.
#[must_use]
pub fn adapters(settings: &settings::GatewaySettings) -> start::PlatformAdapters {
    let store = store_client::StoreClient::new(settings.store.to_string());
    start::PlatformAdapters {
        requests: sync::Arc::new(request_header::HeaderDialect),
        info: sync::Arc::new(info_dialect::HttpInfoDialect),
        store: sync::Arc::new(store),
        codec: sync::Arc::new(store_wire::StoreCodec),
        settings: sync::Arc::new(settings_wire::SettingsFile),
    }
}
