//! Index of the prompt prefixes that workers are assumed to have cached.

use indexmap::IndexMap;
use rustc_hash::FxBuildHasher;

use super::{PromptSegment, SegmentId};
use crate::name;

/// Maximum number of entries; the oldest are evicted first.
const MAX_SEGMENTS: usize = 4_096;

/// Tracks the prompt prefixes that workers have prefilled for an adapter.
#[derive(Clone, Debug, Default)]
pub struct PromptCacheIndex {
    /// Times of prefill by worker and by hash of the adapter and all segments up to this one.
    prefilled: IndexMap<(name::WorkerName, u64), u64, FxBuildHasher>,
}

impl PromptCacheIndex {
    /// Records the prompt of a request; its last segment is unique to the request and not shared.
    pub fn record(
        &mut self,
        worker: &name::WorkerName,
        adapter: Option<&name::AdapterName>,
        segments: &[PromptSegment],
        now_ms: u64,
    ) {
        let mut chain = seed(adapter);
        for segment in PromptSegment::shared(segments) {
            chain = extend(chain, segment.id);
            self.prefilled.insert((worker.clone(), chain), now_ms);
        }
        while self.prefilled.len() > MAX_SEGMENTS {
            self.prefilled.shift_remove_index(0);
        }
    }

    /// Estimates how many tokens of a prompt a worker has cached if it holds segments for `retention_ms`.
    #[must_use]
    pub fn cached_tokens(
        &self,
        worker: &name::WorkerName,
        adapter: Option<&name::AdapterName>,
        segments: &[PromptSegment],
        retention_ms: u64,
        now_ms: u64,
    ) -> u32 {
        let mut chain = seed(adapter);
        let mut cached = 0;
        for segment in PromptSegment::shared(segments) {
            chain = extend(chain, segment.id);
            let Some(prefilled_ms) = self.prefilled.get(&(worker.clone(), chain)) else { break };
            if now_ms.saturating_sub(*prefilled_ms) > retention_ms {
                break;
            }
            cached += segment.tokens;
        }
        cached
    }
}

fn seed(adapter: Option<&name::AdapterName>) -> u64 {
    adapter.map_or(0, |adapter| xxhash_rust::xxh3::xxh3_64(adapter.as_str().as_bytes()))
}

fn extend(chain: u64, id: SegmentId) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&chain.to_le_bytes());
    bytes[8..].copy_from_slice(&u64::from(id).to_le_bytes());
    xxhash_rust::xxh3::xxh3_64(&bytes)
}
