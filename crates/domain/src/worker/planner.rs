//! Selection of the adapters to load and the instances to unload.

use super::adapter_history::AdapterHistory;
use super::slots::Slots;
use super::{EvictionPolicy, Job, LoadOrder, Plan, Slot, SlotState, UnloadOrder};
use crate::adapter;
use crate::name;

/// Waiting time after which a request that finds every slot in use causes one of them to be drained,
/// so that popular adapters do not starve the others.
const DRAIN_AFTER_WAIT_MS: u64 = 2_000;

/// State of a worker that one planning pass reads and updates.
pub struct Planner<'a, Policy> {
    pub slots: &'a mut Slots,
    pub jobs: &'a [Job],
    pub history: &'a AdapterHistory,
    pub eviction_policy: &'a Policy,
    pub slot_count: usize,
    pub max_loads: usize,
    pub now_ms: u64,
}

/// An adapter that is not loaded, with the first waiting request that needs it.
#[derive(Clone, Debug)]
struct WantedAdapter {
    adapter: adapter::AdapterRef,
    request_id: name::RequestId,
    waited_ms: u64,
}

impl<Policy> Planner<'_, Policy>
where
    Policy: EvictionPolicy,
{
    /// Plans the loads that requests wait for; prefetches into free slots if no request waits for a
    /// load.
    pub fn plan(mut self, prefetches: &mut Vec<adapter::AdapterRef>) -> Plan {
        let mut plan = Plan::default();
        self.retry_unloads(&mut plan);
        let wanted = self.wanted();
        let mut free_slots = self.slot_count.saturating_sub(self.slots.all().len());
        let mut unloading = self
            .count(|slot| matches!(slot.state(), SlotState::Unloading | SlotState::UnloadFailed));
        let mut draining = self.count(Slot::is_draining);
        for (index, want) in wanted.iter().enumerate() {
            if free_slots > 0 {
                free_slots -= 1;
                if plan.loads.len() < self.max_loads {
                    let also_wanted = wanted[index + 1..].iter();
                    let also_wanted = also_wanted.map(|other| other.adapter.clone()).collect();
                    let request_id = Some(want.request_id.clone());
                    plan.loads.push(self.load(&want.adapter, request_id, also_wanted));
                }
                continue;
            }
            if unloading > 0 {
                unloading -= 1;
                continue;
            }
            // An eviction without a load in the budget would only leave a slot empty.
            if plan.loads.len() + plan.unloads.len() >= self.max_loads {
                continue;
            }
            if let Some(order) = self.evict(&want.request_id) {
                plan.unloads.push(order);
                continue;
            }
            if draining > 0 {
                draining -= 1;
                continue;
            }
            if want.waited_ms >= DRAIN_AFTER_WAIT_MS {
                self.start_draining();
            }
        }
        if draining > 0 {
            self.stop_draining();
        }
        if wanted.is_empty() {
            self.prefetch(prefetches, free_slots, &mut plan);
        }
        plan
    }

    /// Lists the adapters that requests wait for, ordered by aged class and then by arrival.
    fn wanted(&self) -> Vec<WantedAdapter> {
        let mut jobs: Vec<&Job> = self.jobs.iter().collect();
        jobs.sort_by_key(|job| (job.aged_class(self.now_ms), job.submitted_ms));
        let mut wanted = Vec::<WantedAdapter>::new();
        for job in jobs {
            if wanted.iter().any(|want| want.adapter == job.adapter) || !self.is_loadable(job) {
                continue;
            }
            wanted.push(WantedAdapter {
                adapter: job.adapter.clone(),
                request_id: job.request_id.clone(),
                waited_ms: job.waited_ms(self.now_ms),
            });
        }
        wanted
    }

    fn is_loadable(&self, job: &Job) -> bool {
        !self.slots.has_usable_or_loading(&job.adapter)
            && !self.slots.has_instance_for(&job.adapter)
            && self.history.remaining_backoff_ms(&job.adapter, self.now_ms) == 0
    }

    fn load(
        &mut self,
        adapter: &adapter::AdapterRef,
        request_id: Option<name::RequestId>,
        also_wanted: Vec<adapter::AdapterRef>,
    ) -> LoadOrder {
        let instance = self.slots.begin_load(adapter, self.now_ms);
        LoadOrder { adapter: adapter.clone(), instance, request_id, also_wanted }
    }

    /// Unloads the unused instance with the lowest value.
    fn evict(&mut self, request_id: &name::RequestId) -> Option<UnloadOrder> {
        let mut candidates = self.by_value(|planner, slot| planner.is_evictable(slot));
        if candidates.is_empty() {
            return None;
        }
        let (instance, value) = candidates.remove(0);
        self.slots.begin_unload(&instance, self.now_ms);
        let request_id = Some(request_id.clone());
        Some(UnloadOrder { instance, request_id, value, alternatives: candidates })
    }

    fn is_evictable(&self, slot: &Slot) -> bool {
        if !slot.can_unload() {
            return false;
        }
        if matches!(slot.state(), SlotState::OtherOwner { .. }) {
            return true;
        }
        if slot.time_in_state_ms(self.now_ms) < self.eviction_policy.min_residence_ms() {
            return false;
        }
        slot.is_draining() || !self.jobs.iter().any(|job| job.adapter == *slot.adapter())
    }

    /// Stops new requests on the instance with the lowest value, so that it can be unloaded once its
    /// running requests end.
    fn start_draining(&mut self) {
        let candidates = self.by_value(|planner, slot| {
            let time_in_state_ms = slot.time_in_state_ms(planner.now_ms);
            slot.is_usable() && time_in_state_ms >= planner.eviction_policy.min_residence_ms()
        });
        if let Some((instance, _)) = candidates.first() {
            self.slots.set_draining(instance, true);
        }
    }

    fn stop_draining(&mut self) {
        let draining = self.slots.all().iter().filter(|slot| slot.is_draining());
        let draining: Vec<_> = draining.map(|slot| slot.instance().clone()).collect();
        for instance in draining {
            self.slots.set_draining(&instance, false);
        }
    }

    fn retry_unloads(&mut self, plan: &mut Plan) {
        let repeated = self.slots.all().iter().filter(|slot| slot.is_unload_retry_due(self.now_ms));
        let repeated: Vec<_> = repeated.map(|slot| slot.instance().clone()).collect();
        for instance in repeated {
            self.slots.begin_unload(&instance, self.now_ms);
            let alternatives = Vec::new();
            plan.unloads.push(UnloadOrder { instance, request_id: None, value: 0.0, alternatives });
        }
    }

    fn prefetch(
        &mut self,
        prefetches: &mut Vec<adapter::AdapterRef>,
        free_slots: usize,
        plan: &mut Plan,
    ) {
        let mut free_slots = free_slots.min(self.max_loads);
        while free_slots > 0 && !prefetches.is_empty() {
            let adapter = prefetches.remove(0);
            if self.slots.has_usable_or_loading(&adapter) || self.slots.has_instance_for(&adapter) {
                continue;
            }
            free_slots -= 1;
            plan.loads.push(self.load(&adapter, None, Vec::new()));
        }
    }

    /// Lists the candidate instances by ascending value; those of other owners come first.
    fn by_value<Candidate>(&self, is_candidate: Candidate) -> Vec<(adapter::InstanceName, f64)>
    where
        Candidate: Fn(&Self, &Slot) -> bool,
    {
        let mut by_value = Vec::new();
        for slot in self.slots.all() {
            if !is_candidate(self, slot) {
                continue;
            }
            let demand = self.history.demand(slot.adapter());
            let value = match slot.state() {
                SlotState::OtherOwner { .. } => f64::NEG_INFINITY,
                _ => self.eviction_policy.retention_value(slot, &demand, self.now_ms),
            };
            by_value.push((slot.instance().clone(), value));
        }
        by_value.sort_by(|left, right| left.1.total_cmp(&right.1));
        by_value
    }

    fn count<Counted>(&self, is_counted: Counted) -> usize
    where
        Counted: Fn(&Slot) -> bool,
    {
        self.slots.all().iter().filter(|slot| is_counted(slot)).count()
    }
}
