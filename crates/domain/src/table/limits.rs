//! Limits common to all rows.

use crate::request;

/// Scheduling and capacity limits of a row.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Weight for fair queueing among requests of the same class.
    pub weight: u32,
    /// Maximum number of concurrent requests over all daemons; `None` means no limit.
    pub ceiling: Option<u32>,
    /// Share of capacity under contention, relative to the shares of other rows.
    pub share: u32,
    /// Most urgent class that requests may ask for.
    pub class: request::Class,
}

impl Default for Limits {
    fn default() -> Self {
        Self { weight: 1, ceiling: None, share: 1, class: request::Class::Normal }
    }
}
