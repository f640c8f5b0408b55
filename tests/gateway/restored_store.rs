//! The store is away for a moment and comes back from a copy that is some seconds old.

use std::net;
use std::thread;
use std::time;

use kumquatpulley::platform::store_wire;
use kumquatpulley::process::gateway::block_list;
use kumquatpulley::process::gateway::rows::RowCodec as _;
use kumquatpulley::process::telemetry::timeline;
use kumquatpulley::request::relay::request_feature;

use crate::common;
use crate::support::system::System;
use crate::support::{caller, fakes, router};

/// Time in which a change must be in force at all gateways, as the platform's settings define it.
const CHANGE_BOUND: time::Duration = time::Duration::from_secs(2);

/// Time after which the readers of the store have seen all that was written.
const SETTLE_TIME: time::Duration = time::Duration::from_millis(1_500);

/// Changes of endpoint entries after the copy, and again after the restore.
const ENTRY_CHANGES: usize = 12;

/// Time in which the gateways write again what a copy lacks.
const REWRITE_BOUND: time::Duration = time::Duration::from_secs(5);

fn status(ip: net::IpAddr, id: &str, key: &str) -> u16 {
    let request = caller::request("/once/1", id, key);
    let answer = caller::exchange((ip, 8227).into(), request.as_bytes());
    answer.map_or(0, |answer| answer.head.status)
}

/// Changes both entries and back, so that the store's version rises.
fn change_entries(system: &System) {
    for _change in 0..ENTRY_CHANGES / 2 {
        for (endpoint, zone) in [(&system.first, "z1"), (&system.second, "z2")] {
            let entry = endpoint.entry("m", zone, "ready");
            system.store.put("servers", &endpoint.name, &entry);
        }
    }
}

/// The store gives the versions that the readers have seen out again, the first of them for a new
/// configuration.
fn a_change_after_an_unnoticed_restore_is_in_force_in_time() {
    let system = System::start(3);
    let copy = system.store.copy();
    change_entries(&system);
    thread::sleep(SETTLE_TIME);
    let config = System::config(2, r#""k2""#);
    let entries = [
        ("e1", system.first.entry("m", "z1", "ready")),
        ("e2", system.second.entry("m", "z2", "ready")),
    ];
    let mut changes = vec![("op", "config", config.as_bytes())];
    for (name, entry) in entries.iter().cycle().take(2 * ENTRY_CHANGES) {
        changes.push(("servers", *name, entry));
    }
    assert!(system.store.restore_unnoticed("op", &copy, &changes));
    thread::sleep(CHANGE_BOUND);
    for gateway in &system.gateways {
        let status = status(gateway.ip, "r1", "k2");
        assert_eq!(status, 200, "{}", system.logs());
    }
}

/// Three gateways that know version 2, with the key `k2`, and a store that was restored to version 1,
/// with the key `k`.
fn start_with_older_configuration() -> System {
    let system = System::start(3);
    let copy = system.store.copy();
    system.put_config(2, r#""k2""#);
    thread::sleep(SETTLE_TIME);
    system.store.restore(&copy, &[]);
    system
}

/// The copy holds an older configuration, with a key that was taken away. Gateways keep the newer one,
/// and do not take the older one for a sign that theirs is still the newest.
fn an_older_configuration_neither_returns_nor_confirms_the_newer_one() {
    let system = start_with_older_configuration();
    let restored = time::Instant::now();
    while restored.elapsed() < time::Duration::from_secs(6) {
        for gateway in &system.gateways {
            assert_ne!(status(gateway.ip, "r1", "k"), 200, "{}", system.logs());
            // Keys end after four seconds without news of the configuration.
            if time::Duration::from_millis(4_250) < restored.elapsed() {
                let status = status(gateway.ip, "r2", "k2");
                assert_eq!(status, 503, "{}", system.logs());
            }
        }
        thread::sleep(time::Duration::from_millis(100));
    }
    system.put_config(2, r#""k2""#);
    thread::sleep(CHANGE_BOUND);
    for gateway in &system.gateways {
        assert_eq!(status(gateway.ip, "r3", "k2"), 200, "{}", system.logs());
        assert_eq!(status(gateway.ip, "r4", "k"), 401, "{}", system.logs());
    }
}

/// A gateway starts while the store holds an older configuration, with a key that was taken away. The
/// others still know the newer one.
fn a_gateway_that_starts_does_not_bring_back_an_older_configuration() {
    let mut system = start_with_older_configuration();
    for index in 0..system.gateways.len() {
        let killed = system.kill(index);
        system.start_again(index, killed);
        let started = time::Instant::now();
        while started.elapsed() < time::Duration::from_secs(2) {
            let status = status(killed.0, "r1", "k");
            assert_ne!(status, 200, "{:?}; {}", started.elapsed(), system.logs());
        }
    }
}

/// A gateway that starts reaches no other one, so it takes the older configuration of the store. The
/// newer one that it gets from the others later was not confirmed since the restore.
fn an_older_configuration_does_not_confirm_the_newer_one_of_a_peer() {
    let mut system = start_with_older_configuration();
    let restored = time::Instant::now();
    let killed = system.kill(0);
    for gateway in &system.gateways {
        router::signal(gateway, rustix::process::Signal::STOP);
    }
    thread::sleep(time::Duration::from_secs(2));
    system.start_again(0, killed);
    system.wait_for("the older configuration is in force", || {
        status(killed.0, "r1", "k") == 200
    });
    for gateway in &system.gateways[1..] {
        router::signal(gateway, rustix::process::Signal::CONT);
    }
    system.wait_for("the newer configuration is in force", || {
        status(killed.0, "r2", "k") != 200
    });
    // Keys end after four seconds without news of the configuration.
    while restored.elapsed() < time::Duration::from_millis(7_500) {
        let status = status(killed.0, "r3", "k2");
        let is_over = time::Duration::from_millis(4_250) < restored.elapsed();
        assert!(
            !is_over || status == 503,
            "{status} {:?}; {}",
            restored.elapsed(),
            system.logs()
        );
        thread::sleep(time::Duration::from_millis(50));
    }
}

/// An endpoint registered after the copy. Its entry is back after a while, and until then it is the
/// only one that takes requests.
fn an_endpoint_that_the_copy_lacks_is_used_until_it_registers_again() {
    let system = System::start(2);
    system.store.remove("servers", "e2");
    let copy = system.store.copy();
    system
        .store
        .put("servers", "e2", &system.second.entry("m", "z2", "ready"));
    change_entries(&system);
    thread::sleep(SETTLE_TIME);
    system.first.set_mode(fakes::EndpointMode::Full);
    assert!(system.store.restore_unnoticed("servers", &copy, &[]));
    let restored = time::Instant::now();
    while restored.elapsed() < time::Duration::from_millis(1_700) {
        for gateway in &system.gateways {
            let status = status(gateway.ip, "r1", "k");
            assert_eq!(status, 200, "{:?}; {}", restored.elapsed(), system.logs());
        }
        thread::sleep(time::Duration::from_millis(50));
    }
}

/// An endpoint left after the copy was made, and its entry went. The copy has it as ready.
fn an_endpoint_that_left_is_not_used_again() {
    let system = System::start(2);
    let copy = system.store.copy();
    system
        .store
        .put("servers", "e2", &system.second.entry("m", "z2", "draining"));
    thread::sleep(SETTLE_TIME);
    system.store.remove("servers", "e2");
    thread::sleep(SETTLE_TIME);
    // Requests go to the one that left if it counts as ready.
    system.first.set_mode(fakes::EndpointMode::Full);
    system.store.restore(&copy, &[]);
    let restored = time::Instant::now();
    while restored.elapsed() < time::Duration::from_secs(3) {
        for gateway in &system.gateways {
            status(gateway.ip, "r1", "k");
        }
        thread::sleep(time::Duration::from_millis(30));
    }
    let late = system.second.received();
    let late = late.iter().filter(|request| restored < request.at).count();
    assert_eq!(late, 0, "{}", system.logs());
}

/// The copy was made before the routers wrote their addresses.
fn router_addresses_are_written_again() {
    let system = System::start(3);
    let copy = system.store.copy();
    system.wait_for("an address is written", || {
        !system.store.keys("routers").is_empty()
    });
    let written = system.store.keys("routers");
    system.store.restore(&copy, &[]);
    let restored = time::Instant::now();
    while system.store.keys("routers") != written {
        assert!(restored.elapsed() < REWRITE_BOUND, "{}", system.logs());
        thread::sleep(time::Duration::from_millis(50));
    }
}

/// The copy was made before a prompt was blocked.
fn blocked_prompts_are_written_again() {
    let system = System::start(2);
    let copy = system.store.copy();
    let hour_ms = 3_600_000;
    let until_ms = timeline::wall_micros() / 1_000 + hour_ms;
    let entry = block_list::BlockedRequest {
        features: vec![request_feature::RequestFeature(7)],
        until_ms,
        count: 1,
    };
    let value = store_wire::StoreCodec.encode_blocked_request(&entry);
    system.store.put("blocked_prompts", &entry.key(), &value);
    thread::sleep(SETTLE_TIME);
    system.store.restore(&copy, &[]);
    let restored = time::Instant::now();
    while system.store.keys("blocked_prompts").is_empty() {
        assert!(restored.elapsed() < REWRITE_BOUND, "{}", system.logs());
        thread::sleep(time::Duration::from_millis(50));
    }
}

common::cases! {
    blocked_prompts: blocked_prompts_are_written_again();
    reissued_versions: a_change_after_an_unnoticed_restore_is_in_force_in_time();
    older_configuration: an_older_configuration_neither_returns_nor_confirms_the_newer_one();
    older_configuration_at_start: a_gateway_that_starts_does_not_bring_back_an_older_configuration();
    older_configuration_before_newer: an_older_configuration_does_not_confirm_the_newer_one_of_a_peer();
    endpoint_not_in_copy: an_endpoint_that_the_copy_lacks_is_used_until_it_registers_again();
    endpoint_that_left: an_endpoint_that_left_is_not_used_again();
    router_addresses: router_addresses_are_written_again();
}
