//! Requests that wait for a slot.

use std::cmp::Reverse;

use indexmap::IndexMap;
use rustc_hash::FxBuildHasher;

use super::{CreditRequest, RequestKey};
use crate::name;

/// Requests that wait for a slot of a service.
///
/// Order: most urgent first; of the same urgency those of returning callers first, then those of the
/// team with the fewest slots in use, then the earliest deadline.
#[derive(Clone, Debug, Default)]
pub struct WaitingRequests {
    requests: IndexMap<RequestKey, Waiting, FxBuildHasher>,
}

#[derive(Clone, Debug)]
struct Waiting {
    request: CreditRequest,
    is_returning: bool,
}

/// Slots in use by team.
pub(super) type SlotsInUse = IndexMap<Option<name::TeamName>, u32, FxBuildHasher>;

impl WaitingRequests {
    /// Adds a request; `is_returning` states that its caller was refused before.
    pub fn insert(&mut self, request: CreditRequest, is_returning: bool) {
        self.requests.insert(request.key.clone(), Waiting { request, is_returning });
    }

    /// Removes a request; returns whether it was waiting.
    pub fn remove(&mut self, key: &RequestKey) -> bool {
        self.requests.swap_remove(key).is_some()
    }

    /// Returns whether a request is waiting.
    #[must_use]
    pub fn contains(&self, key: &RequestKey) -> bool {
        self.requests.contains_key(key)
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether no request is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns how many waiting requests go before a new one, which counts as the last of its rank.
    #[must_use]
    pub fn count_ahead(&self, urgency: u8, is_returning: bool) -> usize {
        let rank = (urgency, Reverse(is_returning));
        let ranks = self.requests.values();
        let ranks = ranks.map(|waiting| (waiting.request.urgency, Reverse(waiting.is_returning)));
        ranks.filter(|other| *other <= rank).count()
    }

    /// Takes the first request that may use a worker and can still be answered in time.
    pub(super) fn take_first(
        &mut self,
        worker: &name::WorkerName,
        slots_in_use: &SlotsInUse,
        now_ms: u64,
    ) -> Option<CreditRequest> {
        let mut first: Option<(usize, _)> = None;
        for (index, waiting) in self.requests.values().enumerate() {
            let request = &waiting.request;
            if request.wait_until_ms <= now_ms || request.excluded.contains(worker) {
                continue;
            }
            let in_use = slots_in_use.get(&request.team).copied().unwrap_or(0);
            let rank = (
                request.urgency,
                Reverse(waiting.is_returning),
                in_use,
                request.wait_until_ms,
                &request.key,
            );
            if first.as_ref().is_none_or(|(_, other)| rank < *other) {
                first = Some((index, rank));
            }
        }
        let (index, _) = first?;
        self.requests.swap_remove_index(index).map(|(_, waiting)| waiting.request)
    }

    /// Removes and returns the requests whose time is over.
    pub fn take_expired(&mut self, now_ms: u64) -> Vec<CreditRequest> {
        let mut expired = Vec::new();
        self.requests.retain(|_, waiting| {
            let is_expired = waiting.request.wait_until_ms <= now_ms;
            if is_expired {
                expired.push(waiting.request.clone());
            }
            !is_expired
        });
        expired
    }
}
