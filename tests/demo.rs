//! The demo: an answer that outlives an engine and a router, and processes that end with it.

use std::fs;
use std::io;
use std::io::BufRead as _;
use std::path;
use std::process;
use std::thread;
use std::time;

/// Output goes on within this time after a loss.
const RESUME_BOUND_MS: u64 = 4_000;

const INTERRUPTED: i32 = 130;
const PROCESS_COUNT: usize = 8;
const END_LIMIT: time::Duration = time::Duration::from_secs(10);

fn driver() -> path::PathBuf {
    let program = path::Path::new(env!("CARGO_BIN_EXE_kumquatpulley"));
    program.with_file_name("examples").join("demo_driver")
}

#[test]
fn no_token_is_missing_or_repeated_when_an_engine_and_a_router_die() {
    let folder = tempfile::tempdir().unwrap();
    let assert = assert_cmd::Command::new(driver())
        .arg("--folder")
        .arg(folder.path())
        .timeout(time::Duration::from_secs(120))
        .assert()
        .success();
    let stdout = String::from_utf8(assert.get_output().stdout.clone()).unwrap();
    let last = stdout.lines().last().unwrap();
    let outcome: serde_json::Value = serde_json::from_str(last).unwrap();
    assert_eq!(outcome["tokens"], 400, "{last}");
    assert_eq!(outcome["missing"], 0, "{last}");
    assert_eq!(outcome["repeated"], 0, "{last}");
    assert!(outcome["wrong"].is_null(), "{last}");
    for field in ["engine_resume_ms", "router_resume_ms"] {
        let millis = outcome[field].as_u64().unwrap();
        assert!(millis <= RESUME_BOUND_MS, "{field}: {last}");
    }
    for event in ["attempt-lost", "resumed", "finished"] {
        assert!(stdout.contains(event), "{event} is not in the time line");
    }
}

#[test]
fn an_interrupted_demo_ends_every_process_that_it_started() {
    let folder = tempfile::tempdir().unwrap();
    let mut demo = process::Command::new(driver())
        .arg("--folder")
        .arg(folder.path())
        .stdout(process::Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    io::BufReader::new(demo.stdout.as_mut().unwrap())
        .read_line(&mut line)
        .unwrap();
    assert!(line.contains("started"), "{line}");
    let children = children_of(demo.id());
    assert!(children.len() >= PROCESS_COUNT, "{children:?}");
    let killed = process::Command::new("kill")
        .args(["-INT", &demo.id().to_string()])
        .status()
        .unwrap();
    assert!(killed.success());
    assert_eq!(demo.wait().unwrap().code(), Some(INTERRUPTED));
    for child in children {
        assert!(has_ended(child), "process {child} still runs");
    }
}

/// Processes whose parent is `parent`.
fn children_of(parent: u32) -> Vec<u32> {
    let tasks = fs::read_dir(format!("/proc/{parent}/task")).expect("process runs");
    let lists = tasks.map(|task| {
        let file = task.expect("task").path().join("children");
        fs::read_to_string(file).unwrap_or_default()
    });
    let text: String = lists.collect::<Vec<_>>().join(" ");
    let numbers = text.split_whitespace();
    numbers
        .map(|number| number.parse().expect("process id"))
        .collect()
}

fn has_ended(process: u32) -> bool {
    let started = time::Instant::now();
    let folder = format!("/proc/{process}");
    while started.elapsed() < END_LIMIT {
        if !path::Path::new(&folder).exists() {
            return true;
        }
        thread::sleep(time::Duration::from_millis(10));
    }
    false
}
