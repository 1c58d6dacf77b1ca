//! Logging of a worker's placement decisions.

use std::sync::Arc;

use jasminetack_domain::adapter;
use jasminetack_domain::name;
use jasminetack_domain::worker;

use crate::decision_log;

/// Writes the placement decisions of one worker to the daemon's log and to the decision log.
#[derive(Clone, Debug)]
pub struct PlacementLog {
    worker: name::WorkerName,
    decisions: Arc<decision_log::DecisionLog>,
}

impl PlacementLog {
    /// Creates the log of a worker.
    pub fn new(worker: name::WorkerName, decisions: Arc<decision_log::DecisionLog>) -> Self {
        Self { worker, decisions }
    }

    /// Records the load of an adapter.
    pub fn record_load(&self, order: &worker::LoadOrder, now_ms: u64) {
        let reason =
            if order.request_id.is_some() { "needed by a queued request" } else { "prefetch" };
        let request_id = order.request_id.as_ref().map_or("-", name::RequestId::as_str);
        let also_wanted = order.also_wanted.iter().map(ToString::to_string);
        let also_wanted = also_wanted.collect::<Vec<_>>().join(",");
        let instance = order.instance.as_str();
        spdlog::info!("load", kv: {
            worker = self.worker.as_str(),
            instance,
            request_id,
            reason,
            also_wanted = also_wanted.as_str(),
        });
        let text = format!(
            "load worker={} instance={instance} reason={reason:?} also_wanted={also_wanted}",
            self.worker,
        );
        self.add_to_decision_log(order.request_id.as_ref(), now_ms, text);
    }

    /// Records the eviction of an instance.
    pub fn record_eviction(&self, order: &worker::UnloadOrder, now_ms: u64) {
        let reason = if order.request_id.is_some() {
            "lowest retention value among idle instances"
        } else {
            "retry of an unload without a response"
        };
        let request_id = order.request_id.as_ref().map_or("-", name::RequestId::as_str);
        let alternatives = order.alternatives.iter();
        let alternatives = alternatives.map(|(instance, value)| format!("{instance}:{value:.2}"));
        let alternatives = alternatives.collect::<Vec<_>>().join(",");
        let (instance, value) = (order.instance.as_str(), format!("{:.2}", order.value));
        spdlog::info!("evict", kv: {
            worker = self.worker.as_str(),
            instance,
            value = value.as_str(),
            request_id,
            reason,
            alternatives = alternatives.as_str(),
        });
        let text = format!(
            "evict worker={} instance={instance} value={value} reason={reason:?} \
             alternatives={alternatives}",
            self.worker,
        );
        self.add_to_decision_log(order.request_id.as_ref(), now_ms, text);
    }

    /// Records the refusal of a request.
    pub fn record_refusal(
        &self,
        request_id: &name::RequestId,
        adapter: &adapter::AdapterRef,
        refusal: worker::Refusal,
        now_ms: u64,
    ) {
        let reason = refusal.reason.as_str();
        let adapter = adapter.to_string();
        spdlog::info!("refuse", kv: {
            worker = self.worker.as_str(),
            request_id = request_id.as_str(),
            adapter = adapter.as_str(),
            reason,
            retry_after_ms = refusal.retry_after_ms,
        });
        let text = format!(
            "refuse worker={} adapter={adapter} reason={reason} retry_after_ms={}",
            self.worker, refusal.retry_after_ms,
        );
        self.add_to_decision_log(Some(request_id), now_ms, text);
    }

    /// Records the start of a request on the engine.
    pub fn record_start(&self, start: &worker::StartOrder, now_ms: u64) {
        let text = format!(
            "start worker={} instance={} waited_ms={}",
            self.worker, start.instance, start.waited_ms,
        );
        self.add_to_decision_log(Some(&start.request_id), now_ms, text);
    }

    fn add_to_decision_log(&self, request_id: Option<&name::RequestId>, now_ms: u64, text: String) {
        if let Some(request_id) = request_id {
            self.decisions.record(request_id, now_ms, text);
        }
    }
}
