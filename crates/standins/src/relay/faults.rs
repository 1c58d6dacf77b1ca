//! Injected network faults.

use std::thread;
use std::time::Instant;

use parking_lot::{Condvar, Mutex};
use serde::{Deserialize, Serialize};

/// Injected network faults; all are off by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// One-way delay of every byte, in milliseconds.
    pub delay_ms: u64,
    /// Existing connections are closed, and new ones are closed immediately.
    pub cut: bool,
    /// Connections are accepted and kept open, but no data is forwarded until the fault is cleared.
    pub half_open: bool,
}

/// Currently active faults, shared by all connections of a relay.
#[derive(Debug, Default)]
pub struct ActiveFaults {
    faults: Mutex<Faults>,
    changed: Condvar,
}

impl ActiveFaults {
    /// Returns the active faults.
    pub fn get(&self) -> Faults {
        *self.faults.lock()
    }

    /// Replaces the faults.
    pub fn set(&self, faults: Faults) {
        *self.faults.lock() = faults;
        self.changed.notify_all();
    }

    /// Blocks while the link is half-open; returns `false` if it is cut.
    pub fn wait_until_open(&self) -> bool {
        let mut faults = self.faults.lock();
        while faults.half_open && !faults.cut {
            self.changed.wait(&mut faults);
        }
        !faults.cut
    }
}

/// Sleeps until `due`.
pub fn sleep_until(due: Instant) {
    thread::sleep(due.saturating_duration_since(Instant::now()));
}
