//! Peer addresses to try when no member answers: from the settings, then from the VM list.

use crate::process::gossip;

/// Peer addresses from both sources.
#[derive(Debug)]
pub struct SeedList {
    settings: Vec<String>,
    listed: parking_lot::Mutex<Vec<String>>,
}

impl SeedList {
    /// A list that holds the addresses of the settings.
    #[must_use]
    pub fn new(settings: Vec<String>) -> Self {
        Self {
            settings,
            listed: parking_lot::Mutex::default(),
        }
    }

    /// Takes in the peer addresses of the VM list.
    pub fn set_listed(&self, addresses: Vec<String>) {
        *self.listed.lock() = addresses;
    }
}

impl gossip::SeedSource for SeedList {
    fn addresses(&self) -> Vec<String> {
        let listed = self.listed.lock().clone();
        self.settings.iter().cloned().chain(listed).collect()
    }
}
