//! Adapter slots of an engine, with pins.

use super::{InstanceListing, LoadReport, Reconciliation, Slot, SlotState};
use crate::adapter;
use crate::lease;

/// Time after which an unanswered load that the engine does not list is considered failed.
const UNANSWERED_LOAD_TIMEOUT_MS: u64 = 10_000;

/// Adapter slots of one engine under one ownership.
#[derive(Clone, Debug)]
pub struct Slots {
    grant: lease::Grant,
    slots: Vec<Slot>,
    /// Incremented when an order begins or ends or an instance is found missing; listings requested
    /// before are stale.
    generation: u64,
    is_reconciled: bool,
    /// When the engine acknowledged the first order of this owner.
    first_ack_ms: Option<u64>,
    /// Highest fencing token whose owner is known to have ended.
    ended_fencing: Option<adapter::FencingToken>,
}

impl Slots {
    pub fn new(grant: lease::Grant) -> Self {
        let slots = Vec::new();
        Self {
            grant,
            slots,
            generation: 0,
            is_reconciled: false,
            first_ack_ms: None,
            ended_fencing: None,
        }
    }

    pub fn all(&self) -> &[Slot] {
        &self.slots
    }

    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns whether a listing of the engine's instances has been reconciled.
    pub fn is_reconciled(&self) -> bool {
        self.is_reconciled
    }

    /// Returns whether a load or unload order awaits its answer.
    pub fn has_orders_in_flight(&self) -> bool {
        let is_in_flight =
            |slot: &Slot| matches!(slot.state(), SlotState::Loading | SlotState::Unloading);
        self.slots.iter().any(is_in_flight)
    }

    pub fn find_usable(&self, adapter: &adapter::AdapterRef) -> Option<&Slot> {
        self.slots.iter().find(|slot| slot.is_usable() && slot.adapter() == adapter)
    }

    /// Returns whether an adapter is usable or being loaded.
    pub fn has_usable_or_loading(&self, adapter: &adapter::AdapterRef) -> bool {
        self.slots.iter().any(|slot| slot.is_usable_or_loading() && slot.adapter() == adapter)
    }

    /// Returns whether a slot already has the instance name that a new load would use.
    pub fn has_instance_for(&self, adapter: &adapter::AdapterRef) -> bool {
        let instance = self.grant.instance(adapter);
        self.slots.iter().any(|slot| *slot.instance() == instance)
    }

    pub fn pin(&mut self, instance: &adapter::InstanceName, now_ms: u64) {
        if let Some(slot) = self.get_mut(instance) {
            slot.pin(now_ms);
        }
    }

    pub fn unpin(&mut self, instance: &adapter::InstanceName, now_ms: u64) {
        if let Some(slot) = self.get_mut(instance) {
            slot.unpin(now_ms);
        }
    }

    /// Recomputes the pins from the running requests.
    ///
    /// An instance that the engine lost and loaded again keeps the pins of requests that started on
    /// it before.
    pub fn recount_pins<Count>(&mut self, count: Count)
    where
        Count: Fn(&adapter::InstanceName) -> u32,
    {
        for slot in &mut self.slots {
            slot.set_pins(count(slot.instance()));
        }
    }

    pub fn begin_load(
        &mut self,
        adapter: &adapter::AdapterRef,
        now_ms: u64,
    ) -> adapter::InstanceName {
        let instance = self.grant.instance(adapter);
        self.slots.push(Slot::loading(adapter.clone(), instance.clone(), now_ms));
        self.generation += 1;
        instance
    }

    pub fn begin_unload(&mut self, instance: &adapter::InstanceName, now_ms: u64) {
        self.generation += 1;
        if let Some(slot) = self.get_mut(instance) {
            slot.set_state(SlotState::Unloading, now_ms);
        }
    }

    /// Ends a load order; returns the adapter if its instance was still loading.
    pub fn end_load(
        &mut self,
        instance: &adapter::InstanceName,
        outcome: LoadOutcome,
        now_ms: u64,
    ) -> Option<adapter::AdapterRef> {
        self.generation += 1;
        let slot = self.get_mut(instance)?;
        if slot.state() != SlotState::Loading {
            return None;
        }
        let adapter = slot.adapter().clone();
        match outcome {
            LoadOutcome::Loaded => slot.set_state(SlotState::Loaded, now_ms),
            LoadOutcome::Uncertain => slot.set_state(SlotState::Uncertain, now_ms),
            LoadOutcome::NotLoaded => self.remove(instance),
        }
        Some(adapter)
    }

    pub fn end_unload(&mut self, instance: &adapter::InstanceName, is_done: bool, now_ms: u64) {
        self.generation += 1;
        if is_done {
            self.remove(instance);
            return;
        }
        if let Some(slot) = self.get_mut(instance) {
            slot.set_state(SlotState::UnloadFailed, now_ms);
        }
    }

    /// Removes a loaded instance that the engine reported as not held.
    pub fn remove_missing(&mut self, instance: &adapter::InstanceName) {
        self.generation += 1;
        let is_loaded = |slot: &Slot| slot.state() == SlotState::Loaded;
        self.slots.retain(|slot| slot.instance() != instance || !is_loaded(slot));
    }

    pub fn set_draining(&mut self, instance: &adapter::InstanceName, is_draining: bool) {
        if let Some(slot) = self.get_mut(instance) {
            slot.set_draining(is_draining);
        }
    }

    pub fn order_acknowledged(&mut self, now_ms: u64) {
        self.first_ack_ms.get_or_insert(now_ms);
    }

    /// Allows the unload of instances of an owner that has ended and of all earlier owners.
    pub fn former_owner_ended(&mut self, fencing: adapter::FencingToken) {
        self.ended_fencing = self.ended_fencing.max(Some(fencing));
        self.allow_unload_of_ended_owners();
    }

    /// Reconciles the slots with the instances that the engine lists.
    pub fn reconcile(&mut self, listing: &InstanceListing, now_ms: u64) -> Reconciliation {
        let mut reconciliation = Reconciliation::default();
        if listing.generation != self.generation {
            reconciliation.is_stale = true;
            return reconciliation;
        }
        let before = self.slots.len();
        self.slots.retain(|slot| {
            let is_listed = listing.names.iter().any(|name| name == slot.instance().as_str());
            match slot.state() {
                SlotState::Loading => true,
                SlotState::Uncertain => {
                    is_listed || slot.time_in_state_ms(now_ms) < UNANSWERED_LOAD_TIMEOUT_MS
                }
                _ => is_listed,
            }
        });
        reconciliation.removed = before - self.slots.len();
        for name in &listing.names {
            let Some((adapter, fencing)) = adapter::InstanceName::parse(name) else { continue };
            let instance = match fencing {
                None => adapter::InstanceName::unfenced(&adapter),
                Some(number) => adapter::InstanceName::fenced(&adapter, number),
            };
            if let Some(slot) = self.get_mut(&instance) {
                // The load took effect, but its answer was lost.
                if slot.state() == SlotState::Uncertain {
                    slot.set_state(SlotState::Loaded, now_ms);
                }
                continue;
            }
            reconciliation.added += 1;
            reconciliation.is_superseded |=
                fencing.is_some_and(|number| number > self.grant.fencing);
            let state = if instance == self.grant.instance(&adapter) {
                SlotState::Loaded
            } else {
                SlotState::OtherOwner { fencing: fencing.unwrap_or_default() }
            };
            let mut slot = Slot::discovered(adapter, instance, state, now_ms);
            if fencing == Some(self.grant.fencing) {
                // The fencing token shows that this owner ordered the load.
                slot.allow_unload();
            }
            self.slots.push(slot);
        }
        self.allow_unload_of_ended_owners();
        self.is_reconciled = true;
        reconciliation
    }

    /// Allows the unload of inherited instances on which no request of a former owner runs.
    ///
    /// An engine that refuses old fencing tokens starts no request of a former owner after it has
    /// acknowledged this owner's first order, so an instance that a later report shows idle stays
    /// free of such requests.
    pub fn apply_load_report(&mut self, report: &LoadReport) {
        let is_final = self.first_ack_ms.is_some_and(|first_ms| report.taken_ms > first_ms);
        if !self.grant.refuses_old_fencing || !is_final {
            return;
        }
        for slot in &mut self.slots {
            if !report.in_use.contains(slot.instance()) {
                slot.allow_unload();
            }
        }
    }

    fn allow_unload_of_ended_owners(&mut self) {
        for slot in &mut self.slots {
            let SlotState::OtherOwner { fencing } = slot.state() else { continue };
            let is_former = fencing < self.grant.fencing;
            if is_former && self.ended_fencing.is_some_and(|ended| fencing <= ended) {
                slot.allow_unload();
            }
        }
    }

    fn get_mut(&mut self, instance: &adapter::InstanceName) -> Option<&mut Slot> {
        self.slots.iter_mut().find(|slot| slot.instance() == instance)
    }

    fn remove(&mut self, instance: &adapter::InstanceName) {
        self.slots.retain(|slot| slot.instance() != instance);
    }
}

/// Result of a load order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadOutcome {
    /// The adapter is loaded.
    Loaded,
    /// The load may still take effect.
    Uncertain,
    /// The adapter was not loaded.
    NotLoaded,
}
