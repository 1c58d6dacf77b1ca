//! JSON calls to stand-ins and operations ports.

use std::io;
use std::time::Duration;

use serde_json::Value;

const TIMEOUT: Duration = Duration::from_secs(20);

/// Creates a client that returns answers of any status.
#[must_use]
pub fn agent(timeout: Duration) -> ureq::Agent {
    let config = ureq::Agent::config_builder().http_status_as_error(false);
    config.timeout_global(Some(timeout)).build().into()
}

/// Reads a JSON document.
///
/// # Errors
///
/// Fails when there is no complete answer with status 200.
pub fn get(url: &str, key: &str) -> io::Result<Value> {
    let request = agent(TIMEOUT).get(url).header("authorization", format!("Bearer {key}"));
    read(url, request.call())
}

/// Sends a JSON document and reads one.
///
/// # Errors
///
/// Fails when there is no complete answer with status 200.
pub fn post<Body>(url: &str, key: &str, body: &Body) -> io::Result<Value>
where
    Body: serde::Serialize,
{
    let request = agent(TIMEOUT).post(url).header("authorization", format!("Bearer {key}"));
    read(url, request.send_json(body))
}

/// Deletes a resource.
///
/// # Errors
///
/// Fails when there is no complete answer with status 200.
pub fn delete(url: &str, key: &str) -> io::Result<Value> {
    let request = agent(TIMEOUT).delete(url).header("authorization", format!("Bearer {key}"));
    read(url, request.call())
}

/// Returns the status of a page, or `None` when there is no answer.
#[must_use]
pub fn status(url: &str) -> Option<u16> {
    agent(TIMEOUT).get(url).call().ok().map(|answer| answer.status().as_u16())
}

fn read(
    url: &str,
    result: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
) -> io::Result<Value> {
    let mut answer = result.map_err(|error| io::Error::other(format!("{url}: {error}")))?;
    let text = answer.body_mut().read_to_string().map_err(io::Error::other)?;
    if answer.status() != 200 {
        return Err(io::Error::other(format!("{url}: {} {text}", answer.status())));
    }
    serde_json::from_str(&text).map_err(io::Error::other)
}
