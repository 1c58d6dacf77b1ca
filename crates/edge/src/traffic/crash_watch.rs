//! Detection of workers that crash while they answer.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::Sender;
use jasminetack_domain::dispatch;
use jasminetack_domain::name;
use jasminetack_domain::quarantine;
use jasminetack_domain::upstream;
use parking_lot::Mutex;
use rustc_hash::FxHashMap;
use tokio::net::TcpStream;
use tokio::time;

use super::connection::CONNECT_TIMEOUT;
use crate::control;

/// Time from the first broken answer of a worker to the check whether it has crashed, in which the
/// other answers break.
const GATHER_TIME: Duration = Duration::from_millis(30);

/// Checks whether workers that broke off answers have crashed, and reports those that have.
///
/// A worker has crashed if nobody listens on its address any more. A broken connection alone may have
/// another cause, and a worker that is cut off does not refuse connections.
#[derive(Debug)]
pub struct CrashWatch {
    control: Sender<control::Message>,
    /// Workers that are being checked, with the requests that may be the cause.
    pending: Mutex<FxHashMap<name::WorkerName, quarantine::WorkerCrash>>,
}

impl CrashWatch {
    /// Creates a watch that reports to the control thread.
    pub fn new(control: Sender<control::Message>) -> Self {
        Self { control, pending: Mutex::default() }
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
    pub fn record_survival(&self, segments: &Arc<[dispatch::PromptSegment]>, started_ms: u64) {
        let segments = Arc::clone(segments);
        // The control thread ends only with the process.
        let _ = self.control.send(control::Message::AnswerSurvived { segments, started_ms });
    }

    async fn check(self: Arc<Self>, upstream: Arc<upstream::Upstream>) {
        time::sleep(GATHER_TIME).await;
        let opened = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(upstream.address)).await;
        let Some(crash) = self.pending.lock().remove(&upstream.name) else { return };
        let outcome = match opened {
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                // The control thread ends only with the process.
                let _ = self.control.send(control::Message::WorkerCrashed(crash));
                return;
            }
            Ok(Ok(_)) => "alive",
            Ok(Err(_)) | Err(_) => "unreachable",
        };
        spdlog::info!("interruption-checked worker={} outcome={outcome}", upstream.name);
    }
}
