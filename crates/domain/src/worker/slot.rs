//! One adapter slot of an engine.

use crate::adapter;

/// Pause before an unload order without an answer is repeated.
const UNLOAD_RETRY_MS: u64 = 500;

/// What an engine holds in one slot.
#[derive(Clone, Debug)]
pub struct Slot {
    adapter: adapter::AdapterRef,
    instance: adapter::InstanceName,
    state: SlotState,
    pins: u32,
    since_ms: u64,
    last_used_ms: u64,
    is_draining: bool,
    /// Requests of a former owner may still run on the instance.
    is_guarded: bool,
}

/// State of a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotState {
    /// A load order is in flight.
    Loading,
    /// A load order got no answer; it may take effect late.
    Uncertain,
    /// Requests can use the instance.
    Loaded,
    /// An unload order is in flight.
    Unloading,
    /// An unload order got no answer and is repeated.
    UnloadFailed,
    /// The instance belongs to a former owner and is never used.
    Foreign {
        /// Fencing number of that owner.
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
            since_ms: now_ms,
            last_used_ms: now_ms,
            is_draining: false,
            is_guarded: false,
        }
    }

    /// A slot that was found loaded; guarded until nothing of a former owner can run on it.
    pub(super) fn found(
        adapter: adapter::AdapterRef,
        instance: adapter::InstanceName,
        state: SlotState,
        now_ms: u64,
    ) -> Self {
        Self { state, is_guarded: true, ..Self::loading(adapter, instance, now_ms) }
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

    /// Returns the number of requests that use the instance.
    #[must_use]
    pub fn pins(&self) -> u32 {
        self.pins
    }

    /// Returns when a request used the instance last.
    #[must_use]
    pub fn last_used_ms(&self) -> u64 {
        self.last_used_ms
    }

    /// Returns whether new requests may use the instance.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        self.state == SlotState::Loaded && !self.is_draining
    }

    /// Returns whether the instance can be used now or soon.
    pub(super) fn serves(&self) -> bool {
        matches!(self.state, SlotState::Loading | SlotState::Uncertain) || self.is_usable()
    }

    /// Returns whether an unload could break no request.
    pub(super) fn may_unload(&self) -> bool {
        let is_held = matches!(self.state, SlotState::Loaded | SlotState::Foreign { .. });
        is_held && self.pins == 0 && !self.is_guarded
    }

    pub(super) fn is_draining(&self) -> bool {
        self.is_draining
    }

    pub(super) fn resident_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.since_ms)
    }

    /// Returns whether an unload order is to be repeated now.
    pub(super) fn retries_unload(&self, now_ms: u64) -> bool {
        self.state == SlotState::UnloadFailed && self.resident_ms(now_ms) >= UNLOAD_RETRY_MS
    }

    pub(super) fn enter(&mut self, state: SlotState, now_ms: u64) {
        self.state = state;
        self.since_ms = now_ms;
        self.is_draining = false;
    }

    pub(super) fn set_draining(&mut self, is_draining: bool) {
        self.is_draining = is_draining;
    }

    pub(super) fn clear_guard(&mut self) {
        self.is_guarded = false;
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
