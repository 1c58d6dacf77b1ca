//! Interface to the metadata store, which keeps all state that must survive the process.

mod changes;
mod listing;
mod metadata_store;
mod metered_store;
mod row;
mod store_error;
mod table;
mod transaction;

pub use changes::Changes;
pub use listing::Listing;
pub use metadata_store::MetadataStore;
pub use metered_store::MeteredStore;
pub use row::Row;
pub use store_error::StoreError;
pub use table::Table;
pub use transaction::{Condition, Outcome, Transaction, Write};
