//! What control costs a router: processor time, bytes and memory as routers, workspaces, leaving
//! endpoints and versions grow, over h2 on loopback in one process.
//!
//! Prints one JSON object; ends with status 1 when a figure of a running group exceeds its bound.

use std::env;
use std::fs;
use std::process;
use std::time;

use async_std::task;

mod crowd;
mod declared;
mod group;

/// Processor time of a router, as a part of one core.
const CORE_BOUND: f64 = 0.031;
/// Bytes that a router sends and receives, a second.
const BYTES_BOUND: f64 = 5_000.0;
/// Resident memory of a router.
const MEMORY_BOUND: f64 = 64.0 * 1024.0 * 1024.0;
/// Time until a version is in force everywhere.
const VERSION_BOUND: time::Duration = time::Duration::from_secs(5);
/// Time until a silent router is dead everywhere, among up to sixteen.
const DEATH_BOUND: time::Duration = time::Duration::from_secs(3);

const WINDOW: time::Duration = time::Duration::from_secs(8);
const ROUTER_COUNTS: [usize; 5] = [4, 16, 32, 64, 128];
const WORKSPACE_COUNTS: [usize; 3] = [1, 50, 200];
const LEAVING_COUNTS: [usize; 3] = [0, 1_000, 10_000];
const ENDPOINT_COUNTS: [usize; 3] = [40, 1_000, 10_000];
const CROWD_COUNTS: [usize; 3] = [700, 1_400, 2_800];
const SCENARIO_FLAG: &str = "--scenario";
/// Time for facts that were told at once to reach everybody, and for their echoes to end.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(6);
const TODAY_ROUTERS: usize = 16;
const TODAY_ENDPOINTS: usize = 40;
const TODAY_WORKSPACES: usize = 10;
const TICKS_PER_SECOND: f64 = 100.0;
const PAGE_BYTES: f64 = 4096.0;

/// What one router of a group cost.
#[derive(Clone, Copy, Debug)]
struct ControlCost {
    core: f64,
    bytes: f64,
    memory: f64,
}

/// What a scenario found.
#[derive(Debug, Default)]
struct ScenarioReport {
    figures: Vec<serde_json::Value>,
    misses: Vec<String>,
}

/// Runs one scenario when it is named, or else each in a process of its own, so that the memory of one
/// is not taken for that of the next.
fn main() {
    let named = env::args()
        .skip_while(|argument| argument != SCENARIO_FLAG)
        .nth(1);
    let summary = match named {
        Some(name) => run_scenario(&name),
        None => run_all(),
    };
    println!("{summary}");
    if summary["misses"] != serde_json::json!([]) {
        process::exit(1);
    }
}

fn run_all() -> serde_json::Value {
    let kinds = [
        ("routers", ROUTER_COUNTS.as_slice()),
        ("workspaces", WORKSPACE_COUNTS.as_slice()),
        ("leaving", LEAVING_COUNTS.as_slice()),
        ("version", ENDPOINT_COUNTS.as_slice()),
        ("declared", ENDPOINT_COUNTS.as_slice()),
        ("crowd", CROWD_COUNTS.as_slice()),
    ];
    let mut report = ScenarioReport::default();
    for (kind, counts) in kinds {
        for count in counts {
            run_child(&format!("{kind}:{count}"), &mut report);
        }
    }
    serde_json::json!({
        "bench": "control",
        "bounds": {
            "core": CORE_BOUND,
            "bytes_per_second": BYTES_BOUND,
            "memory_bytes": MEMORY_BOUND,
            "version_seconds": VERSION_BOUND.as_secs_f64(),
            "death_seconds": DEATH_BOUND.as_secs_f64(),
        },
        "figures": report.figures,
        "misses": report.misses,
    })
}

fn run_child(scenario: &str, report: &mut ScenarioReport) {
    let program = env::current_exe().expect("own program not found");
    let mut command = process::Command::new(program);
    let output = command.args([SCENARIO_FLAG, scenario]).output();
    let output = output.expect("scenario did not start");
    let Ok(part) = serde_json::from_slice::<serde_json::Value>(&output.stdout) else {
        let cause = String::from_utf8_lossy(&output.stderr).into_owned();
        report
            .misses
            .push(format!("{scenario} ended without figures: {cause}"));
        return;
    };
    report
        .figures
        .extend(part["figures"].as_array().into_iter().flatten().cloned());
    let misses = part["misses"].as_array().into_iter().flatten();
    report
        .misses
        .extend(misses.filter_map(|miss| miss.as_str().map(str::to_owned)));
}

fn run_scenario(scenario: &str) -> serde_json::Value {
    let (kind, count) = scenario
        .split_once(':')
        .expect("scenario is <kind>:<count>");
    let count = count.parse().expect("count is a number");
    let mut report = ScenarioReport::default();
    task::block_on(async {
        match kind {
            "routers" => routers(count, &mut report).await,
            "workspaces" => workspaces(count, &mut report).await,
            "leaving" => leaving(count, &mut report).await,
            "version" => versions(count, &mut report).await,
            "declared" => report.figures.push(declared::measure(count, WINDOW).await),
            "crowd" => report.figures.push(crowd::measure(count, WINDOW).await),
            _ => report.misses.push(format!("{kind} is no scenario")),
        }
    });
    serde_json::json!({"figures": report.figures, "misses": report.misses})
}

async fn workspaces(count: usize, report: &mut ScenarioReport) {
    let group = group::start(TODAY_ROUTERS, count).await;
    let name = format!("{count} workspaces, {TODAY_ROUTERS} routers");
    cost(&name, &group, report).await;
}

async fn leaving(count: usize, report: &mut ScenarioReport) {
    let group = group::start(TODAY_ROUTERS, TODAY_WORKSPACES).await;
    let bytes = group.bytes();
    group.mark_leaving(count).await;
    task::sleep(SETTLE_TIME).await;
    report.figures.push(serde_json::json!({
        "name": format!("spread of {count} leaving endpoints, {TODAY_ROUTERS} routers"),
        "bytes_per_router": float(group.bytes() - bytes) / float(group.len()),
    }));
    let name = format!("{count} leaving endpoints, {TODAY_ROUTERS} routers");
    cost(&name, &group, report).await;
}

async fn routers(count: usize, report: &mut ScenarioReport) {
    let group = group::start(count, TODAY_WORKSPACES).await;
    let name = format!("{count} routers");
    cost(&name, &group, report).await;
    let spread = group
        .spread_version(1, &group::declarations(TODAY_ENDPOINTS))
        .await;
    let death = group.kill_one().await;
    report.figures.push(serde_json::json!({
        "name": name,
        "version_seconds": spread.as_secs_f64(),
        "death_seconds": death.as_secs_f64(),
    }));
    if spread > VERSION_BOUND {
        report
            .misses
            .push(format!("{name}: version in force after {spread:?}"));
    }
    if count <= TODAY_ROUTERS && death > DEATH_BOUND {
        report
            .misses
            .push(format!("{name}: dead everywhere after {death:?}"));
    }
}

/// Spreads a first version, then one in which a single endpoint has changed.
async fn versions(endpoints: usize, report: &mut ScenarioReport) {
    let group = group::start(TODAY_ROUTERS, TODAY_WORKSPACES).await;
    let first = group::declarations(endpoints);
    let changed = first.replacen(":9000", ":9001", 1);
    for (number, kind, yaml) in [(1, "first version", first), (2, "changed version", changed)] {
        let (bytes, core) = (group.bytes(), core_seconds());
        let spread = group.spread_version(number, &yaml).await;
        let name = format!("{kind} of {endpoints} endpoints, {TODAY_ROUTERS} routers");
        report.figures.push(serde_json::json!({
            "name": name,
            "yaml_bytes": yaml.len(),
            "version_seconds": spread.as_secs_f64(),
            "bytes_per_router": float(group.bytes() - bytes) / float(group.len()),
            "core_seconds_per_router": (core_seconds() - core) / float(group.len()),
        }));
        if spread > VERSION_BOUND {
            report
                .misses
                .push(format!("{name}: in force after {spread:?}"));
        }
        task::sleep(SETTLE_TIME).await;
    }
}

/// Measures a group for one window.
async fn cost(name: &str, group: &group::RouterGroup, report: &mut ScenarioReport) {
    let routers = float(group.len());
    let (bytes, core, began) = (group.bytes(), core_seconds(), time::Instant::now());
    let exchanges = group.exchanges();
    group.vary_demand(WINDOW).await;
    let seconds = began.elapsed().as_secs_f64();
    let cost = ControlCost {
        core: (core_seconds() - core) / seconds / routers,
        bytes: float(group.bytes() - bytes) / seconds / routers,
        memory: resident_bytes() / routers,
    };
    report.figures.push(serde_json::json!({
        "name": name,
        "core": cost.core,
        "bytes_per_second": cost.bytes,
        "memory_bytes": cost.memory,
        "exchanges_per_second": float(group.exchanges() - exchanges) / seconds / routers,
    }));
    if cost.core > CORE_BOUND {
        report
            .misses
            .push(format!("{name}: {:.4} of a core", cost.core));
    }
    if cost.bytes > BYTES_BOUND {
        report
            .misses
            .push(format!("{name}: {:.0} bytes a second", cost.bytes));
    }
    if cost.memory > MEMORY_BOUND {
        report
            .misses
            .push(format!("{name}: {:.0} bytes of memory", cost.memory));
    }
}

/// Processor time of this process so far, in seconds.
fn core_seconds() -> f64 {
    const USER_FIELD: usize = 11;
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<f64> = after_name
        .split_whitespace()
        .map(|field| field.parse().unwrap_or_default())
        .collect();
    let ticks: f64 = fields.iter().skip(USER_FIELD).take(2).sum();
    ticks / TICKS_PER_SECOND
}

/// Resident memory of this process.
fn resident_bytes() -> f64 {
    let pages = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = pages.split_whitespace().nth(1);
    let pages: f64 = pages
        .and_then(|pages| pages.parse().ok())
        .unwrap_or_default();
    pages * PAGE_BYTES
}

/// A count as a number to divide.
fn float(count: u64) -> f64 {
    u32::try_from(count).map_or(f64::MAX, f64::from)
}
