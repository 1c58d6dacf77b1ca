//! Entry side of one model request, from admission to the end of its answer.

use bytes::Bytes;
use http_body_util::{Either, channel};
use hyper::header;
use hyper::{Response, StatusCode};
use jasminetack_domain::adapter;
use jasminetack_domain::name;
use jasminetack_domain::request;
use jasminetack_domain::route;
use jasminetack_wire::engine;
use jasminetack_wire::failure;
use tokio::sync::mpsc;

use super::answer_event::{AnswerEvent, Refusal};
use super::body;
use super::caller_error::CallerError;
use super::model_order::ModelOrder;
use super::owners::Owners;
use super::router::Router;
use super::start_order::StartOrder;
use crate::journal;
use crate::settings;
use crate::snapshot;

/// Chunks that may wait for a slow caller before the upstream is read no further.
const BODY_BUFFER_CHUNKS: usize = 16;

/// What a model request needs besides its own content.
pub struct ModelCall<'a, RoutePolicy, Local> {
    pub settings: &'a settings::Settings,
    pub snapshot: &'a snapshot::Snapshot,
    pub owners: &'a Owners<Local>,
    pub journal: &'a journal::Journal,
    pub router: &'a Router<RoutePolicy>,
    pub request_id: &'a name::RequestId,
    pub team: name::TeamName,
}

impl<RoutePolicy, Local> ModelCall<'_, RoutePolicy, Local>
where
    RoutePolicy: route::Policy,
    Local: StartOrder,
{
    /// Serves the request at the present time.
    ///
    /// # Errors
    ///
    /// Fails when the request is malformed, names no adapter, or no worker serves it.
    pub async fn run(
        self,
        path: String,
        body: Bytes,
        now_ms: u64,
    ) -> Result<Response<body::Body>, CallerError> {
        let completion: engine::Completion = serde_json::from_slice(&body).map_err(|error| {
            CallerError::not_run(StatusCode::BAD_REQUEST, "bad_json", error.to_string())
        })?;
        let (adapter, row) = self.snapshot.table.resolve(&completion.model).map_err(|error| {
            CallerError::not_run(StatusCode::NOT_FOUND, "unknown_adapter", error.to_string())
        })?;
        let order = ModelOrder {
            request_id: self.request_id.clone(),
            worker: self.route(&adapter, &row.base_model, now_ms)?,
            adapter: adapter.clone(),
            team: self.team.clone(),
            weight: row.limits.weight,
            share: row.limits.share,
            class: request::Class::Normal.limited_to(row.limits.class),
            remaining_ms: self.settings.default_timeout_ms,
            path,
            body,
        };
        let events = self.owners.start(self.snapshot, order).map_err(CallerError::from)?;
        relay(events, self.request_id, &adapter).await
    }

    fn route(
        &self,
        adapter: &adapter::AdapterRef,
        base_model: &name::BaseModelName,
        now_ms: u64,
    ) -> Result<name::WorkerName, CallerError> {
        let request =
            route::RouteRequest { adapter, base_model, from: &self.settings.place, excluded: &[] };
        let decision =
            self.router.choose(&request, &self.snapshot.fleet, now_ms).ok_or_else(|| {
                CallerError::not_run(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "no_worker",
                    format!("no worker serves base model {base_model}"),
                )
            })?;
        let considered = decision
            .considered
            .iter()
            .map(|(worker, cost_ms)| format!("{worker}:{cost_ms}"))
            .collect::<Vec<_>>()
            .join(",");
        let adapter = adapter.to_string();
        spdlog::info!("route", kv: {
            request_id = self.request_id.as_str(),
            adapter = adapter.as_str(),
            worker = decision.worker.as_str(),
            cost_ms = decision.cost_ms,
            considered = considered.as_str(),
            reason = decision.reason,
        });
        let text = format!(
            "route adapter={adapter} worker={} cost_ms={} considered={considered} reason={:?}",
            decision.worker, decision.cost_ms, decision.reason,
        );
        self.journal.record(self.request_id, now_ms, text);
        Ok(decision.worker)
    }
}

async fn relay(
    mut events: mpsc::Receiver<AnswerEvent>,
    request_id: &name::RequestId,
    adapter: &adapter::AdapterRef,
) -> Result<Response<body::Body>, CallerError> {
    let (status, content_type) = loop {
        match events.recv().await {
            Some(AnswerEvent::Progress { .. }) => {}
            Some(AnswerEvent::Head { status, content_type, .. }) => break (status, content_type),
            Some(AnswerEvent::Refused(refusal)) => return Err(CallerError::from(refusal)),
            Some(AnswerEvent::Chunk(_) | AnswerEvent::End) | None => {
                return Err(CallerError::unknown(
                    StatusCode::BAD_GATEWAY,
                    "owner_lost",
                    "the owner of the worker ended without an answer",
                ));
            }
        }
    };
    let (mut sender, content) = channel::Channel::new(BODY_BUFFER_CHUNKS);
    tokio::spawn(async move {
        while let Some(event) = events.recv().await {
            match event {
                AnswerEvent::Chunk(data) => {
                    if sender.send_data(data).await.is_err() {
                        return;
                    }
                }
                AnswerEvent::End => return,
                _ => break,
            }
        }
        sender.abort(body::Aborted);
    });
    Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, content_type)
        .header(failure::REQUEST_ID_HEADER, request_id.as_str())
        .header(failure::ADAPTER_HEADER, adapter.to_string())
        .body(Either::Right(content))
        .map_err(|error| {
            CallerError::unknown(StatusCode::BAD_GATEWAY, "bad_answer", error.to_string())
        })
}

impl From<Refusal> for CallerError {
    fn from(refusal: Refusal) -> Self {
        Self {
            status: StatusCode::from_u16(refusal.status).unwrap_or(StatusCode::BAD_GATEWAY),
            code: refusal.code,
            message: refusal.message,
            outcome: refusal.outcome,
            retry_after_ms: refusal.retry_after_ms,
        }
    }
}
