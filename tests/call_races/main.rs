//! Concurrent copies of a call sent to several router processes run exactly once.

use std::collections;
use std::time;

use async_std::task;
use futures::future;
use kumquatpulley::connection::http;
use kumquatpulley::request::key;

#[expect(
    dead_code,
    reason = "shared with the fault matrix, which uses the rest"
)]
#[path = "../fault_matrix/bench.rs"]
mod bench;
#[path = "../fault_matrix/declarations.rs"]
mod declarations;
#[expect(
    dead_code,
    reason = "shared with the fault matrix, which uses the rest"
)]
#[path = "../fault_matrix/process.rs"]
mod process;

const ROUTERS: usize = 3;
const COPIES: usize = 12;
const MAX_BODY_BYTES: usize = 64 * 1024;

const LIMITS: http::ExchangeLimits = http::ExchangeLimits {
    connect: time::Duration::from_secs(1),
    head: time::Duration::from_secs(10),
};

/// Status, verdict and body of a response.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct RaceAnswer {
    status: u16,
    verdict: Option<String>,
    body: String,
}

async fn start() -> bench::TestBench {
    let plan = bench::BenchPlan {
        routers: ROUTERS,
        engines: 1,
        service: true,
        ..bench::BenchPlan::default()
    };
    bench::TestBench::start(plan).await.expect("bench")
}

async fn mint(bench: &bench::TestBench, router: usize) -> String {
    let listen = bench.routers[router].listen;
    let answer = process::get_json(listen, "/v1/addresses").await;
    let answer = answer.expect("addresses");
    let addresses = answer["addresses"].as_array().expect("a list");
    let own = addresses
        .iter()
        .find(|entry| entry["address"] == listen.to_string())
        .expect("the router names itself");
    let home = own["home"].as_str().expect("a home").parse();
    key::RequestKey::mint(&home.expect("a home name")).to_string()
}

async fn reserve(bench: &bench::TestBench, router: usize, key: &str, body: &str) -> RaceAnswer {
    let address = bench.routers[router].listen.to_string();
    let method = http_types::Method::Post;
    let mut request = http::request(method, &address, "/s/stock/reservations/7");
    request.insert_header("authorization", format!("Bearer {}", bench::BEARER));
    request.insert_header("idempotency-key", key);
    request.set_body(body);
    let mut response = Box::pin(http::send(&address, request, LIMITS))
        .await
        .expect("an answer");
    let header = response.header("x-kumquatpulley-verdict");
    let verdict = header.map(|values| values.as_str().to_owned());
    let mut body = response.take_body();
    let bytes = http::read_body(&mut body, LIMITS.head, MAX_BODY_BYTES);
    RaceAnswer {
        status: u16::from(response.status()),
        verdict,
        body: String::from_utf8(bytes.await.expect("a body")).expect("text"),
    }
}

async fn executions(bench: &bench::TestBench, key: &str) -> usize {
    let service = bench.service.as_ref().expect("planned");
    let stats = service.stand_in.stats().await.expect("stats");
    let log = stats["executions"].as_array().expect("a list");
    log.iter().filter(|record| record["key"] == key).count()
}

async fn race(bench: &bench::TestBench, key: &str) {
    let copies = (0..COPIES).map(|index| reserve(bench, index % ROUTERS, key, "40 covers"));
    let answers = future::join_all(copies).await;
    let distinct: collections::HashSet<_> = answers.iter().collect();
    assert_eq!(distinct.len(), 1, "{distinct:?}");
    assert_eq!(answers[0].status, 200, "{answers:?}");
    assert_eq!(executions(bench, key).await, 1, "{key}");
}

#[test]
fn copies_with_home_key_run_once() {
    task::block_on(async {
        let bench = start().await;
        for round in 0..6 {
            let key = mint(&bench, round % ROUTERS).await;
            race(&bench, &key).await;
        }
    });
}

#[test]
fn copies_with_client_key_run_once() {
    task::block_on(async {
        let bench = start().await;
        for round in 0..6 {
            race(&bench, &format!("order-{round}")).await;
        }
    });
}

#[test]
fn key_of_another_request_is_refused_at_every_router() {
    task::block_on(async {
        let bench = start().await;
        for key in [mint(&bench, 0).await, "order-7".to_owned()] {
            let first = reserve(&bench, 1, &key, "40 covers").await;
            assert_eq!(first.status, 200, "{first:?}");
            for router in 0..ROUTERS {
                let other = reserve(&bench, router, &key, "50 covers").await;
                assert_eq!(other.status, 422, "{other:?}");
            }
            assert_eq!(executions(&bench, &key).await, 1);
        }
    });
}

#[test]
fn call_of_dead_home_is_not_resent() {
    task::block_on(async {
        let mut bench = start().await;
        let (with_home, own) = (mint(&bench, 0).await, "order-8".to_owned());
        for key in [&with_home, &own] {
            let first = reserve(&bench, 0, key, "40 covers").await;
            assert_eq!(first.status, 200, "{first:?}");
        }
        bench.routers[0].process.kill();
        for key in [&with_home, &own] {
            let sent_at = time::Instant::now();
            let answer = reserve(&bench, 1, key, "40 covers").await;
            assert_eq!(
                answer.verdict.as_deref(),
                Some("may-have-run"),
                "{answer:?}"
            );
            assert!(sent_at.elapsed() < time::Duration::from_secs(4));
        }
        bench.routers[0].process.restart().expect("restart");
        bench.wait_ready().await.expect("ready");
        for (router, key) in [(0, &with_home), (1, &with_home), (0, &own), (2, &own)] {
            let answer = reserve(&bench, router, key, "40 covers").await;
            assert_eq!(
                answer.verdict.as_deref(),
                Some("may-have-run"),
                "{answer:?}"
            );
            assert_eq!(executions(&bench, key).await, 1);
        }
    });
}

#[test]
fn table_service_outage_is_refused_at_once() {
    task::block_on(async {
        let bench = start().await;
        let down = serde_json::json!({"down": true});
        bench.platform.fault(down).await.expect("fault");
        let sent_at = time::Instant::now();
        let refused = reserve(&bench, 0, "order-9", "40 covers").await;
        assert_eq!(refused.status, 503, "{refused:?}");
        assert!(sent_at.elapsed() < time::Duration::from_secs(3));
        let key = mint(&bench, 1).await;
        let answered = reserve(&bench, 0, &key, "40 covers").await;
        assert_eq!(answered.status, 200, "{answered:?}");
        let up = serde_json::json!({"down": false});
        bench.platform.fault(up).await.expect("fault");
        let answered = reserve(&bench, 2, "order-9", "40 covers").await;
        assert_eq!(answered.status, 200, "{answered:?}");
        assert_eq!(executions(&bench, "order-9").await, 1);
    });
}
