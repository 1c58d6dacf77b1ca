//! Detection of workers that crash while they answer, and of answers that survive.

use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::Sender;
use indexmap::IndexMap;
use jasminetack_domain::dispatch;
use jasminetack_domain::name;
use jasminetack_domain::quarantine;
use jasminetack_domain::upstream;
use parking_lot::Mutex;
use tokio::time;

use super::listener::{self, Listener};
use super::pending_check::PendingCheck;
use crate::control;

/// Time from the first broken answer of a worker to the check whether it has crashed, in which the
/// other answers break.
const GATHER_TIME: Duration = Duration::from_millis(30);
/// Time after which a worker that still listens is checked once more: a process that crashes may close its
/// connections before its port, and a crashed worker is back after some seconds only.
const CONFIRMATION_TIME: Duration = Duration::from_millis(quarantine::ONSET_MS);
/// Time for which answers that survived are gathered into one message.
const SURVIVAL_REPORT_DELAY: Duration = Duration::from_millis(100);

/// Checks whether workers that broke off answers have crashed, and reports those that have.
///
/// A worker has crashed if nobody listens on its address any more. A broken connection alone may have
/// another cause, and a worker that is cut off does not refuse connections. An answer that ends with its
/// connection has survived if the worker still listens some time after the end.
#[derive(Debug)]
pub struct CrashWatch {
    control: Sender<control::Message>,
    /// Workers that are being checked.
    pending: Mutex<IndexMap<name::WorkerName, PendingCheck>>,
    /// Answers that survived and are not reported yet.
    survived: Mutex<Vec<quarantine::SurvivedAnswer>>,
}

impl CrashWatch {
    /// Creates a watch that reports to the control thread.
    pub fn new(control: Sender<control::Message>) -> Self {
        Self { control, pending: Mutex::default(), survived: Mutex::default() }
    }

    /// Records that a worker broke off a request before or just after it started to answer.
    pub fn record_interruption(
        self: &Arc<Self>,
        upstream: &Arc<upstream::Upstream>,
        segments: &[dispatch::PromptSegment],
    ) {
        if !dispatch::PromptSegment::shared(segments).is_empty() {
            self.start_check(upstream, |check| check.add_interrupted(segments));
        }
    }

    /// Records an answer that ended with its connection.
    pub fn record_connection_end(
        self: &Arc<Self>,
        upstream: &Arc<upstream::Upstream>,
        answer: quarantine::SurvivedAnswer,
    ) {
        self.start_check(upstream, |check| check.add_ended(answer));
    }

    /// Records answers that have survived the time in which their prompts could have crashed the worker.
    pub fn record_survival<Answers>(self: &Arc<Self>, answers: Answers)
    where
        Answers: IntoIterator<Item = quarantine::SurvivedAnswer>,
    {
        let mut survived = self.survived.lock();
        if survived.is_empty() {
            tokio::spawn(Arc::clone(self).report_survivals());
        }
        survived.extend(answers);
    }

    /// Adds an answer to the check of its worker and starts the check unless it is running.
    fn start_check<Add>(self: &Arc<Self>, upstream: &Arc<upstream::Upstream>, add: Add)
    where
        Add: FnOnce(&mut PendingCheck),
    {
        let mut pending = self.pending.lock();
        let is_running = pending.contains_key(&upstream.name);
        let new = || PendingCheck::new(upstream);
        add(pending.entry(upstream.name.clone()).or_insert_with(new));
        if !is_running {
            tokio::spawn(Arc::clone(self).check(Arc::clone(upstream)));
        }
    }

    async fn report_survivals(self: Arc<Self>) {
        time::sleep(SURVIVAL_REPORT_DELAY).await;
        let survived = std::mem::take(&mut *self.survived.lock());
        // The control thread ends only with the process.
        let _ = self.control.send(control::Message::AnswersSurvived(survived));
    }

    async fn check(self: Arc<Self>, upstream: Arc<upstream::Upstream>) {
        time::sleep(GATHER_TIME).await;
        let outcome = listener::check(upstream.address).await;
        let Some(check) = self.pending.lock().swap_remove(&upstream.name) else { return };
        if outcome == Listener::Gone {
            self.report_crash(check);
            return;
        }
        let (worker, interrupted, ended) = (&upstream.name, check.interrupted(), check.ended());
        // Ends of answers without a length are no disruption; each of them would be logged.
        if interrupted > 0 {
            spdlog::info!(
                "interruption-checked worker={worker} outcome={outcome:?} interrupted={interrupted} ended={ended}"
            );
        }
        if outcome == Listener::Present {
            self.check_again(check, &upstream).await;
        }
    }

    /// Records that a worker has crashed although it seemed to listen, or that its ended answers survived.
    async fn check_again(self: &Arc<Self>, check: PendingCheck, upstream: &upstream::Upstream) {
        time::sleep(CONFIRMATION_TIME).await;
        match listener::check(upstream.address).await {
            Listener::Present => self.record_survival(check.into_ended()),
            Listener::Gone => self.report_crash(check),
            // The worker is cut off, which says nothing of the answers.
            Listener::Unreachable => {}
        }
    }

    fn report_crash(&self, check: PendingCheck) {
        // The control thread ends only with the process.
        let _ = self.control.send(control::Message::WorkerCrashed(check.into_crash()));
    }
}
