//! Renewal of the local session.

use jasminetack_domain::lease;
use jasminetack_wire::lease_row;
use jasminetack_wire::platform as wire;

use super::{Context, PendingCall};
use crate::platform;

/// Writes and renews the session row of this daemon.
pub struct Renewal {
    template: lease::SessionRow,
    session: Option<lease::Session>,
    /// Whether a read or write of the session row is outstanding; there is at most one.
    is_pending: bool,
    renewed_once: bool,
    end_written: bool,
}

/// Result of a renewal.
#[derive(Clone, Debug, PartialEq)]
pub enum RenewalOutcome {
    /// The row was written.
    Written(lease::Stored<lease::SessionRow>),
    /// The incarnation has ended; the next renewal starts a new one.
    Superseded(lease::Holder),
    /// The call failed, so the row is unknown; the next tick renews again.
    Unknown,
}

impl Renewal {
    /// Creates the renewal of a session that has not been written yet.
    pub fn new(template: lease::SessionRow) -> Self {
        Self { template, session: None, is_pending: false, renewed_once: false, end_written: false }
    }

    /// Returns the current incarnation, or `None` before its first successful write.
    pub fn holder(&self) -> Option<lease::Holder> {
        self.session.as_ref().filter(|_| self.renewed_once).map(lease::Session::holder)
    }

    /// Returns the current session row, or `None` before the session has started.
    pub fn row(&self) -> Option<&lease::SessionRow> {
        self.session.as_ref().map(lease::Session::row)
    }

    /// Returns whether the row was written with state `ended`.
    pub fn has_written_end(&self) -> bool {
        self.end_written
    }

    /// Returns the version of the row; 0 before the first write.
    pub fn version(&self) -> u64 {
        self.session.as_ref().and_then(lease::Session::version).unwrap_or(0)
    }

    /// Changes the state that the next renewal writes.
    pub fn set_state(&mut self, state: lease::SessionState) {
        self.template.state = state;
        if let Some(session) = &mut self.session {
            session.set_state(state);
        }
    }

    /// Renews the session, or reads the previous row if the session has not started.
    ///
    /// Does nothing while a call is outstanding.
    pub fn tick(&mut self, context: &mut Context, table_version: u64) {
        if self.is_pending {
            return;
        }
        self.is_pending = true;
        let Some(session) = &mut self.session else {
            context.read(PendingCall::FindSession, lease_row::session_key(&self.template.host));
            return;
        };
        let write = session.renew(table_version);
        let transaction = wire::Transaction::from(&write);
        context.transact(PendingCall::Renew(write.row), transaction);
    }

    /// Starts the session with an incarnation after the one in the row that was read.
    ///
    /// Returns whether the read succeeded.
    pub fn handle_find(&mut self, result: &Result<wire::RowsPage, platform::CallError>) -> bool {
        self.is_pending = false;
        let Ok(page) = result else { return false };
        let key = lease_row::session_key(&self.template.host);
        let found = find_row(&page.rows, &key);
        let state = self.template.state;
        let mut session =
            lease::Session::start(self.template.clone(), found.as_ref(), rand::random());
        session.set_state(state);
        self.session = Some(session);
        true
    }

    /// Handles the result of a renewal.
    pub fn handle_renewal(
        &mut self,
        row: lease::SessionRow,
        result: Result<wire::TransactionReply, platform::CallError>,
    ) -> RenewalOutcome {
        self.is_pending = false;
        let Some(session) = &mut self.session else { return RenewalOutcome::Unknown };
        match result {
            Ok(wire::TransactionReply::Committed { version }) => {
                session.record_commit(version);
                self.renewed_once = true;
                self.end_written |= row.state == lease::SessionState::Ended;
                RenewalOutcome::Written(lease::Stored::new(version, row))
            }
            Ok(wire::TransactionReply::Conflict { rows }) => {
                let holder = session.holder();
                let stored = find_row(&rows, &lease_row::session_key(&holder.host));
                match (session.record_conflict(stored.as_ref()), stored) {
                    (lease::RenewalConflict::AlreadyCommitted, Some(stored)) => {
                        self.renewed_once = true;
                        RenewalOutcome::Written(stored)
                    }
                    _ => RenewalOutcome::Superseded(holder),
                }
            }
            Err(error) => {
                let error = error.to_string();
                spdlog::warn!("renewal-failed", kv: { error = error.as_str() });
                RenewalOutcome::Unknown
            }
        }
    }
}

/// Finds a session row in a reply; `None` if it is absent, deleted or invalid.
pub fn find_row(rows: &[wire::StoredRow], key: &str) -> Option<lease::Stored<lease::SessionRow>> {
    let row = rows.iter().find(|row| row.key == key && row.value.is_some())?;
    lease::Stored::try_from(row.clone()).ok()
}
