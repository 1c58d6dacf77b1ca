//! Review of routes.

use indexmap::{IndexMap, IndexSet};

use super::{Entry, Field, Finding, Place};
use crate::ingress::{Draft, Route};

/// Least urgent priority.
pub(super) const MAX_PRIORITY: u8 = 9;

pub(super) fn check(draft: &Draft, grace_ms: Option<u64>, findings: &mut Vec<Finding>) {
    let mut names = IndexSet::new();
    let mut names_by_address = IndexMap::new();
    for (host, route) in &draft.routes {
        if !names.insert(&route.name) {
            let text = "another route has the same name".to_owned();
            findings.push(Finding::error(place(route, None), text));
        }
        let address = (host.to_ascii_lowercase(), &route.prefix);
        match names_by_address.get(&address) {
            Some(other) => {
                let text = format!("route {other} has the same host and prefix");
                findings.push(Finding::error(place(route, Some(Field::Prefix)), text));
            }
            None => {
                names_by_address.insert(address, &route.name);
            }
        }
        if !(route.prefix.starts_with('/') && route.prefix.ends_with('/')) {
            let text = "the prefix must begin and end with a slash".to_owned();
            findings.push(Finding::error(place(route, Some(Field::Prefix)), text));
        }
        check_services(draft, route, findings);
        check_limits(route, grace_ms, findings);
    }
}

fn check_services(draft: &Draft, route: &Route, findings: &mut Vec<Finding>) {
    let place = place(route, Some(Field::Services));
    for weighted in &route.services {
        if draft.services.iter().all(|service| service.name != weighted.service) {
            let text = format!("service {} does not exist", weighted.service);
            findings.push(Finding::error(place.clone(), text));
        }
    }
    if route.services.iter().all(|weighted| weighted.weight == 0) {
        let text = "no service has a weight of 1 or more".to_owned();
        findings.push(Finding::error(place, text));
        return;
    }
    for weighted in &route.services {
        if weighted.weight == 0 {
            let text =
                format!("service {} has a weight below 1 and gets no requests", weighted.service);
            findings.push(Finding::warning(place.clone(), text));
        }
    }
}

fn check_limits(route: &Route, grace_ms: Option<u64>, findings: &mut Vec<Finding>) {
    let mut warn = |field: Field, text: String| {
        findings.push(Finding::warning(place(route, Some(field)), text));
    };
    let timeout_ms = route.timeout_ms;
    if route.first_byte_target_ms > timeout_ms {
        let target_ms = route.first_byte_target_ms;
        let text = format!("the target of {target_ms} ms is above the timeout of {timeout_ms} ms");
        warn(Field::FirstByteTarget, text);
    }
    if let Some(grace_ms) = grace_ms.filter(|grace_ms| timeout_ms > *grace_ms) {
        let text = format!(
            "the timeout of {timeout_ms} ms is above the grace period of {grace_ms} ms; a shutdown \
             ends such requests early"
        );
        warn(Field::Timeout, text);
    }
    if route.max_attempts > 1 && !route.kind.is_idempotent() {
        let (attempts, kind) = (route.max_attempts, route.kind.as_str());
        let text = format!("{attempts} attempts, but {kind} requests must not be repeated");
        warn(Field::MaxAttempts, text);
    }
    if route.priority > MAX_PRIORITY {
        let text = format!("priority {} is above {MAX_PRIORITY}", route.priority);
        warn(Field::Priority, text);
    }
}

fn place(route: &Route, field: Option<Field>) -> Place {
    Place { entry: Entry::Route(route.name.clone()), field }
}
