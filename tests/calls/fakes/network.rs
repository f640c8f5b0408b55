//! In-memory network of routers: call runners, peer links and endpoint selection.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use async_std::task;
use futures::FutureExt as _;
use futures::future;
use kumquatpulley::connection::peer;
use kumquatpulley::connection::peer_wire;
use kumquatpulley::connection::service as exchange;
use kumquatpulley::process::telemetry::timeline;
use kumquatpulley::process::view;
use kumquatpulley::request::call;
use kumquatpulley::request::key;

use crate::fakes::platform;
use crate::fakes::service;

/// Fault of the link to one router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// Messages arrive and are answered.
    None,
    /// Connections are refused.
    Refuse,
    /// Messages arrive, but waiting for the reply fails with an error.
    LoseAnswer,
    /// Messages arrive, but no reply is ever sent.
    Silent,
}

#[derive(Debug)]
struct RouterEntry {
    home: key::HomeName,
    runner: call::CallRunner,
    fault: LinkFault,
    /// Whether the member view of other routers contains it.
    listed: bool,
}

/// State of all routers, shared by their links and member views.
#[derive(Debug, Default)]
pub struct FakeNetwork {
    routers: parking_lot::Mutex<collections::BTreeMap<String, RouterEntry>>,
    pub platform: sync::Arc<platform::FakePlatform>,
    pub endpoints: sync::Arc<FakeEndpoints>,
}

impl FakeNetwork {
    /// Creates a network without routers whose endpoints are `services`.
    pub fn new(services: &[sync::Arc<service::FakeService>]) -> sync::Arc<Self> {
        let endpoints = FakeEndpoints {
            services: parking_lot::Mutex::new(services.to_vec()),
            ..FakeEndpoints::default()
        };
        sync::Arc::new(Self {
            endpoints: sync::Arc::new(endpoints),
            ..Self::default()
        })
    }

    /// Starts a router, or restarts it with another incarnation.
    pub fn start(self: &sync::Arc<Self>, router: &str, incarnation: u64) -> call::CallRunner {
        let gate = sync::Arc::new(exchange::OpenGate);
        self.start_with(router, incarnation, call::CallLimits::default(), gate)
    }

    /// Like `start`, with the given limits and gate.
    pub fn start_with(
        self: &sync::Arc<Self>,
        router: &str,
        incarnation: u64,
        limits: call::CallLimits,
        gate: sync::Arc<dyn exchange::SendGate>,
    ) -> call::CallRunner {
        let home = key::HomeName {
            router: router.to_owned(),
            incarnation,
        };
        let members = FakeMembers {
            home: home.clone(),
            network: sync::Arc::clone(self),
        };
        let runner = call::CallRunner::with_gate(
            sync::Arc::new(FakeLink {
                network: sync::Arc::clone(self),
            }),
            sync::Arc::new(members),
            sync::Arc::clone(&self.endpoints) as sync::Arc<dyn view::EndpointView>,
            sync::Arc::clone(&self.platform) as _,
            sync::Arc::new(timeline::EventRing::new(router)),
            limits,
            gate,
        );
        let entry = RouterEntry {
            home,
            runner: runner.clone(),
            fault: LinkFault::None,
            listed: true,
        };
        self.routers.lock().insert(router.to_owned(), entry);
        runner
    }

    /// Sets the fault of the link to `router`.
    pub fn set_fault(&self, router: &str, fault: LinkFault) {
        let mut routers = self.routers.lock();
        routers.get_mut(router).expect("known router").fault = fault;
    }

    /// Sets whether member views contain `router`.
    pub fn set_listed(&self, router: &str, listed: bool) {
        let mut routers = self.routers.lock();
        routers.get_mut(router).expect("known router").listed = listed;
    }

    /// Generates a key whose home is the current incarnation of `router`.
    pub fn mint(&self, router: &str) -> String {
        key::RequestKey::mint(&self.routers.lock()[router].home).to_string()
    }
}

#[derive(Debug)]
struct FakeMembers {
    home: key::HomeName,
    network: sync::Arc<FakeNetwork>,
}

impl view::MemberView for FakeMembers {
    fn home(&self) -> key::HomeName {
        self.home.clone()
    }

    fn is_own_home(&self, home: &key::HomeName) -> bool {
        *home == self.home
    }

    fn find(&self, router: &str) -> Option<peer_wire::MemberWire> {
        let routers = self.network.routers.lock();
        let entry = routers.get(router).filter(|entry| entry.listed)?;
        Some(peer_wire::MemberWire {
            router: router.to_owned(),
            incarnation: entry.home.incarnation,
            rank: 0,
            version: 1,
            zone: "zone-a".to_owned(),
            caller_address: router.to_owned(),
            peer_address: router.to_owned(),
            admin_address: router.to_owned(),
            config: 1,
            demand: Vec::new(),
        })
    }

    fn ready_members(&self) -> Vec<peer_wire::MemberWire> {
        Vec::new()
    }
}

#[derive(Debug)]
struct FakeLink {
    network: sync::Arc<FakeNetwork>,
}

impl FakeLink {
    async fn deliver(
        &self,
        address: &str,
        query: peer_wire::QueryBody,
    ) -> peer::Result<peer_wire::ReplyBody> {
        let (runner, fault) = {
            let routers = self.network.routers.lock();
            let entry = &routers[address];
            (entry.runner.clone(), entry.fault)
        };
        if fault == LinkFault::Refuse {
            return Err(peer::PeerError::NotSent("refused".to_owned()));
        }
        let reply = match query {
            peer_wire::QueryBody::Call(call) => {
                peer_wire::ReplyBody::Call(runner.run_at_home(call).await)
            }
            _ => peer_wire::ReplyBody::Alive(true),
        };
        match fault {
            LinkFault::LoseAnswer => Err(peer::PeerError::NoReply("lost".to_owned())),
            LinkFault::Silent => future::pending().await,
            _ => Ok(reply),
        }
    }
}

impl peer::PeerLink for FakeLink {
    fn ask<'a>(
        &'a self,
        address: &'a str,
        query: peer_wire::QueryBody,
        limit: time::Duration,
    ) -> future::BoxFuture<'a, peer::Result<peer_wire::ReplyBody>> {
        async move {
            let delivered = async_std::future::timeout(limit, self.deliver(address, query)).await;
            let to_error = |_elapsed| peer::PeerError::NoReply("no reply in time".to_owned());
            delivered.map_err(to_error)?
        }
        .boxed()
    }
}

/// Endpoints, picked in a fixed order.
#[derive(Debug, Default)]
pub struct FakeEndpoints {
    services: parking_lot::Mutex<Vec<sync::Arc<service::FakeService>>>,
    was_picked: atomic::AtomicBool,
    failures: atomic::AtomicU32,
}

impl FakeEndpoints {
    /// Replaces the endpoints.
    pub fn set(&self, services: &[sync::Arc<service::FakeService>]) {
        *self.services.lock() = services.to_vec();
    }

    /// Whether any endpoint was picked.
    pub fn was_picked(&self) -> bool {
        self.was_picked.load(atomic::Ordering::SeqCst)
    }

    /// How often an endpoint was reported as failed.
    pub fn failures(&self) -> u32 {
        self.failures.load(atomic::Ordering::SeqCst)
    }
}

#[derive(Debug)]
struct FakeLease(sync::Arc<service::FakeService>);

impl view::EndpointLease for FakeLease {
    fn name(&self) -> &str {
        &self.0.name
    }

    fn address(&self) -> &str {
        &self.0.address
    }
}

impl view::EndpointView for FakeEndpoints {
    fn pick(&self, _service: &str, excluded: &[String]) -> Option<Box<dyn view::EndpointLease>> {
        let services = self.services.lock();
        let service = services
            .iter()
            .find(|service| !excluded.contains(&service.name))?;
        self.was_picked.store(true, atomic::Ordering::SeqCst);
        Some(Box::new(FakeLease(sync::Arc::clone(service))))
    }

    fn report_failure(&self, _endpoint: &str) {
        self.failures.fetch_add(1, atomic::Ordering::SeqCst);
    }
}

/// A call with the given key and a deadline of 2 s, not marked as a first send.
pub fn reserve(key: &str) -> peer_wire::CallWire {
    peer_wire::CallWire {
        key: key.to_owned(),
        workspace: "brides".to_owned(),
        service: "stock".to_owned(),
        method: "POST".to_owned(),
        path: "/reserve".to_owned(),
        content_type: Some("text/plain".to_owned()),
        body: b"40 covers".to_vec().into(),
        first_send: false,
        deadline_millis: 2_000,
    }
}

/// Waits 100 ms for background tasks to finish.
pub async fn settle() {
    task::sleep(time::Duration::from_millis(100)).await;
}
