//! Tests of attempts to run a call under an idempotency key.

use std::sync::Arc;

use jasminetack_domain::claim;
use jasminetack_domain::request;

fn attempt(token: u128, content: u8) -> claim::Claim {
    let digest = claim::ContentDigest::new([content; claim::ContentDigest::LEN_BYTES]);
    claim::Claim::new(claim::AttemptToken::new(token), digest, 1_000)
}

/// Guards against two attempts sending the same call because each treats the stored claim as its own.
#[test]
fn claim_with_another_token_is_not_sent() {
    let stored = attempt(1, 7).open_record();
    assert_eq!(attempt(1, 7).resolve(Some(&stored)), claim::Step::Send);
    let mut other = attempt(2, 7);
    assert_eq!(other.resolve(Some(&stored)), claim::Step::Refuse(claim::Refusal::Open));
    assert_eq!(claim::Refusal::Open.outcome(), request::Outcome::Unknown);
    assert!(other.begin_send(0).is_err());
    assert!(!other.may_remove());
}

/// Guards against returning the answer of a different call under the same key.
#[test]
fn key_used_with_different_content_is_refused() {
    let answer = claim::Answer { status: 200, content_type: Arc::from("text/plain"), body: None };
    let stored = attempt(1, 7).answered_record(answer.clone());
    let refused = claim::Step::Refuse(claim::Refusal::ContentMismatch);
    assert_eq!(attempt(2, 8).resolve(Some(&stored)), refused);
    assert_eq!(attempt(2, 7).resolve(Some(&stored)), claim::Step::Replay(answer));
}

/// Guards against sending without a claim when the platform is unreachable.
#[test]
fn call_is_not_sent_when_the_platform_is_unreachable() {
    let mut attempt = attempt(1, 7);
    assert_eq!(attempt.insert_unanswered(), claim::Step::ReadBack);
    let refused = claim::Step::Refuse(claim::Refusal::NotClaimed);
    assert_eq!(attempt.refuse_unreachable(), refused);
    assert_eq!(attempt.begin_send(0), Err(claim::Refusal::NotClaimed));
    assert_eq!(claim::Refusal::NotClaimed.outcome(), request::Outcome::NotRun);
}

/// Guards against unbounded retries with a platform that loses every insert.
#[test]
fn inserts_are_bounded() {
    let mut attempt = attempt(1, 7);
    let mut inserts = 1;
    while attempt.resolve(None) == claim::Step::Insert {
        inserts += 1;
    }
    assert_eq!(inserts, 3);
}

/// Guards against a second run by an attempt that was paused until its claim may have been removed.
#[test]
fn call_with_an_expired_claim_is_not_sent() {
    let mut attempt = attempt(1, 7);
    attempt.mark_inserted();
    assert_eq!(attempt.begin_send(1_001), Err(claim::Refusal::ClaimExpired));
    assert!(attempt.may_remove());
}

/// Guards against resending after bytes of the call may have been sent.
#[test]
fn call_is_resent_only_if_nothing_was_sent() {
    let mut attempt = attempt(1, 7);
    attempt.mark_inserted();
    attempt.begin_send(0).unwrap();
    assert!(attempt.begin_send(0).is_err());
    attempt.mark_unsent();
    assert!(attempt.may_remove());
    attempt.begin_send(0).unwrap();
    assert!(!attempt.may_remove());
}
