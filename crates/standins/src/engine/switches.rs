//! Faults of an engine.

use serde::{Deserialize, Serialize};

/// Faults of an engine; a field that is left out of `POST /switch` keeps its value.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Switches {
    /// Factor on the time of each step; above 1 the engine is a straggler.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slowdown: Option<f64>,
    /// Loads that fail.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fail_next_loads: Option<u32>,
    /// Whether the engine takes no new work.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leaving: Option<bool>,
    /// Whether every answer names another instance than the one asked for.
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
    /// Takes over the fields that are given.
    pub fn merge(&mut self, given: Self) {
        self.slowdown = given.slowdown.or(self.slowdown);
        self.fail_next_loads = given.fail_next_loads.or(self.fail_next_loads);
        self.leaving = given.leaving.or(self.leaving);
        self.wrong_model = given.wrong_model.or(self.wrong_model);
    }

    /// Tells whether the next load fails, and counts it.
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
