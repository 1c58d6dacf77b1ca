//! Tests of reading a table and its changes.

use std::sync::atomic::{AtomicU64, Ordering};

use jasminetack_edge::control::{Feed, FeedEvent, Message};
use jasminetack_edge::store::{
    Changes, Listing, MetadataStore, Outcome, Row, StoreError, Table, Transaction,
};

/// Store whose table has three changes to two rows.
#[derive(Clone)]
struct ThreeChangesStore;

fn row(key: &str, version: u64) -> Row {
    Row { key: key.to_owned(), value: Some(vec![0; 10]), version }
}

impl MetadataStore for ThreeChangesStore {
    fn list(&self, _table: Table) -> Result<Listing, StoreError> {
        Ok(Listing { rows: Vec::new(), version: 1, store_ms: 100 })
    }

    fn changes(&self, _table: Table, after: u64) -> Result<Changes, StoreError> {
        assert_eq!(after, 1);
        let rows = vec![row("config", 2), row("other", 3), row("config", 4)];
        Ok(Changes::Rows { rows, version: 4, store_ms: 200 })
    }

    fn transact(&self, _transaction: &Transaction) -> Result<Outcome, StoreError> {
        Err(StoreError::Refused { status: 503 })
    }
}

/// Store with more changes than it returns in one response.
#[derive(Clone)]
struct LongHistoryStore;

impl MetadataStore for LongHistoryStore {
    fn list(&self, _table: Table) -> Result<Listing, StoreError> {
        let is_first = NEXT_LISTING.fetch_add(1, Ordering::Relaxed) == 0;
        let version = if is_first { 1 } else { 2_001 };
        Ok(Listing { rows: vec![row("w", version)], version, store_ms: 100 * version })
    }

    fn changes(&self, _table: Table, after: u64) -> Result<Changes, StoreError> {
        let rows = (after + 1..after + 501).map(|version| row("w", version)).collect();
        // The clock is that of the response, although the rows are older.
        Ok(Changes::Rows { rows, version: after + 500, store_ms: 200_100 })
    }

    fn transact(&self, _transaction: &Transaction) -> Result<Outcome, StoreError> {
        Err(StoreError::Refused { status: 503 })
    }
}

static NEXT_LISTING: AtomicU64 = AtomicU64::new(0);

#[test]
fn a_part_of_the_changes_does_not_count_as_a_current_copy() {
    let (control, messages) = crossbeam_channel::unbounded();
    let requests = Feed::start(LongHistoryStore, Table::Workers, control).unwrap();
    for _ in 0..2 {
        requests.send(()).unwrap();
    }
    let Message::TableRead(_, FeedEvent::Listed(_), _) = messages.recv().unwrap() else {
        panic!("expected a listing");
    };
    let Message::TableRead(_, event, _) = messages.recv().unwrap() else {
        panic!("expected a read");
    };
    let FeedEvent::Listed(listing) = event else {
        panic!("a part of the changes was reported as all of them");
    };
    assert_eq!(listing.version, 2_001);
}

#[test]
fn only_the_last_change_of_a_row_is_reported() {
    let (control, messages) = crossbeam_channel::unbounded();
    let requests = Feed::start(ThreeChangesStore, Table::Operator, control).unwrap();
    for _ in 0..2 {
        requests.send(()).unwrap();
    }
    let Message::TableRead(_, FeedEvent::Listed(_), _) = messages.recv().unwrap() else {
        panic!("expected a listing");
    };
    let Message::TableRead(_, FeedEvent::Changed(rows, store_ms), _) = messages.recv().unwrap()
    else {
        panic!("expected changes");
    };
    assert_eq!(rows, [row("config", 4), row("other", 3)]);
    assert_eq!(store_ms, 200);
}
