//! Following of one table on a thread of its own.

use std::io;
use std::thread;
use std::time::Duration;

use crossbeam_channel::Sender;

use super::Message;
use crate::clock;
use crate::store;
use crate::store::MetadataStore;

/// Pause after a failed call.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);
/// Pause before a listing that is older than what is known is repeated.
const STALE_PAUSE: Duration = Duration::from_millis(300);

/// News of a table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeedEvent {
    /// The whole table.
    Listed(Vec<store::Row>),
    /// Changed rows in order.
    Changed(Vec<store::Row>),
    /// The table can be read again.
    Regained,
    /// The table cannot be read.
    Lost(store::StoreError),
}

/// Follows one table.
#[derive(Debug)]
pub struct Feed<Store> {
    store: Store,
    table: store::Table,
    wait_ms: u64,
    /// Pause after changes, so that changes of several rows cost one call.
    pause: Duration,
    control: Sender<Message>,
    /// Version up to which the table is known.
    version: Option<u64>,
    is_lost: bool,
    /// Highest version that was ever seen; a listing below it is out of date.
    newest: u64,
}

impl<Store> Feed<Store>
where
    Store: MetadataStore,
{
    /// Starts to follow a table; each call waits up to `wait_ms` for changes, and the next one
    /// comes `pause_ms` after changes.
    ///
    /// # Errors
    ///
    /// Fails when the thread cannot be started.
    pub fn start(
        store: Store,
        table: store::Table,
        wait_ms: u64,
        pause_ms: u64,
        control: Sender<Message>,
    ) -> io::Result<()> {
        let feed = Self {
            store,
            table,
            wait_ms,
            pause: Duration::from_millis(pause_ms),
            control,
            version: None,
            is_lost: false,
            newest: 0,
        };
        thread::Builder::new()
            .name(format!("feed-{}", table.as_str()))
            .spawn(move || feed.run())?;
        Ok(())
    }

    fn run(mut self) {
        // The loop ends with the control thread.
        while self.step() {}
    }

    fn step(&mut self) -> bool {
        let began_ms = clock::now_ms();
        let result = match self.version {
            None => self.list(),
            Some(version) => self.follow(version),
        };
        match result {
            Ok(None) => self.regained(),
            Ok(Some(event)) => {
                let sent = self.regained() && self.send(event);
                thread::sleep(self.pause);
                sent
            }
            Err(error) => {
                let sent = self.lost(error, began_ms);
                thread::sleep(FAILURE_PAUSE);
                sent
            }
        }
    }

    fn list(&mut self) -> Result<Option<FeedEvent>, store::StoreError> {
        let listing = self.store.list(self.table)?;
        if listing.version < self.newest {
            let (known, version) = (self.newest, listing.version);
            let table = self.table.as_str();
            spdlog::warn!(
                "stale-listing table={table} version={version} known={known} outcome=ignored"
            );
            thread::sleep(STALE_PAUSE);
            return Ok(None);
        }
        self.newest = listing.version;
        self.version = Some(listing.version);
        Ok(Some(FeedEvent::Listed(listing.rows)))
    }

    fn follow(&mut self, after: u64) -> Result<Option<FeedEvent>, store::StoreError> {
        match self.store.changes(self.table, after, self.wait_ms)? {
            store::Changes::Rows { rows, version } => {
                self.version = Some(version.max(after));
                self.newest = self.newest.max(version);
                Ok((!rows.is_empty()).then_some(FeedEvent::Changed(rows)))
            }
            store::Changes::HistoryLost => {
                let table = self.table.as_str();
                spdlog::warn!("history-lost table={table} after={after} outcome=list-again");
                self.version = None;
                Ok(None)
            }
        }
    }

    fn regained(&mut self) -> bool {
        if !std::mem::take(&mut self.is_lost) {
            return true;
        }
        self.send(FeedEvent::Regained)
    }

    fn lost(&mut self, error: store::StoreError, began_ms: u64) -> bool {
        if std::mem::replace(&mut self.is_lost, true) {
            return true;
        }
        let (table, took_ms) = (self.table.as_str(), clock::now_ms().saturating_sub(began_ms));
        spdlog::warn!("dependency-lost name=store table={table} took_ms={took_ms} error={error:?}");
        self.send(FeedEvent::Lost(error))
    }

    fn send(&self, event: FeedEvent) -> bool {
        self.control.send(Message::Feed(self.table, event)).is_ok()
    }
}
