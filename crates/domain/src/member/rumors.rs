//! Events that spread from daemon to daemon.

use std::sync::Arc;

use indexmap::IndexMap;
use xxhash_rust::xxh3;

/// Buckets of the digest.
pub const DIGEST_BUCKETS: usize = 64;

/// State of one subject; a higher version replaces a lower one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rumor<State> {
    /// What the rumor is about.
    pub subject: Arc<str>,
    /// Version of the state.
    pub version: u64,
    /// The state.
    pub state: State,
}

/// What became of a rumor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Learned {
    /// It is new here and must be passed on.
    New,
    /// It was known already.
    Known,
}

/// The newest state of each subject, with a digest to compare with other daemons.
///
/// The digest has a fixed number of buckets, each with a combined hash of its subjects and versions.
/// With 1,250 subjects a list of all versions would take 25 KB; 64 bucket hashes take 512 bytes.
#[derive(Clone, Debug)]
pub struct Rumors<State> {
    known: IndexMap<Arc<str>, (u64, State)>,
    digest: [u64; DIGEST_BUCKETS],
}

impl<State> Default for Rumors<State> {
    fn default() -> Self {
        Self { known: IndexMap::new(), digest: [0; DIGEST_BUCKETS] }
    }
}

impl<State> Rumors<State> {
    /// Returns the version of a subject's state.
    #[must_use]
    pub fn version(&self, subject: &str) -> Option<u64> {
        self.known.get(subject).map(|(version, _)| *version)
    }

    /// Returns the number of subjects.
    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Tells whether no subject is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Records a state unless one at least as new is known.
    pub fn learn(&mut self, rumor: Rumor<State>) -> Learned {
        let Rumor { subject, version, state } = rumor;
        let bucket = Self::bucket(&subject);
        if let Some((known, _)) = self.known.get(&subject) {
            if *known >= version {
                return Learned::Known;
            }
            self.digest[bucket] ^= Self::mark(&subject, *known);
        }
        self.digest[bucket] ^= Self::mark(&subject, version);
        self.known.insert(subject, (version, state));
        Learned::New
    }

    /// Forgets a subject that no longer exists.
    pub fn forget(&mut self, subject: &str) {
        let Some((version, _)) = self.known.swap_remove(subject) else { return };
        self.digest[Self::bucket(subject)] ^= Self::mark(subject, version);
    }

    /// Returns one hash for each bucket.
    #[must_use]
    pub fn digest(&self) -> &[u64; DIGEST_BUCKETS] {
        &self.digest
    }

    /// Lists the buckets in which another digest differs; one of another length differs everywhere.
    #[must_use]
    pub fn differing(&self, other: &[u64]) -> Vec<usize> {
        (0..DIGEST_BUCKETS)
            .filter(|bucket| other.get(*bucket) != Some(&self.digest[*bucket]))
            .collect()
    }

    fn bucket(subject: &str) -> usize {
        (xxh3::xxh3_64(subject.as_bytes()) % DIGEST_BUCKETS as u64) as usize
    }

    fn mark(subject: &str, version: u64) -> u64 {
        xxh3::xxh3_64_with_seed(subject.as_bytes(), version)
    }
}

impl<State> Rumors<State>
where
    State: Clone,
{
    /// Lists the rumors of some buckets.
    #[must_use]
    pub fn in_buckets(&self, buckets: &[usize]) -> Vec<Rumor<State>> {
        let mut rumors = Vec::new();
        for (subject, (version, state)) in &self.known {
            if !buckets.contains(&Self::bucket(subject)) {
                continue;
            }
            rumors.push(Rumor {
                subject: Arc::clone(subject),
                version: *version,
                state: state.clone(),
            });
        }
        rumors
    }
}
