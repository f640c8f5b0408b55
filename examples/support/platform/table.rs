//! Transactional table with a version for each row.

use std::collections;

use kumquatpulley::connection::platform_wire;

/// Outcome of a transaction.
pub type Result<T> = std::result::Result<T, TableError>;

/// Why a transaction had no effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableError {
    /// A condition did not hold; present rows of the failed conditions.
    Conflict(Vec<Option<platform_wire::TableRow>>),
    /// A row is written twice.
    DoubledKey(String),
}

/// The rows.
#[derive(Debug, Default)]
pub struct RowTable {
    rows: collections::BTreeMap<String, platform_wire::TableRow>,
}

impl RowTable {
    /// Rows in the order asked for.
    pub fn read(&self, keys: &[String]) -> Vec<Option<platform_wire::TableRow>> {
        keys.iter().map(|key| self.rows.get(key).cloned()).collect()
    }

    /// All rows.
    pub fn all(&self) -> Vec<&platform_wire::TableRow> {
        self.rows.values().collect()
    }

    /// Writes all rows or none; returns the new versions, 0 for deleted rows.
    ///
    /// # Errors
    /// [`TableError`] when nothing was written.
    pub fn write(&mut self, writes: Vec<platform_wire::RowWrite>) -> Result<Vec<u64>> {
        let mut seen = collections::HashSet::new();
        if let Some(doubled) = writes.iter().find(|write| !seen.insert(&write.key)) {
            return Err(TableError::DoubledKey(doubled.key.clone()));
        }
        let failed: Vec<_> = writes
            .iter()
            .filter(|write| !self.holds(write))
            .map(|write| self.rows.get(&write.key).cloned())
            .collect();
        if !failed.is_empty() {
            return Err(TableError::Conflict(failed));
        }
        Ok(writes.into_iter().map(|write| self.put(write)).collect())
    }

    fn holds(&self, write: &platform_wire::RowWrite) -> bool {
        let present = self.version(&write.key);
        write.if_version.is_none_or(|version| version == present)
    }

    fn version(&self, key: &str) -> u64 {
        self.rows.get(key).map_or(0, |row| row.version)
    }

    fn put(&mut self, write: platform_wire::RowWrite) -> u64 {
        let version = self.version(&write.key) + 1;
        let Some(value) = write.value else {
            self.rows.remove(&write.key);
            return 0;
        };
        let row = platform_wire::TableRow {
            key: write.key.clone(),
            version,
            value,
        };
        self.rows.insert(write.key, row);
        version
    }
}
