//! Versioned row storage.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use indexmap::IndexMap;
use jasminetack_wire::platform;

/// Versioned rows of the table service.
#[derive(Debug, Default)]
pub struct Store {
    head_version: u64,
    rows: IndexMap<Arc<str>, StoredValue>,
    /// Keys ordered by the version of their last write, so that a poll scans only changed rows.
    changes: BTreeSet<(u64, Arc<str>)>,
}

#[derive(Debug)]
struct StoredValue {
    version: u64,
    value: Option<serde_json::Value>,
}

impl Store {
    /// Commits a transaction if all its conditions hold.
    pub fn commit(&mut self, transaction: platform::Transaction) -> platform::TransactionReply {
        let mut conflicts = BTreeMap::new();
        for condition in &transaction.conditions {
            let stored = self.rows.get(condition.key.as_str());
            let version = stored.filter(|row| row.value.is_some()).map(|row| row.version);
            if version != condition.version {
                conflicts.insert(condition.key.as_str(), self.read_row(&condition.key));
            }
        }
        if !conflicts.is_empty() {
            let rows = conflicts.into_values().collect();
            return platform::TransactionReply::Conflict { rows };
        }
        if !transaction.writes.is_empty() {
            self.head_version += 1;
        }
        for write in transaction.writes {
            self.write(write);
        }
        platform::TransactionReply::Committed { version: self.head_version }
    }

    /// Reads rows by key; a row that was never written has version 0 and no value.
    #[must_use]
    pub fn read(&self, request: &platform::ReadRequest) -> platform::RowsPage {
        let rows = request.keys.iter().map(|key| self.read_row(key)).collect();
        platform::RowsPage { rows, head_version: self.head_version }
    }

    /// Returns rows with the key prefix that changed after a version, in order of version.
    ///
    /// Rows of one version always share a page, so a page may exceed the limit.
    #[must_use]
    pub fn page(&self, prefix: &str, after: u64, limit: usize) -> platform::RowsPage {
        let mut rows: Vec<platform::StoredRow> = Vec::new();
        let from = (after.saturating_add(1), Arc::from(""));
        for (version, key) in self.changes.range(from..) {
            if !key.starts_with(prefix) {
                continue;
            }
            if let Some(last) = rows.last()
                && rows.len() >= limit.max(1)
                && last.version < *version
            {
                let head_version = last.version;
                return platform::RowsPage { rows, head_version };
            }
            rows.push(self.read_row(key));
        }
        platform::RowsPage { rows, head_version: self.head_version }
    }

    fn write(&mut self, write: platform::Write) {
        let key: Arc<str> = Arc::from(write.key);
        let stored = StoredValue { version: self.head_version, value: write.value };
        if let Some(before) = self.rows.insert(Arc::clone(&key), stored) {
            self.changes.remove(&(before.version, Arc::clone(&key)));
        }
        self.changes.insert((self.head_version, key));
    }

    fn read_row(&self, key: &str) -> platform::StoredRow {
        let stored = self.rows.get(key);
        platform::StoredRow {
            key: key.to_owned(),
            version: stored.map_or(0, |row| row.version),
            value: stored.and_then(|row| row.value.clone()),
        }
    }
}
