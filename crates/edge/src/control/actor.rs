//! Actor that drives the control state by timers and messages.

use std::time::Duration;

use stakker::{CX, FixedTimerKey, after, call};

use super::{ControlState, Message};
use crate::clock;
use crate::dialect;

/// Interval of ticks while no adapter loads are waiting or in flight and no requests wait for a slot.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of ticks otherwise, short enough to notice finished loads promptly, and slots that become
/// free by time.
const BUSY_TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Actor that owns the control state.
pub struct Actor<Dialect> {
    state: ControlState<Dialect>,
    next_tick: FixedTimerKey,
    /// Whether the next tick follows after the shorter interval.
    is_busy: bool,
}

impl<Dialect> Actor<Dialect>
where
    Dialect: dialect::Dialect,
{
    /// Wraps the control state; `init` starts the actor.
    pub fn new(state: ControlState<Dialect>) -> Self {
        Self { state, next_tick: FixedTimerKey::default(), is_busy: false }
    }

    /// Starts the timers.
    pub fn init(cx: CX![], actor: Self) -> Option<Self> {
        call!([cx], tick());
        call!([cx], report());
        Some(actor)
    }

    fn tick(&mut self, cx: CX![]) {
        self.state.tick(clock::now_ms());
        self.is_busy = self.state.is_busy();
        self.schedule_tick(cx);
    }

    fn schedule_tick(&mut self, cx: CX![]) {
        let interval = if self.is_busy { BUSY_TICK_INTERVAL } else { IDLE_TICK_INTERVAL };
        self.next_tick = after!(interval, [cx], tick());
    }

    fn report(&mut self, cx: CX![]) {
        self.state.report(clock::now_ms());
        let interval = Duration::from_millis(self.state.report_interval_ms());
        after!(interval, [cx], report());
    }

    /// Handles messages from other threads.
    pub fn receive(&mut self, cx: CX![], messages: Vec<Message>) {
        self.state.receive(messages, clock::now_ms());
        if !self.is_busy && self.state.has_waiting_slot_requests() {
            // A slot may become free by time before the tick that was scheduled without them.
            cx.timer_del(self.next_tick);
            self.is_busy = true;
            self.schedule_tick(cx);
        }
    }
}
