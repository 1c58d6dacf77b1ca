//! The control thread, which runs one stakker runtime and sleeps until a message or timer is due.

mod actor;
mod adapter_uses;
mod assignment;
mod assignments;
mod base_loads;
mod catalog;
mod claims;
mod control_state;
mod datagrams;
mod feed;
mod freshness;
mod holder_rows;
mod identity;
mod lease_manager;
mod lease_times;
mod leaving_workers;
mod message;
mod outputs;
mod peers;
mod publisher;
mod quarantine_job;
mod quarantine_rows;
mod quarantined_segments;
mod removed_workers;
mod reports;
mod shutdown;
mod slot_ask;
mod slot_credits;
mod slot_state;
mod store_job;
mod store_replies;
mod store_restores;
mod table_reads;
mod team_quotas;
mod worker_limits;
mod writer;

use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, RecvTimeoutError};
use stakker::{Stakker, actor, call, ret_nop};

pub use self::control_state::ControlState;
pub use actor::Actor;
pub use assignment::Assignment;
pub use feed::{Feed, FeedEvent};
pub use freshness::Freshness;
pub use identity::Identity;
pub use lease_times::LeaseTimes;
pub use message::Message;
pub use outputs::{OutgoingDatagram, Outputs, WorkerCall, WorkerJob};
pub use peers::Peers;
pub use publisher::Publisher;
pub use quarantine_job::{QuarantineJob, QuarantineReply};
pub use slot_ask::{SlotAsk, SlotReply};
pub use store_job::{StoreJob, StoreReply};
pub use writer::Writer;

use crate::dialect;

const MAX_SLEEP: Duration = Duration::from_secs(60);
/// Maximum messages handled before timers are checked again.
const MAX_BATCH: usize = 64;

/// Runs the control thread until the runtime shuts down or all message senders are gone.
pub fn run<Dialect>(actor: Actor<Dialect>, messages: &Receiver<Message>)
where
    Dialect: dialect::Dialect,
{
    let mut stakker = Stakker::new(Instant::now());
    let actor = actor!(stakker, <Actor<Dialect>>::init(actor), ret_nop!());
    stakker.run(Instant::now(), false);
    while stakker.not_shutdown() {
        let sleep = stakker.next_wait_max(Instant::now(), MAX_SLEEP, false);
        match messages.recv_timeout(sleep) {
            Ok(message) => {
                let queued = messages.try_iter().take(MAX_BATCH);
                let batch: Vec<_> = std::iter::once(message).chain(queued).collect();
                call!([actor], receive(batch));
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        stakker.run(Instant::now(), false);
    }
}
