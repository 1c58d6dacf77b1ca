//! Reads of the session rows of all daemons.

use indexmap::IndexSet;
use jasminetack_domain::lease;
use jasminetack_domain::name;
use jasminetack_wire::lease_row;
use jasminetack_wire::platform as wire;

use super::{Context, PendingCall};
use crate::platform;

/// Poll interval of the session rows per daemon; the total is at least the renewal interval.
///
/// With 400 daemons the rows are read every 80 s, about 1.3 KB/s; heartbeats and gossip deliver
/// changes much earlier.
const POLL_PER_DAEMON_MS: u64 = 200;

/// Polls the session rows and reads single ones on demand.
#[derive(Default)]
pub struct Sessions {
    read_version: u64,
    polling: bool,
    next_poll_ms: u64,
    /// Hosts whose rows are being read individually.
    pending_reads: IndexSet<name::HostName>,
}

impl Sessions {
    /// Returns the poll interval for a number of daemons.
    pub fn poll_interval_ms(renew_ms: u64, daemons: usize) -> u64 {
        renew_ms.max(daemons as u64 * POLL_PER_DAEMON_MS)
    }

    /// Requests all changed session rows if the poll interval has passed.
    pub fn poll(&mut self, context: &Context, daemons: usize) {
        let now_ms = context.now_ms();
        if self.polling || now_ms < self.next_poll_ms {
            return;
        }
        self.polling = true;
        // 10% early: this runs at each renewal, and timer jitter must not skip every second poll.
        let interval_ms = Self::poll_interval_ms(context.settings.lease_renew_ms, daemons);
        self.next_poll_ms = now_ms + interval_ms - interval_ms / 10;
        let after = self.read_version;
        context.submit(platform::Job::Rows { prefix: lease_row::SESSION_PREFIX, after });
    }

    /// Handles the result of a poll and returns the rows; `None` if the poll failed.
    pub fn handle_poll(
        &mut self,
        result: Result<wire::RowsPage, platform::CallError>,
    ) -> Option<Vec<lease::Stored<lease::SessionRow>>> {
        self.polling = false;
        let page = result.ok()?;
        self.read_version = page.head_version;
        Some(parse(page.rows))
    }

    /// Reads one session row unless a read of it is outstanding.
    pub fn read(&mut self, context: &mut Context, host: &name::HostName) {
        if self.pending_reads.insert(host.clone()) {
            context.read(PendingCall::ReadSession(host.clone()), lease_row::session_key(host));
        }
    }

    /// Handles the result of reading one session row.
    pub fn handle_read(
        &mut self,
        host: &name::HostName,
        result: Result<wire::RowsPage, platform::CallError>,
    ) -> Vec<lease::Stored<lease::SessionRow>> {
        self.pending_reads.swap_remove(host);
        result.map(|page| parse(page.rows)).unwrap_or_default()
    }
}

fn parse(rows: Vec<wire::StoredRow>) -> Vec<lease::Stored<lease::SessionRow>> {
    let mut sessions = Vec::with_capacity(rows.len());
    for row in rows {
        if row.value.is_none() {
            continue;
        }
        match lease::Stored::try_from(row) {
            Ok(stored) => sessions.push(stored),
            Err(error) => {
                let error = lease_row::LeaseRowError::to_string(&error);
                spdlog::error!("session-row-invalid", kv: { error = error.as_str() });
            }
        }
    }
    sessions
}
