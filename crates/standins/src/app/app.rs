//! State of an app service.

use std::collections::BTreeMap;
use std::time::Duration;

use parking_lot::{Condvar, Mutex};
use serde_json::json;

use super::{Behaviour, Close, Execution};

/// Executions so far and the present behaviour.
#[derive(Debug, Default)]
pub struct App {
    state: Mutex<State>,
    behaviour_changed: Condvar,
}

#[derive(Debug, Default)]
struct State {
    behaviour: Behaviour,
    executions: Vec<Execution>,
    closed_before: usize,
}

impl App {
    /// Replaces the behaviour; calls that hang are released when it no longer hangs.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.state.lock().behaviour = behaviour;
        self.behaviour_changed.notify_all();
    }

    /// Takes the fault of the next call, if there is one.
    pub fn next_close(&self) -> Option<Close> {
        let mut state = self.state.lock();
        let close = state.behaviour.close?;
        if close == Close::Before {
            state.closed_before += 1;
        }
        match state.behaviour.close_next {
            0 => {}
            1 => state.behaviour.close = None,
            _ => state.behaviour.close_next -= 1,
        }
        Some(close)
    }

    /// Executes a call and returns its number.
    pub fn execute(&self, mut execution: Execution) -> usize {
        let mut state = self.state.lock();
        execution.number = state.executions.len() + 1;
        state.executions.push(execution);
        state.executions.len()
    }

    /// Waits until an executed call is to be answered.
    pub fn wait_before_response(&self) {
        let mut state = self.state.lock();
        let delay = Duration::from_millis(state.behaviour.answer_ms);
        while state.behaviour.hang {
            self.behaviour_changed.wait(&mut state);
        }
        drop(state);
        std::thread::sleep(delay);
    }

    /// Records that a call is being answered.
    pub fn mark_answered(&self, number: usize) {
        if let Some(execution) = self.state.lock().executions.get_mut(number - 1) {
            execution.answered = true;
        }
    }

    /// Returns the executions and how often each idempotency key and request id ran.
    #[must_use]
    pub fn audit(&self) -> serde_json::Value {
        let state = self.state.lock();
        let mut by_idempotency_key = BTreeMap::<&str, usize>::new();
        let mut by_request_id = BTreeMap::<&str, usize>::new();
        for execution in &state.executions {
            if let Some(key) = &execution.idempotency_key {
                *by_idempotency_key.entry(key).or_default() += 1;
            }
            if let Some(request_id) = &execution.request_id {
                *by_request_id.entry(request_id).or_default() += 1;
            }
        }
        json!({
            "executions": state.executions,
            "by_idempotency_key": by_idempotency_key,
            "by_request_id": by_request_id,
            "closed_before": state.closed_before,
        })
    }
}
