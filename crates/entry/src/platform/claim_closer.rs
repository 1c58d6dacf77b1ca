//! Writes of recorded answers, and removal of claims on request or after the retention time.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, RecvTimeoutError};
use jasminetack_wire::claim as wire;
use jasminetack_wire::platform;

use super::Store;
use crate::clock;
use crate::in_flight;

/// Maximum number of claims in one transaction.
const MAX_GROUP_SIZE: usize = 64;
/// Maximum number of close requests in the backlog; further claims stay open, which is safe.
const MAX_BACKLOG: usize = 10_000;
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Number of sweeps per retention time; with 24 h and 400 daemons, one every 9 s in total.
const SWEEPS_PER_RETENTION: u64 = 24;

/// Request to record the answer of a claim or to remove the claim.
#[derive(Debug)]
pub struct CloseRequest {
    pub(super) key: String,
    pub(super) version: u64,
    /// The claim with its answer; `None` removes the claim.
    pub(super) row: Option<wire::ClaimRow>,
    /// Delays the shutdown of the daemon until the claim is closed; never read.
    pub(super) _guard: Option<in_flight::Guard>,
}

/// Closes claims and removes expired ones on a dedicated thread.
#[derive(Debug)]
pub struct ClaimCloser<Storage> {
    pub(super) store: Storage,
    pub(super) group_time: Duration,
    pub(super) retention_ms: u64,
    backlog: VecDeque<CloseRequest>,
    backoff: Duration,
    retry_at: Instant,
    swept_version: u64,
}

impl<Storage> ClaimCloser<Storage>
where
    Storage: Store,
{
    pub(super) fn new(store: Storage, group_time: Duration, retention_ms: u64) -> Self {
        let backlog = VecDeque::new();
        let (backoff, retry_at) = (MIN_BACKOFF, Instant::now());
        Self { store, group_time, retention_ms, backlog, backoff, retry_at, swept_version: 0 }
    }

    /// Processes requests until all senders are dropped.
    pub(super) fn run(mut self, close_requests: &Receiver<CloseRequest>) {
        let mut sweep_at = next_sweep(self.retention_ms);
        loop {
            let now = Instant::now();
            if now >= sweep_at {
                self.sweep(clock::unix_ms());
                sweep_at = next_sweep(self.retention_ms);
            }
            let wake_at = if self.backlog.is_empty() { sweep_at } else { self.retry_at };
            match close_requests.recv_timeout(wake_at.saturating_duration_since(now)) {
                Ok(request) => self.push(request),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let until = Instant::now() + self.group_time;
            while let Ok(request) = close_requests.recv_deadline(until) {
                self.push(request);
            }
            if Instant::now() >= self.retry_at {
                self.write();
            }
        }
    }

    fn push(&mut self, request: CloseRequest) {
        if self.backlog.len() >= MAX_BACKLOG {
            spdlog::error!("claim-left-open", kv: { key = request.key.as_str() });
            return;
        }
        self.backlog.push_back(request);
    }

    /// Writes the backlog; requests that the platform does not confirm stay in it for a retry.
    fn write(&mut self) {
        while !self.backlog.is_empty() {
            let count = self.backlog.len().min(MAX_GROUP_SIZE);
            let group: Vec<_> = self.backlog.drain(..count).collect();
            match commit_close_requests(&self.store, group) {
                Ok(()) => self.backoff = MIN_BACKOFF,
                Err((error, group)) => {
                    let error = error.to_string();
                    spdlog::warn!("claim-close-failed", kv: { error = error.as_str() });
                    self.backlog.extend(group);
                    self.retry_at = Instant::now() + self.backoff;
                    self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
                    return;
                }
            }
        }
    }

    /// Removes claims that are older than the retention time.
    fn sweep(&mut self, now_unix_ms: u64) {
        loop {
            let page = match self.store.rows(wire::CLAIM_PREFIX, self.swept_version) {
                Ok(page) => page,
                Err(error) => {
                    let error = error.to_string();
                    spdlog::warn!("claim-sweep-failed", kv: { error = error.as_str() });
                    return;
                }
            };
            let mut expired = Vec::new();
            let (mut version, mut is_last) = (self.swept_version, page.rows.is_empty());
            for row in page.rows {
                if !is_expired(row.value.as_ref(), now_unix_ms, self.retention_ms) {
                    is_last = true;
                    break;
                }
                version = row.version;
                if row.value.is_some() {
                    let (key, version) = (row.key, row.version);
                    expired.push(CloseRequest { key, version, row: None, _guard: None });
                }
            }
            let count = expired.len();
            while !expired.is_empty() {
                let rest = expired.split_off(expired.len().min(MAX_GROUP_SIZE));
                if commit_close_requests(&self.store, expired).is_err() {
                    return;
                }
                expired = rest;
            }
            self.swept_version = version;
            if count > 0 {
                spdlog::info!("claims-swept", kv: { count, version });
            }
            if is_last {
                return;
            }
        }
    }
}

/// Commits independent close requests in one transaction and drops those that conflict.
///
/// A conflict means that the claim has changed since it was read: an earlier write whose reply was
/// lost has closed it, or a sweep has removed it.
fn commit_close_requests<Storage>(
    store: &Storage,
    mut group: Vec<CloseRequest>,
) -> Result<(), (super::CallError, Vec<CloseRequest>)>
where
    Storage: Store,
{
    while !group.is_empty() {
        let mut transaction = platform::Transaction::default();
        for request in &group {
            let (key, version) = (request.key.clone(), Some(request.version));
            transaction.conditions.push(platform::Condition { key, version });
            let value = request.row.as_ref().and_then(|row| serde_json::to_value(row).ok());
            transaction.writes.push(platform::Write { key: request.key.clone(), value });
        }
        let rows = match store.transact(&transaction) {
            Ok(platform::TransactionReply::Committed { .. }) => return Ok(()),
            Ok(platform::TransactionReply::Conflict { rows }) => rows,
            Err(error) => return Err((error, group)),
        };
        let before = group.len();
        group.retain(|request| !rows.iter().any(|row| row.key == request.key));
        if group.len() == before {
            // No request caused the conflict, so a retry would conflict again forever.
            return Ok(());
        }
    }
    Ok(())
}

fn is_expired(value: Option<&serde_json::Value>, now_unix_ms: u64, retention_ms: u64) -> bool {
    let Some(value) = value else { return true };
    let row: Option<wire::ClaimRow> = serde_json::from_value(value.clone()).ok();
    row.is_some_and(|row| now_unix_ms.saturating_sub(row.claimed_unix_ms) > retention_ms)
}

fn next_sweep(retention_ms: u64) -> Instant {
    // Randomised, so that daemons started together do not sweep at the same time.
    let interval_ms = (retention_ms / SWEEPS_PER_RETENTION).max(1);
    let wait_ms = interval_ms / 2 + rand::random_range(0..interval_ms);
    Instant::now() + Duration::from_millis(wait_ms)
}
