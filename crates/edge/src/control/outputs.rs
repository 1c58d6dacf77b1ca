//! What the control thread asks of other threads.

use std::net::SocketAddr;
use std::sync::Arc;

use crossbeam_channel::Sender;
use jasminetack_domain::placement;
use jasminetack_domain::upstream;
use jasminetack_wire::fleet;
use tokio::sync::mpsc;

use super::StoreJob;

/// A call to a worker.
#[derive(Clone, Debug)]
pub struct WorkerJob {
    /// The worker.
    pub upstream: Arc<upstream::Upstream>,
    /// Fencing token of the hold.
    pub fencing_token: u64,
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
pub struct OutgoingDatagram {
    /// Receivers.
    pub receivers: Vec<SocketAddr>,
    /// Content.
    pub datagram: fleet::Datagram,
}

/// Queues of the threads that carry out what the control thread decides.
#[derive(Clone, Debug)]
pub struct Outputs {
    /// Calls to the store.
    pub store_jobs: Sender<StoreJob>,
    /// Readings of the operator's table.
    pub operator_reads: Sender<()>,
    /// Readings of the workers' table.
    pub workers_reads: Sender<()>,
    /// Calls to workers.
    pub worker_jobs: mpsc::UnboundedSender<WorkerJob>,
    /// Datagrams.
    pub datagrams: mpsc::UnboundedSender<OutgoingDatagram>,
}

impl Outputs {
    /// Queues a call to the store.
    pub fn queue_store_job(&self, job: StoreJob) {
        // The receiver ends only with the process.
        let _ = self.store_jobs.send(job);
    }

    /// Queues a reading of the operator's table.
    pub fn request_operator_read(&self) {
        let _ = self.operator_reads.send(());
    }

    /// Queues a reading of the workers' table.
    pub fn request_workers_read(&self) {
        let _ = self.workers_reads.send(());
    }

    /// Queues a call to a worker.
    pub fn queue_worker_job(&self, job: WorkerJob) {
        let _ = self.worker_jobs.send(job);
    }

    /// Queues a datagram.
    pub fn queue_datagram(&self, datagram: OutgoingDatagram) {
        if !datagram.receivers.is_empty() {
            let _ = self.datagrams.send(datagram);
        }
    }
}
