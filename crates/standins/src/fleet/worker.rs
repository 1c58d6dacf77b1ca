//! Stand-in for a worker that queues requests itself: a model engine or a plain service.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{HeaderMap, Request, Response, StatusCode};
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::sync::{Notify, mpsc};
use tokio::time;

use super::http_server::{self, Body, Handler};
use super::order_executor::OrderExecutor;
use super::response_stream::{ResponseStream, end_with_connection, framed_response};
use super::run_guard::RunGuard;
use super::stream_end::StreamEnd;
use super::worker_faults::{ResponseFraming, WorkerFaults};
use super::worker_log::{Run, WorkerLog};
use super::worker_messages;

/// Exceeds the response timeout of every test.
const UNRESPONSIVE_DURATION: Duration = Duration::from_secs(600);
/// Time from a crash to the restart.
const RESTART_TIME: Duration = Duration::from_secs(1);
/// Configuration of a worker.
#[derive(Clone, Debug)]
pub struct WorkerConfig {
    /// Worker ID.
    pub id: String,
    /// Service that the worker belongs to.
    pub service: String,
    /// Failure domain.
    pub zone: String,
    /// Base model of an engine; `None` for a plain service.
    pub model: Option<String>,
    /// Number of adapters that fit into memory.
    pub adapter_slots: usize,
    /// Time to load an adapter.
    pub load_time: Duration,
    /// Number of events per stream.
    pub events: u32,
    /// Interval between stream events; also the execution time of a plain request.
    pub event_interval: Duration,
    /// Lease duration; orders of two holders within it are recorded as a violation.
    pub lease: Duration,
}

/// Stand-in for a worker.
#[derive(Debug)]
pub struct Worker {
    pub(super) config: WorkerConfig,
    pub(super) faults: Mutex<WorkerFaults>,
    pub(super) orders: Mutex<OrderExecutor>,
    pub(super) published_versions: Mutex<BTreeMap<String, u64>>,
    pub(super) log: Mutex<WorkerLog>,
    /// Notified when the worker crashes.
    crash: Notify,
    crashes: AtomicU64,
}

impl Worker {
    /// Starts a worker and returns it together with its address.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is available or the thread cannot be spawned.
    pub fn start(config: WorkerConfig) -> io::Result<(Arc<Self>, SocketAddr)> {
        let worker = Arc::new(Self {
            orders: Mutex::new(OrderExecutor::new(config.load_time)),
            config,
            faults: Mutex::default(),
            published_versions: Mutex::default(),
            log: Mutex::default(),
            crash: Notify::new(),
            crashes: AtomicU64::new(0),
        });
        let address = http_server::serve(Arc::clone(&worker), ([127, 0, 0, 1], 0).into())?;
        Ok((worker, address))
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: WorkerFaults) {
        *self.faults.lock() = faults;
    }

    /// Returns the injected faults.
    pub fn faults(&self) -> WorkerFaults {
        *self.faults.lock()
    }

    /// Returns a copy of the log.
    pub fn log(&self) -> WorkerLog {
        self.log.lock().clone()
    }

    /// Publishes a newer version of an adapter, which later loads use by default.
    pub fn publish_version(&self, adapter: &str, version: u64) {
        self.published_versions.lock().insert(adapter.to_owned(), version);
    }

    /// Returns how many times the worker has crashed; it restarts without adapters.
    pub fn crashes(&self) -> u64 {
        self.crashes.load(Ordering::Relaxed)
    }

    /// Drops all adapters, as a restart would.
    pub fn unload_all(&self) {
        self.orders.lock().restart();
    }

    /// Returns the entry that the worker writes to the store.
    pub fn entry(&self, address: SocketAddr, state: &str, born: u64) -> Value {
        json!({
            "Service": self.config.service,
            "Address": address.to_string(),
            "Zone": self.config.zone,
            "Version": "v1",
            "Slots": 6,
            "State": state,
            "ColdLeftMs": 0,
            "Models": self.models(),
            "Sequence": self.orders.lock().sequence(),
            "born": born,
        })
    }

    fn models(&self) -> Value {
        let Some(model) = &self.config.model else { return json!([]) };
        let adapters = self.orders.lock().listed(true, "", Instant::now());
        json!([{"Name": model, "Version": 1, "Adapters": adapters}])
    }

    fn report(&self) -> Value {
        let orders = self.orders.lock().clone();
        let prefix = format!("{}/", self.config.model.as_deref().unwrap_or_default());
        json!({
            "Phase": "colocated",
            "Models": self.models(),
            "Pending": orders.listed(false, &prefix, Instant::now()),
            "Sequence": orders.sequence(),
        })
    }

    pub(super) fn record_violation(&self, violation: String) {
        self.log.lock().violations.push(violation);
    }

    /// Returns the adapter version that runs a request, or the status with which it is rejected.
    fn admit(&self, headers: &HeaderMap) -> Result<Option<String>, StatusCode> {
        let header = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        if header("Expected-Instance").is_some_and(|id| id != self.config.id) {
            return Err(StatusCode::MISDIRECTED_REQUEST);
        }
        for internal_header in ["Hold", "Pin-Ms", "Kv-Backup", "Kv-From"] {
            if headers.contains_key(internal_header) {
                self.record_violation(format!(
                    "internal header {internal_header} reached the worker"
                ));
            }
        }
        let Some((_, adapter)) = header("Model").and_then(|model| model.split_once('/')) else {
            return Ok(None);
        };
        let orders = self.orders.lock();
        let loaded = orders.adapters().get(adapter).filter(|(_, ready)| *ready <= Instant::now());
        let (version, _) = loaded.ok_or(StatusCode::MISDIRECTED_REQUEST)?;
        let expected = header("Expected-Version").and_then(|version| version.parse().ok());
        if expected.is_some_and(|expected: u64| expected != *version) {
            return Err(StatusCode::MISDIRECTED_REQUEST);
        }
        Ok(Some(format!("{adapter}@{version}")))
    }

    fn start_run(
        &self,
        attempt_id: &str,
        adapter: Option<String>,
        remaining_ms: Option<u64>,
        resumed_after: u32,
    ) -> usize {
        let run = Run {
            attempt_id: attempt_id.to_owned(),
            adapter,
            remaining_ms,
            resumed_after,
            started: Instant::now(),
            ended: None,
        };
        let mut log = self.log.lock();
        log.runs.push(run);
        log.runs.len() - 1
    }

    /// Records the end of a run.
    pub(super) fn finish_run(&self, run: usize) {
        self.log.lock().runs[run].ended = Some(Instant::now());
    }

    fn is_full(&self, max_runs: Option<usize>) -> bool {
        let Some(max_runs) = max_runs else { return false };
        let log = self.log.lock();
        log.runs.iter().filter(|run| run.ended.is_none()).count() >= max_runs
    }

    async fn serve(self: Arc<Self>, request: Request<Incoming>) -> Option<Response<Body>> {
        let faults = *self.faults.lock();
        let mut response = self.respond(request, faults).await?;
        if let Some(limit) = faults.stated_limit {
            response.headers_mut().insert("Server-Limit", limit.parse().expect("a header value"));
        }
        if faults.states_leaving {
            response.headers_mut().insert("Server-Leaving", HeaderValue::from_static("1"));
        }
        Some(response)
    }

    async fn respond(
        self: Arc<Self>,
        request: Request<Incoming>,
        faults: WorkerFaults,
    ) -> Option<Response<Body>> {
        let (head, body) = request.into_parts();
        body.collect().await.ok()?;
        let header = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
        let attempt_id = header("Attempt-Id").unwrap_or_default().to_owned();
        let response_attempt_id =
            if faults.mismatches_attempt_ids { "another" } else { &attempt_id };
        if faults.rejects_requests || self.is_full(faults.max_runs) {
            self.log.lock().rejections.push(Instant::now());
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let mut response = worker_messages::not_executed_response(status, response_attempt_id);
            if let Some(retry_after) = faults.rejection_retry_after {
                let retry_after = HeaderValue::from_static(retry_after);
                response.headers_mut().insert(RETRY_AFTER, retry_after);
            }
            return Some(response);
        }
        let adapter = match self.admit(&head.headers) {
            Ok(adapter) => adapter,
            Err(status) => {
                return Some(worker_messages::not_executed_response(status, response_attempt_id));
            }
        };
        let resumed_after = header("Last-Event-Id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let remaining_ms = header("Deadline-Ms").and_then(|text| text.parse().ok());
        let run = self.start_run(&attempt_id, adapter.clone(), remaining_ms, resumed_after);
        let guard = RunGuard { worker: Arc::clone(&self), run };
        if faults.drops_responses {
            return None;
        }
        if self.config.model.is_none() {
            time::sleep(self.config.event_interval).await;
            drop(guard);
            let status = if faults.returns_errors {
                StatusCode::INTERNAL_SERVER_ERROR
            } else {
                StatusCode::OK
            };
            let response = framed_response(status, format!("done {attempt_id}"), faults.framing);
            return Some(worker_messages::with_identity_headers(response, response_attempt_id));
        }
        let crashes = faults
            .crashes_on_segment
            .is_some_and(|id| worker_messages::has_segment(&head.headers, id));
        if crashes && faults.framing != ResponseFraming::UntilClose {
            time::sleep(self.config.event_interval).await;
            self.crash.notify_one();
            return None;
        }
        let (sender, receiver) = mpsc::channel(1);
        let label = adapter.unwrap_or_else(|| "base".to_owned());
        let end =
            StreamEnd { abort_after: faults.abort_stream_after, crash_after: crashes.then_some(1) };
        tokio::spawn(self.stream(guard, label, resumed_after, end, sender));
        let stream = ResponseStream { receiver };
        let body = StreamBody::new(stream).boxed();
        let mut response = Response::new(body);
        if faults.framing == ResponseFraming::UntilClose {
            end_with_connection(&mut response);
        }
        Some(worker_messages::with_identity_headers(response, response_attempt_id))
    }

    async fn stream(
        self: Arc<Self>,
        guard: RunGuard,
        label: String,
        resumed_after: u32,
        end: StreamEnd,
        sender: mpsc::Sender<Result<Frame<Bytes>, io::Error>>,
    ) {
        for event in resumed_after + 1..=self.config.events {
            tokio::select! {
                () = time::sleep(self.config.event_interval) => {}
                () = sender.closed() => return,
            }
            let sent = event - resumed_after - 1;
            if end.crash_after == Some(sent) {
                self.crash.notify_one();
                return;
            }
            if end.abort_after.is_some_and(|limit| sent >= limit) {
                let partial_event = Bytes::from(format!("id: {event}\nda"));
                let _ = sender.send(Ok(Frame::data(partial_event))).await;
                let _ = sender.send(Err(io::Error::other("injected stream failure"))).await;
                return;
            }
            let data = Bytes::from(format!("id: {event}\ndata: {label} {event}\n\n"));
            if sender.send(Ok(Frame::data(data))).await.is_err() {
                return;
            }
        }
        drop(guard);
    }
}

impl Handler for Worker {
    fn record_connection(&self) {
        self.log.lock().connections += 1;
    }

    async fn wait_for_crash(&self) -> Duration {
        self.crash.notified().await;
        self.crashes.fetch_add(1, Ordering::Relaxed);
        self.unload_all();
        RESTART_TIME
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Option<Response<Body>> {
        self.log.lock().heads.push(worker_messages::head_text(&request));
        let faults = *self.faults.lock();
        if faults.is_unresponsive {
            time::sleep(UNRESPONSIVE_DURATION).await;
            return None;
        }
        match request.uri().path() {
            "/v1/order" => {
                let body = request.into_body().collect().await.ok()?.to_bytes();
                let response = self.order(&body);
                if faults.withholds_order_responses || response.is_none() {
                    time::sleep(UNRESPONSIVE_DURATION).await;
                }
                response
            }
            "/v1/report" => {
                self.log.lock().reports += 1;
                Some(http_server::json_response(StatusCode::OK, &self.report()))
            }
            _ => self.serve(request).await,
        }
    }
}
