//! Tests of claims against a table service in memory that loses replies on demand.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use jasminetack_domain::claim;
use jasminetack_entry::platform as entry;
use jasminetack_wire::platform;

const BOUND: Duration = Duration::from_secs(10);
const DAY_MS: u64 = 86_400_000;

#[derive(Clone, Default)]
struct MemoryStore(Arc<Mutex<State>>);

#[derive(Default)]
struct State {
    version: u64,
    rows: BTreeMap<String, (u64, Option<serde_json::Value>)>,
    /// Faults of the next transactions, last first.
    faults: Vec<Fault>,
    reads_fail: bool,
    transactions: usize,
}

#[derive(Clone, Copy, PartialEq)]
enum Fault {
    ReplyLost,
    RequestLost,
    Unreachable,
}

impl MemoryStore {
    fn with_faults(faults: &[Fault]) -> Self {
        let store = Self::default();
        store.0.lock().unwrap().faults = faults.to_vec();
        store
    }

    fn value(&self, key: &str) -> Option<serde_json::Value> {
        self.0.lock().unwrap().rows.get(key).and_then(|(_, value)| value.clone())
    }

    fn wait_for<Check>(&self, key: &str, check: Check)
    where
        Check: Fn(Option<serde_json::Value>) -> bool,
    {
        let start = Instant::now();
        while !check(self.value(key)) {
            assert!(start.elapsed() < BOUND, "{key} is {:?}", self.value(key));
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}

fn failed(may_have_applied: bool) -> entry::CallError {
    entry::CallError { may_have_applied, message: "injected".to_owned() }
}

impl entry::Store for MemoryStore {
    fn rows(&self, prefix: &str, after: u64) -> Result<platform::RowsPage, entry::CallError> {
        let state = self.0.lock().unwrap();
        let mut rows = Vec::new();
        for (key, (version, value)) in &state.rows {
            if key.starts_with(prefix) && *version > after {
                let (key, version, value) = (key.clone(), *version, value.clone());
                rows.push(platform::StoredRow { key, version, value });
            }
        }
        rows.sort_by_key(|row| row.version);
        Ok(platform::RowsPage { rows, head_version: state.version })
    }

    fn read(
        &self,
        request: &platform::ReadRequest,
    ) -> Result<platform::RowsPage, entry::CallError> {
        let state = self.0.lock().unwrap();
        if state.reads_fail {
            return Err(failed(false));
        }
        let mut rows = Vec::new();
        for key in &request.keys {
            let (version, value) = state.rows.get(key).cloned().unwrap_or((0, None));
            rows.push(platform::StoredRow { key: key.clone(), version, value });
        }
        Ok(platform::RowsPage { rows, head_version: state.version })
    }

    fn transact(
        &self,
        transaction: &platform::Transaction,
    ) -> Result<platform::TransactionReply, entry::CallError> {
        let mut state = self.0.lock().unwrap();
        state.transactions += 1;
        let fault = state.faults.pop();
        match fault {
            Some(Fault::Unreachable) => return Err(failed(false)),
            Some(Fault::RequestLost) => return Err(failed(true)),
            Some(Fault::ReplyLost) | None => {}
        }
        let mut rows = Vec::new();
        for condition in &transaction.conditions {
            let (version, value) = state.rows.get(&condition.key).cloned().unwrap_or((0, None));
            let found = value.is_some().then_some(version);
            if found != condition.version {
                rows.push(platform::StoredRow { key: condition.key.clone(), version, value });
            }
        }
        let is_conflict = !rows.is_empty();
        if !is_conflict {
            state.version += 1;
            let version = state.version;
            for write in &transaction.writes {
                state.rows.insert(write.key.clone(), (version, write.value.clone()));
            }
        }
        if fault == Some(Fault::ReplyLost) {
            return Err(failed(true));
        }
        if is_conflict {
            return Ok(platform::TransactionReply::Conflict { rows });
        }
        Ok(platform::TransactionReply::Committed { version: state.version })
    }
}

fn attempt(token: u128) -> claim::Claim {
    let digest = claim::ContentDigest::new([7; claim::ContentDigest::LEN_BYTES]);
    claim::Claim::new(claim::AttemptToken::new(token), digest, 1_000)
}

fn answer() -> claim::Answer {
    let body = Some(Arc::from(b"slot confirmed".as_slice()));
    claim::Answer { status: 201, content_type: Arc::from("text/plain"), body }
}

fn held(claimed: entry::Claimed) -> entry::HeldClaim {
    match claimed {
        entry::Claimed::Held(held) => held,
        claimed => panic!("not held: {claimed:?}"),
    }
}

fn refused(claimed: entry::Claimed) -> claim::Refusal {
    match claimed {
        entry::Claimed::Refused(refusal) => refusal,
        claimed => panic!("not refused: {claimed:?}"),
    }
}

/// Guards against a second run while the first may run, and against a lost recorded answer.
#[tokio::test]
async fn second_call_waits_for_the_record_and_replays_it() {
    let store = MemoryStore::default();
    let claims = entry::Claims::start(&store, 1, DAY_MS).unwrap();
    let other_daemon = entry::Claims::start(&store, 1, DAY_MS).unwrap();
    let mut first = held(claims.claim("claim/k".to_owned(), attempt(1)).await);
    first.begin_send(0).unwrap();
    let second = other_daemon.claim("claim/k".to_owned(), attempt(2)).await;
    assert_eq!(refused(second), claim::Refusal::Open);
    // The platform is out of reach when the answer arrives.
    store.0.lock().unwrap().faults = vec![Fault::RequestLost, Fault::Unreachable];
    first.record(answer());
    store.wait_for("claim/k", |value| value.is_some_and(|value| value.get("answer").is_some()));
    match other_daemon.claim("claim/k".to_owned(), attempt(3)).await {
        entry::Claimed::Replay(replayed) => assert_eq!(replayed, answer()),
        claimed => panic!("not replayed: {claimed:?}"),
    }
}

/// Guards against a claim that is taken for another's, or sent without a claim, after lost replies.
#[tokio::test]
async fn lost_replies_are_resolved_by_reading_back() {
    for faults in
        [&[Fault::ReplyLost][..], &[Fault::RequestLost], &[Fault::ReplyLost, Fault::RequestLost]]
    {
        let store = MemoryStore::with_faults(faults);
        let claims = entry::Claims::start(&store, 1, DAY_MS).unwrap();
        let mut first = held(claims.claim("claim/k".to_owned(), attempt(1)).await);
        first.begin_send(0).unwrap();
        store.0.lock().unwrap().faults = faults.to_vec();
        let second = claims.claim("claim/k".to_owned(), attempt(2)).await;
        assert_eq!(refused(second), claim::Refusal::Open);
    }
}

/// Guards against sending when nobody can tell whether the claim was written.
#[tokio::test]
async fn unresolved_and_unreachable_claims_are_refused() {
    for fault in [Fault::ReplyLost, Fault::RequestLost, Fault::Unreachable] {
        let store = MemoryStore::with_faults(&[fault]);
        store.0.lock().unwrap().reads_fail = true;
        let claims = entry::Claims::start(&store, 1, DAY_MS).unwrap();
        let claimed = claims.claim("claim/k".to_owned(), attempt(1)).await;
        assert_eq!(refused(claimed), claim::Refusal::NotClaimed);
    }
}

/// Guards against a key in use that fails the other claims of its transaction.
#[tokio::test]
async fn conflict_on_one_key_does_not_fail_the_group() {
    let store = MemoryStore::default();
    let claims = entry::Claims::start(&store, 200, DAY_MS).unwrap();
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
            (_, entry::Claimed::Held(mut held)) => {
                held.begin_send(0).unwrap();
                held_keys += 1;
                kept.push(held);
            }
            (_, entry::Claimed::Refused(refusal)) => assert_eq!(refusal, claim::Refusal::Open),
            (token, claimed) => panic!("attempt {token}: {claimed:?}"),
        }
    }
    assert_eq!(held_keys, 9, "each free key is held once");
    let transactions = store.0.lock().unwrap().transactions - before;
    assert!(transactions <= 10, "20 claims took {transactions} transactions");
}

/// Guards against a key that stays blocked although nothing was sent.
#[tokio::test]
async fn claim_is_removed_when_nothing_was_sent() {
    let store = MemoryStore::default();
    let claims = entry::Claims::start(&store, 1, DAY_MS).unwrap();
    let mut first = held(claims.claim("claim/k".to_owned(), attempt(1)).await);
    first.begin_send(0).unwrap();
    first.unsent();
    drop(first);
    store.wait_for("claim/k", |value| value.is_none());
    let mut second = held(claims.claim("claim/k".to_owned(), attempt(2)).await);
    second.begin_send(0).unwrap();
    drop(second);
    let third = claims.claim("claim/k".to_owned(), attempt(3)).await;
    assert_eq!(refused(third), claim::Refusal::Open, "a sent call keeps its claim");
}

/// Guards against claims that fill the table service.
#[tokio::test]
async fn old_claims_are_swept() {
    let store = MemoryStore::default();
    let claims = entry::Claims::start(&store, 1, 300).unwrap();
    let mut first = held(claims.claim("claim/k".to_owned(), attempt(1)).await);
    first.begin_send(0).unwrap();
    store.wait_for("claim/k", |value| value.is_none());
}
