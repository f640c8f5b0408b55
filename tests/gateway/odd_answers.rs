//! Odd numbers and texts in answers and requests affect nothing but themselves.

use kumquatpulley::connection::h1::head;
use kumquatpulley::platform::{report_wire, request_header};
use kumquatpulley::request::relay::dialect::RequestDialect as _;
use kumquatpulley::request::relay::{attempt, selection};

use crate::common;
use crate::support::caller;
use crate::support::system::System;

/// Levels of nesting that overflow the stack of a decoder without a limit.
const DEEP_LEVELS: usize = 200_000;

fn deep() -> String {
    format!("{}{}", "[".repeat(DEEP_LEVELS), "]".repeat(DEEP_LEVELS))
}

/// A router asks engines for reports to see whether they still work on its requests.
fn an_engine_with_an_odd_report_is_alive(text: &str) {
    let response = response(text);
    let report = request_header::HeaderDialect.report(&response);
    let report = report.expect("a report");
    let tokens = u64::MAX;
    let candidate = selection::EngineCandidate {
        report: Some(report),
        recent_requests: u32::MAX,
    };
    let params = selection::SelectionParams {
        tokens,
        may_wait: false,
        is_first: true,
    };
    let step = selection::choose_engine(&[candidate.clone(), candidate], params);
    assert!(
        matches!(step, selection::SelectionStep::Send(_)),
        "{step:?}"
    );
}

fn the_known_numbers_of_a_report_count() {
    let text = r#"{"state":5,"queued":-1,"active":5000000000,"kv_used":1e400,"kv_total":90000.5,
        "runs":[["r1",100,3,2],["r2"],["r3",1e30,-4,null]]}"#;
    let report = report_wire::decode(text.as_bytes()).expect("a report");
    assert_eq!((report.waiting, report.running), (0, u32::MAX));
    assert_eq!(
        (report.memory_used, report.memory_total),
        (u64::MAX, 90_000)
    );
    let runs = report.runs.expect("a list of runs");
    let names: Vec<&str> = runs.iter().map(|run| run.request.as_str()).collect();
    assert_eq!(names, ["r1", "r2", "r3"]);
}

/// Any request may be the one that the report does not name.
fn a_list_with_an_unreadable_run_is_no_list(run: &str) {
    let text = format!(r#"{{"active":3,"runs":[["r1",100,3,2],{run}]}}"#);
    let report = report_wire::decode(text.as_bytes()).expect("a report");
    assert_eq!((report.running, report.runs), (3, None));
}

fn copy_handle_is_ignored(text: &str) {
    assert_eq!(
        request_header::HeaderDialect.moved_copy(&response(text)),
        None
    );
}

fn response(body: &str) -> attempt::FullResponse {
    attempt::FullResponse {
        head: head::ResponseHead {
            status: 200,
            headers: head::HeaderList::default(),
        },
        body: body.as_bytes().to_vec(),
        reservation: None,
    }
}

fn assert_all_run(system: &mut System) {
    for index in 0..system.gateways.len() {
        let ended = system.gateways[index].child.try_wait().expect("a child");
        assert_eq!(ended, None, "{}", system.logs());
    }
    assert!(!system.logs().contains("panicked"), "{}", system.logs());
}

fn request_with_an_odd_field_is_answered(path: &str, field: &str, value: &str) {
    let mut system = System::start(1);
    let text = caller::request(path, "r1", "k");
    let old = format!("\r\n{field}:");
    let text = match text.split_once(&old) {
        Some((start, rest)) => {
            let rest = rest.split_once("\r\n").expect("a line").1;
            format!("{start}\r\n{field}: {value}\r\n{rest}")
        }
        None => text.replacen("\r\n", &format!("\r\n{field}: {value}\r\n"), 1),
    };
    let answer = caller::exchange((system.ip(), 8227).into(), text.as_bytes());
    let answer = answer.unwrap_or_else(|| panic!("no answer; {}", system.logs()));
    assert_eq!(answer.head.status, 200, "{}", system.logs());
    assert!(answer.is_complete);
    assert_all_run(&mut system);
}

/// Times of a route that no clock can count are no limits.
fn routes_with_huge_times_are_served() {
    let mut system = System::start(1);
    let text = System::config(2, r#""k""#);
    let text = text.replace("20000", "1e300").replace("3000", "1e300");
    let text = text.replace("4500", "1e300").replace("700", "1e300");
    system.put_in_force(2, &text);
    let untimed =
        caller::request("/once/1", "r1", "k").replace("Kumquatpulley-Deadline-Ms: 8000\r\n", "");
    let answer = caller::exchange((system.ip(), 8227).into(), untimed.as_bytes());
    let answer = answer.unwrap_or_else(|| panic!("no answer; {}", system.logs()));
    assert_eq!(answer.head.status, 200, "{}", system.logs());
    let untimed = untimed.replace("/once/1", "/stream/1");
    let answer = caller::exchange((system.ip(), 8227).into(), untimed.as_bytes());
    let answer = answer.unwrap_or_else(|| panic!("no answer; {}", system.logs()));
    assert!(answer.is_complete, "{}", system.logs());
    assert_all_run(&mut system);
}

common::cases! {
    report_memory_is_huge: an_engine_with_an_odd_report_is_alive(
        r#"{"queued":1,"active":2,"kv_used":18446744073709551615,"kv_total":18446744073709551615}"#);
    report_memory_exceeds_its_type: an_engine_with_an_odd_report_is_alive(
        r#"{"queued":1,"active":2,"kv_used":1e400,"kv_total":1e400}"#);
    report_counts_exceed_their_type: an_engine_with_an_odd_report_is_alive(
        r#"{"queued":5000000000,"active":5000000000,"kv_used":1,"kv_total":2}"#);
    report_counts_are_negative: an_engine_with_an_odd_report_is_alive(r#"{"queued":-1,"active":-1}"#);
    report_counts_are_fractions: an_engine_with_an_odd_report_is_alive(r#"{"queued":0.5,"active":1.5}"#);
    report_field_is_deep: an_engine_with_an_odd_report_is_alive(&format!(r#"{{"active":1,"x":{}}}"#, deep()));
    report_runs_are_odd: an_engine_with_an_odd_report_is_alive(r#"{"active":1,"runs":[["r1",-1,2,3],["r2"]]}"#);
    report_numbers: the_known_numbers_of_a_report_count();
    run_without_a_name: a_list_with_an_unreadable_run_is_no_list("[7,100,3,2]");
    run_is_no_list: a_list_with_an_unreadable_run_is_no_list(r#"{"x":1}"#);
    run_is_empty: a_list_with_an_unreadable_run_is_no_list("[]");
    run_is_deep: a_list_with_an_unreadable_run_is_no_list(&deep());
    handle_has_a_line_break: copy_handle_is_ignored(r#"{"handle":"a\r\nX-Odd: 1"}"#);
    handle_has_a_space: copy_handle_is_ignored(r#"{"handle":"a b"}"#);
    handle_is_empty: copy_handle_is_ignored(r#"{"handle":""}"#);
    handle_is_a_list: copy_handle_is_ignored(r#"{"handle":[1]}"#);
    handle_is_deep: copy_handle_is_ignored(&format!(r#"{{"handle":{}}}"#, deep()));
    deadline_is_the_largest: request_with_an_odd_field_is_answered("/once/1",
        "Kumquatpulley-Deadline-Ms", "18446744073709551615");
    stream_deadline_is_the_largest: request_with_an_odd_field_is_answered("/stream/1",
        "Kumquatpulley-Deadline-Ms", "18446744073709551615");
    token_counts_are_huge: request_with_an_odd_field_is_answered("/stream/1",
        "Kumquatpulley-Token-Counts", "18446744073709551615,18446744073709551615");
    token_counts_are_odd: request_with_an_odd_field_is_answered("/stream/1",
        "Kumquatpulley-Token-Counts", "-1,1e400,,9999999999999999999999");
    length_hint_is_huge: request_with_an_odd_field_is_answered("/stream/1",
        "Kumquatpulley-Length-Hint", "18446744073709551615");
    prompt_parts_are_odd: request_with_an_odd_field_is_answered("/stream/1",
        "Kumquatpulley-Prompt-Prefix", "zz:-1,ffffffffffffffffffff:1e400,::,a:9,b:2");
    last_event_is_huge: request_with_an_odd_field_is_answered("/stream/1",
        "Last-Event-Id", "18446744073709551614");
    huge_route_times: routes_with_huge_times_are_served();
}
