//! A planned stop cuts no request: the answer that a leaving router serves becomes whole.

use std::fs;
use std::sync;
use std::time;

use async_std::task;
use kumquatpulley::connection::caller_client;

use crate::common;
use crate::daemon;
use crate::oracle;
use crate::stand_in;

const PROMPT: &str = "a seating plan for 40 singers";
const TOKENS: u32 = 150;

/// Tokens after which the stop is asked for.
const STOP_AT: usize = 30;
const STOP_LIMIT: time::Duration = time::Duration::from_secs(20);

/// Output goes on within this time after a loss.
const RESUME_BOUND: time::Duration = time::Duration::from_secs(4);

/// SHA-256 of the bearer key `demo-key`.
const KEY_HASH: &str = "c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c";

/// How the router that serves the answer is asked to stop.
#[derive(Clone, Copy, Debug)]
enum StopKind {
    Signal,
    Command,
}

#[derive(Debug)]
struct StopBench {
    routers: Vec<daemon::RouterDaemon>,
    _engine: stand_in::StandIn,
    _platform: stand_in::StandIn,
}

impl StopBench {
    fn start(drain_timeout_ms: u64) -> Self {
        let platform = stand_in::platform();
        let arguments = ["--model", "m", "--version", "v1", "--token-ms", "20"];
        let engine = stand_in::start("model_engine", &arguments);
        let lines = format!("drain_timeout_ms: {drain_timeout_ms}\n");
        let start = |name| daemon::RouterDaemon::start_with(name, platform.listen, &lines);
        let routers = vec![start("r1"), start("r2")];
        apply(&routers, &platform, &engine);
        for router in &routers {
            router.wait_for_state("ready");
        }
        Self {
            routers,
            _engine: engine,
            _platform: platform,
        }
    }

    fn stop(&mut self, address: &str, kind: StopKind) -> Option<i32> {
        let mut routers = self.routers.iter_mut();
        let router = routers
            .find(|router| router.listen.to_string() == address)
            .expect("a router serves the answer");
        match kind {
            StopKind::Signal => router.signal("TERM"),
            StopKind::Command => {
                let output = router.run(&["drain", &router.admin.to_string()]);
                assert_eq!(output.code, 0, "{}{}", output.stdout, output.stderr);
            }
        }
        router.wait()
    }
}

fn apply(
    routers: &[daemon::RouterDaemon],
    platform: &stand_in::StandIn,
    engine: &stand_in::StandIn,
) {
    let folder = tempfile::tempdir().expect("temporary folder");
    let file = folder.path().join("declarations.yaml");
    let yaml = format!(
        "services:\n  - name: s\n    model: {{name: m, version: v1}}\n    endpoints:\n      \
         - {{name: e1, address: \"{}\", zone: zone-a}}\n\
         workspaces:\n  - {{name: w, key_hashes: [{KEY_HASH}], max_in_flight: 8}}\n\
         routes:\n  - {{model: m, service: s}}\n",
        engine.listen
    );
    fs::write(&file, yaml).expect("declaration file");
    let admins = routers.iter().map(|router| router.admin.to_string());
    let admins: Vec<String> = admins.collect();
    let output = routers[0].run(&[
        "apply",
        &file.to_string_lossy(),
        "--wait",
        "--platform",
        &platform.listen.to_string(),
        "--router",
        &admins.join(","),
    ]);
    assert_eq!(output.code, 0, "{}{}", output.stdout, output.stderr);
}

/// What the caller has seen of the answer.
#[derive(Debug, Default)]
struct AnswerView {
    tokens: usize,
    address: String,
}

fn generate(
    bench: &StopBench,
    view: sync::Arc<parking_lot::Mutex<AnswerView>>,
) -> task::JoinHandle<caller_client::Result<caller_client::CallerAnswer>> {
    let routers = bench.routers.iter();
    let client = caller_client::CallerClient::new(caller_client::CallerSettings {
        routers: routers.map(|router| router.listen.to_string()).collect(),
        zone: None,
        bearer: "demo-key".to_owned(),
        deadline: caller_client::DEFAULT_DEADLINE,
        idle_timeout: caller_client::DEFAULT_IDLE_TIMEOUT,
    });
    task::spawn(async move {
        let request = caller_client::GenerationRequest {
            model: "m".to_owned(),
            prompt: PROMPT.to_owned(),
            max_tokens: TOKENS,
        };
        let mut observe = |event: caller_client::CallerEvent| match event.kind {
            caller_client::CallerEventKind::Token { index, .. } => view.lock().tokens = index + 1,
            caller_client::CallerEventKind::Connected { address, .. } => {
                view.lock().address = address;
            }
            _ => {}
        };
        client.generate(&request, &mut observe).await
    })
}

/// Stops the serving router midway; the whole answer.
fn answer_over_stop(drain_timeout_ms: u64, kind: StopKind) -> caller_client::CallerAnswer {
    let mut bench = StopBench::start(drain_timeout_ms);
    let view = sync::Arc::<parking_lot::Mutex<AnswerView>>::default();
    let generation = generate(&bench, sync::Arc::clone(&view));
    let started = time::Instant::now();
    while view.lock().tokens < STOP_AT {
        assert!(started.elapsed() < STOP_LIMIT, "{view:?}");
        std::thread::sleep(time::Duration::from_millis(5));
    }
    let address = view.lock().address.clone();
    assert_eq!(bench.stop(&address, kind), Some(0));
    let answer = task::block_on(generation).expect("whole answer");
    assert_eq!(answer.tokens.len(), TOKENS as usize);
    oracle::TokenOracle::check(PROMPT, &answer.tokens).expect("one right generation");
    assert_eq!(answer.restarts, 0);
    assert!(answer.longest_gaps[0] <= RESUME_BOUND, "{answer:?}");
    answer
}

fn resumes_over_stop(drain_timeout_ms: u64, kind: StopKind, resumes: u32) {
    assert_eq!(answer_over_stop(drain_timeout_ms, kind).resumes, resumes);
}

common::cases! {
    an_answer_that_ends_in_time_stays_where_it_is:
        resumes_over_stop(30_000, StopKind::Signal, 0);
    an_answer_that_outlasts_the_drain_timeout_goes_on_elsewhere:
        resumes_over_stop(200, StopKind::Signal, 1);
    a_drain_by_command_cuts_no_answer_either:
        resumes_over_stop(200, StopKind::Command, 1);
}
