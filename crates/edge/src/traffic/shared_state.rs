//! State that all requests of the daemon share.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use arc_swap::ArcSwap;
use crossbeam_channel::Sender;
use jasminetack_domain::dispatch;
use jasminetack_domain::name;
use parking_lot::Mutex;
use rustc_hash::FxHashMap;
use tokio::sync::watch;

use super::crash_watch::CrashWatch;
use super::key_refusal_log::KeyRefusalLog;
use super::pool::Pool;
use super::running_requests::RunningRequests;
use crate::control;
use crate::host;
use crate::metrics;
use crate::team_tokens::TeamTokens;
use crate::view;

/// Share of the platform's retry budget that daemons use; the rest covers requests that the platform
/// counts in a different window than the daemon.
const RETRY_BUDGET_SHARE: f64 = 0.8;

/// State that all requests of the daemon share.
pub struct SharedState<Dialect> {
    /// Codec of the platform's messages.
    pub dialect: Arc<Dialect>,
    /// Settings of the host.
    pub host: Arc<host::Host>,
    /// Snapshot of the fleet that the control thread publishes.
    pub view: Arc<ArcSwap<view::View>>,
    /// Revision of `view`; wakes requests that wait for a new snapshot.
    pub revision: watch::Receiver<u64>,
    /// Load balancer with the load, health and latency of workers.
    pub chooser: Arc<Mutex<dispatch::Chooser>>,
    /// Idle connections to workers.
    pub pool: Arc<Pool>,
    /// Detection of crashed workers.
    pub crash_watch: Arc<CrashWatch>,
    /// Message queue of the control thread.
    pub control: Sender<control::Message>,
    /// Metrics of the daemon.
    pub metrics: Arc<metrics::Metrics>,
    /// Tokens of teams.
    pub team_tokens: Arc<TeamTokens>,
    /// Requests whose answers end when their key is removed.
    pub running_requests: Arc<RunningRequests>,
    /// Log of refused keys.
    pub key_refusal_log: KeyRefusalLog,
    /// Number of the next request for a slot. The first one is random, so that a late answer to an earlier
    /// process of this daemon is not taken for one to this process.
    next_slot_number: AtomicU64,
    /// One retry budget per service.
    retry_budgets: Mutex<FxHashMap<name::ServiceName, dispatch::RetryBudget>>,
}

impl<Dialect> SharedState<Dialect> {
    /// Creates the state; it has no connections and no recorded requests yet.
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        dialect: Arc<Dialect>,
        host: Arc<host::Host>,
        view: Arc<ArcSwap<view::View>>,
        revision: watch::Receiver<u64>,
        chooser: Arc<Mutex<dispatch::Chooser>>,
        control: Sender<control::Message>,
        metrics: Arc<metrics::Metrics>,
        team_tokens: Arc<TeamTokens>,
    ) -> Self {
        let crash_watch = Arc::new(CrashWatch::new(control.clone()));
        Self {
            dialect,
            host,
            view,
            revision,
            chooser,
            pool: Arc::default(),
            crash_watch,
            control,
            metrics,
            team_tokens,
            running_requests: Arc::default(),
            key_refusal_log: KeyRefusalLog::default(),
            next_slot_number: AtomicU64::new(u64::from(rand::random::<u32>())),
            retry_budgets: Mutex::default(),
        }
    }

    /// Returns the number of a new request for a slot.
    pub fn next_slot_number(&self) -> u64 {
        self.next_slot_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Counts a caller's request, which adds to the retry budget of its service.
    pub fn count_request(&self, service: &name::ServiceName, now_ms: u64) {
        self.with_retry_budget(service, |budget| budget.record_request(now_ms));
    }

    /// Takes one retry from the budget of a service; returns `false` when the budget is exhausted.
    ///
    /// The slack beyond the ratio belongs to all daemons together and is divided evenly among them.
    pub fn try_acquire_retry(&self, service: &name::ServiceName, now_ms: u64) -> bool {
        let daemons = self.view.load().daemon_count.max(1) as f64;
        let slack = (self.host.limits.retry_slack * RETRY_BUDGET_SHARE / daemons).floor();
        self.with_retry_budget(service, |budget| budget.try_acquire(slack, now_ms))
    }

    fn with_retry_budget<Operation, Output>(
        &self,
        service: &name::ServiceName,
        use_budget: Operation,
    ) -> Output
    where
        Operation: FnOnce(&mut dispatch::RetryBudget) -> Output,
    {
        let mut retry_budgets = self.retry_budgets.lock();
        if !retry_budgets.contains_key(service) {
            let limits = &self.host.limits;
            let ratio = limits.retry_ratio * RETRY_BUDGET_SHARE;
            let budget = dispatch::RetryBudget::new(limits.retry_window_ms, ratio);
            retry_budgets.insert(service.clone(), budget);
        }
        let budget = retry_budgets.get_mut(service).expect("the window was just inserted");
        use_budget(budget)
    }
}
