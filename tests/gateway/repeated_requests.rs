//! Decides from reported crashes which repeated requests are kept from endpoints. Sound requests that
//! are in flight at the same crashes must not be blocked with them.

use kumquatpulley::connection::crash_wire;
use kumquatpulley::process::gateway::{crash_ledger, crash_record, feature_success};
use kumquatpulley::request::relay::request_feature;

use crate::common;
use crate::support::crash_features;

/// Time from the sending of the guilty request to the crash.
const CRASH_MS: u64 = 60;

/// Time until an endpoint that crashed is back.
const RESTART_MS: u64 = 3_200;

/// A crash at `millis` of a request with this body that was sent just before the run that crashed.
fn crash(request: u64, endpoint: u64, body: &str, millis: u64) -> crash_record::CrashRecord {
    crash_record::CrashRecord {
        request,
        endpoint,
        features: vec![crash_features::whole(body)],
        sent_at: crash_features::at(millis - CRASH_MS),
        crashed_at: crash_features::at(millis),
    }
}

fn ledger(crashes: &[crash_record::CrashRecord]) -> crash_ledger::CrashLedger {
    let mut ledger = crash_ledger::CrashLedger::default();
    for crash in crashes {
        ledger.record_crash(crash.clone(), crash.crashed_at);
    }
    ledger
}

fn succeed(ledger: &mut crash_ledger::CrashLedger, body: &str, millis: u64) {
    ledger.record_success(feature_success::FeatureSuccess {
        feature: crash_features::whole(body),
        at: crash_features::at(millis),
    });
}

fn is_suspect(ledger: &crash_ledger::CrashLedger, body: &str) -> bool {
    !ledger.suspects(&[crash_features::whole(body)]).is_empty()
}

fn three_crashes_of_two_requests_are_enough() {
    let crashes = [
        crash(1, 10, "bad", 8_000),
        crash(2, 11, "bad", 8_050),
        crash(2, 12, "bad", 8_200),
    ];
    assert!(!is_suspect(&ledger(&crashes[..2]), "bad"));
    assert!(is_suspect(&ledger(&crashes), "bad"));
}

/// A long call can meet three endpoints that are stopped one after the other.
fn attempts_of_one_request_are_not_enough() {
    let crashes: Vec<_> = (0..3)
        .map(|number| crash(1, number, "long", 8_000 + number * 1_000))
        .collect();
    assert!(!is_suspect(&ledger(&crashes), "long"));
}

/// A broken endpoint crashes on all requests, and another one crashed once for a reason of its own.
fn crashes_of_a_broken_endpoint_do_not_show_a_new_request() {
    let mut ledger = ledger(&[crash(1, 11, "new", 8_000)]);
    for number in 0..10 {
        let millis = 9_000 + number * 1_000;
        ledger.record_crash(crash(number, 10, "new", millis), crash_features::at(millis));
        assert!(!is_suspect(&ledger, "new"), "after {} crashes", number + 2);
    }
}

/// Two endpoints keep their names when they restart.
fn two_crashes_of_each_of_two_endpoints_are_enough() {
    let crashes: Vec<_> = (0..4)
        .map(|number| crash(number, 10 + number % 2, "bad", 8_000 + number * 500))
        .collect();
    assert!(!is_suspect(&ledger(&crashes[..3]), "bad"));
    assert!(is_suspect(&ledger(&crashes), "bad"));
}

/// The sound request comes often, and one of it is in flight at each crash.
fn a_request_that_works_meanwhile_is_not_suspected() {
    let mut ledger = ledger(&[]);
    for number in 0..40 {
        let millis = 8_000 + number * 500;
        succeed(&mut ledger, "hot", millis - 200);
        ledger.record_crash(
            crash(number, number, "hot", millis),
            crash_features::at(millis),
        );
        assert!(!is_suspect(&ledger, "hot"), "after {} crashes", number + 1);
    }
}

/// All endpoints crash in a row, so that no sound request is answered in between.
fn a_request_beside_the_guilty_one_is_not_suspected() {
    let mut ledger = ledger(&[]);
    succeed(&mut ledger, "hot", 7_900);
    for number in 0..4 {
        let millis = 8_000 + number * 70;
        ledger.record_crash(
            crash(100 + number, number, "hot", millis),
            crash_features::at(millis),
        );
        assert!(!is_suspect(&ledger, "hot"), "before the guilty one is told");
        ledger.record_crash(
            crash(number, number, "bad", millis),
            crash_features::at(millis),
        );
        assert!(!is_suspect(&ledger, "hot"));
        assert_eq!(is_suspect(&ledger, "bad"), number >= 2);
    }
}

/// Neither of two requests ever worked; the one that crashes endpoints alone, too, is at fault.
fn of_two_that_never_worked_the_one_with_more_crashes_is_suspected() {
    let mut ledger = ledger(&[]);
    for number in 0..3 {
        let millis = 8_000 + number * 1_000;
        ledger.record_crash(
            crash(number, number, "bad", millis),
            crash_features::at(millis),
        );
        ledger.record_crash(
            crash(100 + number, number, "new", millis),
            crash_features::at(millis),
        );
    }
    assert!(!is_suspect(&ledger, "new") && !is_suspect(&ledger, "bad"));
    ledger.record_crash(crash(4, 4, "bad", 12_000), crash_features::at(12_000));
    assert!(is_suspect(&ledger, "bad"));
    assert!(!is_suspect(&ledger, "new"));
}

/// Endpoints crash in a loop for another reason, and all requests are lost with them.
fn endpoints_that_crash_in_a_loop_do_not_show_a_request() {
    let mut ledger = ledger(&[]);
    succeed(&mut ledger, "hot", 7_900);
    for number in 0..40 {
        let millis = 8_000 + number * 800;
        // The sound request is in flight at two of three crashes.
        if number % 3 > 0 {
            ledger.record_crash(
                crash(100 + number, number % 4, "hot", millis),
                crash_features::at(millis),
            );
        }
        let other = format!("other {number}");
        ledger.record_crash(
            crash(number, number % 4, &other, millis),
            crash_features::at(millis),
        );
        assert!(!is_suspect(&ledger, "hot"), "after {} crashes", number + 1);
    }
}

fn a_request_that_worked_needs_consecutive_crashes() {
    let mut ledger = ledger(&[]);
    succeed(&mut ledger, "bad", 7_000);
    for number in 0..5 {
        let millis = 8_000 + number * 1_000;
        assert!(!is_suspect(&ledger, "bad"), "after {number} crashes");
        ledger.record_crash(
            crash(number, number, "bad", millis),
            crash_features::at(millis),
        );
    }
    assert!(is_suspect(&ledger, "bad"));
}

/// A repeated request with a prompt crashes engines; its part is shared with sound prompts that are
/// rare.
fn a_repeated_prompt_does_not_make_its_shared_part_suspect() {
    let part = request_feature::RequestFeature(3);
    let mut ledger = ledger(&[]);
    let success = feature_success::FeatureSuccess {
        feature: part,
        at: crash_features::at(7_000),
    };
    ledger.record_success(success);
    let features = [crash_features::whole("bad"), part];
    for number in 0..4 {
        let millis = 9_000 + number * 1_300;
        let mut lost = crash(number, number, "bad", millis);
        lost.features = features.to_vec();
        ledger.record_crash(lost, crash_features::at(millis));
    }
    assert_eq!(ledger.suspects(&features), [[crash_features::whole("bad")]]);
}

/// A router that knows of the crashes of the sound request alone would take it for the guilty one.
fn evidence_holds_the_requests_that_were_lost_together() {
    let crashes = [
        crash(1, 10, "bad", 8_000),
        crash(2, 10, "hot", 8_010),
        crash(3, 11, "bad", 9_000),
        crash(4, 12, "other", 9_500),
    ];
    let late = crash_features::at(200_000);
    let evidence = ledger(&crashes).evidence_about(&[crash_features::whole("hot")], late);
    let mut told: Vec<u64> = evidence.crashes.iter().map(|lost| lost.request).collect();
    told.sort_unstable();
    assert_eq!(told, [1, 2, 3]);
}

/// What runs at an endpoint.
struct OpenRun {
    body: String,
    request: u64,
    attempts: u64,
    sent_ms: u64,
    ends_ms: u64,
}

/// An endpoint of [`replay`].
#[derive(Default)]
struct ReplayedEndpoint {
    name: u64,
    back_ms: u64,
    runs: Vec<OpenRun>,
}

/// Four endpoints run a guilty request, one that is hot and others that come once. Lost requests are
/// told in any order. Returns the crashes until the guilty one is suspected.
fn replay(seed: u64, guilty_per_s: u64, hot_per_s: u64, work_ms: u64) -> usize {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut ledger = ledger(&[]);
    let mut endpoints: Vec<ReplayedEndpoint> = (0..4)
        .map(|name| ReplayedEndpoint {
            name,
            ..Default::default()
        })
        .collect();
    let (mut number, mut crashes, mut is_blocked) = (10, 0, false);
    let mut waiting: Vec<OpenRun> = Vec::new();
    for now in 10_000..40_000_u64 {
        let mut arrive = |body: String, work_ms, waiting: &mut Vec<OpenRun>| {
            number += 1;
            waiting.push(OpenRun {
                body,
                request: number,
                attempts: 2,
                sent_ms: now,
                ends_ms: now + work_ms,
            });
        };
        // Before the guilty request comes, the others are served.
        if now > 12_000 && !is_blocked && random.u64(..1_000) < guilty_per_s {
            arrive("bad".to_owned(), CRASH_MS, &mut waiting);
        }
        if random.u64(..1_000) < hot_per_s {
            arrive("hot".to_owned(), work_ms, &mut waiting);
        }
        if random.u64(..1_000) < 20 {
            arrive(format!("other {now}"), random.u64(10..100), &mut waiting);
        }
        for mut run in waiting.drain(..) {
            let up = endpoints.iter_mut().filter(|one| one.back_ms <= now);
            let up: Vec<&mut ReplayedEndpoint> = up.collect();
            if let Some(endpoint) = random.choice(up) {
                run.ends_ms = now + (run.ends_ms - run.sent_ms);
                run.sent_ms = now;
                endpoint.runs.push(run);
            }
        }
        for endpoint in &mut endpoints {
            let (ended, open) = std::mem::take(&mut endpoint.runs)
                .into_iter()
                .partition::<Vec<_>, _>(|run| run.ends_ms <= now);
            endpoint.runs = open;
            let is_crash = ended.iter().any(|run| run.body == "bad");
            for run in ended.iter().filter(|run| run.body != "bad") {
                succeed(&mut ledger, &run.body, now);
            }
            if !is_crash {
                continue;
            }
            crashes += usize::from(!is_blocked);
            let mut lost: Vec<OpenRun> =
                ended.into_iter().filter(|run| run.body == "bad").collect();
            lost.append(&mut endpoint.runs);
            random.shuffle(&mut lost);
            for run in lost {
                let record = crash_record::CrashRecord {
                    sent_at: crash_features::at(run.sent_ms),
                    ..crash(run.request, endpoint.name, &run.body, now)
                };
                ledger.record_crash(record, crash_features::at(now));
                let is_shown = is_suspect(&ledger, &run.body);
                assert!(!is_shown || run.body == "bad", "{} is sound", run.body);
                is_blocked |= is_shown;
                if run.attempts > 1 && !(run.body == "bad" && is_blocked) {
                    waiting.push(OpenRun {
                        attempts: run.attempts - 1,
                        ..run
                    });
                }
            }
            // Each start is a new endpoint.
            endpoint.name += 4;
            endpoint.back_ms = now + RESTART_MS;
        }
    }
    assert!(is_blocked, "not suspected after {crashes} crashes");
    crashes
}

fn the_guilty_one_is_found_beside(guilty_per_s: u64, hot_per_s: u64, work_ms: u64) {
    for seed in 0..20 {
        let crashes = replay(seed, guilty_per_s, hot_per_s, work_ms);
        assert!(crashes <= 5, "seed {seed}: {crashes} crashes");
    }
}

/// Guards against a fingerprint that depends on how the body arrived: the same request would not be
/// recognized again, nor by routers that have it in one piece.
fn segments_do_not_change_the_fingerprint() {
    let content = request_feature::RequestContent {
        caller: Some("w"),
        method: "POST",
        host: "h",
        target: "/safe/1",
        body: &[b"hello"],
    };
    let whole = request_feature::RequestFeature::whole(&content);
    for body in [
        &[&b"he"[..], b"llo"][..],
        &[b"hello", b""],
        &[b"", b"h", b"ello"],
    ] {
        let parts = request_feature::RequestContent { body, ..content };
        assert_eq!(request_feature::RequestFeature::whole(&parts), whole);
    }
}

fn requests_that_differ_have_other_fingerprints() {
    let content = request_feature::RequestContent {
        caller: Some("w"),
        method: "POST",
        host: "h",
        target: "/safe/1",
        body: &[b"hi"],
    };
    let others = [
        request_feature::RequestContent {
            caller: Some("v"),
            ..content
        },
        request_feature::RequestContent {
            caller: None,
            ..content
        },
        request_feature::RequestContent {
            method: "PUT",
            ..content
        },
        request_feature::RequestContent {
            host: "g",
            ..content
        },
        request_feature::RequestContent {
            target: "/safe/1h",
            body: &[b"i"],
            ..content
        },
        request_feature::RequestContent {
            body: &[b""],
            ..content
        },
    ];
    let own = request_feature::RequestFeature::whole(&content);
    assert!(own.is_whole());
    let same = request_feature::RequestContent {
        host: "H",
        ..content
    };
    assert_eq!(request_feature::RequestFeature::whole(&same), own);
    for other in others {
        let other_whole = request_feature::RequestFeature::whole(&other);
        assert_ne!(other_whole, own, "{other:?}");
    }
}

/// Routers of the version before have the same message, of parts of prompts alone.
fn a_router_of_the_version_before_reads_a_crash() {
    let wire = crash_wire::RequestCrashWire {
        request: 1,
        endpoint: 2,
        features: vec![crash_features::whole("bad").0],
        age_micros: 3,
        running_micros: 4,
    };
    let config = bincode::config::standard();
    let bytes = bincode::serde::encode_to_vec(&wire, config).expect("plain data");
    let (before, _length): ((u64, u64, Vec<u64>, u64, u64), usize) =
        bincode::serde::decode_from_slice(&bytes, config).expect("the same layout");
    assert_eq!(before, (1, 2, vec![crash_features::whole("bad").0], 3, 4));
}

common::cases! {
    segmented_body: segments_do_not_change_the_fingerprint();
    three_crashes: three_crashes_of_two_requests_are_enough();
    one_request: attempts_of_one_request_are_not_enough();
    broken_endpoint: crashes_of_a_broken_endpoint_do_not_show_a_new_request();
    two_endpoints: two_crashes_of_each_of_two_endpoints_are_enough();
    works_meanwhile: a_request_that_works_meanwhile_is_not_suspected();
    beside: a_request_beside_the_guilty_one_is_not_suspected();
    never_worked: of_two_that_never_worked_the_one_with_more_crashes_is_suspected();
    crash_loop: endpoints_that_crash_in_a_loop_do_not_show_a_request();
    worked_once: a_request_that_worked_needs_consecutive_crashes();
    repeated_prompt: a_repeated_prompt_does_not_make_its_shared_part_suspect();
    lost_together: evidence_holds_the_requests_that_were_lost_together();
    replay_rare: the_guilty_one_is_found_beside(1, 20, 60);
    replay_frequent: the_guilty_one_is_found_beside(10, 20, 60);
    replay_hot: the_guilty_one_is_found_beside(5, 200, 15);
    replay_hot_long: the_guilty_one_is_found_beside(5, 100, 100);
    fingerprints: requests_that_differ_have_other_fingerprints();
    version_before: a_router_of_the_version_before_reads_a_crash();
}
