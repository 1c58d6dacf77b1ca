//! Threads that make the platform calls of the control thread.

use std::io;
use std::sync::Arc;
use std::thread;

use crossbeam_channel::{Receiver, Sender};

use super::{HttpClient, Job, Reply};
use crate::control;
use crate::metrics;
use crate::settings;

/// Queues calls for the platform threads; replies arrive as control messages.
#[derive(Clone, Debug)]
pub struct Client {
    reads: Sender<Job>,
    writes: Sender<Job>,
}

impl Client {
    /// Starts one thread for reads and one for writes, so that a slow read does not delay the
    /// renewal of the lease.
    ///
    /// # Errors
    ///
    /// Fails if a thread cannot be started.
    pub fn start(
        settings: &settings::Settings,
        results: &Sender<control::Message>,
        metrics: &Arc<metrics::Metrics>,
    ) -> io::Result<Self> {
        let start = |name: &str| {
            let (jobs, receiver) = crossbeam_channel::unbounded();
            let client = HttpClient::new(settings);
            let results = results.clone();
            let metrics = Arc::clone(metrics);
            thread::Builder::new()
                .name(name.to_owned())
                .spawn(move || run(&client, &receiver, &results, &metrics))?;
            io::Result::Ok(jobs)
        };
        Ok(Self { reads: start("platform-reads")?, writes: start("platform-writes")? })
    }

    /// Queues a call.
    pub fn submit(&self, job: Job) {
        let jobs = if matches!(job, Job::Transact { .. }) { &self.writes } else { &self.reads };
        // The receivers exist until the process exits, so the send fails only during shutdown.
        let _ = jobs.send(job);
    }
}

fn run(
    client: &HttpClient,
    jobs: &Receiver<Job>,
    results: &Sender<control::Message>,
    metrics: &metrics::Metrics,
) {
    for job in jobs {
        let reply = match job {
            Job::Rows { prefix, after } => {
                Reply::Rows { prefix, result: client.rows(prefix, after) }
            }
            Job::Hosts => Reply::Hosts(client.hosts()),
            Job::Read { call_id, request } => {
                Reply::Read { call_id, result: client.read(&request) }
            }
            Job::Transact { call_id, transaction } => {
                Reply::Transact { call_id, result: client.transact(&transaction) }
            }
        };
        metrics.record_platform_call(reply.call(), reply.succeeded());
        if results.send(control::Message::Platform(reply)).is_err() {
            return;
        }
    }
}
