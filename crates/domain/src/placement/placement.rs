//! Adapter slots of one worker and the demand for them.

use indexmap::IndexMap;
use rustc_hash::FxBuildHasher;

use super::adapter_demand::AdapterDemand;
use super::load_turnover::LoadTurnover;
use super::order_sequence::OrderSequence;
use super::{
    AdapterSlot, Counts, HeldAdapter, PreconditionSupport, SlotState, Summary, UnrecordedOrders,
    WorkerState,
};
use crate::adapter;
use crate::dispatch;
use crate::name;

/// Maximum loads in flight to one worker; one below the worker's own limit of four.
pub(super) const MAX_LOADS_IN_FLIGHT: usize = 3;

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
    pub(super) limits: Limits,
    pub(super) sequence: OrderSequence,
    pub(super) has_base_model: bool,
    /// Time since which the worker is known to hold its base model.
    pub(super) base_known_ms: u64,
    /// Whether the worker accepted the load of its base model.
    pub(super) is_base_accepted: bool,
    pub(super) base_order_ms: u64,
    /// Time at which the load of the base model was ordered; `None` while it has not been.
    pub(super) base_ordered_ms: Option<u64>,
    /// Base models that other workers were loading at that time.
    pub(super) other_base_loads: usize,
    pub(super) slots: IndexMap<name::AdapterName, AdapterSlot, FxBuildHasher>,
    pub(super) demands: IndexMap<name::AdapterName, AdapterDemand, FxBuildHasher>,
    pub(super) turnover: LoadTurnover,
    /// Predicted time until a further load starts, as of the last decision.
    pub(super) load_wait_ms: u32,
    pub(super) local_copies: IndexMap<name::AdapterName, (), FxBuildHasher>,
    /// Adapter whose order was given up and is delayed after the next report.
    pub(super) given_up: Option<name::AdapterName>,
    pub(super) unrecorded: UnrecordedOrders,
    /// Whether orders without a record may have loaded adapters that no slot accounts for.
    pub(super) has_unreported: bool,
}

impl Placement {
    /// Creates the placement of a worker whose order lease this daemon now holds, from its report.
    #[must_use]
    pub fn new(
        limits: Limits,
        reported: &WorkerState,
        unrecorded: UnrecordedOrders,
        now_ms: u64,
    ) -> Self {
        let mut placement = Self {
            limits,
            sequence: OrderSequence::new(reported.sequence, now_ms),
            has_base_model: reported.has_base_model,
            base_known_ms: now_ms,
            is_base_accepted: false,
            base_order_ms: now_ms,
            base_ordered_ms: None,
            other_base_loads: 0,
            slots: IndexMap::default(),
            demands: IndexMap::default(),
            turnover: LoadTurnover::default(),
            load_wait_ms: 0,
            local_copies: IndexMap::default(),
            given_up: None,
            unrecorded,
            has_unreported: unrecorded.until_ms > now_ms,
        };
        placement.add_reported(reported, unrecorded.until_ms, now_ms);
        placement
    }

    /// Returns the limits.
    #[must_use]
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns whether the worker checks the preconditions of orders.
    #[must_use]
    pub fn precondition_support(&self) -> PreconditionSupport {
        self.sequence.support()
    }

    /// Records that the worker holds its base model.
    pub fn mark_base_model_loaded(&mut self, now_ms: u64) {
        if !self.has_base_model {
            self.has_base_model = true;
            self.base_known_ms = now_ms;
        }
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
            start_ms: now_ms,
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

    fn holds(&self, adapter: &adapter::AdapterRef) -> bool {
        let slot = self.slots.get(adapter.name());
        slot.is_some_and(|slot| {
            slot.state != SlotState::Unloading && slot.version >= adapter.version()
        })
    }
}
