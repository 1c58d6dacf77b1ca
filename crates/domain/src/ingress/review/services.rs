//! Review of services.

use indexmap::IndexSet;

use super::{Entry, Field, Finding, Place};
use crate::ingress::{Draft, EngineProfile};
use crate::name;

pub(super) fn check(draft: &Draft, findings: &mut Vec<Finding>) {
    let routes = draft.routes.iter();
    let used: IndexSet<_> = routes
        .flat_map(|(_, route)| route.services.iter().map(|weighted| &weighted.service))
        .collect();
    let mut names = IndexSet::new();
    for service in &draft.services {
        let place = Place::entry(Entry::Service(service.name.clone()));
        if !names.insert(&service.name) {
            let text = "another service has the same name".to_owned();
            findings.push(Finding::error(place.clone(), text));
        }
        if !used.contains(&service.name) {
            let text = "no route refers to the service".to_owned();
            findings.push(Finding::warning(place, text));
        }
        if let Some(engine) = &service.engine {
            check_engine(&service.name, engine, findings);
        }
    }
}

fn check_engine(service: &name::ServiceName, engine: &EngineProfile, findings: &mut Vec<Finding>) {
    for model in &engine.base_models {
        let place = |field: Field| {
            Place::field(Entry::BaseModel(service.clone(), model.name.clone()), field)
        };
        if model.weights_mb > engine.weights_mb {
            let text = format!(
                "the weights take {} MB, but an engine has {} MB",
                model.weights_mb, engine.weights_mb
            );
            findings.push(Finding::error(place(Field::ModelWeights), text));
            continue;
        }
        if model.adapter_mb <= 0.0 {
            continue;
        }
        if engine.adapter_capacity(std::slice::from_ref(&model.name)) == 0 {
            let text = format!(
                "no adapter of {} MB fits: {} MB are free and {} slots configured",
                model.adapter_mb,
                engine.weights_mb - model.weights_mb,
                engine.adapter_slots
            );
            findings.push(Finding::warning(place(Field::AdapterSize), text));
        }
    }
}
