//! Stored claims.

use super::{Answer, AttemptToken, ContentDigest};

/// Stored claim of a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Record {
    /// Attempt that inserted the claim.
    pub token: AttemptToken,
    /// Content digest of the claimed call.
    pub digest: ContentDigest,
    /// Progress of the call.
    pub progress: Progress,
}

/// Progress of a claimed call.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Progress {
    /// The call may have run, may be running, or may run later.
    Open,
    /// The call ran and was answered.
    Answered(Answer),
}
