//! Calls of the order-giver to its workers.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request, Uri};
use jasminetack_domain::placement;
use tokio::sync::mpsc;
use tokio::time::{self, Duration};

use super::connection::Connection;
use super::shared::Traffic;
use crate::clock;
use crate::control;
use crate::dialect;

/// Longest wait for the answer to an order or a report.
const CALL_TIMEOUT: Duration = Duration::from_millis(200);

/// Sends orders to workers.
pub struct OrderSender<Dialect> {
    traffic: Arc<Traffic<Dialect>>,
}

impl<Dialect> OrderSender<Dialect>
where
    Dialect: dialect::Dialect,
{
    /// Creates a sender.
    pub fn new(traffic: Arc<Traffic<Dialect>>) -> Self {
        Self { traffic }
    }

    /// Starts to send what the control thread decides.
    pub fn start(self, mut jobs: mpsc::UnboundedReceiver<control::WorkerJob>) {
        let sender = Arc::new(self);
        tokio::spawn(async move {
            while let Some(job) = jobs.recv().await {
                let sender = Arc::clone(&sender);
                tokio::spawn(async move { sender.call(job).await });
            }
        });
    }

    async fn call(&self, job: control::WorkerJob) {
        let (worker, fencing_token) = (job.upstream.name.clone(), job.fencing_token);
        let message = match job.call.clone() {
            control::WorkerCall::Order(order) => {
                let result = self.order(&job, &order).await;
                control::Message::OrderResult { worker, fencing_token, order, result }
            }
            control::WorkerCall::Report => {
                let report = self.report(&job).await;
                control::Message::WorkerReport { worker, fencing_token, report }
            }
        };
        // The control thread ends only with the process.
        let _ = self.traffic.control.send(message);
    }

    async fn order(
        &self,
        job: &control::WorkerJob,
        order: &placement::Order,
    ) -> placement::OrderResult {
        let context = dialect::OrderContext {
            holder: self.traffic.host.name.clone(),
            fencing_token: job.fencing_token,
            worker: job.upstream.name.clone(),
        };
        let (path, body) = self.traffic.dialect.encode_order(order, &context);
        let answer = self.exchange(job, Method::POST, path, body).await;
        match answer {
            Ok((status, _)) => self.traffic.dialect.decode_order_result(status),
            Err(result) => result,
        }
    }

    async fn report(&self, job: &control::WorkerJob) -> Option<dialect::WorkerReport> {
        let path = self.traffic.dialect.report_path();
        let worker = &job.upstream.name;
        let (status, body) = match self.exchange(job, Method::GET, path, Bytes::new()).await {
            Ok(answer) => answer,
            Err(result) => {
                spdlog::warn!("report-failed worker={worker} result={}", result.as_str());
                return None;
            }
        };
        if !status.is_success() {
            spdlog::warn!("report-failed worker={worker} status={status}");
            return None;
        }
        match self.traffic.dialect.decode_report(&body) {
            Ok(report) => Some(report),
            Err(problem) => {
                spdlog::warn!("report-refused worker={worker} problem={problem:?}");
                None
            }
        }
    }

    async fn exchange(
        &self,
        job: &control::WorkerJob,
        method: Method,
        path: &'static str,
        body: Bytes,
    ) -> Result<(hyper::StatusCode, Bytes), placement::OrderResult> {
        let worker = &job.upstream.name;
        let pool = &self.traffic.pool;
        let connection = match pool.take(worker, clock::now_ms()) {
            Some(connection) => connection,
            None => {
                let opened = Connection::open(job.upstream.address).await;
                opened.map_err(|_| placement::OrderResult::NotSent)?
            }
        };
        let mut connection = connection;
        let request = self.request(job, method, path, body);
        let call = async {
            let response = connection.sender.send_request(request).await?;
            let (head, body) = response.into_parts();
            Ok::<_, hyper::Error>((head.status, body.collect().await?.to_bytes()))
        };
        match time::timeout(CALL_TIMEOUT, call).await {
            Ok(Ok(answer)) => {
                pool.put(worker, connection, None, clock::now_ms());
                Ok(answer)
            }
            Ok(Err(error)) if error.is_canceled() => Err(placement::OrderResult::NotSent),
            Ok(Err(_)) | Err(_) => Err(placement::OrderResult::Unanswered),
        }
    }

    fn request(
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
        self.traffic.dialect.set_target_worker(headers, &job.upstream.name);
        request
    }
}
