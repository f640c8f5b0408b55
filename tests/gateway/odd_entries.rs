//! Odd rows and entries in the store affect nothing but themselves.

use std::io::Write as _;
use std::net;
use std::time;

use async_std::task;
use kumquatpulley::platform::store_client;
use kumquatpulley::process::gateway::rows;
use kumquatpulley::process::gateway::rows::RowStore as _;

use crate::common;
use crate::support::fakes;

/// Levels of nesting that overflow the stack of a decoder without a limit.
const DEEP_LEVELS: usize = 200_000;

fn deep() -> String {
    format!("{}{}", "[".repeat(DEEP_LEVELS), "]".repeat(DEEP_LEVELS))
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

common::cases! {
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
}
