//! Claims as they are stored.

use super::{Answer, AttemptToken, ContentDigest};

/// A stored claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Record {
    /// Attempt that inserted the claim.
    pub token: AttemptToken,
    /// Digest of the attempt's call.
    pub digest: ContentDigest,
    /// What is known of the call.
    pub progress: Progress,
}

/// What is known of a claimed call.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Progress {
    /// The call may run, may have run, or may run later.
    Open,
    /// The call ran and was answered.
    Done(Answer),
}
