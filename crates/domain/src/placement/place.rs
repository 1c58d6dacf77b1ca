//! One adapter place of a worker.

use super::OrderResult;

/// Pause before an order that the worker was too busy for is repeated.
const BUSY_PAUSE_MS: u64 = 25;
/// Pause before an order without an answer is repeated.
const UNANSWERED_PAUSE_MS: u64 = 30;
/// Pause before an order is repeated that could not be delivered.
const FAILED_PAUSE_MS: u64 = 250;
/// Interval of asking whether a load has ended.
const POLL_MS: u64 = 30;
/// Time for which an order without an answer may still be carried out, from the platform's pages,
/// with a second to spare.
pub const LATE_ORDER_MS: u64 = 13_000;
/// Time after which a use counts half for the choice of the adapter to drop.
const HEAT_HALF_LIFE_MS: f64 = 8_000.0;

/// State of a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlaceState {
    /// The adapter is on its way.
    Loading,
    /// The adapter can be used.
    Resident,
    /// The adapter is being dropped.
    Unloading,
}

/// One adapter place of a worker.
#[derive(Clone, Debug)]
pub struct Place {
    /// Version of the adapter; 0 for the newest when it was loaded.
    pub(super) version: u32,
    pub(super) state: PlaceState,
    /// Whether an order is on its way and has no answer yet.
    pub(super) awaits_answer: bool,
    pub(super) next_order_ms: u64,
    /// Whether the order of this state is being carried out, or may be.
    is_under_way: bool,
    /// When the worker took the load, which tells how long it takes.
    pub(super) accepted_ms: Option<u64>,
    /// Loads in transit over all workers when this one began.
    pub(super) concurrent_loads: usize,
    /// Time until which an unanswered load may bring the adapter back.
    pub(super) late_until_ms: u64,
    pub(super) in_use: u32,
    pub(super) used_ms: u64,
    pub(super) state_since_ms: u64,
    heat: f64,
    heat_ms: u64,
}

impl Place {
    pub(super) fn new(version: u32, state: PlaceState, now_ms: u64) -> Self {
        Self {
            version,
            state,
            awaits_answer: false,
            next_order_ms: now_ms,
            is_under_way: false,
            accepted_ms: None,
            concurrent_loads: 0,
            late_until_ms: 0,
            in_use: 0,
            used_ms: now_ms,
            state_since_ms: now_ms,
            heat: 1.0,
            heat_ms: now_ms,
        }
    }

    pub(super) fn enter(&mut self, state: PlaceState, now_ms: u64) {
        self.state = state;
        self.state_since_ms = now_ms;
        self.next_order_ms = now_ms;
        self.is_under_way = false;
        self.accepted_ms = None;
    }

    /// Keeps an adapter that came into use before the worker took the order to drop it.
    pub(super) fn keep_if_used(&mut self, now_ms: u64) {
        let is_dropped = self.awaits_answer || self.is_under_way;
        if self.state == PlaceState::Unloading && self.in_use > 0 && !is_dropped {
            self.enter(PlaceState::Resident, now_ms);
        }
    }

    pub(super) fn add_uses(&mut self, uses: u32, now_ms: u64) {
        self.heat = self.heat(now_ms) + f64::from(uses);
        self.heat_ms = now_ms;
        self.used_ms = now_ms;
    }

    /// Returns the decayed number of uses.
    pub(super) fn heat(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.heat_ms) as f64;
        self.heat * (-age_ms / HEAT_HALF_LIFE_MS).exp2()
    }

    /// Takes in the answer to a load or unload order, except for its success.
    pub(super) fn order_failed(&mut self, result: OrderResult, now_ms: u64) {
        self.awaits_answer = false;
        if result == OrderResult::Accepted {
            self.accepted_ms.get_or_insert(now_ms);
        }
        self.is_under_way |= matches!(result, OrderResult::Accepted | OrderResult::Unanswered);
        self.next_order_ms = now_ms
            + match result {
                OrderResult::Accepted => POLL_MS,
                OrderResult::Busy => BUSY_PAUSE_MS,
                OrderResult::Unanswered => UNANSWERED_PAUSE_MS,
                _ => FAILED_PAUSE_MS,
            };
        if result == OrderResult::Unanswered {
            self.late_until_ms = now_ms + LATE_ORDER_MS;
        }
    }
}
