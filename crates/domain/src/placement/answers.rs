//! State changes of a placement caused by order results.

use super::{FinishedLoad, Order, OrderResult, Placement, SlotState};
use crate::adapter;
use crate::name;

/// Time before the first poll of a load from the weight store.
const REMOTE_LOAD_MS: u64 = 150;
/// Time before the first poll of a load that the worker has a local copy of.
const LOCAL_LOAD_MS: u64 = 25;
/// Number of most recently loaded adapters that a worker is assumed to keep a local copy of.
const MAX_LOCAL_COPIES: usize = 100;
/// Interval between polls of a base model load.
const BASE_POLL_MS: u64 = 150;

impl Placement {
    /// Applies the result of an order; returns the adapter load that it completed, if any.
    pub fn apply_order_result(
        &mut self,
        order: &Order,
        result: OrderResult,
        now_ms: u64,
    ) -> Option<FinishedLoad> {
        match order {
            Order::LoadBase(_) => self.apply_base_load_result(result, now_ms),
            Order::Load(adapter) => return self.apply_load_result(adapter, result, now_ms),
            Order::Unload(adapter) => self.apply_unload_result(adapter, result, now_ms),
        }
        None
    }

    fn apply_base_load_result(&mut self, result: OrderResult, now_ms: u64) {
        self.base_awaits_answer = false;
        self.base_order_ms = now_ms + BASE_POLL_MS;
        match result {
            OrderResult::Applied => self.has_base_model = true,
            OrderResult::Refused | OrderResult::NotSent => self.base_ordered_ms = None,
            _ => {}
        }
    }

    fn apply_load_result(
        &mut self,
        adapter: &adapter::AdapterRef,
        result: OrderResult,
        now_ms: u64,
    ) -> Option<FinishedLoad> {
        let has_local_copy = self.local_copies.contains_key(adapter.name());
        let slot = self.slots.get_mut(adapter.name())?;
        if slot.state != SlotState::Loading || slot.version != adapter.version() {
            // A load of a superseded version also occupies the slot.
            slot.order_failed(result, now_ms);
            slot.next_order_ms = now_ms;
            return None;
        }
        match result {
            OrderResult::Applied => {
                slot.awaits_answer = false;
                let accepted_ms = slot.accepted_ms;
                let concurrent_loads = slot.concurrent_loads;
                slot.enter(SlotState::Resident, now_ms);
                slot.used_ms = now_ms;
                self.record_local_copy(adapter.name());
                let took_ms = now_ms.saturating_sub(accepted_ms?);
                return Some(FinishedLoad { took_ms, concurrent_loads });
            }
            OrderResult::Refused if slot.late_until_ms <= now_ms => {
                self.slots.swap_remove(adapter.name());
            }
            _ => {
                slot.order_failed(result, now_ms);
                let age_ms = now_ms.saturating_sub(slot.state_since_ms);
                let expected_ms = if has_local_copy { LOCAL_LOAD_MS } else { REMOTE_LOAD_MS };
                if result == OrderResult::Accepted && age_ms < expected_ms {
                    slot.next_order_ms = slot.next_order_ms.max(slot.state_since_ms + expected_ms);
                }
            }
        }
        None
    }

    fn apply_unload_result(
        &mut self,
        adapter: &name::AdapterName,
        result: OrderResult,
        now_ms: u64,
    ) {
        let Some(slot) = self.slots.get_mut(adapter) else { return };
        if slot.state != SlotState::Unloading {
            slot.awaits_answer = false;
            return;
        }
        // A worker refuses to unload an adapter that it does not hold.
        if matches!(result, OrderResult::Applied | OrderResult::Refused) {
            self.slots.swap_remove(adapter);
            return;
        }
        slot.order_failed(result, now_ms);
        slot.cancel_unload_if_used(now_ms);
    }

    fn record_local_copy(&mut self, adapter: &name::AdapterName) {
        self.local_copies.shift_remove(adapter);
        self.local_copies.insert(adapter.clone(), ());
        while self.local_copies.len() > MAX_LOCAL_COPIES {
            self.local_copies.shift_remove_index(0);
        }
    }
}
