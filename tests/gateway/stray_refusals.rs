//! A refusal counts as "not run" only if it is certainly about the request that it answers.

use crate::common;
use crate::support::system::System;
use crate::support::{caller, fakes};

const STREAM: &str = "/stream/1";
const CALL: &str = "/once/1";

/// Guards against faulty endpoints that send an earlier refusal while they run the request.
fn a_refusal_that_may_be_stray_does_not_count(path: &str, text: &'static str) {
    let system = System::start_unresumable();
    system.set_modes(fakes::EndpointMode::AnswersWith(text));
    let answer = System::send(system.ip(), path, "r1").expect("an answer");
    assert_eq!(answer.head.status, 502, "{}", system.logs());
    assert_eq!(answer.head.headers.get("Kumquatpulley-Runner-Seal"), None);
    assert_eq!(system.arrivals("r1").len(), 1, "{}", system.logs());
}

fn a_refusal_of_the_request_counts(path: &str, text: &'static str) {
    let system = System::start_unresumable();
    system
        .first
        .set_mode(fakes::EndpointMode::AnswersWith(text));
    for number in 0..8 {
        let id = format!("r{number}");
        let answer = System::send(system.ip(), path, &id).expect("an answer");
        assert_eq!(answer.head.status, 200, "{}", system.logs());
        if path == STREAM {
            assert_eq!(answer.text(), caller::complete_stream());
        }
    }
    let is_tried = !system.first.received().is_empty();
    assert!(is_tried, "the first endpoint was never tried");
}

const FOREIGN: &str = "HTTP/1.1 503 X\r\nKumquatpulley-Request-Id: other\r\n\
    Kumquatpulley-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
const FOREIGN_WITH_SEAL: &str = "HTTP/1.1 503 X\r\nKumquatpulley-Request-Id: other\r\n\
    Kumquatpulley-Runner-Seal: s\r\nKumquatpulley-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
const FOREIGN_AFTER_INTERIM: &str = "HTTP/1.1 103 X\r\nKumquatpulley-Request-Id: {id}\r\n\r\n\
    HTTP/1.1 429 X\r\nKumquatpulley-Request-Id: other\r\nKumquatpulley-Not-Run: 1\r\n\
    Content-Length: 0\r\n\r\n";
const FOREIGN_MISDIRECTED: &str = "HTTP/1.1 421 X\r\nKumquatpulley-Request-Id: other\r\n\
    Content-Length: 0\r\n\r\n";
const TWO_IDS: &str = "HTTP/1.1 503 X\r\nKumquatpulley-Request-Id: {id}\r\n\
    Kumquatpulley-Request-Id: other\r\nKumquatpulley-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
const EMPTY_ID: &str = "HTTP/1.1 503 X\r\nKumquatpulley-Request-Id:\r\n\
    Kumquatpulley-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
const SUCCESS_WITHOUT_ID: &str = "HTTP/1.1 200 X\r\nKumquatpulley-Not-Run: 1\r\n\
    Content-Length: 0\r\n\r\n";
const OWN: &str = "HTTP/1.1 503 X\r\nKumquatpulley-Request-Id: {id}\r\n\
    Kumquatpulley-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
const OWN_AFTER_INTERIM: &str = "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 429 X\r\n\
    Kumquatpulley-Request-Id: {id}\r\nKumquatpulley-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
const WITHOUT_ID: &str = "HTTP/1.1 503 X\r\nKumquatpulley-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
const MISDIRECTED: &str = "HTTP/1.1 421 X\r\nKumquatpulley-Runner-Id: e9\r\n\
    Content-Length: 0\r\n\r\n";

common::cases! {
    foreign_to_a_call: a_refusal_that_may_be_stray_does_not_count(CALL, FOREIGN);
    foreign_with_seal_to_a_call: a_refusal_that_may_be_stray_does_not_count(CALL, FOREIGN_WITH_SEAL);
    foreign_after_interim_to_a_call: a_refusal_that_may_be_stray_does_not_count(CALL, FOREIGN_AFTER_INTERIM);
    foreign_misdirected_to_a_call: a_refusal_that_may_be_stray_does_not_count(CALL, FOREIGN_MISDIRECTED);
    two_ids_to_a_call: a_refusal_that_may_be_stray_does_not_count(CALL, TWO_IDS);
    empty_id_to_a_call: a_refusal_that_may_be_stray_does_not_count(CALL, EMPTY_ID);
    success_to_a_call: a_refusal_that_may_be_stray_does_not_count(CALL, SUCCESS_WITHOUT_ID);
    foreign_to_a_stream: a_refusal_that_may_be_stray_does_not_count(STREAM, FOREIGN);
    foreign_with_seal_to_a_stream: a_refusal_that_may_be_stray_does_not_count(STREAM, FOREIGN_WITH_SEAL);
    foreign_after_interim_to_a_stream: a_refusal_that_may_be_stray_does_not_count(STREAM, FOREIGN_AFTER_INTERIM);
    foreign_misdirected_to_a_stream: a_refusal_that_may_be_stray_does_not_count(STREAM, FOREIGN_MISDIRECTED);
    two_ids_to_a_stream: a_refusal_that_may_be_stray_does_not_count(STREAM, TWO_IDS);
    empty_id_to_a_stream: a_refusal_that_may_be_stray_does_not_count(STREAM, EMPTY_ID);
    success_to_a_stream: a_refusal_that_may_be_stray_does_not_count(STREAM, SUCCESS_WITHOUT_ID);
    own_to_a_call: a_refusal_of_the_request_counts(CALL, OWN);
    own_after_interim_to_a_call: a_refusal_of_the_request_counts(CALL, OWN_AFTER_INTERIM);
    without_id_to_a_call: a_refusal_of_the_request_counts(CALL, WITHOUT_ID);
    misdirected_call: a_refusal_of_the_request_counts(CALL, MISDIRECTED);
    own_to_a_stream: a_refusal_of_the_request_counts(STREAM, OWN);
    own_after_interim_to_a_stream: a_refusal_of_the_request_counts(STREAM, OWN_AFTER_INTERIM);
    without_id_to_a_stream: a_refusal_of_the_request_counts(STREAM, WITHOUT_ID);
    misdirected_stream: a_refusal_of_the_request_counts(STREAM, MISDIRECTED);
}
