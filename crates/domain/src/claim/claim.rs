//! One attempt to run a call under a key.

use super::{Answer, AttemptToken, ContentDigest, Progress, Record, Refusal, Step};

/// Inserts of one attempt. A row that is missing after a lost reply is inserted again, since the
/// first insert then either failed or will find the row of the second.
const MAX_INSERTS: u8 = 3;

/// One attempt to run a call under a key, from the insert of the claim to the recorded answer.
///
/// ```
/// use jasminetack_domain::claim;
///
/// let digest = claim::ContentDigest::new([7; 32]);
/// let mut attempt = claim::Claim::new(claim::AttemptToken::new(1), digest, 60_000);
/// assert_eq!(attempt.inserted(), claim::Step::Send);
/// assert_eq!(attempt.begin_send(10), Ok(()));
/// assert!(!attempt.may_remove(), "a byte may have been sent");
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
    /// The claim is not known to be stored.
    Claiming,
    /// The claim is stored and no byte of the call was sent.
    Held,
    /// A byte of the call may have been sent.
    Sent,
    /// The attempt is over without a call.
    Refused,
}

impl Claim {
    /// Starts an attempt; the call is not sent after `send_before_ms`, which must lie before the
    /// end of the claim's retention.
    #[must_use]
    pub fn new(token: AttemptToken, digest: ContentDigest, send_before_ms: u64) -> Self {
        Self { token, digest, send_before_ms, inserts: 1, stage: Stage::Claiming }
    }

    /// Returns the claim to store while the call may run.
    #[must_use]
    pub fn open_record(&self) -> Record {
        Record { token: self.token, digest: self.digest, progress: Progress::Open }
    }

    /// Returns the claim to store after the call was answered.
    #[must_use]
    pub fn done_record(&self, answer: Answer) -> Record {
        Record { token: self.token, digest: self.digest, progress: Progress::Done(answer) }
    }

    /// The insert took effect.
    pub fn inserted(&mut self) -> Step {
        self.stage = Stage::Held;
        Step::Send
    }

    /// The insert was refused, or the claim was read back; `stored` is the claim of the key.
    pub fn found(&mut self, stored: Option<&Record>) -> Step {
        let Some(stored) = stored else {
            if self.inserts >= MAX_INSERTS {
                return self.refuse(Refusal::NotClaimed);
            }
            self.inserts += 1;
            return Step::Insert;
        };
        if stored.token == self.token {
            return self.inserted();
        }
        if stored.digest != self.digest {
            return self.refuse(Refusal::OtherContent);
        }
        match &stored.progress {
            Progress::Open => self.refuse(Refusal::Open),
            Progress::Done(answer) => {
                self.stage = Stage::Refused;
                Step::Replay(answer.clone())
            }
        }
    }

    /// The reply to the insert was lost, so that it may have taken effect.
    pub fn insert_unanswered(&mut self) -> Step {
        Step::ReadBack
    }

    /// The key has a row that cannot be read, which another attempt may have written.
    pub fn blocked(&mut self) -> Step {
        self.refuse(Refusal::Open)
    }

    /// The claim can be neither written nor read back. Nothing is sent, since another attempt may
    /// hold the key.
    pub fn unreachable(&mut self) -> Step {
        self.refuse(Refusal::NotClaimed)
    }

    /// Allows to send the call once.
    ///
    /// # Errors
    ///
    /// Fails when the claim is not held, the call was sent, or the claim is too old.
    pub fn begin_send(&mut self, now_ms: u64) -> Result<(), Refusal> {
        match self.stage {
            Stage::Sent => return Err(Refusal::Open),
            Stage::Claiming | Stage::Refused => return Err(Refusal::NotClaimed),
            Stage::Held if now_ms > self.send_before_ms => return Err(Refusal::TooLate),
            Stage::Held => {}
        }
        self.stage = Stage::Sent;
        Ok(())
    }

    /// The connection failed before any byte of the call was sent, so that it may be sent again.
    pub fn unsent(&mut self) {
        if self.stage == Stage::Sent {
            self.stage = Stage::Held;
        }
    }

    /// Tells whether the claim may be removed, because no byte of the call was sent.
    #[must_use]
    pub fn may_remove(&self) -> bool {
        self.stage == Stage::Held
    }

    fn refuse(&mut self, refusal: Refusal) -> Step {
        self.stage = Stage::Refused;
        Step::Refuse(refusal)
    }
}
