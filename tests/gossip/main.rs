//! Gossip between routers in one process, over HTTP/2 on loopback, with link faults and pauses.

use std::sync;
use std::sync::atomic;
use std::time;

use async_std::{net, task};
use kumquatpulley::connection::peer_wire;
use kumquatpulley::process::members::member_rank;
use kumquatpulley::process::view::{MemberView as _, OwnerView as _};

mod cluster;
#[path = "../common/mod.rs"]
mod common;

#[test]
fn sixteen_routers_converge_through_two_seeds() {
    cluster::run(async {
        let routers = cluster::TestCluster::default().start_many(16).await;
        let digest = || routers[0].node.digest();
        let agree = || {
            routers
                .iter()
                .all(|router| router.node.digest() == digest())
        };
        assert!(cluster::wait_until(cluster::CONVERGENCE_LIMIT, agree).await);
    });
}

/// Pauses one of `count` routers and expects all others to declare it dead within the limit.
fn silent_router_is_declared_dead(count: usize) {
    cluster::run(async {
        let mut routers = cluster::TestCluster::default().start_many(count).await;
        let mut silent = routers.pop().expect("no router");
        let name = silent.node.home().router;
        silent.pause();
        let began = time::Instant::now();
        let is_dead = || {
            let mut others = routers.iter();
            others.all(|router| router.has_liveness(&name, member_rank::PeerLiveness::Dead))
        };
        let seen = cluster::wait_until(cluster::DETECTION_LIMIT, is_dead).await;
        assert!(seen, "not all routers declared the silent one dead");
        println!("declared dead by all after {:?}", began.elapsed());
        assert!(
            routers
                .iter()
                .all(|router| router.node.find(&name).is_none())
        );
    });
}

common::cases! {
    a_silent_router_among_four_is_declared_dead_by_all_within_three_seconds:
        silent_router_is_declared_dead(4);
    a_silent_router_among_sixteen_is_declared_dead_by_all_within_three_seconds:
        silent_router_is_declared_dead(16);
}

#[test]
fn a_one_way_link_failure_declares_no_router_dead() {
    cluster::run(async {
        let mut cluster = cluster::TestCluster::default();
        let routers = cluster.start_many(8).await;
        cluster
            .blocked
            .block(&routers[0].address, &routers[1].address);
        let is_dead = || {
            let any = |name: &str| {
                routers
                    .iter()
                    .any(|router| router.has_liveness(name, member_rank::PeerLiveness::Dead))
            };
            any("router-0") || any("router-1")
        };
        assert!(!cluster::wait_until(time::Duration::from_secs(6), is_dead).await);
        let false_alarms = |router: &cluster::TestRouter| {
            router
                .node
                .counters()
                .false_alarms
                .load(atomic::Ordering::Relaxed)
        };
        assert!(
            routers.iter().map(false_alarms).sum::<u64>() > 0,
            "no exchange used the blocked link"
        );
    });
}

#[test]
fn a_paused_router_rejoins_with_the_same_home_name() {
    cluster::run(async {
        let mut routers = cluster::TestCluster::default().start_many(8).await;
        let home = routers[3].node.home();
        routers[3].pause();
        let seen_dead = || routers[0].has_liveness("router-3", member_rank::PeerLiveness::Dead);
        assert!(cluster::wait_until(cluster::DETECTION_LIMIT, seen_dead).await);
        routers[3].resume();
        let is_back = || routers.iter().all(|router| router.has_ready_count(8));
        assert!(cluster::wait_until(cluster::CONVERGENCE_LIMIT, is_back).await);
        assert_eq!(routers[3].node.home(), home);
        assert!(routers[3].node.is_own_home(&home));
    });
}

#[test]
fn a_router_replaced_under_the_same_address_is_not_taken_for_the_old_one() {
    cluster::run(async {
        let mut cluster = cluster::TestCluster::default();
        let mut routers = cluster.start_many(6).await;
        let address = routers.pop().unwrap().kill();
        task::sleep(time::Duration::from_millis(50)).await;
        let listener = net::TcpListener::bind(&address).await.unwrap();
        let _new = cluster.start_at("replacement", listener, cluster::BASE_INCARNATION + 100);
        let is_replaced = || {
            let has_replaced = |router: &cluster::TestRouter| {
                router.has_liveness("router-5", member_rank::PeerLiveness::Dead)
                    && router.has_liveness("replacement", member_rank::PeerLiveness::Alive)
            };
            routers.iter().all(has_replaced)
        };
        assert!(cluster::wait_until(cluster::CONVERGENCE_LIMIT, is_replaced).await);
    });
}

#[test]
fn a_router_restarted_with_its_clock_behind_takes_a_later_incarnation() {
    cluster::run(async {
        let mut cluster = cluster::TestCluster::default();
        let mut routers = cluster.start_many(6).await;
        let old_home = routers[5].node.home();
        let address = routers.pop().unwrap().kill();
        task::sleep(time::Duration::from_millis(50)).await;
        let listener = net::TcpListener::bind(&address).await.unwrap();
        let restarted = cluster.start_at("router-5", listener, cluster::BASE_INCARNATION - 500);
        let first_home = restarted.node.home();
        let is_known = || {
            let incarnation = restarted.node.home().incarnation;
            let has_learned = |router: &cluster::TestRouter| {
                let found = router.node.find("router-5");
                found.is_some_and(|found| found.incarnation == incarnation)
            };
            incarnation > old_home.incarnation && routers.iter().all(has_learned)
        };
        assert!(cluster::wait_until(cluster::CONVERGENCE_LIMIT, is_known).await);
        assert!(
            restarted.node.is_own_home(&first_home),
            "first home name of this process is no longer recognized"
        );
        assert!(
            !restarted.node.is_own_home(&old_home),
            "home name of the previous process is treated as this router's own"
        );
    });
}

#[test]
fn partitioned_halves_merge_after_the_partition_heals() {
    cluster::run(async {
        let mut cluster = cluster::TestCluster::default();
        let routers = cluster.start_many(6).await;
        for left in &routers[..3] {
            for right in &routers[3..] {
                cluster.blocked.block(&left.address, &right.address);
                cluster.blocked.block(&right.address, &left.address);
            }
        }
        let dead_to = |router: &cluster::TestRouter| {
            let members = router.node.members();
            let ranks = members.iter().map(|member| member.rank);
            let ranks = ranks.filter_map(|rank| member_rank::MemberRank::try_from(rank).ok());
            let dead = ranks.filter(|rank| rank.liveness == member_rank::PeerLiveness::Dead);
            dead.count()
        };
        let is_split = || routers.iter().all(|router| dead_to(router) == 3);
        assert!(cluster::wait_until(time::Duration::from_secs(15), is_split).await);
        cluster.blocked.heal();
        let is_whole = || routers.iter().all(|router| router.has_ready_count(6));
        assert!(cluster::wait_until(time::Duration::from_secs(15), is_whole).await);
    });
}

#[test]
fn a_leaving_endpoint_is_known_everywhere_within_a_second() {
    cluster::run(async {
        let routers = cluster::TestCluster::default().start_many(16).await;
        routers[2].node.mark_leaving("runner-7", 3);
        let is_known = || {
            routers
                .iter()
                .all(|router| router.node.is_leaving("runner-7", 3))
        };
        assert!(cluster::wait_until(time::Duration::from_secs(1), is_known).await);
        assert!(!routers[9].node.is_leaving("runner-7", 4));
    });
}

#[test]
fn a_draining_router_leaves_all_ready_lists_within_a_second() {
    cluster::run(async {
        let routers = cluster::TestCluster::default().start_many(16).await;
        routers[4].node.set_draining();
        let is_left_out = || routers.iter().all(|router| router.has_ready_count(15));
        assert!(cluster::wait_until(time::Duration::from_secs(1), is_left_out).await);
        let draining = member_rank::MemberRank::alive(member_rank::LifecycleStage::Draining);
        assert_eq!(routers[0].rank_of("router-4"), Some(draining));
        routers[4].node.set_ready();
        task::sleep(time::Duration::from_millis(500)).await;
        assert!(routers.iter().all(|router| router.has_ready_count(15)));
    });
}

#[test]
fn every_router_learns_who_has_a_newer_configuration() {
    cluster::run(async {
        let routers = cluster::TestCluster::default().start_many(16).await;
        routers[0].node.set_config(7);
        for router in &routers[1..] {
            let node = sync::Arc::clone(&router.node);
            task::spawn(async move {
                node.wait_for_newer_config().await;
                let peer = node.newest_config_peer(0).unwrap();
                node.set_config(peer.config);
            });
        }
        let is_in_force = |router: &cluster::TestRouter| {
            let own = router.node.home().router;
            router.node.find(&own).is_some_and(|own| own.config == 7)
        };
        let everywhere = || routers.iter().all(is_in_force);
        assert!(cluster::wait_until(time::Duration::from_secs(2), everywhere).await);
        assert!(routers[3].node.newest_config_peer(7).is_none());
    });
}

#[test]
fn demand_of_all_routers_adds_up() {
    cluster::run(async {
        let routers = cluster::TestCluster::default().start_many(8).await;
        for router in &routers {
            router.node.set_demand(vec![peer_wire::DemandWire {
                workspace: "choir".to_owned(),
                requests: 5,
            }]);
        }
        let is_summed = || {
            routers
                .iter()
                .all(|router| router.node.total_demand("choir") == 40)
        };
        assert!(cluster::wait_until(cluster::CONVERGENCE_LIMIT, is_summed).await);
        assert_eq!(routers[0].node.total_demand("other"), 0);
    });
}

#[test]
fn a_paused_router_lists_itself_as_ready_only_after_contact_with_a_peer() {
    cluster::run(async {
        let mut cluster = cluster::TestCluster::default();
        let routers = cluster.start_many(2).await;
        let (first, second) = (&routers[0], &routers[1]);
        cluster.blocked.block(&first.address, &second.address);
        cluster.blocked.block(&second.address, &first.address);
        task::sleep(time::Duration::from_secs(1)).await;
        first.node.pause_gate().close(time::Instant::now());
        let names_itself = || {
            let ready = first.node.ready_members();
            ready.iter().any(|member| member.router == "router-0")
        };
        assert!(!cluster::wait_until(time::Duration::from_secs(2), names_itself).await);
        cluster.blocked.heal();
        assert!(cluster::wait_until(cluster::CONVERGENCE_LIMIT, names_itself).await);
    });
}

#[test]
fn two_routers_per_availability_zone_poll() {
    cluster::run(async {
        let routers = cluster::TestCluster::default().start_many(16).await;
        let pollers = routers.iter().filter(|router| router.node.is_poller());
        assert_eq!(pollers.count(), 2 * cluster::ZONES);
    });
}

/// Hashes for which owners are compared.
const OWNED: std::ops::Range<u64> = 0..64;

/// All routers name the same owners, and each owns something. What a lost router owned passes to
/// others, and the lost one still counts as possibly running.
#[test]
fn routers_agree_on_owners_and_replace_a_lost_one() {
    cluster::run(async {
        let mut routers = cluster::TestCluster::default().start_many(4).await;
        let owners = |router: &cluster::TestRouter| -> Vec<String> {
            let owners = OWNED.map(|seed| router.node.owner_of(seed));
            let owners = owners.map(|owner| owner.expect("routers are ready").peer_address);
            owners.collect()
        };
        let first = owners(&routers[0]);
        for router in &routers {
            assert_eq!(owners(router), first);
            assert!(first.contains(&router.address));
            let is_own =
                OWNED.map(|seed| router.node.owner_of(seed).is_some_and(|owner| owner.is_own));
            let is_named = first.iter().map(|address| *address == router.address);
            assert!(is_own.eq(is_named));
        }
        let lost = routers.pop().expect("a router").kill();
        let is_replaced = || {
            let mut others = routers.iter();
            others.all(|router| {
                let owner = router.node.owner_of(0).expect("routers are ready");
                !owners(router).contains(&lost) && (owner.reachable_share - 0.75).abs() < 1e-9
            })
        };
        assert!(cluster::wait_until(cluster::DETECTION_LIMIT, is_replaced).await);
        let remaining = owners(&routers[0]);
        let kept = first.iter().zip(&remaining);
        let mut kept = kept.filter(|(before, _after)| **before != lost);
        assert!(kept.all(|(before, after)| before == after));
        let now = time::Instant::now();
        assert_eq!(routers[0].node.sharing_routers(now), 4);
    });
}
