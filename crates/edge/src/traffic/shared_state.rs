//! What all requests of the daemon share.

use std::sync::Arc;

use arc_swap::ArcSwap;
use crossbeam_channel::Sender;
use jasminetack_domain::dispatch;
use jasminetack_domain::name;
use parking_lot::Mutex;
use rustc_hash::FxHashMap;
use tokio::sync::watch;

use super::pool::Pool;
use crate::control;
use crate::host;
use crate::metrics;
use crate::view;

/// Part of the shared budget of repeats that is used; the rest covers requests that the daemon
/// sees and the platform counts in another window.
const RETRY_BUDGET_SHARE: f64 = 0.8;

/// What all requests of the daemon share.
pub struct SharedState<Dialect> {
    /// Translation of the platform's messages.
    pub dialect: Arc<Dialect>,
    /// The host.
    pub host: Arc<host::Host>,
    /// The fleet as the control thread sees it.
    pub view: Arc<ArcSwap<view::View>>,
    /// Changes with each new view.
    pub revision: watch::Receiver<u64>,
    /// Choice of workers.
    pub chooser: Arc<Mutex<dispatch::Chooser>>,
    /// Open connections to workers.
    pub pool: Arc<Pool>,
    /// Queue of the control thread.
    pub control: Sender<control::Message>,
    /// Metrics.
    pub metrics: Arc<metrics::Metrics>,
    retry_budgets: Mutex<FxHashMap<name::ServiceName, dispatch::RetryBudget>>,
}

impl<Dialect> SharedState<Dialect> {
    /// Creates the shared state.
    pub fn new(
        dialect: Arc<Dialect>,
        host: Arc<host::Host>,
        view: Arc<ArcSwap<view::View>>,
        revision: watch::Receiver<u64>,
        chooser: Arc<Mutex<dispatch::Chooser>>,
        control: Sender<control::Message>,
        metrics: Arc<metrics::Metrics>,
    ) -> Self {
        let (pool, retry_budgets) = (Arc::default(), Mutex::default());
        Self { dialect, host, view, revision, chooser, pool, control, metrics, retry_budgets }
    }

    /// Counts a request of a caller for the budget of repeats.
    pub fn count_request(&self, service: &name::ServiceName, now_ms: u64) {
        self.with_retry_budget(service, |window| window.record_request(now_ms));
    }

    /// Takes the right to send a request once more.
    pub fn try_acquire_retry(&self, service: &name::ServiceName, now_ms: u64) -> bool {
        let daemons = self.view.load().daemon_count.max(1) as f64;
        let slack = (self.host.promises.retry_slack * RETRY_BUDGET_SHARE / daemons).floor();
        self.with_retry_budget(service, |window| window.try_acquire(slack, now_ms))
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
            let promises = &self.host.promises;
            let ratio = promises.retry_ratio * RETRY_BUDGET_SHARE;
            let window = dispatch::RetryBudget::new(promises.retry_window_ms, ratio);
            retry_budgets.insert(service.clone(), window);
        }
        let window = retry_budgets.get_mut(service).expect("the window was just inserted");
        use_budget(window)
    }
}
