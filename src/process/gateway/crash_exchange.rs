//! Chooses whom to tell of a crash, and converts crashes and blocks to and from the messages between
//! routers.

use std::collections;
use std::time;

use crate::connection::{crash_wire, peer_wire};
use crate::process::gateway::{
    block_list, boot_clock, crash_ledger, crash_record, feature_success,
};
use crate::process::members::member_ring;
use crate::request::relay::request_feature;

/// Groups of features with the same collectors. At most 48 routers are told of each crash, however many
/// parts its prompt has.
const FEATURE_GROUPS: u64 = 16;

/// Routers that are told of all crashes of a feature, so that one of them is there when others fail.
const COLLECTORS_PER_FEATURE: usize = 3;

impl From<block_list::BlockedRequest> for crash_wire::BlockedRequestWire {
    fn from(entry: block_list::BlockedRequest) -> Self {
        Self {
            features: entry
                .features
                .into_iter()
                .map(|feature| feature.0)
                .collect(),
            until_ms: entry.until_ms,
            count: entry.count,
        }
    }
}

impl From<crash_wire::BlockedRequestWire> for block_list::BlockedRequest {
    fn from(wire: crash_wire::BlockedRequestWire) -> Self {
        let features = wire
            .features
            .into_iter()
            .map(request_feature::RequestFeature);
        Self {
            features: features.collect(),
            until_ms: wire.until_ms,
            count: wire.count,
        }
    }
}

/// The collectors of `features` among `peers`. They are chosen by rendezvous hashing, so they are the
/// same at all routers with the same members.
pub(super) fn collectors(
    peers: &[String],
    features: &[request_feature::RequestFeature],
) -> Vec<String> {
    let mut chosen = collections::BTreeSet::new();
    let groups = features.iter().map(|feature| feature.0 % FEATURE_GROUPS);
    for group in groups.collect::<collections::BTreeSet<u64>>() {
        let mut order: Vec<(u64, &String)> = peers
            .iter()
            .map(|peer| (member_ring::owner_score(peer, group), peer))
            .collect();
        order.sort_unstable();
        let first = order.into_iter().take(COLLECTORS_PER_FEATURE);
        chosen.extend(first.map(|(_weight, peer)| peer.clone()));
    }
    chosen.into_iter().collect()
}

/// Encodes a crash for a message that is sent at `now`.
pub(super) fn sent_crash(
    crash: &crash_record::CrashRecord,
    now: boot_clock::BootInstant,
) -> crash_wire::RequestCrashWire {
    crash_wire::RequestCrashWire {
        request: crash.request,
        endpoint: crash.endpoint,
        features: crash.features.iter().map(|feature| feature.0).collect(),
        age_micros: peer_wire::micros(now.since(crash.crashed_at)),
        running_micros: peer_wire::micros(crash.crashed_at.since(crash.sent_at)),
    }
}

/// Encodes evidence for a message that is sent at `now`.
pub(super) fn sent_evidence(
    evidence: &crash_ledger::CrashEvidence,
    now: boot_clock::BootInstant,
) -> crash_wire::CrashEvidenceWire {
    let crashes = evidence.crashes.iter();
    let successes = evidence.successes.iter();
    crash_wire::CrashEvidenceWire {
        crashes: crashes.map(|crash| sent_crash(crash, now)).collect(),
        successes: successes
            .map(|success| (success.feature.0, peer_wire::micros(now.since(success.at))))
            .collect(),
    }
}

/// Decodes evidence whose ages were right at `now`.
pub(super) fn received_evidence(
    wire: &crash_wire::CrashEvidenceWire,
    now: boot_clock::BootInstant,
) -> crash_ledger::CrashEvidence {
    let crashes = wire.crashes.iter();
    let successes = wire.successes.iter();
    crash_ledger::CrashEvidence {
        crashes: crashes.map(|crash| received_crash(crash, now)).collect(),
        successes: successes
            .map(|(feature, age_micros)| feature_success::FeatureSuccess {
                feature: request_feature::RequestFeature(*feature),
                at: now.before(time::Duration::from_micros(*age_micros)),
            })
            .collect(),
    }
}

/// Decodes a crash whose age was right at `now`.
pub(super) fn received_crash(
    wire: &crash_wire::RequestCrashWire,
    now: boot_clock::BootInstant,
) -> crash_record::CrashRecord {
    let crashed_at = now.before(time::Duration::from_micros(wire.age_micros));
    crash_record::CrashRecord {
        request: wire.request,
        endpoint: wire.endpoint,
        features: wire
            .features
            .iter()
            .copied()
            .map(request_feature::RequestFeature)
            .collect(),
        sent_at: crashed_at.before(time::Duration::from_micros(wire.running_micros)),
        crashed_at,
    }
}
