//! Adapter slot of a worker.

use super::OrderResult;

/// Delay before an order that the worker was too busy for is retried.
const BUSY_RETRY_MS: u64 = 25;
/// Delay before an unanswered order is retried.
const UNANSWERED_RETRY_MS: u64 = 30;
/// Delay before an undelivered, rejected or given up order is retried.
pub(super) const DEFAULT_RETRY_MS: u64 = 250;
/// Interval between polls of a load.
const LOAD_POLL_MS: u64 = 30;
/// Time during which the worker may still execute an unanswered order: the platform's documented
/// maximum plus a margin of one second.
pub const LATE_ORDER_WINDOW_MS: u64 = 13_000;
/// Half-life of a use in the choice of the adapter to unload.
const USE_HALF_LIFE_MS: f64 = 8_000.0;

/// State of an adapter slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotState {
    /// The adapter is being loaded.
    Loading,
    /// The adapter can be used.
    Resident,
    /// The adapter is being unloaded.
    Unloading,
}

/// One adapter slot of a worker.
#[derive(Clone, Debug)]
pub struct AdapterSlot {
    /// Version of the adapter; 0 means the newest at the time of the load.
    pub(super) version: u32,
    pub(super) state: SlotState,
    /// Whether an order was sent and has no answer yet.
    pub(super) awaits_answer: bool,
    pub(super) next_order_ms: u64,
    /// Whether the worker is, or may be, executing the order of this state.
    pub(super) is_executing: bool,
    /// Whether the worker accepted the order of this state and has not finished it.
    pub(super) is_accepted: bool,
    /// When the worker accepted the load; start of the measured load time.
    pub(super) accepted_ms: Option<u64>,
    /// Loads in flight over all workers when this one started, itself included.
    pub(super) concurrent_loads: usize,
    /// Time until which an unanswered load may load the adapter again.
    pub(super) late_until_ms: u64,
    pub(super) in_use: u32,
    pub(super) used_ms: u64,
    pub(super) state_since_ms: u64,
    uses_sum: f64,
    uses_updated_ms: u64,
}

impl AdapterSlot {
    pub(super) fn new(version: u32, state: SlotState, now_ms: u64) -> Self {
        Self {
            version,
            state,
            awaits_answer: false,
            next_order_ms: now_ms,
            is_executing: false,
            is_accepted: false,
            accepted_ms: None,
            concurrent_loads: 0,
            late_until_ms: 0,
            in_use: 0,
            used_ms: now_ms,
            state_since_ms: now_ms,
            uses_sum: 1.0,
            uses_updated_ms: now_ms,
        }
    }

    /// Creates the slot of a load that the worker reports to be in progress.
    pub(super) fn new_accepted_load(version: u32, now_ms: u64) -> Self {
        let mut slot = Self::new(version, SlotState::Loading, now_ms);
        slot.mark_accepted_load();
        slot
    }

    /// Records that the worker is executing the load; when it accepted it is not known.
    pub(super) fn mark_accepted_load(&mut self) {
        self.awaits_answer = false;
        self.is_executing = true;
        self.is_accepted = true;
    }

    pub(super) fn enter(&mut self, state: SlotState, now_ms: u64) {
        self.state = state;
        self.state_since_ms = now_ms;
        self.next_order_ms = now_ms;
        self.is_executing = false;
        self.is_accepted = false;
        self.accepted_ms = None;
    }

    /// Returns whether the worker accepted to unload the adapter and waits for its requests to end.
    pub(super) fn is_blocking(&self) -> bool {
        self.state == SlotState::Unloading && self.is_accepted
    }

    /// Records that the worker does not execute the order of this state, which can be sent anew.
    pub(super) fn mark_unordered(&mut self, now_ms: u64) {
        self.awaits_answer = false;
        self.enter(self.state, now_ms);
    }

    /// Keeps an adapter that came into use before the worker accepted the order to unload it.
    pub(super) fn cancel_unload_if_used(&mut self, now_ms: u64) {
        let is_dropped = self.awaits_answer || self.is_executing;
        if self.state == SlotState::Unloading && self.in_use > 0 && !is_dropped {
            self.enter(SlotState::Resident, now_ms);
        }
    }

    pub(super) fn add_uses(&mut self, uses: u32, now_ms: u64) {
        self.uses_sum = self.decayed_uses(now_ms) + f64::from(uses);
        self.uses_updated_ms = now_ms;
        self.used_ms = now_ms;
    }

    /// Returns the decayed number of uses.
    pub(super) fn decayed_uses(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.uses_updated_ms) as f64;
        self.uses_sum * (-age_ms / USE_HALF_LIFE_MS).exp2()
    }

    /// Applies a result other than success of a load or unload order.
    pub(super) fn order_failed(&mut self, result: OrderResult, now_ms: u64) {
        self.awaits_answer = false;
        if result == OrderResult::Accepted {
            self.accepted_ms.get_or_insert(now_ms);
            self.is_accepted = true;
        }
        self.is_executing |= result == OrderResult::Accepted || result.is_unknown();
        self.next_order_ms = now_ms
            + match result {
                OrderResult::Accepted => LOAD_POLL_MS,
                OrderResult::Busy => BUSY_RETRY_MS,
                OrderResult::Unanswered => UNANSWERED_RETRY_MS,
                _ => DEFAULT_RETRY_MS,
            };
        if result.is_unknown() {
            // Workers that check preconditions get here only with an answer.
            self.late_until_ms = now_ms + LATE_ORDER_WINDOW_MS;
        }
    }
}
