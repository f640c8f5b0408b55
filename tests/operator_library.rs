//! Tests that the builders generate the expected YAML, which is valid and parses back unchanged.

#![expect(
    clippy::needless_raw_string_hashes,
    reason = "expect-test writes its snapshots with hashes"
)]

#[path = "../examples/declare.rs"]
#[expect(dead_code, reason = "main runs in the example program alone")]
mod example;

use expect_test::expect;
use kumquatpulley::version::check;
use kumquatpulley::version::declaration;
use kumquatpulley::version::declare;
use kumquatpulley::version::diff;
use proptest::prelude::*;

fn built() -> declare::SetBuilder {
    let quotes = declare::ServiceBuilder::model("quotes", "quote-writer", "7")
        .adapter("bows")
        .recovery(declaration::RecoveryKind::Frugal)
        .endpoint(declare::EndpointBuilder::new("q-1", "10.0.0.1:8000", "a").checks_fencing());
    let portal = declare::ServiceBuilder::plain("portal")
        .endpoint(declare::EndpointBuilder::new("p-1", "10.0.1.1:8000", "a").slots(8))
        .endpoint(declare::EndpointBuilder::new("p-2", "10.0.1.2:8000", "b").leaving());
    let brides = declare::WorkspaceBuilder::new("brides", 40)
        .key("sesame")
        .max_queue(5);
    declare::SetBuilder::new()
        .service(quotes)
        .service(portal)
        .workspace(brides)
        .route(declare::RouteBuilder::model("quote-writer", "quotes").workspace("brides"))
        .route(declare::RouteBuilder::path("/stock", "portal").idempotent_methods(["GET"]))
}

fn lines_of<T: std::fmt::Display>(items: &[T]) -> String {
    let lines = items.iter().map(|item| item.to_string() + "\n");
    lines.collect()
}

#[test]
fn builders_generate_the_expected_yaml() {
    expect![[r#"
        services:
        - name: quotes
          model:
            name: quote-writer
            version: "7"
            adapter: bows
          recovery: frugal
          endpoints:
          - name: q-1
            address: 10.0.0.1:8000
            zone: a
            slots: 64
            checks_fencing: true
            leaving: false
        - name: portal
          recovery: fast
          endpoints:
          - name: p-1
            address: 10.0.1.1:8000
            zone: a
            slots: 8
            checks_fencing: false
            leaving: false
          - name: p-2
            address: 10.0.1.2:8000
            zone: b
            slots: 64
            checks_fencing: false
            leaving: true
        workspaces:
        - name: brides
          key_hashes:
          - d0c04f4b1951e4aeaaec8223ed2039e542f3aae805a6fa7f6d794e5afff5d272
          max_in_flight: 40
          max_queue: 5
        routes:
        - model: quote-writer
          service: quotes
          workspaces:
          - brides
        - path: /stock
          service: portal
          idempotent_methods:
          - GET
    "#]]
    .assert_eq(&built().to_yaml().unwrap());
}

#[test]
fn faults_of_built_declarations_refer_to_the_generated_lines() {
    let builder = built().route(declare::RouteBuilder::path("stock", "nowhere"));
    let faults = builder.to_yaml().unwrap_err();
    let output = lines_of(&faults);
    expect![[r#"
        declarations:45: routes[2].path: `stock` is not a path prefix; start with `/`, end without it, as in `/stock`
        declarations:46: routes[2].service: no service is named `nowhere`; declare it under `services` or name one of them
    "#]].assert_eq(&output);
}

#[test]
fn the_example_generates_valid_declarations() {
    let yaml = example::declarations().to_yaml().unwrap();
    let set = check::parse("example", &yaml).unwrap();
    assert_eq!(set.services.len(), 2);
    assert_eq!(set.routes.len(), 4);
}

#[test]
fn a_diff_lists_changed_items_and_fields() {
    let before = check::parse("before", &built().to_yaml().unwrap()).unwrap();
    let mut after = before.clone();
    after.services[1].endpoints[0].slots = 9;
    after.services[1].endpoints.remove(1);
    after.services[0].model.as_mut().unwrap().version = "8".to_owned();
    after.workspaces[0].max_in_flight = 50;
    after.workspaces[0].name = "planners".to_owned();
    after.routes[1].idempotent_methods = None;
    let output = |after| lines_of(&diff::compare(&before, after));
    expect![[r#"
        ~ service quotes: model {"adapter":"bows","name":"quote-writer","version":"7"} -> {"adapter":"bows","name":"quote-writer","version":"8"}
        ~ endpoint p-1: slots 8 -> 9
        - endpoint p-2
        - workspace brides
        + workspace planners
        ~ route /s/portal/stock: idempotent_methods ["GET"] -> null
    "#]].assert_eq(&output(&after));
    assert_eq!(output(&before), "");
}

/// Generates words, some of which YAML parsers could take for a value other than a string.
fn word() -> impl Strategy<Value = String> {
    prop_oneof![
        "[a-zA-Z0-9:#&*!|>'\"%@`{}\\[\\],?=_.~+-]{1,12}",
        "[0-9]{1,5}",
        "[0-9]{1,3}\\.[0-9]{1,3}",
        Just("true".to_owned()),
        Just("no".to_owned()),
        Just("null".to_owned()),
        Just("~".to_owned()),
        Just("0x1F".to_owned()),
        Just("1e3".to_owned()),
        Just("2026-12-04".to_owned()),
    ]
}

fn service(index: usize) -> impl Strategy<Value = declaration::DeclaredService> {
    let model = proptest::option::of((word(), word(), proptest::option::of(word())));
    let endpoints = proptest::collection::vec((word(), 1_u32..100, any::<bool>()), 0..4);
    (model, endpoints, any::<bool>()).prop_map(move |(model, endpoints, fast)| {
        let mut builder = match model {
            None => declare::ServiceBuilder::plain(format!("s-{index}")),
            Some((name, version, adapter)) => {
                let builder = declare::ServiceBuilder::model(format!("s-{index}"), name, version);
                adapter
                    .into_iter()
                    .fold(builder, declare::ServiceBuilder::adapter)
            }
        };
        if !fast {
            builder = builder.recovery(declaration::RecoveryKind::Frugal);
        }
        for (number, (zone, slots, leaving)) in endpoints.into_iter().enumerate() {
            let name = format!("e-{index}-{number}");
            let address = format!("10.0.{index}.{}:8000", number + 1);
            let endpoint = declare::EndpointBuilder::new(name, address, zone).slots(slots);
            let endpoint = if leaving {
                endpoint.leaving()
            } else {
                endpoint
            };
            builder = builder.endpoint(endpoint);
        }
        declare::SetBuilder::new()
            .service(builder)
            .into_set()
            .services
            .remove(0)
    })
}

fn declared_set() -> impl Strategy<Value = declaration::DeclaredSet> {
    let services = (0..4_usize).map(service).collect::<Vec<_>>();
    let keys = proptest::collection::vec("[ -~]{1,20}", 0..3);
    (services, keys, 1_u32..1000).prop_map(|(services, keys, limit)| {
        let keys: std::collections::BTreeSet<_> = keys.into_iter().collect();
        let workspace = declare::WorkspaceBuilder::new("w", limit);
        let workspace = keys.iter().fold(workspace, |it, key| it.key(key));
        let mut builder = declare::SetBuilder::new().workspace(workspace);
        for service in &services {
            let route = match &service.model {
                Some(_) => continue,
                None => declare::RouteBuilder::path("/", &service.name).workspace("w"),
            };
            builder = builder.route(route);
        }
        let mut set = builder.into_set();
        set.services = services;
        set
    })
}

proptest! {
    #[test]
    fn printed_declarations_parse_back_unchanged(set in declared_set()) {
        let yaml = declare::print(&set).unwrap();
        let read = check::parse("printed", &yaml);
        prop_assert_eq!(read, Ok(set), "{}", yaml);
    }

    #[test]
    fn a_diff_is_empty_exactly_for_equal_sets(
        before in declared_set(),
        after in declared_set(),
    ) {
        let changes = diff::compare(&before, &after);
        prop_assert_eq!(changes.is_empty(), before == after);
        prop_assert_eq!(changes.len(), diff::compare(&after, &before).len());
    }
}
