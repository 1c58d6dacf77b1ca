//! Row that tells of orders without an answer.

/// Orders of one worker that may still be carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LateRow {
    /// Time of the store's clock after which none of them is.
    pub until_store_ms: u64,
}
