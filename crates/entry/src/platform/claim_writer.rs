//! Inserts of claims, batched into shared transactions.

use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, Sender};
use indexmap::IndexMap;
use jasminetack_domain::claim;
use jasminetack_wire::claim as wire;
use jasminetack_wire::platform;
use tokio::sync::oneshot;

use super::claim_closer::CloseRequest;
use super::{HeldClaim, Store};
use crate::clock;
use crate::in_flight;

/// Maximum number of claims in one transaction.
const MAX_GROUP_SIZE: usize = 64;

/// Outcome of an attempt to claim a key.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// The claim is stored and the call may be sent.
    Held(HeldClaim),
    /// The call has already run; this is its recorded answer.
    Replay(claim::Answer),
    /// The call must not be sent.
    Refused(claim::Refusal),
}

/// Request to claim a key.
#[derive(Debug)]
pub struct InsertRequest {
    pub(super) key: String,
    pub(super) attempt: claim::Claim,
    pub(super) reply: oneshot::Sender<ClaimOutcome>,
}

/// Writes claims on a dedicated thread.
#[derive(Debug)]
pub struct ClaimWriter<Storage> {
    pub(super) store: Storage,
    pub(super) group_time: Duration,
    pub(super) close_requests: Sender<CloseRequest>,
    pub(super) in_flight: in_flight::InFlight,
}

impl<Storage> ClaimWriter<Storage>
where
    Storage: Store,
{
    /// Processes requests until all senders are dropped.
    pub(super) fn run(&self, inserts: &Receiver<InsertRequest>) {
        while let Ok(first) = inserts.recv() {
            let mut group = vec![first];
            let until = Instant::now() + self.group_time;
            while group.len() < MAX_GROUP_SIZE {
                let Ok(insert) = inserts.recv_deadline(until) else { break };
                group.push(insert);
            }
            while !group.is_empty() {
                group = self.write_group(group);
            }
        }
    }

    /// Completes one attempt per key and returns further attempts with the same keys.
    fn write_group(&self, group: Vec<InsertRequest>) -> Vec<InsertRequest> {
        let mut open = IndexMap::new();
        let mut deferred = Vec::new();
        for insert in group {
            // The caller disconnected while the request was queued and needs no claim.
            if insert.reply.is_closed() {
                continue;
            }
            if open.contains_key(&insert.key) {
                deferred.push(insert);
                continue;
            }
            open.insert(insert.key.clone(), insert);
        }
        while !open.is_empty() {
            open = self.write_once(open);
        }
        deferred
    }

    /// Writes all attempts in one transaction and returns those to be written again.
    fn write_once(&self, open: IndexMap<String, InsertRequest>) -> IndexMap<String, InsertRequest> {
        let now_unix_ms = clock::unix_ms();
        match self.store.transact(&transaction(&open, now_unix_ms)) {
            Ok(platform::TransactionReply::Committed { version }) => {
                for mut insert in open.into_values() {
                    let step = insert.attempt.mark_inserted();
                    self.reply(insert, step, version, now_unix_ms);
                }
                IndexMap::new()
            }
            Ok(platform::TransactionReply::Conflict { rows }) => self.handle_conflict(open, rows),
            Err(error) if error.may_have_applied => {
                log_failure(&error, "insert-unanswered");
                self.read_back(open)
            }
            Err(error) => {
                log_failure(&error, "insert-failed");
                self.refuse_all(open)
            }
        }
    }

    /// Completes the attempts whose keys have a row, and returns the others for a retry.
    fn handle_conflict(
        &self,
        mut open: IndexMap<String, InsertRequest>,
        rows: Vec<platform::StoredRow>,
    ) -> IndexMap<String, InsertRequest> {
        let before = open.len();
        for row in rows {
            let Some(mut insert) = open.swap_remove(&row.key) else { continue };
            let (step, claimed_unix_ms) = resolve_row(&mut insert.attempt, row.value);
            if step == claim::Step::Insert {
                open.insert(insert.key.clone(), insert);
                continue;
            }
            self.reply(insert, step, row.version, claimed_unix_ms);
        }
        if open.len() == before {
            // No attempt caused the conflict, so a retry would conflict again forever.
            return self.refuse_all(open);
        }
        open
    }

    fn read_back(
        &self,
        mut open: IndexMap<String, InsertRequest>,
    ) -> IndexMap<String, InsertRequest> {
        for insert in open.values_mut() {
            insert.attempt.insert_unanswered();
        }
        let request = platform::ReadRequest { keys: open.keys().cloned().collect() };
        let page = match self.store.read(&request) {
            Ok(page) => page,
            Err(error) => {
                log_failure(&error, "read-back-failed");
                return self.refuse_all(open);
            }
        };
        let mut retries = IndexMap::new();
        let mut rows: IndexMap<_, _> =
            page.rows.into_iter().map(|row| (row.key.clone(), row)).collect();
        for mut insert in open.into_values() {
            let (version, value) =
                rows.swap_remove(&insert.key).map_or((0, None), |row| (row.version, row.value));
            let (step, claimed_unix_ms) = resolve_row(&mut insert.attempt, value);
            if step == claim::Step::Insert {
                retries.insert(insert.key.clone(), insert);
                continue;
            }
            self.reply(insert, step, version, claimed_unix_ms);
        }
        retries
    }

    fn refuse_all(&self, open: IndexMap<String, InsertRequest>) -> IndexMap<String, InsertRequest> {
        for mut insert in open.into_values() {
            let step = insert.attempt.refuse_unreachable();
            self.reply(insert, step, 0, 0);
        }
        IndexMap::new()
    }

    fn reply(&self, insert: InsertRequest, step: claim::Step, version: u64, claimed_unix_ms: u64) {
        let outcome = match step {
            claim::Step::Send => ClaimOutcome::Held(HeldClaim {
                key: insert.key,
                version,
                claimed_unix_ms,
                attempt: insert.attempt,
                close_requests: self.close_requests.clone(),
                guard: Some(self.in_flight.enter()),
            }),
            claim::Step::Replay(answer) => ClaimOutcome::Replay(answer),
            claim::Step::Refuse(refusal) => ClaimOutcome::Refused(refusal),
            claim::Step::Insert | claim::Step::ReadBack => {
                ClaimOutcome::Refused(claim::Refusal::NotClaimed)
            }
        };
        // If the caller disconnected, dropping the held claim removes the claim.
        let _ = insert.reply.send(outcome);
    }
}

fn transaction(open: &IndexMap<String, InsertRequest>, now_unix_ms: u64) -> platform::Transaction {
    let mut transaction = platform::Transaction::default();
    for (key, insert) in open {
        let row = wire::ClaimRow::new(&insert.attempt.open_record(), now_unix_ms);
        transaction.conditions.push(platform::Condition { key: key.clone(), version: None });
        let value = serde_json::to_value(row).ok();
        transaction.writes.push(platform::Write { key: key.clone(), value });
    }
    transaction
}

fn resolve_row(attempt: &mut claim::Claim, value: Option<serde_json::Value>) -> (claim::Step, u64) {
    let Some(value) = value else { return (attempt.resolve(None), 0) };
    let row = serde_json::from_value::<wire::ClaimRow>(value).ok();
    let claimed_unix_ms = row.as_ref().map_or(0, |row| row.claimed_unix_ms);
    let Some(record) = row.and_then(|row| claim::Record::try_from(row).ok()) else {
        // An invalid row blocks the key like an open claim.
        return (attempt.refuse_unreadable(), 0);
    };
    (attempt.resolve(Some(&record)), claimed_unix_ms)
}

fn log_failure(error: &super::CallError, step: &'static str) {
    let error = error.to_string();
    spdlog::warn!("claim-write-failed", kv: { step, error = error.as_str() });
}
