//! HTTP server of the app service.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use serde_json::json;

use super::{App, Behaviour, Close, Execution};
use crate::http;
use crate::relay;

struct Server {
    app: App,
    key: String,
    relay: relay::Relay,
}

/// Starts the app service in the background and returns its address.
///
/// A relay accepts the connections, because `tiny_http` cannot close one without a response.
///
/// # Errors
///
/// Returns an error if a port cannot be bound or a thread cannot be spawned.
pub fn start(listener: TcpListener, key: String, behaviour: Behaviour) -> io::Result<SocketAddr> {
    let address = listener.local_addr()?;
    let backend_listener = http::listen("127.0.0.1:0")?;
    let relay = relay::Relay::start(listener, backend_listener.local_addr()?)?;
    let app = App::default();
    app.set_behaviour(behaviour);
    http::serve(backend_listener, Arc::new(Server { app, key, relay }))?;
    Ok(address)
}

impl Server {
    fn execute(&self, mut request: tiny_http::Request) -> io::Result<()> {
        let mut body = Vec::new();
        request.as_reader().read_to_end(&mut body)?;
        let close = self.app.next_close();
        if close == Some(Close::Before) {
            return self.close(&request);
        }
        let execution = Execution {
            method: request.method().to_string(),
            path: request.url().to_owned(),
            idempotency_key: http::header(&request, "idempotency-key").map(str::to_owned),
            request_id: http::header(&request, "jasminetack-request-id").map(str::to_owned),
            body: String::from_utf8_lossy(&body).into_owned(),
            ..Execution::default()
        };
        let mut response = json!({
            "method": execution.method,
            "path": execution.path,
            "body": execution.body,
        });
        let number = self.app.execute(execution);
        if close == Some(Close::After) {
            return self.close(&request);
        }
        response["execution"] = json!(number);
        self.app.wait_before_response();
        self.app.mark_answered(number);
        http::respond_json(request, 200, &response)
    }

    fn close(&self, request: &tiny_http::Request) -> io::Result<()> {
        if let Some(address) = request.remote_addr() {
            self.relay.close(*address);
        }
        Ok(())
    }
}

impl http::Handler for Server {
    fn handle(&self, mut request: tiny_http::Request) -> io::Result<()> {
        match request.url() {
            "/audit" => http::respond_json(request, 200, &self.app.audit()),
            "/switch" => match http::read_json(&mut request) {
                Ok(behaviour) => {
                    self.app.set_behaviour(behaviour);
                    http::respond_json(request, 200, &behaviour)
                }
                Err(error) => http::respond_error(request, 400, "bad_json", &error.to_string()),
            },
            _ if !http::is_authorized(&request, &self.key) => {
                http::respond_error(request, 401, "bad_key", "the bearer key is not valid")
            }
            _ => self.execute(request),
        }
    }
}
