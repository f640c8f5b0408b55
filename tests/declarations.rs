//! Tests that declarations are accepted as a whole, or refused with file, line, field,
//! reason and fix.

#![expect(
    clippy::needless_raw_string_hashes,
    reason = "expect-test writes its snapshots with hashes"
)]

mod common;

use expect_test::expect;
use kumquatpulley::version::check;
use kumquatpulley::version::route;

const VALID: &str = "\
services:
  - name: quotes
    model: {name: quote-writer, version: '7', adapter: bows}
    recovery: frugal
    endpoints:
      - {name: q-1, address: '10.0.0.1:8000', zone: nl-west-a, checks_fencing: true}
      - {name: q-2, address: '10.0.0.2:8000', zone: nl-west-b, slots: 8, leaving: true}
  - name: portal
    endpoints:
      - {name: p-1, address: '10.0.1.1:8000', zone: nl-west-a}
workspaces:
  - name: brides
    key_hashes: [2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b]
    max_in_flight: 40
  - name: planners
    key_hashes: []
    max_in_flight: 10
    max_queue: 5
routes:
  - {model: quote-writer, service: quotes}
  - {path: /, service: portal}
  - {path: /stock, service: portal, idempotent_methods: [GET, PUT]}
  - {path: /stock, service: portal, workspaces: [planners], idempotent_methods: []}
";

fn fault_text(yaml: &str) -> String {
    let faults = check::parse("kumquat.yaml", yaml).expect_err("the declarations are invalid");
    let lines = faults.iter().map(ToString::to_string);
    lines.map(|line| line + "\n").collect()
}

fn version() -> route::ActiveVersion {
    route::ActiveVersion::build(3, VALID).expect("the declarations are valid")
}

/// Asserts line, field and message of the fault after `from` in [`VALID`] is replaced by `to`.
fn assert_fault(from: &str, to: &str, expected: &str) {
    assert!(VALID.contains(from), "{from} is in the declarations");
    let fault_text = fault_text(&VALID.replacen(from, to, 1));
    assert_eq!(fault_text, format!("kumquat.yaml:{expected}\n"));
}

common::cases! {
    unknown_key_is_refused: assert_fault(
        "max_queue",
        "max_queued",
        "18: workspaces[1].max_queued: unknown field `max_queued`; use one of `name`, `key_hashes`, `max_in_flight`, `max_queue`",
    );
    duplicate_key_is_refused: assert_fault(
        "    max_in_flight: 40\n",
        "    max_in_flight: 40\n    max_in_flight: 50\n",
        "15: workspaces[0].max_in_flight: given twice; keep one of them",
    );
    non_strict_boolean_is_refused: assert_fault(
        "leaving: true",
        "leaving: yes",
        "7: services[0].endpoints[1].leaving: not a Boolean; use `true` or `false`",
    );
    merge_key_is_refused: assert_fault(
        "services:\n",
        "services:\n  - &base {name: base}\n  - {<<: *base, recovery: fast}\n",
        "3: services[1].<<: merge keys are not read; write the fields out",
    );
    broken_yaml_is_refused: assert_fault(
        "routes:",
        "routes: [",
        "20: document: \"-\" is only valid inside a block; correct the YAML",
    );
    negative_limit_is_refused: assert_fault(
        "max_in_flight: 40",
        "max_in_flight: -1",
        "14: workspaces[0].max_in_flight: not a whole number; use 0 to 4294967295",
    );
    missing_field_is_refused: assert_fault(
        "    max_in_flight: 40\n",
        "",
        "13: workspaces[0]: field `max_in_flight` is missing; add it",
    );
    host_name_as_address_is_refused: assert_fault(
        "10.0.1.1:8000",
        "portal.example:8000",
        "10: services[1].endpoints[0].address: `portal.example:8000` is not an IP address and port; write it as in `10.0.0.7:8000`",
    );
    empty_model_version_is_refused: assert_fault(
        "version: '7'",
        "version: ''",
        "3: services[0].model.version: `` is empty or has spaces; use one word",
    );
    model_route_to_plain_service_is_refused: assert_fault(
        "service: quotes}",
        "service: portal}",
        "20: routes[0].model: service `portal` runs no model; use `path` instead",
    );
    path_route_to_model_service_is_refused: assert_fault(
        "{path: /, service: portal}",
        "{path: /, service: quotes}",
        "21: routes[1].path: service `quotes` runs a model; use `model` instead",
    );
    model_route_with_a_wrong_model_name_is_refused: assert_fault(
        "{model: quote-writer,",
        "{model: quotes,",
        "20: routes[0].model: service `quotes` runs model `quote-writer`, not `quotes`; use that model's name",
    );
    route_with_model_and_path_is_refused: assert_fault(
        "{path: /,",
        "{path: /, model: a,",
        "21: routes[1]: both `model` and `path` are given; keep one of them",
    );
    route_without_model_and_path_is_refused: assert_fault(
        "{path: /,",
        "{",
        "21: routes[1]: neither `model` nor `path` is given; add one of them",
    );
    duplicate_routes_are_refused: assert_fault(
        "path: /,",
        "path: /stock,",
        "22: routes[2]: route `/s/portal/stock for all workspaces` is already used in line 21; use another",
    );
    relative_prefix_is_refused: assert_fault(
        "path: /stock,",
        "path: stock/,",
        "22: routes[2].path: `stock/` is not a path prefix; start with `/`, end without it, as in `/stock`",
    );
    unknown_method_is_refused: assert_fault(
        "[GET, PUT]",
        "[GET, put]",
        "22: routes[2].idempotent_methods[1]: `put` is not a known method; use one of GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS",
    );
}

#[test]
fn valid_declarations_are_read_with_defaults() {
    let set = check::parse("kumquat.yaml", VALID).unwrap();
    assert_eq!(set.services[0].endpoints[0].slots, 64);
    assert_eq!(set.services[0].endpoints[1].slots, 8);
    assert_eq!(set.workspaces[0].max_queue, 256);
    assert_eq!(set.services[0].model.as_ref().unwrap().version, "7");
}

#[test]
fn all_faults_are_reported_at_once() {
    let yaml = VALID
        .replace("name: q-2", "name: q.2")
        .replace("max_in_flight: 10", "max_in_flight: 0")
        .replace("service: quotes}", "service: quote}")
        .replace("[planners]", "[planers]");
    expect![[r#"
        kumquat.yaml:7: services[0].endpoints[1].name: `q.2` is not a name; use 1 to 63 lower-case letters, digits and hyphens
        kumquat.yaml:17: workspaces[1].max_in_flight: 0 is out of range; use 1 to 1000000
        kumquat.yaml:20: routes[0].service: no service is named `quote`; declare it under `services` or name one of them
        kumquat.yaml:23: routes[3].workspaces[0]: no workspace is named `planers`; declare it under `workspaces` or name one of them
    "#]].assert_eq(&fault_text(&yaml));
}

#[test]
fn empty_file_is_refused() {
    expect![[r#"
        kumquat.yaml:1: document: the file declares nothing; write at least `services: []`
    "#]]
    .assert_eq(&fault_text("# nothing yet\n"));
}

#[test]
fn duplicate_names_are_refused() {
    let yaml = VALID
        .replace("name: p-1", "name: q-1")
        .replace("10.0.1.1", "10.0.0.1")
        .replace("name: portal\n", "name: quotes\n")
        .replace("name: planners", "name: brides")
        .replace(
            "key_hashes: []",
            "key_hashes: [2BB80D537B1DA3E38BD30361AA855686BDE0EACD7162FEF6A25FE97BF527A25B]",
        );
    expect![[r#"
        kumquat.yaml:8: services[1].name: service name `quotes` is already used in line 2; use another
        kumquat.yaml:10: services[1].endpoints[0].name: endpoint name `q-1` is already used in line 6; use another
        kumquat.yaml:10: services[1].endpoints[0].address: address `10.0.0.1:8000` is already used in line 6; use another
        kumquat.yaml:15: workspaces[1].name: workspace name `brides` is already used in line 12; use another
        kumquat.yaml:16: workspaces[1].key_hashes[0]: key hash `2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b` is already used in line 13; use another
        kumquat.yaml:21: routes[1].service: no service is named `portal`; declare it under `services` or name one of them
        kumquat.yaml:22: routes[2].service: no service is named `portal`; declare it under `services` or name one of them
        kumquat.yaml:23: routes[3].workspaces[0]: no workspace is named `planners`; declare it under `workspaces` or name one of them
        kumquat.yaml:23: routes[3].service: no service is named `portal`; declare it under `services` or name one of them
    "#]].assert_eq(&fault_text(&yaml));
}

#[test]
fn bearer_key_in_place_of_its_hash_is_refused_and_not_echoed() {
    let yaml = VALID.replace("key_hashes: []", "key_hashes: [secret-key]");
    let fault_text = fault_text(&yaml);
    expect![[r#"
        kumquat.yaml:16: workspaces[1].key_hashes[0]: not a key hash; use the 64 hexadecimal digits of the key's SHA-256
    "#]].assert_eq(&fault_text);
    assert!(!fault_text.contains("secret-key"));
}

#[test]
fn out_of_range_limits_are_refused() {
    let yaml = VALID
        .replace("slots: 8", "slots: 0")
        .replace("max_queue: 5", "max_queue: 2000000");
    expect![[r#"
        kumquat.yaml:7: services[0].endpoints[1].slots: 0 is out of range; use 1 to 65536
        kumquat.yaml:18: workspaces[1].max_queue: 2000000 is out of range; use 1 to 1000000
    "#]]
    .assert_eq(&fault_text(&yaml));
}

#[test]
fn a_key_belongs_to_one_workspace() {
    let version = version();
    assert_eq!(
        route::hash_key("sesame"),
        "d0c04f4b1951e4aeaaec8223ed2039e542f3aae805a6fa7f6d794e5afff5d272"
    );
    assert_eq!(version.workspace_of("key").map(|it| it.name.as_str()), None);
    let yaml = VALID.replace(
        "key_hashes: []",
        &format!("key_hashes: [{}]", route::hash_key("k")),
    );
    let version = route::ActiveVersion::build(4, &yaml).unwrap();
    assert_eq!(version.workspace_of("k").unwrap().name, "planners");
    assert_eq!(version.workspace_of("k ").map(|it| it.name.as_str()), None);
}

#[test]
fn a_model_routes_to_its_service() {
    let version = version();
    let service = version.model_route("brides", "quote-writer").unwrap();
    assert_eq!(service.name, "quotes");
    assert_eq!(version.model_route("brides", "quotes"), None);
    assert_eq!(version.model_route("nobody", "quote-writer"), None);
}

#[test]
fn the_longest_prefix_at_a_segment_boundary_wins() {
    let version = version();
    let idempotent = |workspace, method, path| {
        let route = version.path_route(workspace, "portal", method, path);
        route.unwrap().idempotent
    };
    assert!(idempotent("brides", "PUT", "/stock"));
    assert!(idempotent("brides", "PUT", "/stock/9?hall=3"));
    assert!(!idempotent("brides", "PUT", "/stocks"));
    assert!(idempotent("brides", "GET", "/"));
    assert!(idempotent("brides", "HEAD", "/other"));
    assert!(!idempotent("brides", "POST", "/other"));
}

#[test]
fn a_route_limited_to_the_workspace_takes_precedence() {
    let version = version();
    let route = version
        .path_route("planners", "portal", "PUT", "/stock")
        .unwrap();
    assert!(!route.idempotent);
    assert_eq!(route.service.name, "portal");
}

#[test]
fn a_route_limited_to_workspaces_is_unavailable_to_others() {
    let yaml = VALID.replace(
        "{model: quote-writer, service: quotes}",
        "{model: quote-writer, service: quotes, workspaces: [brides]}",
    );
    let version = route::ActiveVersion::build(4, &yaml).unwrap();
    assert!(version.model_route("brides", "quote-writer").is_some());
    assert!(version.model_route("planners", "quote-writer").is_none());
}

#[test]
fn a_service_without_a_matching_route_is_unreachable() {
    let yaml = VALID.replace("  - {path: /, service: portal}\n", "");
    let version = route::ActiveVersion::build(4, &yaml).unwrap();
    assert!(
        version
            .path_route("brides", "portal", "GET", "/other")
            .is_none()
    );
    assert!(version.path_route("brides", "quotes", "GET", "/").is_none());
}

#[test]
fn the_example_in_the_reference_documentation_is_valid() {
    const PAGE: &str = include_str!("../docs/DECLARATIONS.md");
    let start = PAGE.find("```yaml\n").unwrap() + "```yaml\n".len();
    let length = PAGE[start..].find("```").unwrap();
    let version = route::ActiveVersion::build(1, &PAGE[start..start + length]).unwrap();
    assert_eq!(version.workspace_of("sesame").unwrap().name, "planners");
    let route = version
        .path_route("planners", "portal", "PUT", "/stock/9")
        .unwrap();
    assert!(route.idempotent);
}
