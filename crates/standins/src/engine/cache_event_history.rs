//! Recent cache events, delivered late and with gaps.

use std::collections::VecDeque;

use jasminetack_wire::engine;

use super::prefix_cache::CacheChanges;

/// Events whose sequence number is a multiple of this are dropped.
const DROPPED_EVENT_INTERVAL: u64 = 7;
const MAX_EVENTS: usize = 4_096;

/// Recent cache events with the time of each.
#[derive(Debug, Default)]
pub struct CacheEventHistory {
    last_sequence: u64,
    events: VecDeque<(u64, engine::CacheEvent)>,
}

impl CacheEventHistory {
    /// Records changes to the cache.
    pub fn record(&mut self, changes: CacheChanges, now_ms: u64) {
        for (instance, prefix_hash) in changes.stored {
            self.push(instance, prefix_hash, true, now_ms);
        }
        for (instance, prefix_hash) in changes.removed {
            self.push(instance, prefix_hash, false, now_ms);
        }
    }

    /// Returns the events after sequence number `after` that were recorded no later than `until_ms`.
    #[must_use]
    pub fn page(&self, after: u64, until_ms: Option<u64>) -> engine::CacheEvents {
        let mut events = Vec::new();
        for (at_ms, event) in &self.events {
            if event.sequence <= after || until_ms.is_none_or(|until_ms| *at_ms > until_ms) {
                continue;
            }
            events.push(event.clone());
        }
        engine::CacheEvents { events }
    }

    fn push(&mut self, instance: String, prefix_hash: u64, stored: bool, now_ms: u64) {
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        if sequence.is_multiple_of(DROPPED_EVENT_INTERVAL) {
            return;
        }
        if self.events.len() >= MAX_EVENTS {
            self.events.pop_front();
        }
        self.events
            .push_back((now_ms, engine::CacheEvent { sequence, instance, prefix_hash, stored }));
    }
}
