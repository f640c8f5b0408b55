//! What gateways tell each other of the store, for those that it turns away.

use std::collections;
use std::sync;
use std::time;

use async_std::task;
use futures::FutureExt as _;
use futures::future;
use stop_token::future::FutureExt as _;

use crate::connection::{peer, peer_wire};
use crate::process::gateway::{boot_clock, endpoint_book, endpoint_rows, node, readers};

/// Time for a peer's answer.
const ANSWER_LIMIT: time::Duration = time::Duration::from_millis(500);

/// Parts of the rows of endpoints in one question: an answer then holds an eighth of all rows at most, and
/// the routers that ask the same one at once, lacking everything, do not fill a small VM's memory.
const PARTS_A_QUESTION: usize = 8;

/// Age from which a peer's list of endpoints proves nothing about those it lacks.
const LIST_AGE: time::Duration = time::Duration::from_millis(2_500);

/// What a peer told of the parts in which it differs.
#[derive(Debug, Default)]
struct ToldParts {
    news: Vec<endpoint_rows::PartNews>,
    /// Entries of these parts that lapsed there.
    lapsed: collections::HashSet<String>,
}

impl From<endpoint_rows::PartNews> for peer_wire::PartDeltaWire {
    fn from(news: endpoint_rows::PartNews) -> Self {
        Self {
            part: news.part,
            rows: news.rows,
            gone: news.gone,
            digest: news.digest,
        }
    }
}

impl From<peer_wire::PartDeltaWire> for endpoint_rows::PartNews {
    fn from(news: peer_wire::PartDeltaWire) -> Self {
        Self {
            part: news.part,
            rows: news.rows,
            gone: news.gone,
            digest: news.digest,
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
                peer_wire::QueryBody::StoreView { above, digest } => {
                    let beliefs = self.beliefs(above, digest);
                    peer_wire::ReplyBody::StoreView(beliefs.map(Box::new))
                }
                peer_wire::QueryBody::EndpointRows { parts } => {
                    peer_wire::ReplyBody::EndpointRows(self.endpoint_news(&parts))
                }
                _ => peer_wire::ReplyBody::Refused("the query is not known here".to_owned()),
            }
        }
        .boxed()
    }
}

impl node::GatewayNode {
    fn beliefs(&self, above: u64, digest: u64) -> Option<peer_wire::StoreViewWire> {
        let now = boot_clock::BootInstant::now();
        let belief = self.config_state.lock();
        let number = belief.version.as_ref()?.number();
        let age = belief.clock.age(now)?;
        let row = belief.row.clone().filter(|_row| number > above);
        drop(belief);
        let endpoint_age = self.endpoint_clock.lock().age(now)?;
        let own = self.endpoint_digests();
        let is_same = endpoint_rows::whole_digest(&own) == digest;
        Some(peer_wire::StoreViewWire {
            number,
            age_micros: micros(age),
            row,
            answer_age_micros: self.store_answer_age().map(micros),
            endpoint_age_micros: micros(endpoint_age),
            digests: if is_same { Vec::new() } else { own.to_vec() },
        })
    }

    /// What an asker lacks of some parts, of which it told the digests of its rows.
    fn endpoint_news(&self, parts: &[(u8, Vec<u64>)]) -> peer_wire::EndpointDeltaWire {
        let parts = &parts[..parts.len().min(PARTS_A_QUESTION)];
        let rows = self.endpoint_rows.lock();
        let news = parts
            .iter()
            .filter_map(|(part, held)| rows.news(*part, held));
        let news = news.map(peer_wire::PartDeltaWire::from).collect();
        let book = self.book.lock();
        let is_asked = |key: &&str| parts.iter().any(|(part, _held)| is_part_of(*part, key));
        let lapsed = book.lapsed().filter(is_asked);
        peer_wire::EndpointDeltaWire {
            parts: news,
            lapsed: lapsed.map(str::to_owned).collect(),
        }
    }

    fn endpoint_digests(&self) -> endpoint_rows::PartDigests {
        let rows = self.endpoint_rows.lock();
        let book = self.book.lock();
        rows.digests(book.lapsed())
    }

    async fn ask_peer(&self, peer: &peer_wire::MemberWire) {
        let address = &peer.peer_address;
        let asked = boot_clock::BootInstant::now();
        let above = self.version_number().unwrap_or_default();
        let own = self.endpoint_digests();
        let digest = endpoint_rows::whole_digest(&own);
        let query = peer_wire::QueryBody::StoreView { above, digest };
        let reply = self.link.ask(address, query, ANSWER_LIMIT).await;
        let Ok(peer_wire::ReplyBody::StoreView(Some(beliefs))) = reply else {
            return;
        };
        if let Some(age) = beliefs.answer_age_micros {
            let answered = asked.before(time::Duration::from_micros(age));
            self.reader_watch.lock().note_word(answered);
            if peer.zone == self.settings.zone {
                self.zone_watch.lock().note_word(answered);
            }
        }
        let Some(confirmed) = self.take_beliefs(&beliefs, asked) else {
            return;
        };
        let digests = if beliefs.digests.is_empty() {
            own.to_vec()
        } else {
            beliefs.digests
        };
        let parts = endpoint_rows::differing_parts(&own, &digests);
        if let Some(told) = self.ask_parts(address, &parts).await {
            self.take_endpoints(told, &digests, asked, confirmed);
        }
    }

    /// Asks for what this router lacks of some parts; `None` when the peer gave no answer.
    async fn ask_parts(&self, address: &str, parts: &[u8]) -> Option<ToldParts> {
        let mut told = ToldParts::default();
        for parts in parts.chunks(PARTS_A_QUESTION) {
            let parts = self.with_row_digests(parts);
            let query = peer_wire::QueryBody::EndpointRows { parts };
            let reply = self.link.ask(address, query, ANSWER_LIMIT).await;
            let Ok(peer_wire::ReplyBody::EndpointRows(news)) = reply else {
                return None;
            };
            let parts = news.parts.into_iter();
            told.news.extend(parts.map(endpoint_rows::PartNews::from));
            told.lapsed.extend(news.lapsed);
        }
        Some(told)
    }

    fn with_row_digests(&self, parts: &[u8]) -> Vec<(u8, Vec<u64>)> {
        let rows = self.endpoint_rows.lock();
        let parts = parts.iter();
        let parts = parts.map(|part| (*part, rows.row_digests(*part)));
        parts.collect()
    }

    /// Takes in what a peer believes; returns when its rows of endpoints were complete, if they are
    /// newer than the own ones.
    fn take_beliefs(
        &self,
        beliefs: &peer_wire::StoreViewWire,
        asked: boot_clock::BootInstant,
    ) -> Option<boot_clock::BootInstant> {
        if let Some((key, value)) = &beliefs.row {
            self.apply_version(key, value, "peer");
        }
        // A peer behind this router proves nothing about the version in force here.
        if self.version_number() == Some(beliefs.number) {
            let age = time::Duration::from_micros(beliefs.age_micros);
            self.confirm_version(asked.before(age));
        }
        let age = time::Duration::from_micros(beliefs.endpoint_age_micros);
        let confirmed = asked.before(age);
        let is_newer = self.endpoint_clock.lock().is_older_than(confirmed);
        (age < LIST_AGE && is_newer).then_some(confirmed)
    }

    /// Takes in the rows that a peer told, which had the part digests `digests` when it was asked.
    fn take_endpoints(
        &self,
        told: ToldParts,
        digests: &[u64],
        asked: boot_clock::BootInstant,
        confirmed: boot_clock::BootInstant,
    ) {
        let parts: Vec<u8> = told.news.iter().map(|news| news.part).collect();
        let is_told = |name: &str| parts.iter().any(|part| is_part_of(*part, name));
        let rows = told.news.iter().flat_map(|news| &news.rows);
        let mut changes: Vec<endpoint_book::EntryChange> = rows
            .map(|(key, value)| self.codec.endpoint(key, value))
            .collect();
        let mut held = self.endpoint_rows.lock();
        // Another peer may have told something newer since; older rows would bring back what has left.
        if !self.endpoint_clock.lock().is_older_than(confirmed) {
            return;
        }
        let mut book = self.book.lock();
        let own = held.digests(book.lapsed());
        let differing = endpoint_rows::differing_parts(&own, digests);
        let is_covered = differing.iter().all(|part| parts.contains(part));
        let Some(gone) = is_covered.then(|| held.take(told.news)).flatten() else {
            log::info!("endpoints of a peer do not fit the own ones any more; asked again");
            return;
        };
        self.endpoint_clock.lock().confirm(confirmed);
        changes.extend(gone.into_iter().map(endpoint_book::EntryChange::Absent));
        let is_changed = book.apply_by_peer(changes, &told.lapsed, is_told, asked);
        book.filled_by_peer();
        if !parts.is_empty() {
            held.retain(|name| book.contains(name));
        }
        drop(book);
        drop(held);
        if self.publish_endpoints(is_changed) {
            let age_ms = micros(asked.since(confirmed)) / 1_000;
            log::info!(age_ms, parts = parts.len(); "endpoints taken from a peer");
        }
    }
}

fn is_part_of(part: u8, name: &str) -> bool {
    endpoint_rows::part_of(name) == usize::from(part)
}

fn micros(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Asks other routers what they know of the store, until `token` is cancelled.
pub async fn ask_peers(node: sync::Arc<node::GatewayNode>, token: stop_token::StopToken) {
    let (router, zone) = (&node.settings.router, &node.settings.zone);
    let asking = async {
        loop {
            let now = boot_clock::BootInstant::now();
            let has_word = node.zone_watch.lock().has_zone_word(node.pace, now);
            let ready = node
                .gossip
                .ready_members_matching(|fact| !has_word || fact.zone == *zone);
            let asked =
                readers::whom_to_ask(router, zone, ready, has_word, &mut fastrand::Rng::new());
            let asks = asked.peers.iter().map(|peer| node.ask_peer(peer));
            future::join_all(asks).await;
            let interval = if node.version_number().is_some() {
                asked.interval
            } else {
                readers::FIRST_ASK_INTERVAL
            };
            task::sleep(interval).await;
        }
    };
    let _stopped = asking.timeout_at(token).await;
}
