//! State that daemons exchange by gossip.

use std::sync::Arc;

use indexmap::IndexMap;
use xxhash_rust::xxh3;

/// Number of buckets in an anti-entropy digest.
pub const DIGEST_BUCKETS: usize = 64;

/// Versioned state of one subject; a higher version replaces a lower one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipEntry<State> {
    /// Key of the entry.
    pub subject: Arc<str>,
    /// Version of the state.
    pub version: u64,
    /// Latest known state.
    pub state: State,
}

/// Result of merging a received entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The entry was newer than the stored one and must be forwarded.
    Applied,
    /// An entry with the same or a higher version was already stored.
    Stale,
}

/// Newest state of each subject, with a digest for anti-entropy comparison with other daemons.
///
/// Each bucket of the digest holds the XOR of the hashes of its subjects and versions. With 1,250
/// subjects a list of all versions takes 25 KB, the 64 bucket hashes take 512 bytes.
#[derive(Clone, Debug)]
pub struct GossipStore<State> {
    entries: IndexMap<Arc<str>, (u64, State)>,
    digest: [u64; DIGEST_BUCKETS],
}

impl<State> Default for GossipStore<State> {
    fn default() -> Self {
        Self { entries: IndexMap::new(), digest: [0; DIGEST_BUCKETS] }
    }
}

impl<State> GossipStore<State> {
    /// Returns the stored version of a subject.
    #[must_use]
    pub fn version(&self, subject: &str) -> Option<u64> {
        self.entries.get(subject).map(|(version, _)| *version)
    }

    /// Returns the number of subjects.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the store has no subjects.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Stores an entry unless its version is not higher than the stored one.
    pub fn merge(&mut self, entry: GossipEntry<State>) -> MergeOutcome {
        let GossipEntry { subject, version, state } = entry;
        let bucket = Self::bucket(&subject);
        if let Some((stored_version, _)) = self.entries.get(&subject) {
            if *stored_version >= version {
                return MergeOutcome::Stale;
            }
            self.digest[bucket] ^= Self::entry_hash(&subject, *stored_version);
        }
        self.digest[bucket] ^= Self::entry_hash(&subject, version);
        self.entries.insert(subject, (version, state));
        MergeOutcome::Applied
    }

    /// Removes a subject that no longer exists.
    pub fn remove(&mut self, subject: &str) {
        let Some((version, _)) = self.entries.swap_remove(subject) else { return };
        self.digest[Self::bucket(subject)] ^= Self::entry_hash(subject, version);
    }

    /// Returns one hash per bucket.
    #[must_use]
    pub fn digest(&self) -> &[u64; DIGEST_BUCKETS] {
        &self.digest
    }

    /// Returns the buckets in which `other` differs; buckets that it lacks count as different.
    #[must_use]
    pub fn differing_buckets(&self, other: &[u64]) -> Vec<usize> {
        (0..DIGEST_BUCKETS)
            .filter(|bucket| other.get(*bucket) != Some(&self.digest[*bucket]))
            .collect()
    }

    fn bucket(subject: &str) -> usize {
        (xxh3::xxh3_64(subject.as_bytes()) % DIGEST_BUCKETS as u64) as usize
    }

    fn entry_hash(subject: &str, version: u64) -> u64 {
        xxh3::xxh3_64_with_seed(subject.as_bytes(), version)
    }
}

impl<State> GossipStore<State>
where
    State: Clone,
{
    /// Returns the entries of the given buckets.
    #[must_use]
    pub fn entries_in_buckets(&self, buckets: &[usize]) -> Vec<GossipEntry<State>> {
        let mut entries = Vec::new();
        for (subject, (version, state)) in &self.entries {
            if !buckets.contains(&Self::bucket(subject)) {
                continue;
            }
            entries.push(GossipEntry {
                subject: Arc::clone(subject),
                version: *version,
                state: state.clone(),
            });
        }
        entries
    }
}
