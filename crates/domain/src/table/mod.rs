//! The operators' table: rows, versioned snapshots, validation of edits and staleness.

mod adapter_row;
mod difference;
mod edit;
mod edit_error;
mod edit_validation;
mod freshness;
mod key_hash;
mod limits;
mod resolve_error;
mod row;
mod row_key;
mod service_row;
#[allow(clippy::module_inception)]
mod table;
mod team_row;

pub use adapter_row::AdapterRow;
pub use difference::{Change, Difference};
pub use edit::{Edit, check_edits};
pub use edit_error::{EditError, EditErrorKind};
pub use freshness::{Freshness, FreshnessStatus};
pub use key_hash::KeyHash;
pub use limits::Limits;
pub use resolve_error::ResolveError;
pub use row::Row;
pub use row_key::{RowKey, RowKind};
pub use service_row::{CallPattern, ServiceRow};
pub use table::{ApplyResult, Table};
pub use team_row::TeamRow;
