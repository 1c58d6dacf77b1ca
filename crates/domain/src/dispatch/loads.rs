//! Requests in flight at workers, over all daemons.

use indexmap::IndexMap;
use rustc_hash::{FxBuildHasher, FxHashMap};

use super::{AdapterUse, ReportedLoad, RequestSize};
use crate::name;

/// Requests in flight at each worker: this daemon's own, and those reported by other daemons.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    local: FxHashMap<name::WorkerName, LocalLoad>,
    reports: FxHashMap<name::HostName, Report>,
    /// Sums of all reports by worker.
    remote: FxHashMap<name::WorkerName, RemoteLoad>,
}

/// Load of the other daemons on a worker.
#[derive(Clone, Copy, Debug, Default)]
struct RemoteLoad {
    requests: u32,
    unread_tokens: u32,
    memory_tokens: u32,
}

#[derive(Clone, Debug, Default)]
struct LocalLoad {
    in_flight: u32,
    unread_tokens: u32,
    memory_tokens: u32,
    adapters: IndexMap<name::AdapterName, AdapterUse, FxBuildHasher>,
    /// Time of the worker's last data, or of the first request sent while none was waiting.
    last_activity_ms: u64,
    unanswered: u32,
}

#[derive(Clone, Debug)]
struct Report {
    received_ms: u64,
    until_ms: u64,
    loads: Vec<ReportedLoad>,
}

impl Loads {
    /// Records a request sent to a worker; returns whether it is this daemon's only request in flight
    /// that uses the adapter there.
    pub fn record_sent(
        &mut self,
        worker: &name::WorkerName,
        adapter: Option<&name::AdapterName>,
        size: RequestSize,
        now_ms: u64,
    ) -> bool {
        let load = self.local.entry(worker.clone()).or_default();
        if load.unanswered == 0 {
            load.last_activity_ms = now_ms;
        }
        load.in_flight += 1;
        load.unanswered += 1;
        load.unread_tokens = load.unread_tokens.saturating_add(size.prompt_tokens);
        load.memory_tokens = load.memory_tokens.saturating_add(size.memory_tokens());
        let Some(adapter) = adapter else { return false };
        let used = load.adapters.entry(adapter.clone()).or_default();
        used.in_flight += 1;
        used.started += 1;
        used.in_flight == 1
    }

    /// Records the first part of an answer.
    pub fn record_first_part(&mut self, worker: &name::WorkerName, size: RequestSize, now_ms: u64) {
        let Some(load) = self.local.get_mut(worker) else { return };
        load.unanswered = load.unanswered.saturating_sub(1);
        load.unread_tokens = load.unread_tokens.saturating_sub(size.prompt_tokens);
        load.last_activity_ms = now_ms;
    }

    /// Records that a worker sent a part of an answer.
    pub fn record_activity(&mut self, worker: &name::WorkerName, now_ms: u64) {
        if let Some(load) = self.local.get_mut(worker) {
            load.last_activity_ms = now_ms;
        }
    }

    /// Records the end of a request after its first part; returns whether it was this daemon's last
    /// request in flight that used the adapter there.
    pub fn record_end(
        &mut self,
        worker: &name::WorkerName,
        adapter: Option<&name::AdapterName>,
        size: RequestSize,
    ) -> bool {
        let Some(load) = self.local.get_mut(worker) else { return false };
        load.in_flight = load.in_flight.saturating_sub(1);
        load.memory_tokens = load.memory_tokens.saturating_sub(size.memory_tokens());
        let used = adapter.and_then(|adapter| load.adapters.get_mut(adapter));
        let Some(used) = used else { return false };
        used.in_flight = used.in_flight.saturating_sub(1);
        used.in_flight == 0
    }

    /// Returns the number of this daemon's requests that use an adapter at a worker.
    #[must_use]
    pub fn adapter_in_flight(&self, worker: &name::WorkerName, adapter: &name::AdapterName) -> u32 {
        let load = self.local.get(worker);
        load.and_then(|load| load.adapters.get(adapter)).map_or(0, |used| used.in_flight)
    }

    /// Replaces the load reported by another daemon; the report expires after `until_ms` unless
    /// another one replaces it.
    pub fn apply_report(
        &mut self,
        host: &name::HostName,
        loads: Vec<ReportedLoad>,
        until_ms: u64,
        now_ms: u64,
    ) {
        if let Some(earlier) = self.reports.remove(host) {
            self.subtract(&earlier);
        }
        for load in &loads {
            let remote = self.remote.entry(load.worker.clone()).or_default();
            remote.requests += load.in_flight;
            remote.unread_tokens = remote.unread_tokens.saturating_add(load.unread_tokens);
            remote.memory_tokens = remote.memory_tokens.saturating_add(load.memory_tokens);
        }
        self.reports.insert(host.clone(), Report { received_ms: now_ms, until_ms, loads });
    }

    /// Removes expired reports.
    pub fn expire(&mut self, now_ms: u64) {
        let old = self.reports.iter().filter(|(_, report)| report.until_ms < now_ms);
        let old: Vec<_> = old.map(|(host, _)| host.clone()).collect();
        for host in old {
            if let Some(report) = self.reports.remove(&host) {
                self.subtract(&report);
            }
        }
    }

    fn subtract(&mut self, report: &Report) {
        for load in &report.loads {
            let Some(remote) = self.remote.get_mut(&load.worker) else { continue };
            remote.requests = remote.requests.saturating_sub(load.in_flight);
            remote.unread_tokens = remote.unread_tokens.saturating_sub(load.unread_tokens);
            remote.memory_tokens = remote.memory_tokens.saturating_sub(load.memory_tokens);
            if remote.requests == 0 {
                self.remote.remove(&load.worker);
            }
        }
    }

    /// Returns the requests and the unread prompt tokens at a worker over all daemons.
    #[must_use]
    pub fn outstanding(&self, worker: &name::WorkerName) -> (u32, u32) {
        let remote = self.remote.get(worker).copied().unwrap_or_default();
        let (requests, tokens) = (remote.requests, remote.unread_tokens);
        let Some(local) = self.local.get(worker) else { return (requests, tokens) };
        (requests + local.in_flight, tokens.saturating_add(local.unread_tokens))
    }

    /// Returns the tokens that the requests in flight at a worker take of its memory, over all daemons.
    #[must_use]
    pub fn memory_tokens(&self, worker: &name::WorkerName) -> u32 {
        let remote = self.remote.get(worker).map_or(0, |remote| remote.memory_tokens);
        let local = self.local.get(worker).map_or(0, |local| local.memory_tokens);
        remote.saturating_add(local)
    }

    /// Returns the requests and the unread prompt tokens at a worker that are left of what is known,
    /// if the worker reads `tokens_per_ms` and a request takes `request_ms`.
    ///
    /// Requests that other daemons have sent since their reports are not known, so this is less than
    /// the load; unlike `outstanding` it counts nothing that has passed since.
    #[must_use]
    pub fn remaining(
        &self,
        worker: &name::WorkerName,
        tokens_per_ms: f64,
        request_ms: f64,
        now_ms: u64,
    ) -> (f64, f64) {
        let own = self.local.get(worker);
        let mut requests = own.map_or(0.0, |load| f64::from(load.in_flight));
        let mut tokens = own.map_or(0.0, |load| f64::from(load.unread_tokens));
        if !self.remote.contains_key(worker) {
            return (requests, tokens);
        }
        // The worker has read the oldest prompts first.
        let mut oldest_ms = 0;
        let mut reported_tokens = 0.0;
        for report in self.reports.values() {
            let Some(load) = report.loads.iter().find(|load| load.worker == *worker) else {
                continue;
            };
            let age_ms = now_ms.saturating_sub(report.received_ms);
            let left = (1.0 - age_ms as f64 / request_ms.max(1.0)).max(0.0);
            requests += f64::from(load.in_flight) * left;
            if load.unread_tokens > 0 {
                oldest_ms = oldest_ms.max(age_ms);
                reported_tokens += f64::from(load.unread_tokens);
            }
        }
        tokens += (reported_tokens - oldest_ms as f64 * tokens_per_ms).max(0.0);
        (requests, tokens)
    }

    /// Returns how long a worker has sent no data while a request waits for an answer.
    #[must_use]
    pub fn stall_ms(&self, worker: &name::WorkerName, now_ms: u64) -> u64 {
        let waiting = self.local.get(worker).filter(|load| load.unanswered > 0);
        waiting.map_or(0, |load| now_ms.saturating_sub(load.last_activity_ms))
    }

    /// Lists this daemon's load by worker.
    #[must_use]
    pub fn report(&self) -> Vec<ReportedLoad> {
        let busy = self.local.iter().filter(|(_, load)| load.in_flight > 0);
        let reports = busy.map(|(worker, load)| ReportedLoad {
            worker: worker.clone(),
            in_flight: load.in_flight,
            unread_tokens: load.unread_tokens,
            memory_tokens: load.memory_tokens,
        });
        reports.collect()
    }

    /// Returns the adapters in use at a worker or used since the last call, and resets the counts.
    pub fn take_adapter_uses(
        &mut self,
        worker: &name::WorkerName,
    ) -> Vec<(name::AdapterName, AdapterUse)> {
        let Some(load) = self.local.get_mut(worker) else { return Vec::new() };
        let mut uses = Vec::new();
        load.adapters.retain(|adapter, used| {
            uses.push((adapter.clone(), *used));
            used.started = 0;
            used.in_flight > 0
        });
        uses
    }

    /// Lists the workers at which this daemon used adapters since the last report.
    #[must_use]
    pub fn workers_in_use(&self) -> Vec<name::WorkerName> {
        let used = self.local.iter().filter(|(_, load)| !load.adapters.is_empty());
        used.map(|(worker, _)| worker.clone()).collect()
    }

    /// Removes a worker that has no requests in flight.
    pub fn remove_idle(&mut self, worker: &name::WorkerName) {
        if self.local.get(worker).is_some_and(|load| load.in_flight == 0) {
            self.local.remove(worker);
        }
    }
}
