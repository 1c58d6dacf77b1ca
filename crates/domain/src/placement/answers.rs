//! State changes of a placement caused by order results.

use super::order_purpose::OrderPurpose;
use super::reception::Reception;
use super::sent_order::SentOrder;
use super::sequence_effect::SequenceEffect;
use super::{FinishedLoad, Order, OrderResult, Placement, PreconditionSupport, SlotState};
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
/// Time for which a worker that refuses orders is taken to wait for the requests of an adapter that it
/// unloads; after that, a report tells whether it still does.
const MAX_UNCHECKED_UNLOAD_MS: u64 = 1_000;

impl Placement {
    /// Applies the result of an order; returns the adapter load that it completed, if any.
    ///
    /// An order without an answer is repeated before any other order is sent, for a limited time, if the
    /// worker checks preconditions.
    pub fn apply_order_result(
        &mut self,
        order: &Order,
        result: OrderResult,
        now_ms: u64,
    ) -> Option<FinishedLoad> {
        let sent = match self.sequence.receive(order, result, now_ms) {
            Reception::Answered(sent) => sent,
            Reception::Open => {
                self.record_unanswered(order);
                return None;
            }
            Reception::GivenUp => {
                self.give_up(order, now_ms);
                return None;
            }
        };
        if sent.purpose.is_probe() {
            self.apply_probe_result(sent.purpose, result, now_ms);
            return None;
        }
        let is_base_load = matches!(order, Order::LoadBase(_));
        if is_base_load && result == OrderResult::Refused {
            self.sequence.refuse_base_load();
        }
        let effect = self.effect(&sent, result, now_ms);
        self.sequence.apply(order, effect, now_ms);
        match order {
            Order::LoadBase(_) => self.apply_base_load_result(result, now_ms),
            Order::Load(adapter) => return self.apply_load_result(adapter, result, now_ms),
            Order::Unload(adapter) => self.apply_unload_result(adapter, result, now_ms),
        }
        None
    }

    /// Marks the slot of an order that must be repeated: the worker may be executing it.
    fn record_unanswered(&mut self, order: &Order) {
        let adapter = match order {
            Order::LoadBase(_) => return,
            Order::Load(adapter) => adapter.name(),
            Order::Unload(adapter) => adapter,
        };
        if let Some(slot) = self.slots.get_mut(adapter) {
            slot.is_executing = true;
        }
    }

    /// Lets other orders go first once a report tells the state of the worker.
    fn give_up(&mut self, order: &Order, now_ms: u64) {
        match order.adapter() {
            Some(adapter) => self.given_up = Some(adapter.clone()),
            None => self.base_order_ms = now_ms + BASE_POLL_MS,
        }
    }

    fn apply_probe_result(&mut self, purpose: OrderPurpose, result: OrderResult, now_ms: u64) {
        self.sequence.apply_probe_result(purpose, result, now_ms);
        if self.precondition_support() != PreconditionSupport::Checked {
            return;
        }
        // What is executed late was decided on at the present number, when the slots were the same.
        self.has_unreported = false;
        for slot in self.slots.values_mut() {
            slot.late_until_ms = 0;
        }
    }

    /// Returns the effect of an answer on the number of orders that the worker accepted.
    fn effect(&self, sent: &SentOrder, result: OrderResult, now_ms: u64) -> SequenceEffect {
        let is_unload = matches!(sent.order, Order::Unload(_));
        match result {
            // A poll was accepted when its order was.
            OrderResult::Accepted | OrderResult::Applied if sent.purpose == OrderPurpose::Poll => {
                SequenceEffect::Unchanged
            }
            OrderResult::Accepted => SequenceEffect::Advanced,
            OrderResult::Applied if is_unload => SequenceEffect::Advanced,
            // The worker held the adapter already.
            OrderResult::Applied => SequenceEffect::Unchanged,
            OrderResult::Busy => {
                let is_blocked = self.blocking_unload().is_some_and(|since_ms| {
                    now_ms.saturating_sub(since_ms) < MAX_UNCHECKED_UNLOAD_MS
                });
                if is_blocked { SequenceEffect::Unchanged } else { SequenceEffect::Unknown }
            }
            // An earlier copy may have been accepted.
            OrderResult::Refused if sent.was_unanswered || is_unload => SequenceEffect::Unknown,
            OrderResult::Refused | OrderResult::NotSent => SequenceEffect::Unchanged,
            OrderResult::Misdirected | OrderResult::Unanswered | OrderResult::Unspecified => {
                SequenceEffect::Unknown
            }
        }
    }

    fn apply_base_load_result(&mut self, result: OrderResult, now_ms: u64) {
        self.base_order_ms = now_ms + BASE_POLL_MS;
        match result {
            OrderResult::Applied => self.mark_base_model_loaded(now_ms),
            OrderResult::Accepted => self.is_base_accepted = true,
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
