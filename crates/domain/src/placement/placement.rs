//! Adapter places of one worker.

use indexmap::IndexMap;
use rustc_hash::FxBuildHasher;

use super::want::Want;
use super::{Counts, FleetLoads, HeldAdapter, Order, Place, PlaceState, Summary};
use crate::adapter;
use crate::dispatch;
use crate::name;

/// Time after which a demand that is not confirmed is forgotten.
const WANT_LIFETIME_MS: u64 = 700;
/// Loads in transit to one worker, whatever the rest of the fleet does.
const MIN_LOADS_IN_FLIGHT: usize = 1;
/// Loads in transit to one worker at most; the worker's own limit is four.
const MAX_LOADS_IN_FLIGHT: usize = 3;

/// Limits of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Adapters that it can hold, those in transit included.
    pub adapter_capacity: usize,
    /// Base model that it must hold.
    pub base_model: name::BaseModelName,
}

/// Adapter places of one worker and the demand for more.
#[derive(Clone, Debug)]
pub struct Placement {
    limits: Limits,
    pub(super) has_base_model: bool,
    pub(super) base_awaits_answer: bool,
    pub(super) base_order_ms: u64,
    pub(super) places: IndexMap<name::AdapterName, Place, FxBuildHasher>,
    wants: IndexMap<name::AdapterName, Want, FxBuildHasher>,
    pub(super) warm: IndexMap<name::AdapterName, (), FxBuildHasher>,
    /// Time until which orders of an earlier holder may be carried out.
    reserve_until_ms: u64,
    /// Whether such orders may have loaded adapters that are not among the places.
    has_unlisted: bool,
}

impl Placement {
    /// Creates the placement of a worker whose orders this daemon gives from now on.
    ///
    /// `late_until_ms` is the time until which orders of an earlier order-giver, or from before the
    /// worker's restart, may still be carried out.
    #[must_use]
    pub fn new(
        limits: Limits,
        has_base_model: bool,
        listed: &[adapter::AdapterRef],
        late_until_ms: u64,
        now_ms: u64,
    ) -> Self {
        let mut placement = Self {
            limits,
            has_base_model,
            base_awaits_answer: false,
            base_order_ms: now_ms,
            places: IndexMap::default(),
            wants: IndexMap::default(),
            warm: IndexMap::default(),
            reserve_until_ms: late_until_ms,
            has_unlisted: late_until_ms > now_ms,
        };
        placement.adopt(listed, late_until_ms, now_ms);
        placement
    }

    /// Returns the limits.
    #[must_use]
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Takes in what the worker itself reports to hold.
    fn adopt(&mut self, listed: &[adapter::AdapterRef], late_until_ms: u64, now_ms: u64) {
        for adapter in listed {
            let mut place = Place::new(adapter.version(), PlaceState::Resident, now_ms);
            // A load that arrives late would bring back what was dropped meanwhile.
            place.late_until_ms = late_until_ms;
            self.places.insert(adapter.name().clone(), place);
        }
    }

    /// Returns whether the worker must report again what it holds: the time of late orders of an
    /// earlier holder is over, and what they loaded is not known.
    #[must_use]
    pub fn needs_report(&self, now_ms: u64) -> bool {
        self.has_unlisted && self.reserve_until_ms <= now_ms
    }

    /// Takes in a report after the time of late orders.
    pub fn apply_report(&mut self, listed: &[adapter::AdapterRef], now_ms: u64) {
        self.has_unlisted = false;
        for adapter in listed {
            if !self.places.contains_key(adapter.name()) {
                let place = Place::new(adapter.version(), PlaceState::Resident, now_ms);
                self.places.insert(adapter.name().clone(), place);
            }
        }
    }

    /// Notes that the worker holds its base model.
    pub fn mark_base_model_loaded(&mut self) {
        self.has_base_model = true;
    }

    /// Notes that a request needs an adapter version here; version 0 stands for the newest.
    ///
    /// `is_new` tells that the request has not asked before.
    pub fn add_demand(&mut self, adapter: &adapter::AdapterRef, is_new: bool, now_ms: u64) {
        if self.holds(adapter) {
            return;
        }
        let new = Want {
            version: adapter.version(),
            since_ms: now_ms,
            confirmed_ms: now_ms,
            newest_ms: now_ms,
            requests: 0,
        };
        let want = self.wants.entry(adapter.name().clone()).or_insert(new);
        want.version = want.version.max(adapter.version());
        want.confirmed_ms = now_ms;
        if is_new {
            want.newest_ms = now_ms;
            want.requests += 1;
        }
    }

    /// Notes that the worker answered that it does not hold an adapter.
    pub fn mark_missing(&mut self, adapter: &name::AdapterName, now_ms: u64) {
        let Some(place) = self.places.get_mut(adapter) else { return };
        if place.state == PlaceState::Resident {
            place.enter(PlaceState::Loading, now_ms);
        }
    }

    /// Replaces resident adapters that a newer version was named for and that were used lately.
    pub fn request_version(&mut self, adapter: &adapter::AdapterRef, now_ms: u64) {
        let Some(place) = self.places.get(adapter.name()) else { return };
        if place.state != PlaceState::Unloading && place.version != adapter.version() {
            self.add_demand(adapter, true, now_ms);
        }
    }

    /// Takes in how requests of all daemons use an adapter: those in flight and those begun since
    /// the last call.
    pub fn record_use(
        &mut self,
        adapter: &name::AdapterName,
        used: dispatch::AdapterUse,
        now_ms: u64,
    ) {
        let Some(place) = self.places.get_mut(adapter) else { return };
        if used.in_flight > 0 || used.begun > 0 || place.in_use > 0 {
            place.add_uses(used.begun, now_ms);
        }
        place.in_use = used.in_flight;
        place.keep_if_used(now_ms);
    }

    /// Lists the adapters of all places.
    pub fn adapters(&self) -> impl Iterator<Item = &name::AdapterName> {
        self.places.keys()
    }

    /// Returns the time until which orders without an answer may still be carried out.
    #[must_use]
    pub fn late_until_ms(&self) -> u64 {
        let places = self.places.values().map(|place| place.late_until_ms);
        places.max().unwrap_or(0).max(self.reserve_until_ms)
    }

    /// Returns the loads in transit.
    #[must_use]
    pub fn loads_in_flight(&self) -> usize {
        self.places.values().filter(|place| place.state == PlaceState::Loading).count()
    }

    /// Returns the state for routing.
    #[must_use]
    pub fn summary(&self) -> Summary {
        let usable = self.places.iter().filter(|(_, place)| place.state != PlaceState::Unloading);
        let held = usable.map(|(name, place)| HeldAdapter {
            adapter: adapter::AdapterRef::new(name.clone(), place.version),
            is_loading: place.state == PlaceState::Loading,
        });
        Summary {
            has_base_model: self.has_base_model,
            held: held.collect(),
            waiting_loads: u32::try_from(self.wants.len()).unwrap_or(u32::MAX),
        }
    }

    /// Returns the numbers of places by state.
    #[must_use]
    pub fn counts(&self) -> Counts {
        let mut counts = Counts { waiting: self.wants.len(), ..Counts::default() };
        for place in self.places.values() {
            match place.state {
                PlaceState::Loading => counts.loading += 1,
                PlaceState::Unloading => counts.unloading += 1,
                PlaceState::Resident => {
                    counts.resident += 1;
                    counts.in_use += usize::from(place.in_use > 0);
                }
            }
        }
        counts
    }

    /// Decides on the orders to send now.
    ///
    /// An adapter stays for `min_idle_ms`
    /// after its last use: a worker that is ordered to drop an adapter in use takes no other order
    /// until its runs have ended, and reports of use are late.
    pub fn plan(&mut self, fleet: FleetLoads, min_idle_ms: u64, now_ms: u64) -> Vec<Order> {
        let mut orders = Vec::new();
        self.wants.retain(|_, want| now_ms.saturating_sub(want.confirmed_ms) < WANT_LIFETIME_MS);
        if !self.has_base_model {
            if !self.base_awaits_answer && self.base_order_ms <= now_ms {
                self.base_awaits_answer = true;
                orders.push(Order::LoadBase(self.limits.base_model.clone()));
            }
            return orders;
        }
        self.start_loads(fleet, now_ms);
        self.make_room(min_idle_ms, now_ms);
        for (name, place) in &mut self.places {
            if place.awaits_answer || place.next_order_ms > now_ms {
                continue;
            }
            match place.state {
                PlaceState::Resident => continue,
                PlaceState::Loading => {
                    let adapter = adapter::AdapterRef::new(name.clone(), place.version);
                    orders.push(Order::Load(adapter));
                }
                PlaceState::Unloading => orders.push(Order::Unload(name.clone())),
            }
            place.awaits_answer = true;
        }
        orders
    }

    fn holds(&self, adapter: &adapter::AdapterRef) -> bool {
        let place = self.places.get(adapter.name());
        place.is_some_and(|place| {
            place.state != PlaceState::Unloading && place.version >= adapter.version()
        })
    }

    fn capacity(&self) -> usize {
        // Loads that were in transit need not be in the worker's first report.
        let reserve = if self.has_unlisted { MAX_LOADS_IN_FLIGHT } else { 0 };
        self.limits.adapter_capacity.saturating_sub(reserve)
    }

    fn start_loads(&mut self, fleet: FleetLoads, now_ms: u64) {
        let mut in_flight = self.loads_in_flight();
        let mut started = Vec::new();
        let mut waiting: Vec<_> =
            self.wants.iter().map(|(name, want)| (name.clone(), *want)).collect();
        waiting.sort_by_key(|(_, want)| want.rank(now_ms));
        let capacity = self.capacity();
        for (name, want) in waiting {
            let has_room = self.places.len() < capacity;
            let is_fleet_busy = in_flight + fleet.others_in_flight >= fleet.limit;
            let limit = if is_fleet_busy { MIN_LOADS_IN_FLIGHT } else { MAX_LOADS_IN_FLIGHT };
            if in_flight >= limit {
                break;
            }
            let place = match self.places.get_mut(&name) {
                Some(place) if place.state == PlaceState::Unloading => continue,
                Some(place) => {
                    place.version = want.version;
                    place.enter(PlaceState::Loading, now_ms);
                    place
                }
                None if has_room => {
                    let place = Place::new(want.version, PlaceState::Loading, now_ms);
                    self.places.entry(name.clone()).or_insert(place)
                }
                None => continue,
            };
            in_flight += 1;
            place.concurrent_loads = in_flight + fleet.others_in_flight;
            started.push(name);
        }
        for name in started {
            self.wants.shift_remove(&name);
        }
    }

    /// Begins to drop idle adapters for those that wait.
    fn make_room(&mut self, min_idle_ms: u64, now_ms: u64) {
        let waiting = self.wants.keys().filter(|name| !self.places.contains_key(*name)).count();
        let unloading = self.places.values().filter(|place| place.state == PlaceState::Unloading);
        let free = self.capacity() + unloading.count();
        let missing = (self.places.len() + waiting.min(MAX_LOADS_IN_FLIGHT)).saturating_sub(free);
        for _ in 0..missing {
            let idle = self.places.iter_mut().filter(|(name, place)| {
                place.state == PlaceState::Resident
                    && place.in_use == 0
                    && place.late_until_ms <= now_ms
                    && now_ms.saturating_sub(place.used_ms) >= min_idle_ms
                    && !self.wants.contains_key(*name)
            });
            let coldest = idle
                .min_by(|(_, left), (_, right)| left.heat(now_ms).total_cmp(&right.heat(now_ms)));
            let Some((_, place)) = coldest else { return };
            place.enter(PlaceState::Unloading, now_ms);
        }
    }
}
