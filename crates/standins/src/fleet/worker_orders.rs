//! Orders that a worker receives.

use std::sync::Arc;
use std::time::Instant;

use hyper::{Response, StatusCode};
use serde_json::Value;
use tokio::time;

use super::Worker;
use super::http_server::{self, Body};
use super::order_executor;
use super::worker_log::ReceivedOrder;

impl Worker {
    /// Receives an order; `None` leaves it unanswered.
    pub(super) fn order(self: &Arc<Self>, body: &[u8]) -> Option<Response<Body>> {
        let order: Value = serde_json::from_slice(body).unwrap_or_default();
        let text = |field: &str| order[field].as_str().unwrap_or_default().to_owned();
        let (operation, adapter) = (text("Operation"), text("Adapter"));
        let fence = order["FencingToken"].as_u64().unwrap_or(0);
        let received = ReceivedOrder {
            holder: text("Holder"),
            fence,
            order: format!("{operation} {adapter}"),
            at: Instant::now(),
        };
        self.check_order_sequence(&received);
        self.log.lock().orders.push(received);
        let order = order_executor::Order {
            operation,
            adapter,
            version: order["Version"].as_u64(),
            precondition: order["Precondition"].as_u64(),
        };
        let faults = self.faults();
        let Some(delay) = faults.order_delay else {
            return Some(http_server::response(self.execute_order(&order), ""));
        };
        let worker = Arc::clone(self);
        tokio::spawn(async move {
            time::sleep(delay).await;
            worker.log.lock().late_orders += 1;
            worker.execute_order(&order);
        });
        None
    }

    fn execute_order(&self, order: &order_executor::Order) -> StatusCode {
        let latest = self.published_versions.lock().get(&order.adapter).copied().unwrap_or(1);
        let checks = !self.faults().ignores_preconditions;
        let mut orders = self.orders.lock();
        let outcome = orders.execute(order, latest, checks, Instant::now());
        let loaded = orders.adapters().len();
        drop(orders);
        if let Some((adapter, version)) = outcome.unloaded {
            let label = format!("{adapter}@{version}");
            let mut log = self.log.lock();
            let in_use = log.runs.iter().any(|run| {
                run.ended.is_none() && run.adapter.as_ref().is_some_and(|used| *used == label)
            });
            log.unloads_in_use += usize::from(in_use);
        }
        if loaded > self.config.adapter_slots {
            self.record_violation(format!("{loaded} adapters loaded or loading"));
        }
        outcome.status
    }

    fn check_order_sequence(&self, order: &ReceivedOrder) {
        let mut violations = Vec::new();
        let mut log = self.log.lock();
        if let Some(last) = log.orders.last() {
            if order.fence < last.fence {
                violations.push(format!("fencing token {} after {}", order.fence, last.fence));
            }
            let holder_changed = order.holder != last.holder;
            if holder_changed && order.at.duration_since(last.at) < self.config.lease {
                violations
                    .push(format!("order of {} within the lease of {}", order.holder, last.holder));
            }
        }
        log.violations.extend(violations);
    }
}
