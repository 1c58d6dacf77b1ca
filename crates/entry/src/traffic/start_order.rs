//! Owners of workers as traffic sees them.

use std::sync::Arc;

use tokio::sync::mpsc;

use super::dispatcher::Dispatcher;
use super::model_order::ModelOrder;
use super::response_event::ResponseEvent;

/// Starts model requests on the workers that one daemon owns.
pub trait StartOrder {
    /// Starts a request; dropping the receiver cancels it.
    fn start(&self, order: ModelOrder) -> mpsc::Receiver<ResponseEvent>;
}

impl StartOrder for Arc<Dispatcher> {
    fn start(&self, order: ModelOrder) -> mpsc::Receiver<ResponseEvent> {
        Dispatcher::start(self, order)
    }
}
