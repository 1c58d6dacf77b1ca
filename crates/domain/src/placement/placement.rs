//! Adapter slots of one worker and the demand for them.

use indexmap::IndexMap;
use rustc_hash::FxBuildHasher;

use super::adapter_demand::AdapterDemand;
use super::load_turnover::LoadTurnover;
use super::{AdapterSlot, Counts, FleetLoads, HeldAdapter, Order, SlotState, Summary};
use crate::adapter;
use crate::dispatch;
use crate::name;

/// Time after which an unconfirmed demand expires.
const DEMAND_LIFETIME_MS: u64 = 700;
/// Loads that one worker may always have in flight, whatever the load on the rest of the fleet.
const MIN_LOADS_IN_FLIGHT: usize = 1;
/// Maximum loads in flight to one worker; one below the worker's own limit of four.
const MAX_LOADS_IN_FLIGHT: usize = 3;

/// Limits of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Adapters that it can hold, including those being loaded.
    pub adapter_capacity: usize,
    /// Base model that it must hold.
    pub base_model: name::BaseModelName,
}

/// Adapter slots of one worker and the demand for more.
#[derive(Clone, Debug)]
pub struct Placement {
    limits: Limits,
    pub(super) has_base_model: bool,
    pub(super) base_awaits_answer: bool,
    pub(super) base_order_ms: u64,
    /// Time at which the load of the base model was ordered; `None` while it has not been.
    pub(super) base_ordered_ms: Option<u64>,
    /// Base models that other workers were loading at that time.
    other_base_loads: usize,
    pub(super) slots: IndexMap<name::AdapterName, AdapterSlot, FxBuildHasher>,
    demands: IndexMap<name::AdapterName, AdapterDemand, FxBuildHasher>,
    turnover: LoadTurnover,
    /// Predicted time until a further load starts, as of the last decision.
    load_wait_ms: u32,
    pub(super) local_copies: IndexMap<name::AdapterName, (), FxBuildHasher>,
    /// Time until which the worker may execute orders of an earlier holder of the order lease.
    reserve_until_ms: u64,
    /// Whether such orders may have loaded adapters that no slot accounts for.
    has_unreported: bool,
}

impl Placement {
    /// Creates the placement of a worker whose order lease this daemon now holds.
    ///
    /// `late_until_ms` is the time until which the worker may still execute orders of an earlier
    /// holder, or orders from before its restart.
    #[must_use]
    pub fn new(
        limits: Limits,
        has_base_model: bool,
        reported: &[adapter::AdapterRef],
        late_until_ms: u64,
        now_ms: u64,
    ) -> Self {
        let mut placement = Self {
            limits,
            has_base_model,
            base_awaits_answer: false,
            base_order_ms: now_ms,
            base_ordered_ms: None,
            other_base_loads: 0,
            slots: IndexMap::default(),
            demands: IndexMap::default(),
            turnover: LoadTurnover::default(),
            load_wait_ms: 0,
            local_copies: IndexMap::default(),
            reserve_until_ms: late_until_ms,
            has_unreported: late_until_ms > now_ms,
        };
        placement.add_reported(reported, late_until_ms, now_ms);
        placement
    }

    /// Returns the limits.
    #[must_use]
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Adds slots for the adapters that the worker reports.
    fn add_reported(&mut self, reported: &[adapter::AdapterRef], late_until_ms: u64, now_ms: u64) {
        for adapter in reported {
            let mut slot = AdapterSlot::new(adapter.version(), SlotState::Resident, now_ms);
            // A load that arrives late would restore an adapter that was unloaded meanwhile.
            slot.late_until_ms = late_until_ms;
            self.slots.insert(adapter.name().clone(), slot);
        }
    }

    /// Returns whether the worker must report its adapters again, because the window for late
    /// orders of an earlier holder has passed and the adapters that they loaded are not known.
    #[must_use]
    pub fn needs_report(&self, now_ms: u64) -> bool {
        self.has_unreported && self.reserve_until_ms <= now_ms
    }

    /// Adds the adapters of a report made after the window for late orders.
    pub fn apply_report(&mut self, reported: &[adapter::AdapterRef], now_ms: u64) {
        self.has_unreported = false;
        for adapter in reported {
            if !self.slots.contains_key(adapter.name()) {
                let slot = AdapterSlot::new(adapter.version(), SlotState::Resident, now_ms);
                self.slots.insert(adapter.name().clone(), slot);
            }
        }
    }

    /// Records that the worker holds its base model.
    pub fn mark_base_model_loaded(&mut self) {
        self.has_base_model = true;
    }

    /// Records that a request needs an adapter version on this worker; version 0 means the newest.
    ///
    /// `is_new` is set on the first demand of a request, and not when it confirms an earlier one.
    pub fn add_demand(&mut self, adapter: &adapter::AdapterRef, is_new: bool, now_ms: u64) {
        if self.holds(adapter) {
            return;
        }
        let new = AdapterDemand {
            version: adapter.version(),
            since_ms: now_ms,
            confirmed_ms: now_ms,
            newest_ms: now_ms,
            requests: 0,
        };
        let demand = self.demands.entry(adapter.name().clone()).or_insert(new);
        demand.version = demand.version.max(adapter.version());
        demand.confirmed_ms = now_ms;
        if is_new {
            demand.newest_ms = now_ms;
            demand.requests += 1;
        }
    }

    /// Reloads a resident adapter that the worker answered not to hold.
    pub fn mark_missing(&mut self, adapter: &name::AdapterName, now_ms: u64) {
        let Some(slot) = self.slots.get_mut(adapter) else { return };
        if slot.state == SlotState::Resident {
            slot.enter(SlotState::Loading, now_ms);
        }
    }

    /// Demands a version of an adapter whose slot has another one.
    pub fn request_version(&mut self, adapter: &adapter::AdapterRef, now_ms: u64) {
        let Some(slot) = self.slots.get(adapter.name()) else { return };
        if slot.state != SlotState::Unloading && slot.version != adapter.version() {
            self.add_demand(adapter, true, now_ms);
        }
    }

    /// Updates the use of an adapter by all daemons: requests in flight, and requests started since
    /// the last call.
    pub fn record_use(
        &mut self,
        adapter: &name::AdapterName,
        used: dispatch::AdapterUse,
        now_ms: u64,
    ) {
        let Some(slot) = self.slots.get_mut(adapter) else { return };
        if used.in_flight > 0 || used.started > 0 || slot.in_use > 0 {
            slot.add_uses(used.started, now_ms);
        }
        slot.in_use = used.in_flight;
        slot.cancel_unload_if_used(now_ms);
    }

    /// Lists the adapters of all slots.
    pub fn adapters(&self) -> impl Iterator<Item = &name::AdapterName> {
        self.slots.keys()
    }

    /// Returns the time until which the worker may still execute unanswered orders.
    #[must_use]
    pub fn late_until_ms(&self) -> u64 {
        let slots = self.slots.values().map(|slot| slot.late_until_ms);
        slots.max().unwrap_or(0).max(self.reserve_until_ms)
    }

    /// Returns whether the worker has been ordered to load its base model and has not finished.
    #[must_use]
    pub fn is_loading_base_model(&self) -> bool {
        self.base_load().is_some()
    }

    /// Returns the time at which the load of the base model was ordered, unless it has finished, and
    /// the number of other workers that were loading then.
    #[must_use]
    pub fn base_load(&self) -> Option<(u64, usize)> {
        let ordered_ms = self.base_ordered_ms.filter(|_| !self.has_base_model)?;
        Some((ordered_ms, self.other_base_loads))
    }

    /// Returns whether the worker holds its base model.
    #[must_use]
    pub fn has_base_model(&self) -> bool {
        self.has_base_model
    }

    /// Returns the number of loads in flight.
    #[must_use]
    pub fn loads_in_flight(&self) -> usize {
        self.slots.values().filter(|slot| slot.state == SlotState::Loading).count()
    }

    /// Returns the state that routing needs.
    #[must_use]
    pub fn summary(&self) -> Summary {
        let usable = self.slots.iter().filter(|(_, slot)| slot.state != SlotState::Unloading);
        let held = usable.map(|(name, slot)| HeldAdapter {
            adapter: adapter::AdapterRef::new(name.clone(), slot.version),
            is_loading: slot.state == SlotState::Loading,
        });
        Summary {
            has_base_model: self.has_base_model,
            is_loading_base_model: self.is_loading_base_model(),
            held: held.collect(),
            waiting_loads: u32::try_from(self.demands.len()).unwrap_or(u32::MAX),
            load_wait_ms: self.load_wait_ms,
        }
    }

    /// Returns the number of slots in each state.
    #[must_use]
    pub fn counts(&self) -> Counts {
        let mut counts = Counts { waiting: self.demands.len(), ..Counts::default() };
        for slot in self.slots.values() {
            match slot.state {
                SlotState::Loading => counts.loading += 1,
                SlotState::Unloading => counts.unloading += 1,
                SlotState::Resident => {
                    counts.resident += 1;
                    counts.in_use += usize::from(slot.in_use > 0);
                }
            }
        }
        counts
    }

    /// Decides on the orders to send now.
    ///
    /// An adapter is not unloaded before `min_idle_ms` after its last use: a worker that unloads an
    /// adapter in use accepts no other order until the running requests end, and reports of use
    /// arrive with a delay.
    pub fn plan(&mut self, fleet: FleetLoads, min_idle_ms: u64, now_ms: u64) -> Vec<Order> {
        let mut orders = Vec::new();
        self.demands
            .retain(|_, demand| now_ms.saturating_sub(demand.confirmed_ms) < DEMAND_LIFETIME_MS);
        if !self.has_base_model {
            let may_order = fleet.may_load_base_model || self.is_loading_base_model();
            if may_order && !self.base_awaits_answer && self.base_order_ms <= now_ms {
                self.base_awaits_answer = true;
                if self.base_ordered_ms.is_none() {
                    self.base_ordered_ms = Some(now_ms);
                    self.other_base_loads = fleet.other_base_loads;
                }
                orders.push(Order::LoadBase(self.limits.base_model.clone()));
            }
            return orders;
        }
        self.start_loads(fleet, now_ms);
        self.start_unloads(min_idle_ms, now_ms);
        for (name, slot) in &mut self.slots {
            if slot.awaits_answer || slot.next_order_ms > now_ms {
                continue;
            }
            match slot.state {
                SlotState::Resident => continue,
                SlotState::Loading => {
                    let adapter = adapter::AdapterRef::new(name.clone(), slot.version);
                    orders.push(Order::Load(adapter));
                }
                SlotState::Unloading => orders.push(Order::Unload(name.clone())),
            }
            slot.awaits_answer = true;
        }
        orders
    }

    fn holds(&self, adapter: &adapter::AdapterRef) -> bool {
        let slot = self.slots.get(adapter.name());
        slot.is_some_and(|slot| {
            slot.state != SlotState::Unloading && slot.version >= adapter.version()
        })
    }

    fn capacity(&self) -> usize {
        // Loads in flight at the time of the worker's first report may be missing from it.
        let reserve = if self.has_unreported { MAX_LOADS_IN_FLIGHT } else { 0 };
        self.limits.adapter_capacity.saturating_sub(reserve)
    }

    fn start_loads(&mut self, fleet: FleetLoads, now_ms: u64) {
        let mut in_flight = self.loads_in_flight();
        let mut started = Vec::new();
        let mut waiting: Vec<_> =
            self.demands.iter().map(|(name, demand)| (name.clone(), *demand)).collect();
        waiting.sort_by_key(|(_, demand)| demand.rank(now_ms));
        let capacity = self.capacity();
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
        let free = self.capacity() + unloading.count();
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
