//! Steps of an attempt.

use super::{Answer, Refusal};

/// What an attempt does next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Insert the claim on condition that the key has none.
    Insert,
    /// Read the claim back, because the reply to the insert was lost.
    ReadBack,
    /// The claim is held: the call may be sent.
    Send,
    /// Give the caller the recorded answer.
    Replay(Answer),
    /// Refuse the call.
    Refuse(Refusal),
}
