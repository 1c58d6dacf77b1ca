//! Threads that make the control thread's calls.

use std::io;
use std::sync::Arc;
use std::thread;

use crossbeam_channel::{Receiver, Sender};

use super::{Caller, Job, Reply};
use crate::control;
use crate::metrics;
use crate::settings;

/// Two threads, so that one slow call does not hold up the lease renewal.
const THREAD_COUNT: usize = 2;

/// Sends jobs to the platform threads; results arrive as control messages.
#[derive(Clone, Debug)]
pub struct Client {
    jobs: Sender<Job>,
}

impl Client {
    /// Starts the threads.
    ///
    /// # Errors
    ///
    /// Fails when a thread cannot be started.
    pub fn start(
        settings: &settings::Settings,
        results: Sender<control::Message>,
        metrics: &Arc<metrics::Metrics>,
    ) -> io::Result<Self> {
        let (jobs, receiver) = crossbeam_channel::unbounded();
        for index in 0..THREAD_COUNT {
            let caller = Caller::new(settings);
            let receiver = receiver.clone();
            let results = results.clone();
            let metrics = Arc::clone(metrics);
            thread::Builder::new()
                .name(format!("platform-{index}"))
                .spawn(move || run(&caller, &receiver, &results, &metrics))?;
        }
        Ok(Self { jobs })
    }

    /// Queues a call.
    pub fn submit(&self, job: Job) {
        // The receivers live as long as the process, so the send cannot fail before shutdown.
        let _ = self.jobs.send(job);
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
            Job::Rows { prefix, after } => Reply::Rows(caller.rows(prefix, after)),
            Job::Hosts => Reply::Hosts(caller.hosts()),
            Job::Read { tag, request } => Reply::Read { tag, result: caller.read(&request) },
            Job::Transact { tag, transaction } => {
                Reply::Transact { tag, result: caller.transact(&transaction) }
            }
        };
        metrics.finish_platform_call(reply.call(), reply.succeeded());
        if results.send(control::Message::Platform(reply)).is_err() {
            return;
        }
    }
}
