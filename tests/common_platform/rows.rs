//! Rows of a table service in memory.

use std::collections;

use kumquatpulley::connection::platform;
use kumquatpulley::connection::platform_wire;

/// Rows by key.
pub type RowMap = collections::BTreeMap<String, platform_wire::TableRow>;

/// Puts a value into a row, without conditions.
pub fn put(rows: &mut RowMap, key: &str, value: &str) {
    let version = rows.get(key).map_or(0, |row| row.version) + 1;
    let row = platform_wire::TableRow {
        key: key.to_owned(),
        version,
        value: value.to_owned(),
    };
    rows.insert(key.to_owned(), row);
}

/// Applies all writes or none.
pub fn transact(rows: &mut RowMap, writes: &[platform_wire::RowWrite]) -> platform::WriteOutcome {
    let fails = |write: &&platform_wire::RowWrite| {
        let present = rows.get(&write.key).map_or(0, |row| row.version);
        write.if_version.is_some_and(|version| version != present)
    };
    let failed: Vec<_> = writes.iter().filter(fails).collect();
    if !failed.is_empty() {
        let present = failed.iter().map(|write| rows.get(&write.key).cloned());
        return platform::WriteOutcome::Conflict(present.collect());
    }
    let mut versions = Vec::new();
    for write in writes {
        let Some(value) = &write.value else {
            rows.remove(&write.key);
            versions.push(0);
            continue;
        };
        put(rows, &write.key, value);
        versions.push(rows[&write.key].version);
    }
    platform::WriteOutcome::Applied(versions)
}
