//! Accounting of one request at a worker.

use std::sync::Arc;

use jasminetack_domain::dispatch;
use jasminetack_domain::name;
use parking_lot::Mutex;

use crate::clock;

/// Counts one request at a worker until it is dropped.
#[derive(Debug)]
pub struct LoadGuard {
    chooser: Arc<Mutex<dispatch::Chooser>>,
    worker: name::WorkerName,
    service: name::BaseModelName,
    adapter: Option<name::AdapterName>,
    work: dispatch::Work,
    sent_ms: u64,
    answered_ms: Option<u64>,
}

impl LoadGuard {
    /// Counts a request that is sent now.
    pub fn new(
        chooser: &Arc<Mutex<dispatch::Chooser>>,
        worker: &name::WorkerName,
        service: &name::ServiceName,
        adapter: Option<&name::AdapterName>,
        work: dispatch::Work,
        now_ms: u64,
    ) -> Self {
        chooser.lock().loads.sent(worker, adapter, work, now_ms);
        Self {
            chooser: Arc::clone(chooser),
            worker: worker.clone(),
            // Speeds are compared over the workers of one service.
            service: name::BaseModelName::from(service.as_str()),
            adapter: adapter.cloned(),
            work,
            sent_ms: now_ms,
            answered_ms: None,
        }
    }

    /// Returns the worker.
    pub fn worker(&self) -> &name::WorkerName {
        &self.worker
    }

    /// Notes a part of the answer.
    pub fn heard(&mut self, now_ms: u64) {
        let mut chooser = self.chooser.lock();
        if self.answered_ms.is_some() {
            chooser.loads.heard(&self.worker, now_ms);
            return;
        }
        self.answered_ms = Some(now_ms);
        chooser.loads.answered(&self.worker, self.work, now_ms);
        chooser.health.succeeded(&self.worker, now_ms);
        let elapsed_ms = now_ms.saturating_sub(self.sent_ms) as f64;
        chooser.speeds.record_first_token(&self.worker, &self.service, elapsed_ms, now_ms);
    }

    /// Notes that the worker failed the request.
    pub fn failed(&self, now_ms: u64) {
        self.chooser.lock().health.failed(&self.worker, now_ms);
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        let mut chooser = self.chooser.lock();
        match self.answered_ms {
            None => chooser.loads.answered(&self.worker, self.work, self.sent_ms),
            Some(answered_ms) if self.work.is_generation() => {
                chooser.runs.ended(clock::now_ms().saturating_sub(answered_ms));
            }
            Some(_) => {}
        }
        chooser.loads.ended(&self.worker, self.adapter.as_ref());
    }
}
