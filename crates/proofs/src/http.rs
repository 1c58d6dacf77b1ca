//! JSON requests to stand-ins and to the operations ports of daemons.

use std::io;
use std::time::Duration;

use serde_json::Value;

const TIMEOUT: Duration = Duration::from_secs(20);

/// Creates a client that returns responses with an error status instead of failing.
#[must_use]
pub fn agent(timeout: Duration) -> ureq::Agent {
    let config = ureq::Agent::config_builder().http_status_as_error(false);
    config.timeout_global(Some(timeout)).build().into()
}

/// Sends a `GET` request and returns the JSON response.
///
/// # Errors
///
/// Fails when there is no complete JSON response with status 200.
pub fn get(url: &str, key: &str) -> io::Result<Value> {
    let request = agent(TIMEOUT).get(url).header("authorization", format!("Bearer {key}"));
    read(url, request.call())
}

/// Sends a `POST` request with a JSON body and returns the JSON response.
///
/// # Errors
///
/// Fails when there is no complete JSON response with status 200.
pub fn post<Body>(url: &str, key: &str, body: &Body) -> io::Result<Value>
where
    Body: serde::Serialize,
{
    let request = agent(TIMEOUT).post(url).header("authorization", format!("Bearer {key}"));
    read(url, request.send_json(body))
}

/// Sends a `DELETE` request and returns the JSON response.
///
/// # Errors
///
/// Fails when there is no complete JSON response with status 200.
pub fn delete(url: &str, key: &str) -> io::Result<Value> {
    let request = agent(TIMEOUT).delete(url).header("authorization", format!("Bearer {key}"));
    read(url, request.call())
}

/// Sends a `GET` request and returns the response status, or `None` if there is no response.
#[must_use]
pub fn status(url: &str) -> Option<u16> {
    agent(TIMEOUT).get(url).call().ok().map(|response| response.status().as_u16())
}

fn read(
    url: &str,
    result: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
) -> io::Result<Value> {
    let mut response = result.map_err(|error| io::Error::other(format!("{url}: {error}")))?;
    let text = response.body_mut().read_to_string().map_err(io::Error::other)?;
    if response.status() != 200 {
        return Err(io::Error::other(format!("{url}: status {}: {text}", response.status())));
    }
    serde_json::from_str(&text).map_err(io::Error::other)
}
