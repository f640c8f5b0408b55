//! Odd rows and entries in the store affect nothing but themselves.

use std::io::Write as _;
use std::net;
use std::thread;
use std::time;

use async_std::task;
use kumquatpulley::platform::{store_client, store_wire};
use kumquatpulley::process::gateway::endpoint_registry;
use kumquatpulley::process::gateway::rows;
use kumquatpulley::process::gateway::rows::{RowCodec as _, RowStore as _};

use crate::common;
use crate::support::fakes;
use crate::support::system::System;

/// Levels of nesting that overflow the stack of a decoder without a limit.
const DEEP_LEVELS: usize = 200_000;

/// Time within which a change of an entry must be known, as the platform's settings define it.
const CHANGE_BOUND: time::Duration = time::Duration::from_secs(2);

fn deep() -> String {
    format!("{}{}", "[".repeat(DEEP_LEVELS), "]".repeat(DEEP_LEVELS))
}

/// An entry with one field replaced by `value`, which is JSON; the field is added if it is new.
fn entry_with(field: &str, value: &str) -> String {
    let fields = [
        ("service", r#""m""#),
        ("addr", r#""127.0.0.1:9""#),
        ("zone", r#""z1""#),
        ("version", r#""v1""#),
        ("slots", "8"),
        ("state", r#""ready""#),
        ("cold_left_ms", "0"),
        ("seq", "1"),
        ("born", "1"),
    ];
    let mut parts: Vec<String> = fields
        .iter()
        .filter(|(name, _default)| *name != field)
        .map(|(name, default)| format!("\"{name}\":{default}"))
        .collect();
    parts.push(format!("\"{field}\":{value}"));
    format!("{{{}}}", parts.join(","))
}

/// Serves the same answer to each call, and returns a client for it.
fn store_that_answers(body: &[u8]) -> store_client::StoreClient {
    store_that_pages(&[body.to_vec()])
}

/// Serves the first page to calls that name no key to start from, and the second one to others.
fn store_that_pages(pages: &[Vec<u8>]) -> store_client::StoreClient {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    let pages = pages.to_vec();
    fakes::serve(listener, move |stream| {
        let Some(request) = fakes::read_request(stream) else {
            return;
        };
        let page = usize::from(request.query("from").is_some()).min(pages.len() - 1);
        let head = format!(
            "HTTP/1.1 200 X\r\nContent-Length: {}\r\n\r\n",
            pages[page].len()
        );
        // The caller may have gone.
        let _gone = stream.write_all(&[head.as_bytes(), &pages[page]].concat());
    });
    store_client::StoreClient::new(address.to_string())
}

/// An answer with an odd header field is read or fails the call; it does not end the task that reads
/// the store.
fn an_odd_head_fails_the_call_at_most(field: &'static [u8]) {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    fakes::serve(listener, move |stream| {
        let Some(_request) = fakes::read_request(stream) else {
            return;
        };
        let body = br#"{"rows":[],"ver":7}"#;
        let head = format!("HTTP/1.1 200 X\r\nContent-Length: {}\r\n", body.len());
        // The caller may have gone.
        let _gone = stream.write_all(&[head.as_bytes(), field, b"\r\n\r\n", body].concat());
    });
    let store = store_client::StoreClient::new(address.to_string());
    let list = task::block_on(store.read_all(rows::RowTopic::Endpoints));
    let is_failed = matches!(list, Err(rows::RowError::Unavailable(_)));
    let is_read = list.as_ref().is_ok_and(|batch| batch.version == 7);
    assert!(is_failed || is_read, "{list:?}");
}

fn known_values(batch: &rows::RowBatch) -> Vec<(&str, &[u8])> {
    let rows = batch.rows.iter();
    let known = rows.filter_map(|row| Some((row.key.as_str(), row.value.as_deref()?)));
    known.collect()
}

const FIRST_ROW: &[u8] = br#"{"key":"e1","value":"b25l","ver":1}"#;
const LAST_ROW: &[u8] = br#"{"key":"e9","value":"bmluZQ==","ver":3}"#;

/// The rows before and after the odd one are read, in a list and in a feed.
fn other_rows_are_read(odd: &[u8]) {
    let rows = [FIRST_ROW, odd, LAST_ROW].join(&b","[..]);
    let body = [&br#"{"rows":["#[..], &rows, br#"],"ver":7,"now_ms":1}"#].concat();
    let store = store_that_answers(&body);
    let topic = rows::RowTopic::Endpoints;
    let list = task::block_on(store.read_all(topic)).expect("a list");
    let feed = task::block_on(store.read_changes(topic, 1, time::Duration::ZERO));
    for batch in [list, feed.expect("changes")] {
        let known = known_values(&batch);
        assert_eq!(known.first(), Some(&("e1", &b"one"[..])));
        assert_eq!(known.last(), Some(&("e9", &b"nine"[..])));
        assert_eq!(batch.version, 7);
    }
}

/// An odd row at the end of a page does not end the list.
fn the_next_page_is_read(odd: &[u8]) {
    let page = |rows: &[&[u8]], has_more: bool| {
        let rows = rows.join(&b","[..]);
        let end = format!(r#"],"has_more":{has_more},"ver":7}}"#);
        [&br#"{"rows":["#[..], &rows, end.as_bytes()].concat()
    };
    let pages = [page(&[FIRST_ROW, odd], true), page(&[LAST_ROW], false)];
    let store = store_that_pages(&pages);
    let list = task::block_on(store.read_all(rows::RowTopic::Endpoints)).expect("a list");
    assert_eq!(
        known_values(&list),
        [("e1", &b"one"[..]), ("e9", &b"nine"[..])]
    );
}

fn entry_names_no_endpoint(name: &str, value: &[u8]) {
    let change = store_wire::StoreCodec.endpoint(name, value);
    let expected = endpoint_registry::EntryChange::Absent(name.to_owned());
    assert_eq!(change, expected);
}

fn field_names_no_endpoint(field: &str, value: &str) {
    entry_names_no_endpoint("e1", entry_with(field, value).as_bytes());
}

fn entry_names_an_endpoint(field: &str, value: &str) {
    let text = entry_with(field, value);
    let change = store_wire::StoreCodec.endpoint("e1", text.as_bytes());
    assert!(
        matches!(change, endpoint_registry::EntryChange::Present(_)),
        "{change:?}"
    );
}

fn missing_field_names_no_endpoint(field: &str) {
    let text = entry_with(field, "0").replace(&format!(",\"{field}\":0"), "");
    assert!(!text.contains(field), "{text}");
    entry_names_no_endpoint("e1", text.as_bytes());
}

fn blocked_prompt_is_ignored(value: &str) {
    assert_eq!(
        store_wire::StoreCodec.blocked_request(value.as_bytes()),
        None
    );
}

/// Whether a caller of each gateway is served.
fn assert_all_serve(system: &System, id: &str) {
    for (index, gateway) in system.gateways.iter().enumerate() {
        for path in ["/once/1", "/stream/1"] {
            let id = format!("{id}-{index}-{}", path.len());
            let answer = System::send(gateway.ip, path, &id).expect("an answer");
            assert_eq!(answer.head.status, 200, "{}", system.logs());
            assert!(answer.is_complete, "{}", system.logs());
        }
    }
}

fn assert_all_run(system: &mut System) {
    for index in 0..system.gateways.len() {
        let ended = system.gateways[index].child.try_wait().expect("a child");
        assert_eq!(ended, None, "{}", system.logs());
    }
    assert!(!system.logs().contains("panicked"), "{}", system.logs());
}

/// Odd entries come through the feed at one gateway and from a peer at the other, and from the list
/// at one that starts later. Each goes on to follow the entries.
fn entries_are_followed_beside_odd_ones(odd: &[u8]) {
    let mut system = System::start(2);
    system.store.put("servers", "e0", odd);
    let entry = system.second.entry("m", "z2", "ready");
    system
        .store
        .put("servers", "e3\r\nX-Odd: 1\r\nX-Rest:", &entry);
    let killed = system.kill(1);
    system.start_again(1, killed);
    let ip = system.gateways[1].ip;
    system.wait_for("the gateway that started again is ready", || {
        System::get(ip, 8220, "/ready") == 200
    });
    assert_all_serve(&system, "before");
    let entry = system.first.entry("m", "z1", "draining");
    system.store.put("servers", "e1", &entry);
    thread::sleep(CHANGE_BOUND);
    let before = system.first.received().len();
    assert_all_serve(&system, "after");
    assert_eq!(system.first.received().len(), before, "{}", system.logs());
    let received = system.second.received();
    assert!(received.iter().all(|seen| seen.field("X-Odd").is_none()));
    assert_all_run(&mut system);
}

common::cases! {
    head_is_not_ascii: an_odd_head_fails_the_call_at_most("X-Note: \u{fc}".as_bytes());
    head_is_not_utf8: an_odd_head_fails_the_call_at_most(b"X-Note: \xff");
    head_has_two_dates: an_odd_head_fails_the_call_at_most(b"Date: never\r\nDate: 1e400");
    row_value_is_not_base64: other_rows_are_read(br#"{"key":"e5","value":"%%%","ver":2}"#);
    row_value_is_a_number: other_rows_are_read(br#"{"key":"e5","value":5,"ver":2}"#);
    row_value_is_deep: other_rows_are_read(format!(r#"{{"key":"e5","value":{}}}"#, deep()).as_bytes());
    row_version_is_huge: other_rows_are_read(br#"{"key":"e5","value":"b25l","ver":1e400}"#);
    row_key_is_a_number: other_rows_are_read(br#"{"key":5,"value":"b25l","ver":2}"#);
    row_key_is_half_a_character: other_rows_are_read(br#"{"key":"e\ud800","value":"b25l","ver":2}"#);
    row_key_is_not_utf8: other_rows_are_read(b"{\"key\":\"e\xff\",\"value\":\"b25l\",\"ver\":2}");
    row_has_two_keys: other_rows_are_read(br#"{"key":"e5","key":"e6","value":"b25l","ver":2}"#);
    row_removal_is_a_text: other_rows_are_read(br#"{"key":"e5","value":"b25l","removed":"x"}"#);
    row_is_a_text: other_rows_are_read(br#""e5""#);
    row_is_null: other_rows_are_read(b"null");
    page_ends_with_a_bad_value: the_next_page_is_read(br#"{"key":"e5","value":5}"#);
    page_ends_with_a_bad_key: the_next_page_is_read(br#"{"key":5,"value":"b25l"}"#);
    entry_is_deep: entry_names_no_endpoint("e1", deep().as_bytes());
    entry_is_deep_without_end: entry_names_no_endpoint("e1", "[".repeat(DEEP_LEVELS).as_bytes());
    entry_is_no_utf8: entry_names_no_endpoint("e1", b"{\"service\":\"\xff\"}");
    entry_is_empty: entry_names_no_endpoint("e1", b"");
    slots_are_deep: field_names_no_endpoint("slots", &deep());
    unknown_field_is_deep: entry_names_an_endpoint("models", &deep());
    slots_are_huge: field_names_no_endpoint("slots", "1e400");
    slots_exceed_their_type: field_names_no_endpoint("slots", "18446744073709551616");
    slots_are_negative: field_names_no_endpoint("slots", "-1");
    slots_are_a_fraction: field_names_no_endpoint("slots", "1.5");
    slots_are_no_number: field_names_no_endpoint("slots", "NaN");
    slots_are_zero: field_names_no_endpoint("slots", "0");
    slots_are_many: entry_names_an_endpoint("slots", "4294967295");
    port_is_out_of_range: field_names_no_endpoint("addr", r#""10.0.0.1:65536""#);
    port_is_huge: field_names_no_endpoint("addr", r#""10.0.0.1:99999999999999999999""#);
    port_is_negative: field_names_no_endpoint("addr", r#""10.0.0.1:-1""#);
    port_is_zero: field_names_no_endpoint("addr", r#""10.0.0.1:0""#);
    port_is_missing: field_names_no_endpoint("addr", r#""10.0.0.1""#);
    address_is_unspecified: field_names_no_endpoint("addr", r#""0.0.0.0:80""#);
    address_is_a_name: field_names_no_endpoint("addr", r#""localhost:80""#);
    address_has_a_null_byte: field_names_no_endpoint("addr", r#""10.0.0.1\u0000:80""#);
    address_is_long: field_names_no_endpoint("addr", &format!("\"{}\"", "1".repeat(60_000)));
    state_is_a_number: field_names_no_endpoint("state", "1");
    start_is_negative: field_names_no_endpoint("born", "-1");
    start_is_huge: field_names_no_endpoint("born", "1e400");
    sequence_is_huge: field_names_no_endpoint("seq", "1e400");
    sequence_is_a_text: field_names_no_endpoint("seq", r#""4""#);
    cold_time_is_a_text: field_names_no_endpoint("cold_left_ms", r#""4""#);
    cold_time_is_huge: entry_names_an_endpoint("cold_left_ms", "1e300");
    version_is_a_number: field_names_no_endpoint("version", "1");
    name_has_a_line_break:
        entry_names_no_endpoint("e1\r\nKumquatpulley-Tenant: w2", entry_with("slots", "8").as_bytes());
    name_has_a_null_byte: entry_names_no_endpoint("e\0", entry_with("slots", "8").as_bytes());
    name_has_a_space: entry_names_no_endpoint("e 1", entry_with("slots", "8").as_bytes());
    name_is_empty: entry_names_no_endpoint("", entry_with("slots", "8").as_bytes());
    service_is_missing: missing_field_names_no_endpoint("service");
    address_is_missing: missing_field_names_no_endpoint("addr");
    zone_is_missing: missing_field_names_no_endpoint("zone");
    version_is_missing: missing_field_names_no_endpoint("version");
    slots_are_missing: missing_field_names_no_endpoint("slots");
    state_is_missing: missing_field_names_no_endpoint("state");
    cold_time_is_missing: missing_field_names_no_endpoint("cold_left_ms");
    sequence_is_missing: missing_field_names_no_endpoint("seq");
    blocked_prompt_is_deep: blocked_prompt_is_ignored(&deep());
    blocked_prompt_is_huge: blocked_prompt_is_ignored(r#"{"parts":["1"],"until_ms":1e400,"count":1}"#);
    store_entry_is_deep: entries_are_followed_beside_odd_ones(&deep().as_bytes()[..60_000]);
    store_entry_has_a_huge_number: entries_are_followed_beside_odd_ones(entry_with("slots", "1e400").as_bytes());
    store_entry_has_an_odd_port:
        entries_are_followed_beside_odd_ones(entry_with("addr", r#""127.0.0.1:65536""#).as_bytes());
    store_entry_is_no_utf8: entries_are_followed_beside_odd_ones(b"\xff\0\xfe");
    store_entry_has_an_odd_name: entries_are_followed_beside_odd_ones(entry_with("born", "5").as_bytes());
}
