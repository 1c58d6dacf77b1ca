//! Engine state protected by a mutex.

use std::collections::BTreeMap;
use std::sync::Arc;

use indexmap::IndexMap;
use jasminetack_wire::engine as wire;

use super::{
    ApiError, Audit, Batch, CacheEventHistory, Config, FinishReason, Generation, GenerationRequest,
    LoadReportHistory, PrefixCache, Reservation, Slots, SlotsError, Switches,
};

/// Requests kept for `/resume` and `/cancel`.
const MAX_GENERATIONS: usize = 4_096;

/// Engine state protected by a mutex.
#[derive(Debug)]
pub struct State {
    pub slots: Slots,
    pub batch: Batch,
    pub cache: PrefixCache,
    pub cache_events: CacheEventHistory,
    pub reports: LoadReportHistory,
    pub switches: Switches,
    pub audit: Audit,
    pub highest_fencing: u64,
    pub generations: IndexMap<String, Arc<Generation>>,
    refuses_old_fencing: bool,
    step_token_limit: u32,
    step_tokens: u32,
}

impl State {
    /// Creates the initial state.
    pub fn new(config: &Config) -> Self {
        Self {
            slots: Slots::new(config.slots),
            batch: Batch::new(config.batch_places, config.step_token_limit),
            cache: PrefixCache::new(config.cache_blocks),
            cache_events: CacheEventHistory::default(),
            reports: LoadReportHistory::new(config.report_lag_ms),
            switches: Switches::default(),
            audit: Audit { step_token_limit: config.step_token_limit, ..Audit::default() },
            highest_fencing: 0,
            generations: IndexMap::new(),
            refuses_old_fencing: config.refuses_old_fencing,
            step_token_limit: config.step_token_limit,
            step_tokens: 0,
        }
    }

    /// Records the fencing number; rejects a stale one if the engine is configured to do so.
    pub fn check_fencing(&mut self, fencing: u64) -> Result<(), ApiError> {
        *self.audit.orders_by_fencing.entry(fencing).or_default() += 1;
        if !self.refuses_old_fencing {
            return Ok(());
        }
        if fencing < self.highest_fencing {
            self.audit.fenced += 1;
            let highest = self.highest_fencing;
            let message = format!("fencing number {fencing} is below {highest}");
            return Err(ApiError::new(412, "fenced", message));
        }
        self.highest_fencing = fencing;
        Ok(())
    }

    /// Reserves a slot for a load.
    pub fn reserve(&mut self, order: &wire::LoadAdapter) -> Result<Reservation, ApiError> {
        self.slots.reserve(&order.lora_name, &order.lora_path).map_err(|error| match error {
            SlotsError::Full => {
                self.audit.loads_without_slot += 1;
                ApiError::new(409, "no_free_slot", "every slot is taken".to_owned())
            }
            SlotsError::OtherWeights => {
                let message = format!("{} is loaded with other weights", order.lora_name);
                ApiError::new(400, "other_weights", message)
            }
        })
    }

    /// Unloads an instance; requests still using it are aborted and recorded as violations.
    pub fn unload(&mut self, name: &str, now_ms: u64) -> Result<(), ApiError> {
        if !self.slots.unload(name) {
            let message = format!("The lora adapter '{name}' cannot be found.");
            return Err(ApiError::new(404, "not_loaded", message));
        }
        self.audit.unloads += 1;
        let changes = self.cache.remove_instance(name);
        self.cache_events.record(changes, now_ms);
        for generation in self.batch.unfinished() {
            if generation.instance == name && generation.finish(FinishReason::Unloaded) {
                let violation = format!("unload of {name} in use by {}", generation.request_id);
                self.audit.violations.push(violation);
            }
        }
        Ok(())
    }

    /// Enqueues a request.
    pub fn submit(
        &mut self,
        request: GenerationRequest,
        now_ms: u64,
    ) -> Result<Arc<Generation>, ApiError> {
        if self.switches.leaving == Some(true) {
            return Err(ApiError::new(503, "leaving", "the engine is leaving".to_owned()));
        }
        let Some(source) = self.slots.source(&request.instance) else {
            self.audit.not_loaded += 1;
            let message = format!("The model `{}` does not exist.", request.instance);
            return Err(ApiError::new(404, "not_loaded", message));
        };
        let cached_tokens = self.cache.cached_tokens(&request.instance, &request.prompt);
        let priority = request.priority;
        let generation = Arc::new(Generation::new(request, source, cached_tokens));
        self.batch.submit(Arc::clone(&generation), priority);
        if self.generations.len() >= MAX_GENERATIONS {
            self.generations.shift_remove_index(0);
        }
        self.generations.insert(generation.request_id.clone(), Arc::clone(&generation));
        self.record_load(now_ms);
        Ok(generation)
    }

    /// Cancels a request; returns `false` if it is unknown or has already finished.
    pub fn cancel(&mut self, request_id: &str) -> bool {
        let generation = self.generations.get(request_id);
        let cancelled =
            generation.is_some_and(|generation| generation.finish(FinishReason::Cancelled));
        if cancelled {
            self.audit.cancelled += 1;
        }
        cancelled
    }

    /// Cancels orphaned requests, admits waiting ones and schedules a step. Returns the number of
    /// decode and prefill tokens, or `None` if the batch is idle.
    pub fn begin_step(&mut self, orphan_ms: u64, now_ms: u64) -> Option<(u32, u32)> {
        for generation in self.batch.unfinished() {
            let detached_at_ms = generation.detached_at_ms();
            if detached_at_ms.is_some_and(|at_ms| at_ms + orphan_ms <= now_ms)
                && generation.finish(FinishReason::Cancelled)
            {
                self.audit.cancelled += 1;
            }
        }
        self.batch.remove_finished();
        for generation in self.batch.admit() {
            *self.audit.runs.entry(generation.request_id.clone()).or_default() += 1;
            let instance = generation.instance.clone();
            self.audit.ran_on.insert(generation.request_id.clone(), instance);
            self.audit.cached_tokens += u64::from(generation.cached_tokens);
            let changes = self.cache.store(&generation.instance, &generation.prompt);
            self.cache_events.record(changes, now_ms);
        }
        if self.batch.is_idle() {
            self.step_tokens = 0;
            self.record_load(now_ms);
            return None;
        }
        let (generated, prefilled) = self.batch.begin_step();
        self.step_tokens = generated + prefilled;
        self.audit.steps += 1;
        self.audit.generated_tokens += u64::from(generated);
        self.audit.prefilled_tokens += u64::from(prefilled);
        self.record_load(now_ms);
        Some((generated, prefilled))
    }

    /// Finishes the current step.
    pub fn finish_step(&mut self, now_ms: u64) {
        for generation in self.batch.finish_step() {
            if generation.finish_reason() == Some(FinishReason::Complete) {
                self.audit.completed += 1;
            }
        }
        self.record_load(now_ms);
    }

    fn record_load(&mut self, now_ms: u64) {
        let mut in_use = BTreeMap::<String, usize>::new();
        for generation in self.batch.unfinished() {
            *in_use.entry(generation.instance.clone()).or_default() += 1;
        }
        let report = wire::LoadReport {
            waiting: self.batch.waiting_count(),
            running: self.batch.running_count(),
            in_use,
            step_tokens: self.step_tokens,
            step_token_limit: self.step_token_limit,
            age_ms: 0,
        };
        self.reports.record(report, now_ms);
    }
}
