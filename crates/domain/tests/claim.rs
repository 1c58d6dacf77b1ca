//! Tests of attempts to run a call under a key.

use std::sync::Arc;

use jasminetack_domain::claim;
use jasminetack_domain::request;

fn attempt(token: u128, content: u8) -> claim::Claim {
    let digest = claim::ContentDigest::new([content; claim::ContentDigest::LEN_BYTES]);
    claim::Claim::new(claim::AttemptToken::new(token), digest, 1_000)
}

/// Guards against two attempts that both send after both saw a claim of the key.
#[test]
fn only_the_own_token_allows_to_send() {
    let stored = attempt(1, 7).open_record();
    assert_eq!(attempt(1, 7).found(Some(&stored)), claim::Step::Send);
    let mut other = attempt(2, 7);
    assert_eq!(other.found(Some(&stored)), claim::Step::Refuse(claim::Refusal::Open));
    assert_eq!(claim::Refusal::Open.outcome(), request::Outcome::Unknown);
    assert!(other.begin_send(0).is_err());
    assert!(!other.may_remove());
}

/// Guards against an answer to another call under the same key.
#[test]
fn key_of_another_call_is_refused() {
    let answer = claim::Answer { status: 200, content_type: Arc::from("text/plain"), body: None };
    let stored = attempt(1, 7).done_record(answer.clone());
    let refused = claim::Step::Refuse(claim::Refusal::OtherContent);
    assert_eq!(attempt(2, 8).found(Some(&stored)), refused);
    assert_eq!(attempt(2, 7).found(Some(&stored)), claim::Step::Replay(answer));
}

/// Guards against sending without a claim after the platform could not be asked.
#[test]
fn unresolved_claim_sends_nothing() {
    let mut attempt = attempt(1, 7);
    assert_eq!(attempt.insert_unanswered(), claim::Step::ReadBack);
    let refused = claim::Step::Refuse(claim::Refusal::NotClaimed);
    assert_eq!(attempt.unreachable(), refused);
    assert_eq!(attempt.begin_send(0), Err(claim::Refusal::NotClaimed));
    assert_eq!(claim::Refusal::NotClaimed.outcome(), request::Outcome::NotRun);
}

/// Guards against an endless exchange with a platform that loses each insert.
#[test]
fn inserts_are_bounded() {
    let mut attempt = attempt(1, 7);
    let mut inserts = 1;
    while attempt.found(None) == claim::Step::Insert {
        inserts += 1;
    }
    assert_eq!(inserts, 3);
}

/// Guards against a second run after a pause as long as the retention of claims.
#[test]
fn old_claim_is_not_sent() {
    let mut attempt = attempt(1, 7);
    attempt.inserted();
    assert_eq!(attempt.begin_send(1_001), Err(claim::Refusal::TooLate));
    assert!(attempt.may_remove());
}

/// Guards against a resend after a byte may have been sent.
#[test]
fn call_is_sent_again_only_when_nothing_was_sent() {
    let mut attempt = attempt(1, 7);
    attempt.inserted();
    attempt.begin_send(0).unwrap();
    assert!(attempt.begin_send(0).is_err());
    attempt.unsent();
    assert!(attempt.may_remove());
    attempt.begin_send(0).unwrap();
    assert!(!attempt.may_remove());
}
