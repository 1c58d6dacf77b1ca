//! In-memory table service with injected faults: lost requests, lost replies, failed reads.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use jasminetack_entry::platform as entry;
use jasminetack_wire::platform;

use super::TEST_TIMEOUT;

#[derive(Clone, Default)]
pub struct MemoryStore(pub Arc<Mutex<State>>);

#[derive(Default)]
pub struct State {
    pub version: u64,
    pub rows: BTreeMap<String, (u64, Option<serde_json::Value>)>,
    /// Faults of the next transactions; the last entry applies to the next one.
    pub faults: Vec<Fault>,
    pub fail_reads: bool,
    pub transactions: usize,
}

#[derive(Clone, Copy, PartialEq)]
pub enum Fault {
    ReplyLost,
    RequestLost,
    Unreachable,
}

impl MemoryStore {
    pub fn with_faults(faults: &[Fault]) -> Self {
        let store = Self::default();
        store.0.lock().unwrap().faults = faults.to_vec();
        store
    }

    pub fn value(&self, key: &str) -> Option<serde_json::Value> {
        self.0.lock().unwrap().rows.get(key).and_then(|(_, value)| value.clone())
    }

    pub async fn wait_for<Check>(&self, key: &str, check: Check)
    where
        Check: Fn(Option<serde_json::Value>) -> bool,
    {
        let start = Instant::now();
        while !check(self.value(key)) {
            assert!(start.elapsed() < TEST_TIMEOUT, "{key} is {:?}", self.value(key));
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
}

fn call_error(may_have_applied: bool) -> entry::CallError {
    entry::CallError { may_have_applied, message: "injected fault".to_owned() }
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
        if state.fail_reads {
            return Err(call_error(false));
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
            Some(Fault::Unreachable) => return Err(call_error(false)),
            Some(Fault::RequestLost) => return Err(call_error(true)),
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
            return Err(call_error(true));
        }
        if is_conflict {
            return Ok(platform::TransactionReply::Conflict { rows });
        }
        Ok(platform::TransactionReply::Committed { version: state.version })
    }
}
