//! Selection of a worker for a request, and the wait for its adapter or for a permit.

use std::sync::Arc;
use std::time::Duration;

use jasminetack_domain::adapter;
use jasminetack_domain::dispatch;
use jasminetack_domain::dispatch::admission;
use jasminetack_domain::name;
use jasminetack_domain::route;
use jasminetack_domain::upstream;
use tokio::time;

use super::permit_guard::PermitGuard;
use super::proxy_request::ProxyRequest;
use super::refusal::Refusal;
use super::request_record::RequestRecord;
use crate::clock;
use crate::control;
use crate::dialect;
use crate::view;

/// Share of the request's time that may be spent waiting for an adapter; the rest is left for the
/// generation.
const LOAD_WAIT_SHARE: f64 = 0.6;
/// Longest wait for an adapter to be loaded.
const MAX_LOAD_WAIT_MS: u64 = 2_500;
/// Age above which the reported adapters of a worker must be confirmed by its lease holder; daemons
/// of the same region report at least every second.
const MAX_REPORT_AGE_MS: u64 = 1_500;
/// Interval at which a load request is repeated while a request waits; datagrams may be lost.
const LOAD_REQUEST_INTERVAL_MS: u64 = 250;
/// Longest time between two worker selections while a request waits.
const VIEW_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The selected worker.
pub(super) struct Target {
    pub(super) upstream: Arc<upstream::Upstream>,
    pub(super) decision: route::Decision,
    pub(super) state: dispatch::AdapterState,
    pub(super) estimate: dispatch::Estimate,
    pub(super) prefix: dispatch::PrefixEstimate,
    /// Whether a broker of slots has assigned the worker.
    pub(super) is_assigned: bool,
}

/// Result of selecting a worker.
enum Selection {
    Worker(Box<Target>),
    /// All workers that could serve the request are unavailable.
    Unavailable(dispatch::Unavailability),
    NoWorker,
}

impl<Dialect> ProxyRequest<Dialect>
where
    Dialect: dialect::Dialect,
{
    /// Selects a worker that has the adapter and accepts the request; otherwise requests the load of the
    /// adapter or waits for the permit.
    ///
    /// # Errors
    ///
    /// Fails when the wait or the request's deadline is over, when every worker was excluded or is
    /// unavailable, when the request cannot be served usefully, or when the prompt has a quarantined segment.
    pub(super) async fn find_worker(
        &mut self,
        record: &mut RequestRecord,
    ) -> Result<Target, Refusal> {
        let asked_ms = clock::now_ms();
        if let Some(target) = self.find_slot().await? {
            let now_ms = clock::now_ms();
            self.check_key(record, now_ms)?;
            record.set_load_wait(now_ms.saturating_sub(asked_ms));
            return Ok(target);
        }
        let started_ms = clock::now_ms();
        let wait_ms = (self.deadline_ms.saturating_sub(self.received_ms)) as f64 * LOAD_WAIT_SHARE;
        let wait_until_ms = started_ms + (wait_ms as u64).min(MAX_LOAD_WAIT_MS);
        let mut adapter_wait_ms = 0.0;
        loop {
            let now_ms = clock::now_ms();
            if now_ms >= self.deadline_ms {
                return Err(self.give_up("deadline"));
            }
            self.revision.borrow_and_update();
            self.check_key(record, now_ms)?;
            self.check_quarantine(now_ms)?;
            let mut wait = VIEW_CHECK_INTERVAL;
            match self.select_admitted(now_ms > started_ms, now_ms)? {
                Selection::Worker(target) => {
                    let permit_wait_ms = self.acquire_permit(&target.upstream, now_ms);
                    if target.state == dispatch::AdapterState::Resident {
                        if permit_wait_ms == Some(0) {
                            record.set_load_wait(now_ms.saturating_sub(started_ms));
                            return Ok(*target);
                        }
                        wait = permit_wait_ms.map_or(wait, Duration::from_millis).min(wait);
                    } else {
                        adapter_wait_ms = target.estimate.adapter_wait_ms;
                        record.set_loading_worker(&target.decision.worker);
                        self.request_load(&target.decision.worker, false, now_ms);
                    }
                }
                Selection::Unavailable(reason) => {
                    let wait_ms = reason.wait_ms();
                    return Err(self.refuse_after_wait(reason.as_str(), wait_ms, now_ms));
                }
                Selection::NoWorker if !self.excluded.is_empty() => {
                    return Err(self.give_up("no other worker"));
                }
                Selection::NoWorker => {}
            }
            if now_ms >= wait_until_ms {
                record.set_load_wait(now_ms.saturating_sub(started_ms));
                let reason = "no worker with the adapter";
                return Err(self.refuse_after_wait(reason, adapter_wait_ms, now_ms));
            }
            // A timeout and a new view are handled alike: the next round selects a worker again.
            let _ = time::timeout(wait, self.revision.changed()).await;
        }
    }

    /// Refuses the request if workers crash on a segment of its prompt.
    fn check_quarantine(&self, now_ms: u64) -> Result<(), Refusal> {
        let view = self.shared.view.load();
        let Some(until_ms) = view.quarantined_until_ms(&self.facts.prompt_segments, now_ms) else {
            return Ok(());
        };
        let refusal = self.give_up("segment in quarantine");
        let retry_after_ms = refusal.retry_after_ms.and(Some(until_ms.saturating_sub(now_ms)));
        Err(Refusal { retry_after_ms, ..refusal })
    }

    /// Selects the best worker, or one with a limit and a permit if the best one cannot serve the request
    /// usefully.
    fn select_admitted(&self, is_admitted: bool, now_ms: u64) -> Result<Selection, Refusal> {
        let selection = self.select_worker(false, now_ms);
        let Selection::Worker(target) = &selection else { return Ok(selection) };
        let Err(refusal) = self.check_admission(target, is_admitted, now_ms) else {
            return Ok(selection);
        };
        if !self.shared.chooser.lock().limits.has_limited() {
            return Err(refusal);
        }
        match self.select_worker(true, now_ms) {
            Selection::Worker(other) if other.decision.worker != target.decision.worker => {
                self.check_admission(&other, is_admitted, now_ms)?;
                Ok(Selection::Worker(other))
            }
            _ => Err(refusal),
        }
    }

    /// Refuses the request if it cannot be served usefully at the predicted load.
    fn check_admission(
        &self,
        target: &Target,
        is_admitted: bool,
        now_ms: u64,
    ) -> Result<(), Refusal> {
        if self.possible_executions > 0 {
            return Ok(());
        }
        let (limits, random) = (self.time_limits(), rand::random());
        let estimate = target.estimate;
        match admission::decide(limits, estimate, is_admitted, random, now_ms) {
            dispatch::Admission::Admitted => Ok(()),
            dispatch::Admission::Refused { reason, retry_after_ms } => {
                Err(Refusal::not_executed(reason.as_str(), retry_after_ms))
            }
        }
    }

    /// Takes a permit if the worker has a limit; returns the time until the request may be sent, or
    /// `None` if it has to select a worker again.
    fn acquire_permit(&mut self, upstream: &upstream::Upstream, now_ms: u64) -> Option<u64> {
        let is_limited = self.shared.chooser.lock().limits.is_limited(upstream);
        if !is_limited {
            self.permit = None;
            return Some(0);
        }
        let is_held = self.permit.as_ref().is_some_and(|permit| {
            *permit.worker() == upstream.name && permit.wait_ms(now_ms).is_some()
        });
        if !is_held {
            self.permit = None;
            self.permit = PermitGuard::take(&self.shared.chooser, &upstream.name, now_ms);
        }
        self.permit.as_ref()?.wait_ms(now_ms)
    }

    /// Builds the refusal of a request that can be served after `wait_ms` at the earliest.
    pub(super) fn refuse_after_wait(
        &self,
        reason: &'static str,
        wait_ms: f64,
        now_ms: u64,
    ) -> Refusal {
        let refusal = self.give_up(reason);
        let retry_after_ms =
            admission::retry_after_ms(self.time_limits(), wait_ms, rand::random(), now_ms);
        Refusal { retry_after_ms: refusal.retry_after_ms.and(Some(retry_after_ms)), ..refusal }
    }

    pub(super) fn time_limits(&self) -> dispatch::TimeLimits {
        dispatch::TimeLimits {
            target_ms: self.received_ms + self.route.first_byte_target_ms,
            deadline_ms: self.deadline_ms,
            received_ms: self.received_ms,
        }
    }

    /// Selects the best worker in the current view.
    ///
    /// With `only_limited`, workers with a limit are considered alone and may load the adapter for this
    /// request only.
    fn select_worker(&self, only_limited: bool, now_ms: u64) -> Selection {
        let view = self.shared.view.load();
        let workers = view.workers(&self.service);
        let mut candidates = Vec::with_capacity(workers.len());
        for worker in workers {
            let Some(adapter) = self.adapter_state(worker, &view, now_ms) else { continue };
            candidates.push(dispatch::Candidate { upstream: &worker.upstream, adapter });
        }
        let permit = self.permit.as_ref().and_then(|permit| {
            let wait_ms = permit.wait_ms(now_ms)?;
            Some((permit.worker().clone(), wait_ms))
        });
        let selection = dispatch::ChoiceRequest {
            host: &self.shared.host.name,
            from: &self.shared.host.locality,
            adapter: self.facts.adapter.as_ref(),
            parts: &self.facts.prompt_segments,
            size: self.facts.size_or_default(),
            memory_capacity_tokens: view.memory_capacity_tokens(&self.service),
            loading_worker: self.requested_load.as_ref().map(|(worker, _)| worker),
            excluded: &self.excluded,
            permit: permit.as_ref().map(|(worker, wait_ms)| (worker, *wait_ms)),
            only_limited,
            max_permit_wait_ms: self.time_limits().max_queue_ms() as u64,
        };
        let mut chooser = self.shared.chooser.lock();
        let Some(choice) = chooser.choose(&selection, &candidates, now_ms) else {
            let reason = chooser.unavailability(&candidates, now_ms);
            return reason.map_or(Selection::NoWorker, Selection::Unavailable);
        };
        drop(chooser);
        let dispatch::Choice { decision, estimate, prefix } = choice;
        let chosen = candidates.iter().find(|known| known.upstream.name == decision.worker);
        let upstream = workers.iter().find(|worker| worker.upstream.name == decision.worker);
        let Some((chosen, upstream)) = chosen.zip(upstream) else { return Selection::NoWorker };
        let (state, upstream) = (chosen.adapter, Arc::clone(&upstream.upstream));
        let is_assigned = false;
        Selection::Worker(Box::new(Target {
            upstream,
            decision,
            state,
            estimate,
            prefix,
            is_assigned,
        }))
    }

    /// Returns the state of the adapter on a worker, or `None` when the worker cannot serve the request.
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
                false if needs_confirmation(worker, now_ms) => dispatch::AdapterState::Unconfirmed,
                false => dispatch::AdapterState::Resident,
            });
        }
        let (waiting_loads, wait_ms) = (worker.waiting_loads, worker.load_wait_ms);
        worker.has_holder.then_some(dispatch::AdapterState::Absent { waiting_loads, wait_ms })
    }

    /// Returns the oldest adapter version that may serve the request; 0 for any.
    ///
    /// A new version is required as soon as it is known, because a request may wait in a worker's
    /// queue for longer than the older version may still be used.
    pub(super) fn required_version(&self, view: &view::View) -> u32 {
        let named =
            self.facts.adapter.as_ref().and_then(|adapter| view.adapter_versions.get(adapter));
        named.copied().unwrap_or(0)
    }

    /// Asks the control thread to have the adapter loaded on a worker; `is_missing` states that the
    /// worker was found not to have it.
    ///
    /// Further requests for the same worker are sent at `LOAD_REQUEST_INTERVAL_MS`.
    pub(super) fn request_load(
        &mut self,
        worker: &name::WorkerName,
        is_missing: bool,
        now_ms: u64,
    ) {
        let Some(adapter) = &self.facts.adapter else { return };
        if !is_missing
            && let Some((requested, at_ms)) = &self.requested_load
            && requested == worker
            && now_ms.saturating_sub(*at_ms) < LOAD_REQUEST_INTERVAL_MS
        {
            return;
        }
        let is_new = self.requested_load.as_ref().is_none_or(|(requested, _)| requested != worker);
        self.requested_load = Some((worker.clone(), now_ms));
        let view = self.shared.view.load();
        let version = self.required_version(&view);
        let adapter = adapter::AdapterRef::new(adapter.clone(), version);
        let worker = worker.clone();
        let demand = control::Message::LoadRequest { worker, adapter, is_missing, is_new };
        // The control thread ends only with the process.
        let _ = self.shared.control.send(demand);
    }
}

/// Returns whether the last report of a worker's adapters is so old that its lease holder must
/// confirm it.
fn needs_confirmation(worker: &view::WorkerView, now_ms: u64) -> bool {
    let reported_ms = worker.reported_ms.filter(|_| worker.has_holder);
    reported_ms.is_some_and(|reported_ms| now_ms.saturating_sub(reported_ms) > MAX_REPORT_AGE_MS)
}
