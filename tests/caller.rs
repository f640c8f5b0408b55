//! Caller client: resumes at another router after a failure, and accepts only the next token.

mod common;
mod support {
    pub mod fake_router;
}

use std::time;

use async_std::task;
use kumquatpulley::connection::caller_client;
use kumquatpulley::connection::caller_retry;

use support::fake_router;

const REFUSED: i32 = 13;
const INCOMPLETE: i32 = 14;
const IDLE_TIMEOUT: time::Duration = time::Duration::from_millis(300);
const DEADLINE: time::Duration = time::Duration::from_secs(3);

/// Event of a router that abandons a generation because its engine failed.
const ERROR_EVENT: &str = "event: error\ndata: {\"error\":{\"code\":\"endpoint-failed\",\
    \"message\":\"m\",\"verdict\":\"may-have-run\"}}\n\n";

type Step = fake_router::AnswerStep;
type Answer = caller_client::Result<caller_client::CallerAnswer>;

fn client(cluster: &fake_router::FakeCluster) -> caller_client::CallerClient {
    caller_client::CallerClient::new(caller_client::CallerSettings {
        routers: cluster.addresses.clone(),
        zone: Some("z1".to_owned()),
        bearer: "secret".to_owned(),
        deadline: DEADLINE,
        idle_timeout: IDLE_TIMEOUT,
    })
}

fn ask(
    client: &caller_client::CallerClient,
    observe: &mut (dyn FnMut(caller_client::CallerEvent) + Send),
) -> Answer {
    let request = caller_client::GenerationRequest {
        model: "m".to_owned(),
        prompt: "p".to_owned(),
        max_tokens: 6,
    };
    task::block_on(client.generate(&request, observe))
}

fn generate(cluster: &fake_router::FakeCluster) -> Answer {
    ask(&client(cluster), &mut |_event| {})
}

fn tokens(count: u32) -> Vec<String> {
    (0..count).map(fake_router::token).collect()
}

fn assert_whole(answer: Answer) -> caller_client::CallerAnswer {
    let answer = answer.expect("whole answer");
    assert_eq!(answer.tokens, tokens(6));
    answer
}

fn whole_answer() -> Vec<Step> {
    vec![Step::Head, Step::Tokens(0..6), Step::Finish(6)]
}

/// Router 0 sends three tokens, then plays `first`; any other router sends the remaining three.
fn resume_after(first: Step, router: usize) -> Vec<Step> {
    if router == 0 {
        return vec![Step::Head, Step::Tokens(0..3), first];
    }
    vec![Step::Head, Step::Tokens(3..6), Step::Finish(6)]
}

#[test]
fn a_whole_answer_needs_one_connection() {
    let cluster = fake_router::FakeCluster::start(2, |_router, _request| whole_answer());
    let answer = assert_whole(generate(&cluster));
    assert_eq!((answer.resumes, answer.restarts), (0, 0));
    assert_eq!(answer.finish_reason, "length");
    assert_eq!(cluster.requests().len(), 1);
}

#[test]
fn a_broken_stream_resumes_with_key_cursor_and_tokens() {
    let cluster =
        fake_router::FakeCluster::start(2, |router, _request| resume_after(Step::Break, router));
    let answer = assert_whole(generate(&cluster));
    assert_eq!((answer.resumes, answer.restarts), (1, 0));
    let requests = cluster.requests();
    assert_eq!(requests.len(), 2);
    let [first, second] = &*requests else {
        panic!("two requests");
    };
    assert_eq!(first.headers["idempotency-key"], answer.key);
    assert_eq!(second.headers["idempotency-key"], answer.key);
    assert!(answer.key.starts_with("r0-1f."), "{}", answer.key);
    assert!(!first.headers.contains_key("last-event-id"));
    let cursor = &second.headers["last-event-id"];
    assert!(cursor.starts_with("0000000000000007."), "{cursor}");
    assert_eq!(second.body["received"], serde_json::json!(tokens(3)));
    for field in ["model", "prompt", "max_tokens", "stream"] {
        assert_eq!(first.body[field], second.body[field]);
    }
}

#[test]
fn a_silent_stream_resumes_elsewhere() {
    let cluster =
        fake_router::FakeCluster::start(2, |router, _request| resume_after(Step::Silence, router));
    let started = time::Instant::now();
    let answer = assert_whole(generate(&cluster));
    assert!(started.elapsed() >= IDLE_TIMEOUT);
    assert!(answer.longest_gaps[0] >= IDLE_TIMEOUT);
}

#[test]
fn a_router_that_sends_no_response_head_is_skipped() {
    let cluster = fake_router::FakeCluster::start(2, |router, _request| match router {
        0 => vec![Step::Silence],
        _ => whole_answer(),
    });
    let answer = assert_whole(generate(&cluster));
    assert_eq!(answer.resumes, 0);
}

#[test]
fn comments_keep_a_slow_stream_alive() {
    let cluster = fake_router::FakeCluster::start(1, |_router, _request| {
        let comment = Step::Event(": keep-alive\n\n".to_owned());
        vec![
            Step::Head,
            Step::Pause(200),
            comment,
            Step::Pause(200),
            Step::Tokens(0..6),
            Step::Finish(6),
        ]
    });
    let answer = assert_whole(generate(&cluster));
    assert_eq!(answer.resumes, 0);
}

#[test]
fn comments_without_tokens_do_not_hold_a_caller_beyond_its_deadline() {
    let cluster = fake_router::FakeCluster::start(1, |_router, _request| {
        let comment = || Step::Event(": keep-alive\n\n".to_owned());
        let alive = (0..100).flat_map(|_number| [Step::Pause(100), comment()]);
        [Step::Head].into_iter().chain(alive).collect()
    });
    let started = time::Instant::now();
    generate(&cluster).expect_err("no token");
    assert!(started.elapsed() >= DEADLINE);
    assert!(started.elapsed() <= DEADLINE + time::Duration::from_secs(1));
}

#[test]
fn a_moved_answer_resumes_at_the_named_router() {
    let cluster = fake_router::FakeCluster::start(3, |router, _request| match router {
        0 => resume_after(Step::MovedTo(2), 0),
        router => resume_after(Step::Break, router),
    });
    let answer = assert_whole(generate(&cluster));
    assert_eq!(answer.resumes, 1);
    let routers: Vec<usize> = cluster.requests().iter().map(|seen| seen.router).collect();
    assert_eq!(routers, [0, 2]);
}

#[test]
fn a_restart_begins_the_answer_again() {
    let cluster = fake_router::FakeCluster::start(1, |_router, _request| {
        let restart = "event: restart\ndata: {\"reason\":\"lost\"}\n\n";
        vec![
            Step::Head,
            Step::Tokens(0..3),
            Step::Event(restart.to_owned()),
            Step::ForeignToken(0),
            Step::ForeignToken(1),
            Step::Finish(2),
        ]
    });
    let answer = generate(&cluster).expect("whole answer");
    assert_eq!(answer.tokens, tokens(2));
    assert_eq!(answer.restarts, 1);
}

/// Asserts that router 1 completes an answer that fails at router 0 after three tokens.
fn assert_resumes_elsewhere(script: fake_router::AnswerScript) {
    let cluster = fake_router::FakeCluster::start(2, script);
    let answer = assert_whole(generate(&cluster));
    assert_eq!(answer.resumes, 1);
}

common::cases! {
    a_repeated_token_is_rejected: assert_resumes_elsewhere(|router, _request| {
        resume_after(Step::Tokens(2..6), router)
    });
    a_token_after_a_gap_is_rejected: assert_resumes_elsewhere(|router, _request| {
        resume_after(Step::Tokens(4..6), router)
    });
    a_token_of_another_generation_is_rejected: assert_resumes_elsewhere(|router, _request| {
        resume_after(Step::ForeignToken(3), router)
    });
    an_end_before_the_count_is_rejected: assert_resumes_elsewhere(|router, _request| {
        resume_after(Step::Finish(6), router)
    });
    text_that_is_no_event_is_rejected: assert_resumes_elsewhere(|router, _request| {
        resume_after(Step::Event("data: {\"choices\": []}\n\n".to_owned()), router)
    });
    an_unknown_event_is_rejected: assert_resumes_elsewhere(|router, _request| {
        resume_after(Step::Event("event: odd\ndata: {}\n\n".to_owned()), router)
    });
    an_error_event_makes_the_caller_resume_elsewhere: assert_resumes_elsewhere(|router, _request| {
        resume_after(Step::Event(ERROR_EVENT.to_owned()), router)
    });
}

#[test]
fn an_answer_shorter_than_its_count_is_not_whole_answer() {
    let cluster = fake_router::FakeCluster::start(1, |_router, request| match request {
        0 => vec![Step::Head, Step::Tokens(0..5), Step::Finish(6)],
        _ => vec![Step::Head, Step::Finish(6)],
    });
    let error = generate(&cluster).expect_err("one token is missing");
    assert!(
        matches!(
            error,
            caller_client::CallerError::GaveUp { token_count: 5, .. }
        ),
        "{error:?}"
    );
}

#[test]
fn a_router_that_is_not_ready_is_skipped_without_backoff() {
    let cluster = fake_router::FakeCluster::start(2, |router, _request| match router {
        0 => vec![Step::Refuse(503, Some(2), "not-ready", "not-run")],
        _ => whole_answer(),
    });
    let started = time::Instant::now();
    assert_whole(generate(&cluster));
    assert!(started.elapsed() < time::Duration::from_secs(1));
}

#[test]
fn an_overloaded_router_is_retried_after_its_retry_after() {
    let cluster = fake_router::FakeCluster::start(2, |router, _request| match router {
        0 => vec![Step::Refuse(429, Some(1), "overloaded", "not-run")],
        _ => whole_answer(),
    });
    assert_whole(generate(&cluster));
    let requests = cluster.requests();
    let waited = requests[1].at - requests[0].at;
    assert!(waited >= time::Duration::from_secs(1), "{waited:?}");
}

#[test]
fn a_permanent_refusal_is_not_retried() {
    let cluster = fake_router::FakeCluster::start(2, |_router, _request| {
        vec![Step::Refuse(401, None, "unauthorized", "not-run")]
    });
    let error = generate(&cluster).expect_err("refused");
    assert!(matches!(error, caller_client::CallerError::Refused(_)));
    assert_eq!(cluster.requests().len(), 1);
}

#[test]
fn a_wait_beyond_the_deadline_is_refused_at_once() {
    let cluster = fake_router::FakeCluster::start(1, |_router, _request| {
        vec![Step::Refuse(429, Some(60), "overloaded", "not-run")]
    });
    let started = time::Instant::now();
    let error = generate(&cluster).expect_err("refused");
    assert!(matches!(error, caller_client::CallerError::Refused(_)));
    assert!(started.elapsed() < time::Duration::from_secs(1));
}

#[test]
fn addresses_are_kept_as_long_as_their_answer_says() {
    let cluster = fake_router::FakeCluster::start(2, |_router, _request| whole_answer());
    let client = client(&cluster);
    for _generation in 0..3 {
        assert_whole(ask(&client, &mut |_event| {}));
    }
    assert_eq!(cluster.address_asks(), ["/v1/addresses?zone=z1"]);
    let keys = cluster.requests();
    assert_ne!(
        keys[0].headers["idempotency-key"],
        keys[1].headers["idempotency-key"]
    );
}

#[test]
fn routers_that_keep_failing_are_abandoned_within_the_deadline() {
    let cluster = fake_router::FakeCluster::start(2, |_router, _request| vec![Step::Break]);
    let started = time::Instant::now();
    generate(&cluster).expect_err("no answer");
    assert!(started.elapsed() <= DEADLINE + time::Duration::from_secs(1));
    let tries = u32::try_from(cluster.requests().len()).unwrap();
    assert!(tries <= caller_retry::MAX_FAILED_ATTEMPTS, "{tries}");
}

#[test]
fn backoffs_stay_within_bounds_and_honour_retry_after() {
    let asked = time::Duration::from_secs(7);
    let mut random = fastrand::Rng::with_seed(1);
    for failures in 1..100 {
        let pause = caller_retry::backoff(failures, None, &mut random);
        assert!(pause >= caller_retry::MIN_BACKOFF / 2);
        assert!(pause <= caller_retry::MAX_BACKOFF);
        assert!(caller_retry::backoff(failures, Some(asked), &mut random) >= asked);
    }
    assert!(caller_retry::backoff(99, None, &mut random) >= caller_retry::MAX_BACKOFF / 2);
}

fn run_program(cluster: &fake_router::FakeCluster, deadline: &str) -> assert_cmd::assert::Assert {
    let arguments = [
        "--model",
        "m",
        "--prompt",
        "p",
        "--max-tokens",
        "6",
        "--json",
    ];
    assert_cmd::Command::cargo_bin("kumquatpulley")
        .expect("program")
        .env_clear()
        .env("KUMQUATPULLEY_KEY", "secret")
        .arg("generate")
        .args(["--router", &cluster.addresses.join(",")])
        .args(["--deadline", deadline])
        .args(arguments)
        .timeout(time::Duration::from_secs(20))
        .assert()
}

#[test]
fn the_program_prints_the_answer_and_a_json_line() {
    let cluster =
        fake_router::FakeCluster::start(2, |router, _request| resume_after(Step::Break, router));
    let assert = run_program(&cluster, "5000").code(0);
    let stdout = String::from_utf8(assert.get_output().stdout.clone()).unwrap();
    let (text, report) = stdout.trim_end().split_once('\n').unwrap();
    assert_eq!(text, tokens(6).concat());
    let report: serde_json::Value = serde_json::from_str(report).unwrap();
    assert_eq!(report["tokens"], 6);
    assert_eq!(report["resumes"], 1);
    assert_eq!(report["restarts"], 0);
    assert!(report["longest_gaps_ms"].is_array());
}

#[test]
fn the_program_prints_the_verdict_of_a_refusal() {
    let cluster = fake_router::FakeCluster::start(1, |_router, _request| {
        vec![Step::Refuse(401, None, "unauthorized", "not-run")]
    });
    let assert = run_program(&cluster, "5000").code(REFUSED).stdout("");
    let stderr = String::from_utf8(assert.get_output().stderr.clone()).unwrap();
    assert!(stderr.contains("refused by script (not-run)"), "{stderr}");
}

#[test]
fn the_program_stops_when_nobody_reads_its_output() {
    const OUTPUT: i32 = 74;
    let cluster = fake_router::FakeCluster::start(1, |_router, _request| {
        let slow =
            (0..200).flat_map(|position| [Step::Tokens(position..position + 1), Step::Pause(50)]);
        [Step::Head].into_iter().chain(slow).collect()
    });
    let mut program = std::process::Command::new(env!("CARGO_BIN_EXE_kumquatpulley"))
        .args([
            "generate",
            "--router",
            &cluster.addresses[0],
            "--key",
            "secret",
        ])
        .args(["--model", "m", "--prompt", "p", "--max-tokens", "200"])
        .stdout(std::process::Stdio::piped())
        .stderr(std::process::Stdio::null())
        .spawn()
        .unwrap();
    let started = time::Instant::now();
    drop(program.stdout.take());
    assert_eq!(program.wait().unwrap().code(), Some(OUTPUT));
    assert!(started.elapsed() < time::Duration::from_secs(5));
}

#[test]
fn the_program_fails_when_the_answer_is_incomplete() {
    let cluster = fake_router::FakeCluster::start(1, |_router, request| match request {
        0 => vec![Step::Head, Step::Tokens(0..3), Step::Break],
        _ => vec![Step::Break],
    });
    let assert = run_program(&cluster, "1000").code(INCOMPLETE);
    let stderr = String::from_utf8(assert.get_output().stderr.clone()).unwrap();
    assert!(stderr.contains("after 3 tokens"), "{stderr}");
}
