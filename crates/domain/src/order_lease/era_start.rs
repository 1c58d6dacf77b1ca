//! Start of an era of the store.

/// An era of the store, and a bound of the time at which it began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EraStart {
    /// The era; 0 if the store reports none.
    pub era: u64,
    /// Store time by which the era had begun; 0 if no restore that could concern a live daemon preceded it.
    pub by_store_ms: u64,
}
