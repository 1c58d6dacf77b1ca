//! Tests of claims with an in-memory table service that injects faults.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;

use jasminetack_domain::claim;
use jasminetack_entry::platform as entry;

use support::store::{Fault, MemoryStore};

mod support;

const DAY_MS: u64 = 86_400_000;

fn attempt(token: u128) -> claim::Claim {
    let digest = claim::ContentDigest::new([7; claim::ContentDigest::LEN_BYTES]);
    claim::Claim::new(claim::AttemptToken::new(token), digest, 1_000)
}

fn response() -> claim::Answer {
    let body = Some(Arc::from(b"slot confirmed".as_slice()));
    claim::Answer { status: 201, content_type: Arc::from("text/plain"), body }
}

fn held(claimed: entry::ClaimOutcome) -> entry::HeldClaim {
    match claimed {
        entry::ClaimOutcome::Held(held) => held,
        claimed => panic!("not held: {claimed:?}"),
    }
}

fn refused(claimed: entry::ClaimOutcome) -> claim::Refusal {
    match claimed {
        entry::ClaimOutcome::Refused(refusal) => refusal,
        claimed => panic!("not refused: {claimed:?}"),
    }
}

/// Guards against a second execution while the first call may run, and against losing the recorded
/// response.
#[tokio::test]
async fn second_call_is_refused_until_the_response_is_recorded() {
    let store = MemoryStore::default();
    let claims = entry::Claims::start(&store, 1, DAY_MS, &Default::default()).unwrap();
    let other_daemon = entry::Claims::start(&store, 1, DAY_MS, &Default::default()).unwrap();
    let mut first = held(claims.claim("claim/k".to_owned(), attempt(1)).await);
    first.begin_send(0).unwrap();
    let second = other_daemon.claim("claim/k".to_owned(), attempt(2)).await;
    assert_eq!(refused(second), claim::Refusal::Open);
    // The platform is unreachable when the response arrives.
    store.0.lock().unwrap().faults = vec![Fault::RequestLost, Fault::Unreachable];
    first.record(response());
    store
        .wait_for("claim/k", |value| value.is_some_and(|value| value.get("answer").is_some()))
        .await;
    match other_daemon.claim("claim/k".to_owned(), attempt(3)).await {
        entry::ClaimOutcome::Replay(replayed) => assert_eq!(replayed, response()),
        claimed => panic!("not replayed: {claimed:?}"),
    }
}

/// Guards against mistaking an own claim for another's, or a missing claim for a stored one, after
/// a lost request or reply.
#[tokio::test]
async fn lost_replies_are_resolved_by_reading_back() {
    for faults in
        [&[Fault::ReplyLost][..], &[Fault::RequestLost], &[Fault::ReplyLost, Fault::RequestLost]]
    {
        let store = MemoryStore::with_faults(faults);
        let claims = entry::Claims::start(&store, 1, DAY_MS, &Default::default()).unwrap();
        let mut first = held(claims.claim("claim/k".to_owned(), attempt(1)).await);
        first.begin_send(0).unwrap();
        store.0.lock().unwrap().faults = faults.to_vec();
        let second = claims.claim("claim/k".to_owned(), attempt(2)).await;
        assert_eq!(refused(second), claim::Refusal::Open);
    }
}

/// Guards against sending a call when it is unknown whether the claim was written.
#[tokio::test]
async fn unresolved_and_unreachable_claims_are_refused() {
    for fault in [Fault::ReplyLost, Fault::RequestLost, Fault::Unreachable] {
        let store = MemoryStore::with_faults(&[fault]);
        store.0.lock().unwrap().fail_reads = true;
        let claims = entry::Claims::start(&store, 1, DAY_MS, &Default::default()).unwrap();
        let claimed = claims.claim("claim/k".to_owned(), attempt(1)).await;
        assert_eq!(refused(claimed), claim::Refusal::NotClaimed);
    }
}

/// Guards against a claimed key that fails the other claims of the same transaction.
#[tokio::test]
async fn conflict_on_one_key_does_not_fail_the_group() {
    let store = MemoryStore::default();
    let claims = entry::Claims::start(&store, 200, DAY_MS, &Default::default()).unwrap();
    let mut first = held(claims.claim("claim/k0".to_owned(), attempt(1)).await);
    first.begin_send(0).unwrap();
    let before = store.0.lock().unwrap().transactions;
    let mut tasks = Vec::new();
    for token in 10..30_u128 {
        let claims = claims.clone();
        let key = format!("claim/k{}", token % 10);
        tasks.push(tokio::spawn(async move { (token, claims.claim(key, attempt(token)).await) }));
    }
    let mut held_keys = 0;
    let mut kept = Vec::new();
    for task in tasks {
        match task.await.unwrap() {
            (_, entry::ClaimOutcome::Held(mut held)) => {
                held.begin_send(0).unwrap();
                held_keys += 1;
                kept.push(held);
            }
            (_, entry::ClaimOutcome::Refused(refusal)) => assert_eq!(refusal, claim::Refusal::Open),
            (token, claimed) => panic!("attempt {token}: {claimed:?}"),
        }
    }
    assert_eq!(held_keys, 9, "each free key is held once");
    let transactions = store.0.lock().unwrap().transactions - before;
    assert!(transactions <= 10, "20 claims took {transactions} transactions");
}

/// Guards against a key that stays claimed although the call was not sent.
#[tokio::test]
async fn claim_is_removed_when_nothing_was_sent() {
    let store = MemoryStore::default();
    let claims = entry::Claims::start(&store, 1, DAY_MS, &Default::default()).unwrap();
    let mut first = held(claims.claim("claim/k".to_owned(), attempt(1)).await);
    first.begin_send(0).unwrap();
    first.mark_unsent();
    drop(first);
    store.wait_for("claim/k", |value| value.is_none()).await;
    let mut second = held(claims.claim("claim/k".to_owned(), attempt(2)).await);
    second.begin_send(0).unwrap();
    drop(second);
    let third = claims.claim("claim/k".to_owned(), attempt(3)).await;
    assert_eq!(refused(third), claim::Refusal::Open, "a sent call keeps its claim");
}

/// Guards against old claims that accumulate in the table service.
#[tokio::test]
async fn claims_are_removed_after_the_retention_time() {
    let store = MemoryStore::default();
    let claims = entry::Claims::start(&store, 1, 300, &Default::default()).unwrap();
    let mut first = held(claims.claim("claim/k".to_owned(), attempt(1)).await);
    first.begin_send(0).unwrap();
    store.wait_for("claim/k", |value| value.is_none()).await;
}
