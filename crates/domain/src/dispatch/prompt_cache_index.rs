//! Which worker has read which parts of prompts.

use indexmap::IndexMap;
use rustc_hash::FxBuildHasher;

use crate::name;

/// Parts that are remembered; the oldest make room.
const MAX_SEGMENTS: usize = 4_096;
/// Time after which a worker is assumed to have given up a part.
const LIFETIME_MS: u64 = 20_000;

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    /// Identifier of the text.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// Remembers the parts of prompts that workers have read for an adapter.
#[derive(Clone, Debug, Default)]
pub struct PromptCacheIndex {
    /// Times of reading by worker and by the hash of adapter and parts up to this one.
    read: IndexMap<(name::WorkerName, u64), u64, FxBuildHasher>,
}

impl PromptCacheIndex {
    /// Records that a worker reads a prompt; its last part belongs to the request alone.
    pub fn record(
        &mut self,
        worker: &name::WorkerName,
        adapter: Option<&name::AdapterName>,
        parts: &[PromptSegment],
        now_ms: u64,
    ) {
        let Some((_, shared)) = parts.split_last() else { return };
        let mut chain = seed(adapter);
        for part in shared {
            chain = extend(chain, part.id);
            self.read.insert((worker.clone(), chain), now_ms);
        }
        while self.read.len() > MAX_SEGMENTS {
            self.read.shift_remove_index(0);
        }
    }

    /// Estimates the tokens of a prompt that a worker need not read again.
    #[must_use]
    pub fn cached_tokens(
        &self,
        worker: &name::WorkerName,
        adapter: Option<&name::AdapterName>,
        parts: &[PromptSegment],
        now_ms: u64,
    ) -> u32 {
        let Some((_, shared)) = parts.split_last() else { return 0 };
        let mut chain = seed(adapter);
        let mut kept = 0;
        for part in shared {
            chain = extend(chain, part.id);
            let Some(read_ms) = self.read.get(&(worker.clone(), chain)) else { break };
            if now_ms.saturating_sub(*read_ms) > LIFETIME_MS {
                break;
            }
            kept += part.tokens;
        }
        kept
    }
}

fn seed(adapter: Option<&name::AdapterName>) -> u64 {
    adapter.map_or(0, |adapter| xxhash_rust::xxh3::xxh3_64(adapter.as_str().as_bytes()))
}

fn extend(chain: u64, id: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&chain.to_le_bytes());
    bytes[8..].copy_from_slice(&id.to_le_bytes());
    xxhash_rust::xxh3::xxh3_64(&bytes)
}
