//! Exchange of configuration and endpoint rows between gateways, for those that do not read the
//! store or get no answer from it.

use std::collections;
use std::sync;
use std::time;

use async_std::task;
use futures::FutureExt as _;
use futures::future;
use stop_token::future::FutureExt as _;

use crate::connection::{peer, peer_wire, rollout_wire, store_view_wire};
use crate::process::gateway::{
    boot_clock, config_pull, endpoint_registry, node, parted_rows, readers,
};

/// Timeout of one query to a peer.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Number above which a peer adds the row of its version to the reply. The rows of a newer version
/// are fetched by `config_pull`, so that their size does not delay the rest.
const NO_ROW: u64 = u64::MAX;

/// Maximum number of parts of the endpoint rows in one query. An answer then holds at most an
/// eighth of all rows, so that many routers that lack all rows and query the same peer at once do
/// not exhaust the memory of a small VM.
const MAX_PARTS_PER_QUERY: usize = 8;

/// Age from which a peer's endpoint list is too stale to be applied: it no longer shows that an
/// endpoint missing from it is gone.
const MAX_LIST_AGE: time::Duration = time::Duration::from_millis(2_500);

/// A peer's answers for the parts in which its rows differ.
#[derive(Debug, Default)]
struct PeerDeltas {
    parts: Vec<parted_rows::PartDelta>,
    /// Names of the entries of these parts that are lapsed at the peer.
    lapsed: collections::HashSet<String>,
}

/// What a peer said of its endpoint rows when it was first queried.
#[derive(Clone, Copy, Debug)]
struct PeerView<'a> {
    /// Digests of their parts.
    digests: &'a [u64],
    /// Era of the store that they are of.
    era: u64,
    /// When the query was sent.
    asked_at: boot_clock::BootInstant,
    /// When they were last known to be complete.
    confirmed_at: boot_clock::BootInstant,
}

impl From<parted_rows::PartDelta> for store_view_wire::PartDeltaWire {
    fn from(delta: parted_rows::PartDelta) -> Self {
        Self {
            part: delta.part,
            rows: delta.rows,
            gone: delta.removed,
            digest: delta.digest,
        }
    }
}

impl From<store_view_wire::PartDeltaWire> for parted_rows::PartDelta {
    fn from(wire: store_view_wire::PartDeltaWire) -> Self {
        Self {
            part: wire.part,
            rows: wire.rows,
            removed: wire.gone,
            digest: wire.digest,
        }
    }
}

impl peer::PeerHandler for node::GatewayNode {
    fn handle(&self, query: peer_wire::QueryBody) -> future::BoxFuture<'_, peer_wire::ReplyBody> {
        async move {
            if let Some(reply) = self.gossip.handle_query(&query).await {
                return reply;
            }
            match query {
                peer_wire::QueryBody::StoreView {
                    above,
                    digest,
                    blocked,
                } => {
                    let state = self.state_for_peer(above, digest, blocked);
                    peer_wire::ReplyBody::StoreView(state.map(Box::new))
                }
                peer_wire::QueryBody::EndpointRows { parts } => {
                    peer_wire::ReplyBody::EndpointRows(self.endpoint_deltas(&parts))
                }
                peer_wire::QueryBody::SendPermit(query) => {
                    peer_wire::ReplyBody::SendPermit(self.permits.answer_ask(query))
                }
                peer_wire::QueryBody::EndpointLimit(query) => {
                    peer_wire::ReplyBody::EndpointLimit(self.permits.answer_announcement(query))
                }
                peer_wire::QueryBody::RequestCrash(crash) => {
                    peer_wire::ReplyBody::CrashEvidence(self.guard.answer_crash(&crash))
                }
                peer_wire::QueryBody::BlockedRequests(blocked) => {
                    self.guard.merge_blocks(blocked, "peer");
                    peer_wire::ReplyBody::BlockedRequests
                }
                peer_wire::QueryBody::RetryTokens(query) => {
                    peer_wire::ReplyBody::RetryTokens(self.tokens.answer_ask(&query))
                }
                peer_wire::QueryBody::Rollout(query) => {
                    let rollouts = self.rollouts.as_ref();
                    let reply = rollouts
                        .map_or(rollout_wire::RolloutReplyWire::NotFollowed, |rollouts| {
                            rollouts.answer(*query)
                        });
                    peer_wire::ReplyBody::Rollout(Box::new(reply))
                }
                peer_wire::QueryBody::ConfigRows { known, parts } => {
                    let rows = self.config_rows_for_peer(known, &parts);
                    peer_wire::ReplyBody::ConfigRows(rows.map(Box::new))
                }
                _ => peer_wire::ReplyBody::Refused("the query is not known here".to_owned()),
            }
        }
        .boxed()
    }
}

impl node::GatewayNode {
    /// This router's cached state for a peer; `None` while it has no configuration or no
    /// endpoints. The configuration row is included if newer than `above`, the part digests if
    /// they differ from `digest`, and the blocked requests if they differ from `blocked`.
    fn state_for_peer(
        &self,
        above: u64,
        digest: u64,
        blocked: u64,
    ) -> Option<store_view_wire::StoreViewWire> {
        let now = boot_clock::BootInstant::now();
        let config_state = self.config_state.lock();
        let number = config_state.version.as_ref()?.number();
        let age = config_state.clock.age(now)?;
        let row = (number > above).then(|| self.codec.join_config(&config_state.rows));
        drop(config_state);
        let endpoint_age = self.endpoint_clock.lock().age(now)?;
        let own = self.endpoint_digests();
        let is_same = parted_rows::combined_digest(&own) == digest;
        Some(store_view_wire::StoreViewWire {
            number,
            age_micros: peer_wire::micros(age),
            row,
            answer_age_micros: self.store_answer_age().map(peer_wire::micros),
            endpoint_age_micros: peer_wire::micros(endpoint_age),
            endpoint_era: self.endpoint_era.lock().unwrap_or_default(),
            digests: if is_same { Vec::new() } else { own.to_vec() },
            blocked: if self.guard.digest() == blocked {
                Vec::new()
            } else {
                self.guard.blocks_for_peer()
            },
        })
    }

    /// Deltas of some parts for a peer that sent the digests of its rows in each.
    fn endpoint_deltas(&self, parts: &[(u8, Vec<u64>)]) -> store_view_wire::EndpointDeltaWire {
        let parts = &parts[..parts.len().min(MAX_PARTS_PER_QUERY)];
        let rows = self.endpoint_rows.lock();
        let deltas = parts
            .iter()
            .filter_map(|(part, held)| rows.delta(*part, held));
        let deltas = deltas.map(store_view_wire::PartDeltaWire::from).collect();
        let registry = self.registry.lock();
        let is_queried = |key: &&str| parts.iter().any(|(part, _held)| is_in_part(*part, key));
        let lapsed = registry.lapsed().filter(is_queried);
        store_view_wire::EndpointDeltaWire {
            parts: deltas,
            lapsed: lapsed.map(str::to_owned).collect(),
        }
    }

    fn endpoint_digests(&self) -> parted_rows::PartDigests {
        let rows = self.endpoint_rows.lock();
        let registry = self.registry.lock();
        rows.digests(registry.lapsed())
    }

    /// Queries one peer and applies what it knows.
    async fn query_peer(&self, peer: &peer_wire::MemberWire) {
        let address = &peer.peer_address;
        let asked_at = boot_clock::BootInstant::now();
        let own = self.endpoint_digests();
        let digest = parted_rows::combined_digest(&own);
        let query = peer_wire::QueryBody::StoreView {
            above: NO_ROW,
            digest,
            blocked: self.guard.digest(),
        };
        let reply = self.link.ask(address, query, ANSWER_TIMEOUT).await;
        self.record_poll(address, asked_at, reply.as_ref().err());
        let Ok(peer_wire::ReplyBody::StoreView(Some(mut state))) = reply else {
            return;
        };
        self.guard
            .merge_blocks(std::mem::take(&mut state.blocked), "peer");
        if let Some(age) = state.answer_age_micros {
            let answered_at = asked_at.before(time::Duration::from_micros(age));
            self.reader_watch.lock().record_answer(answered_at);
            if peer.zone == self.settings.zone {
                self.zone_watch.lock().record_answer(answered_at);
            }
        }
        if self.version_number() < Some(state.number) {
            // A full channel already names a peer with a newer version.
            let source = config_pull::VersionSource {
                address: address.clone(),
                number: state.number,
            };
            let _is_full = self.newer_versions.0.try_send(source);
        }
        let Some(confirmed_at) = self.apply_peer_state(&state, asked_at) else {
            return;
        };
        let digests = if state.digests.is_empty() {
            own.to_vec()
        } else {
            state.digests
        };
        let parts = parted_rows::differing_parts(&own, &digests);
        if let Some(deltas) = self.query_parts(address, &parts).await {
            let view = PeerView {
                digests: &digests,
                era: state.endpoint_era,
                asked_at,
                confirmed_at,
            };
            self.apply_peer_endpoints(deltas, &view);
        }
    }

    /// Queries one peer for its orders of roll-outs, where they are followed.
    async fn query_orders(&self, address: &str) {
        if let Some(rollouts) = &self.rollouts {
            rollouts.query_orders(address).await;
        }
    }

    /// Fetches the deltas of some parts from a peer; `None` if a query failed.
    async fn query_parts(&self, address: &str, parts: &[u8]) -> Option<PeerDeltas> {
        let mut deltas = PeerDeltas::default();
        for parts in parts.chunks(MAX_PARTS_PER_QUERY) {
            let parts = self.with_row_digests(parts);
            let query = peer_wire::QueryBody::EndpointRows { parts };
            let reply = self.link.ask(address, query, ANSWER_TIMEOUT).await;
            let Ok(peer_wire::ReplyBody::EndpointRows(wire)) = reply else {
                return None;
            };
            let parts = wire.parts.into_iter();
            deltas.parts.extend(parts.map(parted_rows::PartDelta::from));
            deltas.lapsed.extend(wire.lapsed);
        }
        Some(deltas)
    }

    fn with_row_digests(&self, parts: &[u8]) -> Vec<(u8, Vec<u64>)> {
        let rows = self.endpoint_rows.lock();
        let parts = parts.iter();
        let parts = parts.map(|part| (*part, rows.row_digests(*part)));
        parts.collect()
    }

    /// Applies the age of a peer's configuration. Returns when the peer's endpoint rows were last
    /// confirmed, if that is recent and later than for this router's rows.
    fn apply_peer_state(
        &self,
        state: &store_view_wire::StoreViewWire,
        asked_at: boot_clock::BootInstant,
    ) -> Option<boot_clock::BootInstant> {
        // A peer with an older version cannot confirm the version in force here.
        if self.version_number() == Some(state.number) {
            let age = time::Duration::from_micros(state.age_micros);
            self.confirm_version(asked_at.before(age));
        }
        let age = time::Duration::from_micros(state.endpoint_age_micros);
        let confirmed_at = asked_at.before(age);
        let is_newer = self.endpoint_clock.lock().is_older_than(confirmed_at)
            && *self.endpoint_era.lock() <= Some(state.endpoint_era);
        (age < MAX_LIST_AGE && is_newer).then_some(confirmed_at)
    }

    /// Applies the endpoint rows of a peer.
    fn apply_peer_endpoints(&self, deltas: PeerDeltas, view: &PeerView<'_>) {
        let PeerView {
            digests,
            era,
            asked_at,
            confirmed_at,
        } = *view;
        let parts: Vec<u8> = deltas.parts.iter().map(|delta| delta.part).collect();
        let is_covered = |name: &str| parts.iter().any(|part| is_in_part(*part, name));
        let rows = deltas.parts.iter().flat_map(|delta| &delta.rows);
        let mut changes: Vec<endpoint_registry::EntryChange> = rows
            .map(|(key, value)| self.codec.endpoint(key, value))
            .collect();
        let mut own_rows = self.endpoint_rows.lock();
        // Another peer may have supplied newer rows meanwhile; older ones would restore removed
        // endpoints.
        if !self.endpoint_clock.lock().is_older_than(confirmed_at) {
            return;
        }
        let mut registry = self.registry.lock();
        if self.enter_endpoint_era(era) {
            registry.mark_restored(asked_at);
        }
        let own = own_rows.digests(registry.lapsed());
        let differing = parted_rows::differing_parts(&own, digests);
        let is_complete = differing.iter().all(|part| parts.contains(part));
        let Some(removed) = is_complete.then(|| own_rows.apply(deltas.parts)).flatten() else {
            log::info!("endpoint rows changed during the query to a peer; answer dropped");
            return;
        };
        self.endpoint_clock.lock().confirm(confirmed_at);
        changes.extend(
            removed
                .into_iter()
                .map(endpoint_registry::EntryChange::Absent),
        );
        let is_changed = registry.apply_from_peer(changes, &deltas.lapsed, is_covered, asked_at);
        registry.mark_initialized();
        if !parts.is_empty() {
            own_rows.retain(|name| registry.contains(name));
        }
        drop(registry);
        drop(own_rows);
        if self.publish_endpoints(is_changed) {
            let age_ms = peer_wire::micros(asked_at.since(confirmed_at)) / 1_000;
            log::info!(age_ms, parts = parts.len(); "endpoints taken from a peer");
        }
    }
}

fn is_in_part(part: u8, name: &str) -> bool {
    parted_rows::part_of(name) == usize::from(part)
}

/// Queries other routers for their state of the store, until `token` is cancelled.
pub async fn poll_peers(node: sync::Arc<node::GatewayNode>, token: stop_token::StopToken) {
    let (router, zone) = (&node.settings.router, &node.settings.zone);
    let polling = async {
        loop {
            let now = boot_clock::BootInstant::now();
            let has_recent_answer = node
                .zone_watch
                .lock()
                .has_recent_zone_answer(node.pace, now);
            let ready = node
                .gossip
                .ready_members_matching(|fact| !has_recent_answer || fact.zone == *zone);
            let selection = readers::choose_peers(
                router,
                zone,
                ready,
                has_recent_answer,
                &mut fastrand::Rng::new(),
            );
            let queries = selection.peers.iter().map(|peer| {
                future::join(node.query_peer(peer), node.query_orders(&peer.peer_address))
            });
            future::join_all(queries).await;
            let interval = if node.version_number().is_some() {
                selection.interval
            } else {
                readers::STARTUP_POLL_INTERVAL
            };
            task::sleep(interval).await;
        }
    };
    let _stopped = polling.timeout_at(token).await;
}
