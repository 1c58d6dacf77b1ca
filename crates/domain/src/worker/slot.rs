//! One adapter slot of an engine.

use crate::adapter;

/// Interval after which an unanswered unload order is repeated.
const UNLOAD_RETRY_INTERVAL_MS: u64 = 500;

/// An adapter instance that occupies one slot of an engine.
#[derive(Clone, Debug)]
pub struct Slot {
    adapter: adapter::AdapterRef,
    instance: adapter::InstanceName,
    state: SlotState,
    pins: u32,
    state_since_ms: u64,
    last_used_ms: u64,
    is_draining: bool,
    /// Requests of a former owner may still run on the instance, so it must not be unloaded.
    is_unload_blocked: bool,
}

/// State of a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotState {
    /// A load order is in flight.
    Loading,
    /// A load order was not answered and may still take effect.
    Uncertain,
    /// Requests can use the instance.
    Loaded,
    /// An unload order is in flight.
    Unloading,
    /// An unload order failed or was not answered; it is repeated.
    UnloadFailed,
    /// The instance was loaded by another owner and is never used by this one.
    OtherOwner {
        /// Fencing token of that owner.
        fencing: adapter::FencingToken,
    },
}

impl Slot {
    pub(super) fn loading(
        adapter: adapter::AdapterRef,
        instance: adapter::InstanceName,
        now_ms: u64,
    ) -> Self {
        Self {
            adapter,
            instance,
            state: SlotState::Loading,
            pins: 0,
            state_since_ms: now_ms,
            last_used_ms: now_ms,
            is_draining: false,
            is_unload_blocked: false,
        }
    }

    /// Creates a slot for an instance that the engine already holds. Unloading is blocked until no
    /// request of a former owner can run on it.
    pub(super) fn discovered(
        adapter: adapter::AdapterRef,
        instance: adapter::InstanceName,
        state: SlotState,
        now_ms: u64,
    ) -> Self {
        Self { state, is_unload_blocked: true, ..Self::loading(adapter, instance, now_ms) }
    }

    /// Returns the adapter.
    #[must_use]
    pub fn adapter(&self) -> &adapter::AdapterRef {
        &self.adapter
    }

    /// Returns the instance name.
    #[must_use]
    pub fn instance(&self) -> &adapter::InstanceName {
        &self.instance
    }

    /// Returns the state.
    #[must_use]
    pub fn state(&self) -> SlotState {
        self.state
    }

    /// Returns the number of running requests that use the instance.
    #[must_use]
    pub fn pins(&self) -> u32 {
        self.pins
    }

    /// Returns the time at which a request last started or ended on the instance.
    #[must_use]
    pub fn last_used_ms(&self) -> u64 {
        self.last_used_ms
    }

    /// Returns whether new requests may use the instance.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        self.state == SlotState::Loaded && !self.is_draining
    }

    /// Returns whether the instance accepts requests or is being loaded.
    pub(super) fn is_usable_or_loading(&self) -> bool {
        matches!(self.state, SlotState::Loading | SlotState::Uncertain) || self.is_usable()
    }

    /// Returns whether the instance can be unloaded without interrupting a request.
    pub(super) fn can_unload(&self) -> bool {
        let is_loaded = matches!(self.state, SlotState::Loaded | SlotState::OtherOwner { .. });
        is_loaded && self.pins == 0 && !self.is_unload_blocked
    }

    pub(super) fn is_draining(&self) -> bool {
        self.is_draining
    }

    pub(super) fn time_in_state_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.state_since_ms)
    }

    /// Returns whether an unload order is due to be repeated.
    pub(super) fn is_unload_retry_due(&self, now_ms: u64) -> bool {
        self.state == SlotState::UnloadFailed
            && self.time_in_state_ms(now_ms) >= UNLOAD_RETRY_INTERVAL_MS
    }

    pub(super) fn set_state(&mut self, state: SlotState, now_ms: u64) {
        self.state = state;
        self.state_since_ms = now_ms;
        self.is_draining = false;
    }

    pub(super) fn set_draining(&mut self, is_draining: bool) {
        self.is_draining = is_draining;
    }

    pub(super) fn allow_unload(&mut self) {
        self.is_unload_blocked = false;
    }

    pub(super) fn pin(&mut self, now_ms: u64) {
        self.pins += 1;
        self.last_used_ms = now_ms;
    }

    pub(super) fn set_pins(&mut self, pins: u32) {
        self.pins = pins;
    }

    pub(super) fn unpin(&mut self, now_ms: u64) {
        self.pins = self.pins.saturating_sub(1);
        self.last_used_ms = now_ms;
    }
}
