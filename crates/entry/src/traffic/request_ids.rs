//! Ids of caller requests.

use std::sync::atomic::{AtomicU64, Ordering};

use jasminetack_domain::name;

/// Creates request ids that are unique over daemons and restarts.
///
/// An id is the host, a random number of this process and a counter.
#[derive(Debug)]
pub struct RequestIds {
    prefix: String,
    next: AtomicU64,
}

impl RequestIds {
    /// Starts to count.
    #[must_use]
    pub fn new(host: &name::HostName) -> Self {
        let prefix = format!("{host}-{:012x}", rand::random::<u64>() >> 16);
        Self { prefix, next: AtomicU64::new(1) }
    }

    /// Creates an id.
    pub fn create(&self) -> name::RequestId {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        name::RequestId::from(format!("{}-{number}", self.prefix))
    }
}
