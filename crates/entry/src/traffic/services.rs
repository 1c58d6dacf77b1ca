//! Calls to app services.

use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};
use jasminetack_domain::name;
use jasminetack_domain::request;
use jasminetack_domain::service;
use jasminetack_wire::failure;
use parking_lot::Mutex;
use tokio::time;

use super::body::Body;
use super::caller_error::CallerError;
use super::ceilings::{CeilingGuard, Ceilings};
use super::service_call::{self, ServiceCall};
use super::service_client::ServiceClient;
use crate::clock;
use crate::decision_log;
use crate::platform;
use crate::settings;
use crate::snapshot;

/// What all calls to app services share.
#[derive(Debug)]
pub struct Services {
    pub(super) settings: Arc<settings::Settings>,
    pub(super) snapshot: Arc<ArcSwap<snapshot::Snapshot>>,
    pub(super) clock: clock::Clock,
    pub(super) decisions: Arc<decision_log::DecisionLog>,
    pub(super) claims: platform::Claims,
    pub(super) client: ServiceClient,
    pub(super) ceilings: Ceilings,
    balance: Mutex<service::LoadBalancer>,
    retries: Mutex<request::RetryBudget>,
}

/// A host that was chosen for a call; dropping it ends the call there.
#[derive(Debug)]
pub struct ChosenHost {
    /// Address of the host.
    pub address: SocketAddr,
    services: Arc<Services>,
}

impl Services {
    /// Creates the client side of all app services.
    #[must_use]
    pub fn new(
        settings: Arc<settings::Settings>,
        snapshot: Arc<ArcSwap<snapshot::Snapshot>>,
        clock: clock::Clock,
        decisions: Arc<decision_log::DecisionLog>,
        claims: platform::Claims,
        ceilings: Ceilings,
    ) -> Self {
        let client = ServiceClient::new(&settings.upstream_key);
        let retries = Mutex::new(request::RetryBudget::new(settings.retry_percent));
        let balance = Mutex::default();
        Self { settings, snapshot, clock, decisions, claims, client, ceilings, balance, retries }
    }

    /// Serves a call that may be repeated.
    pub(super) async fn run_repeatable(
        self: Arc<Self>,
        call: ServiceCall,
        ceiling: Option<CeilingGuard>,
    ) -> Result<Response<Body>, CallerError> {
        self.retries.lock().count_request();
        let mut request = request::Request::new(call.admitted.deadline_ms);
        let remaining = call.admitted.remaining(self.clock.now_ms());
        let answer = time::timeout(remaining, self.first_answer(&call, &mut request)).await;
        let answer = answer.unwrap_or_else(|_| {
            let message = "the service did not answer before the deadline";
            let status = StatusCode::GATEWAY_TIMEOUT;
            Err(CallerError::unknown(status, "deadline_passed", message))
        });
        let (host, answer) = answer.map_err(|mut error| {
            if request.outcome() == request::Outcome::Unknown {
                error.outcome = request::Outcome::Unknown;
            }
            error
        })?;
        let (head, mut upstream) = answer.into_parts();
        let (sender, body) = Body::stream();
        let remaining = call.admitted.remaining(self.clock.now_ms());
        tokio::spawn(time::timeout(remaining, async move {
            // Both count until the answer is complete.
            let _guards = (host, ceiling);
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
                    // Without a call of `finish` the caller's connection is aborted.
                    Some(Err(_)) => return,
                    None => return sender.finish().await,
                }
            }
        }));
        Ok(answer_head(Response::from_parts(head, ()), &call.admitted.request_id).map(|()| body))
    }

    async fn first_answer(
        self: &Arc<Self>,
        call: &ServiceCall,
        request: &mut request::Request,
    ) -> Result<(ChosenHost, Response<Incoming>), CallerError> {
        let mut excluded = Vec::new();
        let mut last = None;
        loop {
            let Some(host) = self.choose(call, &excluded) else {
                return Err(last.unwrap_or_else(|| no_host(&call.service)));
            };
            let error = match self.client.send(host.address, call).await {
                Ok(answer) => return Ok((host, answer)),
                Err(error) => error,
            };
            excluded.push(host.address);
            self.failed(call, &host, &error);
            let now_ms = self.clock.now_ms();
            let mut retries = self.retries.lock();
            if request.attempt_failed(error.outcome, now_ms, &mut retries)
                == request::RetryDecision::Fail
            {
                return Err(error);
            }
            last = Some(error);
        }
    }

    /// Chooses the host with the fewest calls in flight.
    pub(super) fn choose(
        self: &Arc<Self>,
        call: &ServiceCall,
        excluded: &[SocketAddr],
    ) -> Option<ChosenHost> {
        let snapshot = self.snapshot.load();
        let hosts = snapshot.services.get(&call.service)?;
        let now_ms = self.clock.now_ms();
        let start = rand::random_range(0..hosts.len().max(1));
        let address = self.balance.lock().choose(hosts, excluded, start, now_ms)?;
        let detail = format!(
            "service={} host={address} method={} path={:?} excluded={} reason=\"fewest in flight\"",
            call.service,
            call.method,
            call.path,
            excluded.len(),
        );
        self.note(&call.admitted.request_id, "route", &detail);
        Some(ChosenHost { address, services: Arc::clone(self) })
    }

    /// Records that a host failed.
    pub(super) fn failed(&self, call: &ServiceCall, host: &ChosenHost, error: &CallerError) {
        if error.outcome == request::Outcome::NotRun {
            self.balance.lock().connection_refused(&host.address, self.clock.now_ms());
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
        let now_ms = self.services.clock.now_ms();
        self.services.balance.lock().call_ended(&self.address, now_ms);
    }
}

/// Prepares the head of a service's answer for the caller.
pub fn answer_head(mut answer: Response<()>, request_id: &name::RequestId) -> Response<()> {
    service_call::remove_own_headers(answer.headers_mut());
    if let Ok(value) = HeaderValue::from_str(request_id.as_str()) {
        answer.headers_mut().insert(failure::REQUEST_ID_HEADER, value);
    }
    answer
}

/// Failure of a call to a service without usable hosts.
pub fn no_host(service: &name::ServiceName) -> CallerError {
    let message = format!("no host of service {service} is available");
    CallerError::not_run(StatusCode::SERVICE_UNAVAILABLE, "no_host", message)
}
