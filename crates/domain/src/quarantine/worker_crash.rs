//! Crash of a worker, as seen by one daemon.

use super::SuspectSegment;
use crate::dispatch;
use crate::name;

/// Crash of a worker and what one daemon's requests there had in common.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerCrash {
    /// The worker.
    pub worker: name::WorkerName,
    /// Start of the process that crashed, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// Number of requests that may be the cause.
    pub requests: u32,
    /// Their segments.
    pub suspects: Vec<SuspectSegment>,
}

impl WorkerCrash {
    /// Creates the crash of a worker without requests.
    #[must_use]
    pub fn new(worker: name::WorkerName, started_unix_ms: u64) -> Self {
        Self { worker, started_unix_ms, requests: 0, suspects: Vec::new() }
    }

    /// Adds a request that may be the cause.
    pub fn add_request(&mut self, segments: &[dispatch::PromptSegment]) {
        self.requests += 1;
        for (position, segment) in (0..).zip(dispatch::PromptSegment::shared(segments)) {
            match self.suspects.iter_mut().find(|suspect| suspect.id == segment.id) {
                Some(suspect) => suspect.requests += 1,
                None => {
                    self.suspects.push(SuspectSegment { id: segment.id, requests: 1, position })
                }
            }
        }
    }
}
