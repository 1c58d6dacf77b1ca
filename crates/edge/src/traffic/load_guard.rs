//! Accounting of one request at a worker.

use std::sync::Arc;

use crossbeam_channel::Sender;
use jasminetack_domain::dispatch;
use jasminetack_domain::name;
use parking_lot::Mutex;

use crate::clock;
use crate::control;

/// Counts one request at a worker until it is dropped.
#[derive(Debug)]
pub struct LoadGuard {
    chooser: Arc<Mutex<dispatch::Chooser>>,
    control: Sender<control::Message>,
    worker: name::WorkerName,
    service: name::BaseModelName,
    adapter: Option<name::AdapterName>,
    work: dispatch::RequestSize,
    sent_ms: u64,
    answered_ms: Option<u64>,
}

impl LoadGuard {
    /// Counts a request that is sent now.
    pub fn new(
        chooser: &Arc<Mutex<dispatch::Chooser>>,
        control: &Sender<control::Message>,
        worker: &name::WorkerName,
        service: &name::ServiceName,
        adapter: Option<&name::AdapterName>,
        work: dispatch::RequestSize,
        now_ms: u64,
    ) -> Self {
        let is_first = chooser.lock().loads.record_sent(worker, adapter, work, now_ms);
        let guard = Self {
            chooser: Arc::clone(chooser),
            control: control.clone(),
            worker: worker.clone(),
            // Latencies are compared over the workers of one service.
            service: name::BaseModelName::from(service.as_str()),
            adapter: adapter.cloned(),
            work,
            sent_ms: now_ms,
            answered_ms: None,
        };
        if is_first {
            guard.tell_use(true);
        }
        guard
    }

    fn tell_use(&self, is_used: bool) {
        let Some(adapter) = self.adapter.clone() else { return };
        let used = control::Message::AdapterUse { worker: self.worker.clone(), adapter, is_used };
        // The control thread ends only with the process.
        let _ = self.control.send(used);
    }

    /// Returns the worker.
    pub fn worker(&self) -> &name::WorkerName {
        &self.worker
    }

    /// Notes a part of the answer.
    pub fn heard(&mut self, now_ms: u64) {
        let mut chooser = self.chooser.lock();
        if self.answered_ms.is_some() {
            chooser.loads.record_activity(&self.worker, now_ms);
            return;
        }
        self.answered_ms = Some(now_ms);
        chooser.loads.record_first_part(&self.worker, self.work, now_ms);
        chooser.health.record_success(&self.worker, now_ms);
        let elapsed_ms = now_ms.saturating_sub(self.sent_ms) as f64;
        chooser.latencies.record_first_token(&self.worker, &self.service, elapsed_ms, now_ms);
    }

    /// Notes that the worker failed the request.
    pub fn failed(&self, now_ms: u64) {
        self.chooser.lock().health.record_failure(&self.worker, now_ms);
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        let mut chooser = self.chooser.lock();
        match self.answered_ms {
            None => chooser.loads.record_first_part(&self.worker, self.work, self.sent_ms),
            Some(answered_ms) if self.work.is_generation() => {
                chooser.generation_time.record(clock::now_ms().saturating_sub(answered_ms));
            }
            Some(_) => {}
        }
        let is_last = chooser.loads.record_end(&self.worker, self.adapter.as_ref());
        drop(chooser);
        if is_last {
            self.tell_use(false);
        }
    }
}
