//! A configuration that is split into rows, sent in parts and joined again.

use kumquatpulley::connection::packed;
use kumquatpulley::platform::{config_rows, config_wire};
use kumquatpulley::process::gateway::parted_rows;
use proptest::prelude::*;

use crate::common;

fn parted(config: &str) -> parted_rows::PartedRows {
    let rows = config_rows::split(config.as_bytes()).expect("a configuration");
    rows.into_iter().collect()
}

fn joined(rows: &parted_rows::PartedRows) -> String {
    String::from_utf8(config_rows::join(rows.iter())).expect("valid text")
}

/// The value with the members of its lists in an order that does not depend on the text.
fn unordered(config: &str) -> serde_json::Value {
    let mut value: serde_json::Value = serde_json::from_str(config).expect("valid JSON");
    for field in value.as_object_mut().expect("an object").values_mut() {
        if let Some(members) = field.as_array_mut() {
            members.sort_by_key(ToString::to_string);
        }
    }
    value
}

/// Guards against rows that another router joins to another configuration.
fn joined_rows_are_the_same_configuration(config: &str) {
    let rows = parted(config);
    assert_eq!(unordered(&joined(&rows)), unordered(config));
}

/// An empty list of workspaces rejects all keys, and no list accepts all requests without one.
fn a_list_without_members_is_kept() {
    let requires_keys = |config: &str| {
        let text = joined(&parted(config));
        let version = config_wire::decode(text.as_bytes()).expect("a configuration");
        version.requires_keys()
    };
    assert!(requires_keys(r#"{"version":1,"tenants":[]}"#));
    assert!(!requires_keys(r#"{"version":1}"#));
}

fn what_is_no_object_is_refused(text: &str) {
    config_rows::split(text.as_bytes()).expect_err("no object");
}

/// Guards against a change of one route that costs as much as the whole configuration.
fn a_changed_route_changes_two_rows() {
    let route = |name: &str, goal: u32| format!(r#"{{"name":"{name}","goal_ms":{goal}}}"#);
    let config = |number: u32, goal: u32| {
        let routes = [route("a", 1), route("b", goal), route("c", 1)].join(",");
        format!(r#"{{"version":{number},"routes":[{routes}],"limits":{{}}}}"#)
    };
    let (before, after) = (parted(&config(1, 1)), parted(&config(2, 2)));
    let after: Vec<_> = after.iter().collect();
    let changed = after
        .iter()
        .filter(|row| !before.iter().any(|old| old == **row));
    let keys: Vec<&str> = changed.map(|(key, _value)| *key).collect();
    assert_eq!(keys.len(), 2, "{keys:?}");
}

/// Guards against a router that holds a part of a version and never gets the rest: whatever it holds,
/// answers of bounded size lead to the version, also if it changes in between.
fn bounded_answers_lead_to_the_version() {
    let row = (0_u8..40, 0_u8..4);
    let version = proptest::collection::btree_map(0_u8..40, 0_u8..4, 0..40);
    let held = proptest::collection::vec(row, 0..40);
    proptest!(|(held in held, versions in proptest::collection::vec(version, 1..4), room in 1_usize..60)| {
        let rows = |(key, value): (u8, u8)| (format!("r{key}"), vec![value; 10]);
        let mut own: parted_rows::PartedRows = held.into_iter().map(rows).collect();
        let last = versions.len() - 1;
        for (index, version) in versions.into_iter().enumerate() {
            let peer: parted_rows::PartedRows = version.into_iter().map(rows).collect();
            let wanted = peer.digests(std::iter::empty());
            // A version that is not the last one is replaced before all its rows have arrived.
            let answers = if index == last { 200 } else { 3 };
            for _answer in 0..answers {
                let digests = own.digests(std::iter::empty());
                let mut left = room;
                for part in parted_rows::differing_parts(&digests, &wanted).into_iter().take(8) {
                    let delta = peer.delta_within(part, &own.row_digests(part), &mut left);
                    own.merge(delta.expect("a part"));
                }
            }
            if index == last {
                prop_assert_eq!(own.digests(std::iter::empty()), wanted);
                prop_assert!(own.iter().eq(peer.iter()));
            }
        }
    });
}

fn packed_messages_are_checked(packed: &[u8]) {
    let message: packed::Result<Vec<String>> = packed::unpack(packed);
    message.expect_err("not a message");
}

fn a_packed_message_is_unpacked() {
    let message = vec!["route".to_owned(); 100];
    let packed = packed::pack(&message).expect("a small message");
    assert!(packed.len() < 100, "{} bytes", packed.len());
    let unpacked: Vec<String> = packed::unpack(&packed).expect("a message");
    assert_eq!(unpacked, message);
}

common::cases! {
    all_fields: joined_rows_are_the_same_configuration(
        r#"{"version":3,"routes":[{"name":"b"},{"name":"a","split":[1,2]}],"limits":{"x":1},"new":null}"#
    );
    names_twice: joined_rows_are_the_same_configuration(
        r#"{"version":3,"routes":[{"name":"a","goal_ms":1},{"name":"a","goal_ms":2},{},7,"a\nb",{"name":"a\nb"}]}"#
    );
    odd_field_names: joined_rows_are_the_same_configuration(
        r#"{"version":3,"a\nb":[{"name":"c"}],"a":{"b":1},"":[]}"#
    );
    empty_lists: a_list_without_members_is_kept();
    a_list: what_is_no_object_is_refused("[]");
    a_cut_text: what_is_no_object_is_refused(r#"{"version":3,"routes":[{"#);
    no_text: what_is_no_object_is_refused("");
    one_route: a_changed_route_changes_two_rows();
    any_rows_held: bounded_answers_lead_to_the_version();
    packed_whole: a_packed_message_is_unpacked();
    packed_empty: packed_messages_are_checked(b"");
    packed_beyond_the_limit: packed_messages_are_checked(&[255, 255, 255, 255, 0]);
    packed_garbage: packed_messages_are_checked(&[16, 0, 0, 0, 255, 1, 2]);
}
