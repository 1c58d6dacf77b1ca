//! Continuous batching.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::Generation;

/// Waiting and running requests.
#[derive(Debug)]
pub struct Batch {
    max_running: usize,
    step_token_limit: u32,
    submitted: u64,
    waiting: BTreeMap<(i32, u64), Sequence>,
    running: Vec<Sequence>,
}

/// Scheduling state of one request.
#[derive(Debug)]
pub struct Sequence {
    /// Output of the request.
    pub generation: Arc<Generation>,
    remaining_prefill_tokens: u32,
    /// Tokens scheduled for the current step.
    scheduled_tokens: u32,
}

impl Batch {
    /// Creates an empty batch.
    #[must_use]
    pub fn new(max_running: usize, step_token_limit: u32) -> Self {
        Self {
            max_running,
            step_token_limit,
            submitted: 0,
            waiting: BTreeMap::new(),
            running: Vec::new(),
        }
    }

    /// Enqueues a request; lower priority values are admitted first.
    pub fn submit(&mut self, generation: Arc<Generation>, priority: i32) {
        self.submitted += 1;
        let uncached = generation.prompt_tokens().saturating_sub(generation.cached_tokens);
        let sequence =
            Sequence { generation, remaining_prefill_tokens: uncached.max(1), scheduled_tokens: 0 };
        self.waiting.insert((priority, self.submitted), sequence);
    }

    /// Admits waiting requests while the batch has capacity and returns the admitted ones.
    pub fn admit(&mut self) -> Vec<Arc<Generation>> {
        self.waiting.retain(|_, sequence| sequence.generation.finish_reason().is_none());
        let mut started = Vec::new();
        while self.running.len() < self.max_running
            && let Some((_, sequence)) = self.waiting.pop_first()
        {
            started.push(Arc::clone(&sequence.generation));
            self.running.push(sequence);
        }
        started
    }

    /// Schedules the tokens of a step: one per decoding request, the rest to prefill in order of
    /// admission. Returns the number of decode and prefill tokens.
    pub fn begin_step(&mut self) -> (u32, u32) {
        let mut available = self.step_token_limit;
        let mut generated = 0;
        for sequence in &mut self.running {
            sequence.scheduled_tokens = 0;
            if sequence.remaining_prefill_tokens == 0 && available > 0 {
                sequence.scheduled_tokens = 1;
                generated += 1;
                available -= 1;
            }
        }
        let mut prefilled = 0;
        for sequence in &mut self.running {
            let scheduled = sequence.remaining_prefill_tokens.min(available);
            sequence.scheduled_tokens += scheduled;
            prefilled += scheduled;
            available -= scheduled;
        }
        (generated, prefilled)
    }

    /// Finishes the step: each scheduled request whose prefill is complete produces a token.
    /// Returns the requests removed from the batch.
    pub fn finish_step(&mut self) -> Vec<Arc<Generation>> {
        for sequence in &mut self.running {
            if sequence.scheduled_tokens == 0 {
                continue;
            }
            sequence.remaining_prefill_tokens =
                sequence.remaining_prefill_tokens.saturating_sub(sequence.scheduled_tokens);
            if sequence.remaining_prefill_tokens == 0 {
                sequence.generation.push_token();
            }
        }
        self.remove_finished()
    }

    /// Removes finished requests from the batch and returns them.
    pub fn remove_finished(&mut self) -> Vec<Arc<Generation>> {
        let mut finished = Vec::new();
        self.running.retain(|sequence| {
            let is_finished = sequence.generation.finish_reason().is_some();
            if is_finished {
                finished.push(Arc::clone(&sequence.generation));
            }
            !is_finished
        });
        finished
    }

    /// Returns the waiting and running requests that have not finished.
    pub fn unfinished(&self) -> impl Iterator<Item = &Arc<Generation>> {
        let all = self.waiting.values().chain(&self.running);
        all.map(|sequence| &sequence.generation)
            .filter(|generation| generation.finish_reason().is_none())
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Returns whether no request is waiting or running.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }
}
