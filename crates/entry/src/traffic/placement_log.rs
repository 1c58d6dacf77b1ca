//! Log lines and decision-log entries of placement decisions.

use std::sync::Arc;

use jasminetack_domain::adapter;
use jasminetack_domain::name;
use jasminetack_domain::worker;

use crate::decision_log;

/// Records the placement decisions of one worker.
#[derive(Clone, Debug)]
pub struct PlacementLog {
    worker: name::WorkerName,
    decisions: Arc<decision_log::DecisionLog>,
}

impl PlacementLog {
    /// Creates a log for a worker.
    pub fn new(worker: name::WorkerName, decisions: Arc<decision_log::DecisionLog>) -> Self {
        Self { worker, decisions }
    }

    /// Records an order to load an adapter.
    pub fn load(&self, order: &worker::LoadOrder, now_ms: u64) {
        let reason = if order.request_id.is_some() { "a request waits" } else { "prefetch" };
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
        self.record(order.request_id.as_ref(), now_ms, text);
    }

    /// Records an order to unload an instance.
    pub fn evict(&self, order: &worker::UnloadOrder, now_ms: u64) {
        let reason = if order.request_id.is_some() {
            "lowest value without requests"
        } else {
            "the earlier order got no answer"
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
        self.record(order.request_id.as_ref(), now_ms, text);
    }

    /// Records the refusal of a request.
    pub fn refuse(
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
        self.record(Some(request_id), now_ms, text);
    }

    /// Records the start of a request on the engine.
    pub fn start(&self, start: &worker::StartOrder, now_ms: u64) {
        let text = format!(
            "start worker={} instance={} waited_ms={}",
            self.worker, start.instance, start.waited_ms,
        );
        self.record(Some(&start.request_id), now_ms, text);
    }

    fn record(&self, request_id: Option<&name::RequestId>, now_ms: u64, text: String) {
        if let Some(request_id) = request_id {
            self.decisions.record(request_id, now_ms, text);
        }
    }
}
