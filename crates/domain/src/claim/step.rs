//! Next steps of an attempt.

use super::{Answer, Refusal};

/// Next step of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Insert the claim if the key has none.
    Insert,
    /// Read the claim back, because the reply to the insert was lost.
    ReadBack,
    /// Send the call; this attempt holds the claim.
    Send,
    /// Return the recorded answer to the caller.
    Replay(Answer),
    /// Refuse the call.
    Refuse(Refusal),
}
