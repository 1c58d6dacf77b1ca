//! Bounded LRU prefix cache.

use indexmap::IndexSet;
use xxhash_rust::xxh3;

const BLOCK_TOKENS: u32 = 16;
const BLOCK_BYTES: usize = 4 * BLOCK_TOKENS as usize;

/// Cached prompt blocks in LRU order, least recently used first.
#[derive(Debug)]
pub struct PrefixCache {
    capacity_blocks: usize,
    blocks: IndexSet<(String, u64)>,
}

impl PrefixCache {
    /// Creates an empty cache.
    #[must_use]
    pub fn new(capacity_blocks: usize) -> Self {
        Self { capacity_blocks, blocks: IndexSet::new() }
    }

    /// Returns the length of the longest cached prefix of a prompt, in tokens.
    #[must_use]
    pub fn cached_tokens(&self, instance: &str, prompt: &str) -> u32 {
        let mut tokens = 0;
        for hash in block_hashes(prompt) {
            if !self.blocks.contains(&(instance.to_owned(), hash)) {
                break;
            }
            tokens += BLOCK_TOKENS;
        }
        tokens
    }

    /// Stores the blocks of a prompt; returns the inserted and evicted blocks.
    pub fn store(&mut self, instance: &str, prompt: &str) -> CacheChanges {
        let mut changes = CacheChanges::default();
        for hash in block_hashes(prompt) {
            let block = (instance.to_owned(), hash);
            if self.blocks.shift_remove(&block) {
                self.blocks.insert(block);
                continue;
            }
            changes.stored.push(block.clone());
            self.blocks.insert(block);
            if self.blocks.len() > self.capacity_blocks {
                changes.removed.extend(self.blocks.shift_remove_index(0));
            }
        }
        changes
    }

    /// Removes all blocks of an instance and returns them.
    pub fn remove_instance(&mut self, instance: &str) -> CacheChanges {
        let removed = self.blocks.iter().filter(|(name, _)| name == instance).cloned().collect();
        self.blocks.retain(|(name, _)| name != instance);
        CacheChanges { stored: Vec::new(), removed }
    }
}

/// Inserted and removed blocks, as instance and hash of the prompt up to the end of the block.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheChanges {
    /// Inserted blocks.
    pub stored: Vec<(String, u64)>,
    /// Evicted or removed blocks.
    pub removed: Vec<(String, u64)>,
}

fn block_hashes(prompt: &str) -> impl Iterator<Item = u64> {
    let bytes = prompt.as_bytes();
    (1..=bytes.len() / BLOCK_BYTES).map(|count| xxh3::xxh3_64(&bytes[..count * BLOCK_BYTES]))
}
