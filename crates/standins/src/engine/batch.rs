//! Continuous batching.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::Generation;

/// Requests that wait and run.
#[derive(Debug)]
pub struct Batch {
    places: usize,
    step_token_limit: u32,
    arrivals: u64,
    waiting: BTreeMap<(i32, u64), Sequence>,
    running: Vec<Sequence>,
}

/// One request in the batch.
#[derive(Debug)]
pub struct Sequence {
    /// Output of the request.
    pub generation: Arc<Generation>,
    remaining_prefill_tokens: u32,
    /// Tokens that the present step processes.
    scheduled_tokens: u32,
}

impl Batch {
    /// Creates an empty batch.
    #[must_use]
    pub fn new(places: usize, step_token_limit: u32) -> Self {
        Self {
            places,
            step_token_limit,
            arrivals: 0,
            waiting: BTreeMap::new(),
            running: Vec::new(),
        }
    }

    /// Adds a request; a lower priority value enters the batch first.
    pub fn submit(&mut self, generation: Arc<Generation>, priority: i32) {
        self.arrivals += 1;
        let uncached = generation.prompt_tokens().saturating_sub(generation.cached_tokens);
        let sequence =
            Sequence { generation, remaining_prefill_tokens: uncached.max(1), scheduled_tokens: 0 };
        self.waiting.insert((priority, self.arrivals), sequence);
    }

    /// Fills free places from the queue and returns the requests that started.
    pub fn admit(&mut self) -> Vec<Arc<Generation>> {
        self.waiting.retain(|_, sequence| sequence.generation.ended().is_none());
        let mut started = Vec::new();
        while self.running.len() < self.places
            && let Some((_, sequence)) = self.waiting.pop_first()
        {
            started.push(Arc::clone(&sequence.generation));
            self.running.push(sequence);
        }
        started
    }

    /// Divides the step's tokens, one to each request that generates and the rest to prompts in
    /// order of admission; returns the tokens of generation and of prefill.
    pub fn begin_step(&mut self) -> (u32, u32) {
        let mut left = self.step_token_limit;
        let mut generated = 0;
        for sequence in &mut self.running {
            sequence.scheduled_tokens = 0;
            if sequence.remaining_prefill_tokens == 0 && left > 0 {
                sequence.scheduled_tokens = 1;
                generated += 1;
                left -= 1;
            }
        }
        let mut prefilled = 0;
        for sequence in &mut self.running {
            let granted = sequence.remaining_prefill_tokens.min(left);
            sequence.scheduled_tokens += granted;
            prefilled += granted;
            left -= granted;
        }
        (generated, prefilled)
    }

    /// Ends the step: each request that generates or has its whole prompt processed gets a token.
    /// Returns the requests that left the batch.
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
        self.remove_ended()
    }

    /// Removes requests that ended and returns them.
    pub fn remove_ended(&mut self) -> Vec<Arc<Generation>> {
        let mut ended = Vec::new();
        self.running.retain(|sequence| {
            let is_ended = sequence.generation.ended().is_some();
            if is_ended {
                ended.push(Arc::clone(&sequence.generation));
            }
            !is_ended
        });
        ended
    }

    /// Returns the requests that wait and run and have not ended.
    pub fn unfinished(&self) -> impl Iterator<Item = &Arc<Generation>> {
        let all = self.waiting.values().chain(&self.running);
        all.map(|sequence| &sequence.generation).filter(|generation| generation.ended().is_none())
    }

    /// Returns how many requests wait.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Returns how many requests run.
    #[must_use]
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Tells whether there is nothing to do.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }
}
