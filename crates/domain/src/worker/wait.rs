//! Waiting time of requests at a worker.

use super::{EvictionPolicy, Job, QueueDiscipline, Worker};

/// Expected duration of one load while the weight store is not saturated.
const EXPECTED_LOAD_MS: u64 = 250;
/// Interval between planning passes while a request waits for a slot.
const REPLAN_INTERVAL_MS: u64 = 100;

impl<Discipline, Policy> Worker<Discipline, Policy>
where
    Discipline: QueueDiscipline,
    Policy: EvictionPolicy,
{
    /// Returns when the next decision is due if no event occurs before; `None` if no request waits.
    #[must_use]
    pub fn next_decision_ms(&self, now_ms: u64) -> Option<u64> {
        let expiries = self.queue.jobs().iter().map(|job| {
            job.deadline_ms.min(job.submitted_ms.saturating_add(self.limits.max_queue_wait_ms))
        });
        let waits_for_load =
            self.queue.jobs().iter().any(|job| self.slots.find_usable(&job.adapter).is_none());
        expiries.chain(waits_for_load.then_some(now_ms + REPLAN_INTERVAL_MS)).min()
    }

    /// Predicts the wait of a request for its adapter and a batch place.
    #[must_use]
    pub fn predicted_wait_ms(&self, job: &Job, now_ms: u64) -> u64 {
        let load_ms =
            if self.slots.find_usable(&job.adapter).is_some() { 0 } else { EXPECTED_LOAD_MS };
        let places = self.limits.batch_places.max(1);
        if self.running.len() + self.queue.len() < places {
            return load_ms;
        }
        let queued_ahead = self.queue.jobs().iter();
        let queued_ahead = queued_ahead.filter(|other| other.aged_class(now_ms) <= job.class);
        let queued_tokens: u64 = queued_ahead.map(|other| other.cost_tokens).sum();
        let running_ms: f64 = self
            .running
            .values()
            .map(|running| running.remaining_ms(&self.service_time, now_ms))
            .sum();
        let place_ms =
            (self.service_time.estimate_ms(queued_tokens as f64) + running_ms) / places as f64;
        load_ms.max(place_ms as u64)
    }
}
