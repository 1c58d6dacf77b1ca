//! Limits that every row carries.

use crate::request;

/// Weight, ceiling, share and class of a row.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Relative weight among work of equal class.
    pub weight: u32,
    /// Most requests at one time over all daemons; `None` for no limit.
    pub ceiling: Option<u32>,
    /// Part of scarce capacity, relative to the shares of other rows.
    pub share: u32,
    /// Most urgent class that requests of the row may ask for.
    pub class: request::Class,
}

impl Default for Limits {
    fn default() -> Self {
        Self { weight: 1, ceiling: None, share: 1, class: request::Class::Normal }
    }
}
