//! Versioned snapshot of the operators' table.

use std::sync::Arc;

use indexmap::IndexMap;
use snafu::{OptionExt, ResultExt, ensure};

use super::resolve_error;
use super::{AdapterRow, KeyHash, ResolveError, Row, RowKey, RowKind, ServiceRow, TeamRow};
use crate::adapter;
use crate::name;

/// Snapshot of the table that keeps, for each row, the highest version received.
///
/// ```
/// use jasminetack_domain::table;
///
/// let mut snapshot = table::Table::default();
/// let key = table::RowKey::new(table::RowKind::Adapter, "offer-da");
/// assert_eq!(snapshot.apply(key.clone(), 7, None), table::ApplyResult::Applied);
/// assert_eq!(snapshot.apply(key, 6, None), table::ApplyResult::Stale);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Table {
    head_version: u64,
    rows: IndexMap<RowKey, Versioned>,
    teams_by_key: IndexMap<KeyHash, name::TeamName>,
}

#[derive(Clone, Debug)]
struct Versioned {
    version: u64,
    /// `None` is a tombstone of a deleted row, kept so that an older copy cannot restore it.
    row: Option<Arc<Row>>,
}

/// Result of applying a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyResult {
    /// The change was applied.
    Applied,
    /// The change was ignored, since the table holds the same version or a newer one.
    Stale,
}

impl Table {
    /// Returns the highest version up to which all changes are applied.
    #[must_use]
    pub fn head_version(&self) -> u64 {
        self.head_version
    }

    /// Returns the number of rows, without deleted ones.
    #[must_use]
    pub fn row_count(&self) -> usize {
        self.rows.values().filter(|entry| entry.row.is_some()).count()
    }

    /// Applies a row at a version; `None` deletes it.
    pub fn apply(&mut self, key: RowKey, version: u64, row: Option<Row>) -> ApplyResult {
        if self.rows.get(&key).is_some_and(|entry| entry.version >= version) {
            return ApplyResult::Stale;
        }
        let row = row.map(Arc::new);
        self.reindex_team(&key, row.as_deref());
        self.rows.insert(key, Versioned { version, row });
        ApplyResult::Applied
    }

    /// Raises the head version; the caller has applied all changes up to `version`.
    pub fn advance_head(&mut self, version: u64) {
        self.head_version = self.head_version.max(version);
    }

    /// Returns a row and its version.
    #[must_use]
    pub fn row(&self, key: &RowKey) -> Option<(u64, &Arc<Row>)> {
        let entry = self.rows.get(key)?;
        Some((entry.version, entry.row.as_ref()?))
    }

    /// Iterates over all entries as key, version and row; the row is `None` for a deleted row.
    pub fn entries(&self) -> impl Iterator<Item = (&RowKey, u64, Option<&Arc<Row>>)> {
        self.rows.iter().map(|(key, entry)| (key, entry.version, entry.row.as_ref()))
    }

    /// Returns the row of an adapter.
    #[must_use]
    pub fn adapter(&self, name: &name::AdapterName) -> Option<&AdapterRow> {
        match self.row(&RowKey::new(RowKind::Adapter, name.as_str()))?.1.as_ref() {
            Row::Adapter(row) => Some(row),
            _ => None,
        }
    }

    /// Returns the row of a team.
    #[must_use]
    pub fn team(&self, name: &name::TeamName) -> Option<&TeamRow> {
        match self.row(&RowKey::new(RowKind::Team, name.as_str()))?.1.as_ref() {
            Row::Team(row) => Some(row),
            _ => None,
        }
    }

    /// Returns the row of an app service.
    #[must_use]
    pub fn service(&self, name: &name::ServiceName) -> Option<&ServiceRow> {
        match self.row(&RowKey::new(RowKind::Service, name.as_str()))?.1.as_ref() {
            Row::Service(row) => Some(row),
            _ => None,
        }
    }

    /// Returns the team that a bearer key is assigned to.
    #[must_use]
    pub fn team_by_key(&self, key_hash: &KeyHash) -> Option<&name::TeamName> {
        self.teams_by_key.get(key_hash)
    }

    /// Resolves a caller's `model` field to an adapter version and its row.
    ///
    /// # Errors
    ///
    /// Fails if the text is malformed or names an adapter or version that the table does not list.
    pub fn resolve(&self, model: &str) -> Result<(adapter::AdapterRef, &AdapterRow), ResolveError> {
        let (name, version) =
            adapter::AdapterRef::parse_model(model).context(resolve_error::SyntaxSnafu)?;
        let row = self
            .adapter(&name)
            .with_context(|| resolve_error::UnknownAdapterSnafu { name: name.clone() })?;
        let version = match version {
            Some(version) => version,
            None => *row
                .versions
                .last()
                .with_context(|| resolve_error::NoVersionSnafu { name: name.clone() })?,
        };
        ensure!(
            row.versions.contains(&version),
            resolve_error::UnknownVersionSnafu { name, version }
        );
        Ok((adapter::AdapterRef::new(name, version), row))
    }

    fn reindex_team(&mut self, key: &RowKey, row: Option<&Row>) {
        if key.kind() != RowKind::Team {
            return;
        }
        self.teams_by_key.retain(|_, team| team.as_str() != key.name());
        let Some(Row::Team(row)) = row else { return };
        for key_hash in &row.key_hashes {
            self.teams_by_key.insert(*key_hash, name::TeamName::from(key.name()));
        }
    }
}
