//! Thread that reads and writes the daemons' own rows, one call after the other.

use std::io;
use std::thread;

use crossbeam_channel::{Receiver, Sender};

use super::{Job, Message, Reply};
use crate::clock;
use crate::store;
use crate::store::MetadataStore;

/// Makes the calls of one daemon.
#[derive(Debug)]
pub struct Writer<Store> {
    store: Store,
    jobs: Receiver<Job>,
    control: Sender<Message>,
}

impl<Store> Writer<Store>
where
    Store: MetadataStore,
{
    /// Starts the thread and returns its queue.
    ///
    /// # Errors
    ///
    /// Fails when the thread cannot be started.
    pub fn start(store: Store, control: Sender<Message>) -> io::Result<Sender<Job>> {
        let (sender, jobs) = crossbeam_channel::unbounded();
        let writer = Self { store, jobs, control };
        thread::Builder::new().name("writer".to_owned()).spawn(move || writer.run())?;
        Ok(sender)
    }

    fn run(self) {
        for job in &self.jobs {
            let reply = self.call(job);
            if self.control.send(Message::Stored(reply)).is_err() {
                return;
            }
        }
    }

    fn call(&self, job: Job) -> Reply {
        let sent_ms = clock::now_ms();
        match job {
            Job::ReadRows => {
                let leases = self.store.list(store::Table::Leases);
                let holders = self.store.list(store::Table::Holders);
                Reply::Rows { leases, holders, sent_ms }
            }
            Job::Renew(transaction) => Reply::Renewed(self.store.transact(&transaction), sent_ms),
            Job::Claim(worker, transaction) => {
                Reply::Claimed(worker, self.store.transact(&transaction))
            }
            Job::NoteLate(worker, transaction) => {
                Reply::Noted(worker, self.store.transact(&transaction))
            }
            Job::Write(transaction) => Reply::Written(self.store.transact(&transaction)),
        }
    }
}
