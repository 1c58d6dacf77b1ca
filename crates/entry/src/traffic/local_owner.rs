//! Interface to the workers that this daemon owns.

use std::sync::Arc;

use tokio::sync::mpsc;

use super::answer_event::AnswerEvent;
use super::dispatcher::Dispatcher;
use super::model_request::ModelRequest;

/// Starts model requests on the workers that one daemon owns.
pub trait LocalOwner {
    /// Starts a request; dropping the receiver cancels it.
    fn start(&self, request: ModelRequest) -> mpsc::Receiver<AnswerEvent>;
}

impl LocalOwner for Arc<Dispatcher> {
    fn start(&self, request: ModelRequest) -> mpsc::Receiver<AnswerEvent> {
        Dispatcher::start(self, request)
    }
}
