//! Which version began a stream: what a gateway remembers, writes, and concludes.

use std::time;

use kumquatpulley::process::gateway::boot_clock;
use kumquatpulley::process::gateway::stream_versions::{ledger, row};

use crate::common;

const SERVICE: &str = "models";

fn at(seconds: u64) -> boot_clock::BootInstant {
    boot_clock::BootInstant(time::Duration::from_secs(1_000 + seconds))
}

fn ledger_with(versions: &[&str]) -> ledger::VersionLedger {
    let mut ledger = ledger::VersionLedger::default();
    observe(&mut ledger, versions, 0);
    ledger
}

fn observe(ledger: &mut ledger::VersionLedger, versions: &[&str], seconds: u64) -> bool {
    let endpoints = versions.iter().map(|version| (SERVICE, *version));
    ledger.observe(endpoints, at(seconds))
}

fn unwritten(ledger: &ledger::VersionLedger, seconds: u64) -> Vec<String> {
    let streams = ledger.unwritten(at(seconds), 100);
    let mut requests: Vec<String> = streams.into_iter().map(|stream| stream.request).collect();
    requests.sort_unstable();
    requests
}

fn write_all(ledger: &mut ledger::VersionLedger, seconds: u64) {
    let streams = ledger.unwritten(at(seconds), 100);
    ledger.set_written(&streams);
}

fn origin(ledger: &ledger::VersionLedger, request: &str, seconds: u64) -> ledger::LedgerOrigin {
    ledger.origin(SERVICE, Some(request), at(seconds))
}

fn known(version: &str) -> ledger::LedgerOrigin {
    ledger::LedgerOrigin::Known(version.to_owned())
}

fn sole(version: &str) -> ledger::LedgerOrigin {
    ledger::LedgerOrigin::Sole(version.to_owned())
}

/// Guards against writes to the store where a service has one version only.
fn nothing_is_written_for_one_version() {
    let mut ledger = ledger_with(&["v1", "v1"]);
    assert!(!ledger.record("s", (SERVICE, "v1"), at(1)));
    assert!(unwritten(&ledger, 2).is_empty());
    assert_eq!(origin(&ledger, "s", 2), known("v1"));
    assert_eq!(origin(&ledger, "other", 2), sole("v1"));
    ledger.complete("s");
    assert!(ledger.removable(at(3), 100).is_empty());
}

/// Guards against streams that nobody knows, as they began before the second version was there.
fn running_streams_are_written_once_there_is_another_version() {
    let mut ledger = ledger_with(&["v1"]);
    ledger.record("s", (SERVICE, "v1"), at(1));
    assert!(observe(&mut ledger, &["v1", "v2"], 2));
    assert_eq!(unwritten(&ledger, 2), ["s"]);
    assert_eq!(origin(&ledger, "other", 2), ledger::LedgerOrigin::Mixed);
    write_all(&mut ledger, 2);
    assert!(unwritten(&ledger, 3).is_empty());
    assert!(!observe(&mut ledger, &["v1", "v2"], 3));
}

/// Guards against a stream of a version that has left and is taken up at the one that is there.
fn a_departed_version_counts_until_its_streams_cannot_be_taken_up() {
    let mut ledger = ledger_with(&["v1", "v2"]);
    observe(&mut ledger, &["v2"], 10);
    assert!(ledger.record("s", (SERVICE, "v2"), at(11)));
    let retention = ledger::RETENTION.as_secs();
    assert_eq!(
        origin(&ledger, "other", 9 + retention),
        ledger::LedgerOrigin::Mixed
    );
    assert_eq!(origin(&ledger, "other", 10 + retention), sole("v2"));
}

fn versions_that_others_wrote_count() {
    let mut ledger = ledger_with(&["v2"]);
    ledger.add_departed(SERVICE, "v1", at(0));
    assert_eq!(origin(&ledger, "s", 5), ledger::LedgerOrigin::Mixed);
    ledger.add_departed("other", "v9", at(0));
    assert_eq!(
        ledger.origin("none", None, at(5)),
        ledger::LedgerOrigin::NoEndpoint
    );
}

fn rows_of_complete_and_old_streams_are_removed() {
    let mut ledger = ledger_with(&["v1", "v2"]);
    for request in ["a", "b", "c"] {
        ledger.record(request, (SERVICE, "v1"), at(1));
    }
    ledger.complete("c");
    assert_eq!(unwritten(&ledger, 2), ["a", "b"]);
    write_all(&mut ledger, 2);
    ledger.complete("a");
    assert_eq!(ledger.removable(at(3), 100), ["a"]);
    ledger.set_removed(&["a".to_owned()]);
    assert_eq!(
        ledger.removable(at(1 + ledger::RETENTION.as_secs()), 100),
        ["b"]
    );
    assert_eq!(origin(&ledger, "a", 3), ledger::LedgerOrigin::Mixed);
}

/// Guards against rows that a restored store lacks.
fn a_restored_store_gets_all_rows_again() {
    let mut ledger = ledger_with(&["v1", "v2"]);
    ledger.record("s", (SERVICE, "v1"), at(1));
    write_all(&mut ledger, 2);
    ledger.set_restored();
    assert_eq!(unwritten(&ledger, 3), ["s"]);
}

/// A caller may name any request, also one of another service.
fn a_stream_of_another_service_is_not_known() {
    let mut ledger = ledger_with(&["v1", "v2"]);
    ledger.record("s", ("other", "v1"), at(1));
    assert_eq!(origin(&ledger, "s", 2), ledger::LedgerOrigin::Mixed);
}

fn rows_are_read_as_written() {
    let written = row::VersionRow {
        service: SERVICE.to_owned(),
        version: "v1/\"2".to_owned(),
        began: time::Duration::from_millis(1_234_567),
    };
    assert_eq!(
        row::VersionRow::decode(&written.encode()),
        Some(written.clone())
    );
    assert_eq!(row::VersionRow::decode(b"{}"), None);
    let long = "r".repeat(200);
    for key in [row::VersionRow::stream_key(&long), written.version_key()] {
        assert!(key.len() <= 200, "{key}");
    }
}

common::cases! {
    one_version: nothing_is_written_for_one_version();
    second_version: running_streams_are_written_once_there_is_another_version();
    departed_version: a_departed_version_counts_until_its_streams_cannot_be_taken_up();
    versions_of_others: versions_that_others_wrote_count();
    removed_rows: rows_of_complete_and_old_streams_are_removed();
    restored_store: a_restored_store_gets_all_rows_again();
    other_service: a_stream_of_another_service_is_not_known();
    rows: rows_are_read_as_written();
}
