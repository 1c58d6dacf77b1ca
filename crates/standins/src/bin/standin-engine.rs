//! Program `standin-engine`: a model engine with a vLLM-style HTTP API.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use indexmap::IndexSet;
use jasminetack_standins::http;
use jasminetack_wire::engine;
use parking_lot::Mutex;
use serde_json::json;

const DEFAULT_MAX_TOKENS: u32 = 16;
const STEP: Duration = Duration::from_millis(10);

fn complete(
    loaded: &Mutex<IndexSet<String>>,
    mut request: tiny_http::Request,
) -> std::io::Result<()> {
    let completion: engine::Completion = serde_json::from_reader(request.as_reader())?;
    if !loaded.lock().contains(&completion.model) {
        let message = format!("The model `{}` does not exist.", completion.model);
        return http::respond_json(request, 404, &json!({ "error": { "message": message } }));
    }
    let tokens = completion.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    if completion.stream {
        let mut stream = http::EventStream::start(request.into_writer())?;
        for index in 0..tokens {
            thread::sleep(STEP);
            let event = json!({
                "model": completion.model,
                "choices": [{ "index": 0, "text": format!("t{index} ") }],
            });
            stream.send(&event.to_string())?;
        }
        stream.send("[DONE]")?;
        return stream.finish();
    }
    thread::sleep(STEP * tokens);
    let text: String = (0..tokens).map(|index| format!("t{index} ")).collect();
    let answer = json!({ "model": completion.model, "choices": [{ "index": 0, "text": text }] });
    http::respond_json(request, 200, &answer)
}

fn serve(loaded: &Mutex<IndexSet<String>>, mut request: tiny_http::Request) -> std::io::Result<()> {
    match request.url() {
        "/v1/completions" | "/v1/chat/completions" => complete(loaded, request),
        "/v1/load_lora_adapter" => {
            let order: engine::LoadAdapter = serde_json::from_reader(request.as_reader())?;
            loaded.lock().insert(order.lora_name);
            http::respond_json(request, 200, &json!({}))
        }
        "/v1/unload_lora_adapter" => {
            let order: engine::UnloadAdapter = serde_json::from_reader(request.as_reader())?;
            loaded.lock().shift_remove(&order.lora_name);
            http::respond_json(request, 200, &json!({}))
        }
        _ => http::respond_json(request, 404, &json!({})),
    }
}

fn main() {
    let flags = xflags::parse_or_exit! {
        /// Address to listen on.
        required --address address: String
    };
    let server = match tiny_http::Server::http(&flags.address) {
        Ok(server) => server,
        Err(error) => {
            eprintln!("cannot listen on {}: {error}", flags.address);
            std::process::exit(1);
        }
    };
    let loaded = Arc::new(Mutex::new(IndexSet::new()));
    for request in server.incoming_requests() {
        let loaded = Arc::clone(&loaded);
        thread::spawn(move || {
            let _ = serve(&loaded, request);
        });
    }
}
