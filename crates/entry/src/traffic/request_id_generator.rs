//! Generation of request ids.

use std::sync::atomic::{AtomicU64, Ordering};

use jasminetack_domain::name;

/// Generates request ids that are unique across daemons and restarts.
///
/// An id consists of the host, a random number of the process, and a counter.
#[derive(Debug)]
pub struct RequestIdGenerator {
    prefix: String,
    next: AtomicU64,
}

impl RequestIdGenerator {
    /// Creates a generator with a new random prefix.
    #[must_use]
    pub fn new(host: &name::HostName) -> Self {
        let prefix = format!("{host}-{:012x}", rand::random::<u64>() >> 16);
        Self { prefix, next: AtomicU64::new(1) }
    }

    /// Returns a new id.
    pub fn next_id(&self) -> name::RequestId {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        name::RequestId::from(format!("{}-{number}", self.prefix))
    }
}
