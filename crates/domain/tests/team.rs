//! Tests of teams, their keys and the cost of their requests.

use std::sync::Arc;

use jasminetack_domain::{dispatch, ingress, name, team};

const LIMITS: ingress::ClientLimits = ingress::ClientLimits {
    max_header_bytes: 16_384,
    max_body_bytes: 4_096,
    idle_timeout_ms: 15_000,
};
/// Teams and keys for each of them in the largest directory.
const TEAMS: u32 = 1_000;
const KEYS: u32 = 8;

fn key(text: &str) -> team::KeyDigest {
    team::KeyDigest::of(text.as_bytes())
}

fn team(name: &str) -> team::Team {
    team::Team { name: name::TeamName::from(name), priority: None, quota: None }
}

fn directory(teams: &[(&str, &[&str])]) -> team::TeamDirectory {
    let teams = teams.iter();
    team::TeamDirectory::new(
        teams.map(|(name, keys)| (team(name), keys.iter().map(|text| key(text)))),
    )
}

fn owner(directory: &team::TeamDirectory, text: &str) -> Option<String> {
    directory.authenticate(&key(text)).map(|team| team.name.to_string())
}

fn route(is_public: bool) -> ingress::Route {
    ingress::Route {
        name: name::RouteName::from("r"),
        prefix: "/".to_owned(),
        kind: ingress::RequestKind::Idempotent,
        timeout_ms: 1_000,
        first_byte_target_ms: 200,
        priority: 2,
        max_attempts: 2,
        is_public,
        services: Vec::new(),
    }
}

#[test]
fn each_of_thousands_of_keys_belongs_to_its_team_and_no_other_key_does() {
    let text = |team: u32, index: u32| format!("key-{team}-{index}");
    let directory = team::TeamDirectory::new((0..TEAMS).map(|index| {
        let keys: Vec<_> = (0..KEYS).map(|number| key(&text(index, number))).collect();
        (team(&format!("t{index}")), keys)
    }));
    assert_eq!(directory.teams().count(), TEAMS as usize);
    assert_eq!(directory.key_count(), (TEAMS * KEYS) as usize);
    for index in 0..TEAMS {
        for number in 0..KEYS {
            assert_eq!(owner(&directory, &text(index, number)), Some(format!("t{index}")));
        }
        assert_eq!(owner(&directory, &text(index, KEYS)), None);
    }
    // Requests share the teams instead of copying them.
    let shared = |number| directory.authenticate(&key(&text(0, number))).expect("a team");
    assert!(Arc::ptr_eq(shared(0), shared(1)));
}

#[test]
fn a_key_of_two_teams_authenticates_neither() {
    let directory = directory(&[("t1", &["a", "both"]), ("t2", &["both", "b"])]);
    assert_eq!(owner(&directory, "a").as_deref(), Some("t1"));
    assert_eq!(owner(&directory, "b").as_deref(), Some("t2"));
    assert_eq!(owner(&directory, "both"), None);
    assert_eq!(directory.ambiguous_keys().collect::<Vec<_>>(), [&key("both")]);
    assert_eq!(directory.key_count(), 2);
}

#[test]
fn a_key_or_team_that_is_listed_twice_counts_once() {
    let directory = directory(&[("t1", &["a", "a"]), ("t1", &["a", "b"])]);
    assert_eq!((directory.teams().count(), directory.key_count()), (1, 2));
    assert_eq!(owner(&directory, "a").as_deref(), Some("t1"));
    assert_eq!(owner(&directory, "b").as_deref(), Some("t1"));
    assert_eq!(directory.ambiguous_keys().count(), 0);
}

#[test]
fn digests_show_only_their_first_digits() {
    // SHA-256 of "abc", as published with the algorithm.
    let digest = key("abc");
    assert_eq!(digest.to_string(), "ba7816bf");
    assert_eq!(format!("{digest:?}"), "KeyDigest(ba7816bf)");
    assert_eq!(digest, key("abc"));
    assert_ne!(digest, key("abd"));
    let shown = format!("{:?}", directory(&[("t1", &["abc"])]));
    assert!(shown.contains("ba7816bf") && !shown.contains("8f01cfea"), "{shown}");
}

#[test]
fn routes_need_a_key_unless_they_are_public_or_there_are_no_teams() {
    let ingress = |teams| ingress::Ingress::new(1, [], [], LIMITS, teams);
    let with_teams = ingress(Some(directory(&[("t1", &["a"])])));
    let (closed, open) = (route(false), route(true));
    let authorize = |route, text: Option<&str>| with_teams.authorize(route, text.map(key).as_ref());
    let team = team::Access::Team(Arc::new(team("t1")));
    assert_eq!(authorize(Some(&closed), Some("a")), Ok(team.clone()));
    assert_eq!(authorize(Some(&closed), None), Err(team::KeyRefusal::Missing));
    assert_eq!(authorize(Some(&closed), Some("b")), Err(team::KeyRefusal::Unknown));
    for text in [None, Some("a"), Some("b")] {
        assert_eq!(authorize(Some(&open), text), Ok(team::Access::Public));
    }
    // Whether an address has a route is only told to callers with a key.
    assert_eq!(authorize(None, Some("a")), Ok(team));
    assert_eq!(authorize(None, Some("b")), Err(team::KeyRefusal::Unknown));
    let without_teams = ingress(None);
    for text in [None, Some("a")] {
        let access = without_teams.authorize(Some(&closed), text.map(key).as_ref());
        assert_eq!(access, Ok(team::Access::Unrestricted));
    }
    // A list without teams refuses everybody.
    let nobody = ingress(Some(team::TeamDirectory::default()));
    assert_eq!(nobody.authorize(Some(&closed), Some(&key("a"))), Err(team::KeyRefusal::Unknown));
}

#[test]
fn a_priority_of_the_team_replaces_that_of_the_route() {
    let access = |priority| team::Access::Team(Arc::new(team::Team { priority, ..team("t1") }));
    assert_eq!(access(Some(0)).priority(3), 0);
    assert_eq!(access(Some(5)).priority(3), 5);
    assert_eq!(access(None).priority(3), 3);
    assert_eq!(team::Access::Public.priority(3), 3);
    assert_eq!(team::Access::Unrestricted.priority(3), 3);
}

#[test]
fn cost_is_the_stated_size_in_tokens_or_one_request() {
    let limit = |unit| team::QuotaLimit { unit, rate_per_s: 1.0, burst: 1.0, default_cost: 200 };
    let size =
        |prompt_tokens, answer_tokens| Some(dispatch::RequestSize { prompt_tokens, answer_tokens });
    let tokens = limit(team::QuotaUnit::Tokens);
    assert_eq!(tokens.cost(size(1_460, 80)), 1_540);
    assert_eq!(tokens.cost(size(u32::MAX, u32::MAX)), 2 * u64::from(u32::MAX));
    assert_eq!(tokens.cost(None), 200);
    let requests = limit(team::QuotaUnit::Requests);
    assert_eq!((requests.cost(size(1_460, 80)), requests.cost(None)), (1, 1));
}
