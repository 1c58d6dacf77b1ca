//! Thread that reads and writes lease and holder rows, one job at a time.

use std::io;
use std::thread;

use crossbeam_channel::{Receiver, Sender};

use super::{Message, StoreJob, StoreReply};
use crate::clock;
use crate::store;
use crate::store::MetadataStore;

/// Executes store jobs in order.
#[derive(Debug)]
pub struct Writer<Store> {
    store: Store,
    jobs: Receiver<StoreJob>,
    control: Sender<Message>,
}

impl<Store> Writer<Store>
where
    Store: MetadataStore,
{
    /// Starts the thread and returns the queue of jobs.
    ///
    /// # Errors
    ///
    /// Fails when the thread cannot be started.
    pub fn start(store: Store, control: Sender<Message>) -> io::Result<Sender<StoreJob>> {
        let (sender, jobs) = crossbeam_channel::unbounded();
        let writer = Self { store, jobs, control };
        thread::Builder::new().name("writer".to_owned()).spawn(move || writer.run())?;
        Ok(sender)
    }

    fn run(self) {
        for job in &self.jobs {
            let reply = self.call(job);
            if self.control.send(Message::StoreReply(reply)).is_err() {
                return;
            }
        }
    }

    fn call(&self, job: StoreJob) -> StoreReply {
        let sent_ms = clock::now_ms();
        match job {
            StoreJob::ReadRows => {
                let leases = self.store.list(store::Table::Leases);
                let holders = self.store.list(store::Table::Holders);
                StoreReply::Rows { leases, holders, sent_ms }
            }
            StoreJob::Renew(transaction) => {
                StoreReply::Renewed(self.store.transact(&transaction), sent_ms)
            }
            StoreJob::Claim { worker, era, transaction } => {
                StoreReply::Claimed(worker, era, self.store.transact(&transaction))
            }
            StoreJob::Quarantine(job) => StoreReply::Quarantine(job.call(&self.store, sent_ms)),
            StoreJob::Write(transaction) => StoreReply::Written(self.store.transact(&transaction)),
        }
    }
}
