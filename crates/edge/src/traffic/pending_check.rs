//! Answers that wait for the check whether their worker has crashed.

use jasminetack_domain::dispatch;
use jasminetack_domain::quarantine;
use jasminetack_domain::upstream;

/// Answers of one worker that may have ended because it crashed.
#[derive(Debug)]
pub(super) struct PendingCheck {
    /// The crash, with the requests whose answers were broken off.
    crash: quarantine::WorkerCrash,
    /// Answers that ended with their connection. Their worker has completed them, or has crashed.
    ended: Vec<quarantine::SurvivedAnswer>,
}

impl PendingCheck {
    /// Creates the check of a worker without answers.
    pub fn new(upstream: &upstream::Upstream) -> Self {
        let worker = upstream.name.clone();
        let crash = quarantine::WorkerCrash::new(worker, upstream.started_unix_ms);
        Self { crash, ended: Vec::new() }
    }

    /// Adds a request whose answer the worker broke off.
    pub fn add_interrupted(&mut self, segments: &[dispatch::PromptSegment]) {
        self.crash.add_request(segments);
    }

    /// Adds an answer that ended with its connection.
    pub fn add_ended(&mut self, answer: quarantine::SurvivedAnswer) {
        self.ended.push(answer);
    }

    /// Returns the number of answers that the worker broke off.
    pub fn interrupted(&self) -> u32 {
        self.crash.requests
    }

    /// Returns the number of answers that ended with their connection.
    pub fn ended(&self) -> usize {
        self.ended.len()
    }

    /// Returns the crash of the worker, which broke off the ended answers as well.
    pub fn into_crash(self) -> quarantine::WorkerCrash {
        let mut crash = self.crash;
        for answer in &self.ended {
            crash.add_request(&answer.segments);
        }
        crash
    }

    /// Returns the answers that ended with their connection.
    pub fn into_ended(self) -> Vec<quarantine::SurvivedAnswer> {
        self.ended
    }
}
