//! Shared context of the model requests of a daemon.

use std::sync::Arc;

use arc_swap::ArcSwap;
use jasminetack_domain::name;
use jasminetack_domain::request;
use parking_lot::Mutex;

use super::owner_client::OwnerClient;
use super::router::Router;
use crate::clock;
use crate::decision_log;
use crate::in_flight;
use crate::metrics;
use crate::settings;
use crate::snapshot;

/// Shared context of the model requests of a daemon.
#[derive(Debug)]
pub struct ModelContext<RoutePolicy, Local> {
    /// Settings of the daemon.
    pub settings: Arc<settings::Settings>,
    /// Latest published snapshot of the fleet.
    pub snapshot: Arc<ArcSwap<snapshot::Snapshot>>,
    /// The daemon's clock.
    pub clock: clock::Clock,
    /// Client of the owners of workers.
    pub owners: OwnerClient<Local>,
    /// Router of model requests.
    pub router: Arc<Router<RoutePolicy>>,
    /// Metrics of the daemon.
    pub metrics: Arc<metrics::Metrics>,
    /// Requests that have not finished yet.
    pub in_flight: in_flight::InFlight,
    /// Decisions about recent requests.
    pub decisions: Arc<decision_log::DecisionLog>,
    /// Budgets of retries and hedged requests.
    pub attempt_budgets: Mutex<AttemptBudgets>,
}

/// Budgets of retries and hedged requests.
#[derive(Debug)]
pub struct AttemptBudgets {
    /// Budget of retries.
    pub retries: request::RetryBudget,
    /// Budget of hedged requests.
    pub hedges: request::RetryBudget,
    /// Estimate of the delay after which a request is hedged.
    pub hedge_delay: request::HedgeDelay,
}

impl AttemptBudgets {
    /// Creates the budgets that the settings configure.
    #[must_use]
    pub fn new(settings: &settings::Settings) -> Self {
        Self {
            retries: request::RetryBudget::new(settings.retry_percent),
            hedges: request::RetryBudget::new(settings.hedge_percent),
            hedge_delay: request::HedgeDelay::default(),
        }
    }

    /// Counts a request of a caller, which adds to both budgets.
    pub fn count_request(&mut self) {
        self.retries.count_request();
        self.hedges.count_request();
    }
}

impl<RoutePolicy, Local> ModelContext<RoutePolicy, Local> {
    /// Records a decision about a request and logs it.
    pub fn note(&self, request_id: &name::RequestId, event: &'static str, detail: &str) {
        self.decisions.record_and_log(request_id, self.clock.now_ms(), event, detail);
    }
}
