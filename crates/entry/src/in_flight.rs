//! Counter of requests in flight.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::Notify;

/// Counts requests from the first byte of the request to the last byte of the response.
///
/// ```
/// use jasminetack_entry::in_flight;
///
/// let requests = in_flight::InFlight::default();
/// let guard = requests.enter();
/// assert_eq!(requests.count(), 1);
/// drop(guard);
/// assert_eq!(requests.count(), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct InFlight {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    count: AtomicUsize,
    idle: Notify,
}

/// Guard of one request in flight; dropping it decrements the count.
#[derive(Debug)]
pub struct Guard {
    shared: Arc<Shared>,
}

impl InFlight {
    /// Counts one more request in flight until the guard is dropped.
    #[must_use]
    pub fn enter(&self) -> Guard {
        self.shared.count.fetch_add(1, Ordering::AcqRel);
        Guard { shared: Arc::clone(&self.shared) }
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn count(&self) -> usize {
        self.shared.count.load(Ordering::Acquire)
    }

    /// Waits until no request is in flight.
    pub async fn wait_until_idle(&self) {
        loop {
            // Registering before the count is read keeps a notification that is sent in between
            // from being lost.
            let mut notified = std::pin::pin!(self.shared.idle.notified());
            notified.as_mut().enable();
            if self.count() == 0 {
                return;
            }
            notified.await;
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if self.shared.count.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.shared.idle.notify_waiters();
        }
    }
}
