//! Candidate worker of a request.

use crate::upstream;

/// State of the request's adapter on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdapterState {
    /// The worker holds the adapter, or the request needs none.
    Resident,
    /// The last known state is out of date; the holder of the worker's order lease must confirm it.
    Unconfirmed,
    /// The adapter is being loaded.
    Loading,
    /// The adapter is not loaded but can be.
    Absent {
        /// Adapters that wait for a slot or a load on the worker.
        waiting_loads: u32,
        /// Predicted time until the load would start.
        wait_ms: u32,
    },
}

/// A worker that may receive the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The worker.
    pub upstream: &'a upstream::Upstream,
    /// State of the request's adapter.
    pub adapter: AdapterState,
}
