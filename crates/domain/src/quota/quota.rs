//! Home side of a ceiling.

use indexmap::{IndexMap, IndexSet};

use super::Decision;
use crate::name;

/// Longest wait for holders to register the permits they use after the home moved.
pub(super) const RECOVERY_MS: u64 = 1_000;

/// Permits of one row, as its home knows them.
///
/// A home that takes over grants nothing until every live daemon registered or the recovery time
/// ended, so that it overshoots the ceiling at most by permits that were not registered in time.
///
/// ```
/// use jasminetack_domain::name;
/// use jasminetack_domain::quota;
///
/// let host = name::HostName::from("e1");
/// let mut home = quota::Quota::start(1, [host.clone()], 0);
/// home.register(&host, 0);
/// assert_eq!(home.request(&host, 5), quota::Decision::Granted);
/// assert_eq!(home.request(&host, 6), quota::Decision::Denied);
/// home.release(&host, 1);
/// assert_eq!(home.request(&host, 7), quota::Decision::Granted);
/// ```
#[derive(Clone, Debug)]
pub struct Quota {
    ceiling: u32,
    in_use: IndexMap<name::HostName, u32>,
    unregistered: IndexSet<name::HostName>,
    recovery_ends_ms: u64,
}

impl Quota {
    /// Starts as the home of a row; `live` daemons may hold permits of a former home, and register
    /// them within the recovery time after the homes moved at `moved_ms`.
    pub fn start<Hosts>(ceiling: u32, live: Hosts, moved_ms: u64) -> Self
    where
        Hosts: IntoIterator<Item = name::HostName>,
    {
        Self {
            ceiling,
            in_use: IndexMap::new(),
            unregistered: live.into_iter().collect(),
            recovery_ends_ms: moved_ms + RECOVERY_MS,
        }
    }

    /// Changes the ceiling; permits in use above it are not taken back.
    pub fn set_ceiling(&mut self, ceiling: u32) {
        self.ceiling = ceiling;
    }

    /// Returns the permits in use by all holders.
    #[must_use]
    pub fn in_use(&self) -> u32 {
        self.in_use.values().sum()
    }

    /// Records the permits that a holder uses.
    pub fn register(&mut self, holder: &name::HostName, in_use: u32) {
        self.unregistered.shift_remove(holder);
        self.in_use.insert(holder.clone(), in_use);
    }

    /// Decides on one more permit for a holder.
    pub fn request(&mut self, holder: &name::HostName, now_ms: u64) -> Decision {
        if !self.unregistered.is_empty() && now_ms < self.recovery_ends_ms {
            return Decision::NotReady;
        }
        if self.in_use() >= self.ceiling {
            return Decision::Denied;
        }
        *self.in_use.entry(holder.clone()).or_default() += 1;
        Decision::Granted
    }

    /// Takes back permits.
    pub fn release(&mut self, holder: &name::HostName, count: u32) {
        if let Some(in_use) = self.in_use.get_mut(holder) {
            *in_use = in_use.saturating_sub(count);
        }
    }

    /// Takes back all permits of a daemon whose session lapsed or ended.
    pub fn forget(&mut self, holder: &name::HostName) {
        self.unregistered.shift_remove(holder);
        self.in_use.shift_remove(holder);
    }
}
