//! Differences from the version in force and the findings on them.

use jasminetack_domain::ingress::review::{
    Change, ChangeKind, Comparison, Entry, Field, Finding, Place, Severity,
};
use jasminetack_domain::{ingress, name, team};

use crate::fixture::{
    self, at, base_model, draft, model_entry, quota, route, route_entry, service, service_entry,
    team_entry, team_with, teams,
};

/// Compares an edited configuration, one version higher, with the sound one.
fn compare<Edit>(edit: Edit) -> Comparison
where
    Edit: FnOnce(&mut ingress::Draft),
{
    let mut edited = draft();
    edited.version += 1;
    edit(&mut edited);
    let mut comparison = Comparison::new(&draft(), &edited);
    let version = comparison.changes.remove(0);
    assert_eq!(version, changed(at(Entry::Configuration, Field::Version), "5", "6"));
    comparison
}

fn changed(place: Place, before: &str, after: &str) -> Change {
    let (before, after) = (before.to_owned(), after.to_owned());
    Change { place, kind: ChangeKind::Changed { before, after } }
}

fn added(entry: Entry) -> Change {
    Change { place: Place::entry(entry), kind: ChangeKind::Added }
}

fn removed(entry: Entry) -> Change {
    Change { place: Place::entry(entry), kind: ChangeKind::Removed }
}

fn keys(team: &str, added: usize, removed: usize) -> Change {
    let place = at(team_entry(team), Field::Keys);
    Change { place, kind: ChangeKind::Keys { added, removed } }
}

fn warning(place: Place, text: &str) -> Finding {
    Finding { severity: Severity::Warning, place, text: text.to_owned() }
}

#[test]
fn a_version_that_is_not_above_the_one_in_force_is_an_error() {
    for (version, findings) in [(4, 1), (5, 1), (6, 0)] {
        let mut edited = draft();
        edited.version = version;
        let comparison = Comparison::new(&draft(), &edited);
        assert_eq!(comparison.findings.len(), findings);
        for finding in comparison.findings {
            assert_eq!(finding.severity, Severity::Error);
            assert_eq!(finding.place, at(Entry::Configuration, Field::Version));
            let text = format!("version {version} is not above 5, the version in force");
            assert_eq!(finding.text, text);
        }
    }
}

#[test]
fn fields_of_routes_are_compared_one_by_one() {
    let comparison = compare(|draft| {
        draft.routes[1].0 = "i.example".to_owned();
        let route = &mut draft.routes[1].1;
        route.prefix = "/see/".to_owned();
        route.kind = ingress::RequestKind::AtMostOnce;
        route.timeout_ms = 5_000;
        route.first_byte_target_ms = 400;
        route.priority = 2;
        route.max_attempts = 1;
        route.is_public = true;
        route.services[1].weight = 3;
    });
    let expected = [
        (Field::Host, "h.example", "i.example"),
        (Field::Prefix, "/look/", "/see/"),
        (Field::Kind, "idempotent", "at-most-once"),
        (Field::Timeout, "6000", "5000"),
        (Field::FirstByteTarget, "6000", "400"),
        (Field::Priority, "9", "2"),
        (Field::MaxAttempts, "2", "1"),
        (Field::IsPublic, "false", "true"),
        (Field::Services, "app:9 app-2:1", "app:9 app-2:3"),
    ];
    let expected = expected
        .map(|(field, before, after)| changed(at(route_entry("look"), field), before, after));
    assert_eq!(comparison, Comparison { changes: expected.into(), findings: Vec::new() });
}

#[test]
fn a_removed_route_is_a_warning_unless_another_one_has_its_address() {
    let comparison = compare(|draft| {
        draft.routes.remove(0);
        draft.routes.push(route("new", "/new/", &[("llm", 1)]));
    });
    assert_eq!(comparison.changes, [removed(route_entry("chat")), added(route_entry("new"))]);
    let text = "the route is removed, and no other one has its address";
    assert_eq!(comparison.findings, [warning(Place::entry(route_entry("chat")), text)]);
    let renamed = compare(|draft| draft.routes[0].1.name = name::RouteName::from("talk"));
    assert_eq!(renamed.changes, [removed(route_entry("chat")), added(route_entry("talk"))]);
    assert_eq!(renamed.findings, []);
}

#[test]
fn a_removed_service_is_a_warning_if_it_had_traffic() {
    let remove = |draft: &mut ingress::Draft| {
        draft.services.pop();
        draft.routes[1].1.services.pop();
    };
    let comparison = compare(remove);
    let services = at(route_entry("look"), Field::Services);
    let list = [changed(services, "app:9 app-2:1", "app:9"), removed(service_entry("app-2"))];
    assert_eq!(comparison.changes, list);
    let text = "the service is removed, but routes in force refer to it";
    assert_eq!(comparison.findings, [warning(Place::entry(service_entry("app-2")), text)]);
    let mut idle = draft();
    idle.routes[1].1.services[1].weight = 0;
    let mut edited = draft();
    edited.version += 1;
    remove(&mut edited);
    assert_eq!(Comparison::new(&idle, &edited).findings, []);
    let more = compare(|draft| draft.services.push(service("app-3", None)));
    assert_eq!(more.changes, [added(service_entry("app-3"))]);
}

#[test]
fn engines_and_base_models_are_compared_field_by_field() {
    let comparison = compare(|draft| {
        let engine = draft.services[0].engine.as_mut().unwrap();
        engine.adapter_slots = 5;
        engine.weights_mb = 2_000.0;
        engine.loads_per_s = 4.0;
        engine.memory_capacity_tokens = None;
        let model = &mut engine.base_models[0];
        model.weights_mb = 1_001.5;
        model.load_ms = 2_100;
        model.adapter_mb = 41.0;
        draft.services[1].engine = Some(fixture::engine());
    });
    let llm = |field: Field, before: &str, after: &str| {
        changed(at(service_entry("llm"), field), before, after)
    };
    let model =
        |field: Field, before: &str, after: &str| changed(at(model_entry(), field), before, after);
    let engine = Change { place: at(service_entry("app"), Field::Engine), kind: ChangeKind::Added };
    let expected = [
        llm(Field::AdapterSlots, "4", "5"),
        llm(Field::EngineWeights, "1040", "2000"),
        llm(Field::LoadsPerS, "3.5", "4"),
        llm(Field::MemoryCapacity, "1000", "none"),
        model(Field::ModelWeights, "1000", "1001.5"),
        model(Field::LoadTime, "2000", "2100"),
        model(Field::AdapterSize, "40", "41"),
        engine,
    ];
    assert_eq!(comparison, Comparison { changes: expected.into(), findings: Vec::new() });
    let removed_engine = compare(|draft| draft.services[0].engine = None);
    let place = at(service_entry("llm"), Field::Engine);
    assert_eq!(removed_engine.changes, [Change { place, kind: ChangeKind::Removed }]);
    let replaced = compare(|draft| base_model(draft).name = name::BaseModelName::from("other"));
    let other =
        Entry::BaseModel(name::ServiceName::from("llm"), name::BaseModelName::from("other"));
    assert_eq!(replaced.changes, [removed(model_entry()), added(other)]);
}

#[test]
fn limits_on_callers_are_compared() {
    let comparison = compare(|draft| {
        draft.limits.max_header_bytes = 1;
        draft.limits.max_body_bytes = 2;
        draft.limits.idle_timeout_ms = 3;
    });
    let expected = [
        changed(at(Entry::Limits, Field::MaxHeader), "16384", "1"),
        changed(at(Entry::Limits, Field::MaxBody), "65536", "2"),
        changed(at(Entry::Limits, Field::IdleTimeout), "15000", "3"),
    ];
    assert_eq!(comparison, Comparison { changes: expected.into(), findings: Vec::new() });
}

#[test]
fn keys_are_counted_and_their_order_does_not_matter() {
    let comparison = compare(|draft| teams(draft)[0].keys.reverse());
    assert_eq!(comparison, Comparison::default());
    let comparison = compare(|draft| {
        let keys = ["two", "four", "five"].map(|key| team::KeyDigest::of(key.as_bytes()));
        teams(draft)[0].keys = keys.to_vec();
    });
    assert_eq!(comparison, Comparison { changes: vec![keys("t1", 2, 1)], findings: Vec::new() });
}

#[test]
fn a_team_that_loses_all_its_keys_is_a_warning_also_if_it_gets_others() {
    let place = at(team_entry("t1"), Field::Keys);
    let comparison = compare(|draft| teams(draft)[0].keys = vec![team::KeyDigest::of(b"new")]);
    assert_eq!(comparison.changes, [keys("t1", 1, 2)]);
    assert_eq!(comparison.findings, [warning(place.clone(), "all keys in force are removed")]);
    let comparison = compare(|draft| {
        teams(draft).remove(0);
        teams(draft).push(team_with("t3", &["six"]));
    });
    let expected =
        [removed(team_entry("t1")), keys("t1", 0, 2), added(team_entry("t3")), keys("t3", 1, 0)];
    assert_eq!(comparison.changes, expected);
    assert_eq!(comparison.findings, [warning(place, "all keys in force are removed")]);
}

#[test]
fn a_quota_lowered_by_more_than_half_is_a_warning() {
    let halved = compare(|draft| {
        quota(draft).rate_per_s = 500.0;
        quota(draft).burst = 100.0;
    });
    let expected = [
        changed(at(team_entry("t1"), Field::Rate), "1000", "500"),
        changed(at(team_entry("t1"), Field::Burst), "200", "100"),
    ];
    assert_eq!(halved, Comparison { changes: expected.into(), findings: Vec::new() });
    let lowered = compare(|draft| {
        quota(draft).rate_per_s = 499.0;
        quota(draft).burst = 99.0;
    });
    let expected = [
        warning(at(team_entry("t1"), Field::Rate), "the rate is lowered by more than half"),
        warning(at(team_entry("t1"), Field::Burst), "the burst is lowered by more than half"),
    ];
    assert_eq!(lowered.findings, expected);
}

#[test]
fn a_limit_for_a_team_that_had_none_is_a_warning() {
    let mut unlimited = draft();
    teams(&mut unlimited)[0].team.quota = None;
    let mut edited = draft();
    edited.version += 1;
    let limited = Comparison::new(&unlimited, &edited);
    let place = at(team_entry("t1"), Field::Rate);
    assert_eq!(limited.findings, [warning(place, "the team was not limited before")]);
    assert!(limited.changes.contains(&changed(at(team_entry("t1"), Field::Rate), "none", "1000")));
    let lifted = compare(|draft| teams(draft)[0].team.quota = None);
    assert_eq!(lifted.findings, []);
}

#[test]
fn other_fields_of_teams_are_compared() {
    let comparison = compare(|draft| {
        teams(draft)[0].team.priority = None;
        quota(draft).unit = team::QuotaUnit::Requests;
        quota(draft).default_cost = 1;
        quota(draft).rate_per_s = 10.0;
    });
    let field = |field: Field, before: &str, after: &str| {
        changed(at(team_entry("t1"), field), before, after)
    };
    let expected = [
        field(Field::Priority, "9", "none"),
        field(Field::Unit, "tokens", "requests"),
        field(Field::DefaultCost, "200", "1"),
        field(Field::Rate, "1000", "10"),
    ];
    // Rates in different units are not compared with each other.
    assert_eq!(comparison, Comparison { changes: expected.into(), findings: Vec::new() });
}

#[test]
fn the_end_of_authentication_is_a_warning() {
    let comparison = compare(|draft| draft.teams = None);
    assert_eq!(comparison.changes, [removed(Entry::Teams)]);
    let text = "callers are no longer authenticated";
    assert_eq!(comparison.findings, [warning(Place::entry(Entry::Teams), text)]);
}

#[test]
fn the_start_of_authentication_lists_the_teams_and_their_keys() {
    let mut without = draft();
    without.teams = None;
    let mut edited = draft();
    edited.version += 1;
    let comparison = Comparison::new(&without, &edited);
    let expected = [
        added(Entry::Teams),
        added(team_entry("t1")),
        keys("t1", 2, 0),
        added(team_entry("t2")),
        keys("t2", 1, 0),
    ];
    assert_eq!(comparison.changes[1..], expected);
    assert_eq!(comparison.findings, []);
}
