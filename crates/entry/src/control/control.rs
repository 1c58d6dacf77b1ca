//! The actor that owns the daemon's view of the fleet.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use indexmap::IndexSet;
use jasminetack_domain::adapter;
use jasminetack_domain::lease;
use jasminetack_domain::name;
use jasminetack_domain::place;
use jasminetack_domain::route;
use jasminetack_domain::table;
use jasminetack_wire::platform as wire;
use jasminetack_wire::row;
use stakker::{CX, call};

use super::Message;
use crate::platform;
use crate::settings;
use crate::snapshot;
use crate::traffic;

/// Owner of the daemon's view of the fleet.
pub struct Control {
    host: name::HostName,
    platform: platform::Client,
    dispatcher: Arc<traffic::Dispatcher>,
    published: Arc<ArcSwap<snapshot::Snapshot>>,
    table_poll: Duration,
    view: snapshot::Snapshot,
}

impl Control {
    /// Creates the state that the actor starts with.
    pub fn new(
        settings: &settings::Settings,
        platform: platform::Client,
        dispatcher: Arc<traffic::Dispatcher>,
        published: Arc<ArcSwap<snapshot::Snapshot>>,
    ) -> Self {
        Self {
            host: settings.host.clone(),
            platform,
            dispatcher,
            published,
            table_poll: Duration::from_millis(settings.table_poll_ms),
            view: snapshot::Snapshot::default(),
        }
    }

    /// Starts the actor.
    pub fn init(cx: CX![], control: Self) -> Option<Self> {
        call!([cx], poll());
        Some(control)
    }

    fn poll(&mut self, cx: CX![]) {
        let after = self.view.table.head_version();
        self.platform.submit(platform::Job::Rows { prefix: row::ROW_PREFIX, after });
        self.platform.submit(platform::Job::Hosts);
        stakker::after!(self.table_poll, [cx], poll());
    }

    /// Handles a message from another thread.
    pub fn receive(&mut self, _cx: CX![], message: Message) {
        match message {
            Message::Peer { .. } | Message::Worker(_) | Message::Terminate | Message::Idle => {}
            Message::Platform(platform::Reply::Rows(Ok(page))) => self.apply_rows(page),
            Message::Platform(platform::Reply::Hosts(Ok(hosts))) => self.apply_hosts(hosts),
            Message::Platform(platform::Reply::Rows(Err(error))) => log_failed("rows", &error),
            Message::Platform(platform::Reply::Hosts(Err(error))) => log_failed("hosts", &error),
            Message::Platform(platform::Reply::Read { .. } | platform::Reply::Transact { .. }) => {}
        }
    }

    fn apply_rows(&mut self, page: wire::RowsPage) {
        let mut table = table::Table::clone(&self.view.table);
        for stored in page.rows {
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
            if table.apply(key.clone(), stored.version, parsed) == table::Applied::Newer {
                let key = key.to_string();
                spdlog::info!("row-applied", kv: { key = key.as_str(), version = stored.version });
            }
        }
        table.confirm_head(page.head_version);
        self.view.table = Arc::new(table);
        self.view.ready = true;
        self.publish();
    }

    fn apply_hosts(&mut self, list: wire::HostList) {
        let mut fleet = route::Fleet::default();
        for host in list.hosts {
            let wire::HostRole::Engine { base_model, refuses_old_fencing } = host.role else {
                continue;
            };
            let Ok(address) = host.address.parse() else {
                continue;
            };
            let name = name::WorkerName::from(host.name);
            let fencing = adapter::FencingNumber::new(1);
            let worker = name.clone();
            self.dispatcher.grant(lease::Grant { worker, fencing, refuses_old_fencing }, address);
            fleet.insert(route::WorkerView {
                name,
                place: place::Place::new(
                    name::RegionName::from(host.region),
                    name::FailureDomainName::from(host.failure_domain),
                ),
                base_model: name::BaseModelName::from(base_model),
                owner: Some(self.host.clone()),
                loaded: IndexSet::new(),
                outstanding: 0,
                leaving: host.leaving,
            });
        }
        self.view.fleet = Arc::new(fleet);
        self.publish();
    }

    fn publish(&self) {
        self.published.store(Arc::new(self.view.clone()));
    }
}

fn parse_row(value: serde_json::Value) -> Result<table::Row, String> {
    let wire: row::WireRow = serde_json::from_value(value).map_err(|error| error.to_string())?;
    table::Row::try_from(wire).map_err(|error| error.to_string())
}

fn log_failed(call: &str, error: &platform::CallError) {
    let error = error.to_string();
    spdlog::warn!("platform-call-failed", kv: { call, error = error.as_str() });
}
