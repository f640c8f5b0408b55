//! Odd numbers and texts in answers and requests affect nothing but themselves.

use kumquatpulley::connection::h1::head;
use kumquatpulley::platform::request_header;
use kumquatpulley::request::relay::dialect::RequestDialect as _;
use kumquatpulley::request::relay::{attempt, selection};

use crate::common;

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

fn response(body: &str) -> attempt::FullResponse {
    attempt::FullResponse {
        head: head::ResponseHead {
            status: 200,
            headers: head::HeaderList::default(),
        },
        body: body.as_bytes().to_vec(),
    }
}

common::cases! {
    report_memory_is_huge: an_engine_with_an_odd_report_is_alive(
        r#"{"queued":1,"active":2,"kv_used":18446744073709551615,"kv_total":18446744073709551615}"#);
    report_field_is_deep: an_engine_with_an_odd_report_is_alive(&format!(r#"{{"active":1,"x":{}}}"#, deep()));
}
