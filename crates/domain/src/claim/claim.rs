//! State machine of an attempt to run a call under an idempotency key.

use super::{Answer, AttemptToken, ContentDigest, Progress, Record, Refusal, Step};

/// Maximum inserts per attempt. After a lost reply, a missing row is inserted again: the first insert
/// either failed or, if it is still in transit, will conflict with the second.
const MAX_INSERTS: u8 = 3;

/// Attempt to run a call under an idempotency key, from inserting the claim to recording the answer.
///
/// ```
/// use jasminetack_domain::claim;
///
/// let digest = claim::ContentDigest::new([7; 32]);
/// let mut attempt = claim::Claim::new(claim::AttemptToken::new(1), digest, 60_000);
/// assert_eq!(attempt.mark_inserted(), claim::Step::Send);
/// assert_eq!(attempt.begin_send(10), Ok(()));
/// assert!(!attempt.may_remove(), "bytes of the call may have been sent");
/// assert!(attempt.begin_send(20).is_err(), "the call is not sent twice");
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    token: AttemptToken,
    digest: ContentDigest,
    send_before_ms: u64,
    inserts: u8,
    stage: Stage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Stage {
    /// The claim is not confirmed to be stored.
    Pending,
    /// The claim is stored and no byte of the call has been sent.
    Held,
    /// Bytes of the call may have been sent.
    Sent,
    /// The attempt ended without sending the call.
    Refused,
}

impl Claim {
    /// Creates an attempt that does not send the call after `send_before_ms`, which must be before
    /// the end of the claim's retention.
    #[must_use]
    pub fn new(token: AttemptToken, digest: ContentDigest, send_before_ms: u64) -> Self {
        Self { token, digest, send_before_ms, inserts: 1, stage: Stage::Pending }
    }

    /// Returns the record to store before the call is sent.
    #[must_use]
    pub fn open_record(&self) -> Record {
        Record { token: self.token, digest: self.digest, progress: Progress::Open }
    }

    /// Returns the record to store after the call was answered.
    #[must_use]
    pub fn answered_record(&self, answer: Answer) -> Record {
        Record { token: self.token, digest: self.digest, progress: Progress::Answered(answer) }
    }

    /// Records that the claim is stored.
    pub fn mark_inserted(&mut self) -> Step {
        self.stage = Stage::Held;
        Step::Send
    }

    /// Resolves the attempt against the stored claim of the key, after a conflicting insert or a read.
    pub fn resolve(&mut self, stored: Option<&Record>) -> Step {
        let Some(stored) = stored else {
            if self.inserts >= MAX_INSERTS {
                return self.refuse(Refusal::NotClaimed);
            }
            self.inserts += 1;
            return Step::Insert;
        };
        if stored.token == self.token {
            return self.mark_inserted();
        }
        if stored.digest != self.digest {
            return self.refuse(Refusal::ContentMismatch);
        }
        match &stored.progress {
            Progress::Open => self.refuse(Refusal::Open),
            Progress::Answered(answer) => {
                self.stage = Stage::Refused;
                Step::Replay(answer.clone())
            }
        }
    }

    /// Handles a lost reply to the insert, which may have been committed.
    pub fn insert_unanswered(&mut self) -> Step {
        Step::ReadBack
    }

    /// Refuses the call because the stored row cannot be parsed; another attempt may have written it.
    pub fn refuse_unreadable(&mut self) -> Step {
        self.refuse(Refusal::Open)
    }

    /// Refuses the call because the claim can be neither written nor read; another attempt may hold
    /// the key.
    pub fn refuse_unreachable(&mut self) -> Step {
        self.refuse(Refusal::NotClaimed)
    }

    /// Permits the call to be sent once.
    ///
    /// # Errors
    ///
    /// Returns an error if the claim is not held, the call was already sent, or the claim is too old.
    pub fn begin_send(&mut self, now_ms: u64) -> Result<(), Refusal> {
        match self.stage {
            Stage::Sent => return Err(Refusal::Open),
            Stage::Pending | Stage::Refused => return Err(Refusal::NotClaimed),
            Stage::Held if now_ms > self.send_before_ms => return Err(Refusal::ClaimExpired),
            Stage::Held => {}
        }
        self.stage = Stage::Sent;
        Ok(())
    }

    /// Permits another send after a connection failed before any byte of the call was sent.
    pub fn mark_unsent(&mut self) {
        if self.stage == Stage::Sent {
            self.stage = Stage::Held;
        }
    }

    /// Returns whether the claim may be removed, because no byte of the call was sent.
    #[must_use]
    pub fn may_remove(&self) -> bool {
        self.stage == Stage::Held
    }

    fn refuse(&mut self, refusal: Refusal) -> Step {
        self.stage = Stage::Refused;
        Step::Refuse(refusal)
    }
}
