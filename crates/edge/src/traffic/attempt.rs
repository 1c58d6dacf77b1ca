//! One attempt to send a request to a worker.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::http::response;
use hyper::{Request, Response};
use jasminetack_domain::name;
use jasminetack_domain::upstream;
use tokio::time;

use super::answer_watch::AnswerWatch;
use super::connection::Connection;
use super::load_guard::LoadGuard;
use super::pool::Pool;
use crate::clock;
use crate::dialect;

/// Pooled connections that may turn out to be closed before a new one is opened.
const MAX_STALE_CONNECTIONS: usize = 2;

/// An HTTP exchange whose response head has been received.
#[derive(Debug)]
pub struct Exchange {
    /// Connection that carries the response body.
    pub connection: Connection,
    /// Accounting of the request in the worker's load.
    pub load: LoadGuard,
    /// What the response tells of its prompt.
    pub answer: AnswerWatch,
}

/// Why an attempt has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptError {
    /// The worker received nothing.
    NotSent(&'static str),
    /// The request was sent and may have been executed.
    ExecutionUnknown(&'static str),
    /// The attempt timed out; the worker may still be executing the request.
    TimedOut,
}

/// Sends a request to a worker and waits for the head of the response.
///
/// # Errors
///
/// Fails when the worker cannot be reached, closes the connection or does not respond within
/// `timeout_ms`.
pub async fn send(
    pool: &Arc<Pool>,
    upstream: &upstream::Upstream,
    mut request: Request<Full<Bytes>>,
    mut load: LoadGuard,
    mut answer: AnswerWatch,
    timeout_ms: u64,
) -> Result<(Response<Incoming>, Exchange), AttemptError> {
    let worker = &upstream.name;
    let limit = Duration::from_millis(timeout_ms);
    let started_ms = clock::now_ms();
    for stale in 0..=MAX_STALE_CONNECTIONS {
        let idle =
            if stale < MAX_STALE_CONNECTIONS { pool.take(worker, clock::now_ms()) } else { None };
        let mut connection = match idle {
            Some(connection) => connection,
            None => open(pool, upstream, &mut load).await?,
        };
        let elapsed = Duration::from_millis(clock::now_ms().saturating_sub(started_ms));
        let sent = connection.send(request);
        let Ok(result) = time::timeout(limit.saturating_sub(elapsed), sent).await else {
            return Err(AttemptError::TimedOut);
        };
        let mut error = match result {
            Ok(response) => {
                load.record_data(clock::now_ms());
                answer.record_head(response.headers());
                return Ok((response, Exchange { connection, load, answer }));
            }
            Err(error) => error,
        };
        // hyper returns the request if it wrote none of it; the worker cannot have executed it then.
        let Some(returned) = error.take_message() else {
            load.record_failure(clock::now_ms());
            answer.record_interruption();
            if connection.is_reused {
                pool.close_before(worker, started_ms);
            }
            return Err(AttemptError::ExecutionUnknown("connection-broken"));
        };
        request = returned;
    }
    Err(AttemptError::NotSent("connections-stale"))
}

/// Opens a connection; a failure is recorded in the worker's health and closes its idle connections.
async fn open(
    pool: &Arc<Pool>,
    upstream: &upstream::Upstream,
    load: &mut LoadGuard,
) -> Result<Connection, AttemptError> {
    Connection::open(upstream.address).await.map_err(|error| {
        let now_ms = clock::now_ms();
        load.record_failure(now_ms);
        pool.close_before(&upstream.name, now_ms);
        let (worker, address) = (&upstream.name, upstream.address);
        spdlog::warn!("connect-failed worker={worker} address={address} error=\"{error}\"");
        AttemptError::NotSent("connect-failed")
    })
}

/// Returns why a response may not be used, if it may not.
///
/// hyper refuses statuses below 100; it passes on 101, which no request asks for, and those above 599.
pub fn response_problem(
    facts: dialect::ResponseMetadata,
    head: &response::Parts,
    connection: &Connection,
) -> Option<&'static str> {
    if !(200..600).contains(&head.status.as_u16()) {
        return Some("invalid-status");
    }
    (!is_response_accepted(facts, head, connection)).then_some("answer-of-another-request")
}

/// Returns whether a response belongs to the request, or the worker reports that the request was not
/// executed.
///
/// Workers may send a second response to an earlier request, which arrives in place of this request's. So
/// a report that names no request counts only on a connection without an earlier exchange.
fn is_response_accepted(
    facts: dialect::ResponseMetadata,
    head: &response::Parts,
    connection: &Connection,
) -> bool {
    let is_report_for_request = match facts.stated_request {
        dialect::StatedRequest::Own => true,
        dialect::StatedRequest::None => !connection.is_reused,
        dialect::StatedRequest::Other => false,
    };
    facts.is_for_request
        || is_report_for_request && facts.is_not_executed && !head.status.is_success()
}

impl Exchange {
    /// Returns the worker that sends the response.
    pub fn worker(&self) -> &name::WorkerName {
        self.load.worker()
    }
}
