//! Updates of the configuration table from the platform or from peers.

use std::sync::Arc;

use jasminetack_domain::member;
use jasminetack_domain::name;
use jasminetack_domain::table;
use jasminetack_wire::gossip;
use jasminetack_wire::peer;
use jasminetack_wire::platform as wire;
use jasminetack_wire::row;

use super::Context;
use crate::platform;

/// Number of rows in a full page, after which the next page is requested.
const FULL_PAGE_ROWS: usize = 5_000;
/// Maximum number of rows in a page that are logged individually; larger pages log a count.
const MAX_LOGGED_ROWS: usize = 50;
/// Minimum interval between requests for rows to peers.
const PEER_REQUEST_INTERVAL_MS: u64 = 1_000;

/// Updates the table from the platform or, while the platform is unreachable, from peers.
pub struct TableFeed {
    table: Arc<table::Table>,
    freshness: table::Freshness,
    /// Time at which the outstanding poll was sent.
    poll_sent_ms: Option<u64>,
    /// Whether the last poll failed.
    platform_unreachable: bool,
    peer_request_ms: u64,
}

impl TableFeed {
    /// Creates a feed with an empty table.
    pub fn new(stale_ms: u64) -> Self {
        Self {
            table: Arc::default(),
            freshness: table::Freshness::new(stale_ms),
            poll_sent_ms: None,
            platform_unreachable: false,
            peer_request_ms: 0,
        }
    }

    /// Returns the table.
    pub fn table(&self) -> &Arc<table::Table> {
        &self.table
    }

    /// Returns the freshness of the table.
    pub fn freshness(&self) -> &table::Freshness {
        &self.freshness
    }

    /// Returns whether the table is fresh enough to serve requests.
    pub fn status(&self, members: &member::Membership, now_ms: u64) -> table::FreshnessStatus {
        let peers = members.peers().map(|(host, _)| host);
        self.freshness.status(self.table.head_version(), peers, now_ms)
    }

    /// Requests changed rows from the platform unless a poll is outstanding.
    pub fn poll(&mut self, context: &Context) {
        if self.poll_sent_ms.is_some() {
            return;
        }
        self.poll_sent_ms = Some(context.now_ms());
        let after = self.table.head_version();
        context.submit(platform::Job::Rows { prefix: row::ROW_PREFIX, after });
    }

    /// Handles the result of a poll; returns whether the table changed.
    pub fn handle_poll(
        &mut self,
        context: &Context,
        result: Result<wire::RowsPage, platform::CallError>,
    ) -> bool {
        let poll_sent_ms = self.poll_sent_ms.take().unwrap_or_default();
        self.platform_unreachable = result.is_err();
        let Ok(page) = result else { return false };
        let is_full = page.rows.len() >= FULL_PAGE_ROWS;
        // The version of the last row instead of the store's version, which increases with every
        // session renewal: the head must change only with the table.
        let head_version = page.rows.last().map_or(0, |row| row.version);
        let changed = self.apply(page.rows, head_version);
        if is_full {
            self.poll(context);
            return changed;
        }
        self.freshness.record_platform_confirmation(poll_sent_ms);
        changed
    }

    /// Records the table state that a peer reported, and requests newer rows from the peer while
    /// the platform is unreachable.
    pub fn handle_heartbeat(
        &mut self,
        context: &mut Context,
        members: &member::Membership,
        peer: &name::HostName,
        heartbeat: &peer::Heartbeat,
    ) {
        let now_ms = context.now_ms();
        let age_ms = heartbeat.table_age_ms;
        self.freshness.record_peer_report(peer, heartbeat.table_version, age_ms, now_ms);
        let head = self.table.head_version();
        self.freshness.apply_peer_confirmations(head);
        if heartbeat.table_version <= head {
            return;
        }
        self.poll(context);
        let requested_recently =
            self.peer_request_ms > 0 && now_ms < self.peer_request_ms + PEER_REQUEST_INTERVAL_MS;
        if !self.platform_unreachable || requested_recently {
            return;
        }
        self.peer_request_ms = now_ms;
        let request = gossip::RowsRequest { after: head };
        context.send(members, peer, peer::Body::RowsRequest(request));
    }

    /// Returns the rows that changed after a version, up to about one page.
    pub fn rows_after(&self, after: u64) -> gossip::Rows {
        let mut changes: Vec<_> =
            self.table.entries().filter(|(_, version, _)| *version > after).collect();
        changes.sort_by_key(|(_, version, _)| *version);
        let mut head_version = self.table.head_version();
        if let Some((_, limit, _)) = changes.get(FULL_PAGE_ROWS) {
            // Rows of one commit share a version and must be sent together.
            let limit = *limit;
            let is_one_commit = changes.first().is_some_and(|(_, first, _)| *first == limit);
            head_version = if is_one_commit { limit } else { limit - 1 };
            changes.retain(|(_, version, _)| *version <= head_version);
        }
        let mut rows = Vec::with_capacity(changes.len());
        for (key, version, row) in changes {
            let value = row.map(|row| serde_json::to_string(&row::WireRow::from(row.as_ref())));
            let value = value.transpose().unwrap_or_default().unwrap_or_default();
            rows.push(gossip::RowCopy { key: key.to_string(), version, value });
        }
        gossip::Rows { rows, head_version }
    }

    /// Applies rows from a peer; returns whether the table changed.
    pub fn apply_peer_rows(&mut self, rows: gossip::Rows) -> bool {
        let head_version = rows.head_version;
        let rows = rows.rows.into_iter().map(|copy| {
            // An empty value marks a deleted row.
            let value = serde_json::from_str(&copy.value).ok();
            let key = format!("{}{}", row::ROW_PREFIX, copy.key);
            wire::StoredRow { key, version: copy.version, value }
        });
        let changed = self.apply(rows.collect(), head_version);
        self.freshness.apply_peer_confirmations(self.table.head_version());
        changed
    }

    fn apply(&mut self, rows: Vec<wire::StoredRow>, head_version: u64) -> bool {
        if rows.is_empty() && head_version <= self.table.head_version() {
            return false;
        }
        let is_logged = rows.len() <= MAX_LOGGED_ROWS;
        let mut table = table::Table::clone(&self.table);
        let mut applied = 0;
        for stored in rows {
            let Some(key) = stored.key.strip_prefix(row::ROW_PREFIX).and_then(table::RowKey::parse)
            else {
                continue;
            };
            let parsed = match stored.value.map(parse_row).transpose() {
                Ok(parsed) => parsed,
                Err(error) => {
                    let key = key.to_string();
                    spdlog::error!("row-invalid", kv: { key = key.as_str(), error = error.as_str() });
                    continue;
                }
            };
            if table.apply(key.clone(), stored.version, parsed) == table::ApplyResult::Stale {
                continue;
            }
            applied += 1;
            if is_logged {
                let key = key.to_string();
                spdlog::info!("row-applied", kv: { key = key.as_str(), version = stored.version });
            }
        }
        if !is_logged {
            spdlog::info!("rows-applied", kv: { count = applied, head_version });
        }
        table.advance_head(head_version);
        self.table = Arc::new(table);
        applied > 0
    }
}

fn parse_row(value: serde_json::Value) -> Result<table::Row, String> {
    let wire: row::WireRow = serde_json::from_value(value).map_err(|error| error.to_string())?;
    table::Row::try_from(wire).map_err(|error| error.to_string())
}
