//! Chooses whom to tell of a crash, and converts crashes and blocks to and from the messages between
//! routers.

use std::collections;
use std::time;

use crate::connection::{peer_wire, prompt_wire};
use crate::process::gateway::{block_list, boot_clock, crash_ledger};
use crate::process::members::member_ring;
use crate::request::relay::prompt_part;

/// Routers that are told of all crashes of a part, so that one of them is there when others fail.
const COLLECTORS_PER_PART: usize = 3;

impl From<block_list::BlockedPrompt> for prompt_wire::BlockedPromptWire {
    fn from(entry: block_list::BlockedPrompt) -> Self {
        Self {
            parts: entry.parts.into_iter().map(|part| part.0).collect(),
            until_ms: entry.until_ms,
            count: entry.count,
        }
    }
}

impl From<prompt_wire::BlockedPromptWire> for block_list::BlockedPrompt {
    fn from(wire: prompt_wire::BlockedPromptWire) -> Self {
        let parts = wire.parts.into_iter().map(prompt_part::PromptPart);
        Self {
            parts: parts.collect(),
            until_ms: wire.until_ms,
            count: wire.count,
        }
    }
}

/// Splits `peers` into the collectors of `parts` and the others. Collectors are chosen by rendezvous
/// hashing, so they are the same at all routers with the same members.
pub(super) fn split_collectors(
    peers: Vec<String>,
    parts: &[prompt_part::PromptPart],
) -> (Vec<String>, Vec<String>) {
    let mut chosen = collections::HashSet::new();
    for part in parts {
        let mut order: Vec<(u64, &String)> = peers
            .iter()
            .map(|peer| (member_ring::owner_score(peer, part.0), peer))
            .collect();
        order.sort_unstable();
        let first = order.into_iter().take(COLLECTORS_PER_PART);
        chosen.extend(first.map(|(_weight, peer)| peer.clone()));
    }
    peers.into_iter().partition(|peer| chosen.contains(peer))
}

/// Encodes a crash for a message that is sent at `now`.
pub(super) fn sent_crash(
    crash: &crash_ledger::CrashRecord,
    now: boot_clock::BootInstant,
) -> prompt_wire::PromptCrashWire {
    prompt_wire::PromptCrashWire {
        request: crash.request,
        endpoint: crash.endpoint,
        parts: crash.parts.iter().map(|part| part.0).collect(),
        age_micros: peer_wire::micros(now.since(crash.crashed_at)),
        running_micros: peer_wire::micros(crash.crashed_at.since(crash.sent_at)),
    }
}

/// Encodes evidence for a message that is sent at `now`.
pub(super) fn sent_evidence(
    evidence: &crash_ledger::CrashEvidence,
    now: boot_clock::BootInstant,
) -> prompt_wire::PromptEvidenceWire {
    let crashes = evidence.crashes.iter();
    let successes = evidence.successes.iter();
    prompt_wire::PromptEvidenceWire {
        crashes: crashes.map(|crash| sent_crash(crash, now)).collect(),
        successes: successes
            .map(|success| (success.part.0, peer_wire::micros(now.since(success.at))))
            .collect(),
    }
}

/// Decodes evidence whose ages were right at `now`.
pub(super) fn received_evidence(
    wire: &prompt_wire::PromptEvidenceWire,
    now: boot_clock::BootInstant,
) -> crash_ledger::CrashEvidence {
    let crashes = wire.crashes.iter();
    let successes = wire.successes.iter();
    crash_ledger::CrashEvidence {
        crashes: crashes.map(|crash| received_crash(crash, now)).collect(),
        successes: successes
            .map(|(part, age_micros)| crash_ledger::PartSuccess {
                part: prompt_part::PromptPart(*part),
                at: now.before(time::Duration::from_micros(*age_micros)),
            })
            .collect(),
    }
}

/// Decodes a crash whose age was right at `now`.
pub(super) fn received_crash(
    wire: &prompt_wire::PromptCrashWire,
    now: boot_clock::BootInstant,
) -> crash_ledger::CrashRecord {
    let crashed_at = now.before(time::Duration::from_micros(wire.age_micros));
    crash_ledger::CrashRecord {
        request: wire.request,
        endpoint: wire.endpoint,
        parts: wire
            .parts
            .iter()
            .copied()
            .map(prompt_part::PromptPart)
            .collect(),
        sent_at: crashed_at.before(time::Duration::from_micros(wire.running_micros)),
        crashed_at,
    }
}
