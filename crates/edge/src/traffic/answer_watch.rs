//! Whether an answer shows that its prompt crashes workers, or that it does not.

use std::sync::Arc;

use hyper::HeaderMap;
use jasminetack_domain::dispatch;
use jasminetack_domain::quarantine;
use jasminetack_domain::upstream;

use super::crash_watch::CrashWatch;
use super::framing;

/// Watches one answer of a worker to a generation request.
#[derive(Debug)]
pub struct AnswerWatch {
    crash_watch: Arc<CrashWatch>,
    upstream: Arc<upstream::Upstream>,
    segments: Arc<[dispatch::PromptSegment]>,
    started_ms: Option<u64>,
    /// Whether the answer has neither a length nor chunks, so that a crash may look like its end.
    ends_with_connection: bool,
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
            ends_with_connection: false,
            is_done: segments.is_empty(),
        }
    }

    /// Stops watching: the worker has not generated the response.
    pub fn stop(&mut self) {
        self.is_done = true;
    }

    /// Records the head of the answer.
    pub fn record_head(&mut self, headers: &HeaderMap) {
        self.ends_with_connection = framing::ends_with_connection(headers);
    }

    /// Records a part of the answer.
    pub fn record_part(&mut self, now_ms: u64) {
        let started_ms = *self.started_ms.get_or_insert(now_ms);
        if now_ms.saturating_sub(started_ms) >= quarantine::ONSET_MS {
            self.record_survival(started_ms);
        }
    }

    /// Records that the answer is complete, as far as its framing tells.
    pub fn record_end(&mut self, now_ms: u64) {
        let started_ms = self.started_ms.unwrap_or(now_ms);
        if !self.ends_with_connection {
            self.record_survival(started_ms);
            return;
        }
        if !std::mem::replace(&mut self.is_done, true) {
            let answer = self.survived(started_ms);
            self.crash_watch.record_connection_end(&self.upstream, answer);
        }
    }

    /// Records that the worker broke off the answer.
    pub fn record_interruption(&mut self) {
        if !std::mem::replace(&mut self.is_done, true) {
            self.crash_watch.record_interruption(&self.upstream, &self.segments);
        }
    }

    fn record_survival(&mut self, started_ms: u64) {
        if !std::mem::replace(&mut self.is_done, true) {
            self.crash_watch.record_survival([self.survived(started_ms)]);
        }
    }

    fn survived(&self, started_ms: u64) -> quarantine::SurvivedAnswer {
        quarantine::SurvivedAnswer { segments: Arc::clone(&self.segments), started_ms }
    }
}
