//! Choice of the adapters to load and the instances to unload.

use super::history::History;
use super::slots::Slots;
use super::{EvictionPolicy, Job, LoadOrder, Plan, Slot, SlotState, UnloadOrder};
use crate::adapter;
use crate::name;

/// Wait after which a request that finds every slot in use has one of them drained, so that popular
/// adapters do not starve the others.
const DRAIN_AFTER_MS: u64 = 2_000;

/// One planning step over the state of a worker.
pub struct Planner<'a, Value> {
    pub slots: &'a mut Slots,
    pub jobs: &'a [Job],
    pub history: &'a History,
    pub value: &'a Value,
    pub slot_count: usize,
    pub max_loads: usize,
    pub now_ms: u64,
}

/// An adapter that a waiting request needs and that is not loaded.
#[derive(Clone, Debug)]
struct Wanted {
    adapter: adapter::AdapterRef,
    request_id: name::RequestId,
    waited_ms: u64,
}

impl<Value> Planner<'_, Value>
where
    Value: EvictionPolicy,
{
    /// Plans loads that requests wait for, then prefetches into slots that stay free.
    pub fn plan(mut self, prefetches: &mut Vec<adapter::AdapterRef>) -> Plan {
        let mut plan = Plan::default();
        self.repeat_unloads(&mut plan);
        let wanted = self.wanted();
        let mut free = self.slot_count.saturating_sub(self.slots.all().len());
        let mut leaving = self
            .count(|slot| matches!(slot.state(), SlotState::Unloading | SlotState::UnloadFailed));
        let mut draining = self.count(Slot::is_draining);
        for (index, want) in wanted.iter().enumerate() {
            if free > 0 {
                free -= 1;
                if plan.loads.len() < self.max_loads {
                    let also_wanted = wanted[index + 1..].iter();
                    let also_wanted = also_wanted.map(|other| other.adapter.clone()).collect();
                    let request_id = Some(want.request_id.clone());
                    plan.loads.push(self.load(&want.adapter, request_id, also_wanted));
                }
                continue;
            }
            if leaving > 0 {
                leaving -= 1;
                continue;
            }
            // Without a load to follow, an eviction would only empty a slot.
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
            if want.waited_ms >= DRAIN_AFTER_MS {
                self.drain_one();
            }
        }
        if draining > 0 {
            self.stop_draining();
        }
        if wanted.is_empty() {
            self.prefetch(prefetches, free, &mut plan);
        }
        plan
    }

    /// Lists the adapters that requests wait for, the most urgent and oldest first.
    fn wanted(&self) -> Vec<Wanted> {
        let mut jobs: Vec<&Job> = self.jobs.iter().collect();
        jobs.sort_by_key(|job| (job.aged_class(self.now_ms), job.submitted_ms));
        let mut wanted = Vec::<Wanted>::new();
        for job in jobs {
            if wanted.iter().any(|want| want.adapter == job.adapter) || !self.is_loadable(job) {
                continue;
            }
            wanted.push(Wanted {
                adapter: job.adapter.clone(),
                request_id: job.request_id.clone(),
                waited_ms: job.waited_ms(self.now_ms),
            });
        }
        wanted
    }

    fn is_loadable(&self, job: &Job) -> bool {
        !self.slots.serves(&job.adapter)
            && !self.slots.holds_name_of(&job.adapter)
            && self.history.backoff_left_ms(&job.adapter, self.now_ms) == 0
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

    /// Unloads the least valuable instance that nothing uses.
    fn evict(&mut self, request_id: &name::RequestId) -> Option<UnloadOrder> {
        let mut candidates = self.valued(|planner, slot| planner.is_evictable(slot));
        if candidates.is_empty() {
            return None;
        }
        let (instance, value) = candidates.remove(0);
        self.slots.begin_unload(&instance, self.now_ms);
        let request_id = Some(request_id.clone());
        Some(UnloadOrder { instance, request_id, value, alternatives: candidates })
    }

    fn is_evictable(&self, slot: &Slot) -> bool {
        if !slot.may_unload() {
            return false;
        }
        if matches!(slot.state(), SlotState::Foreign { .. }) {
            return true;
        }
        if slot.resident_ms(self.now_ms) < self.value.min_residence_ms() {
            return false;
        }
        slot.is_draining() || !self.jobs.iter().any(|job| job.adapter == *slot.adapter())
    }

    /// Keeps new requests off the least valuable instance, so that it can be unloaded.
    fn drain_one(&mut self) {
        let candidates = self.valued(|planner, slot| {
            let resident_ms = slot.resident_ms(planner.now_ms);
            slot.is_usable() && resident_ms >= planner.value.min_residence_ms()
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

    fn repeat_unloads(&mut self, plan: &mut Plan) {
        let repeated = self.slots.all().iter().filter(|slot| slot.retries_unload(self.now_ms));
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
        free: usize,
        plan: &mut Plan,
    ) {
        let mut free = free.min(self.max_loads);
        while free > 0 && !prefetches.is_empty() {
            let adapter = prefetches.remove(0);
            if self.slots.serves(&adapter) || self.slots.holds_name_of(&adapter) {
                continue;
            }
            free -= 1;
            plan.loads.push(self.load(&adapter, None, Vec::new()));
        }
    }

    /// Lists instances with their values, the lowest first; those of former owners have none.
    fn valued<Chosen>(&self, is_chosen: Chosen) -> Vec<(adapter::InstanceName, f64)>
    where
        Chosen: Fn(&Self, &Slot) -> bool,
    {
        let mut valued = Vec::new();
        for slot in self.slots.all() {
            if !is_chosen(self, slot) {
                continue;
            }
            let demand = self.history.demand(slot.adapter());
            let value = match slot.state() {
                SlotState::Foreign { .. } => f64::NEG_INFINITY,
                _ => self.value.retention_value(slot, &demand, self.now_ms),
            };
            valued.push((slot.instance().clone(), value));
        }
        valued.sort_by(|left, right| left.1.total_cmp(&right.1));
        valued
    }

    fn count<Counted>(&self, is_counted: Counted) -> usize
    where
        Counted: Fn(&Slot) -> bool,
    {
        self.slots.all().iter().filter(|slot| is_counted(slot)).count()
    }
}
