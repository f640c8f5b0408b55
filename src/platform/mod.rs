//! The users' platform: its names, formats and calls, turned into the project's own types.
//!
//! Nothing here decides, and nothing outside knows these names.

pub mod config_wire;
pub mod entry_wire;
pub mod info_dialect;
pub mod report_wire;
pub mod request_header;
pub mod settings_wire;
pub mod store_client;
pub mod store_wire;

use std::sync;

use crate::process::gateway::{settings, start};

/// The platform's side of a gateway.
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
