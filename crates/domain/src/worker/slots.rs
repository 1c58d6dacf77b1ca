//! Adapter slots of an engine, with pins.

use super::{InstanceListing, LoadReport, Reconciliation, Slot, SlotState};
use crate::adapter;
use crate::lease;

/// Time after which a load without an answer that is not listed is taken not to have happened.
const LATE_LOAD_MS: u64 = 10_000;

/// Adapter slots of one engine under one ownership.
#[derive(Clone, Debug)]
pub struct Slots {
    grant: lease::Grant,
    slots: Vec<Slot>,
    /// Changes with each order that begins or ends.
    generation: u64,
    is_listed: bool,
    /// When the engine acknowledged the first order of this owner.
    first_order_ms: Option<u64>,
    /// Highest fencing number whose owner is known to have ended.
    gone: Option<adapter::FencingToken>,
}

impl Slots {
    pub fn new(grant: lease::Grant) -> Self {
        let slots = Vec::new();
        Self { grant, slots, generation: 0, is_listed: false, first_order_ms: None, gone: None }
    }

    pub fn all(&self) -> &[Slot] {
        &self.slots
    }

    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns whether the engine's instances are known.
    pub fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// Returns whether the engine has not answered a load or unload order yet.
    pub fn awaits_orders(&self) -> bool {
        let awaits =
            |slot: &Slot| matches!(slot.state(), SlotState::Loading | SlotState::Unloading);
        self.slots.iter().any(awaits)
    }

    pub fn usable(&self, adapter: &adapter::AdapterRef) -> Option<&Slot> {
        self.slots.iter().find(|slot| slot.is_usable() && slot.adapter() == adapter)
    }

    /// Returns whether an adapter can be used now or soon.
    pub fn serves(&self, adapter: &adapter::AdapterRef) -> bool {
        self.slots.iter().any(|slot| slot.serves() && slot.adapter() == adapter)
    }

    /// Returns whether an instance with the name for a new load is held or in transit.
    pub fn holds_name_of(&self, adapter: &adapter::AdapterRef) -> bool {
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

    /// Sets the pins from the requests that run.
    ///
    /// An instance that was lost and loaded again has the pins of requests that used it before.
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
            slot.enter(SlotState::Unloading, now_ms);
        }
    }

    /// Ends a load order; returns the adapter when the instance was awaited.
    pub fn end_load(
        &mut self,
        instance: &adapter::InstanceName,
        result: SlotStateAfterLoad,
        now_ms: u64,
    ) -> Option<adapter::AdapterRef> {
        self.generation += 1;
        let slot = self.get_mut(instance)?;
        if slot.state() != SlotState::Loading {
            return None;
        }
        let adapter = slot.adapter().clone();
        match result {
            SlotStateAfterLoad::Loaded => slot.enter(SlotState::Loaded, now_ms),
            SlotStateAfterLoad::Uncertain => slot.enter(SlotState::Uncertain, now_ms),
            SlotStateAfterLoad::Empty => self.remove(instance),
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
            slot.enter(SlotState::UnloadFailed, now_ms);
        }
    }

    /// Forgets an instance that the engine turned out not to hold.
    pub fn missing(&mut self, instance: &adapter::InstanceName) {
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
        self.first_order_ms.get_or_insert(now_ms);
    }

    /// Allows the unload of instances of an owner that has ended, and of owners before it.
    pub fn former_owner_ended(&mut self, fencing: adapter::FencingToken) {
        self.gone = self.gone.max(Some(fencing));
        self.clear_foreign_guards();
    }

    /// Reconciles the slots with what the engine holds.
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
                SlotState::Uncertain => is_listed || slot.resident_ms(now_ms) < LATE_LOAD_MS,
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
                // The load took effect although its answer was lost.
                if slot.state() == SlotState::Uncertain {
                    slot.enter(SlotState::Loaded, now_ms);
                }
                continue;
            }
            reconciliation.added += 1;
            reconciliation.is_superseded |=
                fencing.is_some_and(|number| number > self.grant.fencing);
            let state = if instance == self.grant.instance(&adapter) {
                SlotState::Loaded
            } else {
                SlotState::Foreign { fencing: fencing.unwrap_or_default() }
            };
            let mut slot = Slot::found(adapter, instance, state, now_ms);
            if fencing == Some(self.grant.fencing) {
                // Only this owner can have ordered the load.
                slot.clear_guard();
            }
            self.slots.push(slot);
        }
        self.clear_foreign_guards();
        self.is_listed = true;
        reconciliation
    }

    /// Allows the unload of adopted instances on which nothing of a former owner runs.
    ///
    /// An engine that refuses old fencing numbers starts nothing for a former owner after this
    /// owner's first order, so a later report without requests is final.
    pub fn apply_load_report(&mut self, report: &LoadReport) {
        let is_final = self.first_order_ms.is_some_and(|first_ms| report.taken_ms > first_ms);
        if !self.grant.refuses_old_fencing || !is_final {
            return;
        }
        for slot in &mut self.slots {
            if !report.in_use.contains(slot.instance()) {
                slot.clear_guard();
            }
        }
    }

    fn clear_foreign_guards(&mut self) {
        for slot in &mut self.slots {
            let SlotState::Foreign { fencing } = slot.state() else { continue };
            let is_former = fencing < self.grant.fencing;
            if is_former && self.gone.is_some_and(|gone| fencing <= gone) {
                slot.clear_guard();
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

/// State of a slot after its load order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotStateAfterLoad {
    /// The adapter is loaded.
    Loaded,
    /// The load may still take effect.
    Uncertain,
    /// Nothing was loaded.
    Empty,
}
