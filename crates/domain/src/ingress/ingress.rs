//! Ingress configuration.

use std::sync::Arc;

use indexmap::IndexMap;

use super::{ClientLimits, Route, ServiceProfile};
use crate::name;
use crate::team;

/// Immutable snapshot of the routes, services, limits and teams of one configuration version.
#[derive(Clone, Debug)]
pub struct Ingress {
    version: u64,
    /// Routes by host, longest prefix first.
    routes: IndexMap<String, Vec<Arc<Route>>>,
    services: IndexMap<name::ServiceName, Arc<ServiceProfile>>,
    limits: ClientLimits,
    teams: Option<Arc<team::TeamDirectory>>,
}

impl Ingress {
    /// Creates a configuration; each route is paired with its host. Without `teams`, callers are not
    /// authenticated.
    #[must_use]
    pub fn new<Routes, Services>(
        version: u64,
        routes: Routes,
        services: Services,
        limits: ClientLimits,
        teams: Option<team::TeamDirectory>,
    ) -> Self
    where
        Routes: IntoIterator<Item = (String, Route)>,
        Services: IntoIterator<Item = ServiceProfile>,
    {
        let mut by_host: IndexMap<String, Vec<Arc<Route>>> = IndexMap::new();
        for (host, route) in routes {
            by_host.entry(host.to_ascii_lowercase()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services =
            services.into_iter().map(|service| (service.name.clone(), Arc::new(service)));
        let (services, teams) = (services.collect(), teams.map(Arc::new));
        Self { version, routes: by_host, services, limits, teams }
    }

    /// Returns the version.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on caller connections and requests.
    #[must_use]
    pub fn limits(&self) -> ClientLimits {
        self.limits
    }

    /// Returns the route with the longest matching path prefix among those of the host.
    ///
    /// Hosts are compared without regard to ASCII case.
    #[must_use]
    pub fn resolve(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = match self.routes.get(host) {
            Some(routes) => routes,
            None => self.routes.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the profile of a service.
    #[must_use]
    pub fn service(&self, name: &name::ServiceName) -> Option<&Arc<ServiceProfile>> {
        self.services.get(name)
    }

    /// Returns the teams; `None` if the configuration has none and callers are not authenticated.
    #[must_use]
    pub fn teams(&self) -> Option<&Arc<team::TeamDirectory>> {
        self.teams.as_ref()
    }

    /// Decides whether a request with the given key may use a route; `None` is an address without a
    /// route, about which only callers with a key learn anything.
    ///
    /// # Errors
    ///
    /// Fails if the route needs a key and the request has none that belongs to a team.
    pub fn authorize(
        &self,
        route: Option<&Route>,
        key: Option<&team::KeyDigest>,
    ) -> Result<team::Access, team::KeyRefusal> {
        let Some(teams) = &self.teams else { return Ok(team::Access::Unrestricted) };
        if route.is_some_and(|route| route.is_public) {
            return Ok(team::Access::Public);
        }
        let key = key.ok_or(team::KeyRefusal::Missing)?;
        let team = teams.authenticate(key).ok_or(team::KeyRefusal::Unknown)?;
        Ok(team::Access::Team(Arc::clone(team)))
    }

    /// Returns the number of routes.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}
