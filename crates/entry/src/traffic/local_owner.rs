//! Interface to the workers that this daemon owns.

use std::sync::Arc;

use tokio::sync::mpsc;

use super::dispatcher::Dispatcher;
use super::model_request::ModelRequest;
use super::response_event::ResponseEvent;

/// Starts model requests on the workers that one daemon owns.
pub trait LocalOwner {
    /// Starts a request; dropping the receiver cancels it.
    fn start(&self, request: ModelRequest) -> mpsc::Receiver<ResponseEvent>;
}

impl LocalOwner for Arc<Dispatcher> {
    fn start(&self, request: ModelRequest) -> mpsc::Receiver<ResponseEvent> {
        Dispatcher::start(self, request)
    }
}
