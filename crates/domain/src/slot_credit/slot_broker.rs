//! Broker of the slots of one service in one region.

use indexmap::IndexMap;
use rustc_hash::FxBuildHasher;

use super::waiting_requests::{SlotsInUse, WaitingRequests};
use super::worker_slots::WorkerSlots;
use super::{Answer, CallEnd, CreditRequest, Decision, RequestKey};
use crate::name;

/// Multiple of the mean duration of a call after which a credit that was not returned expires.
const CREDIT_TTL_FACTOR: f64 = 10.0;
/// Bounds of that time. Workers may stall for some hundred ms, and a credit that expires too early sends
/// another call to a full worker.
const MIN_CREDIT_TTL_MS: f64 = 500.0;
const MAX_CREDIT_TTL_MS: f64 = 5_000.0;
/// Time for which the caller of a refused request is known as returning.
const REFUSED_TTL_MS: u64 = 3_000;
const MAX_REFUSED: usize = 512;
/// Most expired credits whose call may still end. A worker has 6 slots or so, so these are the calls of
/// some 10 s even if all credits of a service expire.
const MAX_EXPIRED: usize = 512;

/// Entry of a worker that may get calls.
#[derive(Clone, Copy, Debug)]
pub struct WorkerCapacity<'a> {
    /// The worker.
    pub worker: &'a name::WorkerName,
    /// Number of calls that it runs at once.
    pub slots: u32,
    /// Start of its process in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
}

/// Decisions of a broker since the counts were last taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BrokerCounts {
    /// Credits granted.
    pub granted: u64,
    /// Requests that had to wait.
    pub queued: u64,
    /// Requests for which no slot becomes free in time.
    pub refused: u64,
    /// Credits that were not returned.
    pub expired: u64,
}

#[derive(Clone, Debug)]
struct Credit {
    worker: name::WorkerName,
    team: Option<name::TeamName>,
    granted_ms: u64,
    expires_ms: u64,
}

/// Assigns calls to the workers of one service in one region.
#[derive(Clone, Debug, Default)]
pub struct SlotBroker {
    workers: IndexMap<name::WorkerName, WorkerSlots, FxBuildHasher>,
    credits: IndexMap<RequestKey, Credit, FxBuildHasher>,
    slots_in_use: SlotsInUse,
    waiting: WaitingRequests,
    /// Callers of refused requests, with the time until which they count as returning; oldest first.
    refused: IndexMap<u64, u64, FxBuildHasher>,
    /// Workers of expired credits whose calls have not ended; oldest first.
    expired: IndexMap<RequestKey, name::WorkerName, FxBuildHasher>,
    counts: BrokerCounts,
}

impl SlotBroker {
    /// Replaces the workers that may get calls, and assigns slots that became free.
    pub fn set_workers<'a, Workers>(&mut self, workers: Workers, now_ms: u64) -> Vec<Answer>
    where
        Workers: IntoIterator<Item = WorkerCapacity<'a>>,
    {
        let mut known = std::mem::take(&mut self.workers);
        for capacity in workers {
            let WorkerCapacity { worker, slots, started_unix_ms } = capacity;
            let mut current = known.swap_remove(worker).unwrap_or_else(|| {
                // The entry may have lapsed for a moment, during which calls go on.
                let calls = self.credits.values().filter(|credit| credit.worker == *worker).count();
                WorkerSlots::new(slots, started_unix_ms, u32::try_from(calls).unwrap_or(u32::MAX))
            });
            current.update(slots, started_unix_ms);
            self.workers.insert(worker.clone(), current);
        }
        self.assign_free_slots(now_ms)
    }

    /// Decides on a request. A repeat of a request with a credit gets the same answer again.
    pub fn request(&mut self, request: CreditRequest, now_ms: u64) -> Vec<Answer> {
        let key = request.key.clone();
        if let Some(credit) = self.credits.get(&key) {
            return vec![Answer { key, decision: Decision::Granted(credit.worker.clone()) }];
        }
        if self.waiting.contains(&key) {
            return Vec::new();
        }
        let mut answers = self.assign_free_slots(now_ms);
        if let Some(worker) = self.freest_worker(&request.excluded, now_ms) {
            answers.push(self.grant(request, &worker, now_ms));
            return answers;
        }
        let is_returning = self.is_returning(request.caller_hash, now_ms);
        let wait_ms = self.predict_wait_ms(&request, is_returning);
        let decision = match wait_ms {
            Some(wait_ms) if now_ms + wait_ms < request.wait_until_ms => {
                self.counts.queued += 1;
                self.waiting.insert(request, is_returning);
                Decision::Queued { wait_ms }
            }
            _ => {
                self.record_refusal(request.caller_hash, now_ms);
                Decision::NoSlot { wait_ms }
            }
        };
        answers.push(Answer { key, decision });
        answers
    }

    /// Applies the end of a call, or of a request that no longer waits, and assigns the slot that it
    /// leaves. The end of a call whose credit has expired only teaches.
    pub fn finish(&mut self, key: &RequestKey, end: CallEnd, now_ms: u64) -> Vec<Answer> {
        self.waiting.remove(key);
        let Some(credit) = self.credits.swap_remove(key) else {
            if let Some(worker) = self.expired.shift_remove(key) {
                self.learn(&worker, end, now_ms);
            }
            return Vec::new();
        };
        self.release_team_slot(&credit.team);
        if let Some(slots) = self.workers.get_mut(&credit.worker) {
            slots.finish(end, now_ms);
        }
        self.assign_free_slots(now_ms)
    }

    /// Learns from the end of a call that was sent without a credit of this broker.
    pub fn learn(&mut self, worker: &name::WorkerName, end: CallEnd, now_ms: u64) {
        if let Some(slots) = self.workers.get_mut(worker) {
            slots.learn(end, now_ms);
        }
    }

    /// Replaces what a daemon has in flight at each worker without a credit of this broker; workers that
    /// are not listed have none.
    ///
    /// A new broker learns from this what its predecessor granted.
    pub fn set_foreign_calls(
        &mut self,
        host: &name::HostName,
        calls: &[(name::WorkerName, u32)],
        now_ms: u64,
    ) {
        for (worker, slots) in &mut self.workers {
            let count =
                calls.iter().find(|(other, _)| other == worker).map_or(0, |(_, count)| *count);
            let until_ms = now_ms + credit_ttl_ms(slots);
            slots.set_foreign_calls(host, count, until_ms);
        }
    }

    /// Expires credits and waiting requests, and assigns the slots that become free.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Answer> {
        let mut answers = Vec::new();
        for request in self.waiting.take_expired(now_ms) {
            let wait_ms = self.predict_wait_ms(&request, true);
            self.record_refusal(request.caller_hash, now_ms);
            answers.push(Answer { key: request.key, decision: Decision::NoSlot { wait_ms } });
        }
        let expired = self.credits.extract_if(.., |_, credit| credit.expires_ms <= now_ms);
        let expired: Vec<_> = expired.collect();
        for (key, credit) in expired {
            self.counts.expired += 1;
            self.release_team_slot(&credit.team);
            if let Some(slots) = self.workers.get_mut(&credit.worker) {
                slots.expire_credit(credit.granted_ms, now_ms);
            }
            if self.expired.len() >= MAX_EXPIRED {
                self.expired.shift_remove_index(0);
            }
            self.expired.insert(key, credit.worker);
        }
        for slots in self.workers.values_mut() {
            slots.expire(now_ms);
        }
        answers.extend(self.assign_free_slots(now_ms));
        answers
    }

    /// Returns the decisions since the last call.
    pub fn take_counts(&mut self) -> BrokerCounts {
        std::mem::take(&mut self.counts)
    }

    /// Returns the number of credits that are not returned yet.
    #[must_use]
    pub fn credit_count(&self) -> usize {
        self.credits.len()
    }

    /// Returns the number of requests that wait for a slot.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Grants free slots to waiting requests in their order.
    fn assign_free_slots(&mut self, now_ms: u64) -> Vec<Answer> {
        let mut answers = Vec::new();
        // Workers whose free slots no waiting request may use.
        let mut unwanted = Vec::new();
        while !self.waiting.is_empty() {
            let Some(worker) = self.freest_worker(&unwanted, now_ms) else { break };
            match self.waiting.take_first(&worker, &self.slots_in_use, now_ms) {
                Some(request) => answers.push(self.grant(request, &worker, now_ms)),
                None => unwanted.push(worker),
            }
        }
        answers
    }

    /// Returns the worker with the most free slots; of equal ones the faster one.
    fn freest_worker(
        &self,
        excluded: &[name::WorkerName],
        now_ms: u64,
    ) -> Option<name::WorkerName> {
        let mut best: Option<(&name::WorkerName, u32, f64)> = None;
        for (worker, slots) in &self.workers {
            let (free, call_ms) = (slots.free(now_ms), slots.call_ms());
            if free == 0 || excluded.contains(worker) {
                continue;
            }
            let is_better = best.is_none_or(|(_, best_free, best_call_ms)| {
                free > best_free || free == best_free && call_ms < best_call_ms
            });
            if is_better {
                best = Some((worker, free, call_ms));
            }
        }
        best.map(|(worker, _, _)| worker.clone())
    }

    fn grant(&mut self, request: CreditRequest, worker: &name::WorkerName, now_ms: u64) -> Answer {
        let CreditRequest { key, team, caller_hash, .. } = request;
        let mut expires_ms = now_ms;
        if let Some(slots) = self.workers.get_mut(worker) {
            slots.add_credit();
            expires_ms += credit_ttl_ms(slots);
        }
        *self.slots_in_use.entry(team.clone()).or_default() += 1;
        self.refused.shift_remove(&caller_hash);
        self.counts.granted += 1;
        let credit = Credit { worker: worker.clone(), team, granted_ms: now_ms, expires_ms };
        self.credits.insert(key.clone(), credit);
        Answer { key, decision: Decision::Granted(worker.clone()) }
    }

    fn release_team_slot(&mut self, team: &Option<name::TeamName>) {
        let Some(in_use) = self.slots_in_use.get_mut(team) else { return };
        *in_use = in_use.saturating_sub(1);
        if *in_use == 0 {
            self.slots_in_use.swap_remove(team);
        }
    }

    /// Predicts when a slot becomes free for a request behind those that go before it; `None` if no
    /// worker may serve it.
    fn predict_wait_ms(&self, request: &CreditRequest, is_returning: bool) -> Option<u64> {
        let mut slots_per_ms = 0.0;
        for (worker, slots) in &self.workers {
            if !request.excluded.contains(worker) {
                slots_per_ms += f64::from(slots.slots()) / slots.call_ms().max(1.0);
            }
        }
        let ahead = self.waiting.count_ahead(request.urgency, is_returning) + 1;
        (slots_per_ms > 0.0).then(|| (ahead as f64 / slots_per_ms).ceil() as u64)
    }

    fn is_returning(&self, caller_hash: u64, now_ms: u64) -> bool {
        self.refused.get(&caller_hash).is_some_and(|until_ms| now_ms < *until_ms)
    }

    fn record_refusal(&mut self, caller_hash: u64, now_ms: u64) {
        self.counts.refused += 1;
        self.refused.shift_remove(&caller_hash);
        while let Some((_, until_ms)) = self.refused.first()
            && (*until_ms <= now_ms || self.refused.len() >= MAX_REFUSED)
        {
            self.refused.shift_remove_index(0);
        }
        self.refused.insert(caller_hash, now_ms + REFUSED_TTL_MS);
    }
}

/// Returns the time after which a credit for a worker expires.
fn credit_ttl_ms(slots: &WorkerSlots) -> u64 {
    let ttl_ms = slots.call_ms() * CREDIT_TTL_FACTOR;
    ttl_ms.clamp(MIN_CREDIT_TTL_MS, MAX_CREDIT_TTL_MS) as u64
}
