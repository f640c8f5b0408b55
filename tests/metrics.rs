//! Counters are kept for operators and reach a StatsD address in time.

use std::collections;
use std::net;
use std::thread;
use std::time;

use kumquatpulley::process::telemetry::metrics;

/// Longer than lines are collected, with room for a busy machine.
const RECEIVE_LIMIT: time::Duration = time::Duration::from_secs(10);

fn receiver() -> net::UdpSocket {
    let socket = net::UdpSocket::bind("127.0.0.1:0").expect("free port");
    socket
        .set_read_timeout(Some(RECEIVE_LIMIT))
        .expect("timeout");
    socket
}

fn receive(socket: &net::UdpSocket) -> String {
    let mut bytes = [0; 2048];
    let length = socket.recv(&mut bytes).expect("a packet in time");
    String::from_utf8_lossy(&bytes[..length]).into_owned()
}

#[test]
fn counters_add_up_over_threads() {
    let metrics = metrics::RouterMetrics::new(None).unwrap();
    thread::scope(|scope| {
        for _thread in 0..4 {
            scope.spawn(|| {
                for _count in 0..1000 {
                    metrics.count("request.admitted");
                    metrics.count_by("tokens", 3);
                }
            });
        }
    });
    let wanted = collections::BTreeMap::from([("request.admitted", 4_000), ("tokens", 12_000)]);
    assert_eq!(metrics.snapshot(), wanted);
}

#[test]
fn a_single_count_is_sent_without_more_to_follow() {
    let socket = receiver();
    let metrics = metrics::RouterMetrics::new(socket.local_addr().ok()).unwrap();
    metrics.count("request.refused");
    assert_eq!(
        receive(&socket).trim_end(),
        "kumquatpulley.request.refused:1|c"
    );
}

#[test]
fn timings_and_gauges_are_sent_in_their_units() {
    let socket = receiver();
    let metrics = metrics::RouterMetrics::new(socket.local_addr().ok()).unwrap();
    metrics.time("resume", time::Duration::from_millis(21));
    metrics.gauge("members", 3);
    let text = receive(&socket);
    assert!(text.contains("kumquatpulley.resume:21|ms"), "{text}");
    assert!(text.contains("kumquatpulley.members:3|g"), "{text}");
}

#[test]
fn a_receiver_that_is_gone_costs_no_count() {
    let address = receiver().local_addr().ok();
    let metrics = metrics::RouterMetrics::new(address).unwrap();
    for _count in 0..10_000 {
        metrics.count("request.admitted");
    }
    assert_eq!(metrics.snapshot()["request.admitted"], 10_000);
}

#[test]
fn metrics_text_shows_counters_latency_and_gauges() {
    let metrics = metrics::RouterMetrics::new(None).unwrap();
    metrics.count_by("relay.stream_lost", 2);
    metrics.time("relay.resumed", time::Duration::from_millis(21));
    metrics.time("relay.resumed", time::Duration::from_secs(60));
    metrics.gauge("members.ready", 3);
    let text = metrics.text();
    for line in [
        "kumquatpulley_relay_stream_lost_total 2",
        "kumquatpulley_relay_resumed_seconds_bucket{le=\"0.005\"} 0",
        "kumquatpulley_relay_resumed_seconds_bucket{le=\"0.025\"} 1",
        "kumquatpulley_relay_resumed_seconds_bucket{le=\"+Inf\"} 2",
        "kumquatpulley_relay_resumed_seconds_count 2",
        "kumquatpulley_members_ready 3",
    ] {
        assert!(text.lines().any(|held| held == line), "{line} in {text}");
    }
}

/// A roll-out changes its phase; the metric must not go on showing the one before.
#[test]
fn a_labelled_gauge_shows_the_present_labels_only() {
    let metrics = metrics::RouterMetrics::new(None).unwrap();
    metrics.gauge("members.ready", 3);
    let text = |phase: Option<&str>| {
        let samples = phase.map(|phase| ([phase.to_owned()], 50));
        metrics.text_with("rollout.share_millis", ["phase"], samples.into_iter())
    };
    let ramping = "kumquatpulley_rollout_share_millis{phase=\"ramping\"} 50";
    assert!(text(Some("ramping")).contains(ramping));
    assert!(!text(Some("reverted")).contains("ramping"));
    assert_eq!(text(None), metrics.text());
}
