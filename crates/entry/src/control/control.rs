//! The actor that drives the control state by timers and messages.

use std::sync::Arc;
use std::time::Duration;

use stakker::{CX, StopCause, after, call};
use tokio::sync::watch;

use super::core::Core;
use super::shutdown::Shutdown;
use super::{Message, frames, replies, worker_events};
use crate::settings;

/// Interval of failure checks.
///
/// It adds at most this time to failure detection; a new owner must serve within 3 s of a failure.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
const HANDOVER_INTERVAL: Duration = Duration::from_secs(2);
const DIGEST_INTERVAL: Duration = Duration::from_secs(10);

/// Lifecycle stage of the daemon, for the traffic threads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// Connections are accepted.
    #[default]
    Serving,
    /// Workers have been handed over; requests in flight are finished.
    Finishing,
    /// The process exits.
    Done,
}

/// Actor that owns the control state.
pub struct Control {
    core: Core,
    settings: Arc<settings::Settings>,
    stage: watch::Sender<Stage>,
}

impl Control {
    /// Creates the initial state of the actor.
    pub fn new(core: Core, settings: Arc<settings::Settings>, stage: watch::Sender<Stage>) -> Self {
        Self { core, settings, stage }
    }

    /// Starts the actor.
    pub fn init(cx: CX![], mut control: Self) -> Option<Self> {
        // The first renewal does not wait for the first reads.
        control.core.poll_hosts();
        control.core.poll_rows();
        control.core.renew();
        call!([cx], start());
        Some(control)
    }

    fn start(&mut self, cx: CX![]) {
        after!(self.renew_interval(), [cx], renew());
        after!(Duration::from_millis(self.settings.heartbeat_ms), [cx], send_heartbeat());
        after!(Duration::from_millis(self.settings.table_poll_ms), [cx], poll_rows());
        after!(Duration::from_millis(self.settings.host_list_poll_ms), [cx], poll_hosts());
        after!(CHECK_INTERVAL, [cx], check_peers());
        after!(HANDOVER_INTERVAL, [cx], hand_over());
        after!(DIGEST_INTERVAL, [cx], send_digest());
    }

    fn renew_interval(&self) -> Duration {
        Duration::from_millis(self.settings.lease_renew_ms)
    }

    fn renew(&mut self, cx: CX![]) {
        after!(self.renew_interval(), [cx], renew());
        self.core.renew();
        self.core.apply_changes();
    }

    fn send_heartbeat(&mut self, cx: CX![]) {
        after!(Duration::from_millis(self.settings.heartbeat_ms), [cx], send_heartbeat());
        self.core.send_next_heartbeat();
    }

    fn poll_rows(&mut self, cx: CX![]) {
        after!(Duration::from_millis(self.settings.table_poll_ms), [cx], poll_rows());
        self.core.poll_rows();
    }

    fn poll_hosts(&mut self, cx: CX![]) {
        after!(Duration::from_millis(self.settings.host_list_poll_ms), [cx], poll_hosts());
        self.core.poll_hosts();
    }

    fn hand_over(&mut self, cx: CX![]) {
        after!(HANDOVER_INTERVAL, [cx], hand_over());
        if !self.core.shutdown().is_leaving() {
            self.core.hand_over();
        }
    }

    fn send_digest(&mut self, cx: CX![]) {
        after!(DIGEST_INTERVAL, [cx], send_digest());
        self.core.send_digest();
    }

    fn check_peers(&mut self, cx: CX![]) {
        after!(CHECK_INTERVAL, [cx], check_peers());
        self.core.check_peers();
        self.core.apply_changes();
        let stage = match self.core.shutdown() {
            Shutdown::Finishing { .. } | Shutdown::Ending { .. } => Stage::Finishing,
            Shutdown::Done => Stage::Done,
            _ => Stage::Serving,
        };
        self.stage.send_if_modified(|known| std::mem::replace(known, stage) != stage);
        if stage == Stage::Done {
            cx.shutdown(StopCause::Stopped);
        }
    }

    /// Handles a message from another thread.
    pub fn receive(&mut self, _cx: CX![], message: Message) {
        match message {
            Message::Platform(reply) => replies::handle(&mut self.core, reply),
            Message::Peer { from, body } => frames::handle(&mut self.core, &from, body),
            Message::Worker(event) => worker_events::handle(&mut self.core, event),
            Message::Terminate => self.core.terminate(),
        }
        self.core.apply_changes();
    }
}
