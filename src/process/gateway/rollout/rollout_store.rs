//! Reads and writes the rows of one roll-out in the store.

use futures::future;

use crate::process::gateway::rollout::coordination;
use crate::process::gateway::rows;

/// Reads both rows.
///
/// # Errors
/// [`rows::RowError`] if the store did not answer.
pub(super) async fn read(
    store: &dyn rows::RowStore,
    codec: &dyn rows::RowCodec,
    service: &str,
) -> rows::Result<coordination::StoredRows> {
    let reads = future::join(
        store.read_all(rows::RowTopic::Rollouts),
        store.read_all(rows::RowTopic::RolloutStatus),
    );
    let (records, shown) = reads.await;
    let (records, shown) = (records?, shown?);
    let record = find(&records, service);
    let value = record.and_then(|row| row.value.as_deref());
    let status = find(&shown, &codec.rollout_status_key(service));
    Ok(coordination::StoredRows {
        record: value.and_then(|value| codec.rollout_record(value)),
        record_version: record.map_or(0, |row| row.version),
        status_version: status.map_or(0, |row| row.version),
        now_ms: records.now_ms,
    })
}

/// Writes both rows if they still are as they were read.
///
/// # Errors
/// [`rows::RowError::Conflict`] if they are not; after [`rows::RowError::Unavailable`] they may have
/// been written.
pub(super) async fn write(
    store: &dyn rows::RowStore,
    codec: &dyn rows::RowCodec,
    service: &str,
    wanted: &coordination::WantedRecord,
) -> rows::Result<()> {
    let record = codec.encode_rollout_record(&wanted.record);
    let status = codec.encode_rollout_status(&wanted.record);
    let status_key = codec.rollout_status_key(service);
    let writes = [
        rows::RowWrite {
            topic: rows::RowTopic::Rollouts,
            key: service,
            value: &record,
            expected: wanted.replaces.record_version,
        },
        rows::RowWrite {
            topic: rows::RowTopic::RolloutStatus,
            key: &status_key,
            value: &status,
            expected: wanted.replaces.status_version,
        },
    ];
    let written = store.put_matching(&writes).await;
    let state = wanted.record.state;
    match &written {
        Ok(()) => log::info!(service, state:? = state; "state of the roll-out written"),
        Err(error) => {
            let cause = error.to_string();
            log::warn!(
                service, state:? = state, cause = cause.as_str();
                "state of the roll-out not known to be written; it is read back"
            );
        }
    }
    written
}

fn find<'a>(batch: &'a rows::RowBatch, key: &str) -> Option<&'a rows::RowChange> {
    batch.rows.iter().find(|row| row.key == key)
}
