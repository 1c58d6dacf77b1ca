//! Findings on a configuration by itself.

use jasminetack_domain::ingress::review::{Entry, Field, Finding, Place, Severity, check};
use jasminetack_domain::{ingress, name, team};

use crate::fixture::{
    GRACE_MS, at, base_model, draft, model_entry, quota, route, route_entry, service,
    service_entry, team_entry, team_with, teams,
};

/// Checks that an edit of a sound configuration gives one finding, and that it has this text.
#[track_caller]
fn expect_one<Edit>(severity: Severity, place: Place, text: &str, edit: Edit)
where
    Edit: FnOnce(&mut ingress::Draft),
{
    let mut edited = draft();
    edit(&mut edited);
    let expected = Finding { severity, place, text: text.to_owned() };
    assert_eq!(check(&edited, Some(GRACE_MS)), [expected]);
}

#[track_caller]
fn expect_error<Edit>(place: Place, text: &str, edit: Edit)
where
    Edit: FnOnce(&mut ingress::Draft),
{
    expect_one(Severity::Error, place, text, edit);
}

#[track_caller]
fn expect_warning<Edit>(place: Place, text: &str, edit: Edit)
where
    Edit: FnOnce(&mut ingress::Draft),
{
    expect_one(Severity::Warning, place, text, edit);
}

#[test]
fn a_sound_configuration_at_the_edge_of_its_limits_has_no_findings() {
    assert_eq!(check(&draft(), Some(GRACE_MS)), []);
    assert_eq!(check(&draft(), None), []);
}

#[test]
fn a_service_that_does_not_exist_is_an_error() {
    let place = at(route_entry("chat"), Field::Services);
    expect_error(place, "service gone does not exist", |draft| {
        let service = name::ServiceName::from("gone");
        draft.routes[0].1.services.push(ingress::WeightedService { service, weight: 1 });
    });
}

#[test]
fn a_split_without_weights_is_one_error() {
    let place = at(route_entry("look"), Field::Services);
    expect_error(place, "no service has a weight of 1 or more", |draft| {
        for weighted in &mut draft.routes[1].1.services {
            weighted.weight = 0;
        }
    });
}

#[test]
fn two_routes_with_one_address_are_an_error_whatever_the_case_of_the_host() {
    let place = at(route_entry("look"), Field::Prefix);
    expect_error(place, "route chat has the same host and prefix", |draft| {
        draft.routes[1].0 = "H.Example".to_owned();
        draft.routes[1].1.prefix = "/chat/".to_owned();
    });
    let mut other_host = draft();
    other_host.routes[1].0 = "other.example".to_owned();
    other_host.routes[1].1.prefix = "/chat/".to_owned();
    assert_eq!(check(&other_host, None), []);
}

#[test]
fn a_prefix_without_slashes_is_an_error() {
    for prefix in ["chat/", "/chat", "", "chat"] {
        let place = at(route_entry("chat"), Field::Prefix);
        expect_error(place, "the prefix must begin and end with a slash", |draft| {
            draft.routes[0].1.prefix = prefix.to_owned();
        });
    }
    let mut root = draft();
    root.routes[0].1.prefix = "/".to_owned();
    assert_eq!(check(&root, None), []);
}

#[test]
fn a_key_of_two_teams_is_an_error_that_shows_only_its_digest() {
    let digest = team::KeyDigest::of(b"one").to_string();
    assert_eq!(digest.len(), 8);
    let text = format!("key {digest} also belongs to team t1, so it is valid for neither");
    expect_error(at(team_entry("t2"), Field::Keys), &text, |draft| {
        teams(draft)[1].keys.push(team::KeyDigest::of(b"one"));
    });
}

#[test]
fn a_key_that_a_team_has_twice_is_an_error() {
    let text = format!("key {} is listed twice for the team", team::KeyDigest::of(b"one"));
    expect_error(at(team_entry("t1"), Field::Keys), &text, |draft| {
        teams(draft)[0].keys.push(team::KeyDigest::of(b"one"));
    });
}

#[test]
fn entries_with_the_same_name_are_errors() {
    expect_error(Place::entry(route_entry("chat")), "another route has the same name", |draft| {
        draft.routes.push(route("chat", "/other/", &[("llm", 1)]));
    });
    let place = Place::entry(service_entry("app"));
    expect_error(place, "another service has the same name", |draft| {
        draft.services.push(service("app", None));
    });
    expect_error(Place::entry(team_entry("t1")), "another team has the same name", |draft| {
        teams(draft).push(team_with("t1", &["four"]));
    });
}

#[test]
fn a_base_model_that_does_not_fit_is_one_error() {
    let place = at(model_entry(), Field::ModelWeights);
    expect_error(place, "the weights take 1041 MB, but an engine has 1040 MB", |draft| {
        base_model(draft).weights_mb = 1_041.0;
    });
}

#[test]
fn a_service_with_weight_0_is_a_warning() {
    let place = at(route_entry("look"), Field::Services);
    expect_warning(place, "service app-2 has a weight below 1 and gets no requests", |draft| {
        draft.routes[1].1.services[1].weight = 0;
    });
}

#[test]
fn a_service_without_a_route_is_a_warning() {
    let place = Place::entry(service_entry("spare"));
    expect_warning(place, "no route refers to the service", |draft| {
        draft.services.push(service("spare", None));
    });
}

#[test]
fn a_team_without_keys_is_a_warning() {
    expect_warning(at(team_entry("t2"), Field::Keys), "the team has no keys", |draft| {
        teams(draft)[1].keys.clear();
    });
}

#[test]
fn teams_without_a_route_that_needs_a_key_are_a_warning() {
    let text = "all routes are public, so no request belongs to a team";
    expect_warning(Place::entry(Entry::Teams), text, |draft| {
        for (_, route) in &mut draft.routes {
            route.is_public = true;
        }
    });
    let mut without = draft();
    without.teams = None;
    without.routes[0].1.is_public = true;
    without.routes[1].1.is_public = true;
    assert_eq!(check(&without, None), []);
}

#[test]
fn adapters_without_room_are_a_warning() {
    let place = at(model_entry(), Field::AdapterSize);
    let text = "no adapter of 40 MB fits: 39 MB are free and 4 slots configured";
    expect_warning(place.clone(), text, |draft| base_model(draft).weights_mb = 1_001.0);
    let text = "no adapter of 40 MB fits: 40 MB are free and 0 slots configured";
    expect_warning(place, text, |draft| {
        draft.services[0].engine.as_mut().unwrap().adapter_slots = 0;
    });
}

#[test]
fn a_target_above_the_timeout_is_a_warning() {
    let place = at(route_entry("chat"), Field::FirstByteTarget);
    let text = "the target of 6001 ms is above the timeout of 6000 ms";
    expect_warning(place, text, |draft| draft.routes[0].1.first_byte_target_ms = 6_001);
}

#[test]
fn a_timeout_above_the_grace_period_is_a_warning_if_that_is_known() {
    let text = "the timeout of 6001 ms is above the grace period of 6000 ms; a shutdown ends such \
                requests early";
    expect_warning(at(route_entry("chat"), Field::Timeout), text, |draft| {
        draft.routes[0].1.timeout_ms = 6_001;
    });
    let mut unknown = draft();
    unknown.routes[0].1.timeout_ms = 6_001;
    assert_eq!(check(&unknown, None), []);
}

#[test]
fn attempts_on_a_route_that_must_not_be_repeated_are_a_warning() {
    let place = at(route_entry("chat"), Field::MaxAttempts);
    let text = "2 attempts, but at-most-once requests must not be repeated";
    expect_warning(place.clone(), text, |draft| {
        draft.routes[0].1.kind = ingress::RequestKind::AtMostOnce;
    });
    let text = "2 attempts, but stream requests must not be repeated";
    expect_warning(place, text, |draft| {
        draft.routes[0].1.kind = ingress::RequestKind::Stream { is_resumable: false };
    });
    let mut resumable = draft();
    resumable.routes[0].1.kind = ingress::RequestKind::Stream { is_resumable: true };
    assert_eq!(check(&resumable, None), []);
}

#[test]
fn priorities_above_9_are_warnings() {
    expect_warning(at(route_entry("chat"), Field::Priority), "priority 10 is above 9", |draft| {
        draft.routes[0].1.priority = 10;
    });
    expect_warning(at(team_entry("t1"), Field::Priority), "priority 10 is above 9", |draft| {
        teams(draft)[0].team.priority = Some(10);
    });
}

#[test]
fn a_burst_below_one_request_is_a_warning() {
    let place = at(team_entry("t1"), Field::Burst);
    let text = "the burst of 199 is below 200, the cost of one request";
    expect_warning(place.clone(), text, |draft| quota(draft).burst = 199.0);
    let text = "the burst of 0.5 is below 1, the cost of one request";
    expect_warning(place, text, |draft| {
        quota(draft).unit = team::QuotaUnit::Requests;
        quota(draft).burst = 0.5;
    });
}

#[test]
fn a_rate_without_burst_is_one_warning() {
    let text = "the rate is limited, but the burst is 0";
    expect_warning(at(team_entry("t1"), Field::Burst), text, |draft| quota(draft).burst = 0.0);
}
