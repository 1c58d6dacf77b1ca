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
const BUDGET_PART: f64 = 0.8;

/// What all requests of the daemon share.
pub struct Traffic<Dialect> {
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
    budgets: Mutex<FxHashMap<name::ServiceName, dispatch::RetryBudget>>,
}

impl<Dialect> Traffic<Dialect> {
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
        let (pool, budgets) = (Arc::default(), Mutex::default());
        Self { dialect, host, view, revision, chooser, pool, control, metrics, budgets }
    }

    /// Counts a request of a caller for the budget of repeats.
    pub fn count_request(&self, service: &name::ServiceName, now_ms: u64) {
        self.with_budget(service, |window| window.record_request(now_ms));
    }

    /// Takes the right to send a request once more.
    pub fn take_repeat(&self, service: &name::ServiceName, now_ms: u64) -> bool {
        let daemons = self.view.load().daemon_count.max(1) as f64;
        let slack = (self.host.limits.retry_slack * BUDGET_PART / daemons).floor();
        self.with_budget(service, |window| window.try_acquire(slack, now_ms))
    }

    fn with_budget<Use, Answer>(&self, service: &name::ServiceName, use_window: Use) -> Answer
    where
        Use: FnOnce(&mut dispatch::RetryBudget) -> Answer,
    {
        let mut budgets = self.budgets.lock();
        if !budgets.contains_key(service) {
            let limits = &self.host.limits;
            let ratio = limits.retry_ratio * BUDGET_PART;
            let window = dispatch::RetryBudget::new(limits.retry_window_ms, ratio);
            budgets.insert(service.clone(), window);
        }
        let window = budgets.get_mut(service).expect("the window was just inserted");
        use_window(window)
    }
}
