//! A worker that may get a request.

use crate::upstream;

/// Whether a worker can answer for an adapter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdapterState {
    /// The worker holds the adapter, or the request needs none.
    Resident,
    /// The worker held the adapter some time ago; its holder must confirm it.
    Unconfirmed,
    /// The adapter is on its way to the worker.
    Loading,
    /// The adapter can be loaded; the number of loads that wait there.
    Absent {
        /// Adapters that wait for a place or a load at the worker.
        waiting_loads: u32,
    },
}

/// A worker that may get a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The worker.
    pub upstream: &'a upstream::Upstream,
    /// Whether it can answer for the request's adapter.
    pub adapter: AdapterState,
}
