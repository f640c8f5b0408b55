//! Registry of the generations of this process, sharded by request key.

use std::collections;
use std::sync;

use crate::request::generation;

const SHARD_COUNT: usize = 32;

type ShardMap = collections::HashMap<RecordName, sync::Arc<generation::GenerationRecord>>;

/// Identifies a generation: the workspace and the request key within it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RecordName {
    /// Workspace of the caller.
    pub workspace: String,
    /// Request key.
    pub key: String,
}

impl RecordName {
    /// Returns the name of the generation for `spec`.
    #[must_use]
    pub fn of(spec: &generation::GenerationSpec) -> Self {
        Self {
            workspace: spec.workspace.clone(),
            key: spec.key.clone(),
        }
    }
}

/// Generations that are running or ended recently.
#[derive(Debug)]
pub struct GenerationRegistry {
    shards: Vec<parking_lot::Mutex<ShardMap>>,
}

impl Default for GenerationRegistry {
    fn default() -> Self {
        Self {
            shards: (0..SHARD_COUNT)
                .map(|_index| parking_lot::Mutex::default())
                .collect(),
        }
    }
}

impl GenerationRegistry {
    /// Looks up a generation by name.
    #[must_use]
    pub fn find(&self, name: &RecordName) -> Option<sync::Arc<generation::GenerationRecord>> {
        self.shard(name).lock().get(name).cloned()
    }

    /// Adds a generation unless its name is already in use.
    ///
    /// # Errors
    /// The existing generation if the name is in use.
    pub fn insert(
        &self,
        record: &sync::Arc<generation::GenerationRecord>,
    ) -> Result<(), sync::Arc<generation::GenerationRecord>> {
        let name = RecordName::of(&record.spec);
        let mut shard = self.shard(&name).lock();
        if let Some(present) = shard.get(&name) {
            return Err(sync::Arc::clone(present));
        }
        shard.insert(name, sync::Arc::clone(record));
        Ok(())
    }

    /// Removes a generation, unless its name now belongs to another one.
    pub fn remove(&self, record: &sync::Arc<generation::GenerationRecord>) {
        let name = RecordName::of(&record.spec);
        let mut shard = self.shard(&name).lock();
        let is_same = shard
            .get(&name)
            .is_some_and(|held| sync::Arc::ptr_eq(held, record));
        if is_same {
            shard.remove(&name);
        }
    }

    /// Generations that are still running.
    #[must_use]
    pub fn running(&self) -> Vec<sync::Arc<generation::GenerationRecord>> {
        let mut running = Vec::new();
        for shard in &self.shards {
            let shard = shard.lock();
            let records = shard.values();
            running.extend(
                records
                    .filter(|record| record.phase() == generation::GenerationPhase::Running)
                    .cloned(),
            );
        }
        running
    }

    /// Number of callers currently reading a generation.
    #[must_use]
    pub fn readers(&self) -> u32 {
        let count = |shard: &parking_lot::Mutex<ShardMap>| -> u32 {
            shard.lock().values().map(|record| record.readers()).sum()
        };
        self.shards.iter().map(count).sum()
    }

    fn shard(&self, name: &RecordName) -> &parking_lot::Mutex<ShardMap> {
        let hash = xxhash_rust::xxh3::xxh3_64(name.key.as_bytes());
        &self.shards[usize::try_from(hash % SHARD_COUNT as u64).unwrap_or(0)]
    }
}
