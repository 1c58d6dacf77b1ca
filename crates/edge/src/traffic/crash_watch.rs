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
use crate::control;

/// Time from the first broken answer of a worker to the check whether it has crashed, in which the
/// other answers break.
const GATHER_TIME: Duration = Duration::from_millis(30);
/// Time for which answers that survived are gathered into one message.
const SURVIVAL_REPORT_DELAY: Duration = Duration::from_millis(100);

/// Checks whether workers that broke off answers have crashed, and reports those that have.
///
/// A worker has crashed if nobody listens on its address any more. A broken connection alone may have
/// another cause, and a worker that is cut off does not refuse connections.
#[derive(Debug)]
pub struct CrashWatch {
    control: Sender<control::Message>,
    /// Workers that are being checked, with the requests that may be the cause.
    pending: Mutex<IndexMap<name::WorkerName, quarantine::WorkerCrash>>,
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
        if dispatch::PromptSegment::shared(segments).is_empty() {
            return;
        }
        let worker = &upstream.name;
        let mut pending = self.pending.lock();
        let is_checked = pending.contains_key(worker);
        let new = || quarantine::WorkerCrash::new(worker.clone(), upstream.started_unix_ms);
        pending.entry(worker.clone()).or_insert_with(new).add_request(segments);
        if !is_checked {
            tokio::spawn(Arc::clone(self).check(Arc::clone(upstream)));
        }
    }

    /// Records that an answer has survived the time in which its prompt could have crashed the worker.
    pub fn record_survival(self: &Arc<Self>, answer: quarantine::SurvivedAnswer) {
        let mut survived = self.survived.lock();
        if survived.is_empty() {
            tokio::spawn(Arc::clone(self).report_survivals());
        }
        survived.push(answer);
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
        let Some(crash) = self.pending.lock().swap_remove(&upstream.name) else { return };
        if outcome != Listener::Gone {
            spdlog::info!("interruption-checked worker={} outcome={outcome:?}", upstream.name);
            return;
        }
        // The control thread ends only with the process.
        let _ = self.control.send(control::Message::WorkerCrashed(crash));
    }
}
