//! Home side of a concurrency limit.

use indexmap::{IndexMap, IndexSet};

use super::Decision;
use crate::name;

/// Maximum time that a new home waits for holders to register their permits.
pub(super) const RECOVERY_WINDOW_MS: u64 = 1_000;

/// Permits of one row as recorded by its home.
///
/// A new home grants nothing until every live daemon has registered or the recovery window has ended.
/// It can exceed the ceiling only by permits that were not registered in that window.
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
    /// Creates the state of a new home. `live` daemons may hold permits of the former home and
    /// register them within the recovery window after the change at `membership_changed_ms`.
    pub fn start<Hosts>(ceiling: u32, live: Hosts, membership_changed_ms: u64) -> Self
    where
        Hosts: IntoIterator<Item = name::HostName>,
    {
        Self {
            ceiling,
            in_use: IndexMap::new(),
            unregistered: live.into_iter().collect(),
            recovery_ends_ms: membership_changed_ms + RECOVERY_WINDOW_MS,
        }
    }

    /// Sets the ceiling; permits in use above a lowered ceiling are not revoked.
    pub fn set_ceiling(&mut self, ceiling: u32) {
        self.ceiling = ceiling;
    }

    /// Returns the number of permits of all holders.
    #[must_use]
    pub fn in_use(&self) -> u32 {
        self.in_use.values().sum()
    }

    /// Records the number of permits that a holder has.
    pub fn register(&mut self, holder: &name::HostName, in_use: u32) {
        self.unregistered.shift_remove(holder);
        self.in_use.insert(holder.clone(), in_use);
    }

    /// Decides on a holder's request for one more permit.
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

    /// Records permits that a holder returned.
    pub fn release(&mut self, holder: &name::HostName, count: u32) {
        if let Some(in_use) = self.in_use.get_mut(holder) {
            *in_use = in_use.saturating_sub(count);
        }
    }

    /// Reclaims all permits of a daemon whose session lapsed or ended.
    pub fn remove_holder(&mut self, holder: &name::HostName) {
        self.unregistered.shift_remove(holder);
        self.in_use.shift_remove(holder);
    }
}
