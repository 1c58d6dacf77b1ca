//! The engine: shared state, the step loop and downloads from the weight store.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use jasminetack_wire::engine as wire;
use parking_lot::{Condvar, Mutex};

use super::state::State;
use super::{ApiError, Audit, Config, Generation, GenerationRequest, Reservation, Switches};
use crate::clock;

/// Timeout for a download from the weight store.
const WEIGHTS_TIMEOUT: Duration = Duration::from_secs(60);

/// A model engine.
#[derive(Debug)]
pub struct Engine {
    config: Config,
    clock: clock::Clock,
    weights: ureq::Agent,
    state: Mutex<State>,
    work_available: Condvar,
    load_finished: Condvar,
}

impl Engine {
    /// Creates an engine; the caller runs [`run_steps`](Self::run_steps) on its own thread.
    #[must_use]
    pub fn new(config: Config) -> Self {
        let weights =
            ureq::Agent::config_builder().timeout_global(Some(WEIGHTS_TIMEOUT)).build().into();
        Self {
            clock: clock::Clock::start(),
            weights,
            state: Mutex::new(State::new(&config)),
            config,
            work_available: Condvar::new(),
            load_finished: Condvar::new(),
        }
    }

    /// Returns the configuration.
    #[must_use]
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Executes batch steps forever; blocks while the batch is idle.
    pub fn run_steps(&self) {
        let mut state = self.state.lock();
        loop {
            let Some((_, prefilled)) = state.begin_step(self.config.orphan_ms, self.clock.now_ms())
            else {
                self.work_available.wait(&mut state);
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

    /// Loads an adapter and blocks until it is loaded.
    ///
    /// # Errors
    ///
    /// Returns an error if the fencing number is stale, no slot is free, the instance has other
    /// weights or the download fails.
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
        let injected_failure = state.switches.take_failed_load();
        drop(state);
        let result = if injected_failure {
            Err("injected load failure".to_owned())
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
    /// Returns an error if the fencing number is stale or the adapter is not loaded.
    pub fn unload(&self, order: &wire::UnloadAdapter, fencing: u64) -> Result<(), ApiError> {
        let mut state = self.state.lock();
        state.check_fencing(fencing)?;
        state.unload(&order.lora_name, self.clock.now_ms())?;
        drop(state);
        self.work_available.notify_one();
        Ok(())
    }

    /// Enqueues a request.
    ///
    /// # Errors
    ///
    /// Returns an error if the fencing number is stale, the instance is not loaded or the engine is
    /// leaving.
    pub fn submit(
        &self,
        request: GenerationRequest,
        fencing: u64,
    ) -> Result<Arc<Generation>, ApiError> {
        let mut state = self.state.lock();
        state.check_fencing(fencing)?;
        let generation = state.submit(request, self.clock.now_ms())?;
        drop(state);
        self.work_available.notify_one();
        Ok(generation)
    }

    /// Cancels a request; returns whether it was waiting or running.
    ///
    /// # Errors
    ///
    /// Returns an error if the fencing number is stale.
    pub fn cancel(&self, request_id: &str, fencing: u64) -> Result<bool, ApiError> {
        let mut state = self.state.lock();
        state.check_fencing(fencing)?;
        let cancelled = state.cancel(request_id);
        drop(state);
        self.work_available.notify_one();
        Ok(cancelled)
    }

    /// Returns the output of a request and marks it as attached to a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the fencing number is stale or the request is unknown.
    pub fn resume(&self, request_id: &str, fencing: u64) -> Result<Arc<Generation>, ApiError> {
        let mut state = self.state.lock();
        state.check_fencing(fencing)?;
        let Some(generation) = state.generations.get(request_id).cloned() else {
            let message = format!("unknown request {request_id}");
            return Err(ApiError::new(404, "unknown_request", message));
        };
        generation.set_detached(None);
        state.audit.resumed += 1;
        Ok(generation)
    }

    /// Marks an output as detached after its connection was lost.
    pub fn detach(&self, generation: &Generation) {
        generation.set_detached(Some(self.clock.now_ms()));
    }

    /// Returns the names of the loaded instances.
    #[must_use]
    pub fn loaded(&self) -> Vec<String> {
        self.state.lock().slots.loaded().map(str::to_owned).collect()
    }

    /// Sets the role if the request contains one.
    ///
    /// # Errors
    ///
    /// Returns an error if the fencing number is stale.
    pub fn order_role(&self, order: &wire::RoleRequest, fencing: u64) -> Result<(), ApiError> {
        let mut state = self.state.lock();
        state.check_fencing(fencing)?;
        if let Some(role) = &order.role {
            state.switches.leaving = Some(role == "leaving");
        }
        Ok(())
    }

    /// Returns the role and the capacity of the engine.
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

    /// Returns the load with the configured staleness.
    #[must_use]
    pub fn load_report(&self) -> wire::LoadReport {
        self.state.lock().reports.at(self.clock.now_ms())
    }

    /// Returns the visible cache events after sequence number `after`.
    #[must_use]
    pub fn cache_events(&self, after: u64) -> wire::CacheEvents {
        let until_ms = self.clock.now_ms().checked_sub(self.config.event_lag_ms);
        self.state.lock().cache_events.page(after, until_ms)
    }

    /// Updates the injected faults and returns all active ones.
    pub fn switch(&self, given: Switches) -> Switches {
        let mut state = self.state.lock();
        state.switches.merge(given);
        state.switches
    }

    /// Returns the active faults.
    #[must_use]
    pub fn switches(&self) -> Switches {
        self.state.lock().switches
    }

    /// Returns the audit record.
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
