//! Seed addresses to contact when no member answers: the configured ones, then the VM list.

use crate::process::members::gossip;

/// Seed addresses from the settings and from the VM list.
#[derive(Debug)]
pub struct SeedList {
    configured: parking_lot::Mutex<Vec<String>>,
    vm_addresses: parking_lot::Mutex<Vec<String>>,
}

impl SeedList {
    /// Creates a list with the addresses from the settings and no VM addresses.
    #[must_use]
    pub fn new(configured: Vec<String>) -> Self {
        Self {
            configured: parking_lot::Mutex::new(configured),
            vm_addresses: parking_lot::Mutex::default(),
        }
    }

    /// Replaces the addresses from the settings, after a settings reload.
    pub fn set_configured(&self, addresses: Vec<String>) {
        *self.configured.lock() = addresses;
    }

    /// Replaces the peer addresses from the VM list.
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
