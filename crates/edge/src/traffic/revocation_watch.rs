//! Notice that the key of a request was removed.

use std::future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use tokio::sync::oneshot;

use super::running_requests::RunningRequests;

/// Resolves when the key of its request is removed; the default one never does.
#[derive(Debug, Default)]
pub struct RevocationWatch {
    registration: Option<Registration>,
    is_revoked: bool,
}

#[derive(Debug)]
struct Registration {
    requests: Arc<RunningRequests>,
    id: u64,
    revoked: oneshot::Receiver<()>,
}

impl RevocationWatch {
    /// Creates the watch of a registered request.
    pub(super) fn new(
        requests: Arc<RunningRequests>,
        id: u64,
        revoked: oneshot::Receiver<()>,
    ) -> Self {
        let registration = Some(Registration { requests, id, revoked });
        Self { registration, is_revoked: false }
    }

    /// Waits until the key is removed.
    pub async fn revoked(&mut self) {
        future::poll_fn(|context| self.poll_revoked(context)).await;
    }

    /// Returns ready once the key is removed, and from then on.
    pub fn poll_revoked(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if self.is_revoked {
            return Poll::Ready(());
        }
        let Some(registration) = &mut self.registration else { return Poll::Pending };
        // The sender is dropped only after it has sent, or with this watch.
        let _ = ready!(Pin::new(&mut registration.revoked).poll(context));
        self.is_revoked = true;
        Poll::Ready(())
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.requests.remove(self.id);
    }
}
