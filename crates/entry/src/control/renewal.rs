//! Renewal of the own session.

use jasminetack_domain::lease;
use jasminetack_wire::lease_row;
use jasminetack_wire::platform as wire;

use super::{Context, PendingCall};
use crate::platform;

/// Keeps the session row of this daemon.
pub struct Renewal {
    template: lease::SessionRow,
    session: Option<lease::Session>,
    /// Whether a call about the own session is outstanding; there is at most one.
    is_pending: bool,
    renewed_once: bool,
    end_written: bool,
}

/// What a finished call means for the session.
#[derive(Clone, Debug, PartialEq)]
pub enum RenewalOutcome {
    /// The row was written.
    Written(lease::Stored<lease::SessionRow>),
    /// The incarnation is over and a new one begins with the next renewal.
    Superseded(lease::Holder),
    /// Nothing is known; the renewal is repeated at the next tick.
    Unknown,
}

impl Renewal {
    /// Creates a session that is not written yet.
    pub fn new(template: lease::SessionRow) -> Self {
        Self { template, session: None, is_pending: false, renewed_once: false, end_written: false }
    }

    /// Returns the present incarnation once its row was written.
    pub fn holder(&self) -> Option<lease::Holder> {
        self.session.as_ref().filter(|_| self.renewed_once).map(lease::Session::holder)
    }

    /// Returns the row as last written.
    pub fn row(&self) -> Option<&lease::SessionRow> {
        self.session.as_ref().map(lease::Session::row)
    }

    /// Tells whether the row says that the daemon ended.
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

    /// Renews the session, or finds the row to start after.
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

    /// Starts the session after the row that was found.
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

/// Finds a session row in a reply; `None` when there is none that can be read.
pub fn find_row(rows: &[wire::StoredRow], key: &str) -> Option<lease::Stored<lease::SessionRow>> {
    let row = rows.iter().find(|row| row.key == key && row.value.is_some())?;
    lease::Stored::try_from(row.clone()).ok()
}
