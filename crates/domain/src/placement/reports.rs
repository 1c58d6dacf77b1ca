//! Reports of a worker to its holder.

use super::adapter_slot::DEFAULT_RETRY_MS;
use super::order_sequence::MAX_REPORT_AGE_MS;
use super::report_age::ReportAge;
use super::{AdapterSlot, Order, Placement, SlotState, UnrecordedOrders, WorkerState};
use crate::adapter;

/// What became of a report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReportOutcome {
    /// The slots agree with it.
    Adopted,
    /// The slots agree with it, and it explains what became of an order.
    Settled {
        /// The order.
        order: Order,
        /// Whether the worker is in the ordered state, or about to be.
        is_executed: bool,
    },
    /// It is older than the last answer of the worker and was ignored.
    Outdated,
    /// The worker restarted, and its placement begins anew.
    Restarted,
}

impl ReportOutcome {
    /// Returns the name used in logs.
    #[must_use]
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Adopted | Self::Settled { .. } => "adopted",
            Self::Outdated => "outdated",
            Self::Restarted => "restarted",
        }
    }
}

impl Placement {
    /// Adds slots for the adapters of the first report.
    pub(super) fn add_reported(&mut self, reported: &WorkerState, late_until_ms: u64, now_ms: u64) {
        for adapter in &reported.resident {
            let mut slot = AdapterSlot::new(adapter.version(), SlotState::Resident, now_ms);
            // A load that arrives late would restore an adapter that was unloaded meanwhile.
            slot.late_until_ms = late_until_ms;
            self.slots.insert(adapter.name().clone(), slot);
        }
        for adapter in &reported.loading {
            let mut slot = AdapterSlot::new_accepted_load(adapter.version(), now_ms);
            slot.late_until_ms = late_until_ms;
            self.slots.insert(adapter.name().clone(), slot);
        }
    }

    /// Returns whether the worker must report before it gets further orders, or because orders without
    /// a record can no longer be executed and what they loaded is not known.
    #[must_use]
    pub fn needs_report(&self, now_ms: u64) -> bool {
        let is_window_over = self.has_unreported && self.unrecorded.until_ms <= now_ms;
        self.sequence.needs_report() || is_window_over
    }

    /// Applies a report that was needed.
    pub fn apply_report(&mut self, reported: &WorkerState, now_ms: u64) -> ReportOutcome {
        if !self.sequence.needs_report() {
            if self.has_unreported && self.unrecorded.until_ms <= now_ms {
                self.has_unreported = false;
                self.add_unknown(reported, now_ms);
            }
            return ReportOutcome::Adopted;
        }
        let Some(sequence) = reported.sequence else {
            self.sequence.stop_tracking();
            self.unrecorded = UnrecordedOrders::after_restart(now_ms);
            self.has_unreported = true;
            for slot in self.slots.values_mut() {
                slot.late_until_ms = self.unrecorded.until_ms;
            }
            return ReportOutcome::Adopted;
        };
        let has_lost_model = self.has_base_model && !reported.has_base_model;
        // An older report than the end of the load does not list the model yet.
        let is_model_settled = now_ms.saturating_sub(self.base_known_ms) >= MAX_REPORT_AGE_MS;
        let age = match self.sequence.compare(sequence, now_ms) {
            ReportAge::Current
                if has_lost_model && is_model_settled && self.sequence.is_settled(now_ms) =>
            {
                ReportAge::Restarted
            }
            ReportAge::Current if has_lost_model => ReportAge::Outdated,
            age => age,
        };
        match age {
            ReportAge::Outdated => ReportOutcome::Outdated,
            ReportAge::Restarted => {
                let unrecorded = UnrecordedOrders::after_restart(now_ms);
                *self = Self::new(self.limits.clone(), reported, unrecorded, now_ms);
                ReportOutcome::Restarted
            }
            ReportAge::Current => {
                let has_advanced = self.sequence.is_behind(sequence);
                let settled = self.sequence.adopt(sequence, now_ms);
                if reported.has_base_model {
                    self.mark_base_model_loaded(now_ms);
                }
                self.drop_unlisted(reported, now_ms);
                self.merge_listed(reported, has_advanced, now_ms);
                self.delay_given_up(now_ms);
                settled.map_or(ReportOutcome::Adopted, |order| ReportOutcome::Settled {
                    is_executed: reported.is_as_ordered(&order),
                    order,
                })
            }
        }
    }

    /// Delays the order that was given up, so that others go first.
    fn delay_given_up(&mut self, now_ms: u64) {
        let Some(adapter) = self.given_up.take() else { return };
        let retry_ms = now_ms + DEFAULT_RETRY_MS;
        if let Some(slot) = self.slots.get_mut(&adapter) {
            slot.next_order_ms = retry_ms;
        }
        if let Some(demand) = self.demands.get_mut(&adapter) {
            demand.start_ms = retry_ms;
        }
    }

    /// Adds the adapters that no slot accounts for.
    fn add_unknown(&mut self, reported: &WorkerState, now_ms: u64) {
        for adapter in &reported.resident {
            let slot = || AdapterSlot::new(adapter.version(), SlotState::Resident, now_ms);
            self.slots.entry(adapter.name().clone()).or_insert_with(slot);
        }
        for adapter in &reported.loading {
            let slot = || AdapterSlot::new_accepted_load(adapter.version(), now_ms);
            self.slots.entry(adapter.name().clone()).or_insert_with(slot);
        }
    }

    /// Removes the slots of adapters that the worker neither holds nor loads; loads that it did not
    /// accept become demands again.
    fn drop_unlisted(&mut self, reported: &WorkerState, now_ms: u64) {
        let mut unordered = Vec::new();
        self.slots.retain(|name, slot| {
            let mut listed = reported.resident.iter().chain(&reported.loading);
            if listed.any(|adapter| adapter.name() == name) {
                return true;
            }
            if slot.state == SlotState::Loading {
                unordered.push(adapter::AdapterRef::new(name.clone(), slot.version));
            }
            false
        });
        for adapter in &unordered {
            self.add_demand(adapter, true, now_ms);
        }
    }

    /// Brings the slots of the adapters that the worker holds or loads in line with the report.
    fn merge_listed(&mut self, reported: &WorkerState, has_advanced: bool, now_ms: u64) {
        self.add_unknown(reported, now_ms);
        let mut superseded = Vec::new();
        let resident = reported.resident.iter().map(|adapter| (adapter, true));
        let listed = resident.chain(reported.loading.iter().map(|adapter| (adapter, false)));
        for (adapter, is_resident) in listed {
            let Some(slot) = self.slots.get_mut(adapter.name()) else { continue };
            match slot.state {
                SlotState::Resident => {}
                // The worker still waits for the requests that use the adapter.
                SlotState::Unloading if slot.is_accepted && !has_advanced => {
                    slot.accepted_ms = Some(now_ms);
                }
                SlotState::Unloading => {
                    slot.mark_unordered(now_ms);
                    slot.cancel_unload_if_used(now_ms);
                }
                SlotState::Loading => {
                    let wanted = slot.version;
                    let is_wanted = wanted == 0 || wanted == adapter.version();
                    if !is_wanted {
                        superseded.push(adapter::AdapterRef::new(adapter.name().clone(), wanted));
                    }
                    if is_resident {
                        slot.awaits_answer = false;
                        slot.version = adapter.version();
                        slot.enter(SlotState::Resident, now_ms);
                    } else {
                        slot.version = adapter.version();
                        slot.mark_accepted_load();
                    }
                }
            }
        }
        for adapter in &superseded {
            self.add_demand(adapter, true, now_ms);
        }
    }
}
