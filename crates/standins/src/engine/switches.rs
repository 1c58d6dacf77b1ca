//! Injected faults of the engine.

use serde::{Deserialize, Serialize};

/// Injected faults of the engine; fields omitted from `POST /switch` keep their values.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Switches {
    /// Multiplier for step durations; values above 1 simulate a straggler.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slowdown: Option<f64>,
    /// Number of upcoming loads that fail.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fail_next_loads: Option<u32>,
    /// Whether new requests are rejected because the engine is leaving.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leaving: Option<bool>,
    /// Whether responses name an instance other than the requested one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub wrong_model: Option<bool>,
}

impl Default for Switches {
    fn default() -> Self {
        Self {
            slowdown: Some(1.0),
            fail_next_loads: Some(0),
            leaving: Some(false),
            wrong_model: Some(false),
        }
    }
}

impl Switches {
    /// Overwrites the fields that are set in `given`.
    pub fn merge(&mut self, given: Self) {
        self.slowdown = given.slowdown.or(self.slowdown);
        self.fail_next_loads = given.fail_next_loads.or(self.fail_next_loads);
        self.leaving = given.leaving.or(self.leaving);
        self.wrong_model = given.wrong_model.or(self.wrong_model);
    }

    /// Returns whether the next load fails, and decrements the count.
    pub fn take_failed_load(&mut self) -> bool {
        match self.fail_next_loads {
            Some(left @ 1..) => {
                self.fail_next_loads = Some(left - 1);
                true
            }
            _ => false,
        }
    }
}
