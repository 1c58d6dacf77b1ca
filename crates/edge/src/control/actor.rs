//! The actor that runs the control state at its timers and messages.

use std::time::Duration;

use stakker::{CX, after, call};

use super::{Core, Message};
use crate::clock;
use crate::dialect;

/// Interval of looking at leases and claims while nothing is in transit.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Interval while adapters are in transit, so that the end of a load is asked for in time.
const BUSY_INTERVAL: Duration = Duration::from_millis(25);

/// Owner of the control state.
pub struct Actor<Dialect> {
    core: Core<Dialect>,
}

impl<Dialect> Actor<Dialect>
where
    Dialect: dialect::Dialect,
{
    /// Creates the state that the actor starts with.
    pub fn new(core: Core<Dialect>) -> Self {
        Self { core }
    }

    /// Starts the actor.
    pub fn init(cx: CX![], actor: Self) -> Option<Self> {
        call!([cx], watch());
        call!([cx], report());
        Some(actor)
    }

    fn watch(&mut self, cx: CX![]) {
        self.core.tick(clock::now_ms());
        let interval = if self.core.is_busy() { BUSY_INTERVAL } else { WATCH_INTERVAL };
        after!(interval, [cx], watch());
    }

    fn report(&mut self, cx: CX![]) {
        self.core.report(clock::now_ms());
        let interval = Duration::from_millis(self.core.report_interval_ms());
        after!(interval, [cx], report());
    }

    /// Handles messages from other threads.
    pub fn receive(&mut self, _cx: CX![], messages: Vec<Message>) {
        self.core.receive(messages, clock::now_ms());
    }
}
