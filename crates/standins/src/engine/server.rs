//! HTTP server of the engine.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use jasminetack_wire::engine as wire;
use serde_json::json;

use super::{ApiError, Config, Engine, Generation, openai};
use crate::http;

struct Server {
    engine: Arc<Engine>,
    unnamed_requests: AtomicU64,
}

/// Starts an engine in the background and returns its address.
///
/// # Errors
///
/// Returns an error if the listener cannot be used or a thread cannot be spawned.
pub fn start(listener: TcpListener, config: Config) -> io::Result<SocketAddr> {
    let engine = Arc::new(Engine::new(config));
    let step_loop = Arc::clone(&engine);
    thread::Builder::new().name("steps".to_owned()).spawn(move || step_loop.run_steps())?;
    http::serve(listener, Arc::new(Server { engine, unnamed_requests: AtomicU64::new(0) }))
}

impl http::Handler for Server {
    fn handle(&self, request: tiny_http::Request) -> io::Result<()> {
        let url = request.url().to_owned();
        let (path, query) = http::split_url(&url);
        let engine = &self.engine;
        match path {
            "/audit" => return http::respond_json(request, 200, &engine.audit()),
            "/switch" => {
                return order(request, |switches, _| Ok(engine.switch(switches)));
            }
            _ => {}
        }
        if !http::is_authorized(&request, &engine.config().key) {
            return http::respond_error(request, 401, "bad_key", "the bearer key is not valid");
        }
        match path {
            "/v1/completions" => self.complete(request, false),
            "/v1/chat/completions" => self.complete(request, true),
            "/v1/load_lora_adapter" => order(request, |load, fencing| {
                engine.load(&load, fencing).map(|()| json!({ "loaded": load.lora_name }))
            }),
            "/v1/unload_lora_adapter" => order(request, |unload, fencing| {
                engine.unload(&unload, fencing).map(|()| json!({ "unloaded": unload.lora_name }))
            }),
            "/v1/models" => {
                let mut models = Vec::new();
                for id in engine.loaded() {
                    let parent = &engine.config().base_model;
                    models.push(json!({ "id": id, "object": "model", "parent": parent }));
                }
                http::respond_json(request, 200, &json!({ "object": "list", "data": models }))
            }
            "/role" if *request.method() == tiny_http::Method::Post => {
                order(request, |role, fencing| {
                    engine.order_role(&role, fencing).map(|()| engine.role())
                })
            }
            "/role" => http::respond_json(request, 200, &engine.role()),
            "/cancel" => order(request, |cancel: wire::CancelRequest, fencing| {
                let cancelled = engine.cancel(&cancel.request_id, fencing)?;
                Ok(wire::CancelResponse { cancelled })
            }),
            "/resume" => self.resume(request),
            "/load" => http::respond_json(request, 200, &engine.load_report()),
            "/cache_events" => {
                let after =
                    http::query_parameter(query, "after").and_then(|text| text.parse().ok());
                http::respond_json(request, 200, &engine.cache_events(after.unwrap_or(0)))
            }
            _ => http::respond_error(request, 404, "no_such_path", "no such path"),
        }
    }
}

impl Server {
    fn complete(&self, mut request: tiny_http::Request, is_chat: bool) -> io::Result<()> {
        let completion: wire::Completion = match http::read_json(&mut request) {
            Ok(completion) => completion,
            Err(error) => {
                return http::respond_error(request, 400, "bad_json", &error.to_string());
            }
        };
        let request_id = http::header(&request, wire::ENGINE_REQUEST_ID_HEADER).map(str::to_owned);
        let request_id = request_id.unwrap_or_else(|| {
            format!("unnamed-{}", self.unnamed_requests.fetch_add(1, Ordering::Relaxed))
        });
        let generation_request = openai::parse_request(&completion, is_chat, request_id);
        let generation = match self.engine.submit(generation_request, fencing(&request)) {
            Ok(generation) => generation,
            Err(error) => return respond_api_error(request, &error),
        };
        let model = self.response_model(&generation);
        if completion.stream {
            return self.stream(request, &generation, 0, &model);
        }
        let (status, body) = openai::complete(&generation, &model);
        http::respond_json(request, status, &body)
    }

    fn resume(&self, mut request: tiny_http::Request) -> io::Result<()> {
        let order: wire::ResumeRequest = match http::read_json(&mut request) {
            Ok(order) => order,
            Err(error) => {
                return http::respond_error(request, 400, "bad_json", &error.to_string());
            }
        };
        match self.engine.resume(&order.request_id, fencing(&request)) {
            Ok(generation) => {
                let model = self.response_model(&generation);
                self.stream(request, &generation, order.offset, &model)
            }
            Err(error) => respond_api_error(request, &error),
        }
    }

    fn stream(
        &self,
        request: tiny_http::Request,
        generation: &Generation,
        offset: usize,
        model: &str,
    ) -> io::Result<()> {
        let result = openai::stream(generation, offset, model, request.into_writer());
        if result.is_err() {
            self.engine.detach(generation);
        }
        result
    }

    fn response_model(&self, generation: &Generation) -> String {
        if self.engine.switches().wrong_model == Some(true) {
            return "wrong@1".to_owned();
        }
        generation.instance.clone()
    }
}

fn order<Order, Response, Act>(mut request: tiny_http::Request, act: Act) -> io::Result<()>
where
    Order: serde::de::DeserializeOwned,
    Response: serde::Serialize,
    Act: FnOnce(Order, u64) -> Result<Response, ApiError>,
{
    let order = match http::read_json(&mut request) {
        Ok(order) => order,
        Err(error) => return http::respond_error(request, 400, "bad_json", &error.to_string()),
    };
    match act(order, fencing(&request)) {
        Ok(response) => http::respond_json(request, 200, &response),
        Err(error) => respond_api_error(request, &error),
    }
}

fn respond_api_error(request: tiny_http::Request, error: &ApiError) -> io::Result<()> {
    http::respond_error(request, error.status, error.code, &error.message)
}

fn fencing(request: &tiny_http::Request) -> u64 {
    http::header(request, wire::FENCING_HEADER).and_then(|text| text.parse().ok()).unwrap_or(0)
}
