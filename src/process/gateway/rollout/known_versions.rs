//! Software versions that the endpoints of each service have had.
//!
//! An endpoint of a further version may belong to a roll-out whose order this router has not read yet.
//! It is held back until the orders have been read after the version was learned of.

use std::collections;

use crate::process::gateway::{boot_clock, endpoint_registry};

/// Maximum number of services that are remembered; those without endpoints are forgotten beyond it.
const MAX_SERVICES: usize = 1_024;

/// Maximum number of versions that are remembered of a service beyond those of its endpoints. A version
/// that is forgotten is held back once more, for less than a second.
const MAX_PAST_VERSIONS: usize = 16;

#[derive(Clone, Debug)]
struct KnownVersion {
    version: String,
    /// When it was learned of; `None` for the first one of its service.
    learned_at: Option<boot_clock::BootInstant>,
    is_present: bool,
}

/// Versions by service, those of each in the order in which they were learned of.
#[derive(Debug, Default)]
pub struct KnownVersions {
    services: collections::HashMap<String, Vec<KnownVersion>>,
}

impl KnownVersions {
    /// Takes the endpoints that there are at `now`.
    ///
    /// Of a service that had no endpoint before, the version whose first endpoint started first is
    /// taken to be the old one. Otherwise a router that starts without the store, and so without the
    /// orders, could not serve at all.
    pub fn learn<'a>(
        &mut self,
        records: impl Iterator<Item = &'a endpoint_registry::EndpointRecord>,
        now: boot_clock::BootInstant,
    ) {
        let mut present: collections::HashMap<&str, collections::HashMap<&str, u64>> =
            collections::HashMap::new();
        for record in records {
            let versions = present.entry(&record.service).or_default();
            let first = versions
                .entry(&record.version)
                .or_insert(record.incarnation);
            *first = record.incarnation.min(*first);
        }
        if self.services.len() > MAX_SERVICES {
            self.services
                .retain(|service, _versions| present.contains_key(service.as_str()));
        }
        for (service, versions) in present {
            self.learn_service(service, &versions, now);
        }
    }

    fn learn_service(
        &mut self,
        service: &str,
        present: &collections::HashMap<&str, u64>,
        now: boot_clock::BootInstant,
    ) {
        let known = self.services.entry(service.to_owned()).or_default();
        let is_new_service = known.is_empty();
        for version in known.iter_mut() {
            version.is_present = present.contains_key(version.version.as_str());
        }
        let mut added: Vec<(&str, u64)> = present
            .iter()
            .map(|(version, first)| (*version, *first))
            .filter(|(version, _first)| !known.iter().any(|known| known.version == *version))
            .collect();
        added.sort_unstable_by_key(|(version, first)| (*first, *version));
        for (index, (version, _first)) in added.into_iter().enumerate() {
            let is_first = is_new_service && index == 0;
            if !is_first {
                log::info!(service, version; "version is new; used once the orders were read");
            }
            known.push(KnownVersion {
                version: version.to_owned(),
                learned_at: (!is_first).then_some(now),
                is_present: true,
            });
        }
        let mut surplus = known.iter().filter(|version| !version.is_present).count();
        surplus = surplus.saturating_sub(MAX_PAST_VERSIONS);
        known.retain(|version| {
            let is_dropped = !version.is_present && surplus > 0;
            surplus -= usize::from(is_dropped);
            !is_dropped
        });
    }

    /// When the version of a service was learned of; `None` for the first one of its service.
    #[must_use]
    pub fn learned_at(&self, service: &str, version: &str) -> Option<boot_clock::BootInstant> {
        let versions = self.services.get(service)?;
        let known = versions.iter().find(|known| known.version == version)?;
        known.learned_at
    }
}
