//! Peer addresses to try when no member answers: from the settings, then from the VM list.

use crate::process::members::gossip;

/// Peer addresses from both sources.
#[derive(Debug)]
pub struct SeedList {
    configured: parking_lot::Mutex<Vec<String>>,
    vm_addresses: parking_lot::Mutex<Vec<String>>,
}

impl SeedList {
    /// A list that holds the addresses of the settings.
    #[must_use]
    pub fn new(configured: Vec<String>) -> Self {
        Self {
            configured: parking_lot::Mutex::new(configured),
            vm_addresses: parking_lot::Mutex::default(),
        }
    }

    /// Takes over the addresses of changed settings.
    pub fn set_configured(&self, addresses: Vec<String>) {
        *self.configured.lock() = addresses;
    }

    /// Takes in the peer addresses of the VM list.
    pub fn set_vm_addresses(&self, addresses: Vec<String>) {
        *self.vm_addresses.lock() = addresses;
    }
}

impl gossip::SeedSource for SeedList {
    fn addresses(&self) -> Vec<String> {
        let vm_addresses = self.vm_addresses.lock().clone();
        let configured = self.configured.lock().clone();
        configured.into_iter().chain(vm_addresses).collect()
    }
}
