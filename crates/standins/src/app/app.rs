//! State of the app service.

use std::collections::BTreeMap;
use std::time::Duration;

use parking_lot::{Condvar, Mutex};
use serde_json::json;

use super::{Behaviour, Close, Execution};

/// Recorded executions and the configured behaviour.
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
    /// Replaces the behaviour; pending calls are released if the new one does not hang.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.state.lock().behaviour = behaviour;
        self.behaviour_changed.notify_all();
    }

    /// Returns the connection fault for the next call and decrements its remaining count.
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

    /// Records the execution of a call and returns its number.
    pub fn execute(&self, mut execution: Execution) -> usize {
        let mut state = self.state.lock();
        execution.number = state.executions.len() + 1;
        state.executions.push(execution);
        state.executions.len()
    }

    /// Blocks while the behaviour is to hang, then sleeps for the configured response delay.
    pub fn wait_before_response(&self) {
        let mut state = self.state.lock();
        let delay = Duration::from_millis(state.behaviour.answer_ms);
        while state.behaviour.hang {
            self.behaviour_changed.wait(&mut state);
        }
        drop(state);
        std::thread::sleep(delay);
    }

    /// Marks an execution as answered.
    pub fn mark_answered(&self, number: usize) {
        if let Some(execution) = self.state.lock().executions.get_mut(number - 1) {
            execution.answered = true;
        }
    }

    /// Returns the executions, and the number of executions per idempotency key and request ID.
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
