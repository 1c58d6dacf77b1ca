//! Versioned rows with a change history.

use std::collections::BTreeMap;

/// A row of a table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRow {
    /// Value of the row.
    pub value: Vec<u8>,
    /// Version of the transaction that last wrote the row.
    pub version: u64,
}

/// A change of one row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Table of the row.
    pub table: String,
    /// Key of the row.
    pub key: String,
    /// New value; `None` if the row was removed.
    pub value: Option<Vec<u8>>,
    /// Version of the transaction that made the change.
    pub version: u64,
}

/// Versioned rows with a change history.
#[derive(Clone, Debug, Default)]
pub struct RowStore {
    rows: BTreeMap<(String, String), StoredRow>,
    history: Vec<Change>,
    version: u64,
    compacted_version: u64,
}

impl RowStore {
    /// Returns the latest version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns a row.
    pub fn get(&self, table: &str, key: &str) -> Option<&StoredRow> {
        self.rows.get(&(table.to_owned(), key.to_owned()))
    }

    /// Returns the rows of a table whose keys are at or after `from`.
    pub fn list(&self, table: &str, from: &str) -> Vec<(String, StoredRow)> {
        let begin = (table.to_owned(), from.to_owned());
        let rows = self.rows.range(begin..).take_while(|((other, _), _)| other == table);
        rows.map(|((_, key), row)| (key.clone(), row.clone())).collect()
    }

    /// Returns the changes of a table after a version, or `None` if they have been compacted.
    pub fn changes(&self, table: &str, after: u64) -> Option<Vec<Change>> {
        if after < self.compacted_version || after > self.version {
            return None;
        }
        let changes = self.history.iter();
        let changes = changes.filter(|change| change.table == table && change.version > after);
        Some(changes.cloned().collect())
    }

    /// Replaces the rows by an older copy, then repeats the writes since that copy to the given tables.
    ///
    /// The versions after that of the copy are assigned again.
    pub fn restore(&mut self, copy: Self, repeated_tables: &[&str]) {
        let lost = std::mem::replace(self, copy);
        let version = self.version;
        for change in lost.history.into_iter().filter(|change| change.version > version) {
            if repeated_tables.contains(&change.table.as_str()) {
                self.write(vec![(change.table, change.key, change.value)]);
            }
        }
    }

    /// Discards the change history.
    pub fn compact_history(&mut self) {
        self.compacted_version = self.version;
        self.history.clear();
    }

    /// Writes rows in one transaction and returns its version; a write without a value removes the
    /// row.
    pub fn write(&mut self, writes: Vec<(String, String, Option<Vec<u8>>)>) -> u64 {
        self.version += 1;
        let version = self.version;
        for (table, key, value) in writes {
            match &value {
                Some(value) => {
                    let row = StoredRow { value: value.clone(), version };
                    self.rows.insert((table.clone(), key.clone()), row);
                }
                None => {
                    self.rows.remove(&(table.clone(), key.clone()));
                }
            }
            self.history.push(Change { table, key, value, version });
        }
        version
    }
}
