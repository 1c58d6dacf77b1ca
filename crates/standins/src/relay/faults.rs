//! Faults of a link.

use std::thread;
use std::time::Instant;

use parking_lot::{Condvar, Mutex};
use serde::{Deserialize, Serialize};

/// Faults of a link; all are off by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// One-way delay of every byte.
    pub delay_ms: u64,
    /// Connections are closed and new ones are closed at once.
    pub cut: bool,
    /// Connections are accepted and kept, but nothing passes until the fault ends.
    pub half_open: bool,
}

/// Faults in force, shared by all connections of a link.
#[derive(Debug, Default)]
pub struct ActiveFaults {
    faults: Mutex<Faults>,
    changed: Condvar,
}

impl ActiveFaults {
    /// Returns the faults in force.
    pub fn get(&self) -> Faults {
        *self.faults.lock()
    }

    /// Replaces the faults.
    pub fn set(&self, faults: Faults) {
        *self.faults.lock() = faults;
        self.changed.notify_all();
    }

    /// Waits until a byte may pass; returns false when the link is cut.
    pub fn wait_until_open(&self) -> bool {
        let mut faults = self.faults.lock();
        while faults.half_open && !faults.cut {
            self.changed.wait(&mut faults);
        }
        !faults.cut
    }
}

/// Sleeps until an instant.
pub fn sleep_until(due: Instant) {
    thread::sleep(due.saturating_duration_since(Instant::now()));
}
