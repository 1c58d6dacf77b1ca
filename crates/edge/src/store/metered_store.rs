//! Counting of the calls to the metadata store.

use std::sync::Arc;

use super::{Changes, Listing, MetadataStore, Outcome, StoreError, Table, Transaction};
use crate::metrics;

/// Store that counts its calls by kind, table and result.
#[derive(Clone, Debug)]
pub struct MeteredStore<Store> {
    store: Store,
    metrics: Arc<metrics::Metrics>,
}

impl<Store> MeteredStore<Store> {
    /// Wraps a store.
    pub fn new(store: Store, metrics: Arc<metrics::Metrics>) -> Self {
        Self { store, metrics }
    }

    fn record<Answer>(&self, call: &str, table: Table, result: &Result<Answer, StoreError>) {
        let result = if result.is_ok() { "answered" } else { "failed" };
        self.metrics.record_store_call(call, table.as_str(), result);
    }
}

impl<Store> MetadataStore for MeteredStore<Store>
where
    Store: MetadataStore,
{
    fn list(&self, table: Table) -> Result<Listing, StoreError> {
        let result = self.store.list(table);
        self.record("list", table, &result);
        result
    }

    fn changes(&self, table: Table, after: u64) -> Result<Changes, StoreError> {
        let result = self.store.changes(table, after);
        self.record("changes", table, &result);
        result
    }

    fn transact(&self, transaction: &Transaction) -> Result<Outcome, StoreError> {
        let result = self.store.transact(transaction);
        let table = transaction.writes.first().map_or(Table::Holders, |write| write.table);
        self.record("transact", table, &result);
        result
    }
}
