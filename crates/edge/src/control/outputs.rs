//! What the control thread asks of other threads.

use std::net::SocketAddr;
use std::sync::Arc;

use crossbeam_channel::Sender;
use jasminetack_domain::placement;
use jasminetack_domain::upstream;
use jasminetack_wire::fleet;
use tokio::sync::mpsc;

use super::Job;

/// A call to a worker.
#[derive(Clone, Debug)]
pub struct OrderJob {
    /// The worker.
    pub upstream: Arc<upstream::Upstream>,
    /// Fencing token of the hold.
    pub fence: u64,
    /// What is called.
    pub call: WorkerCall,
}

/// What a worker is asked.
#[derive(Clone, Debug)]
pub enum WorkerCall {
    /// To carry out an order.
    Order(placement::Order),
    /// To report what it holds.
    Report,
}

/// A datagram for other daemons.
#[derive(Clone, Debug)]
pub struct Letter {
    /// Receivers.
    pub to: Vec<SocketAddr>,
    /// Content.
    pub datagram: fleet::Datagram,
}

/// Queues of the threads that carry out what the control thread decides.
#[derive(Clone, Debug)]
pub struct Outputs {
    /// Calls to the store.
    pub jobs: Sender<Job>,
    /// Readings of the operator's table.
    pub operator_feed: Sender<()>,
    /// Readings of the workers' table.
    pub workers_feed: Sender<()>,
    /// Calls to workers.
    pub orders: mpsc::UnboundedSender<OrderJob>,
    /// Datagrams.
    pub letters: mpsc::UnboundedSender<Letter>,
}

impl Outputs {
    /// Queues a call to the store.
    pub fn store(&self, job: Job) {
        // The receiver ends only with the process.
        let _ = self.jobs.send(job);
    }

    /// Queues a reading of the operator's table.
    pub fn read_operator(&self) {
        let _ = self.operator_feed.send(());
    }

    /// Queues a reading of the workers' table.
    pub fn read_workers(&self) {
        let _ = self.workers_feed.send(());
    }

    /// Queues a call to a worker.
    pub fn order(&self, job: OrderJob) {
        let _ = self.orders.send(job);
    }

    /// Queues a datagram.
    pub fn send(&self, letter: Letter) {
        if !letter.to.is_empty() {
            let _ = self.letters.send(letter);
        }
    }
}
