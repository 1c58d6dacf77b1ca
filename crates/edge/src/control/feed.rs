//! Thread that reads one table and its changes.

use std::io;
use std::thread;

use crossbeam_channel::{Receiver, Sender};
use indexmap::IndexMap;

use super::Message;
use crate::clock;
use crate::store;
use crate::store::MetadataStore;

/// Changes in one response from which the table is listed instead. A response holds at most 500 rows;
/// if there are more, the store returns the oldest with its present time, and the copy would be taken
/// for current although it is not.
const MAX_CHANGES: usize = 400;

/// Result of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeedEvent {
    /// The whole table.
    Listed(store::Listing),
    /// Newest version of each changed row, and the store time at which the table was read.
    Changed(Vec<store::Row>, u64),
    /// The table cannot be read.
    Failed(store::StoreError),
    /// The listing is older than the known state.
    Stale,
}

/// Reads one table at the control thread's request: the whole table first, then its changes.
#[derive(Debug)]
pub struct Feed<Store> {
    store: Store,
    table: store::Table,
    requests: Receiver<()>,
    control: Sender<Message>,
    /// Version after which changes are read; `None` when the table must be listed.
    version: Option<u64>,
    /// Highest version seen so far; a listing with a lower one is stale.
    newest: u64,
}

impl<Store> Feed<Store>
where
    Store: MetadataStore,
{
    /// Starts the thread and returns the queue of read requests.
    ///
    /// # Errors
    ///
    /// Fails when the thread cannot be started.
    pub fn start(
        store: Store,
        table: store::Table,
        control: Sender<Message>,
    ) -> io::Result<Sender<()>> {
        let (sender, requests) = crossbeam_channel::unbounded();
        let feed = Self { store, table, requests, control, version: None, newest: 0 };
        thread::Builder::new()
            .name(format!("feed-{}", table.as_str()))
            .spawn(move || feed.run())?;
        Ok(sender)
    }

    fn run(mut self) {
        while self.requests.recv().is_ok() {
            let started_ms = clock::now_ms();
            let result = match self.version {
                None => self.list(),
                Some(version) => self.follow(version),
            };
            let event = result.unwrap_or_else(FeedEvent::Failed);
            if self.control.send(Message::TableRead(self.table, event, started_ms)).is_err() {
                return;
            }
        }
    }

    fn list(&mut self) -> Result<FeedEvent, store::StoreError> {
        let listing = self.store.list(self.table)?;
        if listing.version < self.newest {
            let (known, version) = (self.newest, listing.version);
            let table = self.table.as_str();
            spdlog::warn!(
                "stale-listing table={table} version={version} known={known} outcome=ignored"
            );
            return Ok(FeedEvent::Stale);
        }
        self.newest = listing.version;
        self.version = Some(listing.version);
        Ok(FeedEvent::Listed(listing))
    }

    fn follow(&mut self, after: u64) -> Result<FeedEvent, store::StoreError> {
        match self.store.changes(self.table, after)? {
            store::Changes::Rows { rows, .. } if rows.len() >= MAX_CHANGES => self.list(),
            store::Changes::Rows { rows, version, store_ms } => {
                self.version = Some(version.max(after));
                self.newest = self.newest.max(version);
                Ok(FeedEvent::Changed(newest_rows(rows), store_ms))
            }
            store::Changes::HistoryLost => {
                let table = self.table.as_str();
                spdlog::warn!("history-lost table={table} after={after} outcome=list-again");
                self.version = None;
                self.list()
            }
        }
    }
}

/// Drops all but the last change of each row.
fn newest_rows(rows: Vec<store::Row>) -> Vec<store::Row> {
    let mut by_key = IndexMap::with_capacity(rows.len());
    for row in rows {
        by_key.insert(row.key.clone(), row);
    }
    by_key.into_values().collect()
}
