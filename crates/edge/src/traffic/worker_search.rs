//! Search for a worker that can take a request.

use std::sync::Arc;
use std::time::Duration;

use jasminetack_domain::adapter;
use jasminetack_domain::dispatch;
use jasminetack_domain::name;
use jasminetack_domain::route;
use jasminetack_domain::upstream;
use tokio::time;

use super::call::Call;
use super::call_record::CallRecord;
use super::refusal::Refusal;
use crate::clock;
use crate::control;
use crate::dialect;
use crate::view;

/// Part of the deadline that may pass while an adapter is loaded; the rest is for the generation.
const LOAD_WAIT_PART: f64 = 0.6;
/// Longest wait for an adapter.
const MAX_LOAD_WAIT_MS: u64 = 2_500;
/// Age from which the adapters of a worker must be confirmed; daemons of the same region report at
/// least every second.
const STALE_MS: u64 = 1_500;
/// Pause after which a demand for an adapter is repeated; datagrams may be lost.
const DEMAND_INTERVAL_MS: u64 = 250;
/// Longest sleep between two looks at the fleet while a request waits.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// A worker that was chosen.
pub(super) struct Target {
    pub(super) upstream: Arc<upstream::Upstream>,
    pub(super) decision: route::Decision,
    pub(super) state: dispatch::AdapterState,
}

impl<Dialect> Call<Dialect>
where
    Dialect: dialect::Dialect,
{
    /// Waits until a worker can take the request.
    pub(super) async fn find_worker(&mut self, record: &mut CallRecord) -> Result<Target, Refusal> {
        let began_ms = clock::now_ms();
        let wait_ms = (self.deadline_ms.saturating_sub(self.received_ms)) as f64 * LOAD_WAIT_PART;
        let until_ms = began_ms + (wait_ms as u64).min(MAX_LOAD_WAIT_MS);
        loop {
            let now_ms = clock::now_ms();
            if now_ms >= self.deadline_ms {
                return Err(self.give_up("deadline"));
            }
            self.revision.borrow_and_update();
            if let Some(target) = self.choose(now_ms) {
                if target.state == dispatch::AdapterState::Resident {
                    record.waited(now_ms.saturating_sub(began_ms));
                    return Ok(target);
                }
                record.asked(&target.decision.worker);
                self.demand(&target.decision.worker, false, now_ms);
            } else if !self.excluded.is_empty() {
                return Err(self.give_up("no other worker"));
            }
            if now_ms >= until_ms {
                record.waited(now_ms.saturating_sub(began_ms));
                return Err(self.give_up("no worker with the adapter"));
            }
            // Whichever comes first; the next round looks at the fleet again.
            let _ = time::timeout(LOOK_INTERVAL, self.revision.changed()).await;
        }
    }

    pub(super) fn choose(&self, now_ms: u64) -> Option<Target> {
        let view = self.traffic.view.load();
        let workers = view.workers(&self.service);
        let mut candidates = Vec::with_capacity(workers.len());
        for worker in workers {
            let Some(adapter) = self.adapter_state(worker, &view, now_ms) else { continue };
            candidates.push(dispatch::Candidate { upstream: &worker.upstream, adapter });
        }
        let choice = dispatch::ChoiceRequest {
            host: &self.traffic.host.name,
            from: &self.traffic.host.locality,
            adapter: self.facts.adapter.as_ref(),
            parts: &self.facts.prompt_segments,
            size: self.facts.size,
            demanded: self.demanded.as_ref().map(|(worker, _)| worker),
            excluded: &self.excluded,
        };
        let decision = self.traffic.chooser.lock().choose(&choice, &candidates, now_ms)?;
        let chosen = candidates.iter().position(|known| known.upstream.name == decision.worker)?;
        let state = candidates[chosen].adapter;
        let upstream = workers.iter().find(|worker| worker.upstream.name == decision.worker)?;
        Some(Target { upstream: Arc::clone(&upstream.upstream), decision, state })
    }

    /// Returns whether a worker can answer, or `None` when it never will.
    pub(super) fn adapter_state(
        &self,
        worker: &view::WorkerView,
        view: &view::View,
        now_ms: u64,
    ) -> Option<dispatch::AdapterState> {
        let Some(adapter) = &self.facts.adapter else {
            let needs_model = self.facts.base_model.is_some();
            return (!needs_model || worker.has_base_model)
                .then_some(dispatch::AdapterState::Resident);
        };
        if !worker.has_base_model {
            return None;
        }
        let held = worker.adapters.get(adapter);
        let required = self.required_version(view);
        if let Some(held) = held
            && held.version >= required
        {
            return Some(match held.is_loading {
                true => dispatch::AdapterState::Loading,
                false if is_stale(worker, now_ms) => dispatch::AdapterState::Unconfirmed,
                false => dispatch::AdapterState::Resident,
            });
        }
        let waiting_loads = worker.waiting_loads;
        worker.has_holder.then_some(dispatch::AdapterState::Absent { waiting_loads })
    }

    /// Returns the oldest adapter version that may answer; 0 for any.
    ///
    /// A new version is required as soon as it is known: a request may wait in a worker's queue for
    /// longer than the older version may be used.
    pub(super) fn required_version(&self, view: &view::View) -> u32 {
        let named =
            self.facts.adapter.as_ref().and_then(|adapter| view.adapter_versions.get(adapter));
        named.copied().unwrap_or(0)
    }

    pub(super) fn demand(&mut self, worker: &name::WorkerName, is_missing: bool, now_ms: u64) {
        let Some(adapter) = &self.facts.adapter else { return };
        if !is_missing
            && let Some((demanded, at_ms)) = &self.demanded
            && demanded == worker
            && now_ms.saturating_sub(*at_ms) < DEMAND_INTERVAL_MS
        {
            return;
        }
        let is_new = self.demanded.as_ref().is_none_or(|(demanded, _)| demanded != worker);
        self.demanded = Some((worker.clone(), now_ms));
        let view = self.traffic.view.load();
        let version = self.required_version(&view);
        let adapter = adapter::AdapterRef::new(adapter.clone(), version);
        let worker = worker.clone();
        let demand = control::Message::LoadRequest { worker, adapter, is_missing, is_new };
        // The control thread ends only with the process.
        let _ = self.traffic.control.send(demand);
    }
}

/// Returns whether what is known of a worker's adapters is so old that its holder must confirm it.
fn is_stale(worker: &view::WorkerView, now_ms: u64) -> bool {
    let reported_ms = worker.reported_ms.filter(|_| worker.has_holder);
    reported_ms.is_some_and(|reported_ms| now_ms.saturating_sub(reported_ms) > STALE_MS)
}
