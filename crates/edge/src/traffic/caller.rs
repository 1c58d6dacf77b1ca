//! Authentication of callers, and revocation of their keys while requests are in progress.

use std::mem;
use std::sync::Arc;

use hyper::header;
use hyper::http::request;
use hyper::{HeaderMap, StatusCode};
use jasminetack_domain::ingress;
use jasminetack_domain::team;

use super::proxy_request::ProxyRequest;
use super::refusal::Refusal;
use super::request_record::RequestRecord;
use super::revocation_watch::RevocationWatch;
use super::shared_state::SharedState;
use super::team_charge::TeamCharge;
use crate::clock;
use crate::dialect;

/// Outcome of requests whose key was removed after they were admitted.
pub(super) const KEY_REVOKED: &str = "key-revoked";
/// Reason of such refusals in logs and metrics.
const REVOKED: &str = "revoked";
/// Body of the response to a request without a valid key.
const KEY_REFUSED: &str = "missing or unknown key";

/// Configuration and route that apply to a request.
pub(super) struct Destination {
    /// `None` if no configuration has been read from the store.
    pub(super) ingress: Option<Arc<ingress::Ingress>>,
    /// `None` if there is none for the address.
    pub(super) route: Option<Arc<ingress::Route>>,
}

/// Sender of a request.
pub(super) struct Caller {
    key: Option<team::KeyDigest>,
    access: team::Access,
    /// Resolves if running answers end with their key and the key is removed.
    pub(super) revocation: RevocationWatch,
    /// What the request costs its team.
    pub(super) charge: TeamCharge,
}

impl Destination {
    /// Looks up the route for the address of a request.
    pub(super) fn find<Dialect>(shared: &SharedState<Dialect>, head: &request::Parts) -> Self {
        let ingress = shared.view.load().ingress.clone();
        let host = host_name(&head.headers);
        let route = ingress.as_ref().and_then(|ingress| ingress.resolve(host, head.uri.path()));
        let route = route.cloned();
        Self { ingress, route }
    }
}

impl Caller {
    /// Authenticates the sender of a request by its key.
    ///
    /// # Errors
    ///
    /// Fails with status 401 if the route needs a key and the request has no valid one.
    pub(super) fn authenticate<Dialect>(
        shared: &SharedState<Dialect>,
        head: &request::Parts,
        destination: &Destination,
        now_ms: u64,
    ) -> Result<Self, Refusal>
    where
        Dialect: dialect::Dialect,
    {
        let key = shared.dialect.decode_key(&head.headers);
        let Some(ingress) = &destination.ingress else {
            let (access, revocation) = (team::Access::Unrestricted, RevocationWatch::default());
            let charge = TeamCharge::default();
            return Ok(Self { key, access, revocation, charge });
        };
        let route = destination.route.as_deref();
        let access = ingress.authorize(route, key.as_ref()).map_err(|refusal| {
            let reason = refusal.as_str();
            shared.metrics.record_key_refusal(reason);
            let route = route.map_or("none", |route| route.name.as_str());
            let version = ingress.version();
            shared.key_refusal_log.record(key.as_ref(), reason, route, version, now_ms);
            Refusal::rejected(StatusCode::UNAUTHORIZED, KEY_REFUSED)
        })?;
        let (revocation, charge) = Default::default();
        let mut caller = Self { key, access, revocation, charge };
        caller.watch_revocation(shared);
        Ok(caller)
    }

    /// Returns the right by which the request is served.
    pub(super) fn access(&self) -> &team::Access {
        &self.access
    }

    /// Has the request notified when its key is removed, if running answers end then.
    fn watch_revocation<Dialect>(&mut self, shared: &SharedState<Dialect>) {
        if !shared.host.limits.ends_revoked_answers || self.access.team().is_none() {
            return;
        }
        if let Some(key) = self.key {
            self.revocation = shared.running_requests.watch(key);
        }
    }
}

impl<Dialect> ProxyRequest<Dialect>
where
    Dialect: dialect::Dialect,
{
    /// Checks the key against the present configuration; the key may have moved to another team.
    ///
    /// # Errors
    ///
    /// Fails with status 401 if the key was removed.
    pub(super) fn check_key(
        &mut self,
        record: &mut RequestRecord,
        now_ms: u64,
    ) -> Result<(), Refusal> {
        let view = self.shared.view.load();
        let Some(ingress) = &view.ingress else { return Ok(()) };
        let access = ingress.authorize(Some(&self.route), self.caller.key.as_ref());
        match access {
            // The key of an authenticated request is not forwarded by a later configuration without
            // teams either.
            Ok(team::Access::Unrestricted) => {}
            Ok(access) => {
                let had_teams = self.caller.access.has_teams();
                self.caller.access = access;
                record.set_team(self.caller.access.team());
                if !had_teams {
                    self.caller.watch_revocation(&self.shared);
                }
            }
            Err(_) => {
                self.record_revocation(ingress.version(), now_ms);
                // Only requests that may be executed twice select a worker after an execution, so the
                // status need not say that.
                return Err(Refusal::rejected(StatusCode::UNAUTHORIZED, KEY_REVOKED));
            }
        }
        Ok(())
    }

    /// Builds the response to a request that is ended at a worker because its key was removed.
    pub(super) fn end_revoked(&mut self) -> Refusal {
        let version = self.shared.view.load().ingress.as_ref().map_or(0, |view| view.version());
        self.record_revocation(version, clock::now_ms());
        self.possible_executions += 1;
        if self.route.kind.is_idempotent() {
            return Refusal::rejected(StatusCode::UNAUTHORIZED, KEY_REVOKED);
        }
        Refusal::execution_unknown(KEY_REVOKED)
    }

    /// Takes the notice of the key's removal for the time in which the response is forwarded.
    pub(super) fn take_revocation(&mut self) -> RevocationWatch {
        mem::take(&mut self.caller.revocation)
    }

    fn record_revocation(&self, configuration: u64, now_ms: u64) {
        self.shared.metrics.record_key_refusal(REVOKED);
        let (key, route) = (self.caller.key.as_ref(), self.route.name.as_str());
        self.shared.key_refusal_log.record(key, REVOKED, route, configuration, now_ms);
    }
}

/// Returns the host of a request without its port.
fn host_name(headers: &HeaderMap) -> &str {
    let host = headers.get(header::HOST).and_then(|host| host.to_str().ok());
    host.map_or("", |host| host.split(':').next().unwrap_or(host))
}

/// Ends the running answers of removed keys whenever the configuration changes.
pub async fn end_revoked_answers<Dialect>(shared: Arc<SharedState<Dialect>>) {
    let mut revision = shared.revision.clone();
    let mut checked: Option<Arc<ingress::Ingress>> = None;
    // An error means that the control thread has ended, and the daemon shuts down as well.
    while revision.changed().await.is_ok() {
        let Some(ingress) = shared.view.load().ingress.clone() else { continue };
        if checked.as_ref().is_some_and(|checked| Arc::ptr_eq(checked, &ingress)) {
            continue;
        }
        if let Some(teams) = ingress.teams() {
            let requests = shared.running_requests.revoke(teams);
            if requests > 0 {
                spdlog::info!(
                    "keys-revoked requests={requests} configuration={}",
                    ingress.version()
                );
            }
        }
        checked = Some(ingress);
    }
}
