//! A configuration without findings, and places in it.

use jasminetack_domain::ingress::review::{Entry, Field, Place};
use jasminetack_domain::{ingress, name, team};

pub const GRACE_MS: u64 = 6_000;

pub fn route(name: &str, prefix: &str, services: &[(&str, u32)]) -> (String, ingress::Route) {
    let services = services.iter().map(|(service, weight)| ingress::WeightedService {
        service: name::ServiceName::from(*service),
        weight: *weight,
    });
    let route = ingress::Route {
        name: name::RouteName::from(name),
        prefix: prefix.to_owned(),
        kind: ingress::RequestKind::Idempotent,
        timeout_ms: GRACE_MS,
        first_byte_target_ms: GRACE_MS,
        priority: 9,
        max_attempts: 2,
        is_public: false,
        services: services.collect(),
    };
    ("h.example".to_owned(), route)
}

pub fn engine() -> ingress::EngineProfile {
    ingress::EngineProfile {
        adapter_slots: 4,
        weights_mb: 1_040.0,
        loads_per_s: 3.5,
        memory_capacity_tokens: Some(1_000),
        base_models: vec![ingress::BaseModel {
            name: name::BaseModelName::from("base"),
            weights_mb: 1_000.0,
            load_ms: 2_000,
            adapter_mb: 40.0,
        }],
    }
}

pub fn service(name: &str, engine: Option<ingress::EngineProfile>) -> ingress::ServiceProfile {
    ingress::ServiceProfile { name: name::ServiceName::from(name), engine }
}

pub fn team_with(name: &str, keys: &[&str]) -> ingress::DraftTeam {
    let quota = team::QuotaLimit {
        unit: team::QuotaUnit::Tokens,
        rate_per_s: 1_000.0,
        burst: 200.0,
        default_cost: 200,
    };
    ingress::DraftTeam {
        team: team::Team {
            name: name::TeamName::from(name),
            priority: Some(9),
            quota: Some(quota),
        },
        keys: keys.iter().map(|key| team::KeyDigest::of(key.as_bytes())).collect(),
    }
}

/// Returns a configuration without findings; all limits are as high as they may be.
pub fn draft() -> ingress::Draft {
    ingress::Draft {
        version: 5,
        routes: vec![
            route("chat", "/chat/", &[("llm", 1)]),
            route("look", "/look/", &[("app", 9), ("app-2", 1)]),
        ],
        services: vec![
            service("llm", Some(engine())),
            service("app", None),
            service("app-2", None),
        ],
        limits: ingress::ClientLimits {
            max_header_bytes: 16_384,
            max_body_bytes: 65_536,
            idle_timeout_ms: 15_000,
        },
        teams: Some(vec![team_with("t1", &["one", "two"]), team_with("t2", &["three"])]),
    }
}

pub fn teams(draft: &mut ingress::Draft) -> &mut Vec<ingress::DraftTeam> {
    draft.teams.as_mut().expect("teams")
}

pub fn quota(draft: &mut ingress::Draft) -> &mut team::QuotaLimit {
    teams(draft)[0].team.quota.as_mut().expect("a quota")
}

pub fn base_model(draft: &mut ingress::Draft) -> &mut ingress::BaseModel {
    &mut draft.services[0].engine.as_mut().expect("an engine").base_models[0]
}

pub fn at(entry: Entry, field: Field) -> Place {
    Place::field(entry, field)
}

pub fn route_entry(name: &str) -> Entry {
    Entry::Route(name::RouteName::from(name))
}

pub fn service_entry(name: &str) -> Entry {
    Entry::Service(name::ServiceName::from(name))
}

pub fn model_entry() -> Entry {
    Entry::BaseModel(name::ServiceName::from("llm"), name::BaseModelName::from("base"))
}

pub fn team_entry(name: &str) -> Entry {
    Entry::Team(name::TeamName::from(name))
}
