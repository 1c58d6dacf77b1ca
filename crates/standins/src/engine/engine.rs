//! An engine: its state, its step thread and its calls to the weight store.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use jasminetack_wire::engine as wire;
use parking_lot::{Condvar, Mutex};

use super::state::State;
use super::{ApiError, Audit, Config, Generation, GenerationRequest, Reservation, Switches};
use crate::clock;

/// Longest wait for the weight store.
const WEIGHTS_TIMEOUT: Duration = Duration::from_secs(60);

/// An engine.
#[derive(Debug)]
pub struct Engine {
    config: Config,
    clock: clock::Clock,
    weights: ureq::Agent,
    state: Mutex<State>,
    work: Condvar,
    load_finished: Condvar,
}

impl Engine {
    /// Creates an engine without a step thread.
    #[must_use]
    pub fn new(config: Config) -> Self {
        let weights =
            ureq::Agent::config_builder().timeout_global(Some(WEIGHTS_TIMEOUT)).build().into();
        Self {
            clock: clock::Clock::start(),
            weights,
            state: Mutex::new(State::new(&config)),
            config,
            work: Condvar::new(),
            load_finished: Condvar::new(),
        }
    }

    /// Returns the settings.
    #[must_use]
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Runs the batch for ever; the thread sleeps while there is nothing to do.
    pub fn run_steps(&self) {
        let mut state = self.state.lock();
        loop {
            let Some((_, prefilled)) = state.begin_step(self.config.orphan_ms, self.clock.now_ms())
            else {
                self.work.wait(&mut state);
                continue;
            };
            let slowdown = state.switches.slowdown.unwrap_or(1.0);
            let step_us = self.config.step_us + u64::from(prefilled) * self.config.prefill_token_us;
            drop(state);
            thread::sleep(Duration::from_micros(step_us).mul_f64(slowdown));
            state = self.state.lock();
            state.finish_step(self.clock.now_ms());
        }
    }

    /// Loads an adapter; returns when it is loaded.
    ///
    /// # Errors
    ///
    /// Fails when the order is fenced, no slot is free or the weight store fails.
    pub fn load(&self, order: &wire::LoadAdapter, fencing: u64) -> Result<(), ApiError> {
        let mut state = self.state.lock();
        state.check_fencing(fencing)?;
        loop {
            match state.reserve(order)? {
                Reservation::Loaded => return Ok(()),
                Reservation::Loading => self.load_finished.wait(&mut state),
                Reservation::Load => break,
            }
        }
        let is_failed = state.switches.take_failed_load();
        drop(state);
        let result = if is_failed {
            Err("the load was made to fail".to_owned())
        } else {
            self.fetch_weights(&order.lora_path)
        };
        let mut state = self.state.lock();
        state.slots.finish_load(&order.lora_name, result.is_ok());
        match &result {
            Ok(()) => state.audit.loads += 1,
            Err(_) => state.audit.failed_loads += 1,
        }
        drop(state);
        self.load_finished.notify_all();
        result.map_err(|message| ApiError::new(500, "load_failed", message))
    }

    /// Unloads an adapter.
    ///
    /// # Errors
    ///
    /// Fails when the order is fenced or the adapter is not loaded.
    pub fn unload(&self, order: &wire::UnloadAdapter, fencing: u64) -> Result<(), ApiError> {
        let mut state = self.state.lock();
        state.check_fencing(fencing)?;
        state.unload(&order.lora_name, self.clock.now_ms())?;
        drop(state);
        self.work.notify_one();
        Ok(())
    }

    /// Queues a request.
    ///
    /// # Errors
    ///
    /// Fails when the request is fenced, its instance is not loaded or the engine is leaving.
    pub fn submit(
        &self,
        request: GenerationRequest,
        fencing: u64,
    ) -> Result<Arc<Generation>, ApiError> {
        let mut state = self.state.lock();
        state.check_fencing(fencing)?;
        let generation = state.submit(request, self.clock.now_ms())?;
        drop(state);
        self.work.notify_one();
        Ok(generation)
    }

    /// Ends a request early; returns whether it was waiting or running.
    ///
    /// # Errors
    ///
    /// Fails when the order is fenced.
    pub fn cancel(&self, request_id: &str, fencing: u64) -> Result<bool, ApiError> {
        let mut state = self.state.lock();
        state.check_fencing(fencing)?;
        let cancelled = state.cancel(request_id);
        drop(state);
        self.work.notify_one();
        Ok(cancelled)
    }

    /// Returns the output of a request.
    ///
    /// # Errors
    ///
    /// Fails when the order is fenced or the engine does not know the request.
    pub fn resume(&self, request_id: &str, fencing: u64) -> Result<Arc<Generation>, ApiError> {
        let mut state = self.state.lock();
        state.check_fencing(fencing)?;
        let Some(generation) = state.generations.get(request_id).cloned() else {
            let message = format!("the engine does not know request {request_id}");
            return Err(ApiError::new(404, "unknown_request", message));
        };
        generation.set_detached(None);
        state.audit.resumed += 1;
        Ok(generation)
    }

    /// Records that the connection that read an output is gone.
    pub fn detach(&self, generation: &Generation) {
        generation.set_detached(Some(self.clock.now_ms()));
    }

    /// Returns the names of the loaded instances.
    #[must_use]
    pub fn loaded(&self) -> Vec<String> {
        self.state.lock().slots.loaded().map(str::to_owned).collect()
    }

    /// Changes the role, if one is given, and returns it.
    ///
    /// # Errors
    ///
    /// Fails when the order is fenced.
    pub fn order_role(&self, order: &wire::RoleRequest, fencing: u64) -> Result<(), ApiError> {
        let mut state = self.state.lock();
        state.check_fencing(fencing)?;
        if let Some(role) = &order.role {
            state.switches.leaving = Some(role == "leaving");
        }
        Ok(())
    }

    /// Returns the role and size of the engine.
    #[must_use]
    pub fn role(&self) -> wire::RoleResponse {
        let state = self.state.lock();
        let is_leaving = state.switches.leaving == Some(true);
        wire::RoleResponse {
            role: if is_leaving { "leaving" } else { "serving" }.to_owned(),
            base_model: self.config.base_model.clone(),
            slots: self.config.slots,
            batch_places: self.config.batch_places,
            highest_fencing: state.highest_fencing,
            incarnation: self.config.incarnation,
        }
    }

    /// Returns the load as it was some time ago.
    #[must_use]
    pub fn load_report(&self) -> wire::LoadReport {
        self.state.lock().reports.at(self.clock.now_ms())
    }

    /// Returns cache events after a sequence that are old enough to be seen.
    #[must_use]
    pub fn cache_events(&self, after: u64) -> wire::CacheEvents {
        let until_ms = self.clock.now_ms().checked_sub(self.config.event_lag_ms);
        self.state.lock().cache_events.page(after, until_ms)
    }

    /// Changes faults and returns those in force.
    pub fn switch(&self, given: Switches) -> Switches {
        let mut state = self.state.lock();
        state.switches.merge(given);
        state.switches
    }

    /// Returns the faults in force.
    #[must_use]
    pub fn switches(&self) -> Switches {
        self.state.lock().switches
    }

    /// Returns what the engine saw.
    #[must_use]
    pub fn audit(&self) -> Audit {
        self.state.lock().audit.clone()
    }

    fn fetch_weights(&self, source: &str) -> Result<(), String> {
        if self.config.weights_url.is_empty() {
            thread::sleep(Duration::from_millis(self.config.load_ms));
            return Ok(());
        }
        let url = format!("{}/v1/weights/{source}", self.config.weights_url);
        let authorization = format!("Bearer {}", self.config.weights_key);
        let request = self.weights.get(url).header("authorization", authorization);
        request.call().map(|_| ()).map_err(|error| error.to_string())
    }
}
