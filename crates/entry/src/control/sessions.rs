//! Reading of other daemons' sessions.

use indexmap::IndexSet;
use jasminetack_domain::lease;
use jasminetack_domain::name;
use jasminetack_wire::lease_row;
use jasminetack_wire::platform as wire;

use super::{Context, PendingCall};
use crate::platform;

/// Rows of all sessions are read once in this time for each daemon, and at most at every renewal.
///
/// At 400 daemons that is every 80 s, or about 1.3 KB/s; heartbeats and gossip are much faster.
const POLL_PER_DAEMON_MS: u64 = 200;

/// Reads session rows.
#[derive(Default)]
pub struct Sessions {
    read_version: u64,
    polling: bool,
    next_poll_ms: u64,
    /// Rows that are being read one by one.
    pending_reads: IndexSet<name::HostName>,
}

impl Sessions {
    /// Returns the interval of reading all sessions.
    pub fn poll_interval_ms(renew_ms: u64, daemons: usize) -> u64 {
        renew_ms.max(daemons as u64 * POLL_PER_DAEMON_MS)
    }

    /// Asks the platform for all changed sessions when it is time.
    pub fn poll(&mut self, context: &Context, daemons: usize) {
        let now_ms = context.now_ms();
        if self.polling || now_ms < self.next_poll_ms {
            return;
        }
        self.polling = true;
        // A little less than the interval, so that a poll at every renewal is not skipped.
        let interval_ms = Self::poll_interval_ms(context.settings.lease_renew_ms, daemons);
        self.next_poll_ms = now_ms + interval_ms - interval_ms / 10;
        let after = self.read_version;
        context.submit(platform::Job::Rows { prefix: lease_row::SESSION_PREFIX, after });
    }

    /// Handles the result of a poll; `None` when it failed.
    pub fn handle_poll(
        &mut self,
        result: Result<wire::RowsPage, platform::CallError>,
    ) -> Option<Vec<lease::Stored<lease::SessionRow>>> {
        self.polling = false;
        let page = result.ok()?;
        self.read_version = page.head_version;
        Some(parse(page.rows))
    }

    /// Reads one session unless that is under way.
    pub fn read(&mut self, context: &mut Context, host: &name::HostName) {
        if self.pending_reads.insert(host.clone()) {
            context.read(PendingCall::ReadSession(host.clone()), lease_row::session_key(host));
        }
    }

    /// Handles the result of reading one session.
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
