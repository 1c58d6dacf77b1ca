//! Dependencies of owned workers.

use std::sync::Arc;

use crossbeam_channel::Sender;
use tokio::runtime;

use super::engine_client::EngineClient;
use super::load_budget::LoadBudget;
use crate::clock;
use crate::control;

/// Dependencies that the owned workers of a daemon share.
#[derive(Clone, Debug)]
pub struct WorkerContext {
    pub engines: EngineClient,
    pub clock: clock::Clock,
    pub control: Sender<control::Message>,
    pub runtime: runtime::Handle,
    pub load_budget: Arc<LoadBudget>,
}
