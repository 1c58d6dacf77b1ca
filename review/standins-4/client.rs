//! Requests of clients.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::http::{self, Message};

static NEXT: AtomicU64 = AtomicU64::new(1);

/// Returns a new identifier of an attempt.
pub fn new_attempt() -> String {
    format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Sends a generation request for an adapter.
pub fn generate(frontend: SocketAddr, attempt: &str, adapter: &str, number: u64) -> Option<Message> {
    let request = format!(
        "POST /draft/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {attempt}\r\nModel: m0/{adapter}\r\nToken-Count: 200,10\r\nPrompt-Prefix: 1:100,{:x}:100\r\nDeadline-Ms: 6000\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi",
        1_000 + number
    );
    http::call(frontend, &request, Duration::from_secs(7)).ok()
}

/// Sends an idempotent request to a path with a key.
pub fn get(frontend: SocketAddr, attempt: &str, path: &str, key: &str) -> Option<Message> {
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {attempt}\r\nAuthorization: Bearer {key}\r\nDeadline-Ms: 3000\r\nConnection: close\r\n\r\n"
    );
    http::call(frontend, &request, Duration::from_secs(4)).ok()
}
