//! Idempotency claims, which ensure that a call with a key runs at most once.
//!
//! A claim row is inserted before the call is sent and stores the answer afterwards. An open claim is
//! never taken over, because the attempt that inserted it may still send the call.

mod answer;
mod attempt_token;
#[allow(clippy::module_inception)]
mod claim;
mod content_digest;
mod record;
mod refusal;
mod step;

pub use answer::Answer;
pub use attempt_token::AttemptToken;
pub use claim::Claim;
pub use content_digest::ContentDigest;
pub use record::{Progress, Record};
pub use refusal::Refusal;
pub use step::Step;
