//! Review of teams.

use indexmap::{IndexMap, IndexSet};

use super::routes::MAX_PRIORITY;
use super::{Entry, Field, Finding, Place};
use crate::ingress::{Draft, DraftTeam};
use crate::name;
use crate::team;

pub(super) fn check(draft: &Draft, findings: &mut Vec<Finding>) {
    let Some(teams) = &draft.teams else { return };
    let has_public_routes_only = draft.routes.iter().all(|(_, route)| route.is_public);
    if has_public_routes_only && !draft.routes.is_empty() && !teams.is_empty() {
        let text = "all routes are public, so no request belongs to a team".to_owned();
        findings.push(Finding::warning(Place::entry(Entry::Teams), text));
    }
    let mut names = IndexSet::new();
    let mut owners = IndexMap::new();
    for entry in teams {
        let team = &entry.team;
        if !names.insert(&team.name) {
            let text = "another team has the same name".to_owned();
            findings.push(Finding::error(place(team, None), text));
        }
        check_keys(entry, &mut owners, findings);
        check_limits(team, findings);
    }
}

fn check_keys<'draft>(
    entry: &'draft DraftTeam,
    owners: &mut IndexMap<team::KeyDigest, &'draft name::TeamName>,
    findings: &mut Vec<Finding>,
) {
    let team = &entry.team;
    if entry.keys.is_empty() {
        let text = "the team has no keys".to_owned();
        findings.push(Finding::warning(place(team, Some(Field::Keys)), text));
    }
    for key in &entry.keys {
        let Some(owner) = owners.get(key) else {
            owners.insert(*key, &team.name);
            continue;
        };
        let text = if **owner == team.name {
            format!("key {key} is listed twice for the team")
        } else {
            format!("key {key} also belongs to team {owner}, so it is valid for neither")
        };
        findings.push(Finding::error(place(team, Some(Field::Keys)), text));
    }
}

fn check_limits(team: &team::Team, findings: &mut Vec<Finding>) {
    let mut warn = |field: Field, text: String| {
        findings.push(Finding::warning(place(team, Some(field)), text));
    };
    if let Some(priority) = team.priority.filter(|priority| *priority > MAX_PRIORITY) {
        warn(Field::Priority, format!("priority {priority} is above {MAX_PRIORITY}"));
    }
    let Some(quota) = &team.quota else { return };
    let cost = quota.cost(None);
    if quota.burst <= 0.0 {
        warn(Field::Burst, "the rate is limited, but the burst is 0".to_owned());
    } else if quota.burst < cost as f64 {
        let text = format!("the burst of {} is below {cost}, the cost of one request", quota.burst);
        warn(Field::Burst, text);
    }
}

fn place(team: &team::Team, field: Option<Field>) -> Place {
    Place { entry: Entry::Team(team.name.clone()), field }
}
