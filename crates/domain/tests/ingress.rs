//! Tests of the ingress configuration.

use jasminetack_domain::ingress;
use jasminetack_domain::name;

const LIMITS: ingress::ClientLimits = ingress::ClientLimits {
    max_header_bytes: 16_384,
    max_body_bytes: 4_096,
    idle_timeout_ms: 15_000,
};

fn route(prefix: &str, services: &[(&str, u32)]) -> ingress::Route {
    let services = services.iter().map(|(service, weight)| ingress::WeightedService {
        service: name::ServiceName::from(*service),
        weight: *weight,
    });
    ingress::Route {
        name: name::RouteName::from(prefix),
        prefix: prefix.to_owned(),
        kind: ingress::RequestKind::Idempotent,
        timeout_ms: 1_000,
        first_byte_target_ms: 200,
        priority: 0,
        max_attempts: 2,
        is_public: false,
        services: services.collect(),
    }
}

fn ingress(routes: &[(&str, &str)]) -> ingress::Ingress {
    let routes = routes.iter();
    let routes = routes.map(|(host, prefix)| ((*host).to_owned(), route(prefix, &[("app", 1)])));
    ingress::Ingress::new(1, routes, [], LIMITS, None)
}

#[test]
fn longest_matching_prefix_of_the_host_is_chosen() {
    let ingress = ingress(&[("a.example", "/x/"), ("a.example", "/x/y/"), ("b.example", "/")]);
    let resolve =
        |host: &str, path: &str| ingress.resolve(host, path).map(|route| route.prefix.clone());
    assert_eq!(resolve("a.example", "/x/y/z").as_deref(), Some("/x/y/"));
    assert_eq!(resolve("a.example", "/x/q").as_deref(), Some("/x/"));
    assert_eq!(resolve("A.Example", "/x/q").as_deref(), Some("/x/"));
    assert_eq!(resolve("a.example", "/"), None);
    assert_eq!(resolve("b.example", "/x/y/").as_deref(), Some("/"));
    assert_eq!(resolve("c.example", "/x/"), None);
}

#[test]
fn requests_are_split_by_weight() {
    let route = route("/", &[("big", 90), ("small", 10)]);
    let mut small = 0;
    for random in 0..100 {
        small += u32::from(route.service(random).unwrap().as_str() == "small");
    }
    assert_eq!(small, 10);
}

#[test]
fn adapter_capacity_excludes_the_weights_of_loaded_models() {
    let model = name::BaseModelName::from("m");
    let profile = ingress::EngineProfile {
        adapter_slots: 18,
        weights_mb: 35_700.0,
        loads_per_s: 3.5,
        base_models: vec![ingress::BaseModel {
            name: model.clone(),
            weights_mb: 34_300.0,
            load_ms: 2_000,
            adapter_mb: 100.0,
        }],
    };
    assert_eq!(profile.adapter_capacity(std::slice::from_ref(&model)), 14);
    assert_eq!(profile.adapter_capacity(&[]), 18);
}
