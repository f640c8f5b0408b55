//! Builds a gateway from its settings, the adapters of its platform and its link to peers.

use std::sync;
use std::sync::atomic;
use std::time;

use async_std::channel;

use crate::process::endpoints::placement;
use crate::process::gateway::rollout::{control, coordinator, plan_book, ramp, version_policy};
use crate::process::gateway::stream_versions::keeper;
use crate::process::gateway::{
    budgets, endpoint_fleet, endpoint_registry, first_read, node, permits, readers, request_guard,
    settings, start, token_exchange,
};
use crate::process::limits::byte_budget;
use crate::process::members::{gossip, peering};
use crate::process::telemetry::{metrics, timeline};
use crate::process::view;
use crate::request::relay::{context, rollout};

/// The process's memory divided by this is the limit for what is held of callers: heads, bodies and
/// buffered responses. The rest is for all else that the process holds, and for the kernel.
const CALLER_MEMORY_DIVISOR: usize = 4;

/// When a router with these settings begins to read the store.
fn first_read_of(settings: &settings::GatewaySettings) -> first_read::FirstRead {
    let own_address = settings.peer_listen.to_string();
    let is_seed = settings.seeds.contains(&own_address);
    let delay = first_read::read_delay(is_seed, settings.is_first_start, &mut fastrand::Rng::new());
    first_read::FirstRead::new(delay, settings.is_first_start, time::Instant::now())
}

/// Builds a gateway that reaches its peers through `peers`. Requests in flight are given up once
/// `aborting` is cancelled.
#[must_use]
pub fn assemble(
    settings: settings::GatewaySettings,
    adapters: &start::PlatformAdapters,
    metrics: sync::Arc<metrics::RouterMetrics>,
    peers: peering::PeerComponents,
    aborting: stop_token::StopToken,
) -> sync::Arc<node::GatewayNode> {
    let peering::PeerComponents {
        ring,
        link,
        seeds,
        gossip,
        members,
    } = peers;
    let plans = sync::Arc::<plan_book::PlanBook>::default();
    let (fleet, versions) = versioned_fleet(&settings, &plans);
    let budget = budgets::ServiceBudgets::new(settings.bounds, sync::Arc::clone(&members));
    let tokens = sync::Arc::new(token_exchange::TokenExchange::new(
        sync::Arc::new(budget),
        sync::Arc::clone(&members),
        sync::Arc::clone(&link),
        sync::Arc::clone(&metrics) as _,
    ));
    let pace = readers::ReadTiming::new(settings.bounds.propagation_limit);
    let memory = usize::try_from(settings.memory_bytes).unwrap_or(usize::MAX);
    let permits = sync::Arc::new(permits::RouterPermits::new(
        sync::Arc::clone(&fleet),
        sync::Arc::clone(&gossip) as _,
        sync::Arc::clone(&link),
        sync::Arc::clone(&metrics) as _,
    ));
    let guard = sync::Arc::new(request_guard::RouterRequestGuard::new(
        sync::Arc::clone(&gossip),
        sync::Arc::clone(&link),
        sync::Arc::clone(&adapters.store),
        sync::Arc::clone(&adapters.codec),
        sync::Arc::clone(&metrics) as _,
    ));
    let origins = origin_keeper(&settings, adapters, &metrics);
    let relay = context::RelayContext {
        memory: sync::Arc::new(byte_budget::ByteBudget::new(memory / CALLER_MEMORY_DIVISOR)),
        fleet: sync::Arc::clone(&fleet) as _,
        dialect: sync::Arc::clone(&adapters.requests),
        versions: versions.clone().map_or_else(
            || sync::Arc::new(rollout::AnyVersion) as _,
            |versions| versions as _,
        ),
        origins: sync::Arc::clone(&origins) as _,
        budget: sync::Arc::clone(&tokens) as _,
        loads: sync::Arc::default(),
        permits: sync::Arc::clone(&permits) as _,
        guard: sync::Arc::clone(&guard) as _,
        counters: sync::Arc::clone(&metrics) as _,
        aborting,
    };
    let rollouts = settings.follows_rollouts.then(|| {
        control::RolloutControl::new(coordinator::CoordinatorParts {
            owners: sync::Arc::clone(&gossip) as _,
            members: sync::Arc::clone(&members),
            link: sync::Arc::clone(&link),
            store: sync::Arc::clone(&adapters.store),
            codec: sync::Arc::clone(&adapters.codec),
            counters: sync::Arc::clone(&metrics) as _,
            plans: sync::Arc::clone(&plans),
            orders: sync::Arc::default(),
            bounds: exposure_bounds(&settings.bounds),
        })
    });
    let registry = endpoint_registry::EndpointRegistry::new(settings.bounds.reregistration_grace);
    sync::Arc::new(node::GatewayNode {
        first_read: first_read_of(&settings),
        stop_grace: parking_lot::Mutex::new(settings.bounds.stop_grace),
        settings,
        ring,
        metrics,
        gossip,
        members,
        link,
        seeds,
        fleet,
        registry: parking_lot::Mutex::new(registry),
        pace,
        endpoint_rows: parking_lot::Mutex::default(),
        endpoint_era: parking_lot::Mutex::default(),
        endpoint_clock: parking_lot::Mutex::default(),
        store_answered_at: parking_lot::Mutex::default(),
        reader_watch: parking_lot::Mutex::default(),
        zone_watch: parking_lot::Mutex::default(),
        poll_failures: parking_lot::Mutex::default(),
        newer_versions: channel::bounded(1),
        config_state: parking_lot::Mutex::default(),
        store: sync::Arc::clone(&adapters.store),
        codec: sync::Arc::clone(&adapters.codec),
        permits,
        tokens,
        guard,
        origins,
        plans,
        versions,
        rollouts,
        relay,
        is_draining: atomic::AtomicBool::default(),
        is_closing: atomic::AtomicBool::default(),
        stop_schedule: parking_lot::Mutex::default(),
        stream_duration: parking_lot::Mutex::default(),
        in_flight: atomic::AtomicU64::default(),
    })
}

const fn exposure_bounds(bounds: &settings::GatewayBounds) -> ramp::ExposureBounds {
    ramp::ExposureBounds {
        share: bounds.expose_share,
        slack: bounds.expose_slack,
    }
}

fn origin_keeper(
    settings: &settings::GatewaySettings,
    adapters: &start::PlatformAdapters,
    metrics: &sync::Arc<metrics::RouterMetrics>,
) -> sync::Arc<keeper::OriginKeeper> {
    let counters: sync::Arc<dyn view::CounterSink> = sync::Arc::clone(metrics) as _;
    let store = sync::Arc::clone(&adapters.store);
    let keeper = keeper::OriginKeeper::new(store, counters, settings.is_first_start);
    sync::Arc::new(keeper)
}

/// The fleet, and the policy by which it is used where roll-outs are followed.
fn versioned_fleet(
    settings: &settings::GatewaySettings,
    plans: &sync::Arc<plan_book::PlanBook>,
) -> (
    sync::Arc<endpoint_fleet::RouterFleet>,
    Option<sync::Arc<version_policy::RolloutPolicy>>,
) {
    let policy = Box::new(placement::PrefixPlacement::default());
    let fleet = endpoint_fleet::RouterFleet::new(settings.zone.clone(), policy);
    if !settings.follows_rollouts {
        return (sync::Arc::new(fleet), None);
    }
    let fleet = sync::Arc::new(fleet.with_orders(sync::Arc::clone(plans)));
    let versions =
        version_policy::RolloutPolicy::new(sync::Arc::clone(plans), sync::Arc::clone(&fleet));
    (fleet, Some(sync::Arc::new(versions)))
}

/// Identity of a router that starts now with these settings.
#[must_use]
pub fn identity(settings: &settings::GatewaySettings) -> gossip::MemberIdentity {
    gossip::MemberIdentity {
        router: settings.router.clone(),
        incarnation: timeline::wall_micros(),
        zone: settings.zone.clone(),
        caller_address: settings.caller_listen.to_string(),
        peer_address: settings.peer_listen.to_string(),
        admin_address: settings
            .metrics_listen
            .map_or_else(String::new, |address| address.to_string()),
    }
}
