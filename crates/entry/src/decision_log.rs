//! In-memory log of recent decisions per request, which `jasminetack-table explain` reads.

use indexmap::IndexMap;
use jasminetack_domain::name;
use parking_lot::Mutex;

/// Maximum number of decisions kept for one request.
const MAX_DECISIONS_PER_REQUEST: usize = 64;

/// Decisions of the most recent requests; the oldest request is evicted first.
#[derive(Debug)]
pub struct DecisionLog {
    max_requests: usize,
    requests: Mutex<IndexMap<name::RequestId, Vec<Entry>>>,
}

/// One decision about a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Time of the decision on the daemon's monotonic clock.
    pub at_ms: u64,
    /// What was decided and why.
    pub text: String,
}

impl DecisionLog {
    /// Creates a log that keeps the decisions of at most `max_requests` requests.
    pub fn new(max_requests: usize) -> Self {
        Self { max_requests, requests: Mutex::default() }
    }

    /// Records a decision about a request; decisions above the maximum per request are dropped.
    pub fn record(&self, request_id: &name::RequestId, now_ms: u64, text: String) {
        let mut requests = self.requests.lock();
        if !requests.contains_key(request_id) && requests.len() >= self.max_requests {
            requests.shift_remove_index(0);
        }
        let entries = requests.entry(request_id.clone()).or_default();
        if entries.len() < MAX_DECISIONS_PER_REQUEST {
            entries.push(Entry { at_ms: now_ms, text });
        }
    }

    /// Records a decision about a request and writes it to the log of the daemon.
    ///
    /// `detail` is a list of key=value pairs.
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
