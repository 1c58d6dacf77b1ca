//! Background task of one owned worker: takeover of the engine, probes and timed decisions.

use std::sync::Arc;
use std::time::Duration;

use jasminetack_domain::adapter;
use jasminetack_domain::worker;
use jasminetack_wire::engine;
use tokio::time;

use super::engine_client::EngineError;
use super::owned_worker::{OwnedWorker, is_fenced};
use super::worker_event::WorkerEventKind;

/// Consecutive failed probes after which a worker accepts no requests.
const MAX_FAILED_PROBES: u32 = 3;
/// Role that an engine reports when it accepts no new requests.
const LEAVING_ROLE: &str = "leaving";

/// Probes the engine of one owned worker and runs the worker's timed decisions.
#[derive(Debug)]
pub struct OwnerDriver {
    owned: Arc<OwnedWorker>,
    probe_interval: Duration,
    failed_probes: u32,
    is_taken_over: bool,
    is_leaving: bool,
    incarnation: Option<u64>,
}

impl OwnerDriver {
    /// Creates the driver of an owned worker.
    pub fn new(owned: Arc<OwnedWorker>, probe_interval: Duration) -> Self {
        Self {
            owned,
            probe_interval,
            failed_probes: 0,
            is_taken_over: false,
            is_leaving: false,
            incarnation: None,
        }
    }

    /// Runs until the ownership has ended and the worker is drained.
    pub async fn run(mut self) {
        let mut probes = time::interval(self.probe_interval);
        probes.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        while !self.owned.is_drained() {
            let now_ms = self.owned.context.clock.now_ms();
            let due_ms = self.owned.next_decision_ms();
            let pause = due_ms.map(|due_ms| Duration::from_millis(due_ms.saturating_sub(now_ms)));
            tokio::select! {
                _ = probes.tick() => self.probe().await,
                () = self.owned.wake.notified() => {}
                () = self.owned.context.load_budget.released(), if due_ms.is_some() => {}
                () = time::sleep(pause.unwrap_or_default()), if pause.is_some() => {}
            }
            self.owned.run_decisions();
        }
    }

    async fn probe(&mut self) {
        let result = self.query_engine().await;
        if let Err(error) = result {
            self.failed_probes += 1;
            let worker = self.owned.grant.worker.as_str();
            let failed = self.failed_probes;
            spdlog::warn!("probe-failed", kv: { worker, failed, error = error.message.as_str() });
            if is_fenced(&error) {
                self.owned.mark_superseded();
            } else if self.failed_probes == MAX_FAILED_PROBES {
                self.owned.set_available(false);
                self.owned.notify_control(WorkerEventKind::Unavailable);
            }
            return;
        }
        // The control thread makes requests come as soon as it knows, so the worker accepts them first.
        self.owned.set_available(!self.is_leaving);
        if self.failed_probes >= MAX_FAILED_PROBES {
            self.owned.notify_control(WorkerEventKind::Available);
        }
        self.failed_probes = 0;
    }

    /// Queries the role, load and instances of the engine and applies them to the worker.
    async fn query_engine(&mut self) -> Result<(), EngineError> {
        let engines = self.owned.context.engines.clone();
        let engine = self.owned.engine;
        let role = if self.is_taken_over {
            engines.role(engine).await?
        } else {
            let role = engines.take_over(engine).await?;
            self.owned.update(|worker, now_ms| worker.order_acknowledged(now_ms));
            self.is_taken_over = true;
            role
        };
        self.apply_role(&role);
        let requested_ms = self.owned.context.clock.now_ms();
        let report = engines.load_report(engine).await?;
        let in_use = report.in_use.keys().map(|name| adapter::InstanceName::from_engine(name));
        // The engine determined the age after the request was sent, so the report is not older.
        let taken_ms = requested_ms.saturating_sub(report.age_ms);
        let report = worker::LoadReport { taken_ms, in_use: in_use.collect() };
        let generation = self.owned.generation();
        let names = engines.list_instances(engine).await?;
        let listing = worker::InstanceListing { names, generation };
        let reconciliation = self.owned.update(|worker, now_ms| {
            let reconciliation = worker.reconcile(&listing, now_ms);
            worker.apply_load_report(&report);
            reconciliation
        });
        self.log_reconciliation(reconciliation);
        if reconciliation.is_superseded {
            self.owned.mark_superseded();
        }
        Ok(())
    }

    fn apply_role(&mut self, role: &engine::RoleResponse) {
        self.owned.update(|worker, _| worker.set_capacity(role.slots, role.batch_places));
        let restarted = self.incarnation.is_some_and(|incarnation| incarnation != role.incarnation);
        self.incarnation = Some(role.incarnation);
        if restarted {
            let worker = self.owned.grant.worker.as_str();
            spdlog::warn!("engine-restarted", kv: { worker, incarnation = role.incarnation });
            // The new process does not know the fencing token.
            self.is_taken_over = false;
        }
        let was_leaving = self.is_leaving;
        self.is_leaving = role.role == LEAVING_ROLE;
        if self.is_leaving && !was_leaving {
            self.owned.notify_control(WorkerEventKind::Leaving);
        }
    }

    fn log_reconciliation(&self, reconciliation: worker::Reconciliation) {
        if reconciliation.added == 0 && reconciliation.removed == 0 {
            return;
        }
        spdlog::info!("adopt", kv: {
            worker = self.owned.grant.worker.as_str(),
            fencing = self.owned.grant.fencing.value(),
            added = reconciliation.added,
            removed = reconciliation.removed,
        });
    }
}
