//! Decisions on the orders of a worker.

use super::order_purpose::OrderPurpose;
use super::placement::MAX_LOADS_IN_FLIGHT;
use super::{
    AdapterSlot, FleetLoads, Order, OrderResult, Placement, PlannedOrder, PreconditionSupport,
    SlotState,
};
use crate::adapter;

/// Time after which an unconfirmed demand expires.
const DEMAND_LIFETIME_MS: u64 = 700;
/// Loads that one worker may always have in flight, whatever the load on the rest of the fleet.
const MIN_LOADS_IN_FLIGHT: usize = 1;

/// Slots that are kept free after a restart of a worker that checks preconditions: one for an order to
/// its previous process whose precondition holds by chance, and one for the next such order, whose
/// precondition then holds as well.
const RESTART_RESERVE: usize = 2;

impl Placement {
    /// Decides on the order to send now; the next one is decided on when this one is answered.
    ///
    /// An adapter is not unloaded before `min_idle_ms` after its last use: a worker that unloads an
    /// adapter in use accepts no other order until the running requests end, and reports of use
    /// arrive with a delay.
    pub fn plan(
        &mut self,
        fleet: FleetLoads,
        min_idle_ms: u64,
        now_ms: u64,
    ) -> Option<PlannedOrder> {
        self.demands
            .retain(|_, demand| now_ms.saturating_sub(demand.confirmed_ms) < DEMAND_LIFETIME_MS);
        if let Some(order) = self.sequence.overdue(now_ms).cloned() {
            self.apply_order_result(&order, OrderResult::Unanswered, now_ms);
        }
        if self.sequence.needs_report() {
            return None;
        }
        if self.has_base_model {
            self.start_loads(fleet, now_ms);
            self.start_unloads(min_idle_ms, now_ms);
        }
        if self.sequence.is_occupied() {
            return self.sequence.repeat(now_ms);
        }
        let (order, purpose) = if !self.has_base_model {
            self.next_base_load(fleet, now_ms)?
        } else if self.sequence.support() == PreconditionSupport::Unknown {
            let base_model = self.limits.base_model.clone();
            (Order::LoadBase(base_model), self.sequence.next_probe(now_ms)?)
        } else {
            self.next_slot_order(now_ms)?
        };
        Some(self.sequence.send(order, purpose, now_ms))
    }

    fn next_base_load(&mut self, fleet: FleetLoads, now_ms: u64) -> Option<(Order, OrderPurpose)> {
        let may_order = fleet.may_load_base_model || self.is_loading_base_model();
        if !may_order || self.base_order_ms > now_ms {
            return None;
        }
        if self.base_ordered_ms.is_none() {
            self.base_ordered_ms = Some(now_ms);
            self.other_base_loads = fleet.other_base_loads;
        }
        let purpose = if self.is_base_accepted { OrderPurpose::Poll } else { OrderPurpose::Start };
        Some((Order::LoadBase(self.limits.base_model.clone()), purpose))
    }

    /// Returns the order of a slot that is due; starts come before polls of what is in progress.
    fn next_slot_order(&mut self, now_ms: u64) -> Option<(Order, OrderPurpose)> {
        // A worker that waits for the end of requests to unload an adapter accepts nothing else.
        let is_blocked = self.sequence.is_tracked() && self.blocking_unload().is_some();
        let due = self.slots.iter_mut().filter(|(_, slot)| {
            slot.state != SlotState::Resident
                && slot.next_order_ms <= now_ms
                && (!is_blocked || slot.is_blocking())
        });
        let (name, slot) = due.min_by_key(|(_, slot)| (slot.is_accepted, slot.next_order_ms))?;
        slot.awaits_answer = true;
        let order = match slot.state {
            SlotState::Unloading => Order::Unload(name.clone()),
            _ => Order::Load(adapter::AdapterRef::new(name.clone(), slot.version)),
        };
        Some((order, if slot.is_accepted { OrderPurpose::Poll } else { OrderPurpose::Start }))
    }

    /// Returns the time at which the worker accepted an unload for which it waits for requests to end.
    pub(super) fn blocking_unload(&self) -> Option<u64> {
        let blocking = self.slots.values().find(|slot| slot.is_blocking())?;
        blocking.accepted_ms
    }

    fn capacity(&self, now_ms: u64) -> usize {
        let capacity = self.limits.adapter_capacity;
        match self.sequence.support() {
            PreconditionSupport::Checked if now_ms < self.unrecorded.restart_until_ms => {
                capacity.saturating_sub(RESTART_RESERVE)
            }
            PreconditionSupport::Checked => capacity,
            // Every holder that was killed within the window may have left loads, so that no number of free
            // slots is enough: each successor would fill the same ones.
            _ if self.has_unreported => capacity.min(self.slots.len()),
            _ => capacity,
        }
    }

    fn start_loads(&mut self, fleet: FleetLoads, now_ms: u64) {
        let mut in_flight = self.loads_in_flight();
        let mut started = Vec::new();
        let mut waiting: Vec<_> =
            self.demands.iter().map(|(name, demand)| (name.clone(), *demand)).collect();
        waiting.retain(|(_, demand)| demand.start_ms <= now_ms);
        waiting.sort_by_key(|(_, demand)| demand.rank(now_ms));
        let capacity = self.capacity(now_ms);
        for (name, demand) in waiting {
            let has_room = self.slots.len() < capacity;
            let is_fleet_busy = in_flight + fleet.others_in_flight >= fleet.limit;
            let limit = if is_fleet_busy { MIN_LOADS_IN_FLIGHT } else { MAX_LOADS_IN_FLIGHT };
            if in_flight >= limit {
                break;
            }
            let slot = match self.slots.get_mut(&name) {
                Some(slot) if slot.state == SlotState::Unloading => continue,
                Some(slot) => {
                    slot.version = demand.version;
                    slot.enter(SlotState::Loading, now_ms);
                    slot
                }
                None if has_room => {
                    let slot = AdapterSlot::new(demand.version, SlotState::Loading, now_ms);
                    self.slots.entry(name.clone()).or_insert(slot)
                }
                None => continue,
            };
            in_flight += 1;
            slot.concurrent_loads = in_flight + fleet.others_in_flight;
            started.push(name);
        }
        for name in &started {
            self.demands.shift_remove(name);
        }
        self.turnover.update(started.len(), self.demands.len(), now_ms);
        self.load_wait_ms = self.turnover.wait_ms(now_ms);
    }

    /// Starts to unload idle adapters to free slots for waiting ones.
    fn start_unloads(&mut self, min_idle_ms: u64, now_ms: u64) {
        let waiting = self.demands.keys().filter(|name| !self.slots.contains_key(*name)).count();
        let unloading = self.slots.values().filter(|slot| slot.state == SlotState::Unloading);
        let free = self.capacity(now_ms) + unloading.count();
        let missing = (self.slots.len() + waiting.min(MAX_LOADS_IN_FLIGHT)).saturating_sub(free);
        for _ in 0..missing {
            let idle = self.slots.iter_mut().filter(|(name, slot)| {
                slot.state == SlotState::Resident
                    && slot.in_use == 0
                    && slot.late_until_ms <= now_ms
                    && now_ms.saturating_sub(slot.used_ms) >= min_idle_ms
                    && !self.demands.contains_key(*name)
            });
            let least_used = idle.min_by(|(_, left), (_, right)| {
                left.decayed_uses(now_ms).total_cmp(&right.decayed_uses(now_ms))
            });
            let Some((_, slot)) = least_used else { return };
            slot.enter(SlotState::Unloading, now_ms);
        }
    }
}
