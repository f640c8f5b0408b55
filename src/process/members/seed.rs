//! Peer addresses to try when no member answers: from the settings, then from the VM list.

use crate::process::members::gossip;

/// Peer addresses from both sources.
#[derive(Debug)]
pub struct SeedList {
    settings: parking_lot::Mutex<Vec<String>>,
    listed: parking_lot::Mutex<Vec<String>>,
}

impl SeedList {
    /// A list that holds the addresses of the settings.
    #[must_use]
    pub fn new(settings: Vec<String>) -> Self {
        Self {
            settings: parking_lot::Mutex::new(settings),
            listed: parking_lot::Mutex::default(),
        }
    }

    /// Takes over the addresses of changed settings.
    pub fn set_configured(&self, addresses: Vec<String>) {
        *self.settings.lock() = addresses;
    }

    /// Takes in the peer addresses of the VM list.
    pub fn set_vm_addresses(&self, addresses: Vec<String>) {
        *self.listed.lock() = addresses;
    }
}

impl gossip::SeedSource for SeedList {
    fn addresses(&self) -> Vec<String> {
        let listed = self.listed.lock().clone();
        let settings = self.settings.lock().clone();
        settings.into_iter().chain(listed).collect()
    }
}
