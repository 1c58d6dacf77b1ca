//! Predictions of the times of a request on one worker.

use super::chooser::{CONFIRMATION_COST_MS, LOADING_COST_MS, MIN_LOAD_COST_MS};
use super::{
    AdapterState, Candidate, ChoiceRequest, Chooser, Estimate, PrefixEstimate, WorkerMemory,
};
use crate::name;
use crate::upstream;

impl Chooser {
    /// Predicts the times of a request that can be sent to a worker after `wait_ms`.
    pub(super) fn estimate(
        &self,
        choice: &ChoiceRequest<'_>,
        candidate: &Candidate<'_>,
        wait_ms: u64,
        now_ms: u64,
    ) -> Estimate {
        let wait_ms = wait_ms as f64;
        if !choice.size.is_generation() {
            return Estimate { queue_ms: wait_ms, ..Estimate::default() };
        }
        let adapter_wait_ms = match candidate.adapter {
            AdapterState::Resident => 0.0,
            AdapterState::Unconfirmed => CONFIRMATION_COST_MS,
            AdapterState::Loading => LOADING_COST_MS,
            AdapterState::Absent { wait_ms, .. } => f64::from(wait_ms) + MIN_LOAD_COST_MS,
        };
        Estimate {
            adapter_wait_ms,
            // The worker goes on with its queue while the request waits.
            queue_ms: self.remaining_queue_ms(candidate.upstream, now_ms).max(wait_ms),
            prefill_ms: self.prefill_ms(choice, candidate.upstream, now_ms),
            generation_ms: self.generation_time.predict_ms(choice.size.answer_tokens),
        }
    }

    /// Predicts how long a worker takes for the load that was reported.
    pub(super) fn queue_ms(&self, upstream: &upstream::Upstream) -> f64 {
        let (requests, unread_tokens) = self.loads.outstanding(&upstream.name);
        self.time_of_load_ms(f64::from(requests), f64::from(unread_tokens), upstream)
    }

    /// Predicts how long a worker takes for what is left of that load: a request is not refused
    /// because of load that has passed since the report.
    pub(super) fn remaining_queue_ms(&self, upstream: &upstream::Upstream, now_ms: u64) -> f64 {
        let request_ms = self.generation_time.mean_ms();
        let tokens_per_ms = self.prefill_rate.tokens_per_ms(&upstream.service);
        let (requests, unread_tokens) =
            self.loads.remaining(&upstream.name, tokens_per_ms, request_ms, now_ms);
        self.time_of_load_ms(requests, unread_tokens, upstream)
    }

    pub(super) fn time_of_load_ms(
        &self,
        requests: f64,
        unread_tokens: f64,
        upstream: &upstream::Upstream,
    ) -> f64 {
        // With all slots in use, one becomes free at this interval on average.
        let slot_ms = self.generation_time.mean_ms() / f64::from(upstream.slots.max(1));
        let beyond = (requests + 1.0 - f64::from(upstream.slots)).max(0.0);
        unread_tokens / self.prefill_rate.tokens_per_ms(&upstream.service) + beyond * slot_ms
    }

    /// Returns the state of a worker's memory.
    pub(super) fn memory(
        &self,
        choice: &ChoiceRequest<'_>,
        worker: &name::WorkerName,
    ) -> WorkerMemory {
        WorkerMemory {
            capacity_tokens: choice.memory_capacity_tokens,
            in_flight_tokens: self.loads.memory_tokens(worker),
            request_ms: self.generation_time.mean_ms(),
        }
    }

    /// Estimates what a worker holds of the prompt of the request.
    pub(super) fn prefix(
        &self,
        choice: &ChoiceRequest<'_>,
        upstream: &upstream::Upstream,
        now_ms: u64,
    ) -> PrefixEstimate {
        let memory = self.memory(choice, &upstream.name);
        let (adapter, parts) = (choice.adapter, choice.parts);
        let held_tokens = self.prompt_cache.cached_tokens(
            &upstream.name,
            adapter,
            parts,
            memory.retention_ms(),
            now_ms,
        );
        let held_tokens = held_tokens.min(choice.size.prompt_tokens);
        let tokens_per_ms = self.prefill_rate.tokens_per_ms(&upstream.service);
        PrefixEstimate {
            held_tokens,
            unread_tokens: choice.size.prompt_tokens - held_tokens,
            saved_ms: f64::from(held_tokens) / tokens_per_ms,
            room_tokens: memory.room_tokens(),
        }
    }

    /// Predicts how long a worker reads the prompt of the request.
    pub(super) fn prefill_ms(
        &self,
        choice: &ChoiceRequest<'_>,
        upstream: &upstream::Upstream,
        now_ms: u64,
    ) -> f64 {
        let unread_tokens = self.prefix(choice, upstream, now_ms).unread_tokens;
        f64::from(unread_tokens) / self.prefill_rate.tokens_per_ms(&upstream.service)
    }
}
