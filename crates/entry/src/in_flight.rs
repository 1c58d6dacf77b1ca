//! Count of the requests that this daemon still has to finish.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::Notify;

/// Counts requests from the first byte of a request to the last byte of its answer.
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

/// One request in flight; dropping the guard ends it.
#[derive(Debug)]
pub struct Guard {
    shared: Arc<Shared>,
}

impl InFlight {
    /// Counts a request until the guard is dropped.
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
    pub async fn idle(&self) {
        loop {
            // The wait begins before the count is read, so that the last guard's notice is not
            // lost in between.
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
