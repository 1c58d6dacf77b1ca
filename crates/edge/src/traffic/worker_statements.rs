//! What responses state about their workers.

use hyper::StatusCode;
use jasminetack_domain::request_limit;
use jasminetack_domain::upstream;

use super::proxy_request::ProxyRequest;
use crate::clock;
use crate::control;
use crate::dialect;

impl<Dialect> ProxyRequest<Dialect>
where
    Dialect: dialect::Dialect,
{
    /// Records what a response states about its worker.
    pub(super) fn observe_worker(
        &self,
        upstream: &upstream::Upstream,
        facts: dialect::ResponseMetadata,
        status: StatusCode,
        sent_ms: u64,
    ) {
        let now_ms = clock::now_ms();
        if facts.is_leaving && !upstream.is_draining {
            let (worker, started_unix_ms) = (upstream.name.clone(), upstream.started_unix_ms);
            let leaving = control::Message::WorkerLeaving { worker, started_unix_ms };
            // The control thread ends only with the process.
            let _ = self.shared.control.send(leaving);
        }
        if let Some(retry_after_ms) = facts.retry_after_ms
            && status == StatusCode::SERVICE_UNAVAILABLE
        {
            let worker = &upstream.name;
            spdlog::info!("worker-backs-off worker={worker} retry_after_ms={retry_after_ms}");
            self.shared.chooser.lock().back_offs.record(upstream, retry_after_ms, now_ms);
        }
        // An error may come from a part of the worker that does not know of its limit, so only a
        // success without one ends it.
        if facts.limit_per_s.is_some() || status.is_success() {
            self.observe_limit(upstream, facts.limit_per_s, sent_ms, now_ms);
        }
    }

    fn observe_limit(
        &self,
        upstream: &upstream::Upstream,
        limit_per_s: Option<f64>,
        sent_ms: u64,
        now_ms: u64,
    ) {
        let observation = request_limit::Observation {
            worker: &upstream.name,
            started_unix_ms: upstream.started_unix_ms,
            limit_per_s,
            sent_ms,
        };
        let change = self.shared.chooser.lock().limits.observe(&observation, now_ms);
        if let Some(change) = change {
            let worker = upstream.name.clone();
            // The control thread ends only with the process.
            let _ = self.shared.control.send(control::Message::LimitChanged { worker, change });
        }
    }
}
