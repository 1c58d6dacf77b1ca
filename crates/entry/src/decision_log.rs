//! Recent decisions by request, for `jasminetack-table explain`.

use indexmap::IndexMap;
use jasminetack_domain::name;
use parking_lot::Mutex;

/// Decisions kept for one request.
const MAX_DECISIONS: usize = 64;

/// Keeps the decisions of the most recent requests.
#[derive(Debug)]
pub struct DecisionLog {
    capacity_requests: usize,
    requests: Mutex<IndexMap<name::RequestId, Vec<Entry>>>,
}

/// One decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Time of the decision on the daemon's monotonic clock.
    pub at_ms: u64,
    /// What was decided and why.
    pub text: String,
}

impl DecisionLog {
    /// Creates a log for a number of requests.
    pub fn new(capacity_requests: usize) -> Self {
        Self { capacity_requests, requests: Mutex::default() }
    }

    /// Records a decision about a request.
    pub fn record(&self, request_id: &name::RequestId, now_ms: u64, text: String) {
        let mut requests = self.requests.lock();
        if !requests.contains_key(request_id) && requests.len() >= self.capacity_requests {
            requests.shift_remove_index(0);
        }
        let entries = requests.entry(request_id.clone()).or_default();
        if entries.len() < MAX_DECISIONS {
            entries.push(Entry { at_ms: now_ms, text });
        }
    }

    /// Records a decision about a request and logs it; `detail` is a list of key=value pairs.
    pub fn record_and_log(
        &self,
        request_id: &name::RequestId,
        now_ms: u64,
        event: &'static str,
        detail: &str,
    ) {
        spdlog::info!("{event} request_id={request_id} {detail}");
        self.record(request_id, now_ms, format!("{event} {detail}"));
    }

    /// Returns the decisions about a request, oldest first.
    pub fn entries(&self, request_id: &name::RequestId) -> Vec<Entry> {
        self.requests.lock().get(request_id).cloned().unwrap_or_default()
    }
}
