//! Accounting of one request in a worker's load.

use std::sync::Arc;

use crossbeam_channel::Sender;
use hyper::StatusCode;
use jasminetack_domain::dispatch;
use jasminetack_domain::name;
use parking_lot::Mutex;

use super::credit_guard::CreditGuard;
use super::sent_request::SentRequest;
use crate::clock;
use crate::control;

/// Counts a request in a worker's load until dropped.
#[derive(Debug)]
pub struct LoadGuard {
    chooser: Arc<Mutex<dispatch::Chooser>>,
    control: Sender<control::Message>,
    worker: name::WorkerName,
    service: name::ServiceName,
    latency_group: name::BaseModelName,
    adapter: Option<name::AdapterName>,
    work: dispatch::RequestSize,
    /// Prompt tokens that the worker has to read, if the time to the first part shows its rate.
    measured_tokens: Option<u32>,
    sent_ms: u64,
    first_data_ms: Option<u64>,
    /// Slot that the request uses at a service with few slots.
    pub(super) credit: Option<CreditGuard>,
}

impl LoadGuard {
    /// Counts a request that is about to be sent.
    pub fn new(
        chooser: &Arc<Mutex<dispatch::Chooser>>,
        control: &Sender<control::Message>,
        request: &SentRequest<'_>,
        now_ms: u64,
    ) -> Self {
        let SentRequest { worker, service, adapter, size: work, unread_tokens } = *request;
        let mut locked = chooser.lock();
        let (_, waiting_tokens) = locked.loads.outstanding(worker);
        // Behind longer prompts of others, the time says little of this one.
        let measured_tokens =
            (work.is_generation() && waiting_tokens <= unread_tokens).then_some(unread_tokens);
        let is_first = locked.loads.record_sent(worker, adapter, work, now_ms);
        drop(locked);
        let guard = Self {
            chooser: Arc::clone(chooser),
            control: control.clone(),
            worker: worker.clone(),
            service: service.clone(),
            // Latencies are compared between the workers of one service.
            latency_group: name::BaseModelName::from(service.as_str()),
            adapter: adapter.cloned(),
            work,
            measured_tokens,
            sent_ms: now_ms,
            first_data_ms: None,
            credit: None,
        };
        if is_first {
            guard.report_adapter_use(true);
        }
        guard
    }

    /// Reports to the control thread that this daemon began or stopped using the adapter on the
    /// worker.
    fn report_adapter_use(&self, is_used: bool) {
        let Some(adapter) = self.adapter.clone() else { return };
        let used = control::Message::AdapterUse { worker: self.worker.clone(), adapter, is_used };
        // The control thread ends only with the process.
        let _ = self.control.send(used);
    }

    /// Returns the worker.
    pub fn worker(&self) -> &name::WorkerName {
        &self.worker
    }

    /// Records received data; the first data also records a success and its latency.
    pub fn record_data(&mut self, now_ms: u64) {
        let mut chooser = self.chooser.lock();
        if self.first_data_ms.is_some() {
            chooser.loads.record_activity(&self.worker, now_ms);
            return;
        }
        self.first_data_ms = Some(now_ms);
        if let Some(credit) = &mut self.credit {
            credit.record_response();
        }
        chooser.loads.record_first_part(&self.worker, self.work, now_ms);
        chooser.health.record_success(&self.worker, now_ms);
        let elapsed_ms = now_ms.saturating_sub(self.sent_ms);
        if let Some(tokens) = self.measured_tokens {
            chooser.prefill_rate.record(&self.service, tokens, elapsed_ms);
        }
        let elapsed_ms = elapsed_ms as f64;
        chooser.latencies.record_first_token(&self.worker, &self.latency_group, elapsed_ms, now_ms);
    }

    /// Records that the request failed at the worker.
    pub fn record_failure(&mut self, now_ms: u64) {
        if let Some(credit) = &mut self.credit {
            credit.record_failure();
        }
        self.chooser.lock().health.record_failure(&self.worker, now_ms);
    }

    /// Records that the worker did not execute the request; with 503 its slots are in use.
    pub(super) fn record_rejection(&mut self, status: StatusCode) {
        if let Some(credit) = &mut self.credit
            && status == StatusCode::SERVICE_UNAVAILABLE
        {
            credit.record_full();
        }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        let mut chooser = self.chooser.lock();
        match self.first_data_ms {
            None => chooser.loads.record_first_part(&self.worker, self.work, self.sent_ms),
            Some(first_data_ms) if self.work.is_generation() => {
                let took_ms = clock::now_ms().saturating_sub(first_data_ms);
                chooser.generation_time.record(took_ms, self.work.answer_tokens);
            }
            Some(_) => {}
        }
        let is_last = chooser.loads.record_end(&self.worker, self.adapter.as_ref(), self.work);
        drop(chooser);
        if is_last {
            self.report_adapter_use(false);
        }
    }
}
