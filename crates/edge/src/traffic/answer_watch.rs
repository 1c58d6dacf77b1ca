//! Whether an answer shows that its prompt crashes workers, or that it does not.

use std::sync::Arc;

use jasminetack_domain::dispatch;
use jasminetack_domain::quarantine;
use jasminetack_domain::upstream;

use super::crash_watch::CrashWatch;

/// Watches one answer of a worker to a generation request.
#[derive(Debug)]
pub struct AnswerWatch {
    crash_watch: Arc<CrashWatch>,
    upstream: Arc<upstream::Upstream>,
    segments: Arc<[dispatch::PromptSegment]>,
    started_ms: Option<u64>,
    /// Whether nothing more can be learned from the answer.
    is_done: bool,
}

impl AnswerWatch {
    /// Creates the watch of an answer that has not started.
    pub fn new(
        crash_watch: &Arc<CrashWatch>,
        upstream: &Arc<upstream::Upstream>,
        segments: &Arc<[dispatch::PromptSegment]>,
    ) -> Self {
        Self {
            crash_watch: Arc::clone(crash_watch),
            upstream: Arc::clone(upstream),
            segments: Arc::clone(segments),
            started_ms: None,
            is_done: segments.is_empty(),
        }
    }

    /// Stops watching: the worker has not generated the response.
    pub fn stop(&mut self) {
        self.is_done = true;
    }

    /// Records a part of the answer.
    pub fn record_part(&mut self, now_ms: u64) {
        let started_ms = *self.started_ms.get_or_insert(now_ms);
        if now_ms.saturating_sub(started_ms) >= quarantine::ONSET_MS {
            self.record_survival(started_ms);
        }
    }

    /// Records that the answer is complete.
    pub fn record_end(&mut self, now_ms: u64) {
        self.record_survival(self.started_ms.unwrap_or(now_ms));
    }

    /// Records that the worker broke off the answer.
    pub fn record_interruption(&mut self) {
        if !std::mem::replace(&mut self.is_done, true) {
            self.crash_watch.record_interruption(&self.upstream, &self.segments);
        }
    }

    fn record_survival(&mut self, started_ms: u64) {
        if !std::mem::replace(&mut self.is_done, true) {
            let segments = Arc::clone(&self.segments);
            let answer = quarantine::SurvivedAnswer { segments, started_ms };
            self.crash_watch.record_survival(answer);
        }
    }
}
