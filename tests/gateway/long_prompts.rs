//! Prompts with as many parts as a request head can name: each part counts, and what routers keep, send
//! and log of them stays bounded.

use std::time;

use kumquatpulley::connection::h1::head;
use kumquatpulley::platform::request_header;
use kumquatpulley::process::gateway::{crash_ledger, crash_record};
use kumquatpulley::request::relay::dialect::RequestDialect as _;
use kumquatpulley::request::relay::request_feature;

use crate::common;
use crate::support::crash_features;

/// Bytes of a request head.
const HEAD_BYTES: usize = 16_384;

/// Parts of the longest prompts, each with an ID of three digits and a comma.
const MOST_PARTS: u64 = HEAD_BYTES as u64 / 4;

/// Bytes of features that a router may keep, 1 MiB, and those that it may tell a peer at once: less than
/// a tenth of a second on a link of 10 Mbit/s.
const KEPT_FEATURES: usize = 1024 * 1024 / 8;
const TOLD_FEATURES: usize = 10_000_000 / 8 / 10 / 9;

/// Features of a block, which the store and all routers keep.
const BLOCKED_FEATURES: usize = 64;

const DEADLY: request_feature::RequestFeature = request_feature::RequestFeature(7);

/// Crash of an endpoint, one a second, on a prompt that names [`MOST_PARTS`] besides the deadly one.
fn crash(number: u64, first_part: u64) -> crash_record::CrashRecord {
    let parts = first_part..first_part + MOST_PARTS;
    let parts = parts.map(request_feature::RequestFeature);
    crash_record::CrashRecord {
        request: number,
        endpoint: number,
        features: parts.chain([DEADLY]).collect(),
        sent_at: crash_features::at(1_000 * number),
        crashed_at: crash_features::at(1_000 * number + 900),
    }
}

fn ledger(crashes: impl Iterator<Item = crash_record::CrashRecord>) -> crash_ledger::CrashLedger {
    let mut ledger = crash_ledger::CrashLedger::default();
    for crash in crashes {
        let now = crash.crashed_at;
        ledger.record_crash(crash, now);
    }
    ledger
}

/// Parts behind the 32nd were not read, so one that crashes engines was never found.
fn all_shared_parts_are_read_once(count: u64, repeats: usize) {
    let parts: Vec<String> = (0..count).map(|id| format!("{id:x}:9")).collect();
    let text = vec![parts.join(","); repeats].join(",");
    let mut headers = head::HeaderList::default();
    headers.push("Host", "h");
    headers.push("Kumquatpulley-Request-Id", "r");
    headers.push("Kumquatpulley-Prompt-Prefix", format!("{text},ffff:9"));
    let head = head::RequestHead {
        method: "POST".to_owned(),
        target: "/".to_owned(),
        headers,
        is_http11: true,
    };
    let terms = request_header::HeaderDialect.request_metadata(&head);
    let read = terms.expect("a valid request").shared_parts;
    let expected: Vec<_> = (0..count).map(request_feature::RequestFeature).collect();
    assert_eq!(read, expected);
}

/// Comparing each part with each other one takes too long for the longest prompts.
fn one_part_of_the_longest_prompts_is_found() {
    let ledger = ledger((0..5).map(|number| crash(number, 10_000 * (number + 1))));
    let began = time::Instant::now();
    let suspects = ledger.suspects(&crash(4, 50_000).features);
    let elapsed = began.elapsed();
    assert_eq!(suspects, [vec![DEADLY]]);
    assert!(elapsed < time::Duration::from_secs(5), "{elapsed:?}");
}

/// A block names all parts that cannot be told apart, which can be thousands.
fn a_block_of_the_longest_prompts_is_bounded() {
    let ledger = ledger((0..5).map(|number| crash(number, 10_000)));
    let suspects = ledger.suspects(&crash(4, 10_000).features);
    assert_eq!(suspects.len(), 1);
    assert!(suspects[0].len() <= BLOCKED_FEATURES && suspects[0].is_sorted());
    assert!(
        suspects[0]
            .iter()
            .all(|feature| crash(4, 10_000).features.contains(feature))
    );
}

/// The number of crashes alone does not bound the memory of a router.
fn kept_features_are_bounded() {
    let ledger = ledger((0..100).map(|number| crash(number, 10_000 * (number + 1))));
    let kept = ledger.crashes_of(&[DEADLY]);
    let features: usize = kept.iter().map(|crash| crash.features.len()).sum();
    assert!(features <= KEPT_FEATURES, "{features}");
    assert!(kept.len() >= 5 && kept.iter().any(|crash| crash.request == 99));
}

/// A reply that takes too long is not used, so the asker decides without what its peers know.
fn told_features_are_bounded() {
    let ledger = ledger((0..30).map(|number| crash(number, 10_000 * (number + 1))));
    let evidence = ledger.evidence_about(&[DEADLY], crash_features::at(30_000));
    let features: usize = evidence
        .crashes
        .iter()
        .map(|crash| crash.features.len())
        .sum();
    assert!(
        features <= TOLD_FEATURES && !evidence.crashes.is_empty(),
        "{features}"
    );
}

/// A log line of each attempt names the parts of its prompt.
fn logged_features_are_bounded() {
    let few = request_feature::join(&crash(0, 8).features[..3]);
    assert_eq!(few, "8,9,a");
    let text = request_feature::join(&crash(0, 8).features);
    assert!(text.len() < 1_024 && text.ends_with(",+4065"), "{text}");
}

common::cases! {
    sixty_parts: all_shared_parts_are_read_once(60, 1);
    most_parts: all_shared_parts_are_read_once(3_000, 1);
    repeated_parts: all_shared_parts_are_read_once(60, 3);
    found: one_part_of_the_longest_prompts_is_found();
    block: a_block_of_the_longest_prompts_is_bounded();
    kept: kept_features_are_bounded();
    told: told_features_are_bounded();
    logged: logged_features_are_bounded();
}
