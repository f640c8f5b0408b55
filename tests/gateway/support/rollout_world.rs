//! Routers that follow roll-outs, with a store and links in memory.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use futures::FutureExt as _;
use futures::future;
use kumquatpulley::connection::{peer, peer_wire};
use kumquatpulley::platform::store_wire;
use kumquatpulley::process::gateway::rollout::{
    control, coordinator, evidence, plan, plan_book, reporter,
};
use kumquatpulley::process::gateway::{boot_clock, rows};
use kumquatpulley::process::view;
use kumquatpulley::request::key;

use crate::support::rollout_replay;

pub const SERVICE: &str = "huvo11a";

/// Key of the order and of the state for operators.
pub const KEY: &str = "rollout/huvo11a";

/// Content and version of rows, by topic and key.
type StoredRows = collections::BTreeMap<(rows::RowTopic, String), (Vec<u8>, u64)>;

/// A store in memory.
#[derive(Debug, Default)]
pub struct MemoryStore {
    rows: parking_lot::Mutex<StoredRows>,
    version: atomic::AtomicU64,
    /// Whether it gives no answers and takes nothing.
    pub is_away: atomic::AtomicBool,
    /// Whether it takes writes and gives no answers to them.
    pub loses_answers: atomic::AtomicBool,
}

impl MemoryStore {
    pub fn put_order(&self, value: &str) {
        self.set(rows::RowTopic::Config, KEY, value.as_bytes());
    }

    pub fn remove_order(&self) {
        let mut rows = self.rows.lock();
        rows.remove(&(rows::RowTopic::Config, KEY.to_owned()));
    }

    /// State of the roll-out as the operators see it.
    pub fn state(&self) -> Option<String> {
        let rows = self.rows.lock();
        let (value, _version) = rows.get(&(rows::RowTopic::RolloutStatus, KEY.to_owned()))?;
        let value: serde_json::Value = serde_json::from_slice(value).ok()?;
        Some(value["state"].as_str()?.to_owned())
    }

    fn set(&self, topic: rows::RowTopic, key: &str, value: &[u8]) {
        let version = self.version.fetch_add(1, atomic::Ordering::SeqCst) + 1;
        let row = (value.to_vec(), version);
        self.rows.lock().insert((topic, key.to_owned()), row);
    }

    fn check(&self) -> rows::Result<()> {
        if self.is_away.load(atomic::Ordering::SeqCst) {
            return Err(rows::RowError::Unavailable("away".to_owned()));
        }
        Ok(())
    }

    fn batch(&self, topic: rows::RowTopic) -> rows::RowBatch {
        let rows = self.rows.lock();
        let rows = rows.iter().filter(|((known, _key), _row)| *known == topic);
        let rows = rows.map(|((_topic, key), (value, version))| rows::RowChange {
            key: key.clone(),
            value: Some(value.clone()),
            version: *version,
        });
        rows::RowBatch {
            rows: rows.collect(),
            version: self.version.load(atomic::Ordering::SeqCst),
            era: 0,
            now_ms: u64::try_from(boot_clock::BootInstant::now().0.as_millis()).expect("a time"),
        }
    }

    fn write(&self, writes: &[rows::RowWrite<'_>]) -> rows::Result<()> {
        self.check()?;
        let is_matching = |write: &rows::RowWrite<'_>| {
            let rows = self.rows.lock();
            let row = rows.get(&(write.topic, write.key.to_owned()));
            row.map_or(0, |(_value, version)| *version) == write.expected
        };
        if !writes.iter().all(is_matching) {
            return Err(rows::RowError::Conflict);
        }
        for write in writes {
            self.set(write.topic, write.key, write.value);
        }
        if self.loses_answers.load(atomic::Ordering::SeqCst) {
            return Err(rows::RowError::Unavailable("answer lost".to_owned()));
        }
        Ok(())
    }
}

impl rows::RowStore for MemoryStore {
    fn read_all(
        &self,
        topic: rows::RowTopic,
    ) -> future::BoxFuture<'_, rows::Result<rows::RowBatch>> {
        future::ready(self.check().map(|()| self.batch(topic))).boxed()
    }

    fn read_changes(
        &self,
        topic: rows::RowTopic,
        _after: u64,
        _wait: time::Duration,
    ) -> future::BoxFuture<'_, rows::Result<rows::RowBatch>> {
        self.read_all(topic)
    }

    fn read_range<'a>(
        &'a self,
        topic: rows::RowTopic,
        from: &'a str,
        to: &'a str,
    ) -> future::BoxFuture<'a, rows::Result<rows::RowBatch>> {
        let mut batch = self.batch(topic);
        batch
            .rows
            .retain(|row| (from..to).contains(&row.key.as_str()));
        future::ready(self.check().map(|()| batch)).boxed()
    }

    fn write_rows<'a>(
        &'a self,
        topic: rows::RowTopic,
        puts: &'a [(String, Vec<u8>)],
        removed: &'a [String],
    ) -> future::BoxFuture<'a, rows::Result<()>> {
        for (key, value) in puts {
            self.set(topic, key, value);
        }
        for key in removed {
            self.rows.lock().remove(&(topic, key.clone()));
        }
        future::ready(self.check()).boxed()
    }

    fn put<'a>(
        &'a self,
        topic: rows::RowTopic,
        key: &'a str,
        value: &'a [u8],
    ) -> future::BoxFuture<'a, rows::Result<()>> {
        self.set(topic, key, value);
        future::ready(Ok(())).boxed()
    }

    fn put_matching<'a>(
        &'a self,
        writes: &'a [rows::RowWrite<'a>],
    ) -> future::BoxFuture<'a, rows::Result<()>> {
        future::ready(self.write(writes)).boxed()
    }
}

/// The links between the routers, who coordinates, and who is ready.
#[derive(Debug, Default)]
pub struct MemoryNet {
    controls: parking_lot::Mutex<Vec<Option<sync::Arc<control::RolloutControl>>>>,
    /// Index of the router that coordinates all services.
    pub owner: atomic::AtomicUsize,
}

/// One router's view of the net.
#[derive(Debug)]
struct NetView {
    net: sync::Arc<MemoryNet>,
    index: usize,
}

impl view::OwnerView for NetView {
    fn owner_of(&self, _seed: u64) -> Option<view::SharedOwner> {
        let owner = self.net.owner.load(atomic::Ordering::SeqCst);
        Some(view::SharedOwner {
            peer_address: owner.to_string(),
            is_own: owner == self.index,
            reachable_share: 1.0,
        })
    }
}

impl view::MemberView for NetView {
    fn home(&self) -> key::HomeName {
        unreachable!("only the routers are asked for")
    }

    fn is_own_home(&self, _home: &key::HomeName) -> bool {
        false
    }

    fn find(&self, _router: &str) -> Option<peer_wire::MemberWire> {
        None
    }

    fn ready_members(&self) -> Vec<peer_wire::MemberWire> {
        let count = self.net.controls.lock().len();
        let members = (0..count).map(|index| peer_wire::MemberWire {
            router: format!("r{index:03}"),
            incarnation: 1,
            rank: 0,
            version: 1,
            zone: "z1".to_owned(),
            caller_address: String::new(),
            peer_address: index.to_string(),
            admin_address: String::new(),
            config: 1,
            demand: Vec::new(),
        });
        members.collect()
    }
}

impl view::CounterSink for NetView {
    fn count(&self, _name: &'static str) {}

    fn time(&self, _name: &'static str, _duration: time::Duration) {}
}

impl peer::PeerLink for NetView {
    fn ask<'a>(
        &'a self,
        address: &'a str,
        query: peer_wire::QueryBody,
        _limit: time::Duration,
    ) -> future::BoxFuture<'a, peer::Result<peer_wire::ReplyBody>> {
        let index: usize = address.parse().expect("an index");
        let control = self.net.controls.lock()[index].clone();
        let reply = match (control, query) {
            (Some(control), peer_wire::QueryBody::Rollout(query)) => {
                let reply = control.answer(*query);
                Ok(peer_wire::ReplyBody::Rollout(Box::new(reply)))
            }
            _lost => Err(peer::PeerError::NoReply("lost".to_owned())),
        };
        future::ready(reply).boxed()
    }
}

/// Counts of one router that the test sets.
#[derive(Debug, Default)]
pub struct SetCounts(pub parking_lot::Mutex<evidence::RouterReport>);

impl evidence::EvidenceSource for SetCounts {
    fn report(&self, router: &str, plan: &plan::RolloutPlan) -> evidence::RouterReport {
        evidence::RouterReport {
            router: router.to_owned(),
            service: plan.service.clone(),
            order_version: plan.order_version,
            ..self.0.lock().clone()
        }
    }
}

/// One router.
pub struct WorldRouter {
    pub control: sync::Arc<control::RolloutControl>,
    pub plans: sync::Arc<plan_book::PlanBook>,
    pub counts: sync::Arc<SetCounts>,
    pub reporter: reporter::RolloutReporter,
}

impl WorldRouter {
    /// The plan that the router goes by.
    pub fn plan(&self) -> Option<plan::RolloutPlan> {
        self.plans.plan(SERVICE, boot_clock::BootInstant::now())
    }

    pub fn phase(&self) -> Option<plan::RolloutPhase> {
        self.plan().map(|plan| plan.phase)
    }
}

/// Some routers and their store.
pub struct World {
    pub store: sync::Arc<MemoryStore>,
    pub net: sync::Arc<MemoryNet>,
    pub routers: Vec<WorldRouter>,
}

impl World {
    pub fn new(count: usize) -> Self {
        let (store, net) = (sync::Arc::default(), sync::Arc::default());
        let mut world = Self {
            store,
            net,
            routers: Vec::new(),
        };
        for _router in 0..count {
            world.add_router();
        }
        world
    }

    /// Adds a router that knows nothing.
    pub fn add_router(&mut self) {
        let index = self.routers.len();
        let net = sync::Arc::clone(&self.net);
        let view = sync::Arc::new(NetView { net, index });
        let plans = sync::Arc::<plan_book::PlanBook>::default();
        let control = sync::Arc::new(control::RolloutControl::new(
            coordinator::CoordinatorParts {
                owners: sync::Arc::clone(&view) as _,
                members: sync::Arc::clone(&view) as _,
                link: sync::Arc::clone(&view) as _,
                store: sync::Arc::clone(&self.store) as _,
                codec: sync::Arc::new(store_wire::StoreCodec),
                counters: view,
                plans: sync::Arc::clone(&plans),
                orders: sync::Arc::default(),
                bounds: rollout_replay::BOUNDS,
            },
        ));
        let counts = sync::Arc::<SetCounts>::default();
        let reporter = control.reporter(format!("r{index:03}"), sync::Arc::clone(&counts) as _);
        let shared = sync::Arc::clone(&control);
        self.net.controls.lock().push(Some(shared));
        self.routers.push(WorldRouter {
            control,
            plans,
            counts,
            reporter,
        });
    }

    /// Lets a router answer no more.
    pub fn cut(&self, index: usize) {
        self.net.controls.lock()[index] = None;
    }

    /// Lets a router read all rows of the table that holds the orders.
    pub fn read_orders(&self, index: usize) {
        let batch = self.store.batch(rows::RowTopic::Config);
        let now = boot_clock::BootInstant::now();
        self.routers[index].control.apply_rows(&batch, now, true);
    }
}
