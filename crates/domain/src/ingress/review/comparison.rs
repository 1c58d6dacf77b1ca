//! Comparison of a configuration with the version in force.

use std::fmt;

use indexmap::IndexSet;

use super::{Change, ChangeKind, Entry, Field, Finding, Place};
use crate::ingress::{BaseModel, Draft, DraftTeam, EngineProfile, Route, ServiceProfile};
use crate::name;
use crate::team;

/// A limit below this part of the one in force gives a warning.
const LOWERED_QUOTA_RATIO: f64 = 0.5;
const NONE: &str = "none";

/// Differences from the version in force, and the findings on them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Comparison {
    /// Differences: version, routes, services, teams, limits.
    pub changes: Vec<Change>,
    /// Findings on the differences.
    pub findings: Vec<Finding>,
}

impl Comparison {
    /// Compares a configuration with the version in force.
    #[must_use]
    pub fn new(in_force: &Draft, draft: &Draft) -> Self {
        let mut comparison = Self::default();
        comparison.compare_versions(in_force.version, draft.version);
        comparison.compare_routes(in_force, draft);
        comparison.compare_services(in_force, draft);
        comparison.compare_teams(in_force, draft);
        let entry = Entry::Limits;
        let (before, after) = (&in_force.limits, &draft.limits);
        comparison.field(&entry, Field::MaxHeader, before.max_header_bytes, after.max_header_bytes);
        comparison.field(&entry, Field::MaxBody, before.max_body_bytes, after.max_body_bytes);
        let (before_ms, after_ms) = (before.idle_timeout_ms, after.idle_timeout_ms);
        comparison.field(&entry, Field::IdleTimeout, before_ms, after_ms);
        comparison
    }

    fn compare_versions(&mut self, in_force: u64, version: u64) {
        self.field(&Entry::Configuration, Field::Version, in_force, version);
        if version <= in_force {
            let text = format!("version {version} is not above {in_force}, the version in force");
            let place = Place::field(Entry::Configuration, Field::Version);
            self.findings.push(Finding::error(place, text));
        }
    }

    fn compare_routes(&mut self, in_force: &Draft, draft: &Draft) {
        for (host, before) in &in_force.routes {
            let entry = Entry::Route(before.name.clone());
            let after = draft.routes.iter().find(|(_, route)| route.name == before.name);
            if let Some((after_host, after)) = after {
                self.compare_route(&entry, (host, before), (after_host, after));
                continue;
            }
            self.push(&entry, None, ChangeKind::Removed);
            let has_address = draft.routes.iter().any(|(after_host, route)| {
                after_host.eq_ignore_ascii_case(host) && route.prefix == before.prefix
            });
            // A route that is only renamed still serves its requests.
            if !has_address {
                self.warn(
                    &entry,
                    None,
                    "the route is removed, and no other one has its address".to_owned(),
                );
            }
        }
        for (_, route) in &draft.routes {
            if in_force.routes.iter().all(|(_, before)| before.name != route.name) {
                self.push(&Entry::Route(route.name.clone()), None, ChangeKind::Added);
            }
        }
    }

    fn compare_route(&mut self, entry: &Entry, before: (&str, &Route), after: (&str, &Route)) {
        let (before_host, before) = before;
        let (after_host, after) = after;
        let hosts = (before_host.to_ascii_lowercase(), after_host.to_ascii_lowercase());
        self.field(entry, Field::Host, hosts.0, hosts.1);
        self.field(entry, Field::Prefix, &before.prefix, &after.prefix);
        self.field(entry, Field::Kind, before.kind.as_str(), after.kind.as_str());
        self.field(entry, Field::Timeout, before.timeout_ms, after.timeout_ms);
        let targets_ms = (before.first_byte_target_ms, after.first_byte_target_ms);
        self.field(entry, Field::FirstByteTarget, targets_ms.0, targets_ms.1);
        self.field(entry, Field::Priority, before.priority, after.priority);
        self.field(entry, Field::MaxAttempts, before.max_attempts, after.max_attempts);
        self.field(entry, Field::IsPublic, before.is_public, after.is_public);
        self.field(entry, Field::Services, list_services(before), list_services(after));
    }

    fn compare_services(&mut self, in_force: &Draft, draft: &Draft) {
        for before in &in_force.services {
            let entry = Entry::Service(before.name.clone());
            let after = draft.services.iter().find(|service| service.name == before.name);
            if let Some(after) = after {
                self.compare_service(&entry, before, after);
                continue;
            }
            self.push(&entry, None, ChangeKind::Removed);
            let mut weights = in_force.routes.iter().flat_map(|(_, route)| &route.services);
            if weights.any(|known| known.service == before.name && known.weight > 0) {
                let text = "the service is removed, but routes in force refer to it".to_owned();
                self.warn(&entry, None, text);
            }
        }
        for service in &draft.services {
            if in_force.services.iter().all(|before| before.name != service.name) {
                self.push(&Entry::Service(service.name.clone()), None, ChangeKind::Added);
            }
        }
    }

    fn compare_service(&mut self, entry: &Entry, before: &ServiceProfile, after: &ServiceProfile) {
        match (&before.engine, &after.engine) {
            (None, None) => {}
            (None, Some(_)) => self.push(entry, Some(Field::Engine), ChangeKind::Added),
            (Some(_), None) => self.push(entry, Some(Field::Engine), ChangeKind::Removed),
            (Some(engine), Some(after_engine)) => {
                self.compare_engine(entry, engine, after_engine);
                self.compare_base_models(&before.name, engine, after_engine);
            }
        }
    }

    fn compare_engine(&mut self, entry: &Entry, before: &EngineProfile, after: &EngineProfile) {
        self.field(entry, Field::AdapterSlots, before.adapter_slots, after.adapter_slots);
        self.field(entry, Field::EngineWeights, before.weights_mb, after.weights_mb);
        self.field(entry, Field::LoadsPerS, before.loads_per_s, after.loads_per_s);
        let capacities = (before.memory_capacity_tokens, after.memory_capacity_tokens);
        self.field(entry, Field::MemoryCapacity, or_none(capacities.0), or_none(capacities.1));
    }

    fn compare_base_models(
        &mut self,
        service: &name::ServiceName,
        before: &EngineProfile,
        after: &EngineProfile,
    ) {
        for model in &before.base_models {
            let entry = Entry::BaseModel(service.clone(), model.name.clone());
            match after.base_models.iter().find(|known| known.name == model.name) {
                Some(after) => self.compare_base_model(&entry, model, after),
                None => self.push(&entry, None, ChangeKind::Removed),
            }
        }
        for model in &after.base_models {
            if before.base_models.iter().all(|known| known.name != model.name) {
                let entry = Entry::BaseModel(service.clone(), model.name.clone());
                self.push(&entry, None, ChangeKind::Added);
            }
        }
    }

    fn compare_base_model(&mut self, entry: &Entry, before: &BaseModel, after: &BaseModel) {
        self.field(entry, Field::ModelWeights, before.weights_mb, after.weights_mb);
        self.field(entry, Field::LoadTime, before.load_ms, after.load_ms);
        self.field(entry, Field::AdapterSize, before.adapter_mb, after.adapter_mb);
    }

    fn compare_teams(&mut self, in_force: &Draft, draft: &Draft) {
        match (&in_force.teams, &draft.teams) {
            (None, None) => {}
            (None, Some(_)) => self.push(&Entry::Teams, None, ChangeKind::Added),
            (Some(_), None) => {
                self.push(&Entry::Teams, None, ChangeKind::Removed);
                let text = "callers are no longer authenticated".to_owned();
                self.warn(&Entry::Teams, None, text);
                return;
            }
            (Some(_), Some(_)) => {}
        }
        let before = in_force.teams.as_deref().unwrap_or_default();
        let after = draft.teams.as_deref().unwrap_or_default();
        for entry in before {
            let known = after.iter().find(|known| known.team.name == entry.team.name);
            self.compare_team(&entry.team.name, Some(entry), known);
        }
        for entry in after {
            if before.iter().all(|known| known.team.name != entry.team.name) {
                self.compare_team(&entry.team.name, None, Some(entry));
            }
        }
    }

    fn compare_team(
        &mut self,
        name: &name::TeamName,
        before: Option<&DraftTeam>,
        after: Option<&DraftTeam>,
    ) {
        let entry = Entry::Team(name.clone());
        match (before, after) {
            (Some(before), Some(after)) => {
                let priorities = (before.team.priority, after.team.priority);
                self.field(&entry, Field::Priority, or_none(priorities.0), or_none(priorities.1));
                self.compare_quotas(&entry, before.team.quota.as_ref(), after.team.quota.as_ref());
            }
            (None, _) => self.push(&entry, None, ChangeKind::Added),
            (Some(_), None) => self.push(&entry, None, ChangeKind::Removed),
        }
        let keys = |side: Option<&DraftTeam>| -> IndexSet<team::KeyDigest> {
            side.map(|entry| entry.keys.iter().copied().collect()).unwrap_or_default()
        };
        let (before, after) = (keys(before), keys(after));
        let added = after.difference(&before).count();
        let removed = before.difference(&after).count();
        if added + removed > 0 {
            self.push(&entry, Some(Field::Keys), ChangeKind::Keys { added, removed });
        }
        if removed > 0 && removed == before.len() {
            let text = "all keys in force are removed".to_owned();
            self.warn(&entry, Some(Field::Keys), text);
        }
    }

    fn compare_quotas(
        &mut self,
        entry: &Entry,
        before: Option<&team::QuotaLimit>,
        after: Option<&team::QuotaLimit>,
    ) {
        let values = |value: fn(&team::QuotaLimit) -> String| {
            let text = |quota: Option<&team::QuotaLimit>| quota.map_or(NONE.to_owned(), value);
            (text(before), text(after))
        };
        let units = values(|quota| quota.unit.as_str().to_owned());
        self.field(entry, Field::Unit, units.0, units.1);
        let costs = values(|quota| quota.default_cost.to_string());
        self.field(entry, Field::DefaultCost, costs.0, costs.1);
        let rates = values(|quota| quota.rate_per_s.to_string());
        self.field(entry, Field::Rate, rates.0, rates.1);
        let bursts = values(|quota| quota.burst.to_string());
        self.field(entry, Field::Burst, bursts.0, bursts.1);
        let Some(after) = after else { return };
        let Some(before) = before else {
            self.warn(entry, Some(Field::Rate), "the team was not limited before".to_owned());
            return;
        };
        if before.unit != after.unit {
            return;
        }
        if after.rate_per_s < before.rate_per_s * LOWERED_QUOTA_RATIO {
            let text = "the rate is lowered by more than half".to_owned();
            self.warn(entry, Some(Field::Rate), text);
        }
        if after.burst < before.burst * LOWERED_QUOTA_RATIO {
            let text = "the burst is lowered by more than half".to_owned();
            self.warn(entry, Some(Field::Burst), text);
        }
    }

    fn field<Value>(&mut self, entry: &Entry, field: Field, before: Value, after: Value)
    where
        Value: fmt::Display + PartialEq,
    {
        if before != after {
            let (before, after) = (before.to_string(), after.to_string());
            self.push(entry, Some(field), ChangeKind::Changed { before, after });
        }
    }

    fn push(&mut self, entry: &Entry, field: Option<Field>, kind: ChangeKind) {
        self.changes.push(Change { place: Place { entry: entry.clone(), field }, kind });
    }

    fn warn(&mut self, entry: &Entry, field: Option<Field>, text: String) {
        self.findings.push(Finding::warning(Place { entry: entry.clone(), field }, text));
    }
}

fn list_services(route: &Route) -> String {
    let services = route.services.iter();
    let services = services.map(|weighted| format!("{}:{}", weighted.service, weighted.weight));
    services.collect::<Vec<_>>().join(" ")
}

fn or_none<Value>(value: Option<Value>) -> String
where
    Value: fmt::Display,
{
    value.map_or(NONE.to_owned(), |value| value.to_string())
}
