//! The control thread: one stakker runtime that sleeps until the next message or timer.

mod context;
#[allow(clippy::module_inception)]
mod control;
mod core;
mod events;
mod frames;
mod gossip;
mod grants;
mod heartbeats;
mod host_list;
mod loaded_adapters;
mod message;
mod owners;
mod peer_monitor;
mod pending_call;
mod publisher;
mod renewal;
mod replies;
mod sessions;
mod shutdown;
mod table_feed;
mod worker_events;

use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, RecvTimeoutError};
use stakker::{Stakker, actor, call, ret_nop};

use gossip::Gossip;
use grants::Grants;
use heartbeats::Heartbeats;
use host_list::HostList;
use loaded_adapters::LoadedAdapters;
use owners::Owners;
use peer_monitor::PeerMonitor;
use pending_call::PendingCall;
use publisher::Publisher;
use sessions::Sessions;
use shutdown::Shutdown;
use table_feed::TableFeed;

pub use self::core::Core;
pub use context::Context;
pub use control::{Control, Stage};
pub use message::Message;

const MAX_SLEEP: Duration = Duration::from_secs(60);

/// Runs the control actor on the current thread until the daemon has shut down.
pub fn run(control: Control, messages: &Receiver<Message>) {
    let mut stakker = Stakker::new(Instant::now());
    let actor = actor!(stakker, Control::init(control), ret_nop!());
    stakker.run(Instant::now(), false);
    while stakker.not_shutdown() {
        let sleep = stakker.next_wait_max(Instant::now(), MAX_SLEEP, false);
        match messages.recv_timeout(sleep) {
            Ok(message) => call!([actor], receive(message)),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        stakker.run(Instant::now(), false);
    }
}
