//! Holder rows as last read from the store, and those that this process wrote.

use indexmap::{IndexMap, IndexSet};
use jasminetack_domain::name;
use jasminetack_domain::order_lease;
use jasminetack_domain::store_version;
use jasminetack_wire::fleet;
use prost::Message;

use crate::store;

/// Key prefix of rows about unanswered orders, which earlier versions of the daemon wrote.
const FORMER_ROWS_PREFIX: &str = "late/";

/// Holder rows as last read from the store, and those that this process wrote.
#[derive(Debug)]
pub struct HolderRows {
    host: name::HostName,
    rows: IndexMap<name::WorkerName, (order_lease::HolderRow, u64)>,
    /// Versions of the rows that this process wrote, or found again in a restored store.
    own_versions: IndexMap<name::WorkerName, u64>,
    /// Workers of this process whose rows a restore of the store has lost.
    lost: IndexSet<name::WorkerName>,
}

impl HolderRows {
    /// Creates the rows of a daemon that has read none.
    pub fn new(host: name::HostName) -> Self {
        Self { host, rows: IndexMap::new(), own_versions: IndexMap::new(), lost: IndexSet::new() }
    }

    /// Replaces the rows by those of a listing.
    pub fn replace(&mut self, listing: store::Listing) {
        self.rows.clear();
        for row in listing.rows {
            let Some(value) = row.value.filter(|_| !row.key.starts_with(FORMER_ROWS_PREFIX)) else {
                continue;
            };
            let key = &row.key;
            match fleet::WorkerHolder::decode_row(&value) {
                Ok(holder) => {
                    let worker = name::WorkerName::from(key.as_str());
                    self.rows.insert(worker, (holder, row.version));
                }
                Err(error) => spdlog::warn!(
                    "entry-refused table=holders key={key} problem=\"{error}\" outcome=ignored"
                ),
            }
        }
    }

    /// Returns the number of rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns the host that holds a worker.
    pub fn host(&self, worker: &name::WorkerName) -> Option<&name::HostName> {
        self.rows.get(worker).map(|(row, _)| &row.host)
    }

    /// Returns whether the row of a worker names this host, perhaps a former process of it.
    pub fn is_own(&self, worker: &name::WorkerName) -> bool {
        self.host(worker) == Some(&self.host)
    }

    /// Returns whether the row of a worker of this process was written by another process.
    pub fn is_foreign(&self, worker: &name::WorkerName) -> bool {
        let Some((row, version)) = self.rows.get(worker) else { return false };
        let own_version = self.own_versions.get(worker);
        row.host != self.host || own_version.is_some_and(|own_version| version > own_version)
    }

    /// Records that this process wrote the row of a worker; returns whether there was one before.
    pub fn record_written(&mut self, worker: &name::WorkerName, version: u64) -> bool {
        self.lost.swap_remove(worker);
        self.own_versions.insert(worker.clone(), version);
        let row = order_lease::HolderRow { host: self.host.clone() };
        self.rows.insert(worker.clone(), (row, version)).is_some()
    }

    /// Adds the write that makes this daemon the holder of a worker, unless the row has changed.
    pub fn add_write(&self, transaction: &mut store::Transaction, worker: &name::WorkerName) {
        let (table, key) = (store::Table::Holders, worker.to_string());
        let version = self.rows.get(worker).map_or(0, |(_, version)| *version);
        transaction.conditions.push(store::Condition { table, key: key.clone(), version });
        let row = order_lease::HolderRow { host: self.host.clone() };
        let value = Some(fleet::WorkerHolder::from(&row).encode_to_vec());
        transaction.writes.push(store::Write { table, key, value });
    }

    /// Returns the write that deletes the row of a worker, if this process was the last to write it.
    ///
    /// A row from before a restore is left: its number may be that of another row now.
    pub fn removal(&mut self, worker: &name::WorkerName, era: u64) -> Option<store::Transaction> {
        let version = self.own_versions.swap_remove(worker)?;
        if store_version::StoreVersion::from(version).era() != era {
            return None;
        }
        let (table, key) = (store::Table::Holders, worker.to_string());
        let conditions = vec![store::Condition { table, key: key.clone(), version }];
        Some(store::Transaction {
            conditions,
            writes: vec![store::Write { table, key, value: None }],
        })
    }

    /// Finds the workers of this process whose rows are missing in a restored store or name a former holder.
    pub fn find_lost<'a, Held>(&mut self, held: Held)
    where
        Held: Iterator<Item = &'a name::WorkerName>,
    {
        self.lost.clear();
        for worker in held {
            match self.rows.get(worker) {
                Some((row, version)) if row.host == self.host => {
                    self.own_versions.insert(worker.clone(), *version);
                }
                Some(_) | None => {
                    self.lost.insert(worker.clone());
                }
            }
        }
    }

    /// Iterates over the workers whose rows are lost.
    pub fn lost(&self) -> impl Iterator<Item = &name::WorkerName> {
        self.lost.iter()
    }

    /// Gives up the rows that are lost.
    pub fn clear_lost(&mut self) {
        self.lost.clear();
    }
}
