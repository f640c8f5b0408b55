//! Rows of the store about roll-outs, and writes that require versions.

use std::net;
use std::time;

use async_std::task;
use kumquatpulley::platform::{rollout_wire, store_client, store_wire};
use kumquatpulley::process::gateway::rollout::record;
use kumquatpulley::process::gateway::rows;
use kumquatpulley::process::gateway::rows::{RowCodec as _, RowStore as _};

use crate::common;
use crate::support::fake_store;

/// Time between two reads of the clock of the store.
const CLOCK_STEP: time::Duration = time::Duration::from_millis(20);

const ORDER: &str = r#"{"service":"huvo11a","to":"v2","ramp_s":12}"#;

fn an_order_is_decoded(value: &str, ramp: time::Duration) {
    let order = rollout_wire::decode_order("rollout/huvo11a", value.as_bytes());
    let order = order.expect("a valid order");
    assert_eq!((order.to.as_str(), order.ramp), ("v2", ramp));
}

/// An order that cannot be parsed must not end the reader or start a roll-out.
fn it_is_no_order(key: &str, value: &str) {
    assert_eq!(store_wire::StoreCodec.order(key, value.as_bytes()), None);
}

fn a_row_is_of_service(key: &str, service: Option<&str>) {
    assert_eq!(store_wire::StoreCodec.order_service(key), service);
}

fn a_record_and_its_status_are_encoded(state: record::RecordState, name: &str) {
    let record = record::RolloutRecord {
        order_row: 7,
        to: "v2".to_owned(),
        started_ms: 1_234,
        state,
    };
    let codec = store_wire::StoreCodec;
    let encoded = codec.encode_rollout_record(&record);
    assert_eq!(codec.rollout_record(&encoded), Some(record.clone()));
    assert_eq!(codec.rollout_status_key("huvo11a"), "rollout/huvo11a");
    let status = codec.encode_rollout_status(&record);
    let status: serde_json::Value = serde_json::from_slice(&status).expect("JSON");
    assert_eq!(status, serde_json::json!({"state": name, "to": "v2"}));
}

fn store() -> (fake_store::FakeStore, store_client::StoreClient) {
    let store = fake_store::FakeStore::new(net::IpAddr::V4(net::Ipv4Addr::LOCALHOST));
    let client = store_client::StoreClient::new(store.open_listener().to_string());
    (store, client)
}

fn write(client: &store_client::StoreClient, value: &[u8], expected: u64) -> rows::Result<()> {
    let row = |topic, expected| rows::RowWrite {
        topic,
        key: "a",
        value,
        expected,
    };
    let writes = [
        row(rows::RowTopic::RolloutStatus, 0),
        row(rows::RowTopic::Rollouts, expected),
    ];
    task::block_on(client.put_matching(&writes))
}

/// Two coordinators must not both write the state of a roll-out.
fn a_write_needs_the_version_of_the_row() {
    let (store, client) = store();
    assert_eq!(write(&client, b"one", 5), Err(rows::RowError::Conflict));
    assert!(store.keys("status").is_empty(), "written in part");
    assert_eq!(write(&client, b"one", 0), Ok(()));
    assert_eq!(store.value("rollouts", "a"), Some(b"one".to_vec()));
    assert_eq!(write(&client, b"two", 0), Err(rows::RowError::Conflict));
    assert_eq!(store.value("rollouts", "a"), Some(b"one".to_vec()));
}

/// A coordinator needs the row's version for its next write, and the clock of the store for the ramp.
fn versions_and_clock_are_read() {
    let (store, client) = store();
    store.put("op", "config", b"{}");
    store.put("op", "rollout/huvo11a", ORDER.as_bytes());
    let topic = rows::RowTopic::Config;
    let list = task::block_on(client.read_all(topic)).expect("a list");
    let versions: Vec<u64> = list.rows.iter().map(|row| row.version).collect();
    assert_eq!(versions, [1, 2]);
    task::block_on(task::sleep(CLOCK_STEP));
    store.remove("op", "rollout/huvo11a");
    let changes = task::block_on(client.read_changes(topic, 2, time::Duration::ZERO));
    let changes = changes.expect("changes");
    let passed = time::Duration::from_millis(changes.now_ms.saturating_sub(list.now_ms));
    assert!(
        passed >= CLOCK_STEP,
        "{} and {}",
        list.now_ms,
        changes.now_ms
    );
    let removed = changes.rows.first().expect("the removal");
    assert_eq!((removed.version, removed.value.as_ref()), (3, None));
}

common::cases! {
    order: an_order_is_decoded(ORDER, time::Duration::from_secs(12));
    order_with_part_seconds: an_order_is_decoded(
        r#"{"service":"huvo11a","to":"v2","ramp_s":2.5,"more":1}"#, time::Duration::from_millis(2_500));
    order_that_is_no_json: it_is_no_order("rollout/huvo11a", "to v2!");
    order_without_ramp: it_is_no_order("rollout/huvo11a", r#"{"service":"huvo11a","to":"v2"}"#);
    order_for_another_service: it_is_no_order("rollout/other", ORDER);
    order_to_nothing: it_is_no_order("rollout/huvo11a", r#"{"service":"huvo11a","to":"","ramp_s":12}"#);
    order_with_negative_ramp: it_is_no_order(
        "rollout/huvo11a", r#"{"service":"huvo11a","to":"v2","ramp_s":-1}"#);
    order_with_endless_ramp: it_is_no_order(
        "rollout/huvo11a", r#"{"service":"huvo11a","to":"v2","ramp_s":1e300}"#);
    row_of_an_order: a_row_is_of_service("rollout/huvo11a", Some("huvo11a"));
    row_of_the_configuration: a_row_is_of_service("config", None);
    row_of_no_service: a_row_is_of_service("rollout/", None);
    running: a_record_and_its_status_are_encoded(record::RecordState::Running, "running");
    complete: a_record_and_its_status_are_encoded(record::RecordState::Complete, "complete");
    reverted: a_record_and_its_status_are_encoded(record::RecordState::Reverted, "reverted");
    conditional_write: a_write_needs_the_version_of_the_row();
    row_versions: versions_and_clock_are_read();
}
