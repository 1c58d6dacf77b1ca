//! Threads that make the control thread's calls.

use std::io;
use std::sync::Arc;
use std::thread;

use crossbeam_channel::{Receiver, Sender};

use super::{Caller, Job, Reply};
use crate::control;
use crate::metrics;
use crate::settings;

/// Sends jobs to the platform threads; results arrive as control messages.
#[derive(Clone, Debug)]
pub struct Client {
    reads: Sender<Job>,
    writes: Sender<Job>,
}

impl Client {
    /// Starts one thread for reads and one for writes, so that a slow read does not hold up the
    /// renewal of the lease.
    ///
    /// # Errors
    ///
    /// Fails when a thread cannot be started.
    pub fn start(
        settings: &settings::Settings,
        results: &Sender<control::Message>,
        metrics: &Arc<metrics::Metrics>,
    ) -> io::Result<Self> {
        let start = |name: &str| {
            let (jobs, receiver) = crossbeam_channel::unbounded();
            let caller = Caller::new(settings);
            let results = results.clone();
            let metrics = Arc::clone(metrics);
            thread::Builder::new()
                .name(name.to_owned())
                .spawn(move || run(&caller, &receiver, &results, &metrics))?;
            io::Result::Ok(jobs)
        };
        Ok(Self { reads: start("platform-reads")?, writes: start("platform-writes")? })
    }

    /// Queues a call.
    pub fn submit(&self, job: Job) {
        let jobs = if matches!(job, Job::Transact { .. }) { &self.writes } else { &self.reads };
        // The receivers live as long as the process, so the send cannot fail before shutdown.
        let _ = jobs.send(job);
    }
}

fn run(
    caller: &Caller,
    jobs: &Receiver<Job>,
    results: &Sender<control::Message>,
    metrics: &metrics::Metrics,
) {
    for job in jobs {
        let reply = match job {
            Job::Rows { prefix, after } => {
                Reply::Rows { prefix, result: caller.rows(prefix, after) }
            }
            Job::Hosts => Reply::Hosts(caller.hosts()),
            Job::Read { tag, request } => Reply::Read { tag, result: caller.read(&request) },
            Job::Transact { tag, transaction } => {
                Reply::Transact { tag, result: caller.transact(&transaction) }
            }
        };
        metrics.record_platform_call(reply.call(), reply.succeeded());
        if results.send(control::Message::Platform(reply)).is_err() {
            return;
        }
    }
}
