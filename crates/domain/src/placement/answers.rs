//! What follows from a worker's answers to orders.

use super::{FinishedLoad, Order, OrderResult, PlaceState, Placement};
use crate::adapter;
use crate::name;

/// Time after which the end of a load from the weight store is asked for.
const COLD_LOAD_MS: u64 = 150;
/// Time of a load that the worker has a copy of.
const WARM_LOAD_MS: u64 = 25;
/// Adapters of which a worker is assumed to keep a copy.
const MAX_WARM: usize = 100;
/// Interval of asking whether the load of a base model has ended.
const BASE_POLL_MS: u64 = 150;

impl Placement {
    /// Takes in what became of an order; returns the load that has ended with it.
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
        if result == OrderResult::Holds {
            self.has_base_model = true;
        }
    }

    fn apply_load_result(
        &mut self,
        adapter: &adapter::AdapterRef,
        result: OrderResult,
        now_ms: u64,
    ) -> Option<FinishedLoad> {
        let is_warm = self.warm.contains_key(adapter.name());
        let place = self.places.get_mut(adapter.name())?;
        if place.state != PlaceState::Loading || place.version != adapter.version() {
            // A load of the version that is not wanted any more takes up the place, too.
            place.order_failed(result, now_ms);
            place.next_order_ms = now_ms;
            return None;
        }
        match result {
            OrderResult::Holds => {
                place.awaits_answer = false;
                let accepted_ms = place.accepted_ms;
                let concurrent_loads = place.concurrent_loads;
                place.enter(PlaceState::Resident, now_ms);
                place.used_ms = now_ms;
                self.record_warm(adapter.name());
                let took_ms = now_ms.saturating_sub(accepted_ms?);
                return Some(FinishedLoad { took_ms, concurrent_loads });
            }
            OrderResult::Refused if place.late_until_ms <= now_ms => {
                self.places.swap_remove(adapter.name());
            }
            _ => {
                place.order_failed(result, now_ms);
                let age_ms = now_ms.saturating_sub(place.state_since_ms);
                let expected_ms = if is_warm { WARM_LOAD_MS } else { COLD_LOAD_MS };
                if result == OrderResult::Accepted && age_ms < expected_ms {
                    place.next_order_ms =
                        place.next_order_ms.max(place.state_since_ms + expected_ms);
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
        let Some(place) = self.places.get_mut(adapter) else { return };
        if place.state != PlaceState::Unloading {
            place.awaits_answer = false;
            return;
        }
        // A refused unload means that the worker does not hold the adapter.
        if matches!(result, OrderResult::Holds | OrderResult::Refused) {
            self.places.swap_remove(adapter);
            return;
        }
        place.order_failed(result, now_ms);
        place.keep_if_used(now_ms);
    }

    fn record_warm(&mut self, adapter: &name::AdapterName) {
        self.warm.shift_remove(adapter);
        self.warm.insert(adapter.clone(), ());
        while self.warm.len() > MAX_WARM {
            self.warm.shift_remove_index(0);
        }
    }
}
