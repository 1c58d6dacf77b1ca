//! Ceilings on concurrent requests.

use std::sync::Arc;

use hyper::StatusCode;
use indexmap::IndexMap;
use jasminetack_domain::table;
use parking_lot::Mutex;

use super::caller_error::CallerError;

/// When a request above a ceiling may be sent again.
const RETRY_AFTER_MS: u64 = 1_000;

/// Requests in flight at this daemon by row, for rows that have a ceiling.
#[derive(Clone, Debug, Default)]
pub struct Ceilings {
    rows: Arc<Mutex<IndexMap<table::RowKey, u32>>>,
}

/// One request that counts towards a ceiling until the guard is dropped.
#[derive(Debug)]
pub struct CeilingGuard {
    row: table::RowKey,
    rows: Arc<Mutex<IndexMap<table::RowKey, u32>>>,
}

impl Ceilings {
    /// Counts a request towards the ceiling of a row; `None` when the row has none.
    ///
    /// # Errors
    ///
    /// Fails when the ceiling is reached.
    pub fn enter(
        &self,
        row: table::RowKey,
        limits: &table::Limits,
    ) -> Result<Option<CeilingGuard>, CallerError> {
        let Some(ceiling) = limits.ceiling else { return Ok(None) };
        let mut rows = self.rows.lock();
        let count = rows.entry(row.clone()).or_default();
        if *count >= ceiling {
            let message = format!("row {row} runs {ceiling} requests, which is its ceiling");
            let status = StatusCode::TOO_MANY_REQUESTS;
            let mut error = CallerError::not_run(status, "ceiling_reached", message);
            error.retry_after_ms = Some(RETRY_AFTER_MS);
            return Err(error);
        }
        *count += 1;
        Ok(Some(CeilingGuard { row, rows: Arc::clone(&self.rows) }))
    }
}

impl Drop for CeilingGuard {
    fn drop(&mut self) {
        let mut rows = self.rows.lock();
        let Some(count) = rows.get_mut(&self.row) else { return };
        *count -= 1;
        if *count == 0 {
            rows.swap_remove(&self.row);
        }
    }
}
