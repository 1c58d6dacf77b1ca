//! HTTP requests for orders and reports to workers.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request, Uri};
use jasminetack_domain::placement;
use parking_lot::Mutex;
use tokio::sync::mpsc;
use tokio::time::{self, Duration};

use super::connection::Connection;
use super::order_connections::OrderConnections;
use super::shared_state::SharedState;
use crate::clock;
use crate::control;
use crate::dialect;

/// Longest response to an order or report request.
const MAX_RESPONSE_BYTES: usize = 256 * 1024;
/// Timeout of an order or report request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(200);

/// Sends orders of the control thread to workers and fetches their reports.
pub struct OrderSender<Dialect> {
    shared: Arc<SharedState<Dialect>>,
    connections: Mutex<OrderConnections>,
}

impl<Dialect> OrderSender<Dialect>
where
    Dialect: dialect::Dialect,
{
    /// Creates a sender.
    pub fn new(shared: Arc<SharedState<Dialect>>) -> Self {
        Self { shared, connections: Mutex::default() }
    }

    /// Starts sending the jobs of the control thread; jobs run concurrently.
    pub fn start(self, mut jobs: mpsc::UnboundedReceiver<control::WorkerJob>) {
        let sender = Arc::new(self);
        tokio::spawn(async move {
            while let Some(job) = jobs.recv().await {
                let sender = Arc::clone(&sender);
                tokio::spawn(async move { sender.execute(job).await });
            }
        });
    }

    async fn execute(&self, job: control::WorkerJob) {
        let (worker, fencing_token) = (job.upstream.name.clone(), job.fencing_token);
        let message = match job.call.clone() {
            control::WorkerCall::Order(planned) => {
                let result = self.send_order(&job, &planned).await;
                let order = planned.order;
                control::Message::OrderResult { worker, fencing_token, order, result }
            }
            control::WorkerCall::Report => {
                let report = self.fetch_report(&job).await;
                control::Message::WorkerReport { worker, fencing_token, report }
            }
        };
        // The control thread ends only with the process.
        let _ = self.shared.control.send(message);
    }

    async fn send_order(
        &self,
        job: &control::WorkerJob,
        planned: &placement::PlannedOrder,
    ) -> placement::OrderResult {
        let context = dialect::OrderContext {
            holder: self.shared.host.name.clone(),
            fencing_token: job.fencing_token,
            worker: job.upstream.name.clone(),
            precondition: planned.precondition,
        };
        let (path, body) = self.shared.dialect.encode_order(&planned.order, &context);
        let (worker, order) = (&job.upstream.name, &planned.order);
        let kept = self.connections.lock().take(worker, order);
        let request = self.build_request(job, Method::POST, path, body);
        let (status, _, connection) = match send_request(job, request, kept).await {
            Ok(response) => response,
            Err(result) => return result,
        };
        let result = self.shared.dialect.decode_order_result(status);
        if result == placement::OrderResult::Accepted {
            self.connections.lock().keep(worker, order, connection, clock::now_ms());
        }
        result
    }

    async fn fetch_report(&self, job: &control::WorkerJob) -> Option<dialect::WorkerReport> {
        let path = self.shared.dialect.report_path();
        let worker = &job.upstream.name;
        let request = self.build_request(job, Method::GET, path, Bytes::new());
        // A new connection cannot carry a late response to an earlier call.
        let (status, body) = match send_request(job, request, None).await {
            Ok((status, body, _)) => (status, body),
            Err(result) => {
                spdlog::warn!("report-failed worker={worker} result={}", result.as_str());
                return None;
            }
        };
        if !status.is_success() {
            spdlog::warn!("report-failed worker={worker} status={status}");
            return None;
        }
        match self.shared.dialect.decode_report(&body) {
            Ok(report) => Some(report),
            Err(problem) => {
                spdlog::warn!("report-refused worker={worker} problem={problem:?}");
                None
            }
        }
    }

    fn build_request(
        &self,
        job: &control::WorkerJob,
        method: Method,
        path: &'static str,
        body: Bytes,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method;
        *request.uri_mut() = Uri::from_static(path);
        let headers = request.headers_mut();
        if let Ok(host) = HeaderValue::from_str(&job.upstream.address.to_string()) {
            headers.insert(header::HOST, host);
        }
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        self.shared.dialect.set_target_worker(headers, &job.upstream.name);
        request
    }
}

/// Sends a request on a connection, or on a new one, and returns it with the response.
async fn send_request(
    job: &control::WorkerJob,
    request: Request<Full<Bytes>>,
    connection: Option<Connection>,
) -> Result<(hyper::StatusCode, Bytes, Connection), placement::OrderResult> {
    let mut connection = match connection {
        Some(connection) => connection,
        None => {
            let opened = Connection::open(job.upstream.address).await;
            opened.map_err(|_| placement::OrderResult::NotSent)?
        }
    };
    let exchange = time::timeout(REQUEST_TIMEOUT, exchange(&mut connection, request)).await;
    let (status, body) = exchange.unwrap_or(Err(placement::OrderResult::Unanswered))?;
    Ok((status, body, connection))
}

/// Sends a request and reads the whole response.
async fn exchange(
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
) -> Result<(hyper::StatusCode, Bytes), placement::OrderResult> {
    let response = connection.send(request).await.map_err(|error| {
        if error.error().is_canceled() {
            return placement::OrderResult::NotSent;
        }
        placement::OrderResult::Unanswered
    })?;
    let (head, body) = response.into_parts();
    match Limited::new(body, MAX_RESPONSE_BYTES).collect().await {
        Ok(body) => Ok((head.status, body.to_bytes())),
        Err(_) => Err(placement::OrderResult::Unanswered),
    }
}
