//! The control thread: one stakker runtime that sleeps until a message or its next timer.

#[allow(clippy::module_inception)]
mod control;
mod message;

use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, RecvTimeoutError};
use stakker::{Stakker, actor, call, ret_nop};

pub use control::Control;
pub use message::Message;

const LONGEST_SLEEP: Duration = Duration::from_secs(60);

/// Runs the control thread until every sender of messages is gone.
pub fn run(control: Control, messages: &Receiver<Message>) {
    let mut stakker = Stakker::new(Instant::now());
    let actor = actor!(stakker, Control::init(control), ret_nop!());
    stakker.run(Instant::now(), false);
    while stakker.not_shutdown() {
        let sleep = stakker.next_wait_max(Instant::now(), LONGEST_SLEEP, false);
        match messages.recv_timeout(sleep) {
            Ok(message) => call!([actor], receive(message)),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        stakker.run(Instant::now(), false);
    }
}
