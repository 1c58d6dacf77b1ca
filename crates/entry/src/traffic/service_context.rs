//! Load balancing and retries of calls to app services.

use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Response, StatusCode, Version};
use jasminetack_domain::name;
use jasminetack_domain::request;
use jasminetack_domain::service;
use jasminetack_wire::failure;
use parking_lot::Mutex;
use tokio::time;

use super::body::Body;
use super::caller_error::CallerError;
use super::concurrency_limiter::{ConcurrencyLimiter, ConcurrencyPermit};
use super::service_call::{self, ServiceCall};
use super::service_client::ServiceClient;
use crate::clock;
use crate::decision_log;
use crate::platform;
use crate::settings;
use crate::snapshot;

/// State that is shared by all calls to app services.
#[derive(Debug)]
pub struct ServiceContext {
    pub(super) settings: Arc<settings::Settings>,
    pub(super) snapshot: Arc<ArcSwap<snapshot::Snapshot>>,
    pub(super) clock: clock::Clock,
    pub(super) decisions: Arc<decision_log::DecisionLog>,
    pub(super) claims: platform::Claims,
    pub(super) client: ServiceClient,
    pub(super) limiter: ConcurrencyLimiter,
    load_balancer: Mutex<service::LoadBalancer>,
    retry_budget: Mutex<request::RetryBudget>,
}

/// Host that was chosen for a call. The call counts as in flight there until this is dropped.
#[derive(Debug)]
pub struct ChosenHost {
    /// Address of the host.
    pub address: SocketAddr,
    context: Arc<ServiceContext>,
}

impl ServiceContext {
    /// Creates the state without calls in flight.
    #[must_use]
    pub fn new(
        settings: Arc<settings::Settings>,
        snapshot: Arc<ArcSwap<snapshot::Snapshot>>,
        clock: clock::Clock,
        decisions: Arc<decision_log::DecisionLog>,
        claims: platform::Claims,
        limiter: ConcurrencyLimiter,
    ) -> Self {
        let client = ServiceClient::new(&settings.upstream_key);
        let retry_budget = Mutex::new(request::RetryBudget::new(settings.retry_percent));
        let load_balancer = Mutex::default();
        Self {
            settings,
            snapshot,
            clock,
            decisions,
            claims,
            client,
            limiter,
            load_balancer,
            retry_budget,
        }
    }

    /// Serves a call that may be retried.
    pub(super) async fn run_repeatable(
        self: Arc<Self>,
        call: ServiceCall,
        permit: Option<ConcurrencyPermit>,
    ) -> Result<Response<Body>, CallerError> {
        self.retry_budget.lock().count_request();
        let mut request = request::Request::new(call.admitted.deadline_ms);
        let remaining = call.admitted.remaining(self.clock.now_ms());
        let response = time::timeout(remaining, self.send_with_retries(&call, &mut request)).await;
        let response = response.unwrap_or_else(|_| {
            let message = "the service did not respond before the deadline";
            let status = StatusCode::GATEWAY_TIMEOUT;
            Err(CallerError::unknown(status, "deadline_passed", message))
        });
        let (host, response) = response.map_err(|mut error| {
            if request.outcome() == request::Outcome::Unknown {
                error.outcome = request::Outcome::Unknown;
            }
            error
        })?;
        let (head, mut upstream) = response.into_parts();
        let (sender, body) = Body::stream();
        let remaining = call.admitted.remaining(self.clock.now_ms());
        tokio::spawn(time::timeout(remaining, async move {
            // The call counts towards the host's load and the ceiling until the response ends.
            let _guards = (host, permit);
            loop {
                let frame = tokio::select! {
                    frame = upstream.frame() => frame,
                    () = sender.closed() => return,
                };
                match frame {
                    Some(Ok(frame)) => {
                        let Ok(data) = frame.into_data() else { continue };
                        if !sender.send(data).await {
                            return;
                        }
                    }
                    // Dropping the sender without `finish` aborts the caller's connection.
                    Some(Err(_)) => return,
                    None => return sender.finish().await,
                }
            }
        }));
        Ok(prepare_head(Response::from_parts(head, ()), &call.admitted.request_id).map(|()| body))
    }

    /// Sends a call to one host after the other until one responds or no retry is allowed.
    async fn send_with_retries(
        self: &Arc<Self>,
        call: &ServiceCall,
        request: &mut request::Request,
    ) -> Result<(ChosenHost, Response<Incoming>), CallerError> {
        let mut excluded = Vec::new();
        let mut last_error = None;
        loop {
            let Some(host) = self.choose_host(call, &excluded) else {
                return Err(last_error.unwrap_or_else(|| no_host_error(&call.service)));
            };
            let error = match self.client.send(host.address, call).await {
                Ok(response) => return Ok((host, response)),
                Err(error) => error,
            };
            excluded.push(host.address);
            self.record_failure(call, &host, &error);
            let now_ms = self.clock.now_ms();
            let mut retry_budget = self.retry_budget.lock();
            if request.attempt_failed(error.outcome, now_ms, &mut retry_budget)
                == request::RetryDecision::Fail
            {
                return Err(error);
            }
            last_error = Some(error);
        }
    }

    /// Chooses the host with the fewest calls in flight; `None` when no host is left.
    pub(super) fn choose_host(
        self: &Arc<Self>,
        call: &ServiceCall,
        excluded: &[SocketAddr],
    ) -> Option<ChosenHost> {
        let snapshot = self.snapshot.load();
        let hosts = snapshot.services.get(&call.service)?;
        let now_ms = self.clock.now_ms();
        let start = rand::random_range(0..hosts.len().max(1));
        let address = self.load_balancer.lock().choose(hosts, excluded, start, now_ms)?;
        let detail = format!(
            "service={} host={address} method={} path={:?} excluded={} reason=\"fewest in flight\"",
            call.service,
            call.method,
            call.path,
            excluded.len(),
        );
        self.note(&call.admitted.request_id, "route", &detail);
        Some(ChosenHost { address, context: Arc::clone(self) })
    }

    /// Records a failed attempt; a host that was not reached is avoided for a while.
    pub(super) fn record_failure(
        &self,
        call: &ServiceCall,
        host: &ChosenHost,
        error: &CallerError,
    ) {
        if error.outcome == request::Outcome::NotRun {
            self.load_balancer.lock().connection_refused(&host.address, self.clock.now_ms());
        }
        let outcome = error.outcome.as_str();
        let detail = format!("host={} outcome={outcome} error={:?}", host.address, error.message);
        self.note(&call.admitted.request_id, "attempt-failed", &detail);
    }

    /// Records a decision about a call and logs it.
    pub(super) fn note(&self, request_id: &name::RequestId, event: &'static str, detail: &str) {
        self.decisions.record_and_log(request_id, self.clock.now_ms(), event, detail);
    }
}

impl Drop for ChosenHost {
    fn drop(&mut self) {
        let now_ms = self.context.clock.now_ms();
        self.context.load_balancer.lock().call_ended(&self.address, now_ms);
    }
}

/// Prepares the head of a service's response for the caller.
pub fn prepare_head(mut head: Response<()>, request_id: &name::RequestId) -> Response<()> {
    // The caller's connection has a framing of its own: one that ends with the connection would hide
    // that the response was broken off.
    *head.version_mut() = Version::HTTP_11;
    service_call::remove_unforwarded_headers(head.headers_mut());
    if let Ok(value) = HeaderValue::from_str(request_id.as_str()) {
        head.headers_mut().insert(failure::REQUEST_ID_HEADER, value);
    }
    head
}

/// Returns the error of a call to a service without an available host.
pub fn no_host_error(service: &name::ServiceName) -> CallerError {
    let message = format!("no host of service {service} is available");
    CallerError::not_run(StatusCode::SERVICE_UNAVAILABLE, "no_host", message)
}
