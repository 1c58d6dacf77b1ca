//! What all model requests of a daemon share.

use std::sync::Arc;

use arc_swap::ArcSwap;
use jasminetack_domain::name;
use jasminetack_domain::request;
use parking_lot::Mutex;

use super::owners::Owners;
use super::router::Router;
use crate::clock;
use crate::decision_log;
use crate::in_flight;
use crate::metrics;
use crate::settings;
use crate::snapshot;

/// What all model requests of a daemon share.
#[derive(Debug)]
pub struct Models<RoutePolicy, Local> {
    /// Settings of the daemon.
    pub settings: Arc<settings::Settings>,
    /// The published view of the fleet.
    pub snapshot: Arc<ArcSwap<snapshot::Snapshot>>,
    /// The daemon's clock.
    pub clock: clock::Clock,
    /// Owners of workers.
    pub owners: Owners<Local>,
    /// Routing decisions.
    pub router: Arc<Router<RoutePolicy>>,
    /// Metrics of the daemon.
    pub metrics: Arc<metrics::Metrics>,
    /// Requests that the daemon still has to finish.
    pub in_flight: in_flight::InFlight,
    /// Decisions by request.
    pub decisions: Arc<decision_log::DecisionLog>,
    /// Limits on extra requests.
    pub extra: Mutex<Extra>,
}

/// Limits on extra requests.
#[derive(Debug)]
pub struct Extra {
    /// Budget of retries.
    pub retries: request::RetryBudget,
    /// Budget of hedged requests.
    pub hedges: request::RetryBudget,
    /// Usual time to the first token.
    pub hedge_delay: request::HedgeDelay,
}

impl Extra {
    /// Creates the limits that the settings give.
    #[must_use]
    pub fn new(settings: &settings::Settings) -> Self {
        Self {
            retries: request::RetryBudget::new(settings.retry_percent),
            hedges: request::RetryBudget::new(settings.hedge_percent),
            hedge_delay: request::HedgeDelay::default(),
        }
    }

    /// Counts a caller's request.
    pub fn count_request(&mut self) {
        self.retries.count_request();
        self.hedges.count_request();
    }
}

impl<RoutePolicy, Local> Models<RoutePolicy, Local> {
    /// Records a decision about a request and logs it.
    pub fn note(&self, request_id: &name::RequestId, event: &'static str, detail: &str) {
        self.decisions.record_and_log(request_id, self.clock.now_ms(), event, detail);
    }
}
