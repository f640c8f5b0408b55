//! Fetches newer versions of the configuration from peers, row by row.
//!
//! A router asks only for rows that it lacks, in answers of bounded size. What has arrived is kept when
//! an answer does not come, and holds for any later version and at any peer, so a slow link delays a
//! version but never starves it. A version is in force only once all its rows are there.

use std::sync;
use std::time;

use stop_token::future::FutureExt as _;

use crate::connection::{packed, peer_wire, store_view_wire};
use crate::process::gateway::{boot_clock, node, parted_rows};

/// Timeout of one answer. It holds a small part of a version at most.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Maximum size of the rows in one answer, before compression. All routers that poll the same one can
/// then be answered within a fraction of [`ANSWER_TIMEOUT`] on a link of a few Mbit/s.
const MAX_ROW_BYTES: usize = 16 * 1024;

/// Maximum number of parts in one query, which holds the digests of all rows in them.
const MAX_PARTS_PER_QUERY: usize = 8;

/// A peer that has a newer version of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionSource {
    /// Peer address, host and port.
    pub address: String,
    /// Number of its version in force.
    pub number: u64,
}

/// What came of one answer.
#[derive(Debug, PartialEq, Eq)]
enum PullStep {
    /// Rows are still missing.
    Incomplete,
    /// The version is in force, or the peer has no newer one.
    Done,
    /// No answer, for this reason; the rows received so far are kept.
    Interrupted(String),
    /// The answer or the rows received so far cannot be used, for this reason.
    Unusable(String),
}

/// Rows of a version that has not arrived completely.
#[derive(Debug)]
struct StagedRows {
    rows: parted_rows::PartedRows,
    /// Version that was in force when the transfer began.
    base: Option<u64>,
    /// Digests of the version at the peer; empty until it has answered.
    wanted: Vec<u64>,
    began_at: time::Instant,
    /// Bytes of rows received, as compressed.
    received: usize,
    answers: u32,
}

impl node::GatewayNode {
    /// Rows of the version in force for a peer that lacks some, unless it has no age yet.
    pub(super) fn config_rows_for_peer(
        &self,
        known: u64,
        parts: &[(u8, Vec<u64>)],
    ) -> Option<store_view_wire::ConfigRowsWire> {
        let now = boot_clock::BootInstant::now();
        let mut room = MAX_ROW_BYTES;
        let state = self.config_state.lock();
        let number = state.version.as_ref()?.number();
        let age = state.clock.age(now)?;
        let digests = state.rows.digests(std::iter::empty());
        let parts = parts.iter().take(MAX_PARTS_PER_QUERY);
        let deltas: Vec<store_view_wire::PartDeltaWire> = parts
            .filter_map(|(part, held)| state.rows.delta_within(*part, held, &mut room))
            .map(store_view_wire::PartDeltaWire::from)
            .collect();
        drop(state);
        let parts = packed::pack(&deltas);
        let parts = parts.inspect_err(|cause| {
            log::error!(version = number, cause = cause.as_str(); "cannot send rows of the configuration");
        });
        let parts = parts.ok()?;
        self.metrics.count("config.sent");
        let bytes = u64::try_from(parts.len()).unwrap_or(u64::MAX);
        self.metrics.count_by("config.sent_bytes", bytes);
        let is_known = parted_rows::combined_digest(&digests) == known;
        Some(store_view_wire::ConfigRowsWire {
            number,
            age_micros: peer_wire::micros(age),
            digests: if is_known {
                Vec::new()
            } else {
                digests.to_vec()
            },
            parts,
        })
    }

    fn stage_rows(&self) -> StagedRows {
        let state = self.config_state.lock();
        StagedRows {
            rows: state.rows.clone(),
            base: state.version.as_ref().map(|version| version.number()),
            wanted: Vec::new(),
            began_at: time::Instant::now(),
            received: 0,
            answers: 0,
        }
    }

    /// Fetches the version in force at a peer. Returns the rows received if an answer failed.
    async fn pull_version(&self, address: &str, mut staged: StagedRows) -> Option<StagedRows> {
        loop {
            let step = self.pull_rows(address, &mut staged).await;
            match step {
                PullStep::Incomplete => {}
                PullStep::Done => return None,
                PullStep::Interrupted(cause) => {
                    self.log_failure(address, &staged, &cause);
                    return Some(staged);
                }
                PullStep::Unusable(cause) => {
                    self.log_failure(address, &staged, &cause);
                    return None;
                }
            }
        }
    }

    fn log_failure(&self, address: &str, staged: &StagedRows, cause: &str) {
        self.metrics.count("config.pull_failed");
        log::warn!(
            peer = address,
            version = self.version_number().unwrap_or_default(),
            version_age_ms = node::whole_millis(self.version_age().unwrap_or_default()),
            answers = staged.answers,
            bytes = staged.received,
            elapsed_ms = node::whole_millis(staged.began_at.elapsed()),
            cause;
            "transfer of a version broken off"
        );
    }

    /// Sends one query for missing rows and applies the answer.
    async fn pull_rows(&self, address: &str, staged: &mut StagedRows) -> PullStep {
        let own = staged.rows.digests(std::iter::empty());
        let parts = if staged.wanted.is_empty() {
            Vec::new()
        } else {
            parted_rows::differing_parts(&own, &staged.wanted)
        };
        let parts = parts.iter().take(MAX_PARTS_PER_QUERY);
        let parts: Vec<_> = parts
            .map(|part| (*part, staged.rows.row_digests(*part)))
            .collect();
        let known = <&parted_rows::PartDigests>::try_from(staged.wanted.as_slice());
        let query = peer_wire::QueryBody::ConfigRows {
            known: known.map_or(0, parted_rows::combined_digest),
            parts,
        };
        let asked_at = boot_clock::BootInstant::now();
        let reply = self.link.ask(address, query, ANSWER_TIMEOUT).await;
        let wire = match reply {
            Ok(peer_wire::ReplyBody::ConfigRows(Some(wire))) => *wire,
            Ok(_other) => return PullStep::Interrupted("the peer sends no rows".to_owned()),
            Err(error) => return PullStep::Interrupted(error.to_string()),
        };
        if self.version_number() >= Some(wire.number) {
            return PullStep::Done;
        }
        let deltas: Vec<store_view_wire::PartDeltaWire> = match packed::unpack(&wire.parts) {
            Ok(deltas) => deltas,
            Err(cause) => return PullStep::Unusable(cause),
        };
        staged.answers += 1;
        staged.received += wire.parts.len();
        for delta in deltas {
            staged.rows.merge(parted_rows::PartDelta::from(delta));
        }
        let is_known = wire.digests.is_empty();
        if !is_known {
            staged.wanted.clone_from(&wire.digests);
        }
        let merged = staged.rows.digests(std::iter::empty());
        if merged[..] == staged.wanted[..] {
            return self.finish_pull(&wire, staged, asked_at);
        }
        if is_known && merged == own {
            return PullStep::Unusable("the answer brought no row".to_owned());
        }
        PullStep::Incomplete
    }

    /// Puts the version in force whose rows have all arrived.
    fn finish_pull(
        &self,
        wire: &store_view_wire::ConfigRowsWire,
        staged: &mut StagedRows,
        asked_at: boot_clock::BootInstant,
    ) -> PullStep {
        let rows = std::mem::take(&mut staged.rows);
        let Some(number) = self.apply_rows(rows, "peer") else {
            return PullStep::Unusable("the rows are no valid configuration".to_owned());
        };
        if self.version_number() == Some(number) {
            let age = time::Duration::from_micros(wire.age_micros);
            self.confirm_version(asked_at.before(age));
        }
        self.metrics.time("config.pull", staged.began_at.elapsed());
        log::info!(
            version = number,
            answers = staged.answers,
            bytes = staged.received,
            elapsed_ms = node::whole_millis(staged.began_at.elapsed());
            "rows of a version received"
        );
        PullStep::Done
    }
}

/// Fetches newer versions from the peers that `newer_versions` names, until `token` is cancelled.
pub async fn pull_versions(node: sync::Arc<node::GatewayNode>, token: stop_token::StopToken) {
    let pulling = async {
        let mut staged: Option<StagedRows> = None;
        // The node keeps a sender, so the channel is never closed.
        while let Ok(source) = node.newer_versions.1.recv().await {
            let in_force = node.version_number();
            if in_force >= Some(source.number) {
                continue;
            }
            let kept = staged.take().filter(|staged| staged.base == in_force);
            let rows = kept.unwrap_or_else(|| node.stage_rows());
            staged = node.pull_version(&source.address, rows).await;
        }
    };
    let _stopped = pulling.timeout_at(token).await;
}
