//! Writing of edits together with their history.

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

/// Who writes, when, and how often a transaction is sent until its result is known.
#[derive(Clone, Debug)]
pub struct Author {
    /// Name that the history records.
    pub operator: String,
    /// Time of the edit by the clock of the operator's host.
    pub at_unix_ms: u64,
    /// Number that no other edit of this operator and time has.
    pub nonce: u64,
    /// Times a transaction is sent.
    pub attempts: u32,
    /// Pause between two attempts.
    pub pause_ms: u64,
}

impl Author {
    /// Returns the token that identifies the edit in the history.
    ///
    /// Tokens sort by time as text.
    #[must_use]
    pub fn token(&self) -> String {
        format!("{:013}-{:016x}", self.at_unix_ms, self.nonce)
    }
}

/// Writes the edits of a plan in one transaction and returns its version.
///
/// A transaction whose reply was lost is sent again: its own history row makes the second one fail
/// if the first took effect, and the row then tells that it did.
///
/// # Errors
///
/// Fails when a row was changed meanwhile, or when the platform cannot be reached.
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
    let transaction = transaction(plan, author);
    let own_history = history_key(first.key(), author);
    let mut may_have_applied = false;
    let mut failure = platform::CallError { may_have_applied: false, message: String::new() };
    for attempt in 0..author.attempts {
        if attempt > 0 {
            thread::sleep(Duration::from_millis(author.pause_ms));
        }
        match service.transact(&transaction) {
            Ok(wire::TransactionReply::Committed { version }) => return Ok(version),
            Ok(wire::TransactionReply::Conflict { rows }) => {
                let own = |row: &&wire::StoredRow| row.key == own_history && row.value.is_some();
                if let Some(row) = rows.iter().find(own) {
                    return Ok(row.version);
                }
                return Err(CommandError::Conflict { text: plan.describe_conflict(&rows)? });
            }
            Err(error) => {
                may_have_applied |= error.may_have_applied;
                failure = error;
            }
        }
    }
    if !may_have_applied {
        return Err(CommandError::Platform { source: failure });
    }
    let (key, token, message) = (first.key().clone(), author.token(), failure.message);
    Err(CommandError::Unknown { message, key, token })
}

fn transaction(plan: &plan::Plan, author: &Author) -> wire::Transaction {
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
    // The rows have string keys and plain values only, so encoding does not fail.
    serde_json::to_value(content).unwrap_or_default()
}
