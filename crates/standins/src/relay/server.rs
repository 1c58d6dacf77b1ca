//! HTTP control server of a relay.

use std::io;

use super::Relay;
use crate::http;

/// Serves `GET /audit` and `POST /switch` for a relay.
#[derive(Debug)]
pub struct Server {
    relay: Relay,
}

impl Server {
    /// Creates the control server of a relay.
    #[must_use]
    pub fn new(relay: Relay) -> Self {
        Self { relay }
    }
}

impl http::Handler for Server {
    fn handle(&self, mut request: tiny_http::Request) -> io::Result<()> {
        match request.url() {
            "/audit" => http::respond_json(request, 200, &self.relay.audit()),
            "/switch" => match http::read_json(&mut request) {
                Ok(faults) => {
                    self.relay.set_faults(faults);
                    http::respond_json(request, 200, &faults)
                }
                Err(error) => http::respond_error(request, 400, "bad_json", &error.to_string()),
            },
            _ => http::respond_error(request, 404, "no_such_path", "no such path"),
        }
    }
}
