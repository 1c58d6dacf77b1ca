//! Committing edits together with their history rows.

use std::thread;
use std::time::Duration;

use jasminetack_domain::table;
use jasminetack_wire::history;
use jasminetack_wire::platform as wire;
use jasminetack_wire::row;

use crate::command_error::CommandError;
use crate::plan;
use crate::platform;
use crate::stored;

/// Author and time of an edit, and how its transaction is retried until the outcome is known.
#[derive(Clone, Debug)]
pub struct Author {
    /// Operator name recorded in the history.
    pub operator: String,
    /// Time of the edit on the clock of the operator's host.
    pub at_unix_ms: u64,
    /// Number that makes the token unique among edits of the same time.
    pub nonce: u64,
    /// Maximum number of times a transaction is sent.
    pub max_attempts: u32,
    /// Delay between two attempts.
    pub retry_delay_ms: u64,
}

impl Author {
    /// Returns the token that identifies the edit in the history.
    ///
    /// The text order of tokens is their order in time.
    #[must_use]
    pub fn token(&self) -> String {
        format!("{:013}-{:016x}", self.at_unix_ms, self.nonce)
    }
}

/// Commits the edits of a plan in one transaction and returns its version.
///
/// A transaction whose reply was lost is sent again. Each transaction requires that its history row
/// does not exist yet, so a resend after a successful commit conflicts with that row, which shows
/// that the first one was committed.
///
/// # Errors
///
/// Fails when a row was changed concurrently, when the platform is unreachable, or when the outcome
/// is still unknown after the last attempt.
pub fn commit<TableService>(
    service: &TableService,
    plan: &plan::Plan,
    author: &Author,
) -> Result<u64, CommandError>
where
    TableService: platform::Platform,
{
    let Some(first) = plan.edits().first() else {
        return Err(CommandError::Input { message: "there is nothing to write".to_owned() });
    };
    let transaction = build_transaction(plan, author);
    let own_history_key = history_key(first.key(), author);
    let mut may_have_applied = false;
    let mut last_error = platform::CallError { may_have_applied: false, message: String::new() };
    for attempt in 0..author.max_attempts {
        if attempt > 0 {
            thread::sleep(Duration::from_millis(author.retry_delay_ms));
        }
        match service.transact(&transaction) {
            Ok(wire::TransactionReply::Committed { version }) => return Ok(version),
            Ok(wire::TransactionReply::Conflict { rows }) => {
                let is_own_history =
                    |row: &&wire::StoredRow| row.key == own_history_key && row.value.is_some();
                if let Some(row) = rows.iter().find(is_own_history) {
                    return Ok(row.version);
                }
                return Err(CommandError::Conflict { text: plan.describe_conflict(&rows)? });
            }
            Err(error) => {
                may_have_applied |= error.may_have_applied;
                last_error = error;
            }
        }
    }
    if !may_have_applied {
        return Err(CommandError::Platform { source: last_error });
    }
    let (key, token, message) = (first.key().clone(), author.token(), last_error.message);
    Err(CommandError::Unknown { message, key, token })
}

fn build_transaction(plan: &plan::Plan, author: &Author) -> wire::Transaction {
    let mut transaction =
        wire::Transaction { conditions: plan.conditions().to_vec(), ..Default::default() };
    for edit in plan.edits() {
        let history_key = history_key(edit.key(), author);
        transaction.conditions.push(wire::Condition { key: history_key.clone(), version: None });
        let new = edit.new_row().map(row::WireRow::from);
        transaction.writes.push(wire::Write {
            key: stored::storage_key(edit.key()),
            value: new.as_ref().map(encode),
        });
        let change = history::HistoryRow {
            operator: author.operator.clone(),
            at_unix_ms: author.at_unix_ms,
            old_version: edit.expected_version(),
            old: edit.old().map(row::WireRow::from),
            new,
        };
        transaction.writes.push(wire::Write { key: history_key, value: Some(encode(&change)) });
    }
    transaction
}

fn history_key(key: &table::RowKey, author: &Author) -> String {
    format!("{}{key}/{}", history::HISTORY_PREFIX, author.token())
}

fn encode<Content>(content: &Content) -> serde_json::Value
where
    Content: serde::Serialize,
{
    // Encoding does not fail: the rows contain only string keys and plain values.
    serde_json::to_value(content).unwrap_or_default()
}
