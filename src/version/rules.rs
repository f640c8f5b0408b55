//! Validation rules for parsed declarations.

use std::collections;
use std::net;

use crate::version::check;
use crate::version::declaration;

/// Maximum length of service, endpoint and workspace names.
pub const MAX_NAME_BYTES: usize = 63;

/// Maximum number of slots of an endpoint.
pub const MAX_SLOTS: u32 = 65_536;

/// Maximum `max_in_flight` of a workspace.
pub const MAX_IN_FLIGHT: u32 = 1_000_000;

/// Maximum `max_queue` of a workspace.
pub const MAX_QUEUE: u32 = 1_000_000;

/// Length of a hexadecimal SHA-256 key hash.
pub const KEY_HASH_DIGITS: usize = 64;

/// HTTP methods that a route may list as idempotent.
pub const KNOWN_METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/// Adds a fault for each rule violation in `set`.
pub fn check_set(set: &declaration::DeclaredSet, faults: &mut check::FaultList<'_>) {
    check_services(&set.services, faults);
    check_workspaces(&set.workspaces, faults);
    for (index, route) in set.routes.iter().enumerate() {
        check_route(set, route, &format!("routes[{index}]"), faults);
    }
    check_duplicate_routes(&set.routes, faults);
}

type SeenNames = collections::HashMap<String, String>;

fn check_services(services: &[declaration::DeclaredService], faults: &mut check::FaultList<'_>) {
    let mut names = SeenNames::new();
    let mut endpoints = SeenNames::new();
    let mut addresses = SeenNames::new();
    for (index, service) in services.iter().enumerate() {
        let path = format!("services[{index}]");
        check_name(&service.name, &format!("{path}.name"), faults);
        faults.add_if_seen(
            &mut names,
            &service.name,
            &format!("{path}.name"),
            "service name",
        );
        if let Some(model) = &service.model {
            check_model(model, &format!("{path}.model"), faults);
        }
        for (index, endpoint) in service.endpoints.iter().enumerate() {
            let path = format!("{path}.endpoints[{index}]");
            check_endpoint(endpoint, &path, faults);
            let name_path = format!("{path}.name");
            faults.add_if_seen(&mut endpoints, &endpoint.name, &name_path, "endpoint name");
            let address_path = format!("{path}.address");
            faults.add_if_seen(&mut addresses, &endpoint.address, &address_path, "address");
        }
    }
}

fn check_name(name: &str, path: &str, faults: &mut check::FaultList<'_>) {
    let is_allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    let is_length_valid = !name.is_empty() && name.len() <= MAX_NAME_BYTES;
    if is_length_valid && name.bytes().all(is_allowed) {
        return;
    }
    let message = format!(
        "`{name}` is not a name; use 1 to {MAX_NAME_BYTES} lower-case letters, digits and hyphens"
    );
    faults.add(path, &message);
}

fn check_word(word: &str, path: &str, faults: &mut check::FaultList<'_>) {
    if !word.is_empty() && !word.contains(char::is_whitespace) {
        return;
    }
    faults.add(
        path,
        &format!("`{word}` is empty or has spaces; use one word"),
    );
}

fn check_model(model: &declaration::DeclaredModel, path: &str, faults: &mut check::FaultList<'_>) {
    check_word(&model.name, &format!("{path}.name"), faults);
    check_word(&model.version, &format!("{path}.version"), faults);
    if let Some(adapter) = &model.adapter {
        check_word(adapter, &format!("{path}.adapter"), faults);
    }
}

fn check_endpoint(
    endpoint: &declaration::DeclaredEndpoint,
    path: &str,
    faults: &mut check::FaultList<'_>,
) {
    check_name(&endpoint.name, &format!("{path}.name"), faults);
    check_address(&endpoint.address, &format!("{path}.address"), faults);
    check_word(&endpoint.zone, &format!("{path}.zone"), faults);
    check_limit(endpoint.slots, MAX_SLOTS, &format!("{path}.slots"), faults);
}

fn check_address(address: &str, path: &str, faults: &mut check::FaultList<'_>) {
    let parsed = address.parse::<net::SocketAddr>();
    let is_usable =
        |address: &net::SocketAddr| address.port() != 0 && !address.ip().is_unspecified();
    if parsed.as_ref().is_ok_and(is_usable) {
        return;
    }
    let message =
        format!("`{address}` is not an IP address and port; write it as in `10.0.0.7:8000`");
    faults.add(path, &message);
}

fn check_limit(limit: u32, max: u32, path: &str, faults: &mut check::FaultList<'_>) {
    if (1..=max).contains(&limit) {
        return;
    }
    faults.add(path, &format!("{limit} is out of range; use 1 to {max}"));
}

fn check_workspaces(
    workspaces: &[declaration::DeclaredWorkspace],
    faults: &mut check::FaultList<'_>,
) {
    let mut names = SeenNames::new();
    let mut hashes = SeenNames::new();
    for (index, workspace) in workspaces.iter().enumerate() {
        let path = format!("workspaces[{index}]");
        let name_path = format!("{path}.name");
        check_name(&workspace.name, &name_path, faults);
        faults.add_if_seen(&mut names, &workspace.name, &name_path, "workspace name");
        for (index, hash) in workspace.key_hashes.iter().enumerate() {
            let path = format!("{path}.key_hashes[{index}]");
            if !is_hash(hash) {
                faults.add(&path, &hash_message());
                continue;
            }
            faults.add_if_seen(&mut hashes, &hash.to_ascii_lowercase(), &path, "key hash");
        }
        let in_flight_path = format!("{path}.max_in_flight");
        check_limit(
            workspace.max_in_flight,
            MAX_IN_FLIGHT,
            &in_flight_path,
            faults,
        );
        let queue_path = format!("{path}.max_queue");
        check_limit(workspace.max_queue, MAX_QUEUE, &queue_path, faults);
    }
}

fn is_hash(hash: &str) -> bool {
    hash.len() == KEY_HASH_DIGITS && hash.bytes().all(|byte| byte.is_ascii_hexdigit())
}

/// Fault message that omits the value, as operators sometimes paste the key itself.
fn hash_message() -> String {
    format!("not a key hash; use the {KEY_HASH_DIGITS} hexadecimal digits of the key's SHA-256")
}

fn check_route(
    set: &declaration::DeclaredSet,
    route: &declaration::DeclaredRoute,
    path: &str,
    faults: &mut check::FaultList<'_>,
) {
    check_route_workspaces(set, route, path, faults);
    check_route_methods(route, path, faults);
    if let Some(prefix) = &route.path {
        check_prefix(prefix, &format!("{path}.path"), faults);
    }
    let service = set.services.iter().find(|it| it.name == route.service);
    let Some(service) = service else {
        let message = format!(
            "no service is named `{}`; declare it under `services` or name one of them",
            route.service
        );
        faults.add(&format!("{path}.service"), &message);
        return;
    };
    check_route_target(service, route, path, faults);
}

fn check_route_target(
    service: &declaration::DeclaredService,
    route: &declaration::DeclaredRoute,
    path: &str,
    faults: &mut check::FaultList<'_>,
) {
    let name = &service.name;
    match (&route.model, &route.path, &service.model) {
        (Some(_), Some(_), _) => {
            faults.add(path, "both `model` and `path` are given; keep one of them");
        }
        (None, None, _) => {
            faults.add(path, "neither `model` nor `path` is given; add one of them");
        }
        (Some(_), None, None) => {
            let message = format!("service `{name}` runs no model; use `path` instead");
            faults.add(&format!("{path}.model"), &message);
        }
        (None, Some(_), Some(_)) => {
            let message = format!("service `{name}` runs a model; use `model` instead");
            faults.add(&format!("{path}.path"), &message);
        }
        (Some(model), None, Some(served)) if *model != served.name => {
            let message = format!(
                "service `{name}` runs model `{}`, not `{model}`; use that model's name",
                served.name
            );
            faults.add(&format!("{path}.model"), &message);
        }
        (Some(_), None, Some(_)) | (None, Some(_), None) => {}
    }
}

fn check_route_workspaces(
    set: &declaration::DeclaredSet,
    route: &declaration::DeclaredRoute,
    path: &str,
    faults: &mut check::FaultList<'_>,
) {
    let mut names = SeenNames::new();
    for (index, name) in route.workspaces.iter().enumerate() {
        let path = format!("{path}.workspaces[{index}]");
        faults.add_if_seen(&mut names, name, &path, "workspace");
        if set.workspaces.iter().any(|it| it.name == *name) {
            continue;
        }
        let message = format!(
            "no workspace is named `{name}`; declare it under `workspaces` or name one of them"
        );
        faults.add(&path, &message);
    }
}

fn check_route_methods(
    route: &declaration::DeclaredRoute,
    path: &str,
    faults: &mut check::FaultList<'_>,
) {
    let Some(methods) = &route.idempotent_methods else {
        return;
    };
    let path = format!("{path}.idempotent_methods");
    if route.path.is_none() {
        faults.add(&path, "only a path route has methods; remove this field");
    }
    for (index, method) in methods.iter().enumerate() {
        if KNOWN_METHODS.contains(&method.as_str()) {
            continue;
        }
        let known = KNOWN_METHODS.join(", ");
        let message = format!("`{method}` is not a known method; use one of {known}");
        faults.add(&format!("{path}[{index}]"), &message);
    }
}

fn check_prefix(prefix: &str, path: &str, faults: &mut check::FaultList<'_>) {
    if prefix == "/" {
        return;
    }
    let is_invalid_segment = |segment: &str| matches!(segment, "" | "." | "..");
    let is_invalid_char =
        |letter: char| letter.is_whitespace() || matches!(letter, '?' | '#' | '%');
    let segments = prefix.strip_prefix('/');
    let is_valid = segments
        .is_some_and(|it| !it.split('/').any(is_invalid_segment) && !it.contains(is_invalid_char));
    if is_valid {
        return;
    }
    let message =
        format!("`{prefix}` is not a path prefix; start with `/`, end without it, as in `/stock`");
    faults.add(path, &message);
}

fn check_duplicate_routes(
    routes: &[declaration::DeclaredRoute],
    faults: &mut check::FaultList<'_>,
) {
    let mut seen = SeenNames::new();
    for (index, route) in routes.iter().enumerate() {
        let path = format!("routes[{index}]");
        for key in route_keys(route) {
            faults.add_if_seen(&mut seen, &key, &path, "route");
        }
    }
}

/// Returns keys that identify the route, one for each of its workspaces; two routes with an equal
/// key conflict.
fn route_keys(route: &declaration::DeclaredRoute) -> Vec<String> {
    let target = match (&route.model, &route.path) {
        (Some(model), None) => format!("model {model}"),
        (None, Some(path)) => format!("/s/{}{path}", route.service),
        _ => return Vec::new(),
    };
    if route.workspaces.is_empty() {
        return vec![format!("{target} for all workspaces")];
    }
    let mut names = route.workspaces.clone();
    names.sort();
    names.dedup();
    let key = |name: &String| format!("{target} for workspace {name}");
    names.iter().map(key).collect()
}
