//! One attempt of a request at one worker.

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

use super::connection::Connection;
use super::load_guard::LoadGuard;
use super::pool::Pool;
use crate::clock;

/// Idle connections that turn out to be closed before a new one is opened.
const MAX_STALE: usize = 2;

/// An answer that has begun.
#[derive(Debug)]
pub struct Exchange {
    /// Connection on which the answer comes.
    pub connection: Connection,
    /// Timeout that the worker names for idle connections.
    pub keep_alive_ms: Option<u64>,
    /// Accounting at the worker.
    pub load: LoadGuard,
}

/// Why an attempt has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptError {
    /// Nothing was sent.
    NotSent(&'static str),
    /// The request was sent and may have run.
    Unknown(&'static str),
    /// The time for the attempt is over; the request may run on.
    TimedOut,
}

/// Sends a request to a worker and waits for the head of the answer.
///
/// # Errors
///
/// Fails when the worker cannot be reached, breaks the connection or does not answer in time.
pub async fn send(
    pool: &Arc<Pool>,
    upstream: &upstream::Upstream,
    mut request: Request<Full<Bytes>>,
    mut load: LoadGuard,
    limit_ms: u64,
) -> Result<(Response<Incoming>, Exchange), AttemptError> {
    let worker = &upstream.name;
    let limit = Duration::from_millis(limit_ms);
    let began_ms = clock::now_ms();
    for stale in 0..=MAX_STALE {
        let idle = if stale < MAX_STALE { pool.take(worker, clock::now_ms()) } else { None };
        let mut connection = match idle {
            Some(connection) => connection,
            None => open(pool, upstream, &load).await?,
        };
        let elapsed = Duration::from_millis(clock::now_ms().saturating_sub(began_ms));
        let sent = connection.sender.try_send_request(request);
        let Ok(result) = time::timeout(limit.saturating_sub(elapsed), sent).await else {
            return Err(AttemptError::TimedOut);
        };
        let mut error = match result {
            Ok(response) => {
                load.heard(clock::now_ms());
                let keep_alive_ms = keep_alive_ms(&response);
                return Ok((response, Exchange { connection, keep_alive_ms, load }));
            }
            Err(error) => error,
        };
        // hyper returns a request of which no byte was written.
        let Some(returned) = error.take_message() else {
            load.failed(clock::now_ms());
            if connection.is_reused {
                pool.close_before(worker, began_ms);
            }
            return Err(AttemptError::Unknown("connection-broken"));
        };
        request = returned;
    }
    Err(AttemptError::NotSent("connections-stale"))
}

/// Opens a connection and counts a failure to do so against the worker.
async fn open(
    pool: &Arc<Pool>,
    upstream: &upstream::Upstream,
    load: &LoadGuard,
) -> Result<Connection, AttemptError> {
    Connection::open(upstream.address).await.map_err(|error| {
        let now_ms = clock::now_ms();
        load.failed(now_ms);
        pool.close_before(&upstream.name, now_ms);
        let (worker, address) = (&upstream.name, upstream.address);
        spdlog::warn!("connect-failed worker={worker} address={address} error=\"{error}\"");
        AttemptError::NotSent("connect-failed")
    })
}

fn keep_alive_ms<Body>(response: &Response<Body>) -> Option<u64> {
    let value = response.headers().get("keep-alive")?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse::<u64>().ok().map(|seconds| seconds * 1_000)
}

/// Returns whether an answer may be passed on: it belongs to the request.
pub fn belongs(facts: crate::dialect::ResponseMetadata, head: &response::Parts) -> bool {
    facts.is_for_request || facts.is_not_executed && !head.status.is_success()
}

/// Names the worker of an exchange.
impl Exchange {
    /// Returns the worker.
    pub fn worker(&self) -> &name::WorkerName {
        self.load.worker()
    }
}
