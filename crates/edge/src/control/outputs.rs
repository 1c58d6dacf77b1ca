//! Queues from the control thread to other threads.

use std::net::SocketAddr;
use std::sync::Arc;

use crossbeam_channel::Sender;
use jasminetack_domain::placement;
use jasminetack_domain::upstream;
use jasminetack_wire::fleet;
use tokio::sync::mpsc;

use super::StoreJob;

/// Call to a worker.
#[derive(Clone, Debug)]
pub struct WorkerJob {
    /// The worker.
    pub upstream: Arc<upstream::Upstream>,
    /// Fencing token of the assignment.
    pub fencing_token: u64,
    /// The call.
    pub call: WorkerCall,
}

/// Kind of a call to a worker.
#[derive(Clone, Debug)]
pub enum WorkerCall {
    /// Execute an order.
    Order(placement::PlannedOrder),
    /// Report the loaded adapters and base models.
    Report,
}

/// Datagram to other daemons.
#[derive(Clone, Debug)]
pub struct OutgoingDatagram {
    /// Addresses of the receivers.
    pub receivers: Vec<SocketAddr>,
    /// Content.
    pub datagram: fleet::Datagram,
}

/// Queues of the threads that execute the control thread's decisions.
///
/// Errors on sending are ignored: the receivers live until the process ends.
#[derive(Clone, Debug)]
pub struct Outputs {
    /// Jobs on lease and holder rows.
    pub store_jobs: Sender<StoreJob>,
    /// Read requests for the operator table.
    pub operator_reads: Sender<()>,
    /// Read requests for the workers table.
    pub workers_reads: Sender<()>,
    /// Calls to workers.
    pub worker_jobs: mpsc::UnboundedSender<WorkerJob>,
    /// Datagrams to other daemons.
    pub datagrams: mpsc::UnboundedSender<OutgoingDatagram>,
}

impl Outputs {
    /// Queues a store job.
    pub fn queue_store_job(&self, job: StoreJob) {
        let _ = self.store_jobs.send(job);
    }

    /// Queues a read of the operator table.
    pub fn request_operator_read(&self) {
        let _ = self.operator_reads.send(());
    }

    /// Queues a read of the workers table.
    pub fn request_workers_read(&self) {
        let _ = self.workers_reads.send(());
    }

    /// Queues a call to a worker.
    pub fn queue_worker_job(&self, job: WorkerJob) {
        let _ = self.worker_jobs.send(job);
    }

    /// Queues a datagram, unless it has no receivers.
    pub fn queue_datagram(&self, datagram: OutgoingDatagram) {
        if !datagram.receivers.is_empty() {
            let _ = self.datagrams.send(datagram);
        }
    }
}
