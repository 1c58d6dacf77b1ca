//! Directory of teams and their keys.

use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::map::Entry;
use rustc_hash::{FxBuildHasher, FxHashMap, FxHashSet};

use super::{KeyDigest, Team};
use crate::name;

/// Immutable directory of the teams of one configuration version.
#[derive(Clone, Debug, Default)]
pub struct TeamDirectory {
    teams: IndexMap<name::TeamName, Arc<Team>, FxBuildHasher>,
    teams_by_key: FxHashMap<KeyDigest, Arc<Team>>,
    ambiguous_keys: FxHashSet<KeyDigest>,
}

impl TeamDirectory {
    /// Creates a directory of teams with their keys.
    ///
    /// A key of two teams authenticates neither, because requests with it could be charged to the wrong
    /// team. If a name is listed twice, the keys of both entries belong to the first one.
    #[must_use]
    pub fn new<Teams, Keys>(teams: Teams) -> Self
    where
        Teams: IntoIterator<Item = (Team, Keys)>,
        Keys: IntoIterator<Item = KeyDigest>,
    {
        let mut directory = Self::default();
        for (team, keys) in teams {
            let known = directory.teams.entry(team.name.clone());
            let team = Arc::clone(match known {
                Entry::Occupied(known) => known.into_mut(),
                Entry::Vacant(vacant) => vacant.insert(Arc::new(team)),
            });
            for key in keys {
                directory.add_key(key, &team);
            }
        }
        for key in &directory.ambiguous_keys {
            directory.teams_by_key.remove(key);
        }
        directory
    }

    fn add_key(&mut self, key: KeyDigest, team: &Arc<Team>) {
        let owner = self.teams_by_key.entry(key).or_insert_with(|| Arc::clone(team));
        if owner.name != team.name {
            self.ambiguous_keys.insert(key);
        }
    }

    /// Returns the team that a key belongs to.
    #[must_use]
    pub fn authenticate(&self, key: &KeyDigest) -> Option<&Arc<Team>> {
        self.teams_by_key.get(key)
    }

    /// Returns all teams in the order of the configuration.
    pub fn teams(&self) -> impl Iterator<Item = &Arc<Team>> {
        self.teams.values()
    }

    /// Returns the number of keys that authenticate a team.
    #[must_use]
    pub fn key_count(&self) -> usize {
        self.teams_by_key.len()
    }

    /// Returns the keys that are refused because two teams have them.
    pub fn ambiguous_keys(&self) -> impl Iterator<Item = &KeyDigest> {
        self.ambiguous_keys.iter()
    }
}
